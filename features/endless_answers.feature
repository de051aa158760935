Feature: Bytes that are no answer end, however many an endpoint, the store or a caller would send

  Each limit is bounded by the bytes that the stand-in could send, so no scenario depends on the speed of the machine.

  # Guards against attempts that were held until the deadline, parsing megabytes of heads or framing.
  Scenario Outline: A <kind> whose answer has <bytes> without end: <result>
    Given a gateway in front of two endpoints
    And its log is kept
    And the next answer has <bytes> without end
    When a caller sends a "<kind>" with 4000 ms left
    Then <result>
    And the endpoint could send 2 MB of it at most
    And the log names the limit "<limit>"

    Examples: Heads
      | bytes                         | kind  | result                                         | limit                     |
      | informational heads           | hold  | the caller is told that it may have run        | heads exceed 65536 bytes  |
      | informational heads           | check | the caller has the answer of another endpoint  | heads exceed 65536 bytes  |
      | informational heads           | text  | the caller has all events of another endpoint  | heads exceed 65536 bytes  |
      | informational heads           | once  | the caller is told that it may have run        | heads exceed 65536 bytes  |
      | headers                       | hold  | the caller is told that it may have run        | exceeds 65536 bytes       |
      | headers                       | check | the caller has the answer of another endpoint  | exceeds 65536 bytes       |

    Examples: Framing
      | bytes                         | kind  | result                                         | limit                     |
      | chunk extensions              | hold  | the caller is told that it may have run        | framing exceeds           |
      | chunk extensions              | check | the caller has the answer of another endpoint  | framing exceeds           |
      | chunk extensions              | text  | the caller has all events of another endpoint  | framing exceeds           |
      | a chunk's one extension       | check | the caller has the answer of another endpoint  | exceeds 65536 bytes       |
      | trailers                      | hold  | the caller is told that it may have run        | exceeds 65536 bytes       |
      | trailers                      | text  | the caller has all events of another endpoint  | exceeds 65536 bytes       |

  # Guards against heads that are as slow as a client's patience: they are no progress either.
  Scenario Outline: A <kind> whose answer has slow <bytes> goes on at another endpoint
    Given a gateway in front of two endpoints
    And the next answer has slow <bytes> without end
    When a caller sends a "<kind>" with 8000 ms left
    Then <result>
    And the endpoint's connection was closed

    Examples:
      | bytes                         | kind  | result                                         |
      | informational heads           | check | the caller has the answer of another endpoint  |
      | informational heads           | text  | the caller has all events of another endpoint  |
      | comments before the events    | text  | the caller has all events of another endpoint  |
      | comments after two events     | text  | the caller has all events of another endpoint  |
      | trailers                      | text  | the caller has all events of another endpoint  |

  # Guards against heads held beyond the deadline where the request may not be sent again.
  Scenario: A request that may not be repeated ends at its deadline while slow heads arrive
    Given a gateway in front of two endpoints
    And the next answer has slow informational heads without end
    When a caller sends a "hold" with 1500 ms left
    Then the response is 504 with body ""
    And the endpoint's connection was closed

  # Guards against a failure's body that was passed on for as long as it came.
  Scenario Outline: A <status> whose body has no end, to a <kind>: <result>
    Given a gateway in front of two endpoints
    And its log is kept
    And the next answer is a <status> whose body has no end
    When a caller sends a "<kind>" with 9000 ms left
    Then <result>
    And the endpoint could send 16 MB of it at most

    Examples:
      | status | kind  | result                                        |
      | 500    | hold  | the caller sees a failure that broke off      |
      | 400    | hold  | the caller sees a failure that broke off      |
      | 400    | check | the caller sees a failure that broke off      |
      | 500    | check | the caller has the answer of another endpoint |
      | 500    | text  | the caller has all events of another endpoint |

  # Guards against a limit that cuts off a failure which a caller can use.
  Scenario Outline: A <status> with a body of <size> MB passes whole
    Given a gateway in front of two endpoints
    And the next answer is a <status> with a body of <size> MB
    When a caller sends a "hold" with 9000 ms left
    Then the caller has the <status> with its whole body

    Examples:
      | status | size |
      | 500    | 3    |
      | 400    | 3    |

  # Guards against comments as fast as they go, which were passed on or dropped without a bound.
  Scenario Outline: A <kind> that gets <bytes> without end: <result>
    Given a gateway in front of two endpoints
    And its log is kept
    And the next answer has <bytes> without end
    When a caller sends a "<kind>" with 4000 ms left
    Then <result>
    And the endpoint could send 2 MB of it at most
    And the log names the limit "comments"

    Examples:
      | bytes                         | kind  | result                                         |
      | comments before the events    | text  | the caller has all events of another endpoint  |
      | comments before the events    | once  | the caller sees a stream that broke off        |
      | comments after two events     | text  | the caller has all events of another endpoint  |
      | comments after two events     | once  | the caller sees a stream that broke off        |
      | empty lines                   | text  | the caller has all events of another endpoint  |

  # Guards against comments without end at both endpoints: no attempt may be left after max_attempts.
  Scenario: Comments without end at every endpoint end with the attempts of the route
    Given a gateway in front of two endpoints
    And all answers have comments before the events without end
    When a caller sends a "text" with 8000 ms left
    Then the caller sees a stream that broke off
    And endpoints received 2 requests

  # Guards against a daemon that stands still: each small chunk of an unfinished event was searched with all before it.
  Scenario Outline: An event of 1 MB that comes in pieces of <size> bytes is read in time
    When an event of 1 MB comes in pieces of <size> bytes
    Then reading it takes 3 s of processor time at most
    And it is whole, with the <newline> after it

    Examples:
      | size | newline |
      | 100  | LF      |
      | 100  | CRLF    |

  # Guards against a limit that cuts off what a legitimate endpoint sends.
  Scenario Outline: <what> is whole
    Given a gateway in front of two endpoints
    And the next answer is <what>
    When a caller sends a "<kind>" with 9000 ms left
    Then the caller has it whole
    And endpoints received 1 requests

    Examples:
      | what                                        | kind  |
      | a long answer with a length                 | check |
      | a long answer in chunks                     | check |
      | an answer in chunks of one byte             | check |
      | an answer after 20 informational heads      | check |
      | an answer after 20 informational heads      | hold  |
      | a stream with 100 comments before its event | text  |
      | a stream with 100 comments between events   | text  |

  # Guards against a probe or a reservation call that reads an endless answer until its time-out.
  Scenario Outline: <call> reads a bounded part of an answer without end
    Given an endpoint whose reports and orders have a body without end
    When <call> is made there
    Then the call has ended without an answer
    And the endpoint could send 2 MB of it at most

    Examples:
      | call          |
      | a reservation |
      | a path probe  |

  # Guards against a thread and memory that an endless answer of the store or of a peer holds.
  Scenario Outline: The store's answer with <bytes> without end, sent <pace>, is given up
    Given a store that answers with <bytes> without end, sent <pace>
    When the store is read
    Then the store counts as unavailable
    And the store could send 16 MB of it at most

    Examples:
      | bytes               | pace   |
      | a body              | fast   |
      | a body              | slowly |
      | informational heads | fast   |
      | informational heads | slowly |
      | headers             | slowly |
      | the same page       | fast   |
      | new pages           | fast   |

  Scenario Outline: A peer's page with <bytes> without end, sent <pace>, is given up
    Given a store that answers with <bytes> without end, sent <pace>
    When a peer's page is read there
    Then the page counts as not read
    And the store could send 16 MB of it at most

    Examples:
      | bytes  | pace   |
      | a body | fast   |
      | a body | slowly |

  # Guards against the memory and time of a caller's request without end.
  Scenario Outline: A caller that sends <bytes> without end is refused
    Given a gateway in front of two endpoints
    And the limits on callers are 16384 bytes of head, 65536 bytes of body and 1.5 s
    When a caller sends <bytes> without end, <pace>
    Then it was refused with <status>
    And endpoints received 0 requests

    Examples:
      | bytes            | pace   | status |
      | headers          | fast   | 431    |
      | headers          | slowly | 408    |
      | a body in chunks | fast   | 413    |
      | a body in chunks | slowly | 408    |
      | chunk extensions | fast   | 431    |
      | trailers         | fast   | 431    |
      | trailers         | slowly | 408    |

  # Guards against a connection that never ended: each byte sent after the last answer began a new delivery time.
  Scenario: A caller that sends without end after its last request, and reads nothing, is cut off
    Given a gateway in front of two endpoints
    And the limits on callers are 16384 bytes of head, 65536 bytes of body and 0.5 s
    And the next answer is an answer of 2 MB
    When a caller that reads nothing sends bytes without end after a last request with 1500 ms left
    Then its connection is closed, and the daemon has kept 65536 bytes of them at most

Feature: The OpenAI-compatible interface ends answers that come without end

  Guards against a neighbour whose bytes are no answer and never stop: they held a thread for ever
  and filled the memory of a host that serves many callers.

  Scenario Outline: <bytes> without end in answer to <call>
    Given an endpoint that sends <bytes> without end
    When a daemon sends it <call>
    Then the call fails before the endpoint has sent <limit> MiB

    Examples: heads
      | call           | bytes             | limit |
      | a service call | a status line     | 16    |
      | a service call | headers           | 16    |
      | a service call | interim responses | 16    |
      | a service call | early hints       | 16    |
      | a completion   | a status line     | 16    |
      | a completion   | interim responses | 16    |
      | a resumption   | interim responses | 16    |
      | a load request | interim responses | 16    |

    Examples: bodies
      | call                | bytes             | limit |
      | a service call      | a body            | 128   |
      | a service call      | a chunked body    | 128   |
      | a service call      | a chunk extension | 16    |
      | a service call      | trailers          | 128   |
      | a service call      | a failure's body  | 128   |
      | a completion        | a failure's body  | 16    |
      | a load request      | a body            | 128   |
      | a load request      | trailers          | 128   |
      | a cancellation      | a body            | 128   |
      | a read of the log   | a body            | 128   |
      | a read of the hosts | a chunked body    | 128   |

  Scenario Outline: <call> whose answer comes one byte at a time
    Given an endpoint that sends a body without end, one byte at a time
    When a daemon sends it <call> with a time limit of 1 s
    Then the call fails

    Examples:
      | call           |
      | a service call |
      | a load request |

  # Guards against taking an interim response for the answer.
  Scenario: An interim response before the answer
    Given an endpoint that sends early hints before its answer
    When a daemon sends it a service call
    Then the call returns the answer

  # Guards against a stream that is no event: it was kept whole, and looked through again at each
  # read, by the thread that relays all streams.
  Scenario Outline: One event without end <place>
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that sends one event without end <place>
    When a caller streams an answer
    Then the answer ends with endpoint_failed
    And the engine has sent at most 32 MiB

    Examples:
      | place                 |
      | as its first one      |
      | after its first event |

  # Guards against comments that count as progress, or as events of another stream.
  Scenario: Comments without end
    Given an engine that sends comments without end
    When a reader waits for its first event for 1 s
    Then the reader fails and no event was dropped

  Scenario: Comments between events
    Given an engine that sends comments between 3 events
    When a reader reads the stream to its end
    Then the reader has 3 events and no event was dropped

Feature: An answer that broke off never looks complete

  Guards against an endpoint's answer that ends early, reaching its caller framed as a complete one.

  Scenario Outline: A stream that cannot be resumed, <framing>, ends <content>, <end>: <verdict>
    Given a gateway in front of two endpoints
    And the endpoints answer a stream <framing> that ends <content>, <end>
    When a caller sends a "once"
    Then the caller sees <verdict> and only whole events

    Examples: Neither length nor chunks
      | framing               | content                    | end        | verdict         |
      | with neither          | before any event           | closed     | a broken answer |
      | with neither          | in the first event         | closed     | a broken answer |
      | with neither          | in a later event           | closed     | a broken answer |
      | with neither          | before an event's end line | closed     | a broken answer |
      | with neither          | after an event             | closed     | a whole answer  |
      | with neither          | after a comment            | closed     | a whole answer  |
      | with neither          | in a comment               | closed     | a broken answer |
      | with neither          | after an event             | reset      | a broken answer |
      | with neither          | in a later event           | reset      | a broken answer |
      | with neither, CRLF    | in a later event           | closed     | a broken answer |
      | with neither, CRLF    | before an event's end line | closed     | a broken answer |
      | with neither, CRLF    | after an event             | closed     | a whole answer  |
      | with neither, bytes   | in a later event           | closed     | a broken answer |
      | with neither, bytes   | after an event             | closed     | a whole answer  |
      | with neither, 1.0     | in the first event         | closed     | a broken answer |
      | with neither, 1.0     | in a later event           | closed     | a broken answer |
      | with neither, 1.0     | after an event             | closed     | a whole answer  |

    Examples: In chunks
      | framing               | content                    | end        | verdict         |
      | in chunks             | in the first event         | as framed  | a broken answer |
      | in chunks             | in a later event           | as framed  | a broken answer |
      | in chunks             | before an event's end line | as framed  | a broken answer |
      | in chunks             | before any event           | as framed  | a whole answer  |
      | in chunks             | after an event             | as framed  | a whole answer  |
      | in chunks             | after a comment            | as framed  | a whole answer  |
      | in chunks             | after an event             | closed     | a broken answer |
      | in chunks             | after an event             | reset      | a broken answer |
      | in chunks             | in a later event           | closed     | a broken answer |
      | in chunks, CRLF       | in a later event           | as framed  | a broken answer |
      | in chunks, bytes      | in a later event           | as framed  | a broken answer |

    Examples: With a length
      | framing               | content                    | end        | verdict         |
      | with a length         | in the first event         | as framed  | a broken answer |
      | with a length         | in a later event           | as framed  | a broken answer |
      | with a length         | after an event             | as framed  | a whole answer  |
      | with a length         | after an event             | closed     | a broken answer |
      | with a length         | after an event             | reset      | a broken answer |
      | with a length, 1.0    | in a later event           | as framed  | a broken answer |

  Scenario Outline: A resumable stream, <framing>, that ends <content>, <end>, goes on at another endpoint
    Given a gateway in front of two endpoints
    And the next answer is a stream <framing> that ends <content>, <end>
    When a caller sends a "text"
    Then the response is 200 with body "all events"
    And two endpoints received the request

    Examples: By framing
      | framing       | content                    | end       |
      | with neither  | before any event           | closed    |
      | with neither  | in the first event         | closed    |
      | with neither  | in a later event           | closed    |
      | with neither  | before an event's end line | closed    |
      | in chunks     | in a later event           | as framed |
      | with a length | in a later event           | as framed |

  # Guards against a crash between two events that is taken for the end of the stream.
  Scenario Outline: A resumable stream without a length, <end>, goes on at another endpoint
    Given a gateway in front of two endpoints
    And the next answer is a stream with neither that ends after an event, <end>
    When a caller sends a "text"
    Then the response is 200 with body "all events"
    And two endpoints received the request

    Examples: Ends of the endpoint
      | end                              |
      | closed by a crash                |
      | closed by a crash, back in 20 ms |
      | closed by a restart at once      |

  # Guards against a crash between two events that is taken for the end of the stream.
  Scenario Outline: A stream without a length that may run once, <end>, looks broken to its caller
    Given a gateway in front of two endpoints
    And the endpoints answer a stream with neither that ends <content>, <end>
    When a caller sends a "once"
    Then the caller sees a broken answer and only whole events

    Examples: Ends of the endpoint
      | content         | end                              |
      | after an event  | closed by a crash                |
      | after a comment | closed by a crash                |
      | after an event  | closed by a crash, back in 20 ms |
      | after an event  | closed by a restart at once      |

  # Guards against a crash that is taken for the end of a plain answer without a length.
  Scenario Outline: A plain answer without a length that ends <content>, <end>, is not delivered as whole
    Given a gateway in front of two endpoints
    And the next plain answer has no length and ends <content>, <end>
    When a caller sends a "<kind>"
    Then the response is <status> with body "<body>"
    And endpoints received <sends> requests

    Examples: Ends of the endpoint
      | kind  | content            | end                              | status | body          | sends |
      | check | in the middle      | closed by a crash                | 200    | endpoint name | 2     |
      | check | before its content | closed by a crash                | 200    | endpoint name | 2     |
      | check | in the middle      | closed by a crash, back in 20 ms | 200    | endpoint name | 2     |
      | check | in the middle      | closed by a restart at once      | 200    | endpoint name | 2     |
      | hold  | in the middle      | closed by a crash                | 502    |               | 1     |
      | hold  | before its content | closed by a crash                | 502    |               | 1     |
      | hold  | in the middle      | closed by a restart at once      | 502    |               | 1     |

  # Guards against a crash that is taken for the end of a long answer, which is not kept whole.
  Scenario: A long plain answer without a length whose endpoint crashes looks broken to its caller
    Given a gateway in front of two endpoints
    And the next plain answer has no length and ends far from its start, closed by a crash
    When a caller sends a "check"
    Then the response is incomplete

  # Guards against an endpoint that is asked once for each of the answers that end with it.
  Scenario: Answers that end at the same moment share one question to their endpoint
    Given an endpoint whose answers have no length
    When it is asked for 40 answers at once whether its process still runs
    Then it runs as far as 40 answers know, after 1 question

  # Guards against a request that is sent over a connection which ended with the answer before it.
  Scenario: A connection that ended with an answer without a length carries no further request
    Given an endpoint whose answers have no length
    When a request is sent to it as soon as the answer before it has ended
    Then both requests are answered, each over a connection of its own

  Scenario: A stream that broke off unframed because its endpoint crashed counts as its crash
    Given a gateway in front of two endpoints
    And its log is kept
    And the next answer is a stream with neither that ends in a later event, closed by a crash
    When a caller sends a "text"
    Then the response is 200 with body "all events"
    And the log records its content for each of 1 endpoints that crashed, whatever its id

  Scenario: A caller that gets no chunks sees a cut stream as a reset
    Given a gateway in front of two endpoints
    And the endpoints answer a stream in chunks that ends in a later event, closed
    When a caller without HTTP/1.1 sends a "once"
    Then its connection is reset after the whole events

  Scenario: A caller that gets no chunks sees a whole stream end
    Given a gateway in front of two endpoints
    And the endpoints answer a stream with neither that ends after an event, closed
    When a caller without HTTP/1.1 sends a "once"
    Then its connection is closed after the whole events

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

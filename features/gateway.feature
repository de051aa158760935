Feature: Requests are forwarded to endpoints and their responses returned unchanged

  Background:
    Given a gateway in front of two endpoints

  Scenario Outline: The response to a <kind> depends on the behaviour of the endpoint
    Given the endpoints use the behaviour "<behaviour>" for the next request
    When a caller sends a "<kind>"
    Then the response is <status> with body "<body>"
    And endpoints received <sends> requests

    Examples: idempotent requests
      | kind  | behaviour                   | status | body          | sends |
      | check | complete response           | 200    | endpoint name | 1     |
      | check | failure                     | 200    | endpoint name | 2     |
      | check | not executed                | 200    | endpoint name | 2     |
      | check | another endpoint            | 200    | endpoint name | 2     |
      | check | lost response               | 200    | endpoint name | 2     |
      | check | response to another request | 200    | endpoint name | 2     |
      | check | unsigned                    | 200    | endpoint name | 2     |
      | check | late answer to an order     | 200    | endpoint name | 2     |
      | check | truncated                   | 200    | endpoint name | 2     |
      | check | invalid HTTP                | 200    | endpoint name | 2     |
      | check | no content length           | 200    | endpoint name | 1     |
      | check | no content length and reset | 200    | endpoint name | 2     |
      | check | no response                 | 200    | endpoint name | 2     |

    Examples: non-idempotent requests
      | kind | behaviour                   | status | body          | sends |
      | hold | complete response           | 200    | endpoint name | 1     |
      | hold | failure                     | 500    | failed        | 1     |
      | hold | not executed                | 200    | endpoint name | 2     |
      | hold | another endpoint            | 200    | endpoint name | 2     |
      | hold | lost response               | 502    |               | 1     |
      | hold | response to another request | 502    |               | 1     |
      | hold | unsigned                    | 502    |               | 1     |
      | hold | late answer to an order     | 502    |               | 1     |
      | hold | truncated                   | 502    |               | 1     |
      | hold | invalid HTTP                | 502    |               | 1     |
      | hold | plain 503                   | 502    |               | 1     |
      | hold | no content length and reset | 502    |               | 1     |

    Examples: streams
      | kind | behaviour                    | status | body       | sends |
      | text | stream                       | 200    | all events | 1     |
      | text | stream truncated in an event | 200    | all events | 2     |
      | text | stream with a missing event  | 200    | all events | 2     |
      | text | stalled stream               | 200    | all events | 2     |
      | text | lost response                | 200    | all events | 2     |
      | text | late answer to an order      | 200    | all events | 2     |
      | once | stream                       | 200    | all events | 1     |
      | once | lost response                | 502    |            | 1     |

  Scenario: An idempotent request does not stay unacknowledged for long
    Given a gateway in front of two endpoints
    And the endpoints use the behaviour "complete response" for all requests
    When a caller sends a "check"
    Then the pooled connection fails when a request stays unacknowledged for 3 s

  # Guards against a request that waits for a host that is gone, and against one whose connection is
  # given up while the host only pauses.
  Scenario: A request that is unacknowledged for 1 s is sent to another endpoint and kept
    Given a gateway in front of two endpoints
    And its log is kept
    And the endpoints use the behaviour "no response" for all requests
    And no endpoint acknowledges a request
    When a caller sends a "text" in the background
    Then the request is sent again since it was not acknowledged
    And both endpoints have the request on a connection that is open

  Scenario: A stalled stream continues when the retry budget allows no second attempt
    Given a gateway in front of two endpoints without a retry budget
    And the endpoints use the behaviour "slow stream" for all requests
    When a caller sends a "text" whose response stalls
    Then the response is 200 with body "all events"
    And endpoints received 1 requests

  Scenario: An interrupted stream that cannot be resumed is visibly incomplete
    Given the endpoints use the behaviour "stream truncated in an event" for the next request
    When a caller sends a "once"
    Then the response is incomplete
    And endpoints received 1 requests

  Scenario: A resumed stream sends the id of the last complete event
    Given the endpoints use the behaviour "stream truncated in an event" for the next request
    When a caller sends a "text"
    Then the second request resumes after event 2

  Scenario: Data after a complete response never reaches another caller
    Given the endpoints use the behaviour "extra bytes" for all requests
    When a caller sends a "check" 6 times
    Then the body of each response is the name of an endpoint

  Scenario: The key is removed and the organisation is forwarded
    When a caller sends a "check" with a forged organisation
    Then the endpoint received the organisation "org-1" and no key
    And the endpoint received the remaining time and its own name

  Scenario: Unknown keys, unknown routes and oversized requests are rejected
    When a caller sends a "check" with the key "stolen"
    Then the response is 401 with body ""
    When a caller sends a "nowhere"
    Then the response is 404 with body ""
    When a caller sends a header that is too long
    Then the response is 431 with body ""
    When a caller sends a body that is too long
    Then the response is 413 with body ""
    And endpoints received 0 requests

  Scenario: A request is cancelled when its caller disconnects
    Given the endpoints use the behaviour "no response" for all requests
    When a caller sends a "hold" and disconnects
    Then the request at the endpoint is cancelled

  Scenario: A request without a response is answered at the timeout of its route
    Given the endpoints use the behaviour "no response" for all requests
    When a caller sends a "brief"
    Then the response is 504 with body ""

  Scenario: A request is rejected with a Retry-After header if there is no endpoint
    Given the store contains no endpoint
    When a caller sends a "hold"
    Then the response is 503 with body ""
    And the response has a Retry-After header

  Scenario: A planned stop completes the streams in progress
    Given the endpoints use the behaviour "slow stream" for all requests
    When a caller sends a "text" and the daemon begins a planned stop
    And the endpoint resumes the stream
    Then the response is 200 with body "all events"
    And the daemon has stopped

  Scenario: A request that was sent is not reported as not executed after the grace period
    Given the endpoints use the behaviour "no response" for all requests
    When a caller sends a "hold" and the daemon begins a planned stop
    Then the response is 502 with body ""
    And the daemon has stopped

  Scenario: A stopping daemon is not ready and closes each connection after its response
    Given the endpoints use the behaviour "slow stream" for all requests
    When a caller sends a "text" and the daemon begins a planned stop
    Then the daemon is not ready
    And another caller's connection is closed after its response

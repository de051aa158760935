Feature: Requests with declared lengths reach an endpoint and come back unchanged

  Background:
    Given a gateway before two endpoints

  Scenario Outline: What an endpoint does decides what the caller of a <kind> gets
    Given the next request meets "<behaviour>"
    When a caller sends a "<kind>"
    Then the answer is <status> and "<body>"
    And endpoints received <sends> requests

    Examples: calls that may run again
      | kind  | behaviour                 | status | body  | sends |
      | check | whole                     | 200    | whole | 1     |
      | check | failure                   | 200    | whole | 2     |
      | check | not run                   | 200    | whole | 2     |
      | check | another endpoint          | 200    | whole | 2     |
      | check | lost                      | 200    | whole | 2     |
      | check | foreign                   | 200    | whole | 2     |
      | check | unsigned                  | 200    | whole | 2     |
      | check | truncated                 | 200    | whole | 2     |
      | check | no answer in the protocol | 200    | whole | 2     |
      | check | unframed                  | 200    | whole | 1     |
      | check | unframed and reset        | 200    | whole | 2     |
      | check | silent                    | 200    | whole | 2     |

    Examples: calls that may run once
      | kind | behaviour                 | status | body   | sends |
      | hold | whole                     | 200    | whole  | 1     |
      | hold | failure                   | 500    | failed | 1     |
      | hold | not run                   | 200    | whole  | 2     |
      | hold | another endpoint          | 200    | whole  | 2     |
      | hold | lost                      | 502    |        | 1     |
      | hold | foreign                   | 502    |        | 1     |
      | hold | unsigned                  | 502    |        | 1     |
      | hold | truncated                 | 502    |        | 1     |
      | hold | no answer in the protocol | 502    |        | 1     |
      | hold | plain 503                 | 502    |        | 1     |
      | hold | unframed and reset        | 502    |        | 1     |

    Examples: streams
      | kind | behaviour              | status | body       | sends |
      | text | stream                 | 200    | all events | 1     |
      | text | stream cut in an event | 200    | all events | 2     |
      | text | stream with a gap      | 200    | all events | 2     |
      | text | stream that pauses     | 200    | all events | 2     |
      | text | lost                   | 200    | all events | 2     |
      | once | stream                 | 200    | all events | 1     |
      | once | lost                   | 502    |            | 1     |

  Scenario: A request that may be sent again does not stay unacknowledged for long
    Given a gateway before two endpoints
    And all requests meet "whole"
    When a caller sends a "check"
    Then the kept connection breaks when a request stays unacknowledged for 1 s

  Scenario: A silent stream goes on where the budget allows no second send
    Given a gateway before two endpoints without a budget for repeats
    And all requests meet "slow stream"
    When a caller sends a "text" that pauses for long
    Then the answer is 200 and "all events"
    And endpoints received 1 requests

  Scenario: A stream that may not run again breaks off visibly
    Given the next request meets "stream cut in an event"
    When a caller sends a "once"
    Then the answer is not whole
    And endpoints received 1 requests

  Scenario: A resumed stream names the last whole event
    Given the next request meets "stream cut in an event"
    When a caller sends a "text"
    Then the second request resumes after event 2

  Scenario: Bytes after a whole answer never reach another caller
    Given all requests meet "extra bytes"
    When a caller sends a "check" 6 times
    Then each answer is the name of an endpoint

  Scenario: The key stays here and the organisation goes along
    When a caller sends a "check" with a forged organisation
    Then the endpoint got the organisation "org-1" and no key
    And the endpoint got the time that is left and its own name

  Scenario: Unknown keys, routes and unreadable requests are refused
    When a caller sends a "check" with the key "stolen"
    Then the answer is 401 and ""
    When a caller sends a "nowhere"
    Then the answer is 404 and ""
    When a caller sends a header that is too long
    Then the answer is 431 and ""
    When a caller sends a body that is too long
    Then the answer is 413 and ""
    And endpoints received 0 requests

  Scenario: A caller that leaves stops the work
    Given all requests meet "silent"
    When a caller sends a "hold" and leaves
    Then the endpoint's connection ends

  Scenario: A request that the endpoint keeps too long is answered when its route's time is over
    Given all requests meet "silent"
    When a caller sends a "brief"
    Then the answer is 504 and ""

  Scenario: Without any endpoint the refusal says when to come back
    Given the store lists no endpoint
    When a caller sends a "hold"
    Then the answer is 503 and ""
    And the answer says when to come back

  Scenario: A planned stop finishes the streams that it took
    Given all requests meet "slow stream"
    When a caller sends a "text" and the daemon is told to stop
    And the endpoint goes on
    Then the answer is 200 and "all events"
    And the daemon has stopped

  Scenario: At the end of the grace time nothing that was sent is called not run
    Given all requests meet "silent"
    When a caller sends a "hold" and the daemon is told to stop
    Then the answer is 502 and ""
    And the daemon has stopped

  Scenario: A stopping daemon is not ready at once and closes what it answers
    Given all requests meet "slow stream"
    When a caller sends a "text" and the daemon is told to stop
    Then the daemon is not ready
    And another caller's connection is closed after its answer

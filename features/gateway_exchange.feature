Feature: A request has at most one attempt in flight

  Scenario: A failed connect leaves no timer behind
    Given a request whose first endpoint is unreachable
    And every other placement would delay other requests
    When 4 seconds pass
    Then the request is retried exactly once

  Scenario: A rejected attempt leaves no timer behind
    Given a request whose first endpoint replies that it did not execute it
    And every other placement would delay other requests
    When 4 seconds pass
    Then the request is retried exactly once

  Scenario: No attempt follows the final response
    Given a request with a timeout of 1.92 s whose first endpoint is unreachable
    And every other placement would delay other requests
    When 4 seconds pass
    Then the caller receives one response
    And the request is not retried

  # Guards against calls on a closed socket, which raised OSError in the event loop of a daemon.
  Scenario: A connection that is closed while its establishment is being reported ignores the report
    Given two connections that are established at the same time, each of which closes the other
    When the event loop handles both events in one round
    Then one connection is established and the event loop logs no error

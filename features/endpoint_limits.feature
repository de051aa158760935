Feature: Endpoints name the rate of requests that they take

  # Guards against an endpoint in need that gets more requests than it takes from all daemons.
  Scenario: Daemons together keep to the rate limit that an endpoint names
    Given 3 gateways in front of 1 endpoint that takes 1 request a second
    When each daemon is told the limit
    And 10 callers at once send a "check" to each daemon
    Then the endpoint received no more requests than it takes
    And the other callers were refused with a Retry-After header

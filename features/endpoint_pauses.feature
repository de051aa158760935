Feature: Endpoints that reject a request say for how long they take none

  # Guards against requests that a daemon sends to an endpoint that has asked it for a pause.
  Scenario: A daemon sends nothing to an endpoint that has asked it for a pause
    Given a gateway in front of two endpoints
    And the first endpoint uses the behaviour "rejection for 30 s"
    And the second endpoint uses the behaviour "not executed"
    When a caller sends a "check" 10 times
    Then the first endpoint received at most 1 request

  # Guards against trying each endpoint in turn while all of them have asked for a pause.
  Scenario: While all endpoints pause, requests are refused at once with a time to come back
    Given a gateway in front of two endpoints
    And the endpoints use the behaviour "rejection for 30 s" for all requests
    When a caller sends a "check" 10 times
    Then every response is 503
    And each endpoint received at most 1 request
    And the last response has a Retry-After of at least 2 s

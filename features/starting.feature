Feature: Requests that arrive before a daemon has a configuration

  Guards against refusing all requests when all hosts restart while the store is unavailable: callers of
  interrupted streams have one retry left. Simulated time; only the last scenarios use sockets.

  Scenario: Held requests are processed in order once a configuration is known
    Given a daemon without a configuration
    When callers a, b and c send requests with a timeout of 10 s, 0.2 s apart
    And a configuration arrives after 0.5 s
    Then the requests of callers a, b and c are processed with their arrival times
    And no request is held

  Scenario: A held request is refused while its caller has time for a retry
    Given a daemon without a configuration
    When caller a sends a request with a timeout of 10 s
    And 1.4 s pass without a configuration
    Then no held request is refused
    When 0.2 s pass without a configuration
    Then the request of caller a is refused

  Scenario: A request that resumes a stream is held for longer
    Given a daemon without a configuration
    When caller a sends a request with a timeout of 10 s that resumes a stream
    And 3.9 s pass without a configuration
    Then no held request is refused
    When 0.2 s pass without a configuration
    Then the request of caller a is refused

  Scenario: A short timeout shortens the hold, and a disconnect ends it
    Given a daemon without a configuration
    When caller a sends a request with a timeout of 0.6 s
    And caller b sends a request with a timeout of 10 s
    And caller b disconnects
    And 0.1 s pass without a configuration
    Then the request of caller a is refused
    And no request is held

  Scenario: The number and size of held requests are bounded
    Given a daemon without a configuration
    When 300 callers send requests with a timeout of 10 s
    Then 256 requests are held
    When callers send requests with bodies of 4 MB until one is not held
    Then 4 requests with such bodies are held

  Scenario: A planned stop refuses held requests
    Given a daemon without a configuration
    When callers a, b and c send requests with a timeout of 10 s, 0.2 s apart
    And the daemon begins a planned stop
    Then the requests of callers a, b and c are refused

  Scenario: A request that arrives before the configuration is served
    Given a gateway with one endpoint and an empty store
    When a caller sends a "check" and the store receives its records 0.2 s later
    Then the response is 200 with body "endpoint name"

  Scenario: A held request is refused as not executed when the daemon stops
    Given a gateway with one endpoint and an empty store
    When a caller sends a "check" and the gateway receives the stop signal 0.2 s later
    Then the response is 503 with a Retry-After of 0.01 s

Feature: Daemons share configuration, endpoints and load

  Scenario: A new configuration takes effect at all daemons and is never reverted
    Given 3 gateways in front of two endpoints
    When version 8 of the configuration removes the key
    Then every daemon eventually rejects the key
    When an older version of the configuration is stored
    Then every daemon still rejects the key

  Scenario: A draining endpoint gets no new requests
    Given 3 gateways in front of two endpoints
    When the first endpoint reports that it is draining
    Then every daemon eventually knows one endpoint
    When each daemon serves 6 requests
    Then the first endpoint received no further request

  Scenario: A daemon without access to the store receives changes from its peers
    Given 3 gateways in front of two endpoints
    And the store rejects calls of the third daemon
    When version 8 of the configuration removes the key
    Then every daemon eventually rejects the key
    When the first endpoint reports that it is draining
    Then every daemon eventually knows one endpoint

  Scenario: Endpoints that expired during a store outage are removed only after a delay
    Given 1 gateways in front of two endpoints
    When the store is unavailable and returns without the endpoints
    Then the daemon still knows 2 endpoints
    And the daemon eventually knows no endpoint

  Scenario: A daemon without a configuration refuses requests unexecuted and is not ready
    Given a gateway with an empty store
    When a caller sends a "check"
    Then the response is 503 with body ""
    And the response has a Retry-After header
    And the daemon is not ready

  Scenario: Peers count the requests in flight at a daemon until it is terminated
    Given 2 gateways in front of two endpoints
    And the endpoints use the behaviour "slow stream" for all requests
    When a caller sends a "text" to the first daemon and waits
    Then the second daemon eventually sees 1 call in flight
    When the first daemon crashes
    Then the second daemon eventually sees 0 calls in flight

  Scenario: A prompt that exceeds one engine's memory is reserved at several engines and released
    Given a gateway in front of 4 engines
    And the endpoints use the behaviour "stream" for all requests
    When a caller declares a prompt of 150000 tokens
    Then the response is 200 with body "all events"
    And the request named helpers with reserved memory
    And every reservation was released

  Scenario: Memory held for an endpoint that goes dark is released while its caller waits
    Given a gateway in front of 4 engines
    And the endpoints use the behaviour "unresponsive host" for all requests
    When a caller declares a prompt of 150000 tokens on "once" and waits
    Then every reservation was released
    And the caller is still waiting

  Scenario: After a refused reservation all memory is released and the request is refused unexecuted
    Given a gateway in front of 4 engines
    And the endpoints use the behaviour "no memory" for all requests
    When a caller declares a prompt of 150000 tokens
    Then the response is 503 with body ""
    And every reservation was released
    And endpoints received 0 requests

  Scenario: Daemons share the results of store reads
    Given 3 gateways in front of two endpoints
    When the daemons have polled the store for a while
    Then the store was read less than twice as often as by one daemon

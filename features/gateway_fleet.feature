Feature: Daemons share configuration, endpoints and load

  Scenario: A new configuration takes effect at all daemons and is never reverted
    Given 3 gateways before two endpoints
    When version 8 of the configuration removes the key
    Then every daemon eventually refuses the key
    When an older version is written to the store
    Then every daemon still refuses the key

  Scenario: A draining endpoint gets no new requests
    Given 3 gateways before two endpoints
    When the first endpoint reports that it is draining
    Then every daemon eventually uses one endpoint
    When each daemon serves 6 requests
    Then the first endpoint received no request after that

  Scenario: A daemon without access to the store receives changes from its peers
    Given 3 gateways before two endpoints
    And the store is unavailable to the third daemon
    When version 8 of the configuration removes the key
    Then every daemon eventually refuses the key
    When the first endpoint reports that it is draining
    Then every daemon eventually uses one endpoint

  Scenario: Endpoints that expired during a store outage are removed only after a delay
    Given 1 gateways before two endpoints
    When the store recovers from an outage without the endpoints
    Then the daemon still knows 2 endpoints
    And the daemon eventually knows no endpoint

  Scenario: A daemon without a configuration refuses requests unexecuted and is not ready
    Given a gateway with an empty store
    When a caller sends a "check"
    Then the answer is 503 and ""
    And the answer says when to come back
    And the daemon is not ready

  Scenario: Peers count the requests in flight at a daemon until it is terminated
    Given 2 gateways before two endpoints
    And all requests meet "slow stream"
    When a caller sends a "text" to the first daemon and waits
    Then the second daemon eventually counts 1 request in flight
    When the first daemon is terminated
    Then the second daemon eventually counts 0 requests in flight

  Scenario: A prompt that exceeds one engine's memory is reserved at several engines and released
    Given a gateway before 4 engines
    And all requests meet "stream"
    When a caller declares a prompt of 150000 tokens
    Then the answer is 200 and "all events"
    And the request listed helpers with reserved memory
    And every reservation was released

  Scenario: Memory held for an endpoint that goes dark is released while its caller waits
    Given a gateway before 4 engines
    And all requests meet "dark"
    When a caller declares a prompt of 150000 tokens on "once" and waits
    Then every reservation was released
    And the caller is still waiting

  Scenario: After a refused reservation all memory is released and the request is refused unexecuted
    Given a gateway before 4 engines
    And all requests meet "no memory"
    When a caller declares a prompt of 150000 tokens
    Then the answer is 503 and ""
    And every reservation was released
    And endpoints received 0 requests

  Scenario: Daemons share the results of store reads
    Given 3 gateways before two endpoints
    When the daemons have polled the store for a while
    Then the store was read less than twice as often as by a single daemon

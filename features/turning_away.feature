Feature: Endpoints that reject requests although they have capacity

  Endpoints that start draining during a store outage look ready and reject requests. Daemons must
  find them from the rejections. Daemons and endpoints are simulated without a network.

  Scenario: Few requests are rejected twice in a row
    When 20 of the endpoints reject all requests, with seeds 1 to 5
    Then at most 120 sends per run are rejected, and at most 12 requests per run are rejected twice

  Scenario: A daemon continues the backoff that another one has started
    Given an endpoint that one daemon has avoided twice
    When another daemon that received its notice sees a failure there
    Then it avoids the endpoint for twice as long

  Scenario Outline: A rejection makes an endpoint suspect only if it had free slots
    Given a stream at an endpoint with 8 slots of which other requests use <used>
    When the endpoint reports that it did not run the request
    Then the endpoint is <state>

    Examples:
      | used | state       |
      | 0    | avoided     |
      | 4    | avoided     |
      | 5    | not avoided |
      | 8    | not avoided |

  Scenario: Failures seen by two daemons make an endpoint suspect, those seen by one do not
    Given a daemon that has just seen an uncertain failure of an endpoint
    Then the daemon does not suspect the endpoint
    When a peer reports a failure of the endpoint 0.3 s later
    Then the daemon suspects the endpoint and notifies its peers

  Scenario: Failures far apart in time do not make an endpoint suspect
    Given a daemon that has just seen an uncertain failure of an endpoint
    When a peer reports a failure of the endpoint 1.0 s later
    Then the daemon does not suspect the endpoint

  Scenario: Error responses may be caused by the requests
    Given a daemon that has just received an error response from an endpoint
    Then the daemon reports no failure to its peers
    When a peer reports a failure of the endpoint 0.3 s later
    Then the daemon does not suspect the endpoint

  Scenario: After some time without failures the backoff starts over
    Given an endpoint that one daemon has avoided twice
    When the daemon sees a failure there 10 s later
    Then it avoids the endpoint for 0.8 s

  Scenario: A repeated report by the same peer is not a second failure
    Given a daemon that has seen no failure
    When a peer reports a failure of the endpoint 0.3 s later
    And a peer reports a failure of the endpoint 0.1 s later
    Then the daemon does not suspect the endpoint

  Scenario: Endpoints that reset all connections but report themselves healthy are detected
    When 7 of the endpoints reset all connections, with seeds 1 to 5
    Then at most 5 requests per run fail

  Scenario: Randomly lost responses do not exclude endpoints for long
    When all endpoints lose 1 response in 20, with seeds 1 to 5
    Then on average at most 2 endpoints are avoided

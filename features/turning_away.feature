Feature: Endpoints that turn requests away though they have room

  The pattern: the store is silent and a fourth of the endpoints begins to leave. Nobody can read that
  they do; each answers that it did not run the request. 58 daemons before 78 endpoints, 125 requests a
  second for 8 s, two sends a request, words of daemons 0.06 s on their way; simulated, without network.

  Scenario: Few requests meet two of them in a row
    When 20 of the endpoints turn away all requests, with seeds 1 to 5
    Then at most 120 sends a play meet one, and at most 12 requests a play meet two

  Scenario: What one daemon met goes on from there at the next one
    Given an endpoint that one daemon has avoided twice
    When another daemon that heard of it meets a failure there
    Then it avoids the endpoint for twice as long again

  Scenario Outline: A request that was turned away says something of the endpoint only where it had room
    Given a stream at an endpoint of 8 places of which others have <taken>
    When the endpoint says that it did not run it
    Then the endpoint is <believed>

    Examples:
      | taken | believed    |
      | 0     | avoided     |
      | 4     | avoided     |
      | 5     | not avoided |
      | 8     | not avoided |

  Scenario: Failures that two daemons meet at one endpoint make it suspect, those of one do not
    Given a daemon that has just met a failure at an endpoint
    Then no endpoint is suspect there
    When a peer tells of a failure there 0.3 s later
    Then it is suspect there, and its word says so

  Scenario: Failures that lie apart make nothing suspect
    Given a daemon that has just met a failure at an endpoint
    When a peer tells of a failure there 1.0 s later
    Then no endpoint is suspect there

  Scenario: Failures that an endpoint answers with may be the requests' fault
    Given a daemon to which an endpoint has just answered with a failure
    Then it tells nobody of it
    When a peer tells of a failure there 0.3 s later
    Then no endpoint is suspect there

  Scenario: After a while without trouble an endpoint is avoided for the shortest time again
    Given an endpoint that one daemon has avoided twice
    When it meets a failure there 10 s later
    Then it avoids the endpoint for 0.8 s

  Scenario: What the same peer tells again is no second failure
    Given a daemon that has met no failure
    When a peer tells of a failure there 0.3 s later
    And a peer tells of a failure there 0.1 s later
    Then no endpoint is suspect there

  Scenario: Endpoints that reset all connections while they say well are found by the fleet
    When 7 of the endpoints reset all connections, with seeds 1 to 5
    Then at most 5 requests a play fail

  Scenario: Answers that are lost by chance keep no endpoint out for long
    When all endpoints lose 1 answer in 20, with seeds 1 to 5
    Then on average at most 2 endpoints are avoided

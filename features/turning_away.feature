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

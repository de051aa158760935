Feature: Work in flight is shared between many daemons at a cost that stays flat

  Real peers in simulated time on a simulated network. Daemons of a zone report to one of them, which
  tells the other zones' ones and its own; small fleets tell each other directly.

  Scenario: A small fleet has no groups: a change goes to each other daemon in one datagram
    Given 9 daemons in 3 zones that know each other
    When one of them begins a request
    Then all count it once within 0.02 seconds
    And that daemon sent at most 8 datagrams for it

  Scenario: A large fleet learns of a request everywhere, and of its end
    Given 195 daemons in 5 zones that know each other
    Then each knows that 195 live, and one daemon of each zone speaks
    When one of them begins a request
    Then all count it once within 0.4 seconds
    When that request ends
    Then nobody counts it after 0.4 seconds

  Scenario: What a daemon sends and gets for its requests does not grow with the fleet
    Given fleets of 30 and of 195 daemons with a request a second each for 4 seconds
    Then one of the large fleet gets at most 1.5 times the datagrams of one of the small fleet
    And none of the large fleet sends more than 20 times the bytes of the middle one
    And the middle one of the large fleet gets at most 13 KB a second

  Scenario: What one daemon met at an endpoint is known in all zones, and told by nobody else for it
    Given 60 daemons in 3 zones that know each other
    When a daemon that does not speak avoids an endpoint for 0.8 seconds
    Then all others have heard of it within 0.3 seconds
    And nobody tells of it after 2 seconds

  Scenario Outline: A zone goes on when the daemon that speaks for it <trouble>
    Given 60 daemons in 3 zones that know each other
    And each of them has a request in flight
    When the daemon that speaks for the first zone <trouble>
    Then within <seconds> seconds another one speaks and all counts are right

    Examples:
      | trouble                        | seconds |
      | is cut off                     | 6       |
      | dies                           | 6       |
      | begins its planned stop        | 1       |
      | is not heard by its members    | 8       |
      | does not hear its members      | 8       |

  Scenario: A daemon that speaks and was frozen counts nothing twice when it wakes
    Given 60 daemons in 3 zones that know each other
    And each of them has a request in flight
    When the daemon that speaks for the first zone is cut off for 6 seconds
    Then within 12 seconds all counts are right and each knows that 60 live

  Scenario: A daemon that starts again under its address starts from nothing
    Given 60 daemons in 3 zones that know each other
    And each of them has a request in flight
    When a daemon that does not speak starts again
    Then within 2 seconds its request counts nowhere and its new one counts once

  Scenario: One datagram in ten is lost
    Given 60 daemons in 3 zones that know each other
    And one datagram in 10 is lost
    And each of them has a request in flight
    Then within 4 seconds all counts are right

  Scenario: All daemons start at once, and the platform's list names many that are gone
    Given 60 daemons that start at once with a list that names 30 dead ones
    Then within 6 seconds each knows that 60 live, and one daemon of each zone speaks

  Scenario: Regions lose each other and find each other again
    Given 60 daemons in 3 zones that know each other
    And each of them has a request in flight
    When the first zone cannot reach the others for 10 seconds
    Then within 3 seconds all counts are right and each knows that 60 live

  Scenario: Whatever happens in whatever order, counts are right a while after it
    Then random requests, cuts, deaths, starts and losses leave right counts after 12 seconds

  Scenario Outline: A message for <hosts> hosts reaches each once, and nobody sends more than <most>
    Then <hosts> hosts are parted into branches of which none sends more than <most> copies

    Examples:
      | hosts | most |
      | 0     | 0    |
      | 5     | 5    |
      | 6     | 6    |
      | 38    | 7    |
      | 99    | 10   |

Feature: An endpoint that was avoided as failing is used again without being overrun

  # Guards against daemons that all send their waiting requests to the one empty endpoint at the
  # moment in which they stop avoiding it: 75 requests in 30 ms, of which most were turned away.
  Scenario Outline: The waiting requests of all daemons fill it by turns
    Given <daemons> daemons with <waiting> requests of <kinds> each that wait for 5 full engines and a suspect one
    When all daemons stop avoiding that engine at the same moment
    Then at most <most> requests are sent to its 12 slots
    And all its slots are used within 2.5 s

    Examples:
      | daemons | waiting | kinds           | most |
      | 30      | 4       | one priority    | 18   |
      | 58      | 4       | two priorities  | 18   |
      | 82      | 1       | two priorities  | 18   |

  # Guards against slots that stay unused where daemons hear of each other's requests at once.
  Scenario: In a small fleet a recovered endpoint offers all its slots
    Given 6 daemons with 2 requests of one priority each that wait for 5 full engines and a suspect one
    When all daemons stop avoiding that engine at the same moment
    Then all its slots are used within 0.05 s

  Scenario: An endpoint that was not avoided offers all its slots
    Then an endpoint that was never suspect is not among those that have recovered

  # Guards against a request that goes first and queues for a slot that is not offered yet.
  Scenario Outline: A request that goes first takes no more than the slots that are offered
    Given a request that goes first, 5 full engines and one that recovered <seconds> s ago
    And that engine has <count> requests
    Then the request is placed at <where> engine

    Examples:
      | seconds | count | where   |
      | 0.01    | 0     | that    |
      | 0.01    | 3     | another |
      | 1.6     | 3     | that    |

  # Guards against a service whose endpoints were all avoided, and that then offers next to nothing.
  Scenario Outline: Endpoints that recover together offer all their slots
    Given <suspect> of 6 endpoints that were suspect, <still> of which still are after 0.1 s
    Then <recovered> of them count as recovered
    And 3 s later none of them counts as recovered

    Examples:
      | suspect | still | recovered |
      | 1       | 0     | 1         |
      | 2       | 0     | 2         |
      | 3       | 0     | 0         |
      | 6       | 0     | 0         |
      | 6       | 4     | 0         |

  # Guards against earlier recoveries that switch the rule off for a later one.
  Scenario: Endpoints that recovered before do not count against the next one
    Given 2 of 6 endpoints that recovered 2 s before another one
    Then the last one offers its slots one after the other

Feature: Peers exchange load in groups, at a cost per daemon that does not grow with the fleet

  The peers run in simulated time on a simulated network. In a large fleet, the daemons of a zone
  report to an aggregator, which exchanges load with the others. Small fleets are ungrouped.

  Scenario: In an ungrouped fleet a change takes one datagram per peer
    Given 9 connected daemons in 3 zones
    When one of them starts a request
    Then all daemons count it once within 0.02 seconds
    And that daemon sent at most 8 datagrams for it

  Scenario: In a grouped fleet the start and the end of a request reach all daemons
    Given 195 connected daemons in 5 zones
    Then all daemons see 195 live ones and one aggregator per zone
    When one of them starts a request
    Then all daemons count it once within 0.4 seconds
    When that request ends
    Then no daemon counts it after 0.4 seconds

  Scenario: The traffic per daemon does not grow with the fleet
    Given fleets of 30 and 195 daemons that each start a request a second for 4 seconds
    Then the large fleet receives at most 1.5 times the median datagrams of the small one
    And no daemon of the large fleet sends more than 20 times the median bytes
    And the median daemon of the large fleet receives at most 13 KB per second

  Scenario Outline: Load rows are repeated at the same pace however many messages are sent
    Guards against repeats that grow with the number of messages, as in a flood on 82 daemons.

    Given a publisher of the loads of <endpoints> endpoints
    When it fills <messages> messages a second for 10 seconds, in which nothing changes
    Then it sends <least> to <most> rows a second, and each row at least every <seconds> seconds

    Examples:
      | endpoints | messages | least | most | seconds |
      | 10        | 28       | 60    | 65   | 0.3     |
      | 10        | 250      | 60    | 65   | 0.3     |
      | 60        | 28       | 80    | 100  | 0.8     |
      | 60        | 12       | 80    | 100  | 0.8     |

  Scenario: An endpoint failure seen by one daemon reaches all zones and does not circulate
    Given 60 connected daemons in 3 zones
    When a group member avoids an endpoint for 0.8 seconds
    Then all daemons avoid it within 0.3 seconds
    And no daemon receives reports of it after 2 seconds

  Scenario Outline: A zone gets another aggregator when the current one <failure>
    Given 60 connected daemons in 3 zones
    And each of them has a request in flight
    When the aggregator of the first zone <failure>
    Then within <seconds> seconds the zone has another aggregator and all counts are correct

    Examples:
      | failure                         | seconds |
      | is partitioned                  | 6       |
      | crashes                         | 6       |
      | begins its planned stop         | 1       |
      | cannot send to its members      | 8       |
      | cannot receive from its members | 8       |

  Scenario: An aggregator that reconnects after a partition counts no load twice
    Given 60 connected daemons in 3 zones
    And each of them has a request in flight
    When the aggregator of the first zone is partitioned for 6 seconds
    Then within 12 seconds all counts are correct and all daemons see 60 live ones

  Scenario: A daemon that restarts under the same address starts without load
    Given 60 connected daemons in 3 zones
    And each of them has a request in flight
    When a group member restarts
    Then within 2 seconds its old request is not counted and its new one is counted once

  Scenario: Counts converge despite datagram loss
    Given 60 connected daemons in 3 zones
    And one datagram in 10 is lost
    And each of them has a request in flight
    Then within 4 seconds all counts are correct

  Scenario: All daemons start at once with a stale address list
    Given 60 daemons that start at once with a list of 30 dead ones
    Then within 6 seconds all daemons see 60 live ones and one aggregator per zone

  Scenario: Zones reconnect after a network partition
    Given 60 connected daemons in 3 zones
    And each of them has a request in flight
    When the first zone is partitioned from the others for 10 seconds
    Then within 3 seconds all counts are correct and all daemons see 60 live ones

  Scenario: Counts converge after random events
    Then counts converge 12 seconds after random requests, failures, restarts and losses

  Scenario Outline: A message to <hosts> hosts takes at most <max_copies> copies per sender
    Then a fan-out reaches <hosts> hosts once with at most <max_copies> copies per sender

    Examples:
      | hosts | max_copies |
      | 0     | 0          |
      | 5     | 5          |
      | 6     | 6          |
      | 38    | 7          |
      | 99    | 10         |

  Scenario Outline: Daemons of a zone without a path to the endpoints find those of other zones
    Guards against a zone that is cut off knowing nobody to forward requests to but its own daemons.

    Given <daemons> connected daemons in <zones> zones
    When all daemons of the first zone lose their path to the endpoints
    Then within 1.5 seconds each of them knows nine tenths of the other zones' daemons
    And requests that they forward are spread so that none gets over 2.5 times its share
    And a daemon sends at most 13 KB per second on average meanwhile

    Examples:
      | daemons | zones |
      | 12      | 3     |
      | 60      | 3     |
      | 195     | 3     |

  Scenario Outline: Where two of three zones have lost their path, only the third one's daemons are asked
    Guards against members that answer for their zone without knowing who is cut off.

    Given <daemons> connected daemons in 3 zones
    When all daemons of the first two zones lose their path to the endpoints
    Then within 3 seconds each of them would forward to daemons of the third zone only

    Examples:
      | daemons |
      | 9       |
      | 60      |

  Scenario: A message with sections is read by daemons that know none of them
    # Daemons of two releases exchange load while one replaces the other.
    Given a report with a section of a later release
    Then a daemon reads the report without the section
    And a report without sections is read as before

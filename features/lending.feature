Feature: Slices of an organisation's limits follow demand

  Daemons borrow slices of a contract's limits from one lender per organisation for terms of 2 s.
  A daemon that serves must keep a usable slice while the limit has free capacity: when daemons join
  the host list, when daemons stop or are killed, and during a lender's first term.

  Scenario: Three daemons are replaced in turn, 0.3 seconds apart, with 600 of 1000 slots in use
    Given three daemons that share a limit of 1000 concurrent requests and run 600
    When they are replaced in turn, 0.3 seconds apart, and their callers move to the new daemons
    Then every new daemon is granted at least 8 slots on its first request
    And no serving daemon's slice drops to zero or below its running requests
    And the granted slices never exceed the limit in total

  Scenario: Three daemons are replaced during the lender's first term
    Given three daemons that share a limit of 1000 concurrent requests and run 600
    And their lender started 1 second earlier
    When they are replaced in turn, 0.3 seconds apart, and their callers move to the new daemons
    Then every new daemon is granted at least 8 slots on its first request
    And no serving daemon's slice drops to zero or below its running requests
    And the granted slices never exceed the limit in total

  Scenario Outline: A new daemon is granted a slot of a small limit that is half in use
    Given three daemons that share a limit of <limit> concurrent requests and run <running>
    When another daemon joins
    Then it is granted at least 1 slot on its first request
    And the granted slices never exceed the limit in total

    Examples:
      | limit | running |
      | 6     | 3       |
      | 10    | 5       |
      | 32    | 16      |

  Scenario: All slots are granted when there are more daemons than slots
    Given a limit of 4 concurrent requests and 9 daemons that all have demand
    When they renew their slices for 5 terms
    Then all 4 slots are granted
    And the granted slices never exceed the limit in total

  Scenario: A surviving daemon keeps its slice when the others become unreachable
    Given four daemons that share a limit of 1000 concurrent requests and run 40
    When three of them are killed at the same time
    Then the fourth keeps at least 8 free slots
    And the granted slices never exceed the limit in total

  Scenario: A daemon just added to the host list does not count as unreachable
    Given a daemon that has read a host list with three daemons
    When a fourth daemon is added to the list
    Then it counts as unreachable only after the silence timeout that applies to every daemon
    And a daemon that starts counts every daemon on its first list

  Scenario: The host list may change while another thread queries it
    Given a host list to which a fourth daemon is repeatedly added and removed
    When the list is read 2000 times while another thread queries the known daemons
    Then every query returns the three permanent daemons

  Scenario: A stopping daemon returns its slices
    Given a site of 3 daemons and 1 engine
    And every daemon holds a slice
    When a daemon other than the lender stops
    Then the lender no longer lists a slice for it

  Scenario: A daemon becomes ready after it has heard from another daemon
    Given a daemon whose host list names a peer that it has not heard from
    Then it is not ready until it hears from the peer or the silence timeout expires

  Scenario: Excess requests leave no daemon without slots
    # Refused requests counted as running, so some daemons were granted no slots.
    Given 3 daemons share a limit of 30 concurrent requests
    When each daemon receives ten times as many requests for 10 seconds
    Then each daemon ran at least 9 requests at all times after the first 4 seconds
    And no more than 30 requests ran in total at any time

  Scenario: A daemon requests a larger slice before it refuses a request
    # Slices that grew only at renewals caused refusals while the limit had free capacity.
    Given 4 daemons share a limit of 1000 concurrent requests
    When 200 requests run on each of the first three
    And 200 requests reach the fourth at the same time
    Then none of them is refused
    And no more than 1000 requests ran in total at any time

  Scenario: Rates that move between daemons admit no more than the limit and one burst
    Then for any demand and use, 4 daemons together use at most the limits plus one burst

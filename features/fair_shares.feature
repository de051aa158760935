Feature: One order of waiting requests across daemons

  More urgent requests go before less urgent ones, and organisations get equal shares of the slots,
  whichever daemons their requests wait on. The floods are simulated: 10 engines of 8 slots serve 50
  requests a second, those of the flood come from one organisation, those of the others from another.

  Scenario Outline: Who yields: <load>
    Given the fleet's demand is <rows>
    Then a request of <request> <turn>

    Examples: rows are priority and organisation, waiting and in use
      | load                                       | rows                                       | request | turn                    |
      | a flood holds all slots, another waits     | 1 large 70+80, 1 small 1+0                 | 1 large | yields to 1 small       |
      | the other one goes first                   | 1 large 70+80, 1 small 1+0                 | 1 small | goes first              |
      | an organisation asks for less than a share | 1 large 70+72, 1 small 2+8                 | 1 small | goes first              |
      | two floods of equal shares                 | 1 large 70+40, 1 small 60+40               | 1 small | keeps its daemon's turn |
      | of two floods one is below its share       | 1 large 70+50, 1 small 60+30               | 1 large | yields to 1 small       |
      | urgent requests wait                       | 0 small 1+3, 2 large 50+77                 | 2 large | yields to 0 small       |
      | less urgent requests wait                  | 0 small 1+3, 2 large 50+77                 | 0 small | goes first              |
      | urgent requests are all served             | 0 small 0+3, 2 large 50+77                 | 2 large | keeps its daemon's turn |
      | the other organisation does not wait       | 1 large 70+75, 1 small 0+5                 | 1 large | keeps its daemon's turn |
      | one organisation                           | 1 large 70+80                              | 1 large | keeps its daemon's turn |
      | a request that no daemon has reported      | 1 large 70+80                              | 1 small | goes first              |
      | nothing is known                           | nothing                                    | 1 large | keeps its daemon's turn |
      | no slot is in use                          | 1 large 70+0, 1 small 2+0                  | 1 large | keeps its daemon's turn |
      | another service is flooded                 | 1 small 3+0 at other, 1 large 70+80        | 1 large | keeps its daemon's turn |

  Scenario: Shares add up to the slots and favour nobody
    Then shares of any demand add up to the slots, or to the demand if that is less
    And no organisation below its demand gets less than another one

  Scenario: A daemon reports demand only while a request waits
    Given a daemon with 3 slots in use
    Then it reports no demand
    When a request waits elsewhere
    Then it reports 0 waiting and 3 in use
    When 2 requests wait there
    Then it reports 2 waiting and 3 in use
    And its peers were told at once of the first one only

  Scenario: Requests that begin and stop to wait in turns do not keep the queue busy
    # Each change of the waiting keys reviewed the queue at once, and the review made the next change.
    Given a short burst of anonymous requests at twice the usual load for 6 seconds
    When it is simulated with at most 2000 timers set in one moment
    Then it comes to its end

  Scenario: A daemon reports at most 32 rows, most waiting first
    Given a daemon on which requests of 40 organisations wait, 1 to 40 each
    Then it reports 32 rows, the least of them with 9 waiting

  Scenario: Requests that yield come after those that do not, on one daemon too
    Given a daemon where a request of the flood waits before one of another organisation
    Then its queue is reviewed in the order small, large

  Scenario: A request that goes first is not refused as late while others yield to it
    # Of the others' late requests 0.2 were refused while the flood's were sent.
    Given a daemon where many late requests of the flood wait
    Then a late request of the flood may not wait
    And a late request of the other organisation may wait

  Scenario Outline: All of <daemons> daemons know the demand of the fleet
    Given <daemons> daemons in 3 zones that exchange demand
    When a request waits on the first and the last one
    Then within 1 second all of them count 2 waiting requests and the slots in use
    When these requests wait no longer
    Then within 1 second none of them counts any demand

    Examples:
      | daemons |
      | 6       |
      | 12      |
      | 30      |

  Scenario: The demand of a silent daemon expires with its load
    Given 30 daemons in 3 zones that exchange demand
    When a request waits on the first and the last one
    And 1 s passes for them
    And the last one is cut off
    Then within 6 seconds the others count 1 waiting request

  Scenario: Lost datagrams delay the demand by some heartbeats only
    Given 30 daemons in 3 zones that exchange demand
    And one of 10 datagrams between them is lost
    When a request waits on the first and the last one
    Then within 4 seconds all of them count 2 waiting requests and the slots in use
    When these requests wait no longer
    Then within 4 seconds none of them counts any demand

  Scenario: Both halves of a divided fleet order their own requests
    Given 12 daemons in 3 zones that exchange demand
    When the fleet is divided into the first 6 and the last 6 daemons
    And 6 s passes for them
    And a request waits on the first and the last one
    Then within 2 seconds each half counts 1 waiting request

  Scenario: A daemon of the previous release beside new ones neither reports nor yields
    Given a report with demand
    Then a daemon of the previous release reads it without the demand
    And a report of the previous release has no demand

  Scenario: Digests that leave the demand out lose no row of it
    Guards against a receiver that never learns of an organisation whose row was left out.

    Then after any digests a receiver knows all keys that wait, and counts at most 0.1 s old

  Scenario: A member that keeps its rows keeps what was acknowledged with them
    Guards against own requests that are subtracted from rows which do not include them yet.

    Given a member that reported 1 waiting request, and a digest with that one and 4 of others
    When it reports 3 waiting requests, and a digest without rows acknowledges them
    Then it counts 7 waiting requests
    When a digest with these rows arrives
    Then it counts 7 waiting requests

  Scenario Outline: Daemons agree on the demand of 24 organisations soon after it settles
    Guards against rows that are lost because a digest without them was the last to tell.

    Given 30 daemons in 3 zones that exchange demand
    And one of <lost> datagrams between them is lost
    When requests of 24 organisations begin and stop to wait everywhere for 3 seconds
    Then within <seconds> seconds all of them know each row of the demand

    Examples:
      | lost    | seconds |
      | 1000000 | 0.8     |
      | 10      | 4       |

  Scenario: An aggregator sends whole demand to members of which one is of the previous release
    Guards against a daemon that takes digests without rows for a fleet in which nothing waits.

    Given 30 daemons in 3 zones that exchange demand
    And a member of the first zone is of the previous release
    When requests of 24 organisations begin and stop to wait everywhere for 3 seconds
    Then the digests for its zone all carry the demand, and those for another zone do not

  Scenario: In a flood a daemon of 82 sends and receives at most 13 KB a second
    Guards against digests that repeat rows, acknowledgements or demand more often than they change.
    Before, 82 daemons sent and received 14 KB a second each.

    Given a flood of 70 a second beside 20 a second on 82 daemons
    When the flood is simulated
    Then the mean daemon sends and receives at most 13 KB per second

  Scenario: What is counted by part of a message adds up to what was sent
    Guards against parts that are missing from the table of what a flood sends.

    Given a flood of 70 a second beside 20 a second on 14 daemons
    When the flood is simulated and its messages are counted
    Then the parts of each kind of message add up to it, and the kinds to all that was sent

  Scenario Outline: <flood> a second beside <others> a second, from <daemons> daemons
    Given a flood of <flood> a second beside <others> a second on <daemons> daemons
    When the flood is simulated
    Then the others' first tries in time are at least 0.95 of before
    And 44 to 56 requests a second are served

    Examples:
      | flood | others | daemons |
      | 110   | 5      | 6       |
      | 70    | 20     | 6       |
      | 110   | 5      | 12      |
      | 70    | 20     | 12      |
      | 70    | 20     | 82      |
      | 70    | 20     | 195     |

  Scenario Outline: Urgent requests beside a flood of less urgent ones, from <daemons> daemons
    Given a flood of 70 less urgent requests a second beside 20 a second on <daemons> daemons
    When the flood is simulated
    Then at least 0.97 of the others' first tries are in time
    And 44 to 56 requests a second are served

    Examples:
      | daemons |
      | 12      |
      | 82      |
      | 195     |

  Scenario: Slots are used although only requests that yield could use them
    # The rows of a daemon that is cut off go on asking for slots until they expire.
    Given a flood of 110 a second beside 5 a second on 6 daemons
    And all daemons are told that 3 requests of a third organisation wait
    When the flood is simulated
    Then 44 to 56 requests a second are served

  Scenario: Requests of one organisation only are placed as without the fair order
    Given a flood of 60 a second of the same organisation beside 20 a second on 6 daemons
    When it is simulated with and without the fair order
    Then both results are the same but for bytes

  Scenario Outline: A slot that one of <daemons> running daemons frees goes to the one that is ahead
    Given <daemons> running daemons whose 4 slots a flood uses, one of it waiting on each
    When a request of <who> waits on the last daemon
    And all others yield to it
    And a stream of the first daemon ends
    Then the endpoint gets the request of <who>

    Examples:
      | daemons | who    |
      | 6       | small  |
      | 6       | urgent |
      | 12      | small  |
      | 12      | urgent |

  Scenario: With fair shares switched off a freed slot goes to the next request of its daemon
    Given 6 running daemons whose 4 slots a flood uses, one of it waiting on each
    And their fair shares are switched off
    When a request of small waits on the last daemon
    And a stream of the first daemon ends
    Then the endpoint gets the request of large

  Scenario: Waiting lines and metrics say who yields to whom
    Given 6 running daemons whose 4 slots a flood uses, one of it waiting on each
    When a request of small waits on the last daemon
    And all others yield to it
    Then the metrics of the first daemon count 1 waiting request of large that yields
    When a further request of the flood waits on the first daemon
    Then its waiting line says that it yields to priority 1 of small

Feature: Calls to the platform's store

  The calls are priced. Guards against daemons that each write and read what another one has just written or read, when
  many start at once, and against daemons that all try while the store is away. Simulated time, but for the last scenario.

  Scenario: A day in which 82 daemons start, restart, lose the store and are replaced
    Then a day of 82 daemons takes at most 600 calls to the store

  Scenario: Daemons that restart do not write what the store has
    Given a simulated fleet of 18 daemons that are all registered
    When all of them restart within 0.3 s and 5 s go by
    Then no daemon has written its address
    And at most 75 calls were made
    And all daemons know each other and the configuration

  Scenario: A daemon whose seeds are all dead starts at once and finds the others by the store's list
    Given a simulated fleet of 6 daemons that are all registered
    When the seeds stop and a daemon with dead seeds starts
    Then it has the configuration within 0.06 s
    And it knows a live daemon within 1 s

  Scenario: A daemon does not read the store's list while a seed answers
    Given a simulated fleet of 6 daemons that are all registered
    When a daemon with live seeds starts and 0.7 s go by
    Then the list of daemons was not read
    And the new daemon knows a live daemon within 0.1 s

  Scenario: Two daemons without seeds that start at the same time find each other
    Given a simulated fleet of no daemons, without seeds
    When two daemons start 1 ms apart and 2 s go by
    Then all daemons know each other and the configuration

  Scenario: Daemons that start while the store is away follow the one that reads it first
    Given a simulated fleet of 18 daemons whose store is away
    When all of them start within 0.3 s and 5 s go by
    Then at most 45 calls were made
    When the store is back and 2 s go by
    Then all daemons know each other and the configuration

  Scenario Outline: One daemon tries while the store is away
    Given a simulated fleet of 18 daemons that are all registered
    When the store is away for <seconds> s
    Then at most <calls> calls were made
    When the store is back and 1.6 s go by
    Then the state of all daemons is at most 1 s old

    Examples:
      | seconds | calls |
      | 3       | 16    |
      | 9       | 32    |

  Scenario: Another daemon reads when only the first one does not reach the store
    Given a simulated fleet of 18 daemons that are all registered
    When the store does not answer the first daemon in order, and 6 s go by
    Then the state of all daemons is at most 1.4 s old

  Scenario: Members read when no aggregator reaches the store
    Given a simulated fleet of 18 daemons that are all registered
    When the store does not answer any aggregator, and 6 s go by
    Then the state of all daemons is at most 2.5 s old

  Scenario: Only the records that a restored store lacks are written again
    Given a simulated fleet of 18 daemons that are all registered
    When the store is restored without the records of 4 daemons, and 5 s go by
    Then the store lists all daemons
    And at most 4 addresses were written

  Scenario: A daemon that replaces another under its name is registered at its own address
    Given a simulated fleet of 18 daemons that are all registered
    When daemon 16 stops, another host starts a daemon of its name, and 5 s go by
    Then the store lists the name of daemon 16 at the other host
    When that one stops, the first host starts it again 1 s later, and 30 s go by
    Then the store lists the name of daemon 16 at its first host

  Scenario: A daemon that starts beside daemons of the previous release reads and registers by itself
    Given a simulated fleet of 6 daemons of the previous release
    When a daemon with live seeds starts and 5 s go by
    Then it has the configuration within 0.1 s
    And the store lists all daemons

  Scenario: The store is read at once for a request that waits, though a peer without a state has answered
    Given a daemon that starts beside a peer without a state
    When it has waited 0.1 s
    Then it does not read the store yet
    When a request waits there
    Then it may read the store

  Scenario: A peer that fails to read the store keeps others from trying
    Given a daemon that starts beside a peer whose read has just failed
    When it has waited 0.6 s
    Then it does not read the store yet
    When it has waited 2 s
    Then it may read the store

  Scenario: Few daemons copy from one peer in a second
    Given a daemon with a state
    When 60 daemons ask for its start page within 0.5 s
    Then 20 of them are sent to another source

  Scenario: A request that comes at once is held and served while the daemon copies from its seed
    Given a gateway with one endpoint that is the seed of another
    When the other gateway starts and a caller sends it a "check" at once
    Then the response is 200 with body "endpoint name"

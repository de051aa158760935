Feature: Daemons and endpoints come and go without harm

  Scenario: Three daemons are replaced one after the other under load
    Given a site of 3 daemons and 2 engines
    When every daemon is replaced gracefully while callers send requests
    Then no request was cut and none was refused but by a daemon that was already not ready
    And the duty of writing checkpoints has a holder among the new daemons

  Scenario: A process that is told to stop finishes its streams
    Given a site of 1 daemon and 1 engine
    And two daemons in processes of their own
    When a stream of 300 tokens runs at the first process, which is told to stop
    Then the stream ends whole and the process ends by itself

  Scenario: A process hears that it shall stop, however many signals come at once
    Given a process that waits to be told to stop, 100 times
    When it is told so three times in a row before each wait ends
    Then the process has heard of it each time

  Scenario Outline: An endpoint that <sign> gets no new work
    Given a site of 3 daemons and 2 engines
    When the first engine <sign>
    Then no daemon sends it new work after 3 seconds
    And a good request still succeeds

    Examples:
      | sign                                  |
      | is marked as leaving on the host list |
      | says that it is draining              |

  Scenario: A host list that fails is not an empty list
    Given a site of 2 daemons and 2 engines
    When the first engine is marked as leaving on the host list
    And the host list fails
    Then no daemon sends it new work after 3 seconds

  Scenario: Gossip carries a leaving endpoint to a daemon that cannot read the host list
    Given a site of 3 daemons and 2 engines
    When the host list fails for the first daemon only
    And the first engine is marked as leaving on the host list
    Then no daemon sends it new work after 3 seconds

  Scenario: One of nine daemons is killed
    Given a site of 8 daemons and 2 engines
    And two daemons in processes of their own
    When 12 streams run at the first process, which is killed
    Then every caller has its whole answer after one reconnect

Feature: What operators publish is judged alike everywhere and never reverts

  Scenario: Two operators race and one is told
    Given a site of 3 daemons and 1 engine
    When two operators change the same contract from the same revision
    Then one is accepted and the other is told who came first and what to do
    And every daemon holds the accepted revision

  Scenario: The answer to an append is lost
    Given a site of 2 daemons and 1 engine
    When the log loses the answers to the next 2 appends
    And an operator publishes
    Then the publish is accepted once
    And every daemon holds the accepted revision

  Scenario: An append arrives long after its answer was lost
    Given a site of 2 daemons and 1 engine
    When the log delays appends by 1 second
    And an operator publishes
    Then the publish is accepted once
    And every daemon holds the accepted revision

  Scenario: The log goes away and comes back
    Given a site of 2 daemons and 1 engine
    When the platform is down
    Then a good request still succeeds
    And a keyed hold is refused with claim_unavailable and was not run
    When the platform is up again
    And an operator publishes
    Then every daemon holds the accepted revision
    And a keyed hold succeeds

  Scenario: A daemon that starts while the log is down learns from its peers
    Given a site of 2 daemons and 1 engine
    And the platform is down
    When one more daemon starts that knows its peers
    Then the newcomer is ready
    And the newcomer holds the revision of the others

  Scenario: A daemon that starts alone while the log is down is not ready
    Given a site of 1 daemon and 1 engine
    And the platform is down
    When one more daemon starts that knows nobody
    Then the newcomer is not ready because no accepted configuration

  Scenario: The log forgets what was published
    Given a site of 2 daemons and 1 engine whose log forgets quickly
    When a checkpoint was written and everything before it is forgotten
    And one more daemon starts
    Then the newcomer is ready
    And the newcomer holds the revision of the others
    When an operator publishes
    Then every daemon holds the accepted revision

  Scenario: Garbage in the log is skipped, counted and named
    Given a site of 2 daemons and 1 engine
    When 3 records of garbage are appended
    And an operator publishes
    Then every daemon holds the accepted revision
    And status shows 3 skipped records

  Scenario: A record of a newer format
    Given a site of 2 daemons and 1 engine
    When a record of format 2 is appended
    Then every daemon is not ready because upgrade this daemon
    And a good request still succeeds

  Scenario: The command line tells what became of a publish
    Given a site of 2 daemons and 1 engine
    When the command line publishes a contract and waits
    Then it says accepted and in force on 2 daemons
    When the command line publishes it again from an old revision
    Then it exits with 1 and says what came first
    And check names the place of a mistake in a file
    And status, contracts and explain print what a person needs

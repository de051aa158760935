Feature: A store that is restored from a backup

  The restored store has a higher era and lacks everything written since the backup. The operator and
  the endpoints write their records again with a delay. Daemons follow a fake store in simulated time
  without a network.

  Background:
    Given two daemons that follow a store with endpoints 1, 2 and 3 and configuration 5

  Scenario: An endpoint that started draining is not used again
    When the store is backed up
    And endpoint 2 starts draining
    And the store is restored from the backup
    Then both daemons use endpoints 1 and 3
    When the daemons run for 3 s
    Then both daemons use endpoints 1 and 3

  Scenario: An endpoint that was removed is not used again
    When the store is backed up
    And endpoint 2 is removed
    And the store is restored from the backup
    Then both daemons use endpoints 1 and 3
    When the entry of endpoint 2 expires
    And the daemons run for 7 s
    Then both daemons use endpoints 1 and 3

  Scenario: An earlier incarnation of an endpoint is not used again
    When the store is backed up
    And endpoint 2 restarts
    And the store is restored from the backup
    Then both daemons use incarnation 2 of endpoint 2
    When endpoint 2 rewrites its entry
    And the daemons run for 7 s
    Then both daemons use incarnation 2 of endpoint 2

  Scenario: An endpoint that joined after the backup is used until its entry should be rewritten
    When the store is backed up
    And endpoint 4 joins
    And the store is restored from the backup
    And the daemons run for 1 s
    Then both daemons use endpoints 1, 2, 3 and 4
    When the daemons run for 3 s
    Then both daemons use endpoints 1, 2 and 3

  Scenario: An endpoint that joined after the backup and rewrites its entry stays in use
    When the store is backed up
    And endpoint 4 joins
    And the store is restored from the backup
    And endpoint 4 rewrites its entry
    And the daemons run for 7 s
    Then both daemons use endpoints 1, 2, 3 and 4

  Scenario: An older configuration is not applied again
    When the store is backed up
    And configuration 6 is published
    And the store is restored from the backup
    And the daemons run for 3 s
    Then both daemons have configuration 6

  Scenario: A daemon that starts after the restore gets the missing state from its peers
    When the store is backed up
    And endpoint 2 starts draining
    And configuration 6 is published
    And the store is restored from the backup
    And a third daemon starts
    And the daemons run for 0.5 s
    Then all daemons use endpoints 1 and 3
    And all daemons have configuration 6
    When the daemons run for 3 s
    Then all daemons use endpoints 1 and 3

  Scenario: Stale state read by a new daemon does not spread to the others
    When the store is backed up
    And endpoint 2 starts draining
    And endpoint 3 restarts
    And the store is restored from the backup
    And a third daemon starts and is the only one to read the store
    And the daemons run for 1 s
    Then both daemons use endpoints 1 and 3
    And both daemons use incarnation 2 of endpoint 3

  Scenario: All daemons rewrite their addresses, including those that do not read the store
    When the store is backed up without daemons
    And the store is restored from the backup
    And the daemons run for 2 s
    Then the store has the addresses of both daemons

  Scenario: Quarantine records and releases are rewritten
    When the store is backed up
    And a content is quarantined
    And the store is restored from the backup
    And the daemons run for 2 s
    Then the store has the record of the content
    When the store is backed up
    And a request with the content succeeds
    And the store is restored from the backup
    And the daemons run for 2 s
    Then the store has no record of the content

  Scenario: The store is restored twice in a row
    When the store is backed up
    And endpoint 2 starts draining
    And the store is restored from the backup
    And the store is restored from the backup
    And the daemons run for 1 s
    Then both daemons use endpoints 1 and 3

  Scenario: No order of backups, restores, changes, reads and starts brings back obsolete state
    Then in any order of events no daemon returns to state that it knew to be obsolete

  Scenario: A restored record is accepted once endpoints had time to rewrite it
    When the store is backed up
    And endpoint 2 starts draining
    And the store is restored from the backup
    And the daemons run for 7 s
    Then both daemons use endpoints 1, 2 and 3

  Scenario: An endpoint that stops draining is used by all daemons within a second
    When endpoint 2 starts draining
    Then both daemons use endpoints 1 and 3
    When endpoint 2 writes its earlier entry
    Then both daemons use endpoints 1, 2 and 3

  Scenario Outline: The adapter reads the era of the store from its responses
    Given a store on the platform that responds in eras <eras>
    When its list is read <times> times
    Then the newest era is <newest>

    Examples:
      | eras    | times | newest |
      | none    | 1     | none   |
      | 1, 1, 2 | 3     | 2      |
      | 2, 1    | 2     | 2      |
      | x, 3    | 2     | 3      |

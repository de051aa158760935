Feature: A store that comes back from a copy some seconds old

  Its era rises then. What daemons wrote since the copy was made is gone; what the operator and the
  endpoints wrote is written again, but later. Daemons are followers of one fake store in simulated
  time, without network; a daemon hears what another one tells when the scenario says so.

  Background:
    Given two daemons that follow a store with endpoints 1, 2 and 3 and configuration 5

  Scenario: An endpoint that began to leave is not used again
    When the store makes a copy
    And endpoint 2 begins to leave
    And the store comes back from its copy
    Then both daemons use endpoints 1 and 3
    When the daemons run for 3 s
    Then both daemons use endpoints 1 and 3

  Scenario: An endpoint that has gone is not used again
    When the store makes a copy
    And endpoint 2 goes
    And the store comes back from its copy
    Then both daemons use endpoints 1 and 3
    When endpoint 2 lapses
    And the daemons run for 7 s
    Then both daemons use endpoints 1 and 3

  Scenario: An earlier incarnation of an endpoint is not used again
    When the store makes a copy
    And endpoint 2 starts again
    And the store comes back from its copy
    Then both daemons use incarnation 2 of endpoint 2
    When endpoint 2 is written again
    And the daemons run for 7 s
    Then both daemons use incarnation 2 of endpoint 2

  Scenario: An endpoint that joined after the copy is used until it had time to be written again
    When the store makes a copy
    And endpoint 4 joins
    And the store comes back from its copy
    And the daemons run for 1 s
    Then both daemons use endpoints 1, 2, 3 and 4
    When the daemons run for 3 s
    Then both daemons use endpoints 1, 2 and 3

  Scenario: An endpoint that joined after the copy and is written again stays in use
    When the store makes a copy
    And endpoint 4 joins
    And the store comes back from its copy
    And endpoint 4 is written again
    And the daemons run for 7 s
    Then both daemons use endpoints 1, 2, 3 and 4

  Scenario: An older configuration does not come into force again
    When the store makes a copy
    And configuration 6 is published
    And the store comes back from its copy
    And the daemons run for 3 s
    Then both daemons have configuration 6

  Scenario: A daemon that starts after the return learns from the others what the copy lacks
    When the store makes a copy
    And endpoint 2 begins to leave
    And configuration 6 is published
    And the store comes back from its copy
    And a third daemon starts
    And the daemons run for 0.5 s
    Then all daemons use endpoints 1 and 3
    And all daemons have configuration 6
    When the daemons run for 3 s
    Then all daemons use endpoints 1 and 3

  Scenario: A daemon that reads the copy first does not make it news for the others
    When the store makes a copy
    And endpoint 2 begins to leave
    And endpoint 3 starts again
    And the store comes back from its copy
    And a third daemon starts and alone reads the store
    And the daemons run for 1 s
    Then both daemons use endpoints 1 and 3
    And both daemons use incarnation 2 of endpoint 3

  Scenario: Daemons write their addresses again, also those that do not read the store
    When the store makes a copy without daemons
    And the store comes back from its copy
    And the daemons run for 2 s
    Then the store has the addresses of both daemons

  Scenario: What is quarantined is written again, and so is a release
    When the store makes a copy
    And a content is quarantined
    And the store comes back from its copy
    And the daemons run for 2 s
    Then the store has the record of the content
    When the store makes a copy
    And the content is answered whole
    And the store comes back from its copy
    And the daemons run for 2 s
    Then the store has no record of the content

  Scenario: Two returns in a row
    When the store makes a copy
    And endpoint 2 begins to leave
    And the store comes back from its copy
    And the store comes back from its copy
    And the daemons run for 1 s
    Then both daemons use endpoints 1 and 3

  Scenario: In any order of copies, returns, changes, reads and starts nothing that is over is used
    Then whatever happens in whatever order, no daemon goes back to what it knew to be over

  Scenario: A record that the copy shows is believed again once endpoints had time to write
    When the store makes a copy
    And endpoint 2 begins to leave
    And the store comes back from its copy
    And the daemons run for 7 s
    Then both daemons use endpoints 1, 2 and 3

  Scenario: An endpoint that is ready again after it was leaving is used by all within a second
    When endpoint 2 begins to leave
    Then both daemons use endpoints 1 and 3
    When endpoint 2 is written again as it was
    Then both daemons use endpoints 1, 2 and 3

  Scenario Outline: The adapter reads the era of the store from its answers
    Given a store on the platform that answers in eras <eras>
    When its list is read <times> times
    Then the newest era is <newest>

    Examples:
      | eras    | times | newest |
      | none    | 1     | none   |
      | 1, 1, 2 | 3     | 2      |
      | 2, 1    | 2     | 2      |
      | x, 3    | 2     | 3      |

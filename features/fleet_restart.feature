Feature: Requests that come back while all daemons start

  After a loss of all hosts, callers come back within half a second to daemons that do not know each
  other's load yet. Prompts that each of them splits over all engines would stall the short ones.

  Scenario: A prompt that would be split waits until the load of the fleet is known
    Given a daemon that started just now and does not know the load of the fleet
    Then a prompt with an objective of 4 s that would be split waits
    When the load becomes known
    Then a prompt with an objective of 4 s that would be split waits, so that others are seen first
    When 0.4 s pass after the start
    Then a prompt with an objective of 4 s that would be split does not wait

  Scenario: A daemon that finds no others splits prompts soon all the same
    Given a daemon that started just now and does not know the load of the fleet
    When 1.2 s pass after the start
    Then a prompt with an objective of 4 s that would be split does not wait

  Scenario: A prompt that would be late after the wait is sent at once
    Given a daemon that started just now and does not know the load of the fleet
    Then a prompt with an objective of 0.5 s that would be split does not wait

  Scenario: Short prompts are placed before the load is known
    Given a daemon that started just now and does not know the load of the fleet
    Then a prompt for one engine does not wait

  Scenario: The load that was known once is not waited for again
    Guards against waits whenever the aggregator changes later, also before the first long prompt.
    Given a daemon that started just now and does not know the load of the fleet
    When the load becomes known
    And 0.1 s pass after the start
    And the load becomes unknown
    And 0.45 s pass after the start
    Then a prompt with an objective of 4 s that would be split does not wait

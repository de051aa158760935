Feature: Prompts longer than one engine's memory

  Scenario: A prompt of more than twice an engine's memory
    Given a site of 2 daemons and 4 engines that prefill fast
    When a caller sends a prompt of 900000 tokens
    Then it is answered whole by a group of engines
    And the engines hold no memory

  Scenario: Two giants at once through two daemons
    Given a site of 2 daemons and 3 engines that prefill fast
    When 4 callers send prompts of 700000 tokens through all daemons at once
    Then all of them are answered whole, one group at a time
    And the engines hold no memory

  Scenario: The daemon of a giant is killed
    Given a site of 1 daemons and 3 engines that prefill fast
    And two daemons in processes of their own
    When a giant runs at the first process, which is killed
    Then the engines hold no memory

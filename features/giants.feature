Feature: Prompts larger than the memory of one engine

  Scenario: A prompt larger than the memory of two engines is served by a group
    Given a site of 2 daemons and 4 engines that prefill fast
    When a caller sends a prompt of 900000 tokens
    Then a group of engines returns the complete response
    And the engines hold no memory

  Scenario: Concurrent oversized prompts through two daemons are served one at a time
    Given a site of 2 daemons and 3 engines that prefill fast
    When 4 callers send prompts of 700000 tokens through all daemons concurrently
    Then all of them get complete responses, one group at a time
    And the engines hold no memory

  Scenario: Reservations expire after the daemon of an oversized prompt is killed
    Given a site of 1 daemons and 3 engines that prefill fast
    And two daemons in processes of their own
    When the first process is killed while it runs an oversized prompt
    Then the engines hold no memory

Feature: What may not be repeated runs at most once

  Scenario: A hold sent through three daemons at once runs once
    Given a site of 3 daemons and 1 engine
    When 30 callers send 10 holds with keys through 3 daemons at once
    Then each hold ran once and every answer is the first one's

  Scenario: The second caller gets the first one's answer
    Given a site of 2 daemons and 1 engine
    When a hold is sent with a key and again through another daemon
    Then both have the first answer at once and the second is marked as a replay

  Scenario: An answer lost after the action
    Given a site of 2 daemons and 1 engine
    When the service loses every answer
    And a hold is sent with a key and again through another daemon
    Then the first caller is told that it may have run
    And the second caller is told the same and nothing ran twice

  Scenario: Without a key a lost answer is not repeated either
    Given a site of 1 daemon and 1 engine
    When the service loses every answer
    And a hold is sent without a key
    Then the caller is told that it may have run and it ran once

  Scenario: A call that is declared repeatable is tried again
    Given a site of 1 daemon and 1 engine
    When the service loses a fifth of the answers
    And 20 lists of lots are read
    Then all 20 succeed

  Scenario: A key used with another body
    Given a site of 2 daemons and 1 engine
    When a hold is sent with key "k-1" and body "a"
    And a hold is sent with key "k-1" and body "b"
    Then it is refused with idempotency_key_reused, a remedy and ran "no"

  Scenario: A key older than the window
    Given a site of 1 daemon and 1 engine
    When a hold is sent with a timed key from last year
    Then it is refused with idempotency_key_expired, a remedy and ran "no"

  Scenario: The daemon that claimed dies before the answer
    Given a site of 1 daemon and 1 engine
    And two daemons in processes of their own
    When the service answers only after 60 seconds
    And a hold is sent with a key through the first process, which is killed
    Then the second process does not run it again and says it may have run

  Scenario: The daemon that claimed is paused and goes on later
    Given a site of 1 daemon and 1 engine
    And two daemons in processes of their own
    When holds are sent through both processes while the first is paused again and again
    Then no hold ran twice

  Scenario: Appends of claims are lost
    Given a site of 2 daemons and 1 engine
    When the log loses the answers to the next 20 appends
    And 30 callers send 10 holds with keys through 2 daemons at once
    Then each hold ran once and every answer is the first one's

  Scenario: The log comes back from a copy that lacks the claim
    Given a site of 2 daemons and 1 engine
    When the log makes a copy
    And a hold is sent with key "k-1" and body "a"
    And the log comes back from its copy
    And the same hold is sent through the other daemon until it is not told to wait
    Then it is answered as the first one was, and ran once
    And a third daemon that starts then answers it as the first one was

  Scenario: While claims are written again a call with a key is refused as not run
    Given a site of 2 daemons and 1 engine
    When the log makes a copy
    And a hold is sent with key "k-1" and body "a"
    And the log comes back from its copy
    And a hold is sent with key "k-2" and body "a" as soon as the daemon knows
    Then it is refused with claim_unavailable, a remedy and ran "no"

  Scenario: What is in force stays when the log comes back from a copy without it
    Given a site of 2 daemons and 1 engine
    When the log makes a copy
    And an operator publishes a contract that allows 7 requests at a time
    And the log comes back from its copy
    Then all daemons go on with 7 requests at a time
    When an operator publishes a contract that allows 9 requests at a time
    Then all daemons come to allow 9 requests at a time

  Scenario: A page of the log that was on its way when it came back from a copy is not taken
    Given a reader of a log in era 1 that has read 5 records
    When a page in era 2 says that the log has 3 records
    And a page of era 1 comes late
    Then the reader was told once that the log came back, and took no page after it

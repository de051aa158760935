Feature: Calls that may not be repeated run at most once

  Scenario: A hold sent through three daemons concurrently runs once
    Given a site of 3 daemons and 1 engine
    When 30 callers send 10 holds with keys through 3 daemons concurrently
    Then each hold ran once and every answer is that of its run

  Scenario: A second call with the same key receives the first answer
    Given a site of 2 daemons and 1 engine
    When a hold is sent with a key, then again through another daemon
    Then both receive the first answer and the second is marked as a replay

  Scenario: An answer is lost after the call ran
    Given a site of 2 daemons and 1 engine
    When the service drops every answer
    And a hold is sent with a key, then again through another daemon
    Then the first answer says that the call may have run
    And the second answer says the same and the call ran once

  Scenario: A call without a key is not retried when its answer is lost
    Given a site of 1 daemon and 1 engine
    When the service drops every answer
    And a hold is sent without a key
    Then the answer says that the call may have run, and it ran once

  Scenario: A call that is declared repeatable is retried
    Given a site of 1 daemon and 1 engine
    When the service drops a fifth of the answers
    And the lots are listed 20 times
    Then all 20 calls succeed

  Scenario: A key is reused with another body
    Given a site of 2 daemons and 1 engine
    When a hold is sent with key "k-1" and body "a"
    And a hold is sent with key "k-1" and body "b"
    Then it is refused with idempotency_key_reused, a remedy and ran "no"

  Scenario: A key is older than the idempotency window
    Given a site of 1 daemon and 1 engine
    When a hold is sent with a UUIDv7 key from last year
    Then it is refused with idempotency_key_expired, a remedy and ran "no"

  Scenario: The daemon that holds the claim is killed before the answer
    Given a site of 1 daemon and 1 engine
    And two daemons in processes of their own
    When the service delays its answers by 60 seconds
    And a hold is sent with a key through the first process, which is then killed
    Then the second process does not run it and answers that it may have run

  Scenario: The daemon that holds claims is paused and continued
    Given a site of 1 daemon and 1 engine
    And two daemons in processes of their own
    When holds are sent through both processes while the first is paused repeatedly
    Then no hold ran twice

  Scenario: Answers to appends of claims are lost
    Given a site of 2 daemons and 1 engine
    When the log loses the answers to the next 20 appends
    And 30 callers send 10 holds with keys through 2 daemons concurrently
    Then each hold ran once and every answer is that of its run

  Scenario: The log is restored from a backup that lacks the claim
    Given a site of 2 daemons and 1 engine
    When the log is backed up
    And a hold is sent with key "k-1" and body "a"
    And the log is restored from the backup
    And the same hold is retried through the other daemon until it is answered
    Then its answer equals the first one and it ran once
    And a third daemon that starts after the restore gives the same answer

  Scenario: A call with a key is refused as not run while claims are rewritten
    Given a site of 2 daemons and 1 engine
    When the log is backed up
    And a hold is sent with key "k-1" and body "a"
    And the log is restored from the backup
    And a hold is sent with key "k-2" and body "a" once the daemon detects the restore
    Then it is refused with claim_unavailable, a remedy and ran "no"

  Scenario: A contract in force is kept when the restored log lacks it
    Given a site of 2 daemons and 1 engine
    When the log is backed up
    And an operator publishes a contract that allows 7 concurrent requests
    And the log is restored from the backup
    Then all daemons still allow 7 concurrent requests
    When an operator publishes a contract that allows 9 concurrent requests
    Then all daemons change to allow 9 concurrent requests

  Scenario: A page read before a restore and received after it is discarded
    Given a reader of a log in era 1 that has read 5 records
    When a page of era 2 reports a log of 3 records
    And a page of era 1 arrives late
    Then the reader reported one restore and accepted no page after it

  # Guards against "not run" for a request that an endpoint was sent: its key was free again, and
  # the stock OpenAI client repeats such a status by itself.
  Scenario: The daemon fails unexpectedly after a call ran
    Given a site of 1 daemon and 1 engine
    And the daemon fails on every answer of the service
    When a hold with the same key is sent twice
    Then both answers say that the call may have run, and it ran once

  Scenario Outline: An engine's event holds <data>
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one whose only event holds <data>
    When a completion with a key that may run once is sent twice without streaming
    Then both answers say that it may have run, and the engine was sent it once

    Examples:
      | data                                    |
      | [1]                                     |
      | {"choices": 7}                          |
      | {"choices": [7]}                        |
      | {"choices": [{"text": 7}]}              |

  Scenario: An engine's usage is no number
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one whose only event holds {"choices": [{"finish_reason": "stop", "text": "w0 "}], "usage": {"prompt_tokens": "many"}}
    When a caller streams an answer
    Then the answer is complete with 1 event

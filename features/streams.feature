Feature: Callers receive the complete answers to their own requests

  Scenario Outline: Engines that <fault>
    Given a site of 1 daemons whose engine <fault> <percent> of 100 answers
    When 40 callers stream 12 tokens each
    Then every answer is complete, in order and the caller's own

    Examples:
      | fault    | percent |
      | truncate | 30      |
      | cross    | 5       |
      | repeat   | 30      |

  Scenario: A stream is resumed at another daemon after the first is killed
    Given a site of 1 daemon and 2 engines
    And two daemons in processes of their own
    When a caller reads a third of a stream at the first process, which is then killed
    And the caller resumes at the second process
    Then the two parts together are the answer byte for byte
    And the engines hold no memory

  Scenario: An engine that hangs
    Given a site of 1 daemon and 2 engines
    When one engine hangs on every request
    And a request with a timeout of 2 seconds is sent to the hanging engine
    Then it fails with deadline_exceeded within 6 seconds

  Scenario: An engine dies with streams on it
    Given a site of 2 daemons and 3 engines
    When 60 callers request answers without streaming while one engine dies
    Then every answer is complete, in order and the caller's own

  Scenario: Requests that cannot finish in time are refused immediately
    Given a site of 1 daemon and 1 engine
    When a request of 300000 tokens has a timeout of half a second
    Then it is refused with deadline_unreachable, a remedy and ran "no"

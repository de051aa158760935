Feature: A caller gets the whole answer to its own request

  Scenario Outline: Engines that <fault>
    Given a site of 1 daemons whose engine <fault> <percent> of 100 answers
    When 40 callers stream 12 tokens each
    Then every answer is whole, in order and the caller's own

    Examples:
      | fault    | percent |
      | truncate | 30      |
      | cross    | 5       |
      | repeat   | 30      |

  Scenario: A stream goes on at another daemon after its first was killed
    Given a site of 1 daemon and 2 engines
    And two daemons in processes of their own
    When a caller reads a third of a stream at the first process, which is killed
    And the caller resumes at the second process
    Then both parts together are the answer byte for byte
    And the engines hold no memory

  Scenario: An engine that hangs
    Given a site of 1 daemon and 2 engines
    When one engine hangs on every request
    And a request with 2 seconds left goes to the hanging engine
    Then it fails with deadline_exceeded before 6 seconds are over

  Scenario: An engine dies with streams on it
    Given a site of 2 daemons and 3 engines
    When 60 callers ask for whole answers while one engine dies
    Then every answer is whole, in order and the caller's own

  Scenario: Requests that cannot finish in time are refused at once
    Given a site of 1 daemon and 1 engine
    When a request of 300000 tokens has half a second
    Then it is refused with deadline_unreachable, a remedy and ran "no"

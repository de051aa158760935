Feature: Logs and metrics explain a failure afterwards and never stop the work

  Scenario: A full pipe does not stop the work
    Given a log whose reader has stopped
    When 10000 lines are logged
    Then the caller was never stopped
    And the lines that did not fit are counted

  Scenario: A flood of served requests leaves the lines of failed ones
    Given a log with 40 lines a second
    When 1000 served and 10 failed requests are logged in one second
    Then all 10 failed ones are explained
    And in the next second a line counts what was left out

  Scenario: A line has exactly the fields of the table
    Then an event with a missing or unknown field is refused
    And the operators' page lists every event of the table

  Scenario: A failed request is explained from its id
    Given a gateway in front of two endpoints
    And its log is kept
    And the endpoints use the behaviour "lost response" for all requests
    When a caller sends a "hold"
    Then the response is 502 with body ""
    And its story names the endpoint and the cause

  Scenario: Requests lost in the same way are counted together
    Given a gateway in front of two endpoints
    And its log is kept
    And the endpoints use the behaviour "lost response" for all requests
    When a caller sends a "hold" 3 times
    Then one cause counts 3 requests and names examples

  Scenario: No key and no body reaches a log line
    Given a gateway in front of two endpoints
    And its log is kept
    And the endpoints use the behaviour "lost response" for all requests
    When a caller sends a "hold"
    Then the log names neither the key nor the body

  Scenario: Metrics count what happened and show what is believed
    Given a gateway in front of two endpoints
    When a caller sends a "check" 3 times
    Then the metrics page counts 3 served requests and 2 endpoints

  Scenario: Metrics compare each first event with its prediction
    Given a gateway in front of 2 engines
    And the endpoints use the behaviour "stream" for all requests
    When a caller declares a prompt of 5000 tokens
    Then the metrics page compares 1 first event with its prediction

  Scenario: Settings are read again on a signal, and broken ones are refused
    Given a gateway in front of two endpoints
    And its log is kept
    When the settings are read again and are broken
    Then the old settings stay and the log says why
    When the settings are read again with a longer grace time
    Then the new grace time is in force

  Scenario: A metrics port that is taken does not keep a daemon from serving
    Given a gateway whose metrics port is in use
    When a caller sends a "check"
    Then the response is 200 with body "endpoint name"

  # Guards against a daemon that ends by a fault in native code and leaves nothing to trace it by.
  Scenario: A daemon that a fault in native code ends writes where its threads were
    Given the process of a daemon that reaches no store
    When a fault in native code ends it
    Then its standard error names the fault and where its main thread was

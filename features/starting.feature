Feature: Callers who come before a daemon knows a configuration

  The pattern: all hosts lose power at once while the store is silent. Daemons start within a second and
  know nothing; callers whose streams were cut have one try left, new ones come all the time, and the
  store is back after seconds that nobody can know. No network, simulated time; the last two with sockets.

  Scenario: Those who wait are answered in their order once a configuration is known
    Given a daemon that knows nothing
    When callers a, b and c come with 10 s of time, 0.2 s apart
    And a configuration is known after 0.5 s
    Then callers a, b and c are answered, counted from when they came
    And nobody waits

  Scenario: Who waits in vain is told to come back while there is time for another wait
    Given a daemon that knows nothing
    When caller a comes with 10 s of time
    And 1.4 s go by without a configuration
    Then nobody is refused
    When 0.2 s go by without a configuration
    Then caller a is refused

  Scenario: A caller that resumes a stream has come again already, and waits for longer
    Given a daemon that knows nothing
    When caller a comes with 10 s of time and resumes a stream
    And 3.9 s go by without a configuration
    Then nobody is refused
    When 0.2 s go by without a configuration
    Then caller a is refused

  Scenario: Callers with little time are told at once, and those who leave are forgotten
    Given a daemon that knows nothing
    When caller a comes with 0.6 s of time
    And caller b comes with 10 s of time
    And caller b leaves
    And 0.1 s go by without a configuration
    Then caller a is refused
    And nobody waits

  Scenario: What waits is bounded
    Given a daemon that knows nothing
    When 300 callers come with 10 s of time
    Then 256 callers wait
    When callers come with bodies of 4 MB until one may not wait
    Then 4 callers wait with such bodies

  Scenario: A planned stop refuses those who wait
    Given a daemon that knows nothing
    When callers a, b and c come with 10 s of time, 0.2 s apart
    And the daemon is about to stop
    Then callers a, b and c are refused

  Scenario: A request that comes before the configuration is served
    Given a gateway before one endpoint whose store holds nothing yet
    When a caller sends a "check" and the store gets its records 0.2 s later
    Then the answer is 200 and "whole"

  Scenario: A request that comes before the configuration is refused as not run when the daemon stops
    Given a gateway before one endpoint whose store holds nothing yet
    When a caller sends a "check" and the gateway gets the signal to stop 0.2 s later
    Then the answer is 503, to come back in 0.01 s

Feature: Threads of a scenario end with it

  A thread that one scenario left behind wrote its answer into a later one, which failed for it.

  Scenario: A caller that still waits at the end of its scenario ends with it and keeps its answer
    Given a scenario in which a caller waits for a response that never comes
    When that scenario ends
    Then its caller has ended, and the context holds no answer

  Scenario: Steps start threads and timers only through the helpers that end them
    Then no step file starts a thread or timer that its scenario might leave behind

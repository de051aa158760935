Feature: One request is at one endpoint at a time

  Scenario: A send that reached no endpoint leaves no timer behind
    Given a request whose first endpoint cannot be reached
    And every other placement would harm others
    When 4 seconds go by
    Then the request is sent once more

  Scenario: A send that was refused leaves no timer behind
    Given a request whose first endpoint answers that it did not run
    And every other placement would harm others
    When 4 seconds go by
    Then the request is sent once more

  Scenario: Nothing is sent for a request that has its final answer
    Given a request of 1.92 s whose first endpoint cannot be reached
    And every other placement would harm others
    When 4 seconds go by
    Then the caller has one answer
    And the request is not sent again

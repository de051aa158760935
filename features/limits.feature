Feature: A contract's limits apply to all daemons together

  Scenario: Concurrency over three daemons
    Given a site of 3 daemons whose contract allows 6 concurrency
    When 24 callers stream 60 tokens each through all daemons
    Then at most 6 streams ran concurrently, and at least 3
    And every other request was refused with limit_exceeded, not run, and a retry delay

  Scenario: Requests per second over three daemons
    Given a site of 3 daemons whose contract allows 40 requests per second
    When callers send requests to one daemon without a pause for 3 seconds
    Then no more requests succeeded than the limit plus one burst

  Scenario: The lender of an organisation's limits stops
    Given a site of 3 daemons whose contract allows 12 concurrency
    When 12 callers stream 20 tokens each through all daemons
    And the lender is stopped
    And 12 callers stream 20 tokens each through all daemons
    Then at most 12 streams ran concurrently, and at least 3

Feature: A contract's limits hold over all daemons together

  Scenario: Concurrency over three daemons
    Given a site of 3 daemons whose contract allows 6 concurrency
    When 24 callers stream 60 tokens each through all daemons
    Then at most 6 ran at once and at least 3 did
    And everything else was refused with limit_exceeded, not run, and when to come back

  Scenario: Requests per second over three daemons
    Given a site of 3 daemons whose contract allows 40 requests per second
    When callers send as fast as they can for 3 seconds to one daemon
    Then no more were answered than the limit and one burst allow

  Scenario: The lender of an organisation's limits dies
    Given a site of 3 daemons whose contract allows 12 concurrency
    When 12 callers stream 20 tokens each through all daemons
    And the lender is stopped
    And 12 callers stream 20 tokens each through all daemons
    Then at most 12 ran at once and at least 3 did

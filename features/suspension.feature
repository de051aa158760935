Feature: A host that was suspended for seconds knows that time has gone by

  What may happen: a host is suspended and goes on. The steady clock of its kernel does not count
  that time; the clock since boot and the time of day do. Whatever measured an age or a term by the
  steady clock takes it for younger than it is: a list of endpoints, told on to others as new; a
  lease that has lapsed; the time that a caller still waits.

  Scenario: The clock of daemons counts a suspension
    Given a host whose steady clock stands still while it is suspended
    When it is suspended for 5 seconds
    Then its clock has gone on by 5 seconds

  Scenario: A lease that lapsed during a suspension is held no more
    Given a host whose steady clock stands still while it is suspended
    And a lease of 3 seconds is held there
    When it is suspended for 5 seconds
    Then the lease is not held

  Scenario: A list that was read before a suspension is told as old as it is
    Given a host whose steady clock stands still while it is suspended
    And a daemon there has just read the list of endpoints
    When it is suspended for 5 seconds
    Then its list is 5 seconds old
    And another daemon with a list of 2 seconds does not take it

  Scenario: No part of the serving path reads a clock of its own
    Then only the clock's module reads the operating system's clocks

Feature: A suspended host counts the time of its suspension

  Guards against stale state that is treated as current: CLOCK_MONOTONIC does not advance while a
  host is suspended, so elapsed times that are measured with it are too short.

  Scenario: The clock of daemons counts a suspension
    Given a host whose monotonic clock stops while it is suspended
    When it is suspended for 5 seconds
    Then the daemon's clock has advanced by 5 seconds

  Scenario: A lease that expires during a suspension is no longer held
    Given a host whose monotonic clock stops while it is suspended
    And a daemon there holds a lease of 3 seconds
    When it is suspended for 5 seconds
    Then the lease is no longer held

  Scenario: The age of a list includes a suspension
    Given a host whose monotonic clock stops while it is suspended
    And a daemon there has just read the list of endpoints
    When it is suspended for 5 seconds
    Then its list is 5 seconds old
    And another daemon with a list of 2 seconds does not fetch it

  Scenario: The serving path reads no clock of the operating system directly
    Then only the clock module reads the operating system's clocks

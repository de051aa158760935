Feature: The gateway under more load than it can serve

  Real exchanges, lines and policies on simulated engines, in simulated time and without a network.
  The mix is that of a fleet whose load swings between short questions and long audits: 21 engines of
  8 places, 7 daemons, three in four requests short, nine in ten tokens long. Each scenario plays the
  same seeds with and without one decision; bounds lie between the figures of both on five seeds. Counts
  of rare events vary more, 1.3 to 1.7 times on three seeds: that scenario plays 24, on which it is 1.59.

  Scenario: Short prompts wait at their daemon for a place, not inside an engine
    Given a short burst at 2.0 times the usual load for 6 seconds
    When it is played with all decisions
    And it is played with full engines taken as any others
    Then at least 0.10 more of the short prompts are in time with all decisions
    And first events come within twice their prediction for 0.8 with all decisions and for less without

  Scenario: Daemons take the places that others have freed in turns
    Given a short burst at 2.0 times the usual load for 6 seconds on 24 seeds
    When it is played with all decisions
    And it is played with freed places open to all at once
    Then at least 1.5 times as many requests find their engine full without the decision

  Scenario: Many daemons do not all pack the same engine in one moment
    Given a short burst at 1.0 times the usual load for 3 seconds
    And 73 daemons before 69 engines
    When it is played with all decisions
    And it is played with the fullest engine packed by all
    Then at least 0.10 more of the short prompts are in time with all decisions
    And first events come within twice their prediction for 0.8 with all decisions and for less without

  Scenario: A new long prompt leaves those alone that engines already read
    Given a long burst at 2.0 times the usual load for 10 seconds
    When it is played with all decisions
    And it is played with prompts that are read taken as no loss
    Then the callers get at least 0.03 more of the worth with all decisions

  Scenario: An engine that is known to read is not called silent
    Given a long burst at 2.0 times the usual load for 10 seconds
    When it is played with all decisions
    And it is played with silence given up at once
    Then fewer requests are sent again with all decisions

  Scenario: At three times the load a caller is served or told at once to come back
    Given a short burst at 3.0 times the usual load for 6 seconds
    When it is played with all decisions
    And it is played with late requests kept waiting
    Then at most 0.01 of the callers leave with all decisions
    And callers wait at most half as long in vain with all decisions

  Scenario: The policy serves more than the fewest requests in flight would
    Given a swing at 2.0 times the usual load for 8 seconds
    When it is played with all decisions
    And it is played with the fewest requests in flight
    Then the callers get at least 0.20 more of the worth with all decisions

  Scenario: At the usual load nearly all are in time and nothing is sent twice
    Given a swing at 1.0 times the usual load for 10 seconds on 8 seeds
    When it is played with all decisions
    Then 0.92 of the worth is earned and at most 5 in 1000 requests are sent again

Feature: Cold endpoints get no more requests than they take while cold

  # Guards against a configuration whose rate would switch the bound off or stop a service.
  Scenario Outline: A configuration with an invalid rate is refused and says what to write
    When a configuration has <field> <value>
    Then it is refused with "write 0 or leave it out"

    Examples:
      | field      | value    |
      | cold_per_s | -1       |
      | cold_per_s | NaN      |
      | cold_per_s | Infinity |
      | cold_s     | -0.5     |
      | cold_s     | Infinity |

  # Guards against a bound of no requests where the operator means none.
  Scenario Outline: A configuration without a rate, or with 0, sets no bound
    When a configuration has <field> <value>
    Then the service has <bound> while cold

    Examples:
      | field      | value | bound    |
      | cold_per_s | 0     | no bound |
      | cold_per_s | null  | no bound |
      | cold_s     | 30    | no bound |
      | cold_per_s | 2.5   | 2.5      |

  # Guards against daemons that drop their last good configuration for an invalid one.
  Scenario: The last good configuration stays
    Given a follower with a configuration that bounds cold endpoints to 3 a second
    When a configuration with a rate of -1 a second is published
    Then the bound is still 3 a second

  Scenario: The adapter reads how long an endpoint stays cold
    Then a response with the header "X-Cold-Remaining: <value>" says <seconds>
      | value | seconds |
      | 1500  | 1.5     |
      | 0     | 0.0     |
      | -5    | none    |
      | nan   | none    |
    And a list entry with cold_left_ms of 2500 shows 2.5 s, and one of -1 shows 0 s
    And a response of another endpoint does not say that it is cold

  # Guards against an end that is up to 1.2 s too early, and one that a late message moves back.
  Scenario: The later end counts, whichever says it
    Given a daemon that knows an endpoint and a bound of 2 a second
    When the list that is read now shows it cold for 4 s
    And it says 1 s later that it stays cold for 2 s
    Then it is bound to 2 a second
    And 3.2 s later it is bound to 2 a second
    And 0.5 s later it is not bound
    And the log has one line "endpoint cold" and one "endpoint warm"

  # Guards against a second cold time under the same id that nobody notices.
  Scenario Outline: An endpoint that becomes cold again is bound again, and peers are told
    Given a daemon that knows an endpoint and a bound of 2 a second
    When the list that is read now shows it cold for 1 s
    And the daemon runs for 5 s
    Then it is not bound
    When <source> shows that it is cold for 6 s
    Then it is bound to 2 a second
    And the peers are told that it stays cold for 6 s

    Examples:
      | source     |
      | the list   |
      | a response |

  # Guards against a message that is dropped because its notice names an endpoint no longer cold.
  Scenario: A notice that arrives after a cold time has ended, but before its timer has run, is ignored
    Given a daemon that knows an endpoint and a bound of 2 a second
    When a response shows that it is cold for 1 s
    And a peer says that it stays cold for 0.1 s before the daemon noticed its end 0.05 s ago
    Then it is not bound
    And the log has one line "endpoint cold" and one "endpoint warm"

  # Guards against an error where the clock passes the end between the decision and its log line.
  Scenario: A cold time that ends while it is logged raises no error
    Given a daemon that knows an endpoint and a bound of 2 a second
    And a clock that advances by 2 ms each time it is read
    When a response shows that it is cold for 0.001 s
    And the daemon runs for 1 s
    Then the log has one line "endpoint cold" and one "endpoint warm"

  # Guards against permits in the same second as requests that were sent before an endpoint was
  # known to be cold.
  Scenario Outline: Requests in flight when an endpoint turns cold count against its bound
    Given a daemon that knows an endpoint and a bound of 2 a second
    And <count> requests in flight to that endpoint
    When <source> shows that it is cold for 6 s
    Then nothing is sent to it for <seconds> s

    Examples:
      | count | source     | seconds |
      | 0     | the list   | 0       |
      | 5     | a response | 0       |
      | 6     | a response | 0.5     |
      | 6     | the list   | 0.5     |
      | 20    | a response | 1       |

  # Guards against a pause that begins again with each response that says the same.
  Scenario: An endpoint that goes on being cold is not withheld again
    Given a daemon that knows an endpoint and a bound of 2 a second
    And 20 requests in flight to that endpoint
    When a response shows that it is cold for 6 s
    And the daemon runs for 0.6 s
    And a response shows that it is cold for 9 s
    Then nothing is sent to it for 0.4 s
    And 0.5 s later it is bound to 2 a second

  # Guards against two limits of which the higher one is kept.
  Scenario Outline: The lower of two limits counts
    Given a daemon that knows an endpoint and a bound of <cold> a second
    When it is cold and names a limit of <named> a second
    Then it is bound to <lower> a second

    Examples:
      | cold | named | lower |
      | 2    | 5     | 2     |
      | 5    | 2     | 2     |

  Scenario: A service without a bound behaves as before
    Given a daemon that knows an endpoint and no bound
    When the list that is read now shows it cold for 4 s
    Then it is not bound

  # Guards against lists that differ only in what is cold: peers would not fetch the change.
  Scenario: The digest of the list changes when an endpoint turns cold or warm
    Given lists that show an endpoint cold, colder and warm
    Then the digest differs between cold and warm alone

  Scenario: Notices of cold endpoints are encoded, and a daemon that knows none sends nothing more
    Then a message with cold endpoints is decoded as it was sent, in 8 bytes an endpoint
    And a message without cold endpoints is as long as before

  # Guards against daemons that pass an end on to each other and make it later each time.
  Scenario: Notices that are passed on in a circle do not prolong the cold time
    When 4 daemons tell each other of a cold endpoint for 100 rounds with delays
    Then none holds it for cold longer than 0.5 s over its time

  # Guards against parts of a split fleet that grant the whole rate each.
  Scenario: Parts of a split fleet together keep to the bound
    Then no split of a fleet sends more than the bound to a cold endpoint in any second

  # Guards against daemons of a large fleet that each send a request to a cold endpoint, with
  # messages late or lost and daemons that restart or are cut off.
  Scenario: No second of a fleet of 82 daemons has more requests than the bound
    Then 4 plays of 82 daemons with drawn troubles keep to the bound

  Scenario Outline: Fleets keep to the bound in each trouble
    When <daemons> daemons get <requests> requests a second for <cold> of 6 cold engines that take <rate> with <trouble>
    Then no cold engine gets more than the bound in any second
    And every caller has its answer

    Examples:
      | daemons | requests | cold | rate | trouble        |
      | 82      | 60       | 6    | 14   | halves         |
      | 82      | 60       | 2    | 2    | late messages  |
      | 12      | 200      | 2    | 5    | lost messages  |
      | 6       | 100      | 6    | 2    | single daemons |

  # The callers of daemons that end have no answer.
  Scenario: A fleet of 195 daemons of which many restart keeps to the bound
    When 195 daemons get 60 requests a second for 6 of 6 cold engines that take 2 with restarts
    Then no cold engine gets more than the bound in any second

  # Guards against a daemon that asks endpoints in turn for permits that nobody can grant, until the
  # caller leaves.
  Scenario: A daemon that is cut off refuses what it cannot send
    When 24 daemons get 60 requests a second for 6 of 6 cold engines that take 2 with single daemons
    Then no cold engine gets more than the bound in any second
    And every caller has its answer

  # Guards against cold endpoints that are used while others could serve in time.
  Scenario: Endpoints without a limit are preferred while they have room
    When 12 daemons get 60 requests a second for 2 of 6 cold engines that take 14 with none
    Then nobody is refused by the fleet
    And the cold engines got less than a tenth of the requests

  # Guards against an idle cold endpoint that is chosen beside a warm one with room.
  Scenario Outline: Requests are placed at a cold endpoint only where no other has room
    Given a cold endpoint without requests and a warm one that serves <requests> of 8
    Then at least <least> of 100 requests are placed at the <name> one

    Examples:
      | requests | least | name |
      | 7        | 85    | warm |
      | 8        | 100   | cold |

  # Guards against a bound that nobody knows at first: the first response has to tell.
  Scenario Outline: An endpoint that turns cold unlisted is bound by its first response
    When <daemons> daemons get <requests> requests a second for 6 engines that turn cold at <rate> a second unlisted
    Then no cold engine gets more than the bound in any second

    Examples:
      | daemons | requests | rate |
      | 6       | 40       | 1    |
      | 12      | 60       | 2    |
      | 82      | 60       | 2    |

  # Guards against a request that asks one endpoint after the other for a permit: 6 asks a request.
  Scenario: Permits cost callers no more when they are spread over 12 daemons
    When callers use 20 endpoints at three quarters of their limits of 10 a second
    Then the median first event spread over 12 daemons is at most 15 ms after that at one
    And no endpoint gets more than its limit allows

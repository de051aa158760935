Feature: Endpoints that are slower than the others get fewer requests

  # Guards against endpoints that are taken for slow because the whole service is, because of few
  # observations, or without others to compare them with.
  Scenario Outline: The factor of an endpoint is its mean ratio over that of the usual endpoint
    Given <others> endpoints with 4 observations of a ratio of <usual>
    And an endpoint with <count> observations of a ratio of <ratio>
    Then its factor is <factor>

    Examples:
      | others | usual | count | ratio | factor |
      | 3      | 1     | 4     | 4     | 4      |
      | 3      | 1.4   | 4     | 5.6   | 4      |
      | 2      | 1     | 4     | 4     | 4      |
      | 3      | 1     | 3     | 4     | 1      |
      | 1      | 1     | 9     | 4     | 1      |
      | 3      | 1     | 9     | 1.25  | 1      |
      | 3      | 1     | 9     | 50    | 8      |
      | 3      | 1     | 9     | 0.2   | 1      |

  # Guards against factors that change when a burst slows every endpoint.
  Scenario: A change that all endpoints share leaves the factors as they are
    Given 9 endpoints with 4 observations of a ratio of 1.2
    And an endpoint with 6 observations of a ratio of 3
    Then its factor is the same with all ratios doubled

  # Guards against a slow service that makes those of another one look fast.
  Scenario: Endpoints are compared with those of their service only
    Given 3 endpoints with 4 observations of a ratio of 1
    And 5 endpoints of another service with 4 observations of a ratio of 4
    Then no endpoint has a factor above 1

  # Guards against equal endpoints that are avoided because of the scatter of their first events.
  Scenario: Equally fast endpoints have no factor, however few their observations are
    Then of 60 equal endpoints fewer than 1 in 200 has a factor, whatever the scatter

  Scenario: A factor ends with its observations, so that the endpoint is tried again
    Given 3 endpoints with 4 observations of a ratio of 1
    And an endpoint with 4 observations of a ratio of 4
    Then its factor is 4 after 5.9 s and 1 after 6.2 s

  # Guards against a daemon whose last rows count for ever after it has become silent.
  Scenario: What another daemon reported expires with its load
    Given another daemon that reported 3 usual endpoints and one with a factor of 4
    Then its factor is 4 after 1.7 s and 1 after 1.9 s

  # Guards against a new incarnation that inherits the factor of the one before.
  Scenario: An endpoint that restarts has no factor
    Given 3 endpoints with 4 observations of a ratio of 1
    And an endpoint with 4 observations of a ratio of 4
    When that endpoint is listed as another incarnation
    Then no endpoint has a factor above 1

  Scenario: Values that make no sense are dropped
    Then ratios that are not finite, not positive or out of range are not recorded
    And rows without observations or with sums out of range are not merged

  # Guards against observations that count twice, as one's own and as part of the fleet's.
  Scenario: Rows of the whole fleet include the own observations
    Given 3 endpoints with 4 observations of a ratio of 1
    And an endpoint with 4 observations of a ratio of 4
    When the aggregator reports the fleet without a slow endpoint
    Then no endpoint has a factor above 1
    And its factor is 4 after 1.9 s

  Scenario: For every input the factors stay in bounds and do not depend on the order of messages
    Then factors are 1 or from 1.3 to 8 and the same in any order of messages and observations

  # Guards against messages that outgrow the limit of 13 KB/s in a large fleet.
  Scenario: A message has at most 64 rows of 7 bytes and tells which endpoints are slow
    Given 600 endpoints of which 5 are slow
    Then a group's section of a message has 64 rows, the fleet's has 5, of 7 bytes each
    And a daemon that reads the group's section finds the same 5 slow endpoints
    And a daemon that reads the fleet's section finds the same 5 slow endpoints

  # Guards against a mean over those daemons alone that saw an endpoint slow.
  Scenario: One daemon that sees an endpoint slow does not outweigh those that see it usual
    Given 9 daemons that reported 10 usual endpoints, and one that reported the first 4 times as slow
    Then the aggregator takes no endpoint for slow

  Scenario: A message tells nothing without observations, and between heartbeats
    Then a daemon reports nothing before its first observation, and all rows after it
    And the status between two heartbeats reports nothing

  Scenario: Rows are read as they were sent, within the limits of their fields
    Then rows with negative sums and with large counts keep their means

  # Guards against fleets of two releases that do not understand each other.
  Scenario: A daemon of the previous release reads a report without its rows
    Then a daemon that does not know the section reads the rest of the report

  # Guards against short prompts that are packed onto the slow engine because others are there.
  Scenario: Among equivalent engines the slower one is chosen last
    Given 3 idle engines
    And a short stream on engine 1
    And engine 1 is 2 times as slow
    When a short prompt is placed
    Then it is not placed on engine 1

  # Guards against a choice at random among all engines of the same load, whatever their speed.
  Scenario: A slower engine is not chosen where short prompts are spread over many engines
    Given 6 idle engines
    And 2 short streams on every engine
    And engine 1 is 2 times as slow
    When 50 short prompts are placed while reports take 3 s
    Then none of them is placed on engine 1

  Scenario: A slow engine does not help with a split prompt while others are idle
    Given 6 idle engines
    And engine 1 is 4 times as slow
    When a prompt of 45000 tokens is placed
    Then engine 1 is not among them

  Scenario: A long prompt is stored on the faster engines
    Given 8 idle engines
    And engine 1 is 4 times as slow
    When a prompt of 600000 tokens is placed
    Then engine 1 is not among them

  # Guards against streams that stall since a prefill takes longer than the model says.
  Scenario: A prefill that would stall the streams of a slow engine is interference
    Given 1 idle engines
    And 2 short streams on every engine
    When a short prompt is placed
    Then there is no interference
    Given engine 1 is 4 times as slow
    When a short prompt is placed
    Then there is interference

  # Guards against a factor that counts twice: by the sender and by those who read its load.
  Scenario Outline: Predictions are multiplied, reported load is not
    Given 1 idle engines
    When a prompt of <tokens> tokens is placed
    And engine 1 is 3 times as slow and the prompt is placed again
    Then the first event is predicted 3 times as late with the same load

    Examples:
      | tokens |
      | 5000   |
      | 45000  |

  # Guards against a factor that ends as soon as predictions allow for it.
  Scenario: Observations are relative to the prediction without the factor
    Given a daemon with 4 endpoints
    When each endpoint sends 4 first events at the predicted time, one with a slowdown of 3
    Then that endpoint is 3 times as slow

  Scenario Outline: First events that say little about the speed of an endpoint do not count
    Given a daemon with 4 endpoints
    When first events come <case>
    Then nothing is observed

    Examples:
      | case                         |
      | of requests with helpers     |
      | of a suspect endpoint        |
      | of a full endpoint           |
      | of requests that queue there |
      | without a prediction         |
      | while the switch is off      |

  # Guards against a wait for a slot that counts against the speed of the endpoint.
  Scenario: The placement of a request that waits inside an endpoint for a slot says so
    Given an engine whose slots are all in use
    When a request that goes first is placed after half of its objective
    Then its placement says that it queues there

  # Guards against a memory reservation whose time is taken for that of the first event.
  Scenario: An attempt records its first event once, from when the request was sent
    Then an attempt that sends 0.3 s after its start records the time since then

  Scenario: The log says when an endpoint becomes slow and when it is at its usual speed
    Given a daemon with 4 endpoints
    When each endpoint sends 4 first events at the predicted time, one with a slowdown of 1.4
    Then the log has no line and 0 endpoints count as slow
    When each endpoint sends 9 first events at the predicted time, one with a slowdown of 4
    Then the log has "endpoint slow" with 13 observations and 1 endpoint counts as slow
    When 7 s go by
    Then the log has "endpoint at usual speed" and 0 endpoints count as slow

  Scenario: A daemon whose switch is off corrects nothing and passes on what others report
    Given a daemon with 4 endpoints
    And its switch is off
    When a member reports 3 usual endpoints and one with a factor of 4
    Then it uses no factor
    And it passes the rows of the member on

  Scenario: The option switches the correction on
    Then "gateway --learn-slowdown" sets "learn_slowdown" to on and "gateway" to off

  # Guards against daemons that learn from their own requests alone, one in 50 s for each endpoint.
  Scenario Outline: A slow endpoint is known to all daemons of a fleet
    Given <daemons> daemons in <zones> zones that share 10 endpoints
    When each daemon observes 2 endpoints, one of all being 4 times as slow
    Then all daemons know a factor of 4 within 3 s
    And all of them have forgotten it 12 s later

    Examples:
      | daemons | zones |
      | 10      | 1     |
      | 40      | 2     |

  Scenario: One lost heartbeat leaves the factors in place
    Given 40 daemons in 2 zones that share 10 endpoints
    When each daemon observes 2 endpoints, one of all being 4 times as slow
    Then all daemons know a factor of 4 within 3 s
    When all messages are lost for 0.5 s
    Then all daemons know a factor of 4 within 0 s

  Scenario: The halves of a divided fleet learn by themselves
    Given 40 daemons in 2 zones that share 10 endpoints
    When the zones lose each other
    And each daemon of the first zone observes 2 endpoints, one of all being 4 times as slow
    Then all daemons of the first zone know a factor of 4 within 3 s, the others none

  # Guards against a correction that costs more than it brings.
  Scenario: One engine that is four times as slow costs few short prompts their time
    Given short prompts at 82 daemons and 60 engines, one of them 4 times as slow
    When it is simulated with and without the correction
    Then at least a quarter fewer short prompts are late with the correction

  # Guards against engines that are avoided because all of them have become slower.
  Scenario: No factor changes when all engines slow down at once
    Given short prompts at 82 daemons and 60 engines that all become 2 times as slow
    When it is simulated with the correction
    Then no engine is taken for slow after the change

Feature: The gateway's decisions, without any socket

  Scenario: Short prompts share engines, so that others stay free for long ones
    Given 4 idle engines
    When 5 short prompts are placed one after the other
    Then they lie on 2 engines at the most

  Scenario: A long prompt is read by several engines and spares those with short streams
    Given 8 idle engines
    And a short stream on engine 1
    When a prompt of 180000 tokens is placed
    Then it is read by more than 2 engines
    And engine 1 is not among them

  Scenario: Four callers who wait count for more than one with a few more tokens
    Given 2 idle engines
    And 4 short streams on engine 1
    And a stream of 30000 tokens on engine 2
    When a prompt of 100000 tokens is placed
    Then engine 1 is not among them

  Scenario: A prompt in the middle is read in parts that no short stream feels
    Given 9 idle engines
    And a short stream on engine 1
    When a prompt of 45000 tokens is placed
    Then no part lasts longer than 60 ms
    And nothing is harmed

  Scenario: A long prompt that would harm every engine's streams says so
    Given 3 idle engines
    And 6 short streams on every engine
    When a prompt of 300000 tokens is placed
    Then something is harmed

  Scenario: The time already waited counts when lateness is weighed
    Given 6 idle engines
    When a prompt of 300000 tokens is placed after 2500 ms
    Then it is called late

  Scenario Outline: A request waits where that costs less than going on
    Given a placement that puts <harm> tokens of others and <late> of its own at risk
    Then a prompt of 100000 tokens that waited <waited> ms <decision>

    Examples:
      | harm   | late  | waited | decision |
      | 0      | 0     | 0      | goes on  |
      | 2000   | 0     | 0      | goes on  |
      | 10000  | 0     | 0      | waits    |
      | 10000  | 0     | 1000   | goes on  |
      | 90000  | 0     | 1900   | waits    |
      | 10     | 0     | 2300   | goes on  |
      | 40000  | 0     | 2300   | goes on  |
      | 90000  | 0     | 2300   | waits    |
      | 90000  | 0     | 6500   | goes on  |
      | 10     | 75000 | 2900   | waits    |
      | 0      | 75000 | 2900   | goes on  |

  Scenario: A prompt that comes too late in any case does not stop a small busy fleet
    Given 11 idle engines
    And 6 short streams on every engine
    When a prompt of 920000 tokens is placed
    Then it is not worth serving
    When a prompt of 640000 tokens is placed
    Then it is not worth serving
    When a prompt of 200000 tokens is placed
    Then it is worth serving

  Scenario: The same prompts are served while nobody else needs the fleet
    Given 11 idle engines
    When a prompt of 920000 tokens is placed
    Then it is worth serving
    When a prompt of 640000 tokens is placed
    Then it is worth serving

  Scenario: A prompt over one engine's memory is stored on several
    Given 6 idle engines
    When a prompt of 600000 tokens is placed
    Then every engine stores less than its memory
    And the stored parts make up the prompt

  Scenario: Engines that fail requests are avoided while others are sound
    Given 2 idle engines
    And engine 1 is suspect
    When a short prompt is placed
    Then engine 2 gets it

  Scenario Outline: Every policy of the registry places a request, and none where there is no endpoint
    Given 2 idle engines
    Then policy "<policy>" places a short prompt and refuses without engines

    Examples:
      | policy            |
      | round_robin       |
      | least_outstanding |
      | least_harm        |

  Scenario Outline: A stopping daemon takes only what it can finish
    Given a planned stop with 8 seconds of grace
    And a stream of <tokens> tokens with an objective of <objective> seconds
    When it comes <seconds> seconds after the stop began
    Then the stopping daemon has it <fate>

    Examples: Until callers could know, idle engines would have to do
      | tokens | objective | seconds | fate    |
      | 3264   | 0.3       | 0.5     | taken   |
      | 3264   | 0.3       | 2.7     | taken   |
      | 1600   | 3         | 0.5     | taken   |
      | 1600   | 3         | 2.5     | refused |

    Examples: Then busy engines have to do
      | tokens | objective | seconds | fate    |
      | 3264   | 0.3       | 3.2     | refused |
      | 400    | 0.3       | 3.2     | taken   |
      | 400    | 0.3       | 6.5     | refused |

  Scenario Outline: During a planned stop a request waits for calmer engines while it ends in time
    Given a planned stop with 8 seconds of grace
    And a stream of 800 tokens with an objective of 1.5 seconds
    When it comes <seconds> seconds after the stop began
    Then the stream <waits> for calmer engines

    Examples:
      | seconds | waits        |
      | 1.0     | may wait     |
      | 4.5     | may not wait |

  Scenario: Repeats stay within the ratio and this daemon's part of the slack
    Given a retry budget of ratio 0.2 and slack 30 over 10 seconds
    When 100 requests and as many repeats as allowed are counted among 3 daemons
    Then at most 30 repeats were allowed
    And after 11 seconds only the slack is left

  Scenario: A single failure is no suspicion, a share of failures or a dead connection is
    When an endpoint fails once among successes
    Then it is not suspect
    When it fails 6 times in a row
    Then it is suspect
    And it is sound again later
    When its connection fails
    Then it is suspect at once

  Scenario: A peer's word about an endpoint counts for a moment and is not passed on
    When a peer says that an endpoint fails
    Then it is suspect but not named to others
    And it is sound again later

  Scenario: Work in flight adds up over daemons and goes with a silent one
    When two peers and this daemon work at an endpoint
    Then its total is the sum of the three
    When one peer falls silent
    Then its work is dropped
    When this daemon's prompt is read
    Then nothing is left to read but the peer's part

  Scenario: What peers tell each other survives the way, and garbage does not pass
    Then each kind of peer message comes back as it was sent
    And these are refused as peer messages: "", "[]", "{}", "[2,1,1,1,1,1,1]", "null", "[1", "\x05", "\x05\x09", "\x05\x02\x01", "\x04\x01"

  Scenario: A new daemon learns from a peer's snapshot what that peer knows by word only
    Given a daemon that read a list and then got a report that an endpoint is draining
    When a new daemon pulls its snapshot
    Then the new daemon does not use that endpoint

  Scenario: Lapsed entries are kept while the store settles, dropped ones are not
    When the list is read, the store is unavailable for 5 seconds, and the next list is empty
    Then the endpoints are kept for 2 seconds and removed after that
    When an entry disappears from the list without an outage
    Then its endpoint is removed at once

  Scenario: A list that was read earlier never replaces a newer one
    When a list is read and an older one is received from a peer
    Then the newer list is kept

  Scenario: Knowledge does not grow younger by being told to and fro
    Given 2 daemons of which the first read the list at 10 s
    When they send each other the age of their lists, 500 times, with a delay of 2 ms
    Then both date the read between 10 and 10.01 s
    When the first reads the list again at 20 s and sends an update
    Then both date the read between 20 and 20.01 s

  Scenario: A peer's word that an endpoint leaves outlives a list that was read before it
    When a peer reports that a listed endpoint is draining
    Then it gets no new requests, even after an older list
    And it is reported to peers for a while
    And a later list that shows it ready restores it

  Scenario: The longest prefix decides, and a version never goes back
    When two versions with nested prefixes arrive in the wrong order
    Then the newer one is in force and the longest prefix wins

  Scenario: Events are passed on whole and in order
    Then events cut at every byte come out whole
    And a gap, a repeat and a jump back are refused

  Scenario: The platform's settings, configuration and list are decoded once
    Then the settings file of the platform gives a daemon's settings
    And a settings file that changes is noticed once
    And a broken settings file names the file and what is wrong
    And a configuration of the platform gives routes, services and organisations
    And a broken configuration and a broken entry are refused

  Scenario: The store's pages are read to the end, and refusals are told apart from silence
    Given a store with 3 pages of endpoints
    Then all endpoints are read
    And a store that answers 503, 429 or nothing raises an unavailable platform

  Scenario: The platform's names stay in the adapter
    Then no other folder of the product names the platform's headers, topics or fields
    And the adapter has fewer than 1000 lines

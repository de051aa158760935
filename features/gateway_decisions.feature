Feature: The gateway's decisions without network access

  Scenario: Short prompts share engines, so that others stay free for long ones
    Given 4 idle engines
    When 5 short prompts are placed one after the other
    Then they are placed on at most 2 engines

  Scenario: A long prompt is split between engines and avoids those with short streams
    Given 8 idle engines
    And a short stream on engine 1
    When a prompt of 180000 tokens is placed
    Then it is prefilled by more than 2 engines
    And engine 1 is not among them

  Scenario: Four short streams outweigh one stream with slightly more tokens
    Given 2 idle engines
    And 4 short streams on engine 1
    And a stream of 30000 tokens on engine 2
    When a prompt of 100000 tokens is placed
    Then engine 1 is not among them

  Scenario: A medium prompt is split into parts that do not stall short streams
    Given 9 idle engines
    And a short stream on engine 1
    When a prompt of 45000 tokens is placed
    Then no part lasts longer than 60 ms
    And there is no interference

  Scenario: A long prompt that stalls streams on every engine reports interference
    Given 3 idle engines
    And 6 short streams on every engine
    When a prompt of 300000 tokens is placed
    Then there is interference

  Scenario: The time already waited counts towards lateness
    Given 6 idle engines
    When a prompt of 300000 tokens is placed after 2500 ms
    Then it is predicted to be late

  Scenario Outline: A request waits where that costs less than being sent
    Given a placement with a loss of <others> tokens to others and <own> to itself
    Then a prompt of 100000 tokens that waited <waited> ms <decision>

    Examples:
      | others | own   | waited | decision |
      | 0      | 0     | 0      | is sent  |
      | 2000   | 0     | 0      | is sent  |
      | 10000  | 0     | 0      | waits    |
      | 10000  | 0     | 1000   | is sent  |
      | 90000  | 0     | 1900   | waits    |
      | 10     | 0     | 2300   | is sent  |
      | 40000  | 0     | 2300   | is sent  |
      | 90000  | 0     | 2300   | waits    |
      | 90000  | 0     | 6500   | is sent  |
      | 10     | 75000 | 2900   | waits    |
      | 0      | 75000 | 2900   | is sent  |

  Scenario: A prompt that is late in any case does not stall a small busy fleet
    Given 11 idle engines
    And 6 short streams on every engine
    When a prompt of 920000 tokens is placed
    Then it is not worth serving
    When a prompt of 640000 tokens is placed
    Then it is not worth serving
    When a prompt of 200000 tokens is placed
    Then it is worth serving

  Scenario: The same prompts are served on an idle fleet
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

  Scenario: Engines that fail requests are avoided while others are healthy
    Given 2 idle engines
    And engine 1 is suspect
    When a short prompt is placed
    Then it is placed on engine 2

  Scenario Outline: Every registered policy places a request, or nothing if there is no endpoint
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
    When it arrives <seconds> seconds after the stop began
    Then it is <fate> by the stopping daemon

    Examples: Before callers can know of the stop, idle engines are assumed
      | tokens | objective | seconds | fate    |
      | 3264   | 0.3       | 0.5     | taken   |
      | 3264   | 0.3       | 2.7     | taken   |
      | 1600   | 3         | 0.5     | taken   |
      | 1600   | 3         | 2.5     | refused |

    Examples: After that, busy engines are assumed
      | tokens | objective | seconds | fate    |
      | 3264   | 0.3       | 3.2     | refused |
      | 400    | 0.3       | 3.2     | taken   |
      | 400    | 0.3       | 6.5     | refused |

  Scenario Outline: During a planned stop a request waits for less loaded engines if it can still end in time
    Given a planned stop with 8 seconds of grace
    And a stream of 800 tokens with an objective of 1.5 seconds
    When it arrives <seconds> seconds after the stop began
    Then the stream <waits> for less loaded engines

    Examples:
      | seconds | waits        |
      | 1.0     | may wait     |
      | 4.5     | may not wait |

  Scenario: Retries stay within the ratio and this daemon's share of the slack
    Given a retry budget of ratio 0.2 and slack 30 over 10 seconds
    When 100 requests and as many retries as allowed are recorded with 3 daemons
    Then at most 30 retries were allowed
    And after 11 seconds only the slack is left

  Scenario: A single failure does not make an endpoint suspect, repeated ones or a broken connection do
    When an endpoint fails once among successes
    Then it is not suspect
    When it fails 6 times in a row
    Then it is suspect
    And it is healthy again later
    When its connection fails
    Then it is suspect at once

  Scenario: A peer's word about an endpoint expires soon and is not passed on
    When a peer reports that an endpoint fails
    Then it is suspect but not reported to others
    And it is healthy again later

  Scenario: Load is summed over daemons and dropped with a silent one
    When two peers and this daemon have load at an endpoint
    Then its total is the sum of the three
    When one peer stops reporting
    Then its load is dropped
    When this daemon's prefill finishes
    Then only the peer's pending prefill is left

  Scenario: Peer messages are decoded as encoded and malformed ones are refused
    Then each kind of peer message is decoded as it was encoded
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

  Scenario: Evacuated zones are read with the configuration, at no further call
    Guards against names that no message to peers can carry, which would stop all heartbeats.

    Given a store with records of two evacuated zones, one of them deleted
    Then one zone is evacuated, as of the end offset and the era of the first page

  Scenario Outline: A page of the store that breaks off <where> is no empty list
    Guards against taking all endpoints for gone when the store closes a connection early.

    Given a store whose pages have no length and end <where>
    Then reading the endpoints raises an unavailable platform

    Examples:
      | where                 |
      | before the first byte |
      | inside the page       |
      | without its items     |

  Scenario: The platform's names stay in the adapter
    Then no other folder of the product names the platform's headers, topics or fields
    And the adapter has fewer than 850 lines

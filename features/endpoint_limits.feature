Feature: Endpoints name the rate of requests that they take

  # Guards against an endpoint in need that gets more requests than it takes from all daemons.
  Scenario: Daemons together keep to the rate limit that an endpoint names
    Given 3 gateways in front of 1 endpoint that takes 1 request a second
    When each daemon is told the limit
    And 10 callers at once send a "check" to each daemon
    Then the endpoint received no more requests than it takes
    And the other callers were refused with a Retry-After header

  # Guards against losing requests where another endpoint has room.
  Scenario: An endpoint that limits its rate costs callers nothing while others have room
    Given 3 gateways in front of 4 endpoints, one of which takes 1 a second
    When 10 callers at once send a "check" to each daemon
    Then every caller was served

  Scenario: The adapter reads the limit of a response
    Then a response with the header "Server-Limit: <value>" names a limit of <limit>
      | value | limit |
      | 0.25  | 0.25  |
      | 12    | 12.0  |
      | 0     | 0.0   |
      | many  | none  |
      | -1    | none  |
      | nan   | none  |
    And a response of another endpoint says nothing

  # Guards against one late response that lifts a limit for the whole fleet.
  Scenario: Responses that overtake each other do not lift a limit
    Given an endpoint that named a limit of 2 at 10.0 s
    When a response without a limit to a request sent at 9.9 s arrives at 10.1 s
    Then the limit is 2
    When a response without a limit to a request sent at 10.2 s arrives at 10.3 s
    Then there is no limit

  Scenario: Daemons tell each other what endpoints said to them, and the newest counts
    Given an endpoint that named a limit of 2 at 10.0 s
    When a peer tells at 11.0 s that the endpoint lifted its limit 1.5 s ago
    Then the limit is 2
    When a peer tells at 11.0 s that the endpoint lifted its limit 0.5 s ago
    Then there is no limit
    And this daemon tells its peers nothing

  Scenario: Limits, permits and their replies are encoded and decoded
    Then each message about limits is decoded as it was sent

  # Guards against two daemons that schedule the same endpoint while their members differ.
  Scenario: A new owner of an endpoint waits until no other can be
    Given daemons that share 40 endpoints
    When a daemon joins
    Then only endpoints of the new daemon change their owner
    And the new daemon waits 1.5 s before it schedules them
    And the others schedule theirs without a pause

  Scenario Outline: A schedule keeps to its rate and uses it
    When requests ask for slots at <rate> a second, 4 times as often, for 40 s
    Then at most <most> are sent in any 4 s and all of the rate is used

    Examples:
      | rate | most |
      | 0.25 | 3    |
      | 1    | 6    |
      | 10   | 42   |
      | 50   | 202  |

  Scenario: A raised limit takes effect on what is already booked
    Given a schedule at 0.25 a second that is booked for 12 s
    When a request asks for a slot at 10 a second
    Then it waits less than 1 s

  # Guards against helpers: a part of another prompt is work that the endpoint asked to be spared.
  Scenario: An endpoint that limits its rate prefills no parts of other prompts
    Given 6 engines of which 5 limit their rate
    When a prompt of 80000 tokens is placed among them
    Then no engine that limits its rate helps

  # Guards against an endpoint in need that gets more than it takes from a fleet of any size, and
  # against one that is shunned: at half its rate nobody is refused, at twice its rate all is used.
  Scenario Outline: A fleet keeps to a limit and uses it
    When <daemons> daemons play <demand> times a limit of <limit> a second with <trouble>
    Then the endpoint gets no more than it takes and every caller has its answer
    And <result>

    Examples:
      | daemons | limit | demand | trouble          | result             |
      | 6       | 0.25  | 2      | none             | the limit is used  |
      | 6       | 1     | 2      | none             | the limit is used  |
      | 6       | 1     | 0.5    | none             | nobody is refused  |
      | 6       | 10    | 2      | none             | the limit is used  |
      | 6       | 10    | 0.5    | lost messages    | nobody is refused  |
      | 6       | 10    | 2      | late messages    | the limit is used  |
      | 12      | 10    | 0.5    | late messages    | nobody is refused  |
      | 6       | 10    | 2      | replaced daemons | the limit is used  |
      | 6       | 50    | 2      | lost messages    | the limit is used  |
      | 12      | 1     | 2      | replaced daemons | the limit is used  |
      | 12      | 10    | 0.5    | replaced daemons | nobody is refused  |
      | 60      | 1     | 2      | lost messages    | the limit is used  |
      | 60      | 10    | 0.5    | none             | nobody is refused  |

  # Guards against a group's member that becomes its aggregator and schedules at once.
  Scenario: A daemon that starts to schedule waits until no other can
    Given a daemon that has scheduled nothing while others did
    When it becomes an aggregator and owns endpoints
    Then it waits 1.5 s before it schedules them

  # Guards against a permit that a suspended daemon reads seconds later.
  # Guards against daemons that are all about to stop and each schedule an endpoint as its only owner.
  Scenario Outline: <count> daemons that are all about to stop, <gap> s apart, keep to one owner
    Given <count> daemons without requests in <zones> zones that schedule 5 endpoints
    When all are about to stop, <gap> s apart
    Then at no time do two of them grant permits for the same endpoint
    And in the end each endpoint has one owner that all agree on

    Examples: Fleets
      | count | zones | gap |
      | 3     | 1     | 1.0 |
      | 3     | 1     | 0.0 |
      | 6     | 3     | 0.3 |

  Scenario: A reply that comes after its timeout allows nothing
    Given a daemon that asked another one for a permit
    When the reply is read 0.2 s later
    Then the request was not allowed
    And a reply within 0.1 s allows it

  # Guards against two schedules after a cut: each side has scheduled what the other owns.
  Scenario Outline: After a cut both sides wait before they schedule
    Given a daemon that owns endpoints with another one, which falls silent
    When the other one comes back as the <process> process
    Then the daemon waits <seconds> s before it schedules its own endpoints

    Examples:
      | process | seconds |
      | same    | 0.5     |
      | new     | 0       |

  Scenario: A large fleet whose aggregators are cut off and come back keeps to a limit
    When 195 daemons play 2 times a limit of 10 a second with cut aggregators
    Then the endpoint gets no more than it takes and every caller has its answer

Feature: A host that cannot reach the endpoints still serves its callers

  Guards against callers of a host that has lost its way to all endpoints being refused, though the
  daemons beside it reach every one.

  Scenario Outline: Callers of a cut-off daemon are served, "<kind>", connections <fate>
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are <fate>
    When its callers send 6 times a "<kind>" in a row
    Then all 6 are served and each ran once

    Examples: By kind and cut
      | kind  | fate    |
      | check | refused |
      | hold  | refused |
      | text  | refused |
      | check | hung    |
      | hold  | hung    |
      | text  | hung    |

  Scenario: What a cut-off daemon sees is not told as failures of endpoints
    Given 3 gateways before 4 healthy endpoints
    And the log of all daemons is kept
    And daemon 1 loses its streams and all endpoints, new connections are refused
    When its callers send 6 times a "text" in a row
    Then no daemon says that an endpoint has ended
    And the other daemons suspect no endpoint

  Scenario: A request is forwarded once, and the next daemon is asked where the first is cut off too
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And daemon 2 is cut off from all endpoints, new connections are refused
    When its callers send 8 times a "hold" in a row
    Then all 8 are served and each ran once
    And daemon 2 has forwarded nothing

  Scenario: With no daemon to ask, a request is refused at once and has not run
    Given 2 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And daemon 2 is cut off from all endpoints, new connections are refused
    When its callers send 4 times a "hold" in a row
    Then all 4 are refused as not run, with a time to come back

  Scenario: A stopping daemon is not asked
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    When daemon 2 begins a planned stop
    And its callers send 6 times a "hold" in a row
    Then all 6 are served and each ran once

  Scenario: A call whose answer is lost behind the other daemon runs once
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints use the behaviour "lost response" for all requests
    When its callers send 3 times a "hold" in a row
    Then all 3 fail as maybe run, and each ran once

  Scenario: A call that an endpoint rejects goes to another endpoint, within the route's attempts
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints use the behaviour "not executed" for all requests
    When its callers send 1 times a "hold" in a row
    Then all 1 are refused as not run, with a time to come back
    And 2 endpoints received it

  Scenario: A forwarded stream that breaks off goes on at another endpoint
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints use the behaviour "stream truncated in an event" for the next request
    When a caller sends a "text"
    Then the response is 200 with body "all events"

  Scenario: A forwarded stream that cannot be resumed stays broken
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints use the behaviour "stream truncated in an event" for the next request
    When a caller sends a "once"
    Then the response is incomplete

  Scenario: A caller that leaves ends the work behind the other daemon
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints use the behaviour "no response" for all requests
    When a caller sends a "hold" and disconnects
    Then the request at the endpoint is cancelled

  Scenario: The daemon asked checks the key itself, whoever sends
    Given 3 gateways before 4 healthy endpoints
    When an outsider poses as a daemon with the key "stolen"
    Then the response is 401 with body ""
    And no endpoint received a request

  Scenario: A caller that poses as a daemon gets nothing by it
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    When a caller sends a "hold" with the headers of a forwarded request
    Then the response is 200 and one endpoint ran it, without these headers

  Scenario: The path is used again when it is back
    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    When its callers send 2 times a "hold" in a row
    And the way of daemon 1 is back
    And its callers send 4 times a "hold" in a row
    Then all 4 are served and each ran once
    And daemon 1 sent them itself

  Scenario: Three of four endpoints that end are no lost path
    Given 3 gateways before 4 healthy endpoints
    When 3 endpoints crash
    And its callers send 6 times a "check" in a row
    Then all 6 are served and each ran once
    And daemon 1 has forwarded nothing

  Scenario: Late answers of slow endpoints open a path that counted as lost
    Guards against a daemon that refuses everybody while all endpoints answer new connections late.

    Given 1 gateways before 4 healthy endpoints
    And the endpoints answer reports after 1.5 seconds
    When daemon 1 sees an endpoint refuse connections until its path is lost
    Then its path is open again

  Scenario: The log of both daemons tells the way of a forwarded request
    Given 3 gateways before 4 healthy endpoints
    And the log of all daemons is kept
    And daemon 1 is cut off from all endpoints, new connections are refused
    When its callers send 1 times a "hold" in a row
    Then the trace of the request names both daemons, and its loss is counted once at most

  Scenario: A daemon that only forwards learns that an endpoint leaves
    Guards against the word of leaving being lost with the daemon that sent the request.

    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints use the behaviour "complete response before a stop" for all requests
    When its callers send 1 times a "hold" in a row
    Then daemon 1 knows it by its own answer

  Scenario: One endpoint that is left is enough to find the path again
    Guards against a lost path that stays lost since too few endpoints are listed to prove it open.

    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    When its callers send 1 times a "hold" in a row
    And only one endpoint stays in the list
    And the way of daemon 1 is back
    And its callers send 2 times a "hold" in a row
    Then all 2 are served and each ran once

  Scenario: An endpoint cannot pass its answer off as another daemon's refusal
    Guards against a call that may run once being sent again, since its answer carried a header of ours.

    Given 3 gateways before 4 healthy endpoints
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints use the behaviour "complete response that claims a refusal" for all requests
    When its callers send 2 times a "hold" in a row
    Then all 2 are served and each ran once

  Scenario: A failure of the other daemon itself says nothing of the endpoint
    Guards against a limit or a word of leaving being taken back by an answer that is not the endpoint's.

    When another daemon answers 502 to a forwarded request that endpoint "endpoint-1" had
    Then the request does not try "endpoint-1" again
    And nothing is recorded of what endpoints say

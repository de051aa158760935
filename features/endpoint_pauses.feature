Feature: Endpoints that reject a request say for how long they take none

  # Guards against requests that a daemon sends to an endpoint that has asked it for a pause.
  Scenario: A daemon sends nothing to an endpoint that has asked it for a pause
    Given a gateway in front of two endpoints
    And the first endpoint uses the behaviour "rejection for 30 s"
    And the second endpoint uses the behaviour "not executed"
    When a caller sends a "check" 10 times
    Then the first endpoint received at most 1 request

  # Guards against trying each endpoint in turn while all of them have asked for a pause.
  Scenario: While all endpoints pause, requests are refused at once with a time to come back
    Given a gateway in front of two endpoints
    And the endpoints use the behaviour "rejection for 30 s" for all requests
    When a caller sends a "check" 10 times
    Then every response is 503
    And each endpoint received at most 1 request
    And the last response has a Retry-After of at least 2 s

  Scenario: A request waits for the end of a pause that leaves it in time
    Given a gateway in front of two endpoints
    And each endpoint uses the behaviour "rejection for 0.3 s" once
    When a caller sends a "check" 3 times
    Then the last response is 200

  # Guards against sending all waiting requests at once to an endpoint that still rejects them: 40 of
  # 40 sends were rejected.
  Scenario: Endpoints that reject requests after their pause as well are tried by one at a time
    Given a gateway in front of two endpoints
    And the endpoints use the behaviour "rejection for 0.3 s" for all requests
    When a caller sends a "check"
    And 20 callers at once send a "check" to each daemon
    Then every response is 503
    And each endpoint received at most 8 requests

  Scenario Outline: Requests that wait for the end of a pause follow one that tries the endpoint
    Given an endpoint that asks a daemon for a pause of 3 s
    When 10 requests wait for it and 3 s go by
    Then 1 of them may be sent
    When the endpoint <answer> and <seconds> s go by
    Then <sent> of them may be sent

    Examples:
      | answer                     | seconds | sent |
      | serves it                  | 0.1     | 10   |
      | is silent                  | 0.4     | 1    |
      | is silent                  | 0.6     | 2    |
      | asks for a pause of 2 s    | 1.9     | 1    |
      | asks for a pause of 2 s    | 2.1     | 2    |
      | asks for a pause of 0 s    | 0.05    | 1    |
      | asks for a pause of 0 s    | 0.15    | 2    |
      | asks for 0 s each time     | 2.0     | 6    |
      | serves one sent before     | 0.4     | 1    |

  # Guards against taking room away that other daemons have: a pause binds who was asked for it.
  Scenario: Other daemons go on to use an endpoint that has asked one for a pause
    Given 2 gateways in front of two endpoints
    And the first endpoint rejects a request of the first daemon for 30 s
    When each daemon serves 6 requests
    Then the first endpoint served only the second daemon

  # Guards against treating an endpoint that asks for a pause as one that fails.
  Scenario Outline: An endpoint that asks for a pause is not suspected
    Given a gateway in front of two endpoints
    And the endpoints use the behaviour "<behaviour>" for all requests
    When a caller sends a "check" 10 times
    Then no endpoint is suspected

    Examples:
      | behaviour               |
      | rejection for 30 s      |
      | plain 503 for 30 s      |

  Scenario: The adapter reads for how long an endpoint takes no requests
    Then a response <status> with the header "Retry-After: <value>" asks for a pause of <seconds>
      | status | value | seconds |
      | 503    | 3     | 3.0     |
      | 429    | 0.25  | 0.25    |
      | 503    | soon  | none    |
      | 503    | -1    | none    |
      | 503    | inf   | none    |
      | 200    | 3     | none    |
      | 421    | 3     | none    |

  Scenario: A second pause does not shorten the first
    Given an endpoint that asked at 10 s for a pause of 5 s
    When it asks at 11 s for a pause of 1 s
    Then it is paused at 14.9 s and not at 15 s

  # Guards against requests that the OpenAI-compatible daemon sends to an engine during its pause.
  Scenario: An engine that asks for a pause gets no request of that daemon in it
    Given a site of 1 daemon and 2 engines
    And the first engine refuses requests for 30 s
    When 20 completions are sent one after the other
    Then all of them succeed
    And the first engine refused at most 1 request

  Scenario: While all engines pause, callers are told at once when to come back
    Given a site of 1 daemon and 1 engine
    And the first engine refuses requests for 30 s
    When 5 completions are sent one after the other
    Then all of them are refused as not run, the last with a Retry-After of more than 20 s
    And the first engine refused at most 1 request

  # Guards against giving up an attempt that is merely slow while no other endpoint takes requests.
  Scenario: A stalled attempt is kept while all other endpoints pause
    Given a request that is in progress at one of 3 endpoints
    Then its attempt may be replaced
    When the other endpoints ask for a pause
    Then its attempt is kept

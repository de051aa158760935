Feature: A request outlives a silence of its endpoint

  A sound endpoint may send nothing for a second or so and go on, as may all of them at once.

  # Guards against streams cut in the middle: the attempt was ended before another one had answered.
  Scenario: A stream is whole when its endpoint goes on after a silence and the other one turns it away
    Given a gateway in front of two endpoints
    And the next stream pauses after two events until the other endpoint has turned it away
    When a caller sends a "text"
    Then the response is 200 with body "all events"

  # Guards against answers that are lost with a live attempt, whatever becomes of the second one.
  Scenario Outline: A <kind> that is sent again after a silence keeps its first endpoint when <second>
    Given a <kind> in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And <second>
    And the first endpoint goes on
    Then the caller has each byte of the answer once and its end
    And no attempt is left

    Examples: Streams
      | kind   | second                                    |
      | stream | the second endpoint does not run it       |
      | stream | the second endpoint cannot be reached     |
      | stream | the second endpoint resets its connection |
      | stream | the second endpoint answers 500           |
      | stream | the second endpoint is silent too         |
      | stream | the second endpoint sends comments alone  |
      | stream | no other endpoint has room                |
      | stream | no other endpoint is left                 |
      | stream | no permit is granted                      |

    Examples: Whole answers
      | kind  | second                                    |
      | check | the second endpoint does not run it       |
      | check | the second endpoint cannot be reached     |
      | check | the second endpoint resets its connection |
      | check | the second endpoint answers 500           |
      | check | the second endpoint is silent too         |
      | check | no other endpoint has room                |
      | check | no other endpoint is left                 |

  # Guards against a second run that goes on for nobody, and against events that come twice.
  Scenario Outline: The <first> of two attempts that goes on brings the answer and ends the other
    Given a <kind> in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the request is sent to the second endpoint
    And the <first> endpoint goes on
    Then the caller has each byte of the answer once and its end
    And no attempt is left
    And the connection to the <other> endpoint was closed

    Examples:
      | kind   | first  | other  |
      | stream | first  | second |
      | stream | second | first  |
      | check  | first  | second |
      | check  | second | first  |

  # Guards against work that goes on after its caller has left or its time is over.
  Scenario Outline: Both attempts end when <end>
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the request is sent to the second endpoint
    And <end>
    Then no attempt is left
    And the connection to the first endpoint was closed
    And the line of the request names the silent endpoint

    Examples:
      | end                           |
      | its caller gives it up             |
      | the deadline passes           |
      | the daemon's planned stop ends |

  # Guards against a retry budget that is used up by retries that were never sent.
  Scenario: A retry that was taken and not sent is given back
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And no other endpoint has room
    And the first endpoint goes on
    Then no retry was taken

  # Guards against a failure that an endpoint answered and that is lost behind a silent one.
  Scenario: A failure of the second endpoint reaches the caller if the first stays silent
    Given a check in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the second endpoint answers 500
    And the deadline passes
    Then the caller has the failure of the second endpoint

  # Guards against a refusal as not run of a request that may run at a silent endpoint.
  Scenario: A request at a silent endpoint is not refused as not run
    Given a check in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the second endpoint does not run it
    And the deadline passes
    Then the caller is told that the request may have run

  # Guards against a sound endpoint that gets no requests after it has gone on.
  Scenario: An endpoint that goes on after a silence is not avoided
    Given an endpoint that fell silent and is avoided
    When it goes on
    Then it is not avoided and the log says that it answers again

  # Guards against prompts that lose their memory, and so their answer, while their endpoint pauses.
  Scenario: Memory is kept while the endpoint that uses it is silent for 1.6 s
    Given memory that is reserved for a prompt
    When the endpoint that uses it is silent for 1.6 s after a renewal was due
    Then its request is told of the silence
    And the memory is renewed and not released

  # Guards against memory that stays set aside for an endpoint that does not come back.
  Scenario: Memory is released when the endpoint that uses it stays silent
    Given memory that is reserved for a prompt
    When the endpoint that uses it is silent for 6 s after a renewal was due
    Then its request is told of the silence
    And the memory is released within 4 s of the endpoint's last answer

  # Guards against a live attempt that is ended for an answer that its caller cannot use.
  Scenario Outline: A stream keeps its first endpoint when the second one answers <status>
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the second endpoint answers <status> as its own failure
    And the first endpoint goes on
    Then the caller has each byte of the answer once and its end
    And no attempt is left

    Examples:
      | status |
      | 404    |
      | 429    |

  # Guards against a retry budget that is used up by retries that were never sent.
  Scenario: A retry whose caller leaves before it is sent is given back
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And no other endpoint has room
    And its caller gives it up
    Then no retry was taken

  # Guards against a retry budget that is used up by sends that reached no endpoint.
  Scenario: A retry that reached no endpoint is given back
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the second endpoint cannot be reached
    And the first endpoint goes on
    Then no retry was taken

  # Guards against one request that takes retry after retry without being sent.
  Scenario: Retries whose memory reservation is refused are given back
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And each memory reservation for it is refused
    And the gateway runs for 5 s
    Then no retry was taken

  # Guards against requests to an endpoint that is avoided for another reason than its silence.
  Scenario Outline: An endpoint that goes on stays avoided for a failure <seconds> s after its silence
    Given an endpoint that fell silent and is avoided
    When it fails for another reason after <seconds> s
    And it goes on
    Then it is still avoided

    Examples:
      | seconds |
      | 0.1     |
      | 3600    |

  # Guards against a request that stays at a dead endpoint after a moment without retries.
  Scenario: A silent request is sent again once the retry budget has room
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the retry budget is empty at that moment and not later
    And the gateway runs for 4 s
    Then the request was sent to another endpoint

  # Guards against a second silence that asks for no permit since the first one did in vain.
  Scenario: A second silence asks for permits anew
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And no permit is granted
    And the first endpoint sends event 3
    And the gateway runs for 1 s
    And the first endpoint sends event 4
    And the gateway runs for 1 s
    And the first endpoint sends event 5
    And the gateway runs for 1 s
    And the first endpoint sends event 6
    And the gateway runs for 1.3 s
    Then a permit is asked for again

  # Guards against a refusal as not run while a silent attempt may run.
  Scenario: A request whose content is quarantined meanwhile is not refused
    Given a check in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And its content is quarantined
    Then the caller has no answer yet

  # Guards against events that are read faster than the caller takes them, or never.
  Scenario: Only the attempt that is delivered waits for the caller
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the request is sent to the second endpoint
    Then neither attempt waits for the caller
    When the second endpoint sends event 3
    Then the second attempt waits for the caller

  # Guards against a second run that repeats or leaves out events.
  Scenario: The second attempt asks for the events that the caller lacks
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the request is sent to the second endpoint
    Then the second endpoint is asked to go on after event 2

  # Guards against sound endpoints that are taken for failing ones after they went on.
  Scenario: The daemon learns that an endpoint fell silent and that it goes on
    Given a stream in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And the request is sent to the second endpoint
    Then the first endpoint counts as silent and failing
    When the first endpoint sends event 3
    Then the first endpoint does not count as silent

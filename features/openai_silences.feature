Feature: The OpenAI-compatible interface keeps what a silent neighbour may still finish

  Guards against giving up a live attempt or an accepted request before its replacement is certain:
  a sound endpoint may send nothing for a second or two and go on.

  # Guards against a stream that is given up at the first resumption that fails.
  Scenario Outline: An engine whose first resumptions <fail>
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that breaks off a stream and <fail> the first 3 resumptions
    When a caller streams an answer
    Then the answer is complete
    And the engine was sent 1 completion and 4 resumptions

    Examples:
      | fail                       |
      | refuses with 503           |
      | refuses with 429           |
      | closes the connection of   |
      | is silent for 1 s, then refuses with 503 |

  # Guards against resumptions without end of a stream that the engine has freed.
  Scenario: An engine that no longer has the stream is asked once
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that breaks off a stream and refuses with 410 the first 3 resumptions
    When a caller streams an answer
    Then the answer ends with endpoint_failed
    And the engine was sent 1 completion and 1 resumption

  # Guards against cancelling a live stream, and refusing its token for good, because the engine
  # could not be asked for a moment.
  Scenario: A caller resumes while its engine does not serve resumptions
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that serves a stream and refuses with 503 the first 11 resumptions
    When a caller streams an answer
    And the caller resumes its answer until it is served
    Then no resumption was refused for good
    And the engine was not asked to cancel a stream
    And the resumed answer is complete

  # Guards against cutting the end of an answer that is ready: the request counted as done once its
  # last event was queued for its caller.
  Scenario: A daemon stops while a caller has not read the end of its stream
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that sends more than a caller takes without reading
    When a caller sends a streamed request and reads nothing until the daemon is stopping
    Then the caller reads the whole stream

  Scenario: A daemon stops while a caller has not read the end of its plain answer
    Given a site of 1 daemon and 1 engine
    And the service is replaced by one that answers 16 MiB
    When a caller calls the service and reads nothing until 2 s after the daemon stops
    Then the caller reads an answer of 16 MiB

  # Guards against cancelling streams that another daemon may go on with.
  Scenario: A daemon's time to stop ends with a stream on it
    Given a site of 2 daemons and 1 engine
    And the engine is replaced by one that pauses after 20 of 40 tokens until the stream is resumed
    When the stream is cut by a daemon that stops and waits for nobody
    And the caller resumes it at the other daemon
    Then the two parts together are the answer byte for byte
    And the cut stream is recorded as not_ready

  # Shows that a pause of a second or so loses no request. The limits on a silence are 60 s in a
  # stream and 15 s before its first event; a shorter limit fails here.
  Scenario Outline: <which> silent for <seconds> s <moment>, <other>
    Given a site of 1 daemon and 2 engines
    And the second engine <other>
    When 12 callers stream while <which> silent for <seconds> s <moment>
    Then every answer is complete, in order and the caller's own

    Examples:
      | which                | seconds | moment                   | other              |
      | the first engine is  | 1.0     | before the first token   | serves             |
      | the first engine is  | 1.5     | before the first token   | serves             |
      | the first engine is  | 1.5     | in the middle            | serves             |
      | both engines are     | 1.0     | in the middle            | serves             |
      | both engines are     | 1.5     | before the first token   | serves             |
      | the first engine is  | 1.5     | before the first token   | refuses for 30 s   |
      | the first engine is  | 1.5     | in the middle            | refuses for 30 s   |
      | the first engine is  | 1.5     | before the first token   | cannot be reached  |
      | the first engine is  | 1.5     | in the middle            | cannot be reached  |
      | the first engine is  | 1.5     | before the first token   | refuses            |

  Scenario Outline: Engines are silent for 1.5 s while <event>
    Given a site of 2 daemons and 2 engines
    When 12 callers stream while both engines are silent for 1.5 s and <event>
    Then every answer is complete, in order and the caller's own

    Examples:
      | event                                     |
      | the daemon stops as planned               |
      | a contract changes                        |
      | the first engine gets another address     |
      | the first engine leaves the configuration |
      | the first engine is listed as leaving     |

  Scenario Outline: A service that answers after <seconds> s
    Given a site of 1 daemon and 1 engine
    When a hold is sent while the service is silent for <seconds> s
    Then the hold is answered and ran once

    Examples:
      | seconds |
      | 1.0     |
      | 1.5     |

  # Guards against an engine that attracts requests because it refuses them: it looked idle, and the
  # retries that followed were used up after a few requests.
  Scenario Outline: The first engine refuses without saying for how long, <callers> at a time
    Given a site of 1 daemon and 2 engines
    And the first engine refuses every request
    When <callers> callers send 80 completions
    Then every completion succeeds

    Examples:
      | callers |
      | 1       |
      | 8       |

  Scenario: An engine that has refused is used again
    Given an engine that refused at 10 s, 10.5 s and 12 s
    Then it is avoided at 13.9 s and not at 14.1 s
    When it serves a request at 14.2 s
    And it refuses at 20 s
    Then it is avoided at 20.9 s and not at 21.1 s

  # Guards against taking an engine that is not read, since its caller reads slowly, for a silent one.
  Scenario: A caller reads nothing for longer than an engine may be silent
    Given a site of 1 daemon and 1 engine
    And the daemon ends streams of engines that are silent for 1 s
    And the engine is replaced by one that sends a stream of 25 MiB
    When a caller sends a streamed request and reads nothing for 4 s
    Then the caller has the whole stream

  Scenario: An engine that is silent after its caller reads again
    Given a stream of which the daemon reads nothing for 120 s
    Then the watchdog has not ended it
    When the daemon reads it again and the engine sends nothing for 60 s
    Then the watchdog has ended it as silent

  # Guards against a place that nobody holds and nobody frees: an engine had one stream less room for
  # each caller that left, or whose time passed, in the moment in which its request was placed.
  Scenario: A caller leaves in the moment in which its request is placed
    Given a site of 1 daemon and 1 engine
    And a queued request whose caller leaves while room is found for it
    When the request is placed
    Then it fails with caller_disconnected and holds no place

  # Guards against a log that says that a caller got no answer, and not why.
  Scenario: The log says why a caller got no answer
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that breaks off a stream and refuses with 410 the first 3 resumptions
    When a caller streams an answer and the log is kept
    Then the line "request ended" has the reason "no longer has the stream" and ran "maybe"

  Scenario: The log quotes nothing that an engine says
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that refuses with the message "cannot run: blue linen"
    When a caller streams an answer and the log is kept
    Then the line "request ended" has the reason "rejected the request" and ran "no"
    And no line that was kept holds "blue linen"

  # Guards against resumptions for a caller that has left: tries went on, and their end was logged as
  # a fault of the relay.
  Scenario: A caller leaves while its engine refuses resumptions
    Given a site of 1 daemon and 1 engine
    And the engine is replaced by one that breaks off a stream and refuses with 503 the first 50 resumptions
    When a caller streams an answer and leaves after the second resumption
    Then the engine is asked for at most 2 further resumptions
    And the relay has logged no fault

Feature: Endpoint crashes are attributed to the fewest contents that explain them

  A crash fails all requests in flight at the endpoint. Crashes are numbered and contents have letters.
  No network is used and time is simulated. The model is a caller that retries a request which crashes
  its engine every half second, beside dozens of healthy streams.

  Scenario: Three crashes cause a quarantine, after the reports of other daemons arrived
    Given content a was in flight at crashes 1, 2 and 3
    Then content a is undecided
    When 0.3 s pass
    Then content a is quarantined

  Scenario: Two crashes make a request suspect, one crash does not
    Given content a was in flight at crashes 1 and 2
    And content b was in flight at crashes 2
    Then content a is suspect
    And content b is sound

  Scenario: Contents in flight beside a crashing request are cleared by its quarantine
    Given content a was in flight at crashes 1, 2, 3 and 4
    And content b was in flight at crashes 1, 2 and 3
    And content c was in flight at crashes 3 and 4
    When 0.3 s pass
    Then content a is quarantined
    And content b is sound
    And content c is sound

  Scenario: Two contents with the same crashes are told apart by the next one
    Given content a was in flight at crashes 1, 2 and 3
    And content b was in flight at crashes 1, 2 and 3
    When 0.3 s pass
    Then content a is suspect
    And content b is suspect
    When content a was in flight at crashes 4
    Then content a is quarantined
    And content b is sound

  Scenario: A wrong attribution is corrected by later crashes
    Given content b was in flight at crashes 1, 2 and 3
    When 0.3 s pass
    And content a was in flight at crashes 1, 2, 3 and 4
    Then content b is sound

  Scenario: Two contents that crash engines at the same time are both found
    Given content a was in flight at crashes 1, 2 and 3
    And content b was in flight at crashes 4, 5 and 6
    When 0.3 s pass
    Then content a is quarantined
    And content b is quarantined

  Scenario: A complete response clears a request, also at daemons that received its crashes before
    Given content a was in flight at crashes 1, 2 and 3
    And another daemon received all reports
    When 0.3 s pass
    And content a gets a complete response
    Then content a is sound
    When the other daemon receives all reports
    Then content a is sound there
    When this daemon receives the reports of the other
    Then content a is sound

  Scenario: A quarantined request is retried on an idle endpoint after ten minutes
    Given content a was in flight at crashes 1, 2 and 3
    When 599 s pass
    Then content a is quarantined
    When 2 s pass
    Then content a is suspect
    When content a was in flight at crashes 4
    Then content a is quarantined

  Scenario: Crashes are forgotten after twenty minutes
    Given content a was in flight at crashes 1, 2 and 3
    When 1201 s pass
    Then no content is tracked

  Scenario: Many endpoints that crash at once are not attributed to a request
    Given 5 endpoints crashed at once 3 times, each time one with content a in flight
    When 0.3 s pass
    Then content a is sound

  Scenario: A request whose copies crash several endpoints at the same moment is found
    Given content a was in flight at crashes 1, 2 and 3
    And content b was in flight at crashes 1
    When 0.3 s pass
    Then content a is quarantined

  Scenario: A flood of contents stays within limits and does not evict a blamed content
    Given content a was in flight at crashes 1, 2 and 3
    When 0.2 s pass
    And 5000 other contents were in flight at one crash each
    Then at most 1024 contents are tracked
    And their reports take at most 900 bytes, content a first
    When 0.3 s pass
    Then content a is quarantined

  Scenario: A suspect request is sent to an idle endpoint, which gets no other request for a second
    Given a daemon with 4 endpoints of which the first 2 have streams
    Then a suspect request may be sent to endpoints 3 and 4
    When a suspect request is sent to endpoint 3
    Then another request may be sent to endpoints 1, 2 and 4
    When the daemon has waited 1.1 seconds
    Then another request may be sent to endpoints 1, 2, 3 and 4

  Scenario: A suspect request is not sent to an idle endpoint that fails
    Given a daemon with 4 endpoints of which the first 2 have streams
    And endpoint 3 is avoided
    Then a suspect request may be sent to endpoints 4

  Scenario: Where every endpoint has streams a suspect request is not refused
    Given a daemon with 2 endpoints of which the first 2 have streams
    Then a suspect request may be sent to endpoints 1 and 2

  Scenario: Reports exchanged repeatedly do not make crashes appear more recent
    Given content a was in flight at crashes 1, 2 and 3
    When two daemons exchange reports every 0.4 seconds with 0.05 seconds of delay for 700 seconds
    Then content a is suspect
    And content a is suspect there

  Scenario: Reports survive encoding and decoding
    Then any reports are equal after encoding and decoding, ages to a millisecond

  Scenario: Daemons that receive the same reports in any order decide the same
    Then any crash reports in any order, duplicated and delayed, give the same decisions

  Scenario: A healthy request beside crashing ones is not refused
    Then in any series of crashes caused by at most two contents no other one is quarantined

  Scenario: A healthy request in a series of failures of many endpoints is not refused
    Then in any series of simultaneous crashes of 3 and more endpoints no content is quarantined

  Scenario: A crash of an engine that keeps its name counts once, however late it is noticed
    Given the content guard of a daemon whose engines keep their names
    When requests with one content find engine-1 crashed, 4 times 2.1 seconds apart
    Then the content is not refused
    When engine-1 responds and then crashes under the content, 2 times
    Then the content is refused with its remaining quarantine time

  Scenario: A suspect request is not sent again before it is known whether its endpoint has exited
    Guards against one more crash while the exit that proves the cause is still being found out.
    Given the crash guard of a daemon with a store
    When endpoints 1 and 2 crash with content a in flight
    And it is being found out whether endpoint 3 has exited
    Then a request with content a that was sent to endpoint 3 waits
    And a request with content a that was sent nowhere is suspect
    When endpoint 3 is found to be alive
    Then a request with content a that was sent to endpoint 3 is suspect

  Scenario: An endpoint counts as probed from an interrupted response until it is known to have exited
    Guards against a guard that waits for a detector which never says that it is probing.
    Given the crash guard of a daemon that probes endpoints itself
    When endpoints 1 and 2 crash with content a in flight
    And the response of endpoint 3 to a request with content a is interrupted
    Then a request with content a that was sent to endpoint 3 waits
    When the daemon has waited 0.01 seconds
    Then endpoint 3 is known to have exited and is no longer probed

  Scenario: The quarantine record is submitted to the store before the first refusal
    Guards against a lost quarantine when a daemon is replaced just after it refused a request.
    Given the crash guard of a daemon with a store
    When endpoints 1, 2 and 3 crash with content a in flight
    And the first request with content a is refused
    Then the store receives the record of content a

  Scenario: A daemon that only received crash reports writes to the store before it refuses
    Given the crash guard of a daemon with a store, which is not the first of the fleet
    When it receives a report that content a was in flight at crashes 1, 2 and 3
    And the first request with content a is refused
    Then the store receives the record of content a

  Scenario: The first daemon of the fleet stores quarantines known from reports
    The daemons that observed the crashes may be gone before they can store the record.
    Given the crash guard of a daemon with a store
    When it receives a report that content a was in flight at crashes 1, 2 and 3
    And the first request with content a is refused
    Then the store receives the record of content a

  Scenario: The first daemon of the fleet stores a reported quarantine also without a request
    Given the crash guard of a daemon with a store
    When it receives a report that content a was in flight at crashes 1, 2 and 3
    And the daemon has waited 0.3 seconds
    Then the store receives the record of content a

  Scenario: A request that crashes its endpoint the moment it is sent does not shift blame to others
    Guards against ignoring crashes within milliseconds after a send on a kept connection.
    Given the crash guard of a daemon with a store
    When endpoint 1 crashes while it runs contents a and b
    And endpoint 2 crashes while it runs contents a
    And endpoint 3 crashes while it runs contents b, and a was sent there at that moment
    And endpoint 4 crashes while it runs contents b, and a was sent there at that moment
    Then no request with content b is refused

  Scenario: A request that crashes every endpoint the moment it is sent is found
    Given the crash guard of a daemon with a store
    When 6 endpoints crash one after another, and content a was sent there at that moment
    Then a request with content a is refused

  Scenario: A content with a recent complete response is not refused after three crashes
    Guards against forgetting complete responses of contents without known crashes.
    Given content b gets complete responses all the time
    When every 0.1 s an endpoint crashes with content b in flight, 3 times
    And 0.3 s pass
    Then content b is suspect

  Scenario: A content with a recent complete response that now crashes its endpoints is found
    Given content b gets complete responses all the time
    When every 0.5 s an endpoint crashes with content b in flight, 6 times
    And 0.3 s pass
    Then content b is quarantined

  Scenario: A content that runs at most endpoints is not refused when a rack fails
    Given content b gets complete responses all the time
    And content b is in flight at 8 of 12 endpoints that crash at once
    When 0.3 s pass
    Then content b is sound

  Scenario: The empty record of a released content is not reported as damaged
    Given the crash guard of a daemon with a store
    And the store holds the empty record of a released content
    When the daemon has waited 2 seconds
    Then no record is logged as damaged

  Scenario: A content sent to many daemons at once is retried only by the first that saw a crash
    Given content a was in flight at crash 1 soon after it was sent
    And another daemon received all reports
    Then content a is undecided for the request that was sent to endpoint 1
    And content a is undecided there for the request that was sent to endpoint 2
    And content a is undecided there
    When 0.05 s pass
    Then content a is sound for the request that was sent to endpoint 1
    And content a is undecided there for the request that was sent to endpoint 2
    And content a is undecided there
    When 0.45 s pass
    Then content a is sound there

  Scenario: Of two requests whose endpoints crash in the same moment neither is retried at once
    # Both were retried before the report of the other crash arrived, and crashed two endpoints more.
    Given content a was in flight at crash 1 soon after it was sent
    When 0.02 s pass
    Then content a is undecided for the request that was sent to endpoint 1
    Given content a was in flight at crash 2 soon after it was sent
    When 0.05 s pass
    Then content a is undecided for the request that was sent to endpoint 1
    And content a is undecided for the request that was sent to endpoint 2

  Scenario: A content with a recent complete response is not held back after a crash under another request
    Given content a had a complete response before any crash
    And content a was in flight at crash 1 soon after it was sent
    Then content a is sound for the request that was sent to endpoint 2

  Scenario: A gateway daemon holds back a content that has just crashed an endpoint at another daemon
    Given the crash guard of a daemon with a store, which is not the first of the fleet
    When it receives a report that endpoint 1 crashed soon after content a was sent there
    Then a request with content a that was sent to endpoint 1 may be retried after 0.05 s
    And one that was sent to endpoint 2 waits for half a second at most

Feature: Ends of endpoints are charged to the fewest contents that explain them

  An endpoint that ends takes all its requests with it. Scenarios name ends by number and contents by
  letter; no network, the time is passed in. The pattern is that of a caller that comes again every
  half second with a request which ends its engine, beside dozens of healthy streams.

  Scenario: Three ends are proof, after other daemons were heard
    Given content a was at ends 1, 2 and 3
    Then content a is undecided
    When 0.3 s pass
    Then content a is quarantined

  Scenario: Two ends make a request suspect, one end does not
    Given content a was at ends 1 and 2
    And content b was at ends 2
    Then content a is suspect
    And content b is sound

  Scenario: Who was beside an ending request is cleared by its quarantine
    Given content a was at ends 1, 2, 3 and 4
    And content b was at ends 1, 2 and 3
    And content c was at ends 3 and 4
    When 0.3 s pass
    Then content a is quarantined
    And content b is sound
    And content c is sound

  Scenario: Two that were at the same ends are told apart by the next one
    Given content a was at ends 1, 2 and 3
    And content b was at ends 1, 2 and 3
    When 0.3 s pass
    Then content a is suspect
    And content b is suspect
    When content a was at ends 4
    Then content a is quarantined
    And content b is sound

  Scenario: What was charged too early is put right by what comes later
    Given content b was at ends 1, 2 and 3
    When 0.3 s pass
    And content a was at ends 1, 2, 3 and 4
    Then content b is sound

  Scenario: Two that end engines at the same time are both found
    Given content a was at ends 1, 2 and 3
    And content b was at ends 4, 5 and 6
    When 0.3 s pass
    Then content a is quarantined
    And content b is quarantined

  Scenario: A whole answer clears a request, also with others that heard of its ends before
    Given content a was at ends 1, 2 and 3
    And another daemon heard all
    When 0.3 s pass
    And content a is answered whole
    Then content a is sound
    When the other daemon hears all
    Then content a is sound there
    When this daemon hears the other
    Then content a is sound

  Scenario: A request that is quarantined is tried again alone after ten minutes
    Given content a was at ends 1, 2 and 3
    When 599 s pass
    Then content a is quarantined
    When 2 s pass
    Then content a is suspect
    When content a was at ends 4
    Then content a is quarantined

  Scenario: What was seen is forgotten after twenty minutes
    Given content a was at ends 1, 2 and 3
    When 1201 s pass
    Then nothing is known

  Scenario: Many endpoints that end in one moment are no request's doing
    Given 5 endpoints ended in one moment 3 times, each time one under content a
    When 0.3 s pass
    Then content a is sound

  Scenario: A request whose copies end several endpoints in one moment is found
    Given content a was at ends 1, 2 and 3
    And content b was at ends 1
    When 0.3 s pass
    Then content a is quarantined

  Scenario: A flood of contents is kept within bounds and does not push out what is proven
    Given content a was at ends 1, 2 and 3
    When 0.2 s pass
    And 5000 other contents were at one end each
    Then at most 256 contents are known
    And at most 24 are told, content a first
    When 0.3 s pass
    Then content a is quarantined

  Scenario: A suspect request is sent alone, and nothing beside it for a second
    Given a daemon before 4 endpoints of which the first 2 have streams
    Then a suspect request may be sent to endpoints 3 and 4
    When a suspect request is sent to endpoint 3
    Then another request may be sent to endpoints 1, 2 and 4
    When the daemon has waited 1.1 seconds
    Then another request may be sent to endpoints 1, 2, 3 and 4

  Scenario: A suspect request is not sent to an idle endpoint that fails
    Given a daemon before 4 endpoints of which the first 2 have streams
    And endpoint 3 is avoided
    Then a suspect request may be sent to endpoints 4

  Scenario: Where every endpoint has streams a suspect request is not refused
    Given a daemon before 2 endpoints of which the first 2 have streams
    Then a suspect request may be sent to endpoints 1 and 2

  Scenario: Words told to and fro for an hour make nothing younger
    Given content a was at ends 1, 2 and 3
    When two daemons tell each other every 0.4 seconds with 0.05 on the way for 700 seconds
    Then content a is suspect
    And content a is suspect there

  Scenario: What daemons tell each other survives the wire
    Then any words are the same after encoding, ages to a millisecond

  Scenario: Daemons that heard the same in any order decide the same
    Then any ends heard in any order, doubled and late, give the same decisions

  Scenario: A healthy request beside ending ones is not refused
    Then in any series of ends caused by at most two contents no other one is quarantined

  Scenario: A healthy request in a series of failures of many endpoints is not refused
    Then in any series of ends of 3 and more endpoints at once no content is quarantined

  Scenario: One end of an engine that keeps its name counts once, however late it is noticed
    Given a guard of a daemon whose engines keep their names
    When requests with one content find engine-1 ended, 4 times 2.1 seconds apart
    Then the content is not refused
    When engine-1 answers and ends under the content, 2 times
    Then the content is refused with the time that is left

  Scenario: What is quarantined is on its way to the store before anybody is refused for it
    A daemon refused with 600 s and was replaced 10 ms later, before its next review: the store held
    nothing, and the new daemons sent the request on.
    Given a guard of a daemon with a store
    When endpoints 1, 2 and 3 end under content a
    And the first request with content a is refused there
    Then the store is told of content a

  Scenario: A daemon that only heard of ends tells the store before it refuses
    Given a guard of a daemon with a store, which is not the first of the fleet
    When it hears that content a was at ends 1, 2 and 3
    And the first request with content a is refused there
    Then the store is told of content a

  Scenario: What a daemon only heard of is kept by the first of the fleet
    Those who saw the ends may be gone before they can keep them.
    Given a guard of a daemon with a store
    When it hears that content a was at ends 1, 2 and 3
    And the first request with content a is refused there
    Then the store is told of content a

  Scenario: The first of the fleet keeps what it only heard of also without a request
    Given a guard of a daemon with a store
    When it hears that content a was at ends 1, 2 and 3
    And the daemon has waited 0.3 seconds
    Then the store is told of content a

  Scenario: A request that ends its endpoint the moment it is sent does not put the blame on others
    What was seen: content b, which callers share, was told to come back in 600 s. Logs: content a was
    sent to four endpoints and b to three of them; two broke within 4 ms after a was sent on a kept
    connection. Those two were not held against a, so b had three ends and a had two.
    Given a guard of a daemon with a store
    When endpoint 1 ends under contents a and b
    And endpoint 2 ends under contents a
    And endpoint 3 ends under contents b, and a was sent there in that moment
    And endpoint 4 ends under contents b, and a was sent there in that moment
    Then no request with content b is refused

  Scenario: A request that ends every endpoint the moment it is sent is found
    Given a guard of a daemon with a store
    When 6 endpoints end one after the other, and content a was sent there in that moment
    Then a request with content a is refused

  Scenario: A content that was answered a moment ago is not refused for three ends
    Callers share it, so it is at nearly every end. In the same run it was answered whole 0.1 s before
    the first end, and nobody remembered: only contents with known ends were cleared.
    Given content b is answered whole all the time
    When each 0.1 s an endpoint ends under content b, 3 times
    And 0.3 s pass
    Then content b is suspect

  Scenario: A content that was answered a moment ago and now ends its endpoints is found
    Given content b is answered whole all the time
    When each 0.5 s an endpoint ends under content b, 6 times
    And 0.3 s pass
    Then content b is quarantined

  Scenario: A content that runs at most endpoints is not refused when a rack fails
    Given content b is answered whole all the time
    And content b is at 8 of 12 endpoints that end in one moment
    When 0.3 s pass
    Then content b is sound

  Scenario: The record of a released content is no damaged one
    Logs of a soak: "quarantine not kept", damaged, of a content that had been released before.
    Given a guard of a daemon with a store
    And the store holds the empty record of a released content
    When the daemon has waited 2 seconds
    Then no record is called damaged

  Scenario: A content that came to many daemons in one moment is sent again by the first that saw an end
    Given content a was at end 1 soon after it was sent
    And another daemon heard all
    Then content a is sound for the request that was at end 1
    And content a is undecided there for the request that was at end 2
    And content a is undecided there
    When 0.5 s pass
    Then content a is sound there

  Scenario: What was answered whole a moment ago is not held back for an end under another request
    Given content a was answered whole before any end
    And content a was at end 1 soon after it was sent
    Then content a is sound for the request that was at end 2

  Scenario: A daemon of the gateway holds back a content that has just ended an endpoint elsewhere
    Given a guard of a daemon with a store, which is not the first of the fleet
    When it hears that endpoint 1 ended soon after content a was sent there
    Then a request with content a that was sent to endpoint 1 may be sent again at once
    And one that was sent to endpoint 2 waits for half a second at most

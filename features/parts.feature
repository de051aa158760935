Feature: Endpoint crashes are attributed to parts of prompts that requests share

  Every request has a content of its own and a prompt of several parts; only some part is shared. Parts
  have letters. No network is used and time is simulated.

  Scenario: Three crashes under requests that share a part only cause a quarantine of the part
    # Each request was known by its whole content, so each series of crashes began anew.
    Given requests with parts p and q were in flight at crashes 1 and 2
    And requests with parts p and r were in flight at crashes 3
    When 0.3 s pass for the parts
    Then a request with parts p and s is quarantined
    And a request with parts q and r is sound

  Scenario: A request with a suspected part runs alone, one with another part does not
    Given requests with parts p and q were in flight at crashes 1
    And requests with parts p and r were in flight at crashes 2
    When 1 s passes for the parts
    Then a request with parts p and s is suspect
    And a request with parts r and s is sound

  Scenario: Parts that always came together are refused together only
    # Sound requests were refused for a part that had only come beside the one that crashes engines.
    Given requests with parts p and q were in flight at crashes 1, 2 and 3
    When 0.3 s pass for the parts
    Then a request with parts p and q is quarantined
    And a request with parts p and s is suspect
    And a request with parts q and s is suspect
    When a request with parts q and s gets a complete response
    Then a request with parts p and t is quarantined
    And a request with parts q and t is sound

  Scenario: A crash under one of two parts that always came together tells them apart
    Given requests with parts p and q were in flight at crashes 1, 2 and 3
    And requests with parts p and r were in flight at crashes 4
    When 0.3 s pass for the parts
    Then a request with parts p and s is quarantined
    And a request with parts q and s is sound

  Scenario: A part that all requests share is not refused for two that crash engines
    # Its crashes are those of both, more than either has.
    Given 60 requests with parts f and x got complete responses
    And requests with parts f and p were in flight at crashes 1, 2 and 3
    And requests with parts f and q were in flight at crashes 4, 5 and 6
    When 0.3 s pass for the parts
    Then a request with parts f and p is quarantined
    And a request with parts f and q is quarantined
    And a request with parts f and s is sound

  Scenario: A part that all requests share is not refused for four parts that are not proven yet
    Given 60 requests with parts f and x got complete responses
    And requests with parts f and p were in flight at crashes 1 and 2
    And requests with parts f and q were in flight at crashes 3 and 4
    And requests with parts f and r were in flight at crashes 5 and 6
    And requests with parts f and s were in flight at crashes 7 and 8
    When 0.3 s pass for the parts
    Then a request with parts f and t is not refused

  Scenario: A part that all requests share and that begins to crash engines is found
    # New engines may crash on a part that the old ones answered for hours.
    Given 60 requests with parts f and x got complete responses
    When every 0.6 s a request with part f is in flight at a crash, 6 times
    And 0.3 s pass for the parts
    Then a request with parts f and t is quarantined

  Scenario: A part that some requests share and that begins to crash engines is found after six crashes
    Given 100 requests with parts x and y got complete responses
    And 1 request with parts p and x got complete responses
    When every 0.2 s a request with part p is in flight at a crash, 6 times
    And 0.3 s pass for the parts
    Then a request with parts p and t is quarantined

  Scenario: Sound parts at some crashes of a part that was answered before do not explain them
    # They took the crashes away from the part that caused them all, and it was never refused.
    Given 100 requests with parts x and y got complete responses
    And 3 requests with parts p and x got complete responses
    And 1 request with parts r and x got complete responses
    When every 0.1 s a request with part p is in flight at a crash, 10 times
    And requests with parts p and r were in flight at crashes 101, 102, 103, 104, 105 and 106
    And 0.3 s pass for the parts
    Then a request with parts p and t is quarantined
    And a request with parts r and t is not refused

  Scenario: A part of few requests is found by the number of its crashes, without a silence
    # A part of two in a hundred requests crashed endpoints for 2.4 s more.
    Given 100 requests with parts x and y got complete responses
    And 3 requests with parts p and x got complete responses
    When every 0.2 s a request with part p is in flight at a crash, 8 times
    And 0.3 s pass for the parts
    Then a request with parts p and t is quarantined

  Scenario: A sound part that is at a quarter of many crashes by chance is not refused at once
    Given 100 requests with parts x and y got complete responses
    And 1 request with parts r and x got complete responses
    When 24 crashes come 0.08 s apart, each fourth under a request with part r
    And 0.3 s pass for the parts
    Then a request with parts r and t is not refused

  Scenario: Requests that come again do not hide the part that they share
    # The contents of such requests were blamed first, each for three of the crashes of the part.
    Given 100 requests with parts x and y got complete responses
    And 1 request with parts p and x got complete responses
    When every 0.1 s a request with part p is in flight at a crash, 5 times
    And one request with parts p and r, repeated, was in flight at crashes 101, 102 and 103
    And one request with parts p and s, repeated, was in flight at crashes 104, 105 and 106
    And 0.3 s pass for the parts
    Then a request with parts p and t is quarantined

  Scenario: Parts that crash endpoints many at a time are found though they were answered before
    # Crashes of the same moment were taken for a rack, so at 16 requests a second none counted.
    Given 100 requests with parts x and y got complete responses
    And 1 request with parts p and x got complete responses
    When 3 endpoints crash at once soon after requests with part p, 4 times 0.2 s apart
    And 0.3 s pass for the parts
    Then a request with parts p and t is quarantined

  Scenario: Of many crashes of a part the first and the last ones are kept, in whatever order they are heard
    Given 30 crashes of a part, 0.1 s apart, that a daemon hears of in any order
    Then it keeps the first 3 and the last 9 of them

  Scenario: A response that goes on long after its beginning speaks for a part that many requests share
    Given 60 requests with parts f and x got complete responses
    When every 0.4 s a request with part f is in flight at a crash, 6 times
    And a response on parts f and s began after them and goes on
    And every 0.4 s a request with part f is in flight at a crash, 1 time
    And 0.3 s pass for the parts
    Then a request with parts f and t is not refused

  Scenario: A response that began before a crash does not clear it
    # The part may have begun to crash engines meanwhile.
    Given requests with parts p and q were in flight at crashes 1 and 2
    When a response on parts p and r that began 0.5 s before these crashes is complete
    Then a request with parts p and s is suspect

  Scenario: A guilty whole content beside a guilty part is found as well
    Given requests with parts p and q were in flight at crashes 1 and 2
    And requests with parts p and x were in flight at crashes 3
    And one request with parts r and s, repeated, was in flight at crashes 4, 5 and 6
    When 0.3 s pass for the parts
    Then a request with parts p and t is quarantined
    And the repeated request is quarantined

  Scenario: Crashes under one caller's requests do not refuse another caller's
    # Callers write the parts of their prompts themselves.
    Given requests of ost with parts p and q were in flight at crashes 1, 2 and 3
    When 0.3 s pass for the parts
    Then a request of ost with parts p and q is quarantined
    And a request of vast with parts p and q is suspect
    When requests of vast with parts p and q were in flight at crashes 4
    And 0.3 s pass for the parts
    Then a request of vast with parts p and q is quarantined

  Scenario: No part is refused when racks fail, least of all one that all requests share
    Given 60 requests with parts f and x got complete responses
    When 8 endpoints with requests that share part f crash at once, 5 times 1.5 s apart
    And 0.3 s pass for the parts
    Then no part is quarantined

  Scenario: News is told although many parts are quarantined
    # What is quarantined filled every message, and no daemon heard of other crashes.
    Given 12 parts that crash engines, each at 12 crashes
    When 10 s pass for the parts
    And a request with parts x and y is at a crash
    Then the next report tells of parts x and y
    And the next 12 reports tell of all parts that are quarantined
    And no report takes more than 900 bytes

  Scenario: After its quarantine a part is tried by one daemon before the others
    # All daemons tried it in the same moment, and each trial crashed an endpoint.
    Given the quarantine of a daemon that tries 20 s later than others
    And requests with parts p and q were in flight at crashes 1, 2 and 3
    When 601 s pass for the parts
    Then a request with parts p and q is quarantined
    When 20 s pass for the parts
    Then a request with parts p and q is suspect

  Scenario: Daemons that hear of the same crashes in any order agree on every request
    Then any requests at any crashes, reported in any order, are judged alike

  Scenario: A quarantine record that an earlier release stored is read
    Then a stored record with and without the callers of its crashes is decoded

  Scenario: Of very many parts the same ones are taken for all requests
    Then two prompts of 500 parts that share 400 of them have known parts in common

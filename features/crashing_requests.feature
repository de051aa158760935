Feature: A request that ends the engines that run it is not sent on for ever

  What was seen: two requests went on to engines 16 and 18 times more after three engines had ended
  under each; 29 and 36 of 16 engines' incarnations ended in 76 seconds, and the streams of other
  callers beside them broke two to four times each.
  How it came about: each attempt was sent to as many engines as its route allows; its caller came
  again after the failure, at another daemon, with a new id; that daemon sent it on as new.
  Cause: an endpoint's end was charged to the endpoint alone. Nothing was known of the request
  beyond its attempt, nor told to other daemons, so no series of ends could stop.
  Proof: the log names the content of a request and who was at an endpoint when it ended. The same
  content recurs from one end to the next; no other content does more than its attempts explain.

  Scenario: An endpoint that ends is logged with the requests that were there
    Given a gateway before two endpoints
    And its log is kept
    When a request that ends its endpoint comes to daemon 1
    Then the log names its content at each of 2 endpoints that ended

  Scenario: An answer that breaks off at an endpoint that lives is no end
    Given a gateway before two endpoints
    And its log is kept
    And all requests meet "truncated"
    When a caller sends a "check"
    Then the answer is 502 and ""
    And the log names no endpoint that ended

  Scenario: A request that ended three endpoints is refused as not run at every daemon
    Given 3 gateways before 12 endpoints
    When a request that ends its endpoint comes 6 times, each time to the next daemon
    Then at most 6 endpoints have ended
    And every daemon refuses it as not run and says when to come back
    And another request to the same path is served by every daemon

  Scenario: A call that may run once is refused too, and has not run
    Given 3 gateways before 12 endpoints
    When a "hold" that ends its endpoint comes until it is refused
    Then at most 6 endpoints have ended
    And every daemon refuses it as not run and says when to come back

  Scenario: Daemons that all start anew know from the store what is quarantined
    Given 3 gateways before 12 endpoints
    When a request that ends its endpoint comes until it is refused
    And all daemons are replaced by new ones
    Then every daemon refuses it as not run and says when to come back

  Scenario: A daemon that joins learns from the others what is quarantined
    Given 3 gateways before 12 endpoints
    When a request that ends its endpoint comes until it is refused
    And a daemon joins while the store is away
    Then every daemon refuses it as not run and says when to come back

  Scenario: What is quarantined while the store is away is kept when it is back
    Given 3 gateways before 12 endpoints
    And the store is away
    When a request that ends its endpoint comes until it is refused
    And the store is back
    Then the store holds what is quarantined

  Scenario: A prompt that ends engines is refused by the daemons of the other interface too
    Given a site of 2 daemons and 8 engines that some prompt ends
    When that prompt comes 5 times, each time to the next daemon
    Then at most 6 engines have ended
    When that prompt comes once more
    Then it is refused with content_quarantined, a remedy and ran "no"
    And a good request still succeeds

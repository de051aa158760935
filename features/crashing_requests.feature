Feature: A request that crashes the engines that run it is not retried forever

  Guards against a request that crashes one engine after another, because its caller retries it at
  other daemons with a new attempt id.

  Scenario: An endpoint crash is logged with the requests that were in flight
    Given a gateway in front of two endpoints
    And its log is kept
    When a request that crashes its endpoint arrives at daemon 1
    Then the log records its content for each of 2 endpoints that crashed

  Scenario: An endpoint crash is logged with the parts of the prompts that were in flight
    # Requests that crash endpoints may share a part only; their contents did not show it.
    Given a gateway in front of two endpoints
    And its log is kept
    When a request whose prompt has two parts and that crashes its endpoint arrives at daemon 1
    Then the log records both parts for each of 2 endpoints that crashed

  Scenario: A truncated response from a live endpoint is not a crash
    Given a gateway in front of two endpoints
    And its log is kept
    And the endpoints use the behaviour "truncated" for all requests
    When a caller sends a "check"
    Then the response is 502 with body ""
    And the log records no endpoint that crashed

  Scenario: A request that crashed three endpoints is refused as not run at every daemon
    Given 3 gateways before 12 endpoints
    When a request that crashes its endpoint arrives 6 times, each time at the next daemon
    Then at most 6 endpoints have crashed
    And every daemon refuses it as not run and says when to retry
    And another request to the same path is served by every daemon

  Scenario: A call that may run only once is also refused, and has not run
    Given 3 gateways before 12 endpoints
    When a "hold" that crashes its endpoint is repeated until it is refused
    Then at most 6 endpoints have crashed
    And every daemon refuses it as not run and says when to retry

  Scenario: New daemons load the quarantine from the store
    Given 3 gateways before 12 endpoints
    When a request that crashes its endpoint is repeated until it is refused
    And all daemons are replaced by new ones
    Then every daemon refuses it as not run and says when to retry

  Scenario: A joining daemon learns the quarantine from its peers
    Given 3 gateways before 12 endpoints
    When a request that crashes its endpoint is repeated until it is refused
    And a daemon joins while the store is unavailable
    Then every daemon refuses it as not run and says when to retry

  Scenario: Content quarantined during a store outage is stored after it
    Given 3 gateways before 12 endpoints
    And the store is unavailable
    When a request that crashes its endpoint is repeated until it is refused
    And the store is available again
    Then the store holds the quarantined content

  Scenario: Requests that are all different but share a part which crashes engines are refused
    # Each request was known by its whole content only, so no series of crashes was ever attributed.
    Given 3 gateways before 12 endpoints
    And every daemon has served a request with the other part of those
    When 8 requests that share a part which crashes endpoints arrive, each at the next daemon
    Then at most 5 endpoints have crashed
    And every daemon refuses further requests with that part as not run and says when to retry
    And every daemon serves requests with the other parts of those

  Scenario: Parts that always came together are told apart by one request with one of them
    # Sound requests were refused for a part that had only come beside the one that crashes engines.
    Given 3 gateways before 12 endpoints
    When requests that share a part which crashes endpoints arrive until one is refused
    Then at most 6 endpoints have crashed
    And every daemon serves requests with the other parts of those
    And every daemon refuses further requests with that part as not run and says when to retry

  Scenario: A prompt that crashes engines is also refused by the daemons of the other interface
    Given a site of 2 daemons and 8 engines that crash on some prompt
    When that prompt is sent 5 times, each time to the next daemon
    Then at most 6 engines have crashed
    When that prompt is sent once more
    Then it is refused with content_quarantined, a remedy and ran "no"
    And a good request still succeeds

  Scenario: Prompts that differ but share a prefix which crashes engines are refused by the other interface
    # Each prompt was known by its whole content only there as well.
    Given a site of 2 daemons and 12 engines that crash on some prompt
    When 6 prompts that begin alike and hold that prompt are sent, each to the next daemon
    Then at most 6 engines have crashed
    When one more prompt that begins so is sent
    Then it is refused with content_quarantined, a remedy and ran "no"
    And a good request still succeeds

  Scenario: Requests to the other interface succeed although most engines have crashed unnoticed
    # Each refused connection took one of a request's four attempts, and sound engines were not asked.
    Given a site of 1 daemon and 8 engines that crash on some prompt
    When 7 engines are lost at once
    Then 10 good requests in a row succeed

  Scenario: A daemon of the other interface that loses all endpoints at once charges no content
    Guards against a daemon that is cut off from all endpoints telling the others that contents crash them.

    Given a site of 2 daemons and 4 engines that crash on some prompt
    When all endpoints are lost at once while a caller streams
    Then the caller's answer has failed
    And no daemon holds a content responsible

Feature: Callers and endpoints that read slowly

  Guards against a daemon whose memory grows with what others do not read, and against ready answers
  that are lost because their caller reads late.

  Scenario: Eight callers that read nothing share what there is room for
    Given a budget of 16 MB
    When eight responses are read as far as the budget allows
    Then each of them is paused with the same backlog, 0.7 MB at least
    And what is buffered leaves room for request bodies

  Scenario: One caller that reads nothing does not use up the budget
    Given a budget of 16 MB
    When one response is read as far as the budget allows
    Then it is paused with a backlog of 4 MB at least
    And a response that begins now is read quickly

  Scenario: The largest backlog is paused first and the smallest resumes first
    Given a budget of 16 MB
    When responses have backlogs of 32 KB, 1 MB and 4 MB
    Then only the one with 4 MB is paused
    When another response fills the rest of the budget
    Then only the one with 32 KB is not paused
    When the other response has been taken
    Then the one with 1 MB resumes and the one with 4 MB does not
    When 3 MB of the one with 4 MB have been taken
    Then it resumes, and after a smaller one

  Scenario: A paused response is read a little, so that its endpoint does not cut it off
    Given a budget of 16 MB
    When eight responses are read as far as the budget allows
    Then each of them may read 64 KB at least for each of 8 seconds

  Scenario: Large request bodies are refused before small ones
    Given a budget of 16 MB
    When bodies of 4 MB are reserved until one is refused
    Then 3 of them found room
    And bodies of 1 KB find room until the budget is used up

  Scenario Outline: The default budget of a host with <memory> MB is <budget> MB
    Then the settings of a host with <memory> MB give a budget of <budget> MB

    Examples:
      | memory | budget |
      | 64     | 8      |
      | 200    | 16.7   |
      | 552    | 46     |

  Scenario: A budget that is set is used, and one that is too small is refused
    Then the settings take a budget of 5242880 bytes as it is
    And the settings refuse a budget of 1000 bytes and name the least one

  Scenario: The bytes buffered stay within the budget whatever happens in whatever order
    Then no order of reads, deliveries, bodies and ends exceeds the budget by more than a read each

  Scenario: Callers that read nothing get their whole answers once they read
    Given a gateway in front of two endpoints with a budget of 4 MB
    And its log is kept
    And the endpoints answer with 9 MB
    When 6 callers send a "hold" and read nothing
    Then 6 responses get paused
    And the metrics tell what is buffered
    And the log tells each pause once
    And the bytes buffered never exceed the budget by more than a read for each
    When the callers read
    Then each has its whole answer of 9 MB with its length
    And nothing stays buffered
    And endpoints received 6 requests

  Scenario: A caller that reads slowly gets an answer that may be repeated from one endpoint
    Given a gateway in front of two endpoints with a budget of 0.25 MB
    And the endpoints answer with 9 MB
    When 1 callers send a "check" and read nothing
    Then 1 responses get paused
    When longer than the stall timeout passes
    And the callers read
    Then each has its whole answer of 9 MB with its length
    And endpoints received 1 requests

  Scenario: A stream whose caller reads nothing for a while is not taken for a stalled one
    Given a gateway in front of two endpoints with a budget of 0.25 MB
    And the endpoints stream 9 MB of events
    When 1 callers send a "text" and read nothing
    Then 1 responses get paused
    When longer than the stall timeout passes
    And the callers read
    Then each has all 9 MB of events
    And endpoints received 1 requests

  Scenario: A short answer is forwarded while it arrives if there is no room to keep it whole
    Given a gateway in front of two endpoints with a budget of 0.25 MB
    And the endpoints answer with 9 MB
    When 2 callers send a "hold" and read nothing
    Then 2 responses get paused
    When the budget has no room for more
    And the endpoints answer with 0.2 MB
    And a caller sends a "check"
    Then the response is 200 with 0.2 MB

  Scenario: An answer that comes through another daemon waits for its caller at both
    Given 3 gateways before 4 healthy endpoints
    And each has a budget of 2 MB
    And daemon 1 is cut off from all endpoints, new connections are refused
    And the endpoints answer with 14 MB
    When 1 callers send a "hold" and read nothing
    Then two daemons pause it
    When the callers read
    Then each has its whole answer of 14 MB with its length
    And endpoints received 1 requests

  Scenario: A caller that leaves while its response is paused frees the endpoint and the budget
    Given a gateway in front of two endpoints with a budget of 2 MB
    And the endpoints answer with 9 MB
    When 3 callers send a "hold" and read nothing
    Then 3 responses get paused
    When the callers leave
    Then nothing stays buffered
    And the endpoints have no open connection of a caller's request

  Scenario: A caller that does not read is cut off at its deadline
    Given a gateway in front of two endpoints with a budget of 2 MB
    And the endpoints answer with 9 MB
    When 1 callers send a "hold" with 1500 ms left and read nothing
    Then 1 responses get paused
    And nothing stays buffered
    And the callers have incomplete answers

  Scenario: A whole answer waits for its caller beyond the limit on idle connections
    Given a gateway in front of two endpoints with a budget of 32 MB
    And idle connections are closed after 0.2 s
    And the endpoints answer with 5 MB
    When 1 callers send a "hold" and read nothing
    Then the endpoints have sent 1 whole answers
    When longer than the stall timeout passes
    And the callers read
    Then each has its whole answer of 5 MB with its length

  Scenario: A whole answer that its caller never reads is given up after its deadline
    Given a gateway in front of two endpoints with a budget of 32 MB
    And its log is kept
    And the endpoints answer with 5 MB
    When 1 callers send a "hold" with 1500 ms left and read nothing
    Then the endpoints have sent 1 whole answers
    And nothing stays buffered
    And the callers have incomplete answers
    And the log tells that 1 responses were not read

  Scenario: An endpoint that cuts off a response that its caller does not read is not blamed
    Given a gateway in front of two endpoints with a budget of 2 MB
    And the endpoints answer with 40 MB and give up after 0.4 s
    When 1 callers send a "check" and read nothing
    Then 1 responses get paused
    When the endpoint has given up
    And the callers read
    Then the callers have incomplete answers
    And endpoints received 1 requests
    And no endpoint is blamed

  Scenario Outline: A long answer <framing> that breaks off is visibly incomplete and is not repeated
    Given a gateway in front of two endpoints
    And the endpoints break off an answer <framing> after 1 MB
    When a caller sends a "<kind>"
    Then the response is incomplete
    And endpoints received 1 requests

    Examples:
      | framing       | kind  |
      | with a length | check |
      | with a length | hold  |
      | in chunks     | check |

  Scenario: An answer that breaks off before it is long is fetched again
    Given a gateway in front of two endpoints
    And the next endpoint breaks off an answer with a length after 0.1 MB
    When a caller sends a "check"
    Then the response is 200 with body "endpoint name"
    And endpoints received 2 requests

  Scenario: A long failure of an endpoint is repeated where that is allowed
    Given a gateway in front of two endpoints
    And the next endpoint fails with 1 MB
    When a caller sends a "check"
    Then the response is 200 with body "endpoint name"
    And endpoints received 2 requests

  Scenario: A long failure reaches a caller whose request may not be repeated
    Given a gateway in front of two endpoints
    And the next endpoint fails with 1 MB
    When a caller sends a "hold"
    Then the response is 500 with 1 MB
    And endpoints received 1 requests

  Scenario: A response to HEAD stays without a body
    Given a gateway in front of two endpoints
    And the endpoints use the behaviour "headers alone" for all requests
    When a caller asks for the headers alone
    Then it gets them and no body

  Scenario: Further requests on a connection wait until the first response was taken
    Given a gateway in front of two endpoints with a budget of 2 MB
    And the endpoints answer with 9 MB
    When a caller sends 2 requests at once and reads nothing
    Then 1 responses get paused
    And endpoints received 1 requests
    When the caller reads 2 answers
    Then both are whole
    And endpoints received 2 requests

  Scenario: A caller that goes on sending while its response is paused is not read without end
    Given a gateway in front of two endpoints with a budget of 2 MB
    And the endpoints answer with 9 MB
    When a caller sends 1 requests at once and reads nothing
    And it sends 8 MB of further requests
    Then the daemon has read 0.2 MB of them at most
    When the caller leaves
    Then nothing stays buffered

  Scenario: A planned stop delivers a paused response whose caller reads in time
    Given a gateway in front of two endpoints with a budget of 2 MB
    And the endpoints answer with 9 MB
    When 1 callers send a "hold" and read nothing
    Then 1 responses get paused
    When its planned stop begins
    And the callers read
    Then each has its whole answer of 9 MB with its length
    And the daemon has stopped

  Scenario: A planned stop breaks off a paused response that nobody reads
    Given a gateway in front of two endpoints with a budget of 2 MB
    And the endpoints answer with 9 MB
    When 1 callers send a "hold" and read nothing
    Then 1 responses get paused
    When its planned stop begins
    Then the daemon has stopped
    And the callers have incomplete answers

  Scenario: A body of 4 MB reaches an endpoint that reads nothing of it for a while
    Given a gateway in front of an endpoint that reads bodies after 1.5 s
    When a caller sends a body of 4 MB that may be repeated
    Then the response is 200 with body "4194304"
    And the endpoint has opened 1 connections

  Scenario: Many bodies for endpoints that read slowly are refused once the budget is used up
    Given a gateway in front of an endpoint that reads bodies when told
    And its budget is 16 MB
    When 6 callers send bodies of 4 MB
    Then 3 of them are refused as not run, to come back later
    And the bytes buffered never exceed the budget by more than a read for each
    When the endpoint reads
    Then 3 of them are served
    And nothing stays buffered

  Scenario: A body without a declared length is refused once it finds no room
    Given a gateway in front of two endpoints with a budget of 1 MB
    When a caller sends 4 MB in chunks
    Then it is refused as not run, to come back later
    And nothing stays buffered
    And its connection serves the next request
    And endpoints received 1 requests

  Scenario: A caller that waits to be asked for its body is refused at once
    Given a gateway in front of two endpoints with a budget of 1 MB
    When a caller asks whether it may send 4 MB
    Then it is refused as not run, to come back later
    And nothing stays buffered
    And endpoints received 0 requests

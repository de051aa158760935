Feature: Endpoints say in their responses that they leave

  # Guards against requests that go on to a leaving endpoint because the list is behind.
  Scenario: An endpoint that says that it leaves gets no further request, whatever the list says
    Given 3 gateways in front of two endpoints
    And the first endpoint says that it leaves while the list shows it ready
    When a daemon has forwarded such a response
    Then every daemon eventually knows one endpoint
    When all daemons have read the list again
    And each daemon serves 6 requests
    Then the first endpoint received no further request

  # Guards against reading what endpoints say in some responses only.
  Scenario Outline: It may say so in any response
    Given a gateway in front of two endpoints
    And the first endpoint says that it leaves in a "<response>"
    When callers have sent requests to it
    Then every daemon eventually knows one endpoint

    Examples:
      | response       |
      | failure        |
      | rejection      |
      | stream         |

  Scenario: It may say so in the response to a memory order
    Given a daemon that knows 2 endpoints
    When the response to an order at the address of the first says that it leaves
    Then the daemon uses 1 endpoint
    When the response to an order at the address of the first says nothing
    Then the daemon uses 1 endpoint

  Scenario: A peer passes on what an endpoint said, and nobody repeats it
    Given a daemon that knows 2 endpoints
    When a peer tells that the first said 0.5 s ago that it leaves
    Then the daemon uses 1 endpoint
    And it tells its peers nothing of the endpoints
    When the list, read later, still shows both ready
    Then the daemon uses 1 endpoint

  # Guards against an endpoint that stays unused after it has stopped draining or started again.
  Scenario: The list wins once it has shown a draining endpoint ready for a while
    Given a daemon that knows 2 endpoints
    And the first said that it leaves
    When the list shows the first draining and then ready again
    Then the daemon uses 1 endpoint
    And the daemon uses 2 endpoints 10 s later

  # Guards against a list that is read from behind: ready, draining and ready again within 10 s.
  Scenario: A list that goes back and forth does not win
    Given a daemon that knows 2 endpoints
    And the first said that it leaves
    When the list shows the first draining and then ready again
    And the list shows the first draining and then ready again 8 s later
    Then the daemon uses 1 endpoint 3 s later
    And the daemon uses 2 endpoints 7 s later

  Scenario: An endpoint that starts again under its name is used at once
    Given a daemon that knows 2 endpoints
    And the first said that it leaves
    When the list shows a new incarnation of the first
    Then the daemon uses 2 endpoints

  Scenario: An endpoint that takes it back in a later response is used again
    Given a daemon that knows 2 endpoints
    And the first said that it leaves
    When a response to a request sent before that says nothing
    Then the daemon uses 1 endpoint
    When a response to a request sent after that says nothing
    Then the daemon uses 2 endpoints

  # Guards against using it again because the store lost its entry for a while.
  Scenario: An entry that is lost and comes back is the same endpoint
    Given a daemon that knows 2 endpoints
    And the first said that it leaves
    When the list misses the first for 5 s and then shows it ready
    Then the daemon uses 1 endpoint
    When the list misses the first for 90 s and then shows it ready
    Then the daemon uses 2 endpoints

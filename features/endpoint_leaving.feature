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

Feature: Contents that end endpoints, over many daemons that lose words

  The decision of outcomes/quarantine.py in simulated time: 12 daemons before 40 endpoints, 120 healthy
  callers with a request each 2 s, words told each 0.1 s of which one in ten is lost, an endpoint back
  after 3.3 s as another one, two sends a request, callers back at another daemon.

  Scenario: One content ends three endpoints and no healthy one is refused for it
    Given 1 content that ends endpoints, whose caller is back every 1.0 s
    When it is played with seeds 1 to 6
    Then each such content ended 3 endpoints at most
    And no healthy content was refused

  Scenario: Two contents at the same time end three endpoints each
    Given 2 contents that end endpoints, whose callers are back every 1.0 s
    When it is played with seeds 1 to 4
    Then each such content ended 3 endpoints at most
    And no healthy content was refused

  Scenario: Failures of many endpoints in one moment quarantine nothing
    Given 5 failures of 8 endpoints each in one moment and no content that ends any
    When it is played with seeds 1 to 4
    Then no healthy content was refused

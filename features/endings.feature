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

  Scenario Outline: Several contents at the same time end four endpoints each at most
    Given <count> contents that end endpoints, whose callers are back every <every> s
    When it is played with seeds 1 to 4
    Then each such content ended 4 endpoints at most
    And no healthy content was refused

    Examples:
      | count | every |
      | 3     | 1.0   |
      | 4     | 0.5   |

  Scenario Outline: Many contents at the same time end six endpoints each at most
    Given <count> contents that end endpoints, whose callers are back every <every> s
    When it is played with seeds 1 to 4
    Then each such content ended 6 endpoints at most
    And no healthy content was refused

    Examples:
      | count | every |
      | 6     | 1.0   |
      | 8     | 0.3   |

  Scenario: One content that comes to six daemons in one moment ends seven endpoints at most
    Given 1 content that ends endpoints and comes to 6 daemons in one moment
    When it is played with seeds 1 to 4
    Then each such content ended 7 endpoints at most
    And no healthy content was refused

  Scenario: A healthy content that many callers share is not refused for failures of racks
    Given 4 failures of 20 endpoints each in one moment and 10 callers of one healthy content
    When it is played with seeds 1 to 4
    Then no healthy content was refused

  Scenario: A healthy content that many callers share is not refused beside two that end endpoints
    Given 2 contents that end endpoints, and 20 callers of one healthy content
    When it is played with seeds 1 to 4
    Then each such content ended 4 endpoints at most
    And no healthy content was refused

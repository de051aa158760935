Feature: Quarantine of contents that crash endpoints, with many daemons and lost reports

  Decisions of outcomes/quarantine.py in simulated time: 12 daemons with 40 endpoints, 120 healthy
  callers with a request every 2 s, reports every 0.1 s with 10% loss, endpoints that restart after
  3.3 s with a new identity, two sends for each request, and callers that retry at another daemon.

  Scenario: One content crashes three endpoints and no healthy content is refused
    Given 1 content that crashes endpoints, whose caller retries every 1.0 s
    When it is simulated with seeds 1 to 6
    Then each such content crashed 3 endpoints at most
    And no healthy content was refused

  Scenario: Two contents at the same time crash three endpoints each
    Given 2 contents that crash endpoints, whose callers retry every 1.0 s
    When it is simulated with seeds 1 to 4
    Then each such content crashed 3 endpoints at most
    And no healthy content was refused

  Scenario: Simultaneous failures of many endpoints quarantine nothing
    Given 5 failures of 8 endpoints each at once and no content that crashes any
    When it is simulated with seeds 1 to 4
    Then no healthy content was refused

  Scenario Outline: Several contents at the same time crash at most four endpoints each
    Given <count> contents that crash endpoints, whose callers retry every <every> s
    When it is simulated with seeds 1 to 4
    Then each such content crashed 4 endpoints at most
    And no healthy content was refused

    Examples:
      | count | every |
      | 3     | 1.0   |
      | 4     | 0.5   |

  Scenario Outline: Many contents at the same time crash at most six endpoints each
    Given <count> contents that crash endpoints, whose callers retry every <every> s
    When it is simulated with seeds 1 to 4
    Then each such content crashed 6 endpoints at most
    And no healthy content was refused

    Examples:
      | count | every |
      | 6     | 1.0   |
      | 8     | 0.3   |

  Scenario: One content that arrives at six daemons at once crashes at most seven endpoints
    Given 1 content that crashes endpoints and arrives at 6 daemons at once
    When it is simulated with seeds 1 to 4
    Then each such content crashed 7 endpoints at most
    And no healthy content was refused

  Scenario: One content that arrives at six daemons at once crashes at most seven endpoints, 40 seeds
    # Requests whose endpoints crashed in the same moment were all retried before they heard of each other.
    Given 1 content that crashes endpoints and arrives at 6 daemons at once
    When it is simulated with seeds 1 to 40
    Then each such content crashed 7 endpoints at most
    And no healthy content was refused

  Scenario: A healthy content shared by many callers is not refused after rack failures
    Given 4 failures of 20 endpoints each at once and 10 callers of one healthy content
    When it is simulated with seeds 1 to 4
    Then no healthy content was refused

  Scenario: A healthy content shared by many callers is not refused beside two that crash endpoints
    Given 2 contents that crash endpoints, and 20 callers of one healthy content
    When it is simulated with seeds 1 to 4
    Then each such content crashed 4 endpoints at most
    And no healthy content was refused

  Scenario Outline: A part of prompts that crashes endpoints is refused by all daemons in time
    # Requests that shared a part only were each known by their whole content, and none was refused.
    Given <daemons> daemons, <endpoints> endpoints and <guilty> parts that crash them, at <rate> requests a second each
    When the parts are simulated with seeds 1 to 2
    Then at most 3 requests with each part are sent later than 3 s after its fifth crash
    And requests with the other parts of those are sent at their first attempt as before
    And no healthy request was refused

    Examples:
      | daemons | endpoints | guilty | rate |
      | 6       | 16        | 1      | 1    |
      | 6       | 16        | 1      | 16   |
      | 12      | 40        | 1      | 4    |
      | 12      | 40        | 4      | 1    |
      | 60      | 100       | 1      | 4    |

  Scenario: A part that was answered for a while and then crashes endpoints is refused in time
    Given 12 daemons, 40 endpoints and a part that crashes them after it was answered before
    When the parts are simulated with seeds 1 to 2
    Then at most 3 requests with each part are sent later than 3 s after its fifth crash
    And requests with the other parts of those are sent at their first attempt as before
    And no healthy request was refused

  Scenario: Two parts that were answered for long and then crash endpoints are refused in time
    Given 12 daemons, 40 endpoints and 2 parts that crash them after they were answered for 40 s
    When the parts are simulated with seeds 1 to 2
    Then at most 3 requests with each part are sent later than 3 s after its fifth crash
    And requests with the other parts of those are sent at their first attempt as before

  Scenario: Two parts that were answered by daemons which have just started are refused in time
    # Daemons with some forty answers cannot tell a part of few requests from one of many.
    Given 12 daemons, 40 endpoints and 2 parts that crash them after they were answered for 8 s
    When the parts are simulated with seeds 1 to 4
    Then at most 3 requests with each part are sent later than 3 s after its fifth crash
    And requests with the other parts of those are sent at their first attempt as before

  Scenario: A part that crashes endpoints is refused in time though reports come late
    Given 12 daemons, 40 endpoints and a part that crashes them while reports are 0.2 s late
    When the parts are simulated with seeds 1 to 2
    Then at most 3 requests with each part are sent later than 3 s after its fifth crash
    And no healthy request was refused

  Scenario: Racks that fail refuse no part
    Given 12 daemons and 40 endpoints of which 8 fail at once, 5 times
    When the parts are simulated with seeds 1 to 2
    Then no healthy request was refused

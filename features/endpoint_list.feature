Feature: Endpoint list with invalid entries and restarting endpoints

  Scenario Outline: An entry with <fault> is rejected, and the other entries are used
    Given a list of three entries, one of them with <fault>
    When the list is read twice
    Then the two other endpoints are used
    And the entry is logged once

    Examples:
      | fault                           |
      | an unknown state                |
      | a number encoded as a string    |
      | a start time that is no integer |
      | a missing field                 |
      | an address without a port       |
      | a body that is not JSON         |

  Scenario: An unreadable record does not hide the others
    Given a store with 3 pages of endpoints
    And the record "5" has an unreadable body
    Then the records "1 2 3 4 6 7 8 9" are read

  Scenario: A restarted endpoint starts with a clean state
    Given an endpoint that is suspect, reported as draining and has requests in flight
    When the list shows that it restarted
    Then it is used, not suspect and without load
    And its earlier connections are closed

  Scenario: An endpoint that restarts during a store outage replaces its predecessor at once
    Given a store that was unavailable for 10 seconds
    When the first list after the outage shows a restarted endpoint
    Then only its new incarnation is used

  Scenario: Reports and lists about several incarnations leave the newest list in force
    Then in any order of reports, lists and restarts only later reports on the same incarnation count

  # Guards against daemons that all try an exited endpoint again after 0.8 and 1.6 s and get 421 there.
  Scenario Outline: An exited endpoint is avoided for longer where entries name their start
    Given an endpoint whose entry <names> its start
    When its process is found to have exited twice
    Then it is avoided for <seconds> seconds and not longer

    Examples:
      | names         | seconds |
      | names         | 6       |
      | does not name | 0.8     |

  # Guards against daemons that send to a reused address again because their list still shows it.
  Scenario: An endpoint whose address was reused is avoided though the next list shows it
    Given an endpoint whose entry names its start
    When its address is found to belong to another endpoint and the next list still shows it
    Then peers are told that it fails
    And it is avoided for 6 seconds and not longer

  Scenario: Requests name the endpoint, not its incarnation
    Then a request to a restarted endpoint carries the endpoint's name

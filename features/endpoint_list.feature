Feature: The list of endpoints, with entries of other writers and endpoints that start again

  Scenario Outline: An entry with <fault> names no endpoint, and the others hold
    Given a list of three entries, one of them with <fault>
    When the list is read twice
    Then the two other endpoints are used
    And the log names the entry once

    Examples:
      | fault                    |
      | a state that is unknown  |
      | a number written as text |
      | a start that is no whole number |
      | a field that is missing  |
      | an address without port  |
      | bytes that are no JSON   |

  Scenario: A record whose bytes cannot be read does not hide the others
    Given a store with 3 pages of endpoints
    And the record "5" holds bytes that cannot be read
    Then the records "1 2 3 4 6 7 8 9" are read

  Scenario: An endpoint that starts again under its name starts from nothing
    Given an endpoint that is suspected, called leaving and has work in flight
    When the list shows that it started again
    Then it is used, free of suspicion and without work
    And its earlier connections are closed

  Scenario: An endpoint that starts again while the store settles replaces its predecessor at once
    Given a store that was away for 10 seconds
    When the first list after it shows that an endpoint started again
    Then only its new incarnation is used

  Scenario: Words and lists about incarnations in any order leave the newest list in force
    Then whatever order words, lists and restarts come in, only later words about the same start count

  Scenario: The name of an endpoint goes on the wire, not its incarnation
    Then a request to an endpoint that started again expects it by its name

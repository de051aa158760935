Feature: What a message says is as old as it is when it is read

  Guards against state that a suspended daemon reads late and takes, or tells, for new.

  # Guards against a fleet that sends to an endpoint which left while one daemon was suspended.
  Scenario Outline: <paused> of <count> daemons that wake do not take the others back to their list
    Given <count> daemons in 3 zones that follow a store with 4 endpoints
    When <paused> daemons are suspended, by <which>, while an endpoint leaves
    Then no other daemon uses that endpoint again
    And those that woke know of it within 0.1 s

    Examples: How many wake, and which
      | count | paused | which |
      | 6     | 1      | name  |
      | 9     | 1      | name  |
      | 9     | 2      | name  |
      | 9     | 3      | zone  |
      | 60    | 1      | name  |
      | 60    | 20     | zone  |

  # Guards against a daemon that is suspended again before it has heard the others.
  Scenario: A daemon that is suspended again and again does not take the others back
    Given 9 daemons in 3 zones that follow a store with 4 endpoints
    When the first daemon is suspended 4 times while an endpoint leaves each time
    Then no other daemon uses those endpoints again

  # Guards against a list that is taken for newer by its age where the store's revision says older.
  Scenario: A list of a lower revision is not taken, however young it seems
    Given a daemon whose list has revision 20
    When a peer tells a list of revision 19 that it read later
    Then the list is neither fetched nor applied

  # Guards against a newer list that is refused since it took long to arrive.
  Scenario: A list of a higher revision is taken, however old it seems
    Given a daemon whose list has revision 20
    When a peer tells a list of revision 21 that it read earlier
    Then the list is fetched and applied

  # Guards against revisions that are compared across a restore, after which they begin lower.
  Scenario: A list of a lower revision from a later era is taken
    Given a daemon whose list has revision 20
    When a peer tells a list of revision 3 from a later era
    Then the list is fetched and applied

  # Guards against ages that start anew where a message waited to be read.
  Scenario: All that a late message says is as much older
    Given a status with each kind of age
    When it is read 0.5 s late
    Then each age has grown by 0.5 s and each time left has shrunk by it

  # Guards against a clock or path that has changed for good and makes every message look late.
  Scenario: A lasting change of the delay is taken for the usual one in the end
    Given messages of a peer that take 1 ms
    When they take 2 s from now on
    Then they count as 2 s late at first, and after 30 s as usual

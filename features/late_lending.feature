Feature: Daemons keep to a contract's limits while lend messages are late or lost

  The limiters of several daemons on a manual clock. Lend messages and their replies are delayed, may
  overtake each other and may be lost, while the callers move between the daemons. A daemon whose
  slice shrank admitted requests under the old one while the lender had lent the rest to others.

  Scenario Outline: No more requests run than the limit while messages are late or lost
    Given <daemons> daemons that share <slots> slots, with lend messages up to <late> s late and <lost> in 100 lost
    When callers move between them for 60 seconds, with seeds 1 to <seeds>
    Then no more than <slots> requests ran at once with any seed
    And on average at least <used> in 100 of the slots that callers want are in use

    Examples:
      | daemons | slots | late | lost | seeds | used |
      | 3       | 6     | 0.0  | 0    | 4     | 50   |
      | 3       | 6     | 0.2  | 0    | 20    | 50   |
      | 3       | 6     | 0.2  | 30   | 8     | 50   |
      | 9       | 30    | 0.1  | 0    | 8     | 50   |
      | 9       | 30    | 0.2  | 10   | 13    | 50   |

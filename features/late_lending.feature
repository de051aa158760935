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

  Scenario: A first request waits for a lender that answers late
    # Daemons without a slice refused requests as soon as one call to a busy lender timed out.
    Given 3 daemons that share 6 slots, with lend messages up to 0.4 s late and 30 in 100 lost
    When one request reaches each daemon, with seeds 1 to 20
    Then all of them are admitted

  Scenario: A request that must start soon does not wait longer for its first slice
    Given 3 daemons that share 6 slots, with lend messages up to 0.1 s late and 100 in 100 lost
    When a request that must start within 0.5 s reaches each daemon
    Then those that must ask another daemon are refused within 0.6 s

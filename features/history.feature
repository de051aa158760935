Feature: Histories of concurrent runs are judged from the records alone

  Scenario Outline: A planted violation is found
    Given a history without violations
    When <violation> is planted
    Then exactly the rule "<rule>" is broken

    Examples:
      | violation                                  | rule                    |
      | a request that ends late                   | finished in time        |
      | a whole answer that is another caller's    | own whole answer        |
      | a broken stream with a foreign token       | own whole answer        |
      | a refusal as not run of a call that ran    | not run means not run   |
      | a hold that ran twice                      | at most once            |
      | memory held at the end                     | no memory held          |
      | new work at a leaving engine               | leaving gets no new work |
      | a stream cut by a planned stop             | planned stops cut nothing |
      | a daemon that goes back to an old revision | accepted never reverts  |
      | a daemon that ends behind                  | accepted never reverts  |

  Scenario: A short run with all faults in pairs
    When a history of 3 seconds is run with seed 11
    Then it holds requests, runs and faults, and no promise is broken

Feature: No daemon is left without a slice of a limit that has room

  Daemons hold slices of a contract's limits for terms of 2 s. While daemons were replaced one after
  the other, one that served was lent a slice of 0 of 1000, with 8 requests running in all, and refused
  its callers with "The contract's concurrency is used up" (replacing.feature, 6 of 28 plays beside
  load). The record of the lends showed three causes that add up:
  a daemon that had just been put on the host list counted as cut off before it could be heard, and a
  third to three quarters of the limit were kept back for it ("live 2, known 3", lent 0 of 667);
  the slices of daemons that had gone counted until the end of their terms (243 and 324 of 1000);
  and what a lender lends in its first term took up all of the limit but 3 in 100, so that the next
  newcomers found nothing.

  Scenario: Three daemons are replaced in turn, 0.3 seconds apart, with 600 of 1000 in use
    Given three daemons that hold slices of 1000 concurrent requests and run 600 of them
    When they are replaced in turn, 0.3 seconds apart, and their callers move to the newcomers
    Then every newcomer gets room for 8 requests at once
    And no daemon that serves is ever left without room
    And what is lent never adds up to more than the limit

  Scenario: The same within a lender's first term
    Given three daemons that hold slices of 1000 concurrent requests and run 600 of them
    And their lender began 1 second before
    When they are replaced in turn, 0.3 seconds apart, and their callers move to the newcomers
    Then every newcomer gets room for 8 requests at once
    And no daemon that serves is ever left without room
    And what is lent never adds up to more than the limit

  Scenario Outline: A newcomer gets a place of a small limit of which half is in use
    Given three daemons that hold slices of <limit> concurrent requests and run <running> of them
    When one more daemon comes
    Then it gets room for 1 request at once
    And what is lent never adds up to more than the limit

    Examples:
      | limit | running |
      | 6     | 3       |
      | 10    | 5       |
      | 32    | 16      |

  Scenario: More daemons than places still use them all
    Given a limit of 4 concurrent requests and 9 daemons with callers of their own
    When they have asked for slices over 5 terms
    Then all 4 places are lent
    And what is lent never adds up to more than the limit

  Scenario: Daemons that are no longer heard leave the others what these hold
    Given four daemons that hold slices of 1000 concurrent requests and run 40 of them
    When three of them are killed at once
    Then the fourth keeps room for 8 requests more than it runs
    And what is lent never adds up to more than the limit

  Scenario: A daemon that was just put on the host list is not taken for one that is cut off
    Given a daemon that has read a host list of three
    When a fourth daemon is put on the list
    Then it counts as cut off only when it was silent as long as any other has to be
    And a daemon that starts counts all that its first list names

  Scenario: The host list may change while it is asked
    Given a host list on which a fourth daemon comes and goes
    When it is read 2000 times while another thread asks which daemons count
    Then each answer names the three that stay

  Scenario: A daemon that stops gives its slices back
    Given a site of 3 daemons and 1 engine
    And every daemon holds a slice
    When a daemon that is not the lender has stopped
    Then the lender counts no slice of it any more

  Scenario: A daemon serves its first request when it has heard another daemon
    Given a daemon whose host list names another one that it has not heard
    Then it is not ready until it hears it, or until silence counts as being cut off

  Scenario: Callers beyond the limit leave no daemon without places
    # What callers want counted as what runs, so that two of three daemons got 0 of 30 for good.
    Given 3 daemons share a limit of 30 concurrent requests
    When ten times as many callers come to each of them for 10 seconds
    Then each daemon ran 9 requests or more at once all the while after the first 4 seconds
    And never more than 30 ran in all

  Scenario: A daemon asks for more room before it refuses a caller
    # A newcomer's slice followed its callers by one renewal a doubling: seconds of refusals.
    Given 4 daemons share a limit of 1000 concurrent requests
    When 200 requests run at each of the first three
    And 200 callers come to the fourth in one moment
    Then none of them is refused
    And never more than 1000 ran in all

  Scenario: Rates that move between daemons give no more than the limit and one burst
    Then however 4 daemons ask and use, together they use no more than the limits and one burst

Feature: The pure decisions keep their promises for every input

  Scenario: Fair shares
    Then backlogged organisations get work in proportion to their shares
    And no work is lost, doubled or forgotten by the queue
    And old work goes first before its time is over

  Scenario: Limits
    Then a bucket never gives more than its rate and one burst
    And slices lent never add up to more than the limits, whatever daemons ask and when
    And two sides of a partition together lend no more than the limits
    And a daemon that comes new while another holds all it wants gets a slice at once
    And a daemon that comes new just after a lender's first term gets room for 8 requests at once
    And while a daemon leaves by plan each other one keeps room for 8 requests at once
    And one daemon with all the demand gets nearly the whole limit

  Scenario: Claims
    Then in every order of records at most one claim for a key is ever dispatched
    And a claim that arrives after it was given up leaves its key free

  Scenario: Leases
    Then two daemons never hold a duty at once through pauses, lost and late appends

  Scenario: Configuration
    Then every reader that starts at any checkpoint comes to the same state
    And a late checkpoint never lowers a revision

  Scenario: Reading the log
    Then a reader sees at once that the log answers again, instead of after a long poll

  Scenario: Streams
    Then a caller gets each event once and in order through any repeats, gaps and foreign events

  Scenario: Decoders
    Then no bytes make a decoder fail but with its typed error
    And no changed resume token is accepted

  Scenario: State charts
    Then every edge of every chart is reached and none outside is taken

  Scenario: Retries
    Then nothing that may have run is repeated unless it may be, and retries stay in budget

  Scenario: A send that reached no endpoint takes nothing from the retry budget
    Then after the budget is used up only sends that reached no endpoint are repeated

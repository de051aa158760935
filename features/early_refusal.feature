Feature: A long prompt that finds no room in time is refused when that is known

  A long prompt is prefilled by a group of engines and stalls the streams there. It waits for engines
  with less to lose, and was refused at the end of its wait where none came: its caller learned after
  seconds what the daemon could have told at once.

  Scenario: Nothing is refused early before the load of a whole wait is known
    Given engines that have been full for 1 seconds
    Then a prompt of 300000 tokens that would cost others 900000 waits

  Scenario: A flood of streams that has lasted longer than the wait is not waited for
    Given engines that have been full for 6 seconds
    Then a prompt of 300000 tokens that would cost others 900000 has had no room for 6 seconds

  Scenario: A pause in the flood within the last seconds may come again
    Given engines that have been full for 4 seconds
    And engines that have been empty for 0.5 seconds
    And engines that have been full for 1 seconds
    Then a prompt of 300000 tokens that would cost others 900000 waits

  Scenario: A flood that has receded is judged by what is left of it
    Given engines that have been full for 4 seconds
    And engines that have been a quarter full for 1 seconds
    Then a prompt of 300000 tokens that would cost others 340000 waits

  Scenario: A prompt that may be served although others lose by it is not refused
    Given engines that have been full for 6 seconds
    Then a prompt of 300000 tokens that would cost others 160000 waits

  Scenario: A prompt at the end of its wait is left to the usual decision
    Given engines that have been full for 6 seconds
    Then a prompt of 300000 tokens that has waited for 3.5 seconds is left to the usual decision

Feature: A request outlives a silence of its endpoint

  A sound endpoint may send nothing for a second or so and go on, as may all of them at once.

  # Guards against streams cut in the middle: the attempt was ended before another one had answered.
  Scenario: A stream is whole when its endpoint goes on after a silence and the other one turns it away
    Given a gateway in front of two endpoints
    And the next stream pauses after two events until the other endpoint has turned it away
    When a caller sends a "text"
    Then the response is 200 with body "all events"

  # Guards against answers that are lost with a live attempt, whatever becomes of the second one.
  Scenario Outline: A <kind> that is sent again after a silence keeps its first endpoint when <second>
    Given a <kind> in progress at the first of three endpoints
    When that endpoint is silent until another one is sought
    And <second>
    And the first endpoint goes on
    Then the caller has each byte of the answer once and its end
    And no attempt is left

    Examples: Streams
      | kind   | second                                    |
      | stream | the second endpoint does not run it       |
      | stream | the second endpoint cannot be reached     |
      | stream | the second endpoint resets its connection |
      | stream | the second endpoint answers 500           |
      | stream | the second endpoint is silent too         |
      | stream | the second endpoint sends comments alone  |
      | stream | no other endpoint has room                |
      | stream | no other endpoint is left                 |
      | stream | no permit is granted                      |

    Examples: Whole answers
      | kind  | second                                    |
      | check | the second endpoint does not run it       |
      | check | the second endpoint cannot be reached     |
      | check | the second endpoint resets its connection |
      | check | the second endpoint answers 500           |
      | check | the second endpoint is silent too         |
      | check | no other endpoint has room                |
      | check | no other endpoint is left                 |

Feature: A request outlives a silence of its endpoint

  A sound endpoint may send nothing for a second or so and go on, as may all of them at once.

  # Guards against streams cut in the middle: the attempt was ended before another one had answered.
  Scenario: A stream is whole when its endpoint goes on after a silence and the other one turns it away
    Given a gateway in front of two endpoints
    And the next stream pauses after two events until the other endpoint has turned it away
    When a caller sends a "text"
    Then the response is 200 with body "all events"


Feature: Daemons break no stream off because endpoints pause

  The gateway's own exchanges on simulated engines in simulated time: 6 daemons before engines whose
  slots are all used. Refusals as not run, and callers that leave, are no streams broken off.

  # Guards against a stream cut although its endpoint goes on: the only other one has no room.
  Scenario: One endpoint is silent while the other one is full
    When one of 2 engines is silent for 1.5 seconds at 1.2 times what fills them
    Then streams were open at silent engines and were sent again
    And no request is broken off or answered with a failure

  # Guards against streams cut because the second endpoint is silent too or turns them away.
  Scenario: A third of the endpoints is silent
    When a third of 8 engines is silent for 1.5 seconds at 1.0 times what fills them
    Then streams were open at silent engines and were sent again
    And no request is broken off or answered with a failure

  # Guards against all streams in progress being cut where no endpoint answers for a while.
  Scenario: All endpoints are silent
    When all of 8 engines are silent for 1.5 seconds at 1.0 times what fills them
    Then streams were open at silent engines and were sent again
    And no request is broken off or answered with a failure

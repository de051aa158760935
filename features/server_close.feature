Feature: A server that closes touches no connection but its own

  A caller got "xxxHTTP/1.1 200 OK": three bytes that nobody sent before its answer, so the answer was
  not whole (streams.feature "An engine dies with streams on it", once of some dozen plays). The record
  of that play holds one dead engine, each of its requests sent again and answered, and no refusal.
  The server library wakes its main loop by a byte "x" written to the number of a descriptor. When the
  server is closed while its threads are still at work, that number is free, and the next connection of
  the process gets it, and with it the bytes of the threads that end.

  Scenario: Threads that end after their server was closed write to no other connection
    Given a server whose 4 threads are each at work on a request
    When the server is closed, and while it waits for its threads new connections take free numbers
    Then nothing was written to the new connections

Feature: A server that is closed writes to no connection but its own

  Guards against threads that wake the server's loop after its descriptor was closed: the descriptor
  number may belong to another connection by then, which would receive the wake-up bytes.

  Scenario: Threads that finish after the server was closed write to no other connection
    Given a server with 4 threads, each processing a request
    When the server is closed and new connections reuse its descriptor numbers
    Then nothing is written to the new connections

Feature: A server that is closed writes to no connection but its own

  Guards against threads that wake the server's loop after its descriptor was closed: the descriptor
  number may belong to another connection by then, which would receive the wake-up bytes.

  Scenario: Threads that finish while the server waits for them write to no other connection
    Given a server with 4 threads, each processing a request
    When the server is closed and new connections reuse its descriptor numbers
    Then nothing is written to the new connections

  Scenario: A caller accepted while the server is closed is not left waiting
    # The connection was registered after the others had been closed, and no thread ever served it.
    Given a server whose loop is delayed after it accepts a connection
    When the server is closed while the loop is delayed, and the caller sends its request
    Then the caller is answered or its connection is closed

  Scenario: A stream that leaves the server after the server was closed is told that its caller left
    # The server's loop had ended, so nobody handed the connection over: the stream held its
    # engine's connection and memory until the process ended.
    Given a server with 4 threads, each of which is about to hand over its connection
    When the server has closed before its threads finish, and new connections reuse its descriptors
    Then each of them is told that its caller has left
    And nothing is written to the new connections

  Scenario: A caller accepted while the server drains is answered before the server is closed
    # A planned stop counted the requests that it had read and cut those that it had only accepted.
    Given a server whose loop is delayed after it accepts a connection
    When the server drains and is closed, and the caller has sent its request
    Then the caller is answered

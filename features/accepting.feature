Feature: A daemon that gets most new connections stays responsive

  For some seconds the balancer may hand most new connections to one daemon. What it has read it must
  serve; a connection that is closed unread is retried at another daemon.

  Scenario: Connections are taken while the event loop keeps up
    Given a gate for 10 connections
    Then a connection is taken beside 9 others while events wait for 0.1 s

  Scenario: A connection is closed unread while events wait too long
    # All connections were accepted, and requests were read after their callers had given up.
    Given a gate for 10 connections
    Then a connection is closed beside 2 others while events wait for 0.3 s

  Scenario: A connection is closed unread beyond the bound
    Given a gate for 10 connections
    Then a connection is closed beside 10 others while events wait for 0.0 s

  Scenario: The event loop tells how long events wait
    Given an event loop on a manual clock
    When an event of it takes 0.5 s
    Then it says meanwhile and after it that events wait for 0.5 s
    When an event of it takes 0.01 s
    Then it says meanwhile and after it that events wait for 0.01 s

  Scenario: A daemon that is behind closes a connection unread and serves the next one
    Given a gateway in front of two endpoints
    When its event loop is held up while a caller connects
    Then that caller's connection is closed without an answer
    And no endpoint got its request
    And the next caller is served

  Scenario: Daemons of other scenarios read connections however busy their interpreter is
    # Beside a loaded machine scenarios failed, since a daemon in their process was 0.2 s behind.
    Given a gateway in front of two endpoints
    When the event loop of that busy interpreter is held up
    Then a caller that connects meanwhile is served

  Scenario: Without free descriptors a listener waits instead of trying all the time
    # The listening socket stays readable, so the loop did nothing else and logged each try.
    Given a listener whose process has no free descriptors
    When a caller connects and 0.3 s pass
    Then the listener has tried at most 8 times
    When descriptors are free again
    Then the connection is accepted

  Scenario Outline: Requests are served while one daemon gets most connections, <daemons> daemons
    When one of <daemons> daemons after the other gets most new connections
    Then first tries that it has read are served at least three quarters as often as before

    Examples:
      | daemons |
      | 6       |
      | 60      |

  Scenario: What one daemon cannot read in time is served by others
    When one of 60 daemons after the other gets most new connections, and reading one takes it 25 ms
    Then first tries that it has read are served at least three quarters as often as before
    And most connections that it closed unread were served by another daemon

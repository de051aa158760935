Feature: Replacement of daemons and endpoints without lost requests

  Scenario: Rolling replacement of three daemons under load
    Given a site of 3 daemons and 2 engines
    When every daemon is replaced gracefully under load
    Then every request got a complete response
    And a new daemon holds the checkpoint duty

  Scenario: A process drains its streams on SIGTERM
    Given a site of 1 daemon and 1 engine
    And two daemons in processes of their own
    When a stream of 300 tokens runs at the first process, which gets SIGTERM
    Then the stream is complete and the process exits successfully

  Scenario: No stop signal is lost if several arrive at once
    Given a process that waits for a stop signal 100 times
    When it gets three signals in a row during each wait
    Then every wait ends and the process exits successfully

  Scenario Outline: An endpoint that <sign> gets no new requests
    Given a site of 3 daemons and 2 engines
    When the first engine <sign>
    Then no daemon sends it new requests after 3 seconds
    And a good request still succeeds

    Examples:
      | sign                                  |
      | is marked as leaving on the host list |
      | says that it is draining              |

  Scenario: An unavailable host list is not treated as empty
    Given a site of 2 daemons and 2 engines
    When the first engine is marked as leaving on the host list
    And the host list fails
    Then no daemon sends it new requests after 3 seconds

  Scenario: A daemon that cannot read the host list learns of a leaving endpoint by gossip
    Given a site of 3 daemons and 2 engines
    When the host list fails for the first daemon only
    And the first engine is marked as leaving on the host list
    Then no daemon sends it new requests after 3 seconds

  Scenario: Streams resume at another daemon after one is killed
    Given a site of 8 daemons and 2 engines
    And two daemons in processes of their own
    When 12 streams run at the first process, which is killed
    Then every caller has the complete response after one reconnect

Feature: A request that was read ends with an answer, a refusal or a line that says why it has none

  # Guards against a change of the configuration that closes connections, ends attempts or drops
  # requests that another version of the configuration admitted.
  Scenario Outline: A stream <state> is not cut when <change>
    Given a stream <state>
    When <change>
    And the endpoints go on
    Then its caller has the whole stream

    Examples: In progress
      | state                            | change                             |
      | in progress at a silent endpoint | its route goes                     |
      | in progress at a silent endpoint | its key goes                       |
      | in progress at a silent endpoint | the service of its route goes      |
      | in progress at a silent endpoint | the timeout of its route shrinks   |
      | in progress at a silent endpoint | the attempts of its route shrink   |
      | in progress at a silent endpoint | the idle time shrinks              |

    Examples: Waiting for a slot
      | state                | change                             |
      | waiting for a slot   | its route goes                     |
      | waiting for a slot   | its key goes                       |
      | waiting for a slot   | the service of its route goes      |
      | waiting for a slot   | the timeout of its route shrinks   |
      | waiting for a slot   | the attempts of its route shrink   |
      | waiting for a slot   | the idle time shrinks              |

    Examples: Between two sends
      | state             | change                             |
      | between two sends | its route goes                     |
      | between two sends | its key goes                       |
      | between two sends | the service of its route goes      |
      | between two sends | the timeout of its route shrinks   |
      | between two sends | the attempts of its route shrink   |
      | between two sends | the idle time shrinks              |

  # Guards against held requests that are dropped, or refused with a status that is not true, when
  # the first configuration does not serve them.
  Scenario Outline: A held request whose first configuration comes when <change> gets <answer>
    Given a request held before the first configuration
    When <change>
    Then its caller gets <answer>

    Examples:
      | change                           | answer              |
      | its route goes                   | 404                 |
      | its key goes                     | 401                 |
      | the service of its route goes    | 503                 |
      | the timeout of its route shrinks | 200 or 503 or 504   |
      | the attempts of its route shrink | 200                 |
      | the idle time shrinks            | 200                 |

  # Guards against connections that end under a request without a line and a count.
  Scenario Outline: A connection that ends while <stage> is logged and counted
    Given a gateway for the endings of connections
    And its log is kept
    When a connection ends while <stage>
    Then a line names the stage "<name>", the status <status> and "<reason>"
    And the metrics count it under "<name>"

    Examples:
      | stage                                    | name       | status | reason                              |
      | the head of its request is read          | reading    | 400    | peer unexpectedly closed connection |
      | the body of its request is read          | reading    | 400    | peer closed connection without sending complete message body |
      | its request is malformed                 | reading    | 400    | illegal header line                 |
      | its request is too long                  | reading    | 413    | the body is too long                |
      | its request is held                      | held       | 0      | the caller closed its connection    |
      | the daemon stops and a body is read      | reading    | 0      | the daemon stopped                  |
      | its whole answer is delivered            | delivering | 0      | the caller closed its connection    |

  # Guards against keys in the log: the codec quotes the line that it rejects.
  Scenario: A malformed request does not bring its key into the log
    Given a gateway for the endings of connections
    And its log is kept
    When a connection ends while its request is malformed
    Then a line names the stage "reading", the status 400 and "illegal header line"
    And no line names the key

  # Guards against a planned stop that cuts off the answer to a request of another daemon.
  Scenario: A daemon does not stop while another daemon sends it a request
    Given a gateway for the endings of connections
    When another daemon has sent a part of a request
    Then the daemon counts as busy until that connection ends

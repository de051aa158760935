Feature: An odd entry among the endpoints costs no request its answer

  Guards against entries of another writer that reach code which raises or blocks.

  # Guards against an entry that is taken though nothing can be sent to what it names.
  Scenario Outline: An entry with <oddity> is refused, and the others hold
    When the list holds an entry with <oddity> beside two sound ones
    Then the sound ones are known, and the odd one is refused with a reason

    Examples: Addresses
      | oddity                |
      | port 65536            |
      | port 0                |
      | port of 5,000 digits  |
      | an octet of 300       |
      | three octets          |
      | a host name           |
      | an IPv6 address       |
      | no port               |

    Examples: Other values
      | oddity                       |
      | slots of 300 digits          |
      | a start time of 30 digits    |
      | a number of 5,000 digits     |
      | 100,000 nested lists         |
      | half a surrogate as its zone |
      | a zone of 400 characters     |
      | a line end in its name       |
      | a name of 300 characters     |
      | a name beyond Latin-1        |
      | no name                      |

  # Guards against a request that waits for an endpoint to which no connection can be opened.
  Scenario Outline: A request placed at an endpoint with the address <address> is served by another
    Given a gateway in front of two endpoints
    And an endpoint with the address "<address>" is listed as well
    When a caller sends a "<kind>" 12 times
    Then all 12 are served

    Examples: Addresses that cannot be connected to
      | address         | kind  |
      | 127.0.0.1:65536 | check |
      | 127.0.0.1:65536 | hold  |
      | 127.0.0.300:80  | check |
      | nowhere:80      | check |

  # Guards against a request that nobody ends after an unexpected error in one of its handlers.
  Scenario Outline: A request whose <handler> raises gets <status> at once
    Given a gateway in front of two endpoints
    And its <handler> raises an unexpected error
    When a caller sends a "<kind>"
    Then the response is <status> with body "<body>"
    And no request is in progress

    Examples: Where it is raised
      | handler                   | kind  | status | body          |
      | admission                 | hold  | 503    |               |
      | placement                 | hold  | 503    |               |
      | request to one endpoint   | hold  | 200    | endpoint name |
      | request to all endpoints  | hold  | 503    |               |
      | reading of the reply      | hold  | 502    |               |
      | reading of the reply      | check | 502    |               |
      | record of a served answer | check | 502    |               |

  # Guards against messages to all peers that fail for the entry of one odd daemon.
  Scenario Outline: A daemon registered as <entry> is not taken
    Then the address of a daemon "<entry>" is refused

    Examples: Entries of daemons
      | entry              |
      | 10.0.0.300 5 east  |
      | 10.0.0 5 east      |
      | host-1 5 east      |
      | 10.0.0.1 many east |

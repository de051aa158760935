Feature: The operator evacuates zones and takes them back

  A zone is evacuated by a record in the store. From then on no daemon sends requests to its
  endpoints, whatever it hears the record from, until the record is deleted.

  Scenario: A zone is evacuated and taken back
    Guards against requests that reach a zone after its evacuation, and a zone that stays unused.

    Given 3 gateways in front of endpoints in zones a, a, b and b
    When the operator evacuates zone b
    Then every daemon eventually uses only zone a
    When each daemon serves 6 requests outside the evacuated zones
    Then the endpoints of zone b received no further request
    When the operator takes all zones back
    Then every daemon eventually uses zones a and b

  Scenario: A daemon without access to the store evacuates a zone by a peer's word
    Guards against evacuations that only the daemons learn that can read the store.

    Given 3 gateways in front of endpoints in zones a and b
    And the store rejects calls of the third daemon
    When the operator evacuates zone b
    Then every daemon eventually uses only zone a
    When the operator takes all zones back
    Then every daemon eventually uses zones a and b

  Scenario: A zone stays evacuated while the store is unavailable
    Given 2 gateways in front of endpoints in zones a and b
    When the operator evacuates zone b
    Then every daemon eventually uses only zone a
    When the store is unavailable for some reads
    And each daemon serves 6 requests outside the evacuated zones
    Then the endpoints of zone b received no further request

  Scenario: A daemon that starts while the store is unavailable knows the evacuated zones
    Guards against a restarted daemon that learns the endpoints from a peer but not the evacuation.

    Given 2 gateways in front of endpoints in zones a and b
    When the operator evacuates zone b
    Then every daemon eventually uses only zone a
    When the store is unavailable for some reads
    And another gateway starts
    Then every daemon eventually uses only zone a
    When each daemon serves 6 requests outside the evacuated zones
    Then the endpoints of zone b received no further request

  Scenario: Two zones are evacuated and one of them is taken back
    Given 1 gateways in front of endpoints in zones a, b and c
    When the operator evacuates zones b and c
    Then every daemon eventually uses only zone a
    When the operator evacuates zone c
    Then every daemon eventually uses zones a and b

  Scenario: Requests are refused unexecuted while the only zone of their service is evacuated
    Guards against requests that are sent to an evacuated zone because no other is left, and against
    refusals that do not say why.

    Given 1 gateways in front of endpoints in zones b and b
    And its log is kept
    When the operator evacuates zone b
    Then every daemon eventually uses no zone
    When a caller sends a "hold"
    Then the response is 503 with body ""
    And the response has a Retry-After header
    And endpoints received 0 requests
    And the command why names zone b as evacuated
    And the metrics page counts 1 evacuated zone

  Scenario: An unknown zone is logged once and changes nothing
    Guards against a mistyped name that nobody notices.

    Given 1 gateways in front of endpoints in zones a and b
    And its log is kept
    When the operator evacuates zone nowhere
    Then the log says once that zone nowhere is unknown, and how to mend it
    And every daemon eventually uses zones a and b

  Scenario: A stream in an evacuated zone ends there
    Given 1 gateways in front of endpoints in zones b and b
    And the endpoints use the behaviour "slow stream" for all requests
    When a caller sends a "text" and zone b is evacuated meanwhile
    And the endpoint resumes the stream
    Then the response is 200 with body "all events"
    And endpoints received 1 requests

  Scenario: A stream that breaks off in an evacuated zone is resumed in another zone
    Guards against repeated requests that go back to the zone that they came from.

    Given 1 gateways in front of endpoints in zones b and b
    And the endpoints use the behaviour "stalled stream" for all requests
    When a caller sends a "text" and zone b is evacuated meanwhile
    And an endpoint in zone a is listed
    And the endpoint resumes the stream
    Then the response is 200 with body "all events"
    And the endpoints of zone b received no further request

  Scenario: Parts of a prompt are not stored in an evacuated zone
    Guards against helpers in an evacuated zone.

    Given a gateway in front of engines in zones a, a, a, b and b
    And the endpoints use the behaviour "stream" for all requests
    When the operator evacuates zone b
    Then every daemon eventually uses only zone a
    When a caller declares a prompt of 150000 tokens
    Then the response is 200 with body "all events"
    And the request named helpers outside zone b
    And the endpoints of zone b received no further request

  Scenario Outline: A memory reservation that is granted after the evacuation of <place> is not used
    Guards against a request that was placed before the evacuation and is sent after it.

    Given a request that waits for memory reserved in zone a for an endpoint in zone b
    When zone <place> is evacuated and the reservation is granted
    Then the reservation is released and the request is placed in zone c

    Examples:
      | place |
      | a     |
      | b     |

  Scenario: Merging records in any order gives the newest
    Then in any order and grouping the merged record of evacuations is the same and the newest

  Scenario: A restored store with lower offsets is newer, and an earlier era never wins
    Given the evacuation of zone b at revision 90 in era 1
    When zone c is evacuated at revision 40 in era 2
    Then zone c is evacuated
    When no zone is evacuated at revision 95 in era 1
    Then zone c is evacuated

  Scenario: A zone stays evacuated until the operator's record can be in a restored store again
    Guards against requests to an evacuated zone after the store came back without its record.

    Given the evacuation of zone b at revision 90 in era 1
    When no zone is evacuated at revision 40 in era 2
    Then zone b is evacuated for 6 more seconds
    When zone b is evacuated at revision 41 in era 2
    And no zone is evacuated at revision 42 in era 2
    Then no zone is evacuated

  Scenario: All daemons follow the store through restores, outages and starts
    Then after any order of events all daemons have the evacuated zones of the store

  Scenario: A daemon of the previous release sends no section and takes no zone back
    Guards against a missing section that is read as a store without evacuated zones.

    Given a daemon that has evacuated zone b
    When a daemon of the previous release sends its status
    Then zone b is still evacuated
    And a status with 3 evacuated zones takes 36 bytes more than one of the previous release

  Scenario: A pulled snapshot carries the evacuated zones
    Guards against a daemon that has the list of endpoints of a peer before its first message, and
    against a snapshot that is cached from before the evacuation.

    Given a daemon whose snapshot was pulled before it evacuated zone b
    When another daemon pulls its snapshot
    Then the other daemon has evacuated zone b
    And a snapshot of the previous release takes no zone back there

  Scenario: An evacuation reaches a large fleet at once and survives the loss of messages
    Guards against aggregators that pass on an older state, or tell members only at heartbeats.

    Given 60 connected daemons in 3 zones
    Then no message has a section
    When a group member learns that zone b is evacuated
    Then all daemons evacuate zone b within 0.3 seconds
    Given one datagram in 3 is lost
    When a group member learns that all zones are taken back
    Then all daemons evacuate no zone within 8 seconds

  Scenario: An aggregator passes on what its members and other aggregators told
    Then the merged status of a group and of the fleet carries the newest evacuations

  Scenario: The endpoints of a zone that is taken back offer a growing share of their slots
    Guards against daemons that all fill empty and cold endpoints at once.

    Then an endpoint of 8 slots offers these slots after its zone was taken back
      | seconds | slots |
      | 0       | 1     |
      | 1       | 2     |
      | 2.5     | 4     |
      | 4.9     | 7     |
      | 5       | 8     |
      | 60      | 8     |
    And the share never falls, and endpoints of other zones offer all slots
    And a request waits while the offered slots of the only endpoint are in use

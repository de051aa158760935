Feature: Callers of cut-off daemons are served under load, however large the fleet

  Guards against cut-off daemons of a large fleet asking only each other. In simulated time, with the
  gateway's own exchanges, peers and path; the bound is the platform's.

  Scenario Outline: Of <daemons> daemons <cut> are cut off, <trouble> between daemons
    When a share <cut> of <daemons> daemons loses the path to all engines, with <trouble>
    Then from 3 seconds on their callers' first tries are served at least two thirds as often
    And no request runs more than 1.1 times on average

    Examples:
      | daemons | cut  | trouble       |
      | 6       | 0.17 | none          |
      | 6       | 0.83 | lost messages |
      | 12      | 0.5  | late messages |
      | 60      | 0.34 | none          |
      | 60      | 0.83 | lost messages |

  Scenario Outline: Slow endpoints are not taken for a lost path, <daemons> daemons
    Guards against all daemons refusing all callers for as long as all endpoints answer new connections
    late and one refuses them.
    When <daemons> daemons meet engines that answer new connections late, and one that refuses them
    Then first tries are served at least two thirds as often as without that

    Examples:
      | daemons |
      | 6       |
      | 60      |

Feature: A soak of the real programs under random faults keeps every promise

  Scenario: The plan of a seed is the same each time and knows how to do all it names
    Then the plan of seed 7 is the same twice and another one for seed 8
    And every kind of fault has an action

  Scenario Outline: Seeds keep the faults that they had before zones, cold endpoints and slow readers
    Verdicts of earlier runs name seeds; a draw from the same generator would give them other plans.
    Then the earlier faults of seed <seed> for <seconds> seconds have the digest <digest>

    Examples:
      | seed | seconds | digest           |
      | 3    | 2       | 0191e0f599e9c92e |
      | 11   | 4       | c3a3235337577f43 |
      | 12   | 6       | 68d3bf9e631718b4 |
      | 900  | 8       | 4f4bfb16bca9feaa |
      | 901  | 8       | 968bf6e585695832 |

  Scenario: Pauses of replicas come one by one, in series and overlapping, with other faults meanwhile
    Then the pauses of 200 seeds last 0.8 to 2.0 seconds and end within a run of 10 seconds
    And some of them follow each other at once, overlap and have each kind of fault in them

  Scenario: Evacuations of a plan last longer than daemons may take to obey, and end within the run
    Then each evacuation of 200 seeds lasts over 5 seconds and ends before a run of 10 seconds does

  Scenario: A short seeded run keeps the promises
    When the soak runs seed 11 for 4 seconds
    Then callers were served and no promise was broken

  Scenario Outline: A seeded run that once broke a promise keeps them: <once>
    When the soak runs seed <seed> for <seconds> seconds at its usual size
    Then callers were served and no promise was broken

    Examples:
      | seed | seconds | once                                                          |
      | 900  | 8       | a daemon that only forwards did not hear that an endpoint left |
      | 901  | 8       | three ended endpoints of five counted as a lost path           |

  Scenario: Requests that share a part which ends replicas are refused beside random faults
    When the soak runs seed 12 for 6 seconds with requests that end replicas by a part
    Then callers were served and no promise was broken

  Scenario Outline: A planted fault is found
    When the soak runs seed <seed> for <seconds> seconds with "<fault>" planted
    Then "<promise>" is called broken

    Examples:
      | fault            | seed | seconds | promise                                    |
      | repeat           | 3    | 2       | at most once                               |
      | spoil            | 3    | 2       | whole and own answers                      |
      | hide_evacuations | 12   | 9       | no work for an evacuated zone              |
      | hide_cold        | 27   | 6       | cold endpoints get no more than they bear  |
      | break_long       | 24   | 6       | slow readers get their whole answer        |
      | give_up_silent   | 288   | 4       | pauses of sound endpoints cost no answer   |
      | pass_everything_on | 10 | 2       | endless answers are bounded in bytes       |
      | miss_deadlines   | 10   | 2       | endless answers end with their requests    |
      | hoard_memory     | 3    | 1       | daemons fit their hosts                    |

  Scenario: No request ends replicas beside a planted fault that they would hide
    A replica that ends early does not exceed its cold limit, so that the planted fault goes unseen.
    When the soak runs seed 27 for 2 seconds with "hide_cold" planted
    Then no request that ends replicas was sent

  Scenario Outline: Each check finds what it exists for
    Given a history in which <what>
    Then "<promise>" is called broken

    Examples:
      | what                                     | promise                         |
      | a call ran twice                         | at most once                    |
      | a refused request ran                    | not run means not run           |
      | an answer belongs to another request     | whole and own answers           |
      | nobody asked for a run                   | only what was asked             |
      | a run names another organisation         | only what was asked             |
      | an endpoint ran a request long after     | no work for a leaving endpoint  |
      | a taken key is served long after         | accepted changes are in force   |
      | a leaving endpoint got more            | no work for an endpoint that says it leaves |
      | no daemon is known to have sent a request | senders are known |
      | an endpoint got more than it takes     | limits that endpoints name are kept |
      | an endpoint got requests in its pause  | endpoints get the rest that they ask for |
      | a cut-off daemon refused its callers     | hosts without a path serve their callers |
      | memory stays held                        | memory is given back            |
      | a daemon logged an error                 | no daemon logs an error         |
      | a caller still waits                     | every request ends              |
      | a request ended six replicas and went on | no request ends replicas for ever |
      | a healthy request is told to come back in ten minutes | healthy requests are not quarantined |
      | an evacuated zone got a request after 5.1 s | no work for an evacuated zone |
      | a cold endpoint got 9 requests in a second | cold endpoints get no more than they bear |
      | a cold endpoint got 9 requests from daemons that were disturbed | cold endpoints get no more than they bear |
      | a slow reader got half of its answer | slow readers get their whole answer |
      | a slow reader got half of its answer while the store was away | slow readers get their whole answer |
      | a slow reader got half of its answer from a daemon started 1 s before | slow readers get their whole answer |

  # Guards against a check that lets pass what the incident was: streams that broke off while sound
  # endpoints paused were counted neither as served nor as broken.
  Scenario Outline: The checks of pauses and endless answers find that <what>
    Given a history in which <what>
    Then "<promise>" is called broken

    Examples:
      | what                                                    | promise                                  |
      | a stream broke off while its endpoint paused            | pauses of sound endpoints cost no answer |
      | a call was answered 502 while its endpoint paused       | pauses of sound endpoints cost no answer |
      | a call was answered 504 after its endpoint went on      | pauses of sound endpoints cost no answer |
      | a connection ended while its endpoint paused            | pauses of sound endpoints cost no answer |
      | a stream broke off in a pause while its daemon began to stop | pauses of sound endpoints cost no answer |
      | 300 KB of endless comments were passed on               | endless answers are bounded in bytes     |
      | 5 MB of an endless failure were passed on               | endless answers are bounded in bytes     |
      | an endless answer was held 1.1 s beyond its deadline    | endless answers end with their requests  |
      | an endless answer was held 1.1 s after its caller left  | endless answers end with their requests  |
      | a daemon used 201 MB                                    | daemons fit their hosts                  |

  # Guards against a check that blames daemons for other troubles than the pause.
  Scenario Outline: The checks of pauses and endless answers blame no daemon where <what>
    Given a history in which <what>
    Then no promise is called broken

    Examples:
      | what                                                    |
      | a stream was served after its endpoint paused           |
      | a paused request was refused                            |
      | a paused request got its endpoint's own failure         |
      | a paused endpoint refused, and another one had lost the request |
      | a stream broke off without a pause                      |
      | a stream broke off and its endpoint did not go on in time |
      | a stream broke off in a pause and its daemon was killed |
      | a stream broke off in a pause in the last moment of a planned stop |
      | a stream broke off in a pause and its daemon was cut off |
      | a stream broke off in a pause and its endpoint crashed  |
      | a stream broke off in a pause and its endpoint cut it   |
      | a stream broke off in a pause and its caller left       |
      | 250 KB of endless comments were passed on               |
      | 4 MB of an endless failure were passed on               |
      | an endless answer was held 0.9 s beyond its deadline    |
      | an endless answer was held while its endpoint paused    |
      | a daemon used 199 MB                                    |

  Scenario Outline: Requests that wait at a paused endpoint count from when they reached it: <what>
    A pause lets through at once what was sent before an endpoint left or limited its requests.
    Given a history in which <what>
    Then <verdict>

    Examples:
      | what                                                     | verdict                    |
      | an endpoint ran a request in time that it read long after | no promise is called broken |
      | an endpoint that paused got more than it takes at first  | no promise is called broken |
      | an endpoint got requests in the pause that its paused answer asked for | "endpoints get the rest that they ask for" is called broken |
      | an endpoint got requests before its paused answer asked for a pause | no promise is called broken |

  Scenario Outline: The checks of zones, cold endpoints and slow readers blame no daemon for <what>
    Given a history in which <what>
    Then no promise is called broken

    Examples:
      | what                                                             |
      | an evacuated zone got a request after 4.9 s                      |
      | an evacuated zone got a request after it was taken back          |
      | an evacuated zone got a request from a daemon just started again |
      | another zone got a request while one was evacuated               |
      | a cold endpoint got 8 requests in a second                       |
      | an endpoint got 9 requests in a second before it turned cold     |
      | a slow reader's endpoint ended                                   |
      | a slow reader's daemon was killed                                |
      | the daemon to which a slow reader's one forwarded was killed     |
      | a slow reader's daemon was cut off from all endpoints            |
      | a slow reader was refused                                        |

  Scenario: The stand-ins tell daemons of evacuated zones and cold replicas
    Given a store and a replica of the second zone that turned cold for 60 seconds
    When the store accepts that "zone-b" is evacuated
    Then a daemon reads from the store that "zone-b" is evacuated
    And it reads that the replica in "zone-b" is cold
    And the replica's answers say that it is cold
    When the store drops that "zone-b" is evacuated
    Then a daemon reads from the store that no zone is evacuated

  # Guards against lost messages that show only as errors in a daemon's log.
  Scenario: The errors of a daemon are read from its log, also from lines that are cut
    Given the log of a daemon with an error, one with a cut line and one after a kill
    Then the three errors are found and no other line

  Scenario: Replicas that replace others keep both zones in service
    Given a soak with 4 replicas
    When each of 6 replicas in turn crashes
    Then two of its replicas are in each zone

  Scenario: A cut that silences connections loses what it held up
    A request that was held up in a cut of 5 s reached a replica after the cut and counted as sent then.
    Then a proxy passes on nothing that came during a silent cut

  Scenario: A cut-off daemon is not blamed while no other daemon runs
    # Two of three daemons were cut off and the third was killed; their failures then were compared with
    # what the third had served before.
    Given a cut-off daemon that refused its callers while the only other one was down
    Then "hosts without a path serve their callers" is kept

  Scenario Outline: Checks hold the daemon that sent a request, not the one that forwarded it
    A cut-off daemon forwarded to one that had been killed and started again 0.4 s before; it had not
    heard yet that an endpoint leaves, which counted against the daemon that forwarded.
    Given a leaving endpoint that got a forwarded request from a daemon that <sender>
    Then "no work for an endpoint that says it leaves" is <verdict>

    Examples:
      | sender                    | verdict       |
      | was started again just now | kept          |
      | nothing disturbed          | called broken |

  Scenario Outline: Checks take only the answer to the last send for received
    A daemon was killed before it passed the first answer on; the daemon that had forwarded to it was
    held to what that answer said.
    Given a daemon whose caller's request reached a leaving endpoint as its <which> send
    Then "no work for an endpoint that says it leaves" is <verdict>

    Examples:
      | which | verdict       |
      | first | kept          |
      | last  | called broken |

  Scenario: The proxy tells which process a connection is from
    A closed connection from the same port was found instead, so that no process was named.
    Then a proxy names this process for its connections, and none for those of others
    And it is named also where 16 closed connections had the same ports

  Scenario Outline: A replica that ends while it begins to leave does not end the soak: <fault>
    A request that ends replicas reached the one that the fault struck, between its choice and its
    removal: the run ended with an error instead of a verdict.
    Given a soak whose first replica ends while another one is started
    When "<fault>" strikes its first replica
    Then the soak has as many replicas as before

    Examples:
      | fault       |
      | drain       |
      | say_leaving |

  Scenario: The proxy harms connections as it is told
    Then a proxy passes, resets, silences and holds back answers

  Scenario: A paused target accepts connections, sends nothing and goes on
    Then a proxy whose target pauses for 0.6 seconds passes on afterwards what came before and in it
    And it says when that reached the target's host

  Scenario: No two listeners of a run get the same port
    A soak of seed 11 did not start: its log says EADDRINUSE, and its first daemon's settings name port
    31328 for callers and for readiness.
    Then 500 ports that are chosen one after the other differ

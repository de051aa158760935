"""Histories of a soak, each of which shows one thing to its checks."""

import math
from dataclasses import replace

from brassdrum.soak.history import (
    RECOVERY_SECONDS,
    ColdSpan,
    CutOff,
    EndlessAnswer,
    Evacuation,
    History,
    NamedLimit,
    ReplicaPause,
    Result,
    Send,
)
from brassdrum.soak.replicas import Arrival, Run, whole_answer

__all__ = ["HISTORIES", "arrival", "result", "run"]


def result(
    kind="hold", status=200, body=None, key="key-1", sent_at=0.0, retry_after=0.0, request="a"
):
    """Return what a caller saw of a request, a whole and right answer unless told otherwise."""
    body = whole_answer(kind, request) if body is None else body
    ended_at = sent_at + 0.1
    return Result(
        request, kind, "daemon-1", key, sent_at, ended_at, status, True, body, retry_after
    )


def run(at=0.0, organisation="org-1", request="a"):
    """Return one run of a request."""
    return Run(request, "replica-1", organisation, at, False, daemon="daemon-1")


def ending(at):
    return Run("a", "replica-1", "org-1", at, False, ending=True, daemon="daemon-1")


def arrival(at, request="a", replica="replica-1", pause=0.0, daemon="daemon-1"):
    """Return one request that reached a replica."""
    return Arrival(request, replica, at, pause, daemon)


def evacuated(at, zone="zone-b", **others):
    return History(
        [result(sent_at=at)],
        [run(at=at)],
        [arrival(at)],
        evacuations=[Evacuation("zone-b", 1.0, 9.0)],
        zone_by_replica={"replica-1": zone},
        **others,
    )


def cold(count, since=1.0, **others):
    arrivals = [arrival(1.0 + number / 10) for number in range(count)]
    spans = [ColdSpan("replica-1", 2.0, since, since + 4.0)]
    return History([result()], [run()], arrivals, cold_spans=spans, **others)


def slow(status=200, sender="daemon-1", **others):
    """Return a history with a long answer that broke off."""
    broken = replace(result(kind="long", status=status, body=b"half"), whole=False)
    runs = [run()] if status == 200 else []
    return History([broken], runs, [arrival(0.0, daemon=sender)], **others)


def paused(
    kind="text", status=200, whole=False, ended_at=3.0, left=False, until=3.5, ran=True, **others
):
    """Return a history of a request that was sent at 1.0 to an endpoint paused from 1.1 on."""
    body = whole_answer(kind, "a") if whole else b""
    seen = Result(
        "a", kind, "daemon-1", "key-1", 1.0, ended_at, status, whole, body, deadline=7.0, left=left
    )
    pauses = [ReplicaPause("replica-1", 1.1, until)] if until else []
    return History(
        [seen],
        [run(at=1.0)] if ran else [],
        [arrival(1.0)],
        sends=[Send("a", "replica-1", "daemon-1", 1.0)],
        pauses=pauses,
        **others,
    )


def killed(since, until):
    """Return a fault of the daemon, with the time after which it knows the newest state again."""
    return {"daemon-1": [(since, until + RECOVERY_SECONDS)]}


def endless(kind="event", received=0, until=1.5, ended_at=None, left=False, **others):
    """Return a history of a request with a deadline at 6.0, answered without end from 1.0 on."""
    ended_at = min(6.0, until) if ended_at is None else ended_at
    seen = Result(
        *("a", "text", "daemon-1", "key-1", 0.0, ended_at, 200, False, b"", 0.0, received),
        *(6.0, left),
    )
    answers = [EndlessAnswer("a", "replica-1", "daemon-1", kind, 1.0, until)]
    return History([seen], [run()], [arrival(0.0)], endless_answers=answers, **others)


def limited(pauses):
    """Return a history of an endpoint that names a limit at 1.0 and gets 12 requests at 4.1."""
    arrivals = [arrival(4.1 + number / 100) for number in range(12)]
    limits = [NamedLimit("replica-1", 1.0, 1.0)]
    return History([result()], [run()], arrivals, limits=limits, pauses=pauses)


def rested(first):
    """Return a history with three requests from a time on; a pause of 2 s was asked for at 3.0."""
    asked = Arrival("a", "replica-1", 1.0, 2.0, "daemon-1", handled_at=3.0)
    others = [arrival(first + number / 10) for number in range(3)]
    pauses = [ReplicaPause("replica-1", 0.9, 3.0)]
    return History([result()], [run()], [asked, *others], pauses=pauses)


HISTORIES = {
    "a stream broke off while its endpoint paused": paused(),
    "a call was answered 502 while its endpoint paused": paused("hold", 502, whole=True),
    "a call was answered 504 after its endpoint went on": paused("check", 504, True, ended_at=7.0),
    "a connection ended while its endpoint paused": paused(status=0),
    "a stream broke off in a pause while its daemon began to stop": paused(
        disturbed_by_daemon=killed(2.9, 6.9), stops_by_daemon=killed(2.9, 6.9)
    ),
    "a stream was served after its endpoint paused": paused(whole=True, ended_at=4.0),
    "a paused request was refused": paused(status=503, whole=True, ran=False),
    "a paused request got its endpoint's own failure": paused(status=500, whole=True),
    "a paused endpoint refused, and another one had lost the request": paused(
        status=502, whole=True, ran=False
    ),
    "a stream broke off without a pause": paused(until=None),
    "a stream broke off and its endpoint did not go on in time": paused(until=6.3),
    "a stream broke off in a pause and its daemon was killed": paused(
        disturbed_by_daemon=killed(3.0, 4.0)
    ),
    "a stream broke off in a pause in the last moment of a planned stop": paused(
        disturbed_by_daemon=killed(-1.0, 3.0), stops_by_daemon=killed(-1.0, 3.0)
    ),
    "a stream broke off in a pause and its daemon was cut off": paused(
        cuts=[CutOff(frozenset({"daemon-1"}), 2.0, 7.0)]
    ),
    "a stream broke off in a pause and its endpoint crashed": paused(
        harmed_by_replica={"replica-1": [(3.2, math.inf)]}
    ),
    "a stream broke off in a pause and its endpoint cut it": paused(spoilt={"a"}),
    "a stream broke off in a pause and its caller left": paused(left=True),
    "300 KB of endless comments were passed on": endless("comments", received=300 << 10),
    "250 KB of endless comments were passed on": endless("comments", received=250 << 10),
    "5 MB of an endless failure were passed on": endless("failure", received=5 << 20),
    "4 MB of an endless failure were passed on": endless("failure", received=4 << 20),
    "an endless answer was held 1.1 s beyond its deadline": endless(until=7.1),
    "an endless answer was held 0.9 s beyond its deadline": endless(until=6.9),
    "an endless answer was held 1.1 s after its caller left": endless(
        until=5.1, ended_at=4.0, left=True
    ),
    "an endless answer was held while its endpoint paused": endless(
        until=8.5, pauses=[ReplicaPause("replica-1", 5.0, 7.6)]
    ),
    "a daemon used 201 MB": History([result()], [run()], peak_mb_by_daemon={"daemon-1": 201.0}),
    "a daemon used 199 MB": History([result()], [run()], peak_mb_by_daemon={"daemon-1": 199.0}),
    "an endpoint ran a request in time that it read long after": History(
        [result()],
        [replace(run(at=6.0), arrived_at=5.0)],
        left_at_by_replica={"replica-1": 1.0},
    ),
    "an endpoint that paused got more than it takes at first": limited(
        [ReplicaPause("replica-1", 0.9, 2.0)]
    ),
    "an endpoint got requests in the pause that its paused answer asked for": rested(first=3.6),
    "an endpoint got requests before its paused answer asked for a pause": rested(first=2.0),
    "a call ran twice": History([result()], [run(), run()]),
    "a refused request ran": History([result(status=503)], [run()]),
    "an answer belongs to another request": History([result(body=b"done b")], [run()]),
    "nobody asked for a run": History([result()], [run(), run(request="b")]),
    "a run names another organisation": History([result()], [run(organisation="org-2")]),
    "an endpoint ran a request long after": History(
        [result()], [run(at=9.0)], left_at_by_replica={"replica-1": 1.0}
    ),
    "a taken key is served long after": History(
        [result(sent_at=9.0)], [run(at=9.0)], revoked_at_by_key={"key-1": 1.0}
    ),
    "a leaving endpoint got more": History(
        [result(), result(sent_at=3.0, request="b")],
        [run(), run(at=3.0, request="b")],
        [arrival(0.0), arrival(3.0, request="b")],
        said_leaving_at_by_replica={"replica-1": -1.0},
    ),
    "no daemon is known to have sent a request": History(
        [result()], [run()], [arrival(0.0, daemon="")]
    ),
    "an endpoint got more than it takes": History(
        [result()],
        [run()],
        [arrival(5.0 + number / 10) for number in range(12)],
        [NamedLimit("replica-1", 1.0, 1.0)],
    ),
    "an endpoint got requests in its pause": History(
        [result()],
        [run()],
        [arrival(1.0, pause=2.0)] + [arrival(2.0 + number / 10) for number in range(3)],
    ),
    "a cut-off daemon refused its callers": History(
        [
            Result("a", "hold", daemon, "key-1", at / 10, at / 10, status, True, b"done a")
            for at in range(31, 50)
            for daemon, status in (("daemon-1", 502), ("daemon-2", 200))
        ],
        [run()],
        cuts=[CutOff(frozenset({"daemon-1"}), 0.0, 5.0)],
    ),
    "memory stays held": History([result()], [run()], held_at_end=5),
    "a request ended six replicas and went on": History(
        [result(kind="ending", status=502)], [ending(float(at)) for at in range(12)]
    ),
    "a healthy request is told to come back in ten minutes": History(
        [result(status=503, retry_after=599.0)], []
    ),
    "a daemon logged an error": History(
        [result()], [run()], errors_by_daemon={"daemon-1": ["event handler failed: KeyError: 'a'"]}
    ),
    "a caller still waits": History([result()], [run()], unfinished=1),
    "an evacuated zone got a request after 5.1 s": evacuated(at=6.1),
    "an evacuated zone got a request after 4.9 s": evacuated(at=5.9),
    "an evacuated zone got a request after it was taken back": evacuated(at=9.1),
    "an evacuated zone got a request from a daemon just started again": evacuated(
        at=7.0, disturbed_by_daemon={"daemon-1": [(6.0, 9.5)]}
    ),
    "another zone got a request while one was evacuated": evacuated(at=7.0, zone="zone-a"),
    "a cold endpoint got 9 requests in a second": cold(9),
    "a cold endpoint got 9 requests from daemons that were disturbed": cold(
        9, disturbed_by_daemon={"all": [(0.0, 9.0)]}
    ),
    "a cold endpoint got 8 requests in a second": cold(8),
    "an endpoint got 9 requests in a second before it turned cold": cold(9, since=2.0),
    "a slow reader got half of its answer": slow(),
    "a slow reader got half of its answer while the store was away": slow(
        disturbed_by_daemon={"all": [(0.0, 9.0)]}
    ),
    "a slow reader got half of its answer from a daemon started 1 s before": slow(
        disturbed_by_daemon={"daemon-1": [(-1.0, 2.5)]}
    ),
    "a slow reader's endpoint ended": slow(harmed_by_replica={"replica-1": [(0.05, math.inf)]}),
    "a slow reader's daemon was killed": slow(disturbed_by_daemon={"daemon-1": [(0.05, 4.5)]}),
    "the daemon to which a slow reader's one forwarded was killed": slow(
        sender="daemon-2", disturbed_by_daemon={"daemon-2": [(0.05, 4.5)]}
    ),
    "a slow reader's daemon was cut off from all endpoints": slow(
        cuts=[CutOff(frozenset({"daemon-1"}), 0.05, 5.0)]
    ),
    "a slow reader was refused": slow(status=503),
}

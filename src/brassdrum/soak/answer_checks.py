"""Check what daemons do about replicas that pause, and about answers that never end."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from brassdrum.soak.endless import FAILURE_KIND
from brassdrum.soak.history import History, ReplicaPause, Result, Send, Violation
from brassdrum.soak.long_answers import LONG_KIND

__all__ = ["bounded_bytes", "bounded_time", "memory_bound", "pauses_cost_none"]

_NOT_JUDGED_KINDS = ("ending", LONG_KIND)
_CONNECTION_ENDED = 0
_FAILED_STATUSES = (_CONNECTION_ENDED, 502, 504)
# What a replica needs for an answer (0.12 s) on a busy machine.
_GO_ON_SECONDS = 1.0
# Faults touch requests a moment before and after the times that are noted.
_SLACK_SECONDS = 0.5
# A daemon closes the connection of an endless answer this long after the deadline at the latest.
_CLOSE_SECONDS = 1.0
# docs/design/endless-answers.md: 64 KB of comments since the last event, from each of two attempts,
# and 4 MB of a failure's body; what exceeds a bound may come with one read of 64 KB.
_READ_BYTES = 65536
_NO_ANSWER_BYTES = 2 * (65536 + _READ_BYTES)
_FAILURE_BYTES = (4 << 20) + _READ_BYTES
# The smallest hosts have 200 MB, all of it for the daemon.
_HOST_MB = 200.0


def pauses_cost_none(history: History) -> Iterator[Violation]:
    """Find requests that were broken off or failed for the pause of a sound replica alone.

    A request is held against the daemons if it had reached the host of a replica that was paused
    then, that ran it, and that was awake long enough for an answer between this and its deadline.
    Another attempt that is refused or lost is no excuse: this one is to be waited for. Not
    held against them are requests of callers that left, and those that another trouble touched: a
    daemon on their way was killed, paused, cut off or in the last moment of a planned stop; a
    replica that they had reached crashed, was behind a harmed link, or broke their answer off.
    """
    sends: dict[str, list[Send]] = defaultdict(list)
    for send in history.sends:
        sends[send.request].append(send)
    ran = {(run.request, run.replica) for run in history.runs}
    for result in history.results:
        if result.left or result.kind in _NOT_JUDGED_KINDS or not _is_broken(result):
            continue
        own = sends[result.request]
        paused = [
            pause
            for send in own
            if (send.request, send.replica) in ran
            for pause in _pauses_under(history, send, result)
        ]
        if not paused or _has_other_trouble(history, result, own, paused):
            continue
        names = ", ".join(sorted({each.replica for each in paused}))
        seconds = result.ended_at - result.sent_at
        detail = f"{result.kind} at {result.daemon}: status {result.status} after {seconds:.1f} s, "
        detail += f"{len(own)} sends, {names} paused and went on"
        yield Violation("pauses of sound endpoints cost no answer", result.request, detail)


def _is_broken(result: Result) -> bool:
    return result.status in _FAILED_STATUSES or (result.status == 200 and not result.whole)


def _pauses_under(history: History, send: Send, result: Result) -> list[ReplicaPause]:
    """Return the pauses of a replica under a request that leave enough of its time."""
    if history.awake_for(send.replica, send.at, _GO_ON_SECONDS) > result.deadline:
        return []
    return [
        pause
        for pause in history.pauses
        if pause.replica == send.replica
        and pause.since <= result.ended_at
        and send.at <= pause.until
    ]


def _has_other_trouble(
    history: History, result: Result, sends: list[Send], paused: list[ReplicaPause]
) -> bool:
    since, until = result.sent_at - _SLACK_SECONDS, result.ended_at + _SLACK_SECONDS
    went_on_at = max([until, *(pause.until for pause in paused)])
    daemons = {result.daemon, *(send.daemon for send in sends)}
    return (
        "" in daemons
        or result.request in history.spoilt
        or not all(history.serves(daemon, since, until, _SLACK_SECONDS) for daemon in daemons)
        or any(
            cut.since <= until and since <= cut.until
            for cut in history.cuts
            if cut.daemons & daemons
        )
        or not all(history.unharmed(send.replica, send.at, went_on_at) for send in sends)
    )


def bounded_bytes(history: History) -> Iterator[Violation]:
    """Find requests with an endless answer of which more was passed on than the bound."""
    received = {result.request: result.received for result in history.results}
    for answer in history.endless_answers:
        count = received.get(answer.request, 0)
        fails = answer.kind == FAILURE_KIND
        if count > (_FAILURE_BYTES if fails else _NO_ANSWER_BYTES):
            detail = f"{count} bytes passed on, {answer.kind} of {answer.replica}"
            yield Violation("endless answers are bounded in bytes", answer.request, detail)


def bounded_time(history: History) -> Iterator[Violation]:
    """Find endless answers that a daemon held a second longer than their request took.

    A request ends with its answer, when its caller leaves, and at its deadline.
    """
    result_by_request = {result.request: result for result in history.results}
    for answer in history.endless_answers:
        result = result_by_request.get(answer.request)
        if result is None:
            continue
        ended_at = min(result.deadline, result.ended_at)
        # While a replica is paused it does not see that its connection was closed.
        seen_at = history.awake_for(answer.replica, ended_at, _CLOSE_SECONDS)
        daemons = {answer.daemon, result.daemon}
        if (
            answer.until > seen_at
            and "" not in daemons
            and all(history.runs_on(daemon, answer.since, answer.until) for daemon in daemons)
            and history.unharmed(answer.replica, answer.since, answer.until)
            and not any(
                cut.since <= answer.until and answer.since <= cut.until
                for cut in history.cuts
                if cut.daemons & daemons
            )
        ):
            late = answer.until - ended_at
            detail = (
                f"{answer.daemon} held it {late:.1f} s longer, {answer.kind} of {answer.replica}"
            )
            yield Violation("endless answers end with their requests", answer.request, detail)


def memory_bound(history: History) -> Iterator[Violation]:
    """Find daemons that used more memory than the smallest hosts have."""
    for daemon, peak in history.peak_mb_by_daemon.items():
        if peak > _HOST_MB:
            detail = f"{peak:.0f} MB, {_HOST_MB:.0f} allowed"
            yield Violation("daemons fit their hosts", daemon, detail)

"""Check what daemons do about replicas that pause."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from brassdrum.soak.history import History, ReplicaPause, Result, Send, Violation
from brassdrum.soak.long_answers import LONG_KIND

__all__ = ["pauses_cost_none"]

_NOT_JUDGED_KINDS = ("ending", LONG_KIND)
_CONNECTION_ENDED = 0
_FAILED_STATUSES = (_CONNECTION_ENDED, 502, 504)
# What a replica needs for an answer (0.12 s) on a busy machine.
_GO_ON_SECONDS = 1.0
# Faults touch requests a moment before and after the times that are noted.
_SLACK_SECONDS = 0.5


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

"""Judge a soak by what callers and replicas saw; each promise is one registered check."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from brassdrum.bench.limits import WINDOW_SECONDS, allowed_requests
from brassdrum.registry import Registry
from brassdrum.soak.answer_checks import bounded_bytes, bounded_time, memory_bound, pauses_cost_none
from brassdrum.soak.history import History, Result, Violation
from brassdrum.soak.load_checks import cold_bound, evacuated_zones, slow_readers
from brassdrum.soak.replicas import Run, whole_answer

__all__ = ["CHECKS", "judge"]

_PROMISED_NOT_RUN = (408, 421, 429, 503)
# Three ends are proof; three more sends are borne after the time in which all daemons hear of it.
_PROOF_ENDS = 3
_MORE_SENDS = 3
_HEARD_SECONDS = 3.0
# Other refusals ask callers to come back within the time that they have, 6 s here.
_QUARANTINE_SECONDS = 60.0
# A change is in force within 2 s; the rest covers what is under way and a busy machine.
_IN_FORCE_SECONDS = 4.5
# What endpoints say of themselves: the platform's bounds.
_DRAIN_SECONDS = 2.0
_TOLD_SECONDS = 3.0
_PAUSE_GRACE_SECONDS = 0.5
_MORE_IN_PAUSE = 2
# The platform's bounds for hosts that reach no replica.
_FOUND_OUT_SECONDS = 3.0
_SERVED_RATIO = 2 / 3
_MORE_FAILED = 10
_FAILED_SHARE = 1 / 50


Check = Callable[[History], Iterator[Violation]]
CHECKS: Registry[Check] = Registry("soak check")
CHECKS.register("no work for an evacuated zone")(evacuated_zones)
CHECKS.register("cold endpoints get no more than they bear")(cold_bound)
CHECKS.register("slow readers get their whole answer")(slow_readers)
CHECKS.register("pauses of sound endpoints cost no answer")(pauses_cost_none)
CHECKS.register("endless answers are bounded in bytes")(bounded_bytes)
CHECKS.register("endless answers end with their requests")(bounded_time)
CHECKS.register("daemons fit their hosts")(memory_bound)


def judge(history: History) -> list[Violation]:
    """Return all broken promises."""
    found = []
    for name in CHECKS:
        found.extend(CHECKS.get(name)(history))
    return found


def _runs_by_request(history: History) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs[run.request].append(run)
    return runs


@CHECKS.register("at most once")
def at_most_once(history: History) -> Iterator[Violation]:
    """Find calls that may run once and ran twice."""
    runs = _runs_by_request(history)
    for result in history.results:
        count = len(runs[result.request])
        if result.kind == "hold" and count > 1:
            yield Violation("at most once", result.request, f"ran {count} times")


@CHECKS.register("not run means not run")
def not_run(history: History) -> Iterator[Violation]:
    """Find requests that were refused as not run and ran."""
    runs = _runs_by_request(history)
    for result in history.results:
        if result.status in _PROMISED_NOT_RUN and runs[result.request]:
            yield Violation("not run means not run", result.request, f"status {result.status}")


@CHECKS.register("whole and own answers")
def whole_answers(history: History) -> Iterator[Violation]:
    """Find successes with a body that is not the request's whole answer."""
    for result in history.results:
        if result.status != 200 or not result.whole:
            continue
        if result.body != whole_answer(result.kind, result.request):
            yield Violation("whole and own answers", result.request, repr(result.body[:80]))


@CHECKS.register("only what was asked")
def only_asked(history: History) -> Iterator[Violation]:
    """Find runs that no caller asked for, or for the wrong organisation."""
    key_by_request = {result.request: result.key for result in history.results}
    for run in history.runs:
        key = key_by_request.get(run.request)
        if key is None:
            yield Violation("only what was asked", run.request, "no caller sent it")
            continue
        if history.organisation_by_key.get(key) != run.organisation:
            yield Violation("only what was asked", run.request, f"as {run.organisation}")


@CHECKS.register("senders are known")
def senders_known(history: History) -> Iterator[Violation]:
    """Find a run in which checks would pass over most requests, since their daemon is unknown."""
    requests = {result.request for result in history.results}
    arrivals = [each for each in history.arrivals if each.request in requests]
    unknown = sum(not each.daemon for each in arrivals)
    if unknown > len(arrivals) / 2:
        yield Violation("senders are known", "", f"{unknown} of {len(arrivals)} are not")


@CHECKS.register("no work for a leaving endpoint")
def leaving(history: History) -> Iterator[Violation]:
    """Find runs at endpoints that had left for longer than the bound."""
    for run in history.runs:
        left_at = history.left_at_by_replica.get(run.replica)
        if left_at is None or run.sent_at <= left_at + _IN_FORCE_SECONDS:
            continue
        if history.calm(run.daemon, left_at, run.at):
            yield Violation("no work for a leaving endpoint", run.request, run.replica)


@CHECKS.register("no work for an endpoint that says it leaves")
def said_leaving(history: History) -> Iterator[Violation]:
    """Find requests sent to a replica long after a daemon had heard that it leaves.

    Whoever sends or forwards hears it, and all that nothing disturbed since then know it.
    """
    result_by_request = {result.request: result for result in history.results}
    informed_at: dict[tuple[str, str], float] = {}
    arrivals = sorted(history.arrivals, key=lambda each: each.at)
    last_by_request = {each.request: each for each in arrivals}
    for arrival in arrivals:
        result = result_by_request.get(arrival.request)
        said_at = history.said_leaving_at_by_replica.get(arrival.replica)
        # A response to what arrived before may not say so yet.
        if result is None or said_at is None or arrival.at <= said_at:
            continue
        for informed in {result.daemon, arrival.daemon}:
            since = informed_at.get((informed, arrival.replica))
            if since is None or result.sent_at <= since + _DRAIN_SECONDS:
                continue
            if not all(
                history.calm(daemon, since, arrival.at) for daemon in (informed, arrival.daemon)
            ):
                continue
            promise = "no work for an endpoint that says it leaves"
            ago = f"{result.sent_at - since:.1f} s after it had told {informed}"
            detail = f"{arrival.replica} {ago}, status {result.status}, sent by {arrival.daemon}"
            yield Violation(promise, arrival.request, detail)
            break
        # Only the answer to the last send is known to have come.
        if result.status == 200 and last_by_request[arrival.request] is arrival:
            for informed in (result.daemon, arrival.daemon):
                informed_at.setdefault((informed, arrival.replica), result.ended_at)


@CHECKS.register("limits that endpoints name are kept")
def limits(history: History) -> Iterator[Violation]:
    """Find windows with more requests than a replica takes, from daemons that nothing disturbed."""
    for named in history.limits:
        # A replica tells nothing while it is paused.
        begin = history.awake_for(named.replica, named.since, _TOLD_SECONDS)
        times = [
            each.at
            for each in history.arrivals
            if each.replica == named.replica
            and each.at > begin
            and history.calm(each.daemon, named.since, each.at)
        ]
        allowed = allowed_requests(named.limit)
        for at in times:
            count = sum(1 for each in times if at <= each < at + WINDOW_SECONDS)
            if count > allowed:
                detail = f"{named.replica}: {count} requests in 4 s, limit {named.limit}"
                yield Violation("limits that endpoints name are kept", "", detail)
                break


@CHECKS.register("endpoints get the rest that they ask for")
def rests(history: History) -> Iterator[Violation]:
    """Find replicas that got more than two requests of a daemon in a pause they had asked for."""
    for asked in history.arrivals:
        daemon = asked.daemon
        told_at = history.awake_for(asked.replica, asked.answered_at, 0.0)
        end = told_at + asked.pause
        if not asked.pause or not daemon or not history.calm(daemon, told_at, end):
            continue
        count = sum(
            1
            for each in history.arrivals
            if each.replica == asked.replica
            and told_at + _PAUSE_GRACE_SECONDS < each.at < end
            and each.daemon == daemon
        )
        if count > _MORE_IN_PAUSE:
            detail = f"{asked.replica} got {count} of {daemon}"
            yield Violation("endpoints get the rest that they ask for", asked.request, detail)


@CHECKS.register("accepted changes are in force")
def in_force(history: History) -> Iterator[Violation]:
    """Find requests served with a key that was taken away longer ago than the bound."""
    for result in history.results:
        revoked_at = history.revoked_at_by_key.get(result.key)
        if revoked_at is None or result.status != 200:
            continue
        if result.sent_at <= revoked_at + _IN_FORCE_SECONDS:
            continue
        if history.calm(result.daemon, revoked_at, result.sent_at):
            late = result.sent_at - revoked_at
            yield Violation("accepted changes are in force", result.request, f"{late:.1f} s late")


@CHECKS.register("no request ends replicas for ever")
def ending(history: History) -> Iterator[Violation]:
    """Find sends of a request that had ended three replicas before."""
    runs = sorted((run for run in history.runs if run.ending), key=lambda run: run.at)
    if len(runs) <= _PROOF_ENDS:
        return
    proven_at = runs[_PROOF_ENDS - 1].at
    late = [
        run
        for run in runs[_PROOF_ENDS:]
        if run.sent_at > proven_at + _HEARD_SECONDS
        and history.calm(run.daemon, run.at - _HEARD_SECONDS, run.at)
    ]
    if len(late) > _MORE_SENDS:
        detail = f"{len(late)} sends after three ends, {len(runs)} ends"
        yield Violation("no request ends replicas for ever", late[-1].request, detail)


@CHECKS.register("healthy requests are not quarantined")
def healthy(history: History) -> Iterator[Violation]:
    """Find requests that ended nothing and were refused for as long as those that do."""
    for result in history.results:
        if result.kind == "ending" or result.retry_after < _QUARANTINE_SECONDS:
            continue
        detail = f"told to come back after {result.retry_after:.0f} s"
        yield Violation("healthy requests are not quarantined", result.request, detail)


@CHECKS.register("hosts without a path serve their callers")
def cut_hosts(history: History) -> Iterator[Violation]:
    """Find spans in which callers of cut-off daemons were served far less than the others.

    While no other daemon runs undisturbed, a cut-off one has nobody to forward to.
    """
    daemons = {each.daemon for each in history.results}
    for cut in history.cuts:
        begin = cut.since + _FOUND_OUT_SECONDS
        seen = [
            each
            for each in history.results
            if begin <= each.sent_at
            and each.ended_at <= cut.until
            and each.kind != "ending"
            and each.status not in (401, 404)
            and history.calm(each.daemon, begin, each.ended_at)
        ]
        at_cut = [
            each
            for each in seen
            if each.daemon in cut.daemons
            and any(
                history.calm(other, each.sent_at, each.ended_at) for other in daemons - cut.daemons
            )
        ]
        others = [each for each in seen if each.daemon not in cut.daemons]
        if not at_cut or not others:
            continue
        failed = sum(not _is_served(each) for each in at_cut)
        share = 1 - failed / len(at_cut)
        other_share = sum(map(_is_served, others)) / len(others)
        allowed = _MORE_FAILED + _FAILED_SHARE * len(at_cut)
        if share < _SERVED_RATIO * other_share and failed > allowed:
            detail = f"{failed} of {len(at_cut)} failed, the others served {other_share:.2f}"
            yield Violation("hosts without a path serve their callers", "", detail)


def _is_served(result: Result) -> bool:
    return result.status == 200 and result.whole


@CHECKS.register("memory is given back")
def memory(history: History) -> Iterator[Violation]:
    """Find memory that stays held after all requests ended."""
    if history.held_at_end:
        yield Violation("memory is given back", "", f"{history.held_at_end} tokens held")


@CHECKS.register("no daemon logs an error")
def logged_errors(history: History) -> Iterator[Violation]:
    """Find unexpected exceptions that daemons logged; the handler that raised did not finish."""
    for daemon, errors in history.errors_by_daemon.items():
        for error in sorted(set(errors)):
            detail = f"{error} ({errors.count(error)} times)"
            yield Violation("no daemon logs an error", daemon, detail)


@CHECKS.register("every request ends")
def ends(history: History) -> Iterator[Violation]:
    """Find callers that still wait at the end."""
    if history.unfinished:
        yield Violation("every request ends", "", f"{history.unfinished} callers still wait")

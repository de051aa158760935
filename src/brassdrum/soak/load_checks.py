"""Check what daemons do about evacuated zones, cold replicas and callers that read slowly."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from brassdrum.soak.history import History, Violation
from brassdrum.soak.long_answers import LONG_KIND
from brassdrum.soak.replicas import Arrival, whole_answer

__all__ = ["cold_bound", "evacuated_zones", "slow_readers"]

# Daemons have this long to obey an evacuation.
_EVACUATION_SECONDS = 5.0
# A cold replica takes its rate by this factor, and some requests more, in any second.
_COLD_RATE_FACTOR = 1.5
_COLD_EXTRA_REQUESTS = 5
_COLD_WINDOW_SECONDS = 1.0


def evacuated_zones(history: History) -> Iterator[Violation]:
    """Find requests that reached an evacuated zone from daemons in touch, later than the bound."""
    for evacuation in history.evacuations:
        for arrival in history.arrivals:
            if history.zone_by_replica.get(arrival.replica) != evacuation.zone:
                continue
            begin = evacuation.since + _EVACUATION_SECONDS
            if not begin < arrival.at < evacuation.until:
                continue
            if history.calm(arrival.daemon, arrival.at, arrival.at):
                ago = f"{arrival.at - evacuation.since:.1f} s after {evacuation.zone} was evacuated"
                detail = f"{arrival.replica} {ago}, sent by {arrival.daemon}"
                yield Violation("no work for an evacuated zone", arrival.request, detail)


def cold_bound(history: History) -> Iterator[Violation]:
    """Find seconds in which a cold replica got more than it bears, whoever sent it."""
    for span in history.cold_spans:
        times = [
            each.at
            for each in history.arrivals
            if each.replica == span.replica and span.since <= each.at < span.until
        ]
        allowed = span.rate * _COLD_RATE_FACTOR + _COLD_EXTRA_REQUESTS
        most, begin = 0, 0.0
        for at in times:
            count = sum(at <= each < at + _COLD_WINDOW_SECONDS for each in times)
            if count > most:
                most, begin = count, at
        if most > allowed:
            when = f"{begin - span.since:.2f} s after it had turned cold"
            detail = f"{span.replica}: {most} requests in 1 s, {allowed:g} allowed, {when}"
            yield Violation("cold endpoints get no more than they bear", "", detail)


def slow_readers(history: History) -> Iterator[Violation]:
    """Find slow readers whose answer had begun and broke off though its path was whole.

    A long answer is not sent again after it has begun, so a path that breaks ends it.
    """
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        arrivals[arrival.request].append(arrival)
    for result in history.results:
        if result.kind != LONG_KIND or result.status != 200:
            continue
        if result.whole and result.body == whole_answer(result.kind, result.request):
            continue
        sends = sorted(arrivals[result.request], key=lambda each: each.at)
        alive = history.runs_on(result.daemon, result.sent_at, result.ended_at)
        if sends and alive and history.path_kept(sends[-1], result.ended_at):
            after = f"{result.ended_at - result.sent_at:.1f} s after it was sent"
            detail = f"{result.daemon} ended it {after}, sent by {sends[-1].daemon}"
            yield Violation("slow readers get their whole answer", result.request, detail)

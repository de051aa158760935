"""Play the decision on requests that end endpoints, over daemons that lose reports.

All times are simulated.

Daemons before endpoints serve healthy callers; some contents end each endpoint that begins to run
them, and their callers come again at another daemon. A play counts what that costs: endpoints
ended for each such content, healthy contents refused, healthy streams broken.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.outcomes.crash_evidence import SOON_SECONDS
from brassdrum.outcomes.crash_reports import CrashReport
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.outcomes.quarantine import SURVIVAL_SECONDS, ContentStatus, Quarantine

__all__ = [
    "Attempt",
    "EndingPlan",
    "EndingPlay",
    "EndingPoint",
    "EndingResult",
    "measure_endings",
    "play_endings",
    "plans",
]

_REPORT_INTERVAL_SECONDS = 0.1
# A daemon that sees an end reports it after the pause in which its changes wait for others.
_REPORT_DELAY_AFTER_END_SECONDS = 0.005
_REPORT_TRANSIT_SECONDS = 0.002
_BACK_SECONDS = 3.3
# From the start of a guilty request to its endpoint's end, least and most, as seen on engines.
_END_SECONDS = (0.05, 0.4)
# How far apart daemons see one end.
_SEEN_WITHIN_SECONDS = 0.02
_STREAM_SECONDS = (0.5, 2.0)
_HEALTHY_EACH_SECONDS = 2.0
# A page that is polled: the next request comes within this of the one before.
_POPULAR_EACH_SECONDS = (0.1, 0.5)
_SENDS = 2
_TRIES = 3
_RETRY_SECONDS = 1.0
_ALONE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class EndingPlan:
    """Say what is played; times are simulated seconds.

    ``every`` parts the attempts of a guilty content's caller, ``apart`` the first attempts of the
    guilty contents. ``at_once`` daemons get the first attempt of each in one moment. ``failures``
    times a number of endpoints ends in one moment for reasons of its own. Besides the
    ``callers``, so many as are ``popular`` ask for one healthy content again and again. Of
    the reports that daemons send each other a share is ``reports_lost``; the others are
    ``reports_late``.
    """

    guilty: int
    every: float
    apart: float = 0.0
    at_once: int = 1
    failures: int = 0
    failed_together: int = 0
    seconds: float = 25.0
    daemons: int = 12
    endpoints: int = 40
    callers: int = 120
    popular: int = 0
    reports_lost: float = 0.1
    reports_late: float = 0.0
    ends_after: tuple[float, float] = _END_SECONDS

    @property
    def label(self) -> str:
        """Return a short name for tables."""
        beside = f", beside {self.popular} callers of one healthy content" if self.popular else ""
        if self.failures:
            return f"{self.failures} failures of {self.failed_together} endpoints at once{beside}"
        where = f" at {self.at_once} daemons at once" if self.at_once > 1 else ""
        begun = f", begun {self.apart} s apart" if self.apart else ""
        least, most = self.ends_after
        after = f", each end after {least} to {most} s" if self.ends_after != _END_SECONDS else ""
        return f"{self.guilty} guilty{where}{begun}{after}, back every {self.every} s{beside}"


@dataclass(frozen=True, slots=True)
class EndingResult:
    """Count what a play cost; ``ended`` holds the endpoints that each guilty content ended."""

    ended: tuple[int, ...]
    healthy_refused: int
    streams_broken: int


@dataclass(frozen=True, slots=True)
class EndingPoint:
    """Sum up the plays of a plan over seeds."""

    plan: str
    seeds: int
    middle: float
    worst: int
    over_three: int
    healthy_refused: int
    streams_broken: int


@dataclass(slots=True)
class Attempt:
    """Hold one request of a caller while it is sent, twice at most."""

    traits: RequestTraits
    daemon: int
    guilty: int | None
    tries: int
    sends: int = 0
    sent_at: float = 0.0
    was_at: set[int] = field(default_factory=set)


class _Endpoint:
    """Hold one place of the fleet; each start there is another endpoint with a key of its own."""

    def __init__(self, key: int) -> None:
        self.key = key
        self.up = True
        self.attempts: list[Attempt] = []


def play_endings(plan: EndingPlan, seed: int) -> EndingResult:
    """Play a plan once."""
    return EndingPlay(plan, seed).run()


def measure_endings(plan: EndingPlan, seeds: Iterable[int]) -> EndingPoint:
    """Play a plan with each seed and sum up."""
    results = [play_endings(plan, seed) for seed in seeds]
    ended = [count for result in results for count in result.ended] or [0]
    return EndingPoint(
        plan=plan.label,
        seeds=len(results),
        middle=statistics.median(ended),
        worst=max(ended),
        over_three=sum(count > 3 for count in ended),
        healthy_refused=sum(result.healthy_refused for result in results),
        streams_broken=sum(result.streams_broken for result in results),
    )


class EndingPlay:
    """Play daemons before endpoints in simulated time; one instance plays once."""

    def __init__(self, plan: EndingPlan, seed: int) -> None:
        self._plan = plan
        self._random = random.Random(seed)
        self._loop = SimulatedLoop()
        self._daemons = [Quarantine() for _ in range(plan.daemons)]
        self._endpoints = [self._new_endpoint() for _ in range(plan.endpoints)]
        self._alone_until: dict[tuple[int, int], float] = {}
        self._ended = [0] * plan.guilty
        self._refused_guilty: set[int] = set()
        self._healthy_refused: set[str] = set()
        self._broken = 0
        self._contents = 0
        self._sends_soon: set[int] = set()

    def run(self) -> EndingResult:
        """Play the plan."""
        plan = self._plan
        self._start_sending()
        for _ in range(plan.callers):
            start = self._random.uniform(0.0, _HEALTHY_EACH_SECONDS)
            self._loop.call_later(start, self._healthy)
        for _ in range(plan.popular):
            start = self._random.uniform(0.0, _HEALTHY_EACH_SECONDS)
            self._loop.call_later(start, self._popular)
        for guilty in range(plan.guilty):
            start = _HEALTHY_EACH_SECONDS + guilty * plan.apart + self._random.uniform(0.0, 0.05)
            self._loop.call_later(start, lambda g=guilty: self._first_attempts(g))
        for number in range(plan.failures):
            start = _HEALTHY_EACH_SECONDS + number * plan.seconds / (plan.failures + 1)
            self._loop.call_later(start, self._fail_together)
        self._loop.advance(plan.seconds)
        return EndingResult(tuple(self._ended), len(self._healthy_refused), self._broken)

    def _start_sending(self) -> None:
        for daemon in range(self._plan.daemons):
            self._loop.call_later(
                self._random.uniform(0.0, _REPORT_INTERVAL_SECONDS),
                lambda d=daemon: self._send_each_interval(d),
            )

    # Callers.

    def _healthy(self) -> None:
        self._contents += 1
        daemon = self._random.randrange(self._plan.daemons)
        self._begin(Attempt(self._traits(self._contents), daemon, None, 1))
        self._loop.call_later(_HEALTHY_EACH_SECONDS, self._healthy)

    def _popular(self) -> None:
        daemon = self._random.randrange(self._plan.daemons)
        self._begin(Attempt(self._traits(0), daemon, None, 1))
        self._loop.call_later(self._random.uniform(*_POPULAR_EACH_SECONDS), self._popular)

    def _first_attempts(self, guilty: int) -> None:
        daemons = self._random.sample(range(self._plan.daemons), self._plan.at_once)
        for daemon in daemons:
            self._begin(Attempt(self._traits(-guilty - 1), daemon, guilty, 1))

    def _come_again(self, attempt: Attempt) -> None:
        """Let the caller of a request that was not served come to another daemon."""
        if attempt.guilty is None and attempt.tries >= _TRIES:
            return
        pause = _RETRY_SECONDS if attempt.guilty is None else self._plan.every
        others = [n for n in range(self._plan.daemons) if n != attempt.daemon]
        again = Attempt(
            attempt.traits, self._random.choice(others), attempt.guilty, attempt.tries + 1
        )
        self._loop.call_later(pause, lambda: self._begin(again))

    # Daemons.

    def _begin(self, attempt: Attempt) -> None:
        """Send a request, wait until its content is decided on, or refuse it."""
        now = self._loop.now()
        decision = self._daemons[attempt.daemon]
        judgement = decision.judge(attempt.traits, now, attempt.was_at)
        standing = judgement.status
        if standing is ContentStatus.UNDECIDED:
            self._loop.call_later(max(judgement.seconds, 1e-3), lambda: self._begin(attempt))
            return
        if standing is ContentStatus.QUARANTINED:
            self._refuse(attempt)
            return
        endpoint = self._choose(attempt, standing)
        if endpoint is None or attempt.sends >= _SENDS:
            self._come_again(attempt)
            return
        self._send(attempt, endpoint)

    def _refuse(self, attempt: Attempt) -> None:
        if attempt.guilty is None:
            self._healthy_refused.add(attempt.traits.content)

    def _choose(self, attempt: Attempt, standing: ContentStatus) -> int | None:
        up = [n for n, each in enumerate(self._endpoints) if each.up]
        fresh = [n for n in up if self._endpoints[n].key not in attempt.was_at]
        now = self._loop.now()
        if standing is ContentStatus.SUSPECT:
            idle = [n for n in fresh if not self._endpoints[n].attempts]
            chosen = self._random.choice(idle or fresh) if fresh else None
            if chosen is not None:
                self._alone_until[attempt.daemon, chosen] = now + _ALONE_SECONDS
            return chosen
        free = [n for n in fresh if self._alone_until.get((attempt.daemon, n), 0.0) <= now]
        candidates = free or fresh
        return self._random.choice(candidates) if candidates else None

    def _send(self, attempt: Attempt, number: int) -> None:
        endpoint = self._endpoints[number]
        attempt.sends += 1
        attempt.sent_at = self._loop.now()
        attempt.was_at.add(endpoint.key)
        endpoint.attempts.append(attempt)
        if attempt.guilty is not None:
            left = self._random.uniform(*self._plan.ends_after)
            self._loop.call_later(left, lambda: self._end(number, endpoint, attempt))
            return
        left = self._random.uniform(*_STREAM_SECONDS)
        if left > SURVIVAL_SECONDS:
            self._loop.call_later(SURVIVAL_SECONDS, lambda: self._survive(endpoint, attempt))
        self._loop.call_later(left, lambda: self._finish(endpoint, attempt))

    def _survive(self, endpoint: _Endpoint, attempt: Attempt) -> None:
        if attempt in endpoint.attempts:
            daemon = self._daemons[attempt.daemon]
            daemon.record_survived(attempt.traits, self._loop.now(), attempt.sent_at)

    def _finish(self, endpoint: _Endpoint, attempt: Attempt) -> None:
        if attempt not in endpoint.attempts:
            return
        endpoint.attempts.remove(attempt)
        daemon = self._daemons[attempt.daemon]
        daemon.record_served(attempt.traits, self._loop.now(), attempt.sent_at)

    def _send_each_interval(self, daemon: int) -> None:
        self._send_reports(daemon)
        self._loop.call_later(_REPORT_INTERVAL_SECONDS, lambda: self._send_each_interval(daemon))

    def _send_reports(self, daemon: int) -> None:
        self._sends_soon.discard(daemon)
        reports = self._daemons[daemon].reports(self._loop.now())
        if not reports:
            return
        for other in self._recipients(daemon):
            if self._random.random() < self._plan.reports_lost:
                continue
            self._loop.call_later(
                _REPORT_TRANSIT_SECONDS + self._plan.reports_late,
                lambda o=other: self._receive(o, reports),
            )

    def _recipients(self, daemon: int) -> Iterable[int]:
        """Return the daemons that a daemon sends its reports to."""
        return (other for other in range(self._plan.daemons) if other != daemon)

    def _receive(self, daemon: int, reports: tuple[CrashReport, ...]) -> None:
        self._daemons[daemon].merge_reports(reports, self._loop.now())

    def _send_soon(self, daemon: int) -> None:
        if daemon not in self._sends_soon:
            self._sends_soon.add(daemon)
            self._loop.call_later(
                _REPORT_DELAY_AFTER_END_SECONDS, lambda: self._send_reports(daemon)
            )

    # Endpoints.

    def _fail_together(self) -> None:
        up = [n for n, each in enumerate(self._endpoints) if each.up]
        for number in self._random.sample(up, min(len(up), self._plan.failed_together)):
            self._end(number, self._endpoints[number], None)

    def _end(self, number: int, endpoint: _Endpoint, cause: Attempt | None) -> None:
        if not endpoint.up:
            return
        endpoint.up = False
        if cause is not None and cause.guilty is not None:
            self._count_end(cause.guilty)
        lost, endpoint.attempts = endpoint.attempts, []
        for attempt in lost:
            self._broken += attempt.guilty is None
            seen = self._random.uniform(0.0, _SEEN_WITHIN_SECONDS)
            soon = self._loop.now() - attempt.sent_at < SOON_SECONDS
            self._loop.call_later(seen, lambda a=attempt, s=soon: self._lose(a, endpoint.key, s))
        self._loop.call_later(_BACK_SECONDS, lambda: self._start_again(number))

    def _count_end(self, guilty: int) -> None:
        self._ended[guilty] += 1

    def _lose(self, attempt: Attempt, key: int, soon: bool) -> None:
        self._daemons[attempt.daemon].record_crash(attempt.traits, key, self._loop.now(), soon=soon)
        self._send_soon(attempt.daemon)
        self._begin(attempt)

    def _start_again(self, number: int) -> None:
        self._endpoints[number] = self._new_endpoint()

    def _new_endpoint(self) -> _Endpoint:
        return _Endpoint(self._random.getrandbits(32))

    def _traits(self, number: int) -> RequestTraits:
        return RequestTraits((number & (2**64 - 1)).to_bytes(8, "big").hex())


def plans() -> Iterator[EndingPlan]:
    """Yield what the command plays: series of guilty contents, and failures without any."""
    yield EndingPlan(1, 1.0)
    yield EndingPlan(2, 1.0)
    yield EndingPlan(3, 1.0)
    yield EndingPlan(4, 0.5)
    yield EndingPlan(6, 1.0)
    yield EndingPlan(6, 1.0, apart=0.5)
    yield EndingPlan(8, 0.3)
    yield EndingPlan(1, 1.0, at_once=6)
    yield EndingPlan(0, 1.0, failures=5, failed_together=8)
    yield EndingPlan(0, 1.0, failures=20, failed_together=2)
    yield EndingPlan(0, 1.0, failures=20, failed_together=8)
    yield EndingPlan(0, 1.0, failures=4, failed_together=20, popular=10)
    yield EndingPlan(2, 0.5, popular=20)
    yield EndingPlan(4, 0.5, ends_after=(0.5, 1.5))

"""Play the decision on parts of prompts that end endpoints.

All times are simulated. No two requests are alike: those with a guilty part share only that part
with each other, and their other parts with healthy requests. A play counts the endpoints that are
ended, the requests that are sent after the fifth end and after the first refusal, and what becomes
of healthy requests.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from brassdrum.bench.endings import Attempt, EndingPlan, EndingPlay
from brassdrum.outcomes.crash_reports import CrashReport
from brassdrum.outcomes.fingerprint import RequestTraits, caller_mask, prompt_parts
from brassdrum.outcomes.quarantine import Quarantine

__all__ = ["PartPlan", "PartPoint", "measure_parts", "part_plans", "play_parts"]

_MODEL = "model"
# Sends of requests with a guilty part count as late from this long after the fifth end.
_LATE_SECONDS = 3.0
_LATE_AFTER_ENDS = 5
_FIRST_PARTS = 60
_HEALTHY_SECONDS_BEFORE = 8.0
_CALLERS = 12
# Requests of one caller share a part, such as instructions.
_PARTS_OF_CALLER = 4
# In a fleet of more daemons than this, some hand on what the others report.
_MESH_DAEMONS = 12
_HUBS = 3
# Mean seconds between healthy requests for one endpoint: three streams are there as a rule.
_HEALTHY_SECONDS = 0.6
# Share of the healthy requests that had a guilty part before it became guilty.
_SERVED_BEFORE_SHARE = 0.02
# As the gateway's daemons draw it.
_TRIAL_SPREAD_SECONDS = 30.0
# Attempts of one caller.
_TRIES = 2


@dataclass(frozen=True, slots=True)
class PartPlan:
    """Say what is played.

    ``rate`` is the number of requests a second with each of the ``guilty`` parts. With
    ``served_before`` the guilty parts were healthy until they began to end endpoints, which is
    ``healthy_seconds`` after the daemons started. With ``first`` the guilty part takes the place of
    the first part, which others share.
    """

    daemons: int
    endpoints: int
    rate: float
    guilty: int = 1
    first: bool = False
    served_before: bool = False
    healthy_seconds: float = _HEALTHY_SECONDS_BEFORE
    reports_lost: float = 0.1
    reports_late: float = 0.0
    failures: int = 0
    failed_together: int = 0
    seconds: float = 24.0

    @property
    def label(self) -> str:
        """Return a short name for tables."""
        place = ", as first part" if self.first else ""
        before = ", served before" if self.served_before else ""
        if self.healthy_seconds != _HEALTHY_SECONDS_BEFORE:
            before += f" for {self.healthy_seconds:g} s"
        late = f", reports {self.reports_late} s late" if self.reports_late else ""
        beside = (
            f", beside {self.failures} failures of {self.failed_together}" if self.failures else ""
        )
        return (
            f"{self.daemons} daemons, {self.guilty} guilty at {self.rate:g}/s"
            f"{place}{before}{late}{beside}"
        )


@dataclass(slots=True)
class Begun:
    """Count healthy requests, and those of them whose first attempt was sent to an endpoint."""

    total: int = 0
    sent: int = 0


@dataclass(slots=True)
class PartResult:
    """Count what a play cost.

    The lists have an entry for each guilty part. ``sent_late`` counts sends from three seconds
    after the fifth end on, ``sent_after_proof`` those after any daemon refused one. Healthy
    requests are counted before the first guilty one, and from six seconds after the fifth end, or
    the last if there are fewer.
    """

    ended: list[int]
    sent_late: list[int]
    sent_after_proof: list[int]
    healthy_refused: int = 0
    begun_before: Begun = field(default_factory=Begun)
    begun_after: Begun = field(default_factory=Begun)
    bytes_received: int = 0


@dataclass(frozen=True, slots=True)
class PartPoint:
    """Sum up the plays of a plan over seeds; the worst counts are those of one part in one play."""

    plan: str
    seeds: int
    middle: float
    worst: int
    sent_late: int
    sent_after_proof: int
    healthy_refused: int
    begun_before: float
    begun_after: float
    bytes_a_second: float


def play_parts(plan: PartPlan, seed: int) -> PartResult:
    """Play a plan once."""
    return _PartPlay(plan, seed).play()


def measure_parts(plan: PartPlan, seeds: Iterable[int]) -> PartPoint:
    """Play a plan with each seed and sum up; ``bytes_a_second`` are received by each daemon."""
    results = [play_parts(plan, seed) for seed in seeds]
    ended = [count for result in results for count in result.ended] or [0]
    received = sum(result.bytes_received for result in results)
    return PartPoint(
        plan=plan.label,
        seeds=len(results),
        middle=statistics.median(ended),
        worst=max(ended),
        sent_late=max((count for result in results for count in result.sent_late), default=0),
        sent_after_proof=max(
            (count for result in results for count in result.sent_after_proof), default=0
        ),
        healthy_refused=sum(result.healthy_refused for result in results),
        begun_before=_share([result.begun_before for result in results]),
        begun_after=_share([result.begun_after for result in results]),
        bytes_a_second=round(received / (len(results) * plan.seconds * plan.daemons)),
    )


def _share(counts: list[Begun]) -> float:
    total = sum(each.total for each in counts)
    return round(sum(each.sent for each in counts) / total, 4) if total else 1.0


class _PartPlay(EndingPlay):
    def __init__(self, plan: PartPlan, seed: int) -> None:
        super().__init__(
            EndingPlan(
                guilty=plan.guilty,
                every=1.0,
                daemons=plan.daemons,
                endpoints=plan.endpoints,
                reports_lost=plan.reports_lost,
                reports_late=plan.reports_late,
                failures=plan.failures,
                failed_together=plan.failed_together,
                seconds=plan.seconds,
            ),
            seed,
        )
        self._parts = plan
        self._guilty_from = self._loop.now() + plan.healthy_seconds
        self._daemons = [
            Quarantine(trial_delay=self._random.uniform(0.0, _TRIAL_SPREAD_SECONDS))
            for _ in range(plan.daemons)
        ]
        self._result = PartResult([0] * plan.guilty, [0] * plan.guilty, [0] * plan.guilty)
        self._fifth_end_at = [math.inf] * plan.guilty
        self._settled_at = [math.inf] * plan.guilty
        self._proven_at = [math.inf] * plan.guilty

    def play(self) -> PartResult:
        """Play once."""
        plan = self._parts
        self._start_sending()
        self._loop.call_later(0.0, self._next_healthy)
        for guilty in range(plan.guilty):
            start = plan.healthy_seconds + self._random.uniform(0.0, 0.5)
            self._loop.call_later(start, lambda g=guilty: self._next_guilty(g))
        for number in range(plan.failures):
            span = plan.seconds - plan.healthy_seconds
            start = plan.healthy_seconds + number * span / (plan.failures + 1)
            self._loop.call_later(start, self._fail_together)
        self._loop.advance(plan.seconds)
        self._result.healthy_refused = len(self._healthy_refused)
        return self._result

    # Callers.

    def _next_healthy(self) -> None:
        pause = _HEALTHY_SECONDS / self._parts.endpoints
        self._loop.call_later(self._random.expovariate(1 / pause), self._next_healthy)
        if self._parts.served_before and self._random.random() < _SERVED_BEFORE_SHARE:
            number = self._random.randrange(self._parts.guilty)
            ends = self._loop.now() >= self._guilty_from
            self._arrive(self._with_guilty(self._shared_names(), number), number if ends else None)
            return
        self._arrive(self._shared_names(), None)

    def _next_guilty(self, guilty: int) -> None:
        self._loop.call_later(
            self._random.expovariate(self._parts.rate), lambda: self._next_guilty(guilty)
        )
        self._arrive(self._with_guilty(self._shared_names(), guilty), guilty)

    def _shared_names(self) -> list[str]:
        first = min(self._random.randrange(_FIRST_PARTS) for _ in range(2))
        caller = self._random.randrange(_CALLERS)
        return [f"first-{first}", f"caller-{caller}-{self._random.randrange(_PARTS_OF_CALLER)}"]

    def _with_guilty(self, names: list[str], guilty: int) -> list[str]:
        name = f"guilty-{guilty}"
        return [name, *names[1:]] if self._parts.first else [*names, name]

    def _arrive(self, names: list[str], guilty: int | None) -> None:
        self._contents += 1
        caller = names[1].split("-")[1]
        parts = prompt_parts(_MODEL, [*names, f"own-{self._contents}"])
        traits = RequestTraits(f"{self._contents:016x}", parts, caller_mask(caller))
        attempt = Attempt(traits, self._random.randrange(self._parts.daemons), guilty, 1)
        if guilty is None:
            self._begun().total += 1
        self._begin(attempt)

    def _come_again(self, attempt: Attempt) -> None:
        if attempt.tries < _TRIES:
            super()._come_again(attempt)

    def _begun(self) -> Begun:
        """Return the count that a healthy request of this moment belongs to."""
        now = self._loop.now()
        if now < self._guilty_from:
            return self._result.begun_before
        if now >= max(self._settled_at, default=0.0) + 2 * _LATE_SECONDS:
            return self._result.begun_after
        return Begun()

    # Daemons.

    def _send(self, attempt: Attempt, number: int) -> None:
        now = self._loop.now()
        if attempt.guilty is not None:
            self._result.sent_late[attempt.guilty] += (
                now > self._fifth_end_at[attempt.guilty] + _LATE_SECONDS
            )
            self._result.sent_after_proof[attempt.guilty] += now > self._proven_at[attempt.guilty]
        elif attempt.tries == 1 and not attempt.sends:
            self._begun().sent += 1
        super()._send(attempt, number)

    def _refuse(self, attempt: Attempt) -> None:
        super()._refuse(attempt)
        if attempt.guilty is not None:
            proven_at = self._proven_at[attempt.guilty]
            self._proven_at[attempt.guilty] = min(proven_at, self._loop.now())

    def _recipients(self, daemon: int) -> Iterable[int]:
        if self._parts.daemons <= _MESH_DAEMONS or daemon < _HUBS:
            return super()._recipients(daemon)
        return range(_HUBS)

    def _receive(self, daemon: int, reports: tuple[CrashReport, ...]) -> None:
        super()._receive(daemon, reports)
        self._result.bytes_received += sum(report.size_bytes for report in reports)

    # Endpoints.

    def _count_end(self, guilty: int) -> None:
        self._result.ended[guilty] += 1
        ended = self._result.ended[guilty]
        if ended <= _LATE_AFTER_ENDS:
            self._settled_at[guilty] = self._loop.now()
        if ended == _LATE_AFTER_ENDS:
            self._fifth_end_at[guilty] = self._loop.now()


def part_plans() -> Iterator[PartPlan]:
    """Yield what the command plays: rates and sizes, then what makes it harder."""
    for daemons, endpoints in ((6, 16), (12, 40), (60, 100), (195, 390)):
        for rate in (1.0, 4.0, 16.0):
            yield PartPlan(daemons, endpoints, rate)
        yield PartPlan(daemons, endpoints, 4.0, served_before=True)
        yield PartPlan(daemons, endpoints, 4.0, guilty=4)
    yield PartPlan(12, 40, 4.0, first=True)
    yield PartPlan(12, 40, 16.0, served_before=True)
    yield PartPlan(12, 40, 4.0, guilty=2, served_before=True)
    yield PartPlan(12, 40, 4.0, guilty=4, served_before=True)
    yield PartPlan(12, 40, 4.0, guilty=4, served_before=True, healthy_seconds=40.0, seconds=56.0)
    yield PartPlan(12, 40, 1.0, guilty=2)
    yield PartPlan(12, 40, 1.0, guilty=4)
    yield PartPlan(12, 40, 4.0, reports_late=0.2)
    yield PartPlan(12, 40, 4.0, failures=5, failed_together=8)
    yield PartPlan(12, 40, 4.0, guilty=0, failures=5, failed_together=8)
    yield PartPlan(12, 40, 4.0, guilty=0, failures=20, failed_together=2)
    yield PartPlan(60, 100, 4.0, guilty=0, failures=5, failed_together=30)

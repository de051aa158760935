"""Hold what callers and replicas of a soak saw, and what is named broken."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from brassdrum.soak.replicas import Arrival, Run

__all__ = [
    "ColdSpan",
    "CutOff",
    "EndlessAnswer",
    "Evacuation",
    "History",
    "NamedLimit",
    "ReplicaPause",
    "Result",
    "RECOVERY_SECONDS",
    "Send",
    "Violation",
]

# A daemon that was disturbed needs this long to know the newest state again.
RECOVERY_SECONDS = 3.5


@dataclass(frozen=True, slots=True)
class Result:
    """Hold one request as its caller saw it; status 0 when the connection ended first.

    ``received`` are the bytes of the body that came, also of a broken one, and ``deadline`` the
    time up to which the caller waits for all. ``left`` says that the caller left after a silence.
    """

    request: str
    kind: str
    daemon: str
    key: str
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    body: bytes
    retry_after: float = 0.0
    received: int = 0
    deadline: float = math.inf
    left: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Hold a request that reached the host of a replica, which may be paused then."""

    request: str
    replica: str
    daemon: str
    at: float


@dataclass(frozen=True, slots=True)
class ReplicaPause:
    """Hold a span in which a sound replica takes and sends nothing."""

    replica: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """Hold what a replica sent without end until ``until``, when it saw its connection closed."""

    request: str
    replica: str
    daemon: str
    kind: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """Hold the requests a second that a replica takes since a time."""

    replica: str
    limit: float
    since: float


@dataclass(frozen=True, slots=True)
class CutOff:
    """Hold a span in which daemons reached no replica."""

    daemons: frozenset[str]
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Hold a span from the store's acceptance of an evacuation's record to its deletion."""

    zone: str
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class ColdSpan:
    """Hold the requests a second that a replica takes while cold, and for what span."""

    replica: str
    rate: float
    since: float
    until: float


@dataclass(slots=True)
class History:
    """Hold all that a soak saw."""

    results: list[Result] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    sends: list[Send] = field(default_factory=list)
    pauses: list[ReplicaPause] = field(default_factory=list)
    endless_answers: list[EndlessAnswer] = field(default_factory=list)
    cuts: list[CutOff] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    cold_spans: list[ColdSpan] = field(default_factory=list)
    zone_by_replica: dict[str, str] = field(default_factory=dict)
    harmed_by_replica: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    # Requests whose answer a replica broke off or failed itself.
    spoilt: set[str] = field(default_factory=set)
    # Spans of ``disturbed_by_daemon`` in which a daemon stops as planned.
    stops_by_daemon: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    said_leaving_at_by_replica: dict[str, float] = field(default_factory=dict)
    organisation_by_key: dict[str, str] = field(default_factory=dict)
    revoked_at_by_key: dict[str, float] = field(default_factory=dict)
    left_at_by_replica: dict[str, float] = field(default_factory=dict)
    disturbed_by_daemon: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    errors_by_daemon: dict[str, list[str]] = field(default_factory=dict)
    peak_mb_by_daemon: dict[str, float] = field(default_factory=dict)
    held_at_end: int = 0
    unfinished: int = 0

    def calm(self, daemon: str, since: float, until: float) -> bool:
        """Return whether no fault touched a daemon, or the store for all, in a span.

        Without a name it is a daemon that closed its connection, or ended, right after the request.
        """
        if not daemon:
            return False
        spans = self.disturbed_by_daemon.get(daemon, []) + self.disturbed_by_daemon.get("all", [])
        return not _overlaps(spans, since, until)

    def runs_on(self, daemon: str, since: float, until: float) -> bool:
        """Return whether a daemon was neither ended nor paused in a span.

        Faults that are noted for one daemon are of these two kinds. Answers do not pass the store,
        and need no state that is learnt after a fault.
        """
        spans = self.disturbed_by_daemon.get(daemon, [])
        return not _overlaps(
            [(start, end - RECOVERY_SECONDS) for start, end in spans], since, until
        )

    def path_kept(self, arrival: Arrival, until: float) -> bool:
        """Return whether the daemon that sent a request, and its way to the replica, stayed whole.

        Without a name the daemon is unknown.
        """
        daemon, since = arrival.daemon, arrival.at
        harmed = self.harmed_by_replica.get(arrival.replica, [])
        harmed = harmed + [(cut.since, cut.until) for cut in self.cuts if daemon in cut.daemons]
        return (
            bool(daemon)
            and self.runs_on(daemon, since, until)
            and not _overlaps(harmed, since, until)
        )

    def unharmed(self, replica: str, since: float, until: float) -> bool:
        """Return whether a replica and the way to it were whole in a span, but for pauses."""
        return not _overlaps(self.harmed_by_replica.get(replica, []), since, until)

    def serves(self, daemon: str, since: float, until: float, slack: float) -> bool:
        """Return whether a daemon was to serve what it had in a span, also while it stops.

        A planned stop may end requests in its last moment, which ``slack`` bounds.
        """
        stops = self.stops_by_daemon.get(daemon, [])
        spans = [
            (end - RECOVERY_SECONDS - slack if (start, end) in stops else start, end)
            for start, end in self.disturbed_by_daemon.get(daemon, [])
        ]
        spans = [(start, end - RECOVERY_SECONDS) for start, end in spans]
        return not _overlaps(spans, since, until)

    def awake_for(self, replica: str, since: float, seconds: float) -> float:
        """Return when a replica has not been paused for some seconds in all since a time."""
        at = since
        for pause in sorted(self.pauses, key=lambda each: each.since):
            if pause.replica != replica or pause.until <= at:
                continue
            if pause.since > at + seconds:
                break
            seconds -= max(0.0, pause.since - at)
            at = pause.until
        return at + seconds


@dataclass(frozen=True, slots=True)
class Violation:
    """Name a broken promise and the request that shows it."""

    promise: str
    request: str
    detail: str


def _overlaps(spans: list[tuple[float, float]], since: float, until: float) -> bool:
    return any(start <= until and since <= end for start, end in spans)

"""Draw from a seed which faults strike when; the same seed gives the same plan."""

from __future__ import annotations

import random
from dataclasses import dataclass

from brassdrum.registry import Registry

__all__ = ["FAULT_KINDS", "PlannedFault", "draw_plan"]

# Faults come in series and overlap: about this many in a second.
_FAULTS_PER_SECOND = 1.6
_QUIET_START_SECONDS = 1.0
_SHORTEST_SECONDS = 0.3
_LONGEST_SECONDS = 2.5

FAULT_KINDS: Registry[str] = Registry("soak fault")
for _name, _meaning in {
    "terminate": "a daemon gets SIGTERM and is started again when it has ended",
    "kill": "a daemon gets SIGKILL and is started again",
    "pause": "a daemon gets SIGSTOP and, after the span, SIGCONT",
    "reload": "a daemon gets SIGHUP",
    "store": "the store is busy, silent, slow or loses answers",
    "cut_store": "one daemon's way to the store is cut, silenced, delayed or reset",
    "link": "the way to one replica is delayed, reset, cut one way or silenced",
    "misbehave": "a replica fails, loses, cuts or refuses a share of its requests",
    "crash": "a replica crashes for good and another one comes",
    "drain": "a replica reports that it leaves and another one comes",
    "revoke": "a key is taken away and another one is given",
    "copy_store": "the store comes back from a copy made a moment ago",
    "limit": "a replica limits its requests from then on",
    "rest": "a replica turns requests away and asks for a pause",
    "say_leaving": "a replica says that it leaves, long before the list does",
    "unframe": "a replica's streams have no length and no chunks, and many end inside an event",
    "cut_off": "some daemons, not all, reach no replica, while callers and peers reach them",
    "evacuate": "the operator evacuates a zone and takes it back into service",
    "turn_cold": "a replica takes few requests a second for a while, from all daemons together",
    "read_slowly": "callers read long answers slowly",
    "pause_replicas": "one replica, those of a zone or all pause and go on as if nothing had been",
    "refuse_in_pause": "replicas refuse most requests while others pause",
    "reload_in_pause": "a daemon gets SIGHUP while replicas pause",
    "revoke_in_pause": "a key is taken away and another one is given while replicas pause",
    "terminate_in_pause": "a daemon gets SIGTERM while replicas pause",
    "crash_unframed": "a replica whose streams have no length ends in the middle of many of them",
    "leave_in_sleep": "a daemon is paused for long, and a replica leaves meanwhile",
    "odd_entry": "another writer leaves an entry among the replicas that cannot be used",
    "endless": "a replica sends endless bytes that are no answer, to a share of its requests",
}.items():
    FAULT_KINDS.register(_name)(_meaning)
# Drawn apart from the others, so that the plans of seeds stay as they were.
_COPY_KIND = "copy_store"
_COPY_SHARE = 0.5
_SIGNAL_KINDS = ("limit", "rest", "say_leaving")
_SIGNAL_SHARE = 0.6
_ANSWER_KINDS = ("unframe",)
_ANSWER_SHARE = 0.7
_PAUSE_KIND = "pause_replicas"
_REFUSE_KIND = "refuse_in_pause"
_IN_PAUSE_KINDS = ("refuse_in_pause", "reload_in_pause", "revoke_in_pause", "terminate_in_pause")
# About this many series of pauses begin in a second, each of one to three pauses.
_PAUSES_PER_SECOND = 0.4
_SHORTEST_PAUSE_SECONDS = 0.8
_LONGEST_PAUSE_SECONDS = 2.0
# The share of pauses in which another fault strikes, and that of those that another pause follows:
# it begins before the end of the first or up to this long after it.
_IN_PAUSE_SHARE = 0.7
_NEXT_PAUSE_SHARE = 0.4
_NEXT_PAUSE_SECONDS = 0.5
_MOST_IN_SERIES = 3
# Drawn apart from the others, so that the plans of seeds stay as they were.
_CRASH_UNFRAMED_KIND = "crash_unframed"
_CRASH_UNFRAMED_SHARE = 0.7
_ODD_ENTRY_KIND = "odd_entry"
_ODD_ENTRY_SHARE = 0.7
_SLEEP_KIND = "leave_in_sleep"
_SLEEP_SHARE = 0.7
# A replica leaves 1.7 s after its beginning, and daemons have 4.5 s to know of it.
_SLEEP_SECONDS = 6.5
# After the daemon has woken, what the others do is judged for this long.
_AFTER_SLEEP_SECONDS = 1.0
_ENDLESS_KIND = "endless"
_ENDLESS_PER_SECOND = 0.3
_CUT_KIND = "cut_off"
_CUT_SHARE = 0.6
# Long enough that the time in which a daemon may still find out is over.
_CUT_SECONDS = 5.0
_LOAD_SHARE = 0.7
# Daemons have 5 s to obey; the rest shows whether they do.
_SHORTEST_EVACUATION_SECONDS = 6.0
_LONGEST_EVACUATION_SECONDS = 8.0
# The share of a long run that an evacuation lasts. Daemons are judged only while no fault disturbs
# them, so that a short one would judge few requests.
_EVACUATION_SHARE = 0.6
_TAKEN_BACK_SECONDS = 1.0
_SHORTEST_COLD_SECONDS = 1.5
_LONGEST_COLD_SECONDS = 4.0
_LONGEST_STALL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """Hold one fault; ``at`` and ``seconds`` from the start, ``choice`` picks its target."""

    at: float
    kind: str
    seconds: float
    choice: int
    variant: int


def draw_plan(seed: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a run in time order."""
    rng = random.Random(seed)
    load_kinds = [draw.kind for draw in _LOAD_DRAWS]
    drawn_apart = (_COPY_KIND, *_SIGNAL_KINDS, *_ANSWER_KINDS, _CUT_KIND, *load_kinds)
    drawn_apart += (_PAUSE_KIND, *_IN_PAUSE_KINDS, _ENDLESS_KIND)
    drawn_apart += (_CRASH_UNFRAMED_KIND, _ODD_ENTRY_KIND, _SLEEP_KIND)
    kinds = [kind for kind in FAULT_KINDS if kind not in drawn_apart]
    count = max(1, round((seconds - _QUIET_START_SECONDS) * _FAULTS_PER_SECOND))
    faults = [
        PlannedFault(
            at=rng.uniform(_QUIET_START_SECONDS, seconds),
            kind=rng.choice(kinds),
            seconds=rng.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS),
            choice=rng.randrange(1000),
            variant=rng.randrange(1000),
        )
        for _ in range(count)
    ]
    faults.extend(_store_copies(seed, seconds))
    faults.extend(_drawn_apart(seed, "signals", _SIGNAL_KINDS, _SIGNAL_SHARE, seconds / 2))
    faults.extend(_drawn_apart(seed, "answers", _ANSWER_KINDS, _ANSWER_SHARE, seconds))
    faults.extend(_cuts(seed, seconds))
    faults.extend(_load_faults(seed, seconds))
    faults.extend(_pauses(seed, seconds))
    endless_kinds = (_ENDLESS_KIND,) * max(1, round(seconds * _ENDLESS_PER_SECOND))
    faults.extend(_drawn_apart(seed, _ENDLESS_KIND, endless_kinds, _ANSWER_SHARE, seconds))
    for kind, share in (
        (_CRASH_UNFRAMED_KIND, _CRASH_UNFRAMED_SHARE),
        (_ODD_ENTRY_KIND, _ODD_ENTRY_SHARE),
    ):
        faults.extend(_drawn_apart(seed, kind, (kind,), share, seconds - _QUIET_START_SECONDS))
    faults.extend(_sleeps(seed, seconds))
    return sorted(faults, key=lambda fault: fault.at)


def _sleeps(seed: int, seconds: float) -> list[PlannedFault]:
    """Return a long pause of a daemon, in most of the runs that are long enough for it."""
    rng = random.Random(f"{seed} {_SLEEP_KIND}")
    latest = seconds - _SLEEP_SECONDS - _AFTER_SLEEP_SECONDS
    if rng.random() >= _SLEEP_SHARE or latest <= 0.2:
        return []
    at = rng.uniform(0.2, latest)
    return [PlannedFault(at, _SLEEP_KIND, _SLEEP_SECONDS, rng.randrange(1000), rng.randrange(2))]


def _cuts(seed: int, seconds: float) -> list[PlannedFault]:
    """Return a cut between some daemons and all replicas, in most of the longer runs."""
    rng = random.Random(f"{seed} {_CUT_KIND}")
    if rng.random() >= _CUT_SHARE or seconds <= _CUT_SECONDS:
        return []
    at = rng.uniform(0.2, seconds - _CUT_SECONDS)
    return [PlannedFault(at, _CUT_KIND, _CUT_SECONDS, rng.randrange(1000), rng.randrange(1000))]


@dataclass(frozen=True, slots=True)
class _LoadDraw:
    """Hold how long a kind of fault lasts, and how long before the end of a run it is over.

    Its longest span grows to a ``share`` of the run where that is longer.
    """

    kind: str
    shortest: float
    longest: float
    before_end: float = 0.0
    share: float = 0.0


_LOAD_DRAWS = (
    _LoadDraw(
        "evacuate",
        _SHORTEST_EVACUATION_SECONDS,
        _LONGEST_EVACUATION_SECONDS,
        before_end=_TAKEN_BACK_SECONDS,
        share=_EVACUATION_SHARE,
    ),
    _LoadDraw("turn_cold", _SHORTEST_COLD_SECONDS, _LONGEST_COLD_SECONDS),
    _LoadDraw("read_slowly", _SHORTEST_SECONDS, _LONGEST_STALL_SECONDS),
)


def _load_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Return one fault of each kind in most of the runs that are long enough for it."""
    rng = random.Random(f"{seed} load")
    faults = []
    for draw in _LOAD_DRAWS:
        drawn = rng.random() < _LOAD_SHARE
        longest = max(draw.longest, draw.share * seconds)
        length = rng.uniform(draw.shortest, longest)
        part, choice, variant = rng.random(), rng.randrange(1000), rng.randrange(1000)
        latest = seconds - length - draw.before_end
        if drawn and latest > 0:
            faults.append(PlannedFault(part * latest, draw.kind, length, choice, variant))
    return faults


def _pauses(seed: int, seconds: float) -> list[PlannedFault]:
    """Return series of pauses of replicas, and faults that strike meanwhile."""
    rng = random.Random(f"{seed} {_PAUSE_KIND}")
    faults = []
    for _ in range(max(1, round(seconds * _PAUSES_PER_SECOND))):
        at = rng.uniform(0.2, seconds)
        for _ in range(_MOST_IN_SERIES):
            length = rng.uniform(_SHORTEST_PAUSE_SECONDS, _LONGEST_PAUSE_SECONDS)
            choice, variant = rng.randrange(1000), rng.randrange(1000)
            faults.append(PlannedFault(at, _PAUSE_KIND, length, choice, variant))
            if rng.random() < _IN_PAUSE_SHARE:
                kind = _REFUSE_KIND if rng.random() < 0.5 else rng.choice(_IN_PAUSE_KINDS)
                within = at + rng.uniform(0.0, length)
                faults.append(PlannedFault(within, kind, length, rng.randrange(1000), variant))
            at += rng.uniform(0.0, length + _NEXT_PAUSE_SECONDS)
            if rng.random() >= _NEXT_PAUSE_SHARE:
                break
    # No pause outlasts the run: memory that is ordered in it would count as held at the end.
    return [fault for fault in faults if fault.at + fault.seconds <= seconds]


def _store_copies(seed: int, seconds: float) -> list[PlannedFault]:
    """Return a return of the store from a copy, in half of the runs."""
    rng = random.Random(f"{seed} {_COPY_KIND}")
    if rng.random() >= _COPY_SHARE or seconds <= _QUIET_START_SECONDS:
        return []
    at = rng.uniform(_QUIET_START_SECONDS, seconds)
    return [PlannedFault(at, _COPY_KIND, rng.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS), 0, 0)]


def _drawn_apart(
    seed: int, name: str, kinds: tuple[str, ...], share: float, latest: float
) -> list[PlannedFault]:
    """Return one fault of each kind in a share of the runs, by draws of their own."""
    rng = random.Random(f"{seed} {name}")
    latest = max(_QUIET_START_SECONDS, latest)
    return [
        PlannedFault(
            at=rng.uniform(0.2, latest),
            kind=kind,
            seconds=rng.uniform(_SHORTEST_SECONDS, _LONGEST_SECONDS),
            choice=rng.randrange(1000),
            variant=rng.randrange(1000),
        )
        for kind in kinds
        if rng.random() < share
    ]

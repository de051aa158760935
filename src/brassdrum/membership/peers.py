"""Keep what is known of the other daemons; decide what to pass on and to whom."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from brassdrum.membership.peer_pb2 import LEAVING, READY, DaemonEntry

__all__ = ["PeerRecord", "PeerTable", "gossip_period"]

_FANOUT = 2
_FORWARD_ROUNDS = 1
_SUSPECT_PERIODS = 6.0
_ADDRESS_ROUNDS = 8
_STATIC_FIELDS = ("zone", "peer_address", "http_address")
_FORGET_SECONDS = 120.0
_DAEMONS_PER_SECOND = 25.0


def gossip_period(base: float, daemons: int) -> float:
    """Return the seconds between rounds, longer in large fleets to hold the bytes steady."""
    return max(base, daemons / _DAEMONS_PER_SECOND)


@dataclass(slots=True)
class PeerRecord:
    """Hold a daemon's last entry and when it last advanced, on our clock.

    ``received`` is the entry as it came, without the addresses of an earlier one.
    """

    entry: DaemonEntry
    heard: float
    received: DaemonEntry
    rounds_left: int = _FORWARD_ROUNDS


class PeerTable:
    """Merge entries by incarnation and version; a daemon not heard of for long is not live."""

    def __init__(self, own: DaemonEntry, base_period: float) -> None:
        self.own = own
        self._base_period = base_period
        self._records_by_name: dict[str, PeerRecord] = {}

    @property
    def period(self) -> float:
        """Return the seconds between rounds at the present size."""
        return gossip_period(self._base_period, len(self._records_by_name) + 1)

    @property
    def silent_seconds(self) -> float:
        """Return after how many seconds without news a daemon counts as not heard."""
        return _SUSPECT_PERIODS * self.period

    def advance(self) -> None:
        """Begin a round: our own entry gets a new version."""
        self.own.version += 1

    def heartbeat(self) -> DaemonEntry:
        """Return our entry for a round, without its addresses in most of them."""
        if self.own.version % _ADDRESS_ROUNDS == 0 or self.own.version <= _ADDRESS_ROUNDS:
            return self.own
        entry = DaemonEntry()
        entry.CopyFrom(self.own)
        for field in _STATIC_FIELDS:
            entry.ClearField(field)
        return entry

    def merge(self, entries: Iterable[DaemonEntry], now: float) -> list[DaemonEntry]:
        """Take over newer entries and return them."""
        newer = []
        for entry in entries:
            if entry.name == self.own.name:
                self._refute(entry)
                continue
            known = self._records_by_name.get(entry.name)
            if known is not None and _order(entry) <= _order(known.entry):
                continue
            received = DaemonEntry()
            received.CopyFrom(entry)
            same_life = known is not None and known.entry.incarnation == entry.incarnation
            if not entry.peer_address:
                if not same_life:
                    # Its addresses come in one of the next rounds.
                    continue
                _copy_addresses(known.entry, entry)
            self._records_by_name[entry.name] = PeerRecord(entry, now, received)
            newer.append(entry)
        return newer

    def rumours(self) -> list[DaemonEntry]:
        """Return our entry and those that were news recently, for one round."""
        entries = [self.heartbeat()]
        for record in self._records_by_name.values():
            if record.rounds_left <= 0:
                continue
            record.rounds_left -= 1
            entries.append(record.received)
        return entries

    def all_entries(self) -> list[DaemonEntry]:
        """Return every entry, for a daemon that has just started."""
        return [self.own, *(record.entry for record in self._records_by_name.values())]

    def targets(self, now: float, rng: random.Random) -> list[str]:
        """Return the addresses to gossip with in this round."""
        live = [record.entry.peer_address for record in self.live_peers(now)]
        if len(live) <= _FANOUT:
            return live
        return rng.sample(live, _FANOUT)

    def live_peers(self, now: float) -> list[PeerRecord]:
        """Return the other daemons heard of lately, leaving ones included."""
        limit = self.silent_seconds
        return [record for record in self._records_by_name.values() if now - record.heard <= limit]

    def serving(self, now: float) -> list[str]:
        """Return the names of live daemons that are not leaving, ourselves included."""
        names = [
            record.entry.name for record in self.live_peers(now) if record.entry.state != LEAVING
        ]
        if self.own.state != LEAVING:
            names.append(self.own.name)
        return sorted(names)

    def left(self) -> set[str]:
        """Return the daemons that said that they leave, gone by now or not."""
        return {
            name for name, record in self._records_by_name.items() if record.entry.state == LEAVING
        }

    def record(self, name: str) -> PeerRecord | None:
        """Return what is known of a daemon, live or not."""
        return self._records_by_name.get(name)

    def records(self) -> list[PeerRecord]:
        """Return all records by name."""
        return [self._records_by_name[name] for name in sorted(self._records_by_name)]

    def newest_revision(self, now: float) -> int:
        """Return the newest revision that a live, ready peer holds, -1 for none."""
        return max(
            (
                record.entry.revision
                for record in self.live_peers(now)
                if record.entry.state == READY
            ),
            default=-1,
        )

    def leaving_endpoints(self, now: float) -> set[str]:
        """Return the endpoints that any live peer says are leaving."""
        names: set[str] = set()
        for record in self.live_peers(now):
            names.update(record.entry.leaving_endpoints)
        return names

    def forget(self, now: float) -> None:
        """Drop daemons that were not heard of for a long time."""
        for name, record in list(self._records_by_name.items()):
            if now - record.heard > _FORGET_SECONDS:
                del self._records_by_name[name]

    def _refute(self, entry: DaemonEntry) -> None:
        # An earlier life under our name, or a copy with a clock ahead: outlive it.
        if entry.incarnation > self.own.incarnation:
            self.own.incarnation = entry.incarnation + 1


def _copy_addresses(known: DaemonEntry, entry: DaemonEntry) -> None:
    for field in _STATIC_FIELDS:
        setattr(entry, field, getattr(known, field))


def _order(entry: DaemonEntry) -> tuple[int, int]:
    return entry.incarnation, entry.version

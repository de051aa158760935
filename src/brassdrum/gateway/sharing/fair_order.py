"""The turns of a daemon's requests, from its own demand and what the fleet reports."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from brassdrum.gateway.sharing.demand import DemandKey, DemandRow, organisation_label
from brassdrum.gateway.sharing.ledger import DemandLedger
from brassdrum.gateway.sharing.turns import PLAIN_TURN, Turn, decide_turn

__all__ = ["FairOrder"]

# Turns are reused for this long unless the own demand changes; below the shortest flush interval
# plus the time of a datagram on its way.
_REUSE_SECONDS = 0.005


class FairOrder:
    """Keep the turn of each key for a moment, since one review asks for it many times."""

    def __init__(
        self,
        now: Callable[[], float],
        ledger: DemandLedger,
        fleet_rows: Callable[[float], list[DemandRow]],
        enabled: Callable[[], bool] = lambda: True,
        organisation_names: Callable[[], Iterable[str]] = lambda: (),
    ) -> None:
        self.ledger = ledger
        self._now = now
        self._fleet_rows = fleet_rows
        self._enabled = enabled
        self._organisation_names = organisation_names
        self._rows: list[DemandRow] = []
        self._turn_by_key: dict[DemandKey, Turn] = {}
        self._computed_at = -_REUSE_SECONDS
        self._version = -1

    def turn(self, key: DemandKey) -> Turn:
        """Return the turn of a request of this daemon that waits or is about to be placed."""
        if not self._enabled():
            return PLAIN_TURN
        now = self._now()
        if self.ledger.version != self._version or now - self._computed_at >= _REUSE_SECONDS:
            self._version, self._computed_at = self.ledger.version, now
            self._rows = self._fleet_rows(now)
            self._turn_by_key = {}
        turn = self._turn_by_key.get(key)
        if turn is None:
            turn = self._turn_by_key[key] = decide_turn(key, self._rows)
        return turn

    def local_rows(self, waits_elsewhere: bool) -> tuple[DemandRow, ...]:
        """Return the own rows to report; none while the order is switched off."""
        return self.ledger.rows(waits_elsewhere=waits_elsewhere) if self._enabled() else ()

    def log_fields(self, key: DemandKey) -> dict[str, object]:
        """Return what a log line says of the turn of a request."""
        ahead = self.turn(key).yields_to
        if ahead is None:
            return {"yields": False, "yields_to": None}
        organisation = organisation_label(ahead.organisation, self._organisation_names())
        return {"yields": True, "yields_to": f"priority {ahead.priority} of {organisation}"}

    @property
    def yielding(self) -> int:
        """Return the number of waiting requests of this daemon that yield."""
        return sum(1 for _, key in self.ledger.waiting_requests() if self.turn(key).yields)

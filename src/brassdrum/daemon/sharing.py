"""Exchange endpoint state and load with other daemons through gossip."""

from __future__ import annotations

from collections.abc import Callable

from brassdrum.clock import Clock
from brassdrum.daemon.dispatcher import Dispatcher
from brassdrum.daemon.fleet import Fleet
from brassdrum.membership.observers import (
    ObserverMap,
    ReportSharing,
    polls_itself,
    tells_all_loads,
)
from brassdrum.membership.peer_pb2 import DaemonEntry, EndpointLoad, EndpointReport
from brassdrum.routing.state import LoadReport, PeerLoad

__all__ = ["EndpointGossip"]


def _own_loads(fleet: Fleet, *, long_only: bool) -> list[EndpointLoad]:
    loads = []
    for name, state in fleet.states_by_name.items():
        long_prefills = state.own_long_prefills()
        if not state.own_requests_by_id or (long_only and long_prefills == 0):
            continue
        loads.append(
            EndpointLoad(
                endpoint=name,
                streams=len(state.own_requests_by_id),
                queued_tokens=state.own_queued_tokens(),
                long_prefills=long_prefills,
            )
        )
    return loads


def _apply_report(fleet: Fleet, report: EndpointReport, received_at: float) -> None:
    state = fleet.states_by_name.get(report.endpoint)
    observed_at = received_at - report.age_milliseconds / 1000
    if state is None or (state.report is not None and state.report.at >= observed_at):
        return
    state.report = LoadReport(
        observed_at, report.streams, report.queued_tokens, report.kv_tokens_held
    )


def _apply_loads(fleet: Fleet, entry: DaemonEntry, now: float) -> None:
    fleet.drop_stale_peer_loads(entry.name, {load.endpoint for load in entry.loads})
    for load in entry.loads:
        fleet.set_peer_load(
            entry.name,
            load.endpoint,
            PeerLoad(now, load.streams, load.queued_tokens, load.long_prefills),
        )
    for report in entry.reports:
        _apply_report(fleet, report, now)


class EndpointGossip:
    """Synchronises this daemon's view of the endpoints with that of its peers."""

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        clock: Clock,
        serving: Callable[[], list[str]],
        own_leaving: Callable[[], set[str]],
        gossiped_leaving: Callable[[], set[str]],
    ) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._serving = serving
        self._own_leaving = own_leaving
        self._gossiped_leaving = gossiped_leaving
        self._reports = ReportSharing()
        self._observers = ObserverMap(name)

    def fill_entry(self, entry: DaemonEntry) -> None:
        """Fill this daemon's gossip entry with its endpoint state."""
        now = self._clock.monotonic()
        serving = self._serving()
        with self._dispatcher.lock:
            fleet = self._dispatcher.fleet
            entry.long_load = fleet.long_load()
            loads = _own_loads(fleet, long_only=not tells_all_loads(len(serving)))
            reports = self._observed_reports(serving, now)
            failing = fleet.failing(now)
        del entry.loads[:]
        entry.loads.extend(loads)
        del entry.reports[:]
        entry.reports.extend(self._reports.choose(reports))
        del entry.leaving_endpoints[:]
        entry.leaving_endpoints.extend(sorted(self._own_leaving()))
        del entry.failing_endpoints[:]
        entry.failing_endpoints.extend(failing)

    def merge_entries(self, newer: list[DaemonEntry], long_loads: list[float]) -> None:
        """Apply newer entries of peers and the long-prompt load of all live daemons."""
        now = self._clock.monotonic()
        with self._dispatcher.lock:
            fleet = self._dispatcher.fleet
            for entry in newer:
                _apply_loads(fleet, entry, now)
            fleet.peers_long_load = sum(long_loads)
        if any(entry.leaving_endpoints for entry in newer):
            self.mark_leaving()

    def mark_leaving(self) -> None:
        """Stop sending new work to endpoints that any source reports as leaving."""
        leaving = self._own_leaving() | self._gossiped_leaving()
        with self._dispatcher.lock:
            for name, state in self._dispatcher.fleet.states_by_name.items():
                if state.leaving and name not in leaving:
                    state.available_since = self._clock.monotonic()
                state.leaving = name in leaving

    def poll_filter(self) -> Callable[[str], bool]:
        """Return a predicate that tells whether this daemon polls an endpoint."""
        serving = self._serving()
        return lambda endpoint: self._observers.observes(endpoint, serving)

    def _observed_reports(self, serving: list[str], now: float) -> list[EndpointReport]:
        if polls_itself(len(serving)):
            return []
        reports = []
        for name, state in self._dispatcher.fleet.states_by_name.items():
            if state.report is None or not self._observers.observes(name, serving):
                continue
            reports.append(
                EndpointReport(
                    endpoint=name,
                    age_milliseconds=int(max(0.0, now - state.report.at) * 1000),
                    streams=state.report.streams,
                    queued_tokens=state.report.queued_tokens,
                    kv_tokens_held=state.report.kv_tokens_held,
                )
            )
        return reports

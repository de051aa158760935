"""Polling of engine load and cache events, and of the platform's host list."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.daemon.dispatcher import Dispatcher
from brassdrum.endpoints.engine import EngineClient, EngineLoad
from brassdrum.errors import EndpointFailedError, PlatformUnavailableError
from brassdrum.logservice.hosts import Host, HostList
from brassdrum.routing.state import LoadReport

__all__ = ["EndpointPoller", "HostListPoller"]

_logger = logging.getLogger(__name__)
_POLL_THREADS = 8
_CACHE_EVENT_DELAY_SECONDS = 15.0


class EndpointPoller:
    """Polls load reports and cache events of engines."""

    def __init__(
        self, dispatcher: Dispatcher, clock: Clock, observed: Callable[[], Callable[[str], bool]]
    ) -> None:
        self._observed = observed
        self._dispatcher = dispatcher
        self._clock = clock
        self._executor = ThreadPoolExecutor(_POLL_THREADS, thread_name_prefix="poll")
        self._last_event_by_endpoint: dict[str, int] = {}
        self._last_busy_by_endpoint: dict[str, float] = {}
        self._draining: set[str] = set()

    @property
    def draining(self) -> set[str]:
        """Return the names of the endpoints that report that they are draining."""
        return set(self._draining)

    def step(self) -> None:
        """Poll each engine that this daemon observes once, in random order."""
        engines = list(self._dispatcher.fleet.engines_by_name.values())
        random.shuffle(engines)
        known = self._dispatcher.fleet.states_by_name
        observed = self._observed()
        assigned = [item for item in engines if item.name in known and observed(item.name)]
        list(self._executor.map(self._poll, assigned))
        self._dispatcher.place_queued()

    def close(self) -> None:
        """Cancel pending polls and shut down the thread pool."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _poll(self, engine: EngineClient) -> None:
        try:
            load = engine.load()
            self._update_report(engine.name, load)
            if self._recently_busy(engine.name, load):
                self._apply_cache_events(engine)
        except EndpointFailedError as error:
            _logger.debug(
                "cannot read engine load or cache events",
                extra={"endpoint": engine.name, "reason": str(error)},
            )

    def _recently_busy(self, name: str, load: EngineLoad) -> bool:
        """Return whether cache events may be pending; an idle engine emits none."""
        now = self._clock.monotonic()
        if load.streams or load.waiting:
            self._last_busy_by_endpoint[name] = now
        return (
            now - self._last_busy_by_endpoint.get(name, float("-inf")) < _CACHE_EVENT_DELAY_SECONDS
        )

    def _update_report(self, name: str, load: EngineLoad) -> None:
        # Clocks may be skewed: a timestamp in the future is treated as the current time.
        age = max(0.0, self._clock.now().timestamp() - load.at)
        report = LoadReport(
            at=self._clock.monotonic() - age,
            streams=load.streams + load.waiting,
            queued_tokens=load.queued_tokens,
            kv_tokens_held=load.kv_tokens_held,
        )
        if load.draining:
            self._draining.add(name)
        else:
            self._draining.discard(name)
        with self._dispatcher.lock:
            state = self._dispatcher.fleet.states_by_name.get(name)
            if state is not None:
                state.report = report

    def _apply_cache_events(self, engine: EngineClient) -> None:
        last = self._last_event_by_endpoint.get(engine.name, 0)
        events = engine.cache_events(last)
        if not events:
            return
        prefixes = self._dispatcher.fleet.prefixes
        with self._dispatcher.lock:
            for event in events:
                if event.sequence_number > last + 1 and last:
                    prefixes.record_missed_events(engine.name, event.sequence_number - last - 1)
                last = event.sequence_number
                if event.stored:
                    prefixes.record_stored(engine.name, [event.block_hash])
                else:
                    prefixes.record_removed(engine.name, event.block_hash)
            prefixes.record_received_events(engine.name, len(events))
        self._last_event_by_endpoint[engine.name] = last


@dataclass(frozen=True, slots=True)
class _ListedHost:
    """A host and the local monotonic time at which it was first listed."""

    host: Host
    since: float


class HostListPoller:
    """Polls the platform's host list and keeps the last one while the platform is unavailable."""

    def __init__(self, hosts: HostList, clock: Clock, silent_seconds: Callable[[], float]) -> None:
        self._hosts = hosts
        self._clock = clock
        self._silent_seconds = silent_seconds
        self._listed: tuple[_ListedHost, ...] = ()
        self.available = False
        self.has_read = False

    def step(self) -> None:
        """Read the list once; log a warning on the first of consecutive failures."""
        try:
            self._update(self._hosts.read())
        except PlatformUnavailableError as error:
            if self.available:
                _logger.warning(
                    "cannot read the host list; using the last one", extra={"reason": str(error)}
                )
            self.available = False

    def _update(self, hosts: list[Host]) -> None:
        # Hosts on the first list may have been unreachable for any time, so they count at once.
        now = self._clock.monotonic() if self.has_read else float("-inf")
        since_by_name = {each.host.name: each.since for each in self._listed}
        self._listed = tuple(_ListedHost(host, since_by_name.get(host.name, now)) for host in hosts)
        self.available = True
        self.has_read = True

    def leaving_endpoints(self) -> set[str]:
        """Return the names of the endpoints that are listed as leaving."""
        return {
            each.host.name
            for each in self._listed
            if each.host.role == "endpoint" and each.host.leaving
        }

    def daemon_names(self) -> list[str]:
        """Return the names of daemons that are not leaving and were listed long enough to be heard.

        A new daemon without a heartbeat must not count as partitioned: the serving daemons would
        reserve a share of every limit for it. It accepts no requests until it has heard from
        another daemon or the silence timeout has passed.
        """
        latest = self._clock.monotonic() - self._silent_seconds()
        return [
            each.host.name
            for each in self._listed
            if each.host.role == "daemon" and not each.host.leaving and each.since <= latest
        ]

    def daemon_addresses(self) -> list[str]:
        """Return the peer addresses of all listed daemons, including leaving ones."""
        return [each.host.peer_address for each in self._listed if each.host.role == "daemon"]

"""Learn the endpoints' load, cache events and departures."""

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

__all__ = ["EndpointWatch", "HostWatch"]

_logger = logging.getLogger(__name__)
_POLL_THREADS = 8
_EVENTS_LAG_SECONDS = 15.0


class EndpointWatch:
    """Poll the engines' reports and cache events."""

    def __init__(
        self, dispatcher: Dispatcher, clock: Clock, observed: Callable[[], Callable[[str], bool]]
    ) -> None:
        self._observed = observed
        self._dispatcher = dispatcher
        self._clock = clock
        self._executor = ThreadPoolExecutor(_POLL_THREADS, thread_name_prefix="poll")
        self._last_event_by_endpoint: dict[str, int] = {}
        self._busy_at_by_endpoint: dict[str, float] = {}
        self._draining: set[str] = set()

    @property
    def draining(self) -> set[str]:
        """Return the endpoints that say themselves that they are leaving."""
        return set(self._draining)

    def step(self) -> None:
        """Poll the engines that this daemon observes once, in random order."""
        engines = list(self._dispatcher.fleet.engines_by_name.values())
        random.shuffle(engines)
        known = self._dispatcher.fleet.states_by_name
        observed = self._observed()
        mine = [item for item in engines if item.name in known and observed(item.name)]
        list(self._executor.map(self._poll, mine))
        self._dispatcher.pump()

    def close(self) -> None:
        """Stop polling."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _poll(self, engine: EngineClient) -> None:
        try:
            load = engine.load()
            self._take_load(engine.name, load)
            if self._busy_lately(engine.name, load):
                self._take_events(engine)
        except EndpointFailedError as error:
            _logger.debug("no report", extra={"endpoint": engine.name, "reason": str(error)})

    def _busy_lately(self, name: str, load: EngineLoad) -> bool:
        """Return whether cache events may be on their way; an idle engine changes nothing."""
        now = self._clock.monotonic()
        if load.streams or load.waiting:
            self._busy_at_by_endpoint[name] = now
        return now - self._busy_at_by_endpoint.get(name, float("-inf")) < _EVENTS_LAG_SECONDS

    def _take_load(self, name: str, load: EngineLoad) -> None:
        # The engine's clock may differ from ours: a report from the future counts as made now.
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

    def _take_events(self, engine: EngineClient) -> None:
        last = self._last_event_by_endpoint.get(engine.name, 0)
        events = engine.cache_events(last)
        if not events:
            return
        prefixes = self._dispatcher.fleet.prefixes
        with self._dispatcher.lock:
            for event in events:
                if event.number > last + 1 and last:
                    prefixes.record_missed_events(engine.name, event.number - last - 1)
                last = event.number
                if event.stored:
                    prefixes.record_stored(engine.name, [event.block])
                else:
                    prefixes.record_removed(engine.name, event.block)
            prefixes.record_received_events(engine.name, len(events))
        self._last_event_by_endpoint[engine.name] = last


@dataclass(frozen=True, slots=True)
class _Listed:
    """Hold a host and since when it is on the list, on our clock."""

    host: Host
    since: float


class HostWatch:
    """Read the platform's host list; when it does not answer, the last list holds."""

    def __init__(self, hosts: HostList, clock: Clock, silent_seconds: Callable[[], float]) -> None:
        self._hosts = hosts
        self._clock = clock
        self._silent_seconds = silent_seconds
        self._listed: tuple[_Listed, ...] = ()
        self.answers = False
        self.read_once = False

    def step(self) -> None:
        """Read the list once."""
        try:
            self._take(self._hosts.read())
        except PlatformUnavailableError as error:
            if self.answers:
                _logger.warning("host list not readable", extra={"reason": str(error)})
            self.answers = False

    def _take(self, hosts: list[Host]) -> None:
        # Those of the first list may have been silent for long: they count from the start.
        now = self._clock.monotonic() if self.read_once else float("-inf")
        since_by_name = {each.host.name: each.since for each in self._listed}
        self._listed = tuple(_Listed(host, since_by_name.get(host.name, now)) for host in hosts)
        self.answers = True
        self.read_once = True

    def leaving_endpoints(self) -> set[str]:
        """Return the endpoints that the list says are leaving."""
        return {
            each.host.name
            for each in self._listed
            if each.host.role == "endpoint" and each.host.leaving
        }

    def daemon_names(self) -> list[str]:
        """Return the daemons on the list that are not leaving and would have been heard by now.

        One that was just listed has not been cut off: counted as such, each newcomer took its part
        of every limit, a quarter among three, from those that serve. It takes no requests either
        before it hears another daemon, or for as long as silence is borne.
        """
        latest = self._clock.monotonic() - self._silent_seconds()
        return [
            each.host.name
            for each in self._listed
            if each.host.role == "daemon" and not each.host.leaving and each.since <= latest
        ]

    def daemon_addresses(self) -> list[str]:
        """Return the peer addresses of the daemons on the list."""
        return [each.host.peer_address for each in self._listed if each.host.role == "daemon"]

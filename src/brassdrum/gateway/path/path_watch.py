"""Probe endpoints while the daemon's path to them is in doubt or lost."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

from brassdrum.gateway.model import Headers
from brassdrum.gateway.net.answer_limits import MAX_CONTROL_ANSWER_BYTES
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall, EndpointPool, OutgoingRequest
from brassdrum.gateway.path.path_state import PathState, PathTracker
from brassdrum.telemetry import log_events

__all__ = ["PathWatch"]

_logger = logging.getLogger(__name__)
# Endpoints that are asked at once when a connection fails.
_CHECK_PROBES = 2
# Longer than a handshake between zones and an answer, shorter than a connect timeout.
_PROBE_TIMEOUT_SECONDS = 0.25
# A late answer still proves the path; an established connection stays open this long for it.
_PROBE_CLOSE_SECONDS = 3.0
# Failures after which further endpoints are asked, and how many.
_SUSPICIOUS_FAILURES = 3
_FURTHER_PROBES = 3
# When all probes of a check are over.
_CHECK_SECONDS = 3 * _PROBE_TIMEOUT_SECONDS
# While the path is lost, one endpoint is asked this often.
_LOST_PROBE_SECONDS = 0.4


class PathWatch:
    """Keep the state of the path, from failed connections and from probes."""

    def __init__(
        self,
        loop: EventLoop,
        pool: EndpointPool,
        report_path: str,
        addresses: Callable[[], list[str]],
        rng: random.Random,
        on_changed: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._report_path = report_path.encode()
        self._addresses = addresses
        self._random = rng
        self._on_changed = on_changed
        self._tracker = PathTracker()
        self._timer: Timer | None = None
        self._probed_more = False
        self._on_settled: list[Callable[[], None]] = []

    @property
    def is_open(self) -> bool:
        """Return whether nothing speaks against the path."""
        return self._tracker.state is PathState.OPEN

    @property
    def is_lost(self) -> bool:
        """Return whether no endpoint can be reached from this host."""
        return self._tracker.state is PathState.LOST

    @property
    def probe_interval(self) -> float:
        """Return the seconds between probes while the path is lost."""
        return _LOST_PROBE_SECONDS

    def when_settled(self, action: Callable[[], None]) -> None:
        """Call a function once the path is known to be open or lost, at once if it is."""
        if self._tracker.state is not PathState.CHECKING:
            action()
            return
        self._on_settled.append(action)

    def connection_failed(self, address: str) -> None:
        """Record that no answer came over a new connection, or that none could be opened."""
        before = self._tracker.state
        if self._tracker.connection_failed(address, self._addresses(), self._loop.now()):
            self._changed(before)
        elif before is PathState.CHECKING and self._tracker.failed_count >= _SUSPICIOUS_FAILURES:
            self._probe_more()

    def reached(self, address: str, opened_at: float) -> None:
        """Record the first answer on a connection that was opened at a time."""
        before = self._tracker.state
        if self._tracker.reached(address, opened_at, self._addresses(), self._loop.now()):
            self._changed(before)
        elif before is PathState.LOST:
            # One more answer and the path counts as open.
            self._probe(1)

    def _changed(self, before: PathState) -> None:
        state = self._tracker.state
        if state is PathState.CHECKING:
            self._probed_more = False
            self._probe(_CHECK_PROBES)
            since = self._tracker.since
            self._loop.call_later(_CHECK_SECONDS, lambda: self._end_check(since))
            return
        if PathState.LOST in (before, state):
            self._on_changed()
            log_events.PATH_CHANGED.write(
                _logger, path=state.value, before=before.value, failed=self._tracker.failed_count
            )
        if state is PathState.LOST:
            self._schedule_probe()
        elif self._timer is not None:
            self._timer.cancel()
        settled, self._on_settled = self._on_settled, []
        for action in settled:
            action()

    def _probe_more(self) -> None:
        """Ask further endpoints, once in a check: the first ones asked have failed as well."""
        if not self._probed_more:
            self._probed_more = True
            self._probe(_FURTHER_PROBES)

    def _probe(self, count: int) -> None:
        for address in self._sample(count):
            _Probe(self._loop, self._pool, address, self._report_path, self.connection_failed)

    def _end_check(self, since: float) -> None:
        """Take the path for open if a check has shown nothing."""
        before = self._tracker.state
        if self._tracker.since == since and self._tracker.inconclusive(self._loop.now()):
            self._changed(before)

    def _schedule_probe(self) -> None:
        delay = _LOST_PROBE_SECONDS * self._random.uniform(0.7, 1.3)
        self._timer = self._loop.call_later(delay, self._probe_lost)

    def _probe_lost(self) -> None:
        self._probe(1)
        self._schedule_probe()

    def _sample(self, count: int) -> list[str]:
        """Return random endpoints, those that have not been tried first."""
        known = self._addresses()
        self._random.shuffle(known)
        known.sort(key=self._tracker.has_tried)
        return known[:count]


class _Probe:
    """Ask one endpoint for its report on a new connection; the pool records an answer."""

    def __init__(
        self,
        loop: EventLoop,
        pool: EndpointPool,
        address: str,
        path: bytes,
        on_failed: Callable[[str], None],
    ) -> None:
        self._address = address
        self._on_failed = on_failed
        self._timers = [
            loop.call_later(_PROBE_TIMEOUT_SECONDS, self._timed_out),
            loop.call_later(_PROBE_CLOSE_SECONDS, self._close),
        ]
        host = [(b"Host", address.encode())]
        request = OutgoingRequest(
            b"GET", path, host, b"", max_answer_bytes=MAX_CONTROL_ANSWER_BYTES
        )
        self._call: EndpointCall = pool.call(address, self, request, fresh=True)

    def response_started(self, status: int, headers: Headers) -> None:
        """Do nothing: any answer will do."""

    def response_data(self, content: bytes) -> None:
        """Do nothing: any answer will do."""

    def response_completed(self) -> None:
        """End the probe."""
        self._end()

    def call_failed(self, how: CallFailure, detail: str) -> None:
        """End the probe; the pool has recorded the failure."""
        self._end()

    def _end(self) -> None:
        for timer in self._timers:
            timer.cancel()

    def _timed_out(self) -> None:
        if not self._call.sent:
            self._close()
        self._on_failed(self._address)

    def _close(self) -> None:
        self._end()
        self._call.cancel()

"""Detect whether an endpoint's process has exited when one of its responses is interrupted."""

from __future__ import annotations

import errno
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.gateway.model import EndpointEntry
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.transport import Dialer, Transport
from brassdrum.outcomes.crash_evidence import SOON_SECONDS
from brassdrum.outcomes.fingerprint import RequestTraits

__all__ = ["AffectedRequest", "ExitDetector", "LostRequest"]

# A host whose process has exited refuses connections within a round trip, 1 to 5 ms between zones.
# A timeout may also be a power loss or a network partition and proves nothing about the process.
_PROBE_TIMEOUT_SECONDS = 0.3
# The streams of an endpoint are interrupted nearly simultaneously and share one probe.
_EXIT_CACHE_SECONDS = 2.0
_MAX_CACHED_EXITS = 64
# A request sent on a pooled connection that the endpoint has just closed fails within a round trip,
# 1 to 3 ms, and doesn't show that the endpoint was alive.
_MIN_HELD_SECONDS = 0.005


@dataclass(frozen=True, slots=True)
class LostRequest:
    """A request whose response was interrupted.

    ``began`` tells whether the response had started. ``reached`` tells whether the endpoint was
    provably alive: it accepted a new connection or started to respond.
    """

    request: str
    traits: RequestTraits
    began: bool
    reached: bool
    sent_at: float


@dataclass(frozen=True, slots=True)
class AffectedRequest:
    """A request that was in flight at an endpoint when the endpoint exited.

    ``began`` tells whether its response had started, ``lived`` whether the endpoint was known to be
    alive when the request was sent, and ``soon`` whether it exited shortly after that.
    """

    request: str
    traits: RequestTraits
    began: bool
    lived: bool
    soon: bool = False


class ExitDetector:
    """Probe an endpoint after an interrupted response; a refused connection proves its exit."""

    def __init__(
        self,
        loop: EventLoop,
        dial: Dialer,
        on_exited: Callable[[EndpointEntry, list[AffectedRequest]], None],
    ) -> None:
        self._loop = loop
        self._dial = dial
        self._on_exited = on_exited
        self._requests_by_endpoint: dict[str, list[AffectedRequest]] = {}
        self._interrupted_at_by_endpoint: dict[str, float] = {}
        self._exited_at_by_endpoint: dict[str, float] = {}

    def response_interrupted(self, entry: EndpointEntry, request: LostRequest) -> None:
        """Record that a response was interrupted without an error from the endpoint."""
        interrupted_at = self._first_interrupted_at(entry.id)
        held = interrupted_at - request.sent_at
        lived = request.reached or held >= _MIN_HELD_SECONDS
        affected = AffectedRequest(
            request.request, request.traits, request.began, lived, held < SOON_SECONDS
        )
        exited_at = self._exited_at_by_endpoint.get(entry.id)
        if exited_at is not None and self._loop.now() - exited_at < _EXIT_CACHE_SECONDS:
            self._on_exited(entry, [affected])
            return
        affected_requests = self._requests_by_endpoint.get(entry.id)
        if affected_requests is not None:
            affected_requests.append(affected)
            return
        self._requests_by_endpoint[entry.id] = [affected]
        _ConnectProbe(
            self._loop,
            self._dial,
            entry.address,
            lambda refused: self._probe_done(entry, refused),
        )

    def is_probing(self, endpoint: str) -> bool:
        """Return whether it is not known yet if an endpoint with an interrupted response exited."""
        return endpoint in self._requests_by_endpoint

    def _first_interrupted_at(self, endpoint: str) -> float:
        """Return the time of the first in a burst of interrupted responses of the endpoint."""
        now = self._loop.now()
        interrupted_at = self._interrupted_at_by_endpoint.get(endpoint)
        if interrupted_at is not None and now - interrupted_at < _EXIT_CACHE_SECONDS:
            return interrupted_at
        self._interrupted_at_by_endpoint[endpoint] = now
        while len(self._interrupted_at_by_endpoint) > _MAX_CACHED_EXITS:
            del self._interrupted_at_by_endpoint[next(iter(self._interrupted_at_by_endpoint))]
        return now

    def _probe_done(self, entry: EndpointEntry, refused: bool) -> None:
        affected_requests = self._requests_by_endpoint.pop(entry.id)
        if not refused:
            return
        self._exited_at_by_endpoint[entry.id] = self._loop.now()
        while len(self._exited_at_by_endpoint) > _MAX_CACHED_EXITS:
            del self._exited_at_by_endpoint[next(iter(self._exited_at_by_endpoint))]
        self._on_exited(entry, affected_requests)


class _ConnectProbe:
    """Open a connection, report whether it was refused, and close it."""

    def __init__(
        self, loop: EventLoop, dial: Dialer, address: str, done: Callable[[bool], None]
    ) -> None:
        self._done: Callable[[bool], None] | None = done
        self._transport: Transport | None = None
        self._timer: Timer | None = None
        begun = dial(address)
        if begun.error:
            loop.post(lambda: self._finish(begun.error == errno.ECONNREFUSED))
            return
        self._timer = loop.call_later(_PROBE_TIMEOUT_SECONDS, lambda: self._finish(False))
        self._transport = Transport(loop, begun.socket, self, connecting=True)

    def connection_made(self) -> None:
        """Report that the endpoint is alive: it accepted the connection."""
        self._finish(False)

    def data_received(self, data: bytes) -> None:
        """Report that the endpoint is alive: it sent unsolicited data."""
        self._finish(False)

    def connection_lost(self, error: OSError) -> None:
        """Report whether the failed connection was refused."""
        self._finish(error.errno == errno.ECONNREFUSED)

    def _finish(self, refused: bool) -> None:
        done, self._done = self._done, None
        if done is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
        done(refused)

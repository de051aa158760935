"""Hold what a daemon believes of endpoints and configuration, and log each change of it."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brassdrum.gateway.following.follower import Follower
from brassdrum.gateway.following.knowledge import EndpointChange, Knowledge
from brassdrum.gateway.following.suspicion import Suspicions
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.peering.peer_messages import DrainNotice, PeerStatus
from brassdrum.telemetry import log_events

__all__ = ["Beliefs"]

_logger = logging.getLogger(__name__)


class Beliefs:
    """Take in what own requests, the store and peers say, and tell peers."""

    def __init__(
        self,
        loop: EventLoop,
        knowledge: Knowledge,
        pool: EndpointPool,
        on_changed: Callable[[], None],
        guard: CrashGuard,
    ) -> None:
        self._loop = loop
        self._knowledge = knowledge
        self._pool = pool
        self._on_changed = on_changed
        self._guard = guard
        self._suspicions = Suspicions()
        self._follower: Follower | None = None

    def follow(self, follower: Follower) -> None:
        """Set who reads the store."""
        self._follower = follower

    def list_age(self) -> float | None:
        """Return the seconds since the list of endpoints was read."""
        return None if self._follower is None else self._follower.age()

    def suspect(self, endpoint: str) -> bool:
        """Return whether an endpoint is avoided while others are sound."""
        return self._suspicions.suspect(endpoint, self._loop.now())

    def endpoint_failed(self, endpoint: str, *, certain: bool, detail: str) -> None:
        """Avoid an endpoint that fails; tell peers of what is certain."""
        if self._suspicions.failed(endpoint, self._loop.now(), certain=certain):
            self._log_suspect(endpoint, detail, certain)

    def endpoint_answered_failure(self, endpoint: str, detail: str) -> None:
        """Avoid an endpoint most of whose answers are failures."""
        if self._suspicions.answered_failure(endpoint, self._loop.now()):
            self._log_suspect(endpoint, detail, False)

    def endpoint_served(self, endpoint: str) -> None:
        """Note a whole answer."""
        self._suspicions.succeeded(endpoint)

    def address_reused(self, endpoint: str) -> None:
        """Forget an endpoint whose address answers as another one."""
        entry = self._knowledge.endpoints_by_id.get(endpoint)
        self._knowledge.address_reused(endpoint)
        if entry is not None:
            self._pool.close_idle(entry.address)
            self._log_endpoint(EndpointChange(endpoint, entry.service, "gone"), "address reused")

    def told(self) -> PeerStatus:
        """Return what peers are told."""
        now = self._loop.now()
        return PeerStatus(
            self._knowledge.version,
            self._knowledge.digest,
            self.list_age(),
            self._knowledge.reads,
            failing=tuple(self._suspicions.words(now)),
            draining=tuple(
                DrainNotice(endpoint, age)
                for endpoint, age in self._knowledge.recently_left(now).items()
            ),
            recent_failures=tuple(self._suspicions.doubts(now)),
            endings=self._guard.words(),
            era=self._knowledge.era,
        )

    def word(self, host: str, belief: PeerStatus) -> None:
        """Take in which endpoints and contents of requests a peer names."""
        now = self._loop.now()
        self._guard.hear(belief.endings)
        for failing in belief.failing:
            self._suspicions.heard(failing, now)
        for endpoint in belief.recent_failures:
            if self._suspicions.doubted(endpoint, host, now):
                self._log_suspect(endpoint, f"it failed here or elsewhere, and at {host}", False)
        for word in belief.draining:
            if self._knowledge.leaves(word.endpoint, now - word.age):
                entry = self._knowledge.endpoints_by_id[word.endpoint]
                self._log_endpoint(EndpointChange(entry.id, entry.service, "draining"), host)

    def heard(self, host: str, belief: PeerStatus) -> None:
        """Compare a peer's knowledge with own."""
        assert self._follower is not None
        self._follower.heard(host, belief)

    def configured(self, earlier: int, source: str) -> None:
        """Log the configuration that came into force."""
        configuration = self._knowledge.configuration
        assert configuration is not None
        log_events.CONFIGURED.write(
            _logger,
            version=configuration.version,
            earlier=earlier,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
            source=source,
        )
        self._on_changed()

    def endpoints_changed(self, changes: list[EndpointChange], source: str) -> None:
        """Log the endpoints that joined or left."""
        for change in changes:
            self._log_endpoint(change, source)
            if change.change == "restarted" and change.address is not None:
                self._pool.close_idle(change.address)
        self._suspicions.keep(set(self._knowledge.endpoints_by_id))
        self._on_changed()

    def _log_suspect(self, endpoint: str, detail: str, certain: bool) -> None:
        log_events.ENDPOINT_SUSPECT.write(
            _logger, endpoint=endpoint, detail=detail, certain=certain
        )

    def _log_endpoint(self, change: EndpointChange, source: str) -> None:
        age = self.list_age()
        log_events.ENDPOINT_CHANGED.write(
            _logger,
            endpoint=change.endpoint,
            service=change.service,
            change=change.change,
            source=source,
            age=None if age is None else round(age, 3),
        )

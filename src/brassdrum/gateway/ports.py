"""The ports that a daemon listens on, and the connections that callers have to it."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from typing import Protocol

from brassdrum.gateway.forwarding.responder import ForwardedRequestHandler, PeerResponder
from brassdrum.gateway.measures import GatewayMetrics
from brassdrum.gateway.model import GatewaySettings
from brassdrum.gateway.net.accept_gate import AcceptGate, max_caller_connections
from brassdrum.gateway.net.callers import CallerConnection, Listener, Responder
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.pacing import Pacer
from brassdrum.gateway.pages import Page, PageResponder, ReadinessResponder
from brassdrum.telemetry import log_events
from brassdrum.telemetry.log_events import LogEvent

__all__ = ["DaemonPorts", "PortOwner"]

METRICS_PATH = "/metrics"


class PortOwner(Responder, ForwardedRequestHandler, Protocol):
    """The daemon, which responds to callers and to forwarded requests."""

    settings: GatewaySettings
    loop: EventLoop
    pacer: Pacer
    metrics: GatewayMetrics

    def ready(self) -> bool:
        """Return whether the balancer should send new connections."""

    def log_event(self, event: LogEvent, **values: object) -> None:
        """Log a decision, under the daemon's logger."""


class DaemonPorts:
    """Accept the connections of callers, the balancer, other daemons and collectors of metrics.

    ``peer_pages`` are what other daemons may fetch, by path.
    """

    def __init__(self, daemon: PortOwner, peer_pages: Mapping[str, Page]) -> None:
        self.accept_gate = AcceptGate(max_caller_connections())
        self._daemon = daemon
        self._peer_pages = peer_pages
        self._listeners: list[Listener] = []
        self._connections: set[CallerConnection] = set()
        self._peer_connections: set[CallerConnection] = set()

    def open(self) -> None:
        """Listen on the ports of the settings."""
        settings = self._daemon.settings
        self._listen(settings.caller_port, self._accept_caller)
        self._listen(settings.ready_port, self._accept_probe)
        self._listen(settings.peer_port, self._accept_peer)
        if settings.metrics_port is not None:
            self._listen_for_scrapers(settings.metrics_port)

    @property
    def busy(self) -> bool:
        """Return whether a request is read or processed, or its response delivered.

        Other daemons count like callers: a forwarded answer that is cut off is lost to its caller.
        """
        return any(each.busy for each in self._connections | self._peer_connections)

    def close_idle(self) -> None:
        """Close the connections of callers that have no request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def close(self) -> None:
        """Stop listening; open connections end with the process, and busy ones are recorded."""
        for listener in self._listeners:
            listener.close()
        for connection in self._connections | self._peer_connections:
            connection.record_stop()

    def _listen(self, port: int, accept: Callable[[socket.socket], None]) -> None:
        daemon = self._daemon
        self._listeners.append(Listener(daemon.loop, daemon.settings.host, port, accept))

    def _listen_for_scrapers(self, port: int) -> None:
        """Serve metrics; log an unavailable port instead of failing."""
        try:
            self._listen(port, self._accept_scraper)
        except OSError as error:
            self._daemon.log_event(log_events.METRICS_UNAVAILABLE, port=port, error=str(error))

    def _accept_caller(self, sock: socket.socket) -> None:
        daemon = self._daemon
        admission = self.accept_gate.check(len(self._connections), daemon.loop.lag)
        if not admission.admitted:
            daemon.metrics.record_unread_connection()
            daemon.log_event(
                log_events.CONNECTION_NOT_READ,
                reason=admission.reason,
                open=len(self._connections),
                lag_ms=round(1000 * daemon.loop.lag),
            )
            sock.close()
            return
        self._track(self._connections, sock, daemon)

    def _track(
        self, connections: set[CallerConnection], sock: socket.socket, responder: Responder
    ) -> None:
        """Serve a connection, and keep it among others until it closes."""
        daemon = self._daemon
        connection = CallerConnection(
            daemon.loop,
            sock,
            responder,
            connections.discard,
            daemon.pacer,
            daemon.metrics.record_cut_connection,
        )
        connections.add(connection)

    def _accept_probe(self, sock: socket.socket) -> None:
        responder = ReadinessResponder(self._daemon.ready)
        CallerConnection(self._daemon.loop, sock, responder, _ignore)

    def _accept_peer(self, sock: socket.socket) -> None:
        daemon = self._daemon
        self._track(self._peer_connections, sock, PeerResponder(daemon, self._peer_pages))

    def _accept_scraper(self, sock: socket.socket) -> None:
        # The first scrape waits for the set-up; requests do not.
        daemon = self._daemon
        daemon.metrics.when_set_up(lambda: daemon.loop.post(lambda: self._serve_scraper(sock)))

    def _serve_scraper(self, sock: socket.socket) -> None:
        page = Page(b"text/plain; version=0.0.4", self._daemon.metrics.page)
        CallerConnection(self._daemon.loop, sock, PageResponder({METRICS_PATH: page}), _ignore)


def _ignore(_connection: CallerConnection) -> None:
    """Ignore the end of a connection that is not tracked."""

"""Tell other daemons by datagram what is in flight here and how new this daemon's knowledge is."""

from __future__ import annotations

import logging
import random
import selectors
import socket
from collections.abc import Callable
from dataclasses import dataclass, replace

from brassdrum.gateway.load import LoadRow, LoadTable
from brassdrum.gateway.loop import EventLoop
from brassdrum.gateway.peer_messages import (
    PeerBelief,
    PeerMessage,
    decode_message,
    encode_message,
)
from brassdrum.gateway.spreading import recipients
from brassdrum.telemetry import log_events

__all__ = ["Peers"]

_logger = logging.getLogger(__name__)
# Changes wait this long for others, so that a burst makes one datagram a peer. The pause grows with
# the fleet, since every daemon hears every other one: 4 ms up to 9 daemons, 28 ms at 60.
_FLUSH_SECONDS = 0.004
_DAEMONS_AT_FULL_PACE = 9
_HEARTBEAT_SECONDS = 0.4
_SLOWEST_HEARTBEAT_SECONDS = 1.0
# Rows are repeated for this many heartbeats after a change, since datagrams are lost now and then.
_REPEAT_HEARTBEATS = 2.5
# A daemon that was silent for this many heartbeats is no peer any more.
_FORGET_HEARTBEATS = 7.0
# The work of a daemon that was silent for this many heartbeats counts no more.
_EXPIRE_HEARTBEATS = 4.5
# An address without an answer is tried for this long: a daemon starts within a second or two.
_INTRODUCE_SECONDS = 20.0
_ROWS_PER_MESSAGE = 24
_KNOWN_HOSTS_PER_MESSAGE = 12
_LARGEST_DATAGRAM = 65536


@dataclass(slots=True)
class _Peer:
    name: str
    zone: str
    heard: float
    incarnation: int
    leaving: bool = False


@dataclass(slots=True)
class _Introduction:
    until: float


class Peers:
    """Exchange load and freshness with all live daemons."""

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        host: str,
        zone: str,
        port: int,
        table: LoadTable,
        describe: Callable[[], PeerBelief],
        on_belief: Callable[[str, PeerBelief], None],
        rng: random.Random,
    ) -> None:
        self.leaving = False
        self._loop = loop
        self._name = name
        self._host = host
        self._zone = zone
        self._port = port
        self._sequence = 0
        self.sent_bytes = 0
        self._table = table
        self._describe = describe
        self._on_belief = on_belief
        self._random = rng
        self._incarnation = loop.clock.now().timestamp()
        self._peer_by_host: dict[str, _Peer] = {}
        self._introductions_by_host: dict[str, _Introduction] = {}
        self._changed_at: dict[str, float] = {}
        self._flush_planned = False
        self._beats = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.setblocking(False)
        loop.watch(self._socket, selectors.EVENT_READ, self._ready)
        loop.call_later(0.0, self._beat)

    @property
    def live(self) -> int:
        """Return the number of live daemons, this one too."""
        return 1 + sum(1 for peer in self._peer_by_host.values() if not peer.leaving)

    @property
    def flush_seconds(self) -> float:
        """Return how long changes wait for others before peers are told."""
        return _FLUSH_SECONDS * self._spread()

    @property
    def rank(self) -> int:
        """Return this daemon's place among the live ones, by name."""
        return sum(
            1 for peer in self._peer_by_host.values() if peer.name < self._name and not peer.leaving
        )

    @property
    def hosts(self) -> list[str]:
        """Return the hosts of live peers."""
        return list(self._peer_by_host)

    def introduce(self, host: str) -> None:
        """Tell a host that may run a daemon about this one."""
        if host == self._host or host in self._peer_by_host:
            return
        until = self._loop.now() + _INTRODUCE_SECONDS
        self._introductions_by_host[host] = _Introduction(until)
        self._send_to(host, [], with_hosts=True)

    def changed(self) -> None:
        """Send what changed, together with what changes in the next moment."""
        if self._flush_planned:
            return
        self._flush_planned = True
        self._loop.call_later(self.flush_seconds, self._flush)

    def announce(self) -> None:
        """Tell all peers at once how new this daemon's knowledge is."""
        self._broadcast([])

    def close(self) -> None:
        """Say good-bye."""
        self.leaving = True
        self.announce()
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _flush(self) -> None:
        self._flush_planned = False
        now = self._loop.now()
        changed = list(self._table.changed)
        self._table.changed.clear()
        for endpoint in changed:
            self._changed_at[endpoint] = now
        self._broadcast(self._table.own_rows(changed))

    def _broadcast(self, rows: list[LoadRow], *, with_hosts: bool = False) -> None:
        zones = {host: peer.zone for host, peer in self._peer_by_host.items()}
        for recipient in recipients(self._name, self._zone, zones, self._beats):
            self._send_to(recipient.host, rows, with_hosts=with_hosts, relay=recipient.relay)

    def _spread(self) -> float:
        return max(1.0, self.live / _DAEMONS_AT_FULL_PACE)

    def _heartbeat(self) -> float:
        return min(_SLOWEST_HEARTBEAT_SECONDS, _HEARTBEAT_SECONDS * self._spread())

    def _beat(self) -> None:
        now = self._loop.now()
        heartbeat = self._heartbeat()
        self._table.expire(now, _EXPIRE_HEARTBEATS * heartbeat)
        self._table.refresh(now)
        for host, peer in list(self._peer_by_host.items()):
            if now - peer.heard > _FORGET_HEARTBEATS * heartbeat:
                del self._peer_by_host[host]
                self._table.forget(peer.name)
                log_events.PEER_LOST.write(
                    _logger, peer=peer.name, host=host, silent=round(now - peer.heard, 3)
                )
                self._introductions_by_host[host] = _Introduction(now + _INTRODUCE_SECONDS)
        recent = {
            name
            for name, at in self._changed_at.items()
            if now - at < _REPEAT_HEARTBEATS * heartbeat
        }
        rows = [
            row for row in self._table.own_rows() if row.endpoint in recent or not row.load.empty()
        ]
        self._beats += 1
        self._broadcast(rows, with_hosts=True)
        for host, introduction in list(self._introductions_by_host.items()):
            if now > introduction.until:
                del self._introductions_by_host[host]
                continue
            self._send_to(host, [], with_hosts=True)
        self._loop.call_later(heartbeat, self._beat)

    def _send_to(
        self, host: str, rows: list[LoadRow], *, with_hosts: bool = False, relay: bool = False
    ) -> None:
        known = [each for each in self._peer_by_host if each != host] if with_hosts else []
        hosts = self._random.sample(known, min(len(known), _KNOWN_HOSTS_PER_MESSAGE))
        belief = self._describe()
        for start in range(0, max(1, len(rows)), _ROWS_PER_MESSAGE):
            self._sequence += 1
            message = PeerMessage(
                self._name,
                self._host,
                self._zone,
                round(self._incarnation * 1000),
                self._sequence,
                belief,
                tuple(rows[start : start + _ROWS_PER_MESSAGE]),
                tuple(hosts),
                self.leaving,
                relay,
            )
            self._send(host, encode_message(message))

    def _send(self, host: str, data: bytes) -> None:
        self.sent_bytes += len(data)
        try:
            self._socket.sendto(data, (host, self._port))
        except OSError as error:
            # A lost datagram costs a stale view until the next heartbeat repeats it.
            _logger.debug("datagram not sent", extra={"error": str(error)})

    def _ready(self, _events: int) -> None:
        while True:
            try:
                data, (host, _port) = self._socket.recvfrom(_LARGEST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError as error:
                _logger.debug("datagram not read", extra={"error": str(error)})
                return
            try:
                message = decode_message(data)
            except ValueError as error:
                _logger.warning("peer message dropped", extra={"error": str(error), "from": host})
                continue
            self._take(message)

    def _take(self, message: PeerMessage) -> None:
        now = self._loop.now()
        host = message.host
        if host == self._host:
            return
        if message.relay:
            self._send_on(message)
        peer = self._peer_by_host.get(host)
        if peer is not None and message.incarnation < peer.incarnation:
            return
        if peer is None or message.incarnation > peer.incarnation:
            self._table.forget(message.name)
            peer = _Peer(message.name, message.zone, now, message.incarnation)
            self._peer_by_host[host] = peer
            self._introductions_by_host.pop(host, None)
            log_events.PEER_FOUND.write(_logger, peer=message.name, host=host)
            self._send_to(host, self._table.own_rows(), with_hosts=True)
        peer.heard = now
        peer.leaving = message.leaving
        self._table.merge(message.name, message.rows, now, message.sequence)
        for other in message.hosts:
            if other not in self._introductions_by_host:
                self.introduce(other)
        self._on_belief(host, message.belief)

    def _send_on(self, message: PeerMessage) -> None:
        data = encode_message(replace(message, relay=False))
        for host, peer in self._peer_by_host.items():
            if peer.zone == self._zone and host != message.host:
                self._send(host, data)

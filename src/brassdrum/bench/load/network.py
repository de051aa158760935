"""Carry datagrams between simulated daemons: late, lost or cut off, as a run asks for."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from brassdrum.bench.load.loop import SimulatedLoop

__all__ = ["SimulatedDatagrams", "SimulatedNetwork", "Traffic"]

_WAY_SECONDS = 0.001
_LATE_SECONDS = 0.4


@dataclass(slots=True)
class Traffic:
    """Count what one host sent and got."""

    sent: int = 0
    sent_bytes: int = 0
    got: int = 0
    got_bytes: int = 0


@dataclass(slots=True)
class SimulatedNetwork:
    """Hold the hosts of a run.

    ``loss`` is the share of datagrams that get lost, ``late`` of those that later ones overtake.
    ``on_send`` is called with the host that sends a datagram.
    """

    loop: SimulatedLoop
    rng: random.Random
    loss: float = 0.0
    late: float = 0.0
    cut: set[str] = field(default_factory=set)
    cut_ways: set[tuple[str, str]] = field(default_factory=set)
    traffic_by_host: dict[str, Traffic] = field(default_factory=dict)
    on_send: Callable[[str, bytes], None] | None = None
    _received_by_host: dict[str, Callable[[bytes, str], None]] = field(default_factory=dict)

    def join(self, host: str) -> SimulatedDatagrams:
        """Return the socket of a host."""
        self.traffic_by_host.setdefault(host, Traffic())
        return SimulatedDatagrams(self, host)

    def listen(self, host: str, received: Callable[[bytes, str], None]) -> None:
        """Hand a host's datagrams to a function."""
        self._received_by_host[host] = received

    def leave(self, host: str) -> None:
        """Let a host receive no more."""
        self._received_by_host.pop(host, None)

    def send(self, source: str, host: str, data: bytes) -> None:
        """Send a datagram on its way."""
        traffic = self.traffic_by_host[source]
        traffic.sent += 1
        traffic.sent_bytes += len(data)
        if self.on_send is not None:
            self.on_send(source, data)
        if self._blocked(source, host) or self.rng.random() < self.loss:
            return
        late = self.late > 0 and self.rng.random() < self.late
        seconds = _LATE_SECONDS if late else _WAY_SECONDS
        self.loop.call_later(seconds, lambda: self._arrive(source, host, data))

    def _arrive(self, source: str, host: str, data: bytes) -> None:
        received = self._received_by_host.get(host)
        if received is None or self._blocked(source, host):
            return
        traffic = self.traffic_by_host[host]
        traffic.got += 1
        traffic.got_bytes += len(data)
        received(data, source)

    def _blocked(self, source: str, host: str) -> bool:
        return source in self.cut or host in self.cut or (source, host) in self.cut_ways


class SimulatedDatagrams:
    """Be the socket of one host."""

    def __init__(self, network: SimulatedNetwork, host: str) -> None:
        self._network = network
        self._host = host
        self._closed = False

    def listen(self, received: Callable[[bytes, str], None]) -> None:
        """Hand each datagram and the host that it comes from to a function."""
        self._network.listen(self._host, received)

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram."""
        if not self._closed:
            self._network.send(self._host, host, data)

    def close(self) -> None:
        """Send and receive no more."""
        self._closed = True
        self._network.leave(self._host)

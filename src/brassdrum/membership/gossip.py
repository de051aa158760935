"""Exchange entries, snapshots and slices with other daemons over grpc."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import grpc

from brassdrum.clock import Clock
from brassdrum.membership.peer_pb2 import (
    DaemonEntry,
    GossipMessage,
    LendReply,
    LendRequest,
    SnapshotReply,
    SnapshotRequest,
)
from brassdrum.membership.peer_pb2_grpc import (
    PeerServicer,
    PeerStub,
    add_PeerServicer_to_server,
)
from brassdrum.membership.peers import PeerTable
from brassdrum.telemetry.control_cost import ControlCost

__all__ = ["Gossip", "PeerClients", "PeerServer"]

_logger = logging.getLogger(__name__)
_CALL_SECONDS = 1.0
_SNAPSHOT_SECONDS = 5.0
_SERVER_THREADS = 8
_FIRST_ROUNDS = 5
_SEED_ROUNDS = 30
_MESSAGE_BYTES = 64 << 20
_OPTIONS = [
    ("grpc.max_receive_message_length", _MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    ("grpc.enable_http_proxy", 0),
]


class PeerClients:
    """Keep one channel an address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._channels_by_address: dict[str, grpc.Channel] = {}

    def stub(self, address: str) -> PeerStub:
        """Return a stub for a daemon's address."""
        with self._lock:
            channel = self._channels_by_address.get(address)
            if channel is None:
                channel = grpc.insecure_channel(address, options=_OPTIONS)
                self._channels_by_address[address] = channel
        return PeerStub(channel)

    def snapshot(self, address: str) -> bytes:
        """Return a peer's checkpoint, empty when it has none or does not answer."""
        try:
            reply = self.stub(address).Snapshot(SnapshotRequest(), timeout=_SNAPSHOT_SECONDS)
        except grpc.RpcError:
            return b""
        return reply.checkpoint

    def retain(self, addresses: set[str]) -> None:
        """Close the channels to all other addresses."""
        with self._lock:
            for address in list(self._channels_by_address):
                if address in addresses:
                    continue
                self._channels_by_address.pop(address).close()

    def close(self) -> None:
        """Close all channels."""
        self.retain(set())


class Gossip:
    """Run the rounds of gossip and answer those of others."""

    def __init__(
        self,
        table: PeerTable,
        clients: PeerClients,
        clock: Clock,
        seeds: Callable[[], list[str]],
        describe: Callable[[DaemonEntry], None],
        on_merge: Callable[[list[DaemonEntry]], None],
        cost: ControlCost,
    ) -> None:
        self.table = table
        self.lock = threading.RLock()
        self._cost = cost
        self._clients = clients
        self._clock = clock
        self._seeds = seeds
        self._describe = describe
        self._on_merge = on_merge
        self._random = random.Random()
        self._rounds = 0

    def step(self) -> None:
        """Run one round."""
        with self.lock:
            self._describe(self.table.own)
            self.table.advance()
            now = self._clock.monotonic()
            self.table.forget(now)
            targets = set(self.table.targets(now, self._random))
            message = GossipMessage(sender=self.table.own.name, entries=self.table.rumours())
            seeds = set() if targets and not self._seeks_all() else self._random_seeds()
            known = {record.entry.peer_address for record in self.table.records()}
            self._rounds += 1
        self._clients.retain(known | targets | seeds)
        for address in targets:
            self._send(address, message)
        for address in seeds:
            full = GossipMessage(sender=message.sender, entries=[self.table.own], wants_all=True)
            self._send(address, full)

    def pause(self) -> float:
        """Return the seconds until the next round."""
        with self.lock:
            return self.table.period

    def answer(self, message: GossipMessage) -> GossipMessage:
        """Merge another daemon's entries and return ours."""
        with self.lock:
            newer = self.table.merge(message.entries, self._clock.monotonic())
            entries = self.table.all_entries() if message.wants_all else [self.table.heartbeat()]
            reply = GossipMessage(sender=self.table.own.name, entries=entries)
        self._cost.add("gossip", message.ByteSize())
        self._cost.add("gossip", reply.ByteSize())
        self._on_merge(newer)
        return reply

    def _seeks_all(self) -> bool:
        """Return whether to ask one daemon for everything, to mend what rumours missed."""
        return self._rounds < _FIRST_ROUNDS or self._rounds % _SEED_ROUNDS == 0

    def _random_seeds(self) -> set[str]:
        own = self.table.own.peer_address
        seeds = [address for address in self._seeds() if address and address != own]
        return set(self._random.sample(seeds, min(1, len(seeds))))

    def _send(self, address: str, message: GossipMessage) -> None:
        self._cost.add("gossip", message.ByteSize())
        call = self._clients.stub(address).Gossip.future(message, timeout=_CALL_SECONDS)
        call.add_done_callback(self._receive)

    def _receive(self, call: grpc.Future) -> None:
        if call.cancelled() or call.exception() is not None:
            return
        reply = call.result()
        self._cost.add("gossip", reply.ByteSize())
        with self.lock:
            newer = self.table.merge(reply.entries, self._clock.monotonic())
        self._on_merge(newer)


class _Servicer(PeerServicer):
    def __init__(
        self,
        gossip: Callable[[GossipMessage], GossipMessage],
        snapshot: Callable[[], bytes],
        lend: Callable[[LendRequest], LendReply],
    ) -> None:
        self._gossip = gossip
        self._snapshot = snapshot
        self._lend = lend

    def Gossip(self, request: GossipMessage, context: object) -> GossipMessage:  # noqa: N802
        return self._gossip(request)

    def Snapshot(self, request: SnapshotRequest, context: object) -> SnapshotReply:  # noqa: N802
        return SnapshotReply(checkpoint=self._snapshot())

    def Lend(self, request: LendRequest, context: object) -> LendReply:  # noqa: N802
        return self._lend(request)


class PeerServer:
    """Answer other daemons."""

    def __init__(self, host: str, port: int) -> None:
        self._server = grpc.server(
            ThreadPoolExecutor(_SERVER_THREADS, thread_name_prefix="peer"), options=_OPTIONS
        )
        self.port = self._server.add_insecure_port(f"{host}:{port}")

    def start(
        self,
        gossip: Callable[[GossipMessage], GossipMessage],
        snapshot: Callable[[], bytes],
        lend: Callable[[LendRequest], LendReply],
    ) -> None:
        """Begin to answer with the given functions."""
        add_PeerServicer_to_server(_Servicer(gossip, snapshot, lend), self._server)
        self._server.start()

    def close(self) -> None:
        """Stop answering."""
        self._server.stop(grace=0.2).wait()

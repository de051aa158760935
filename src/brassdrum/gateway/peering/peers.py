"""Exchange of load and configuration status between all live daemons.

Small fleets are ungrouped: each daemon sends its load to all others. In larger fleets the daemons
of a zone form a group, and report to one of them. This aggregator sends the sum to the aggregators
of other groups, and the load of the whole fleet to its members, so that the traffic of a daemon
does not grow with the fleet. If it fails, the members select another one.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.net.datagrams import DatagramTransport
from brassdrum.gateway.net.loop import Timer, Timers
from brassdrum.gateway.peering.directory import PeerDirectory
from brassdrum.gateway.peering.fleet_demand import FleetDemand, LocalDemand
from brassdrum.gateway.peering.fleet_share import FleetShare
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.merged_status import MergedStatus
from brassdrum.gateway.peering.order_section import CLOCK_CYCLE_SECONDS
from brassdrum.gateway.peering.peer_messages import (
    Digest,
    ForwardedDigest,
    Hello,
    Message,
    PermitReply,
    PermitRequest,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.pending_reports import PendingReports
from brassdrum.gateway.peering.probe_list import ProbeList
from brassdrum.gateway.peering.publishers import Aggregators
from brassdrum.gateway.peering.remote_daemons import RemoteDaemons
from brassdrum.gateway.peering.row_publisher import RowPublisher, RowUpdate
from brassdrum.gateway.peering.spreading import fanout_branches
from brassdrum.gateway.peering.topology import Topology
from brassdrum.gateway.peering.transit import TransitTimes
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.slowdown import SlowdownTable
from brassdrum.gateway.throttling.ownership import Member
from brassdrum.gateway.throttling.permits import PermitBroker
from brassdrum.telemetry import log_events

__all__ = ["Peers"]

_MessageT = TypeVar("_MessageT", Report, Digest)

_logger = logging.getLogger(__name__)
# Delay before changes are sent, so that a burst takes one datagram per receiver. It grows with
# the fleet: 4 ms up to 9 daemons, 27 ms at 60.
_MIN_FLUSH_SECONDS = 0.004
_MAX_DAEMONS_AT_MIN_FLUSH = 9
_MAX_FLUSH_SECONDS = 0.08
# Reports have a single receiver and are delayed for this fraction of the time.
_REPORT_FLUSH_FRACTION = 0.25
# Heartbeat intervals of aggregators and of members.
_HEARTBEAT_SECONDS = 0.4
_MEMBER_HEARTBEAT_SECONDS = 0.8
# The load of a daemon or group expires after this many heartbeats without a message.
_EXPIRY_HEARTBEATS = 4.5
# A member selects another aggregator after this time without a message, or without being listed.
_AGGREGATOR_TIMEOUT_SECONDS = 1.5
_UNLISTED_TIMEOUT_SECONDS = 2.0
# At startup, time to wait for replies of the seeds, and again for those of the zone.
_DISCOVERY_SECONDS = 0.25
_MAX_START_PROBES = 16
# The load of the fleet counts as known once this share of the known daemons takes part.
_KNOWN_FLEET_SHARE = 0.8
# Heartbeats between daemon lists; directory entries outlive this interval.
_HEARTBEATS_PER_DAEMON_LIST = 4
# Candidates for the aggregator of each other zone that are asked while the path is lost.
_ASKED_PER_ZONE = 2
_FETCH_SECONDS_PER_DAEMON = 0.004


@dataclass(slots=True)
class _AggregatorState:
    """Latest state received from the aggregator of this daemon, ordered by ``message_number``."""

    heard_at: float
    listed_at: float
    message_number: tuple[int, int] = (-1, -1)
    daemon_count: int = 0
    aggregator_count: int = 0


class Peers:
    """Exchange load and configuration status with all live daemons."""

    def __init__(
        self,
        loop: Timers,
        datagrams: DatagramTransport,
        name: str,
        own: DaemonAddress,
        incarnation: int,
        table: LoadTable,
        local_status: Callable[[], PeerStatus],
        on_knowledge: Callable[[str, PeerStatus], None],
        on_notices: Callable[[str, PeerStatus], None],
        rng: random.Random,
        rate_limit: Callable[[str], float | None] = lambda _: None,
        local_demand: LocalDemand = lambda _: (),
        slowdowns: SlowdownTable | None = None,
    ) -> None:
        self.leaving = False
        self.path_lost = False
        self.fleet_share = FleetShare()
        self._remote_daemons = RemoteDaemons()
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self._loop = loop
        self._datagrams = datagrams
        self._name = name
        self._own = own
        self._incarnation = incarnation
        self._table = table
        self._on_knowledge = on_knowledge
        self._on_notices = on_notices
        self._random = rng
        self._sequence = 0
        self._heartbeats_sent = 0
        self._directory = PeerDirectory(own)
        self._aggregators = Aggregators()
        self._rows_for_groups = RowPublisher(lambda key: self._group.total(key))
        self._rows_for_members = RowPublisher(table.total_by_key)
        self._group = Group(table.own_row, self._rows_for_groups.mark_changed)
        self._topology = Topology(own, self._directory, self._aggregators, self._group, rng)
        self._pending_reports = PendingReports(table.own_row)
        self._probe_list = ProbeList(rng)
        self._aggregator_host: str | None = None
        self._aggregator_state = _AggregatorState(0.0, 0.0)
        self._publish_timer: Timer | None = None
        self._report_timer: Timer | None = None
        self._discovery_done = False
        self.demand = FleetDemand(own.host, local_demand, self._group, self._aggregators)
        self._status = MergedStatus(
            local_status, self._group, self._aggregators, self.demand, slowdowns
        )
        self._transit_times = TransitTimes(CLOCK_CYCLE_SECONDS)
        self._permits = PermitBroker(loop, self, rate_limit, incarnation)
        datagrams.listen(self._handle_datagram)
        loop.call_later(0.0, self._send_heartbeat)
        loop.call_later(_DISCOVERY_SECONDS, self._probe_zone)

    @property
    def permits(self) -> PermitBroker:
        """Return the broker of permits for endpoints that limit their rate."""
        return self._permits

    # PermitTransport interface.

    @property
    def own_host(self) -> str:
        """Return the host of this daemon."""
        return self._own.host

    @property
    def report_target(self) -> str | None:
        """Return the host of the aggregator of this daemon, or None if it is one itself."""
        return None if self.is_aggregator else self._aggregator_host

    def members(self) -> frozenset[Member]:
        """Return all aggregators that are not about to stop, or all if every one is.

        Daemons that are all about to stop still have to agree on one owner of each endpoint.
        """
        own = {Member(self._own.host, self._incarnation)} if self.is_aggregator else set()
        staying = self._aggregators.live_members() | (set() if self.leaving else own)
        return staying or self._aggregators.live_members(with_leaving=True) | own

    def send_message(self, host: str, message: PermitRequest | PermitReply) -> None:
        """Send a datagram; it may get lost."""
        self._send(host, message)

    @property
    def live(self) -> int:
        """Return the number of live daemons, including this one."""
        if not self.is_aggregator and self._aggregator_state.daemon_count:
            return self._aggregator_state.daemon_count
        return max(1, self._aggregators.daemon_count + self._group.daemon_count)

    @property
    def knows_fleet_load(self) -> bool:
        """Return whether most of the daemons that this one knows take part in the known load.

        This is not so for some time after a start.
        """
        if self._aggregator_host is None:
            return False
        return self.live >= _KNOWN_FLEET_SHARE * (1 + len(self._directory))

    @property
    def flush_seconds(self) -> float:
        """Return the delay before changes are sent to the other daemons."""
        return min(_MAX_FLUSH_SECONDS, _MIN_FLUSH_SECONDS * self._flush_scale())

    @property
    def is_aggregator(self) -> bool:
        """Return whether this daemon publishes its own load or that of a group."""
        return self._aggregator_host == self._own.host

    @property
    def rank(self) -> int:
        """Return the position of this daemon among the live ones, aggregators first."""
        if self.is_aggregator:
            return self._aggregators.count_before(self._name)
        return self._aggregator_state.aggregator_count + self.group_rank

    @property
    def group_rank(self) -> int:
        """Return the position of this daemon among those of its zone."""
        hosts = [each.host for each in self._directory.addresses(self._own.zone)]
        return sum(1 for host in hosts if host < self._own.host)

    @property
    def aggregator_silence(self) -> float | None:
        """Return the seconds since the aggregator of this daemon was heard, None without one."""
        if self.report_target is None:
            return None
        return self._loop.now() - self._aggregator_state.heard_at

    @property
    def group_size(self) -> int:
        """Return the number of daemons that share the aggregator, including this one."""
        return 1 if self.is_aggregator else 1 + len(self._directory.addresses(self._own.zone))

    def forward_targets(self) -> list[DaemonAddress]:
        """Return the daemons that may reach the endpoints and are not about to stop."""
        return self._remote_daemons.merged(self._directory.forward_targets())

    def set_path_lost(self, lost: bool) -> None:
        """Tell the other daemons whether this one can reach the endpoints."""
        self.path_lost = lost
        self._remote_daemons.clear()
        self._ask_for_remote_daemons()
        self.announce()

    def _ask_for_remote_daemons(self) -> None:
        """Ask an aggregator of each zone which of its daemons reach the endpoints."""
        if not self.path_lost or not self._topology.grouped:
            return
        if self.report_target is not None:
            self._probe(self.report_target)
        for zone in self._directory.zones() - {self._own.zone}:
            # The most preferred candidate is the aggregator, unless the directory is behind.
            candidates = self._directory.candidates(zone, self._loop.now(), own=False)
            for each in candidates[:_ASKED_PER_ZONE]:
                self._probe(each.host)

    def fetch_delay(self) -> float:
        """Return a random delay in seconds before fetching configuration from the aggregator.

        It keeps the members from saturating the aggregator's link: 39 fetches of 15 KB take 0.23 s
        at 20 Mbit/s.
        """
        if self.is_aggregator:
            return 0.0
        return self._random.uniform(0.0, _FETCH_SECONDS_PER_DAEMON * self.group_size)

    def add_seed(self, host: str) -> None:
        """Probe a host that may run a daemon, until it replies or the probes time out."""
        if host != self._own.host:
            self._probe_list.add_seed(host, self._loop.now())
            self._probe(host)

    def probe_silent_seeds(self) -> None:
        """Probe the seeds that have not replied yet."""
        for host in self._probe_list.due(self._loop.now(), lost_too=False):
            self._probe(host)

    def add_addresses(self, addresses: list[DaemonAddress]) -> None:
        """Add the addresses of daemons that registered in the store."""
        self._directory.add(addresses, self._loop.now())
        self._choose_aggregator()

    def load_changed(self) -> None:
        """Schedule a message with the changed load, coalesced with further changes."""
        if self.is_aggregator:
            self._collect_own_changes()
            self._schedule_publish()
        elif self._aggregator_host is not None:
            self._schedule_report()

    def announce(self) -> None:
        """Send the current status of this daemon without delay."""
        self._choose_aggregator()
        if self.is_aggregator:
            self._publish()
        else:
            self._send_report()

    def close(self) -> None:
        """Announce the departure and close the socket."""
        self.leaving = True
        self._announce_departure()
        self._datagrams.close()

    # Timers.

    def _flush_scale(self) -> float:
        return max(1.0, self.live / _MAX_DAEMONS_AT_MIN_FLUSH)

    def _heartbeat_seconds(self) -> float:
        if not self.is_aggregator:
            return _MEMBER_HEARTBEAT_SECONDS
        return self._aggregator_heartbeat_seconds()

    def _aggregator_heartbeat_seconds(self) -> float:
        scale = 1.0 if self._topology.grouped else self._flush_scale()
        return _HEARTBEAT_SECONDS * scale

    def _send_heartbeat(self) -> None:
        now = self._loop.now()
        self._expire_silent(now)
        self._table.refresh(now)
        self._choose_aggregator()
        for host in self._probe_list.due(now, lost_too=self.is_aggregator):
            self._probe(host)
        self._ask_for_remote_daemons()
        self._table.changed_own_keys |= self._table.prefilling_keys()
        if self.is_aggregator:
            self._collect_own_changes()
            self._publish(heartbeat=True)
        else:
            self._send_report(heartbeat=True)
        self._permits.members_changed()
        self.fleet_share.update(self.live, 1 + len(self._directory), now)
        self._loop.call_later(self._heartbeat_seconds(), self._send_heartbeat)

    def _expire_silent(self, now: float) -> None:
        for address in self._directory.expire(now):
            self._probe_list.add_lost(address.host)
        for host in self._group.silent_hosts(now, _EXPIRY_HEARTBEATS * _MEMBER_HEARTBEAT_SECONDS):
            self._drop_member(host)
        timeout = _EXPIRY_HEARTBEATS * self._aggregator_heartbeat_seconds()
        for sender in self._aggregators.expire(now, timeout):
            self._table.drop_publisher(sender.name)
            _log_peer_lost(sender)

    def _drop_member(self, host: str) -> None:
        sender = self._group.remove(host)
        if sender is not None:
            self._table.drop_publisher(sender.name)
            _log_peer_lost(sender)

    # Aggregator selection.

    def _probe_zone(self) -> None:
        """Probe the daemons of the zone, unless its aggregator is known."""
        if self._discovery_done:
            return
        for host in self._directory.unheard_hosts(self._own.zone)[:_MAX_START_PROBES]:
            self._probe(host)
        self._loop.call_later(_DISCOVERY_SECONDS, self._finish_discovery)

    def _finish_discovery(self) -> None:
        self._discovery_done = True
        self._choose_aggregator()

    def _choose_aggregator(self) -> None:
        """Select the aggregator for this daemon."""
        now = self._loop.now()
        if not self._discovery_done:
            return
        self._topology.update_grouping(self.live)
        aggregator = self._own.host
        if self._topology.grouped:
            candidates = self._directory.candidates(self._own.zone, now, own=not self.leaving)
            aggregator = candidates[0].host if candidates else self._own.host
        if aggregator != self._aggregator_host:
            self._switch_aggregator(aggregator)

    def _switch_aggregator(self, aggregator: str) -> None:
        previous = self._aggregator_host
        self._announce_departure(aggregator)
        self._aggregator_host = aggregator
        now = self._loop.now()
        self._aggregator_state = _AggregatorState(
            now, now, daemon_count=self._aggregator_state.daemon_count
        )
        self._table.clear_acknowledged()
        self._pending_reports.reset()
        self.demand.aggregator_changed()
        self._group.includes_own_load = self.is_aggregator
        self._table.changed_own_keys.update(row.key for row in self._table.own_rows())
        log_events.SPEAKER_CHOSEN.write(
            _logger,
            speaker=aggregator,
            before=previous,
            known=len(self._directory),
            live=self.live,
        )
        if not self.is_aggregator:
            self._send_report(heartbeat=True)
            return
        if previous is not None:
            self._table.drop_other_publishers("")
        self._collect_own_changes()
        self._publish(heartbeat=True)

    def _announce_departure(self, successor: str | None = None) -> None:
        """Leave the aggregator, or step down as the aggregator of a group."""
        if self.report_target is not None:
            self._send(
                self.report_target,
                Report(
                    self._next_sender(), self._status.build(self._loop.now()), leaves_group=True
                ),
            )
        if not self.is_aggregator:
            return
        data = encode_message(self._step_down_digest(successor))
        for host in self._topology.publish_targets():
            self._send_bytes(host, data)
        self._forward_to_members(data)
        for host in self._group.hosts:
            sender = self._group.remove(host)
            if sender is not None:
                self._table.drop_publisher(sender.name)

    def _step_down_digest(self, successor: str | None) -> Digest:
        found = None if successor is None else self._directory.address(successor)
        known = () if found is None else (found,)
        return Digest(
            self._next_sender(),
            self._status.build(self._loop.now()),
            0,
            known_daemons=known,
            steps_down=True,
        )

    def _check_aggregator(self, now: float) -> None:
        aggregator = self.report_target
        if aggregator is None:
            return
        silent = now - self._aggregator_state.heard_at > _AGGREGATOR_TIMEOUT_SECONDS
        unlisted = now - self._aggregator_state.listed_at > _UNLISTED_TIMEOUT_SECONDS
        if silent or unlisted:
            self._directory.exclude(aggregator, now)
            self._choose_aggregator()

    # Sending.

    def _collect_own_changes(self) -> None:
        changed, self._table.changed_own_keys = self._table.changed_own_keys, set()
        self._rows_for_groups.mark_changed(changed)
        self._rows_for_members.mark_changed(changed)

    def _schedule_report(self) -> None:
        if self._report_timer is None:
            pause = self.flush_seconds * _REPORT_FLUSH_FRACTION
            self._report_timer = self._loop.call_later(pause, self._send_report)

    def _schedule_publish(self) -> None:
        if self._publish_timer is None:
            self._publish_timer = self._loop.call_later(self.flush_seconds, self._publish)

    def _send_report(self, *, heartbeat: bool = False) -> None:
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        self._check_aggregator(self._loop.now())
        aggregator = self.report_target
        if aggregator is None:
            return
        changed, self._table.changed_own_keys = self._table.changed_own_keys, set()
        sender = self._next_sender()
        rows = self._pending_reports.rows_to_send(changed, sender.sequence)
        status = self._status.build(self._loop.now(), heartbeat=heartbeat)
        self.demand.reported(sender.sequence, status.demand or ())
        self._send(aggregator, Report(sender, status, rows))

    def _publish(self, *, heartbeat: bool = False) -> None:
        """Send changes of the group to other aggregators, and changes of the fleet to members.

        A ``heartbeat`` also lists all members, and is sent to daemons that may not know this one.
        """
        if self._publish_timer is not None:
            self._publish_timer.cancel()
            self._publish_timer = None
        if not self.is_aggregator:
            return
        self._heartbeats_sent += heartbeat
        own = self._build_digest(
            self._rows_for_groups.take_changed(
                self._loop.now(), include_partition=heartbeat or self._topology.grouped
            ),
            lists_members=heartbeat,
            single_receiver=False,
        )
        data = encode_message(own)
        targets = self._topology.publish_targets()
        if heartbeat:
            targets = [*targets, *self._topology.discovery_targets()]
        for host in targets:
            self._send_bytes(host, data)
        changed, self._table.changed_remote_keys = self._table.changed_remote_keys, set()
        self._rows_for_members.mark_changed(changed)
        if self._group.hosts:
            rows = self._rows_for_members.take_changed(self._loop.now(), include_partition=True)
            self._forward_to_members(
                encode_message(
                    self._build_digest(
                        rows, lists_members=heartbeat, fleet=True, single_receiver=False
                    )
                )
            )

    def _build_digest(
        self,
        update: RowUpdate,
        *,
        lists_members: bool,
        fleet: bool = False,
        single_receiver: bool = True,
    ) -> Digest:
        now = self._loop.now()
        status = self._status.build(now, fleet=fleet, heartbeat=lists_members)
        if not single_receiver:
            targets = self._group.hosts if fleet else self._topology.publish_targets()
            status = self.demand.paced(status, now, targets, fleet=fleet, heartbeat=lists_members)
        return Digest(
            self._next_sender(),
            status,
            self.live if fleet else self._group.daemon_count,
            1 + self._aggregators.live_count(),
            fleet,
            update.rows,
            update.partition,
            update.partition_count,
            self._group.acknowledgements(every=lists_members) if fleet else (),
            self._daemons_to_list() if lists_members and self._daemon_list_due() else (),
            lists_members=lists_members,
        )

    def _daemon_list_due(self) -> bool:
        """Return whether this heartbeat carries the daemon list."""
        return self._heartbeats_sent % _HEARTBEATS_PER_DAEMON_LIST == 0

    def _daemons_to_list(self) -> tuple[DaemonAddress, ...]:
        """Return the daemons of the zone, and the aggregators."""
        named = self._topology.listed_daemons(self._own.zone)
        return tuple(dict.fromkeys([*named, *self._known_aggregators()]))

    def _known_aggregators(self) -> tuple[DaemonAddress, ...]:
        own = (self._own,) if self.is_aggregator else ()
        return (*self._topology.known_aggregators(), *own)

    def _forward_to_members(self, digest: bytes) -> None:
        for branch in fanout_branches(self._group.hosts, self._random):
            self._send(branch.host, ForwardedDigest(branch.forward_to, digest))

    def _probe(self, host: str) -> None:
        self._send(host, Hello(self._next_sender(), wants_reply=True))

    def _next_sender(self) -> Sender:
        self._sequence += 1
        return Sender(
            self._name, self._own, self._incarnation, self._sequence, self.leaving, self.path_lost
        )

    def _send(self, host: str, message: Message) -> None:
        self._send_bytes(host, encode_message(message))

    def _send_bytes(self, host: str, data: bytes) -> None:
        self.sent_bytes += len(data)
        self.sent_datagrams += 1
        self._datagrams.send(host, data)

    # Receiving.

    def _handle_datagram(self, data: bytes, source: str) -> None:
        try:
            message = decode_message(data)
            match message:
                case Hello():
                    self._handle_hello(message)
                case Report():
                    self._handle_report(self._with_true_ages(message))
                case Digest():
                    self._handle_digest(self._with_true_ages(message), data, direct=True)
                case ForwardedDigest():
                    self._handle_forwarded_digest(message)
                case PermitRequest():
                    self._permits.handle_request(message)
                case PermitReply():
                    self._permits.handle_reply(message)
        except ValueError as error:
            _logger.warning("peer message dropped", extra={"error": str(error), "from": source})

    def _with_true_ages(self, message: _MessageT) -> _MessageT:
        """Return a message with the ages that it has when it is read."""
        sender, sent_at = message.sender, message.status.sent_at
        if sent_at is None:
            return message
        host = sender.address.host
        seconds = self._transit_times.excess(host, sender.incarnation, sent_at, self._loop.now())
        if not seconds:
            return message
        log_events.PEER_MESSAGE_LATE.write(
            _logger, host=host, seconds=round(seconds, 3), sequence=sender.sequence
        )
        return replace(message, status=message.status.aged(seconds))

    def _handle_hello(self, hello: Hello) -> None:
        now = self._loop.now()
        address = hello.sender.address
        if address.host == self._own.host:
            return
        first = self._directory.mark_heard(hello.sender, now)
        if self.path_lost and self._topology.grouped and not hello.wants_reply:
            # Only an aggregator knows which daemons of its zone have lost their path.
            if address in hello.aggregators:
                self._remote_daemons.put(address.zone, hello.known_daemons)
        else:
            self._directory.add(hello.known_daemons, now)
        self._directory.add_live(hello.aggregators, now)
        self._probe_list.found(address.host)
        if hello.wants_reply:
            known = self._topology.listed_daemons(address.zone)
            if hello.sender.path_lost and self._topology.grouped:
                known = self._zone_forward_targets()
            self._send(address.host, Hello(self._next_sender(), known, self._known_aggregators()))
        elif any(each.zone == self._own.zone for each in hello.aggregators):
            self._discovery_done = True
        self._choose_aggregator()
        if self.is_aggregator and not self._topology.grouped and first:
            self._send_snapshot(address.host)

    def _zone_forward_targets(self) -> tuple[DaemonAddress, ...]:
        """Return the daemons of this zone that may reach the endpoints."""
        own = () if self.path_lost or self.leaving else (self._own,)
        return (*self._topology.forward_targets(), *own)

    def _send_snapshot(self, host: str, *, fleet: bool = False) -> None:
        """Send all rows to a new member or aggregator."""
        publisher = self._rows_for_members if fleet else self._rows_for_groups
        self._send(host, self._build_digest(publisher.snapshot(), lists_members=True, fleet=fleet))

    def _handle_report(self, report: Report) -> None:
        now = self._loop.now()
        sender = report.sender
        host = sender.address.host
        self._directory.mark_heard(sender, now)
        self._on_notices(host, report.status)
        if report.leaves_group and sender.leaving:
            self._directory.remove(host)
        if not self.is_aggregator:
            if self._aggregator_host is not None and not report.leaves_group:
                self._send(host, self._step_down_digest(self._aggregator_host))
            return
        applied = self._group.apply_report(report, now)
        if applied is None:
            if report.leaves_group:
                self._table.drop_publisher(sender.name)
            return
        if applied.first:
            self._table.drop_publisher(sender.name)
            log_events.PEER_FOUND.write(_logger, peer=sender.name, host=host)
        self._table.merge(sender.name, report.rows, now, sender.sequence)
        self._on_knowledge(host, report.status)
        if applied.first:
            self._send_snapshot(host, fleet=True)
        self._schedule_publish()

    def _handle_forwarded_digest(self, message: ForwardedDigest) -> None:
        if message.forward_to:
            data = encode_message(ForwardedDigest((), message.digest))
            for host in message.forward_to:
                self._send_bytes(host, data)
        digest = decode_message(message.digest)
        if isinstance(digest, Digest):
            self._handle_digest(self._with_true_ages(digest), message.digest, direct=False)

    def _handle_digest(self, digest: Digest, data: bytes, *, direct: bool) -> None:
        now = self._loop.now()
        sender = digest.sender
        host = sender.address.host
        if host == self._own.host:
            return
        first = self._directory.mark_heard(sender, now)
        self._probe_list.found(host)
        if digest.steps_down:
            self._handle_step_down(digest, now)
        elif digest.covers_fleet:
            self._handle_fleet_digest(digest, now)
        elif self.is_aggregator:
            self._handle_group_digest(digest, now)
        elif direct and self._aggregator_host is not None and host != self._aggregator_host:
            # The sender does not know the aggregator of this zone yet.
            self._send(self._aggregator_host, ForwardedDigest((), data))
        if sender.leaving or first:
            self._choose_aggregator()

    def _handle_step_down(self, digest: Digest, now: float) -> None:
        """Drop an aggregator that stepped down; its successor may be named."""
        sender = digest.sender
        host = sender.address.host
        self._directory.add_live(digest.known_daemons, now)
        if self.is_aggregator and self._aggregators.remove(host) is not None:
            self._table.drop_publisher(sender.name)
        if sender.leaving:
            self._directory.remove(host)
        if host == self._aggregator_host:
            self._directory.exclude(host, now)
            self._choose_aggregator()

    def _handle_group_digest(self, digest: Digest, now: float) -> None:
        """Apply the load of another group."""
        sender = digest.sender
        host = sender.address.host
        taken = self._aggregators.apply_digest(digest, now)
        if taken is None:
            return
        if taken.first or taken.restarted:
            self._table.drop_publisher(sender.name)
            log_events.PEER_FOUND.write(_logger, peer=sender.name, host=host)
        self._merge_rows(digest, now)
        self._on_notices(host, digest.status)
        self._on_knowledge(host, digest.status)
        self._directory.add(self._topology.uncovered(digest.known_daemons), now)
        if taken.first:
            self._send_snapshot(host)
        if self._group.hosts:
            self._schedule_publish()

    def _handle_fleet_digest(self, digest: Digest, now: float) -> None:
        """Apply the load of the fleet, as sent by the aggregator of this daemon."""
        sender = digest.sender
        state = self._aggregator_state
        number = (sender.incarnation, sender.sequence)
        if sender.address.host != self.report_target or number <= state.message_number:
            return
        self._table.drop_other_publishers(sender.name)
        state.heard_at = now
        state.message_number = number
        state.daemon_count = digest.daemon_count
        state.aggregator_count = digest.aggregator_count
        self.demand.digest_received(digest, now)
        hosts = [each.host for each in digest.acknowledgements]
        if digest.lists_members:
            self._directory.add(digest.known_daemons, now)
            self._directory.mark_listed(hosts, now)
            remote_hosts = [
                each.host for each in digest.known_daemons if each.zone != self._own.zone
            ]
            self._directory.mark_listed(remote_hosts, now)
        fallen = None
        for each in digest.acknowledgements:
            if each.host == self._own.host:
                state.listed_at = now
                acknowledged_rows = self._pending_reports.acknowledge(each.sequence)
                fallen = self._table.acknowledge(acknowledged_rows)
        self._merge_rows(digest, now, fallen)
        if digest.lists_members and self._own.host not in hosts:
            self._restart_reports()
        self._on_notices(sender.address.host, digest.status)
        self._on_knowledge(sender.address.host, digest.status)

    def _restart_reports(self) -> None:
        """Report all rows again, since the aggregator does not list this daemon."""
        self._table.clear_acknowledged()
        self._pending_reports.reset()
        self._table.changed_own_keys.update(row.key for row in self._table.own_rows())
        self._schedule_report()

    def _merge_rows(self, digest: Digest, now: float, fallen: dict[int, int] | None = None) -> None:
        sender = digest.sender
        self._table.merge(sender.name, digest.rows, now, sender.sequence, fallen)
        if digest.partition_count:
            listed = {row.key for row in digest.rows}
            self._table.drop_unlisted(
                sender.name, listed, digest.partition, digest.partition_count, sender.sequence
            )


def _log_peer_lost(sender: Sender) -> None:
    log_events.PEER_LOST.write(_logger, peer=sender.name, host=sender.address.host)

"""Assembly, start and graceful shutdown of a daemon."""

from __future__ import annotations

import logging
import threading
from contextlib import ExitStack

from brassdrum.admission.lending import MembershipView
from brassdrum.admission.limits import Allowance
from brassdrum.charts import load_chart
from brassdrum.clock import Clock, SystemClock
from brassdrum.contracts.checkpoints import CheckpointWriter
from brassdrum.contracts.records import CLAIM_SHARDS
from brassdrum.contracts.view import FleetView
from brassdrum.daemon.cancels import CancelQueue
from brassdrum.daemon.content_guard import ContentGuard
from brassdrum.daemon.control import ControlState
from brassdrum.daemon.core import Core
from brassdrum.daemon.dispatcher import Dispatcher
from brassdrum.daemon.endpoint_watch import EndpointPoller, HostListPoller
from brassdrum.daemon.explanations import Explanations
from brassdrum.daemon.fleet import Fleet
from brassdrum.daemon.groups import GroupAllocator
from brassdrum.daemon.limits import DistributedLimiter
from brassdrum.daemon.relay import Relay
from brassdrum.daemon.routes import make_router
from brassdrum.daemon.sharing import EndpointGossip
from brassdrum.daemon.watch import ExchangeWatchdog
from brassdrum.leadership.holder import LeaseManager
from brassdrum.leadership.lease import Lease
from brassdrum.logservice.hosts import HttpHostList
from brassdrum.logservice.log import HttpLog
from brassdrum.loops import BackgroundLoops
from brassdrum.membership.gossip import Gossip, PeerClients, PeerServer
from brassdrum.membership.peer_pb2 import LEAVING, READY, STARTING, DaemonEntry
from brassdrum.membership.peers import PeerTable
from brassdrum.outcomes.claimer import ShardedClaims
from brassdrum.outcomes.resume import ResumeTokens
from brassdrum.outcomes.retries import RetryBudget
from brassdrum.settings import DaemonSettings
from brassdrum.telemetry.control_cost import ControlCost
from brassdrum.telemetry.metrics import Metrics
from brassdrum.telemetry.traces import Tracing
from brassdrum.wsgi import HttpServer

__all__ = ["Daemon"]

_logger = logging.getLogger(__name__)
_CHART = load_chart("daemon")
_CHECKPOINT_DUTY = "checkpoint"
_DEFAULT_IDEMPOTENCY_WINDOW_SECONDS = 3600.0
_RETRY_RATIO = 0.1
_WATCHDOG_INTERVAL_SECONDS = 0.2
_DISPATCH_INTERVAL_SECONDS = 0.05
_IDLE_INTERVAL_SECONDS = 0.5
_HOST_LIST_READERS_PER_INTERVAL = 8
_FLUSH_TIMEOUT_SECONDS = 5.0
_FIRST_CONTACT_TIMEOUT_SECONDS = 5.0
# Short, since loops blocked on a peer end by themselves after their own timeout.
_LOOP_STOP_TIMEOUT_SECONDS = 0.1
# For requests that arrived in the last moment; they are refused as not run.
_HTTP_DRAIN_SECONDS = 1.0
# For callers that read the rest of a ready answer slowly; the relay waits as long for them.
_DELIVERY_SECONDS = 30.0


class Daemon:
    """A daemon with its servers and background loops."""

    def __init__(
        self, settings: DaemonSettings, clock: Clock | None = None, policy: str | None = None
    ) -> None:
        self.settings = settings
        self._clock = clock or SystemClock()
        self._cost = ControlCost()
        self._log = HttpLog(
            settings.platform.url,
            settings.platform.timeout_seconds,
            lambda size: self._cost.add("log", size),
        )
        self._clients = PeerClients()
        self._peer_server = PeerServer(settings.peer.host, settings.peer.port)
        self._state = _CHART.initial
        self._state_lock = threading.Lock()
        self._created_at = self._clock.monotonic()
        self._control = ControlState(self._log, self._clock, self._peer_snapshots, self._configure)
        self._claims = ShardedClaims(
            self._log, CLAIM_SHARDS, settings.name, self._clock, _DEFAULT_IDEMPOTENCY_WINDOW_SECONDS
        )
        self._dispatcher = Dispatcher(
            self._clock,
            Fleet(
                self._clock, settings.zone, policy, lambda size: self._cost.add("endpoints", size)
            ),
            settings.queue_length,
        )
        self._limits = DistributedLimiter(
            settings.name, self._clock, self._clients, self._census, self._peer_address, self._cost
        )
        self._hosts = HostListPoller(
            HttpHostList(
                settings.platform.url,
                settings.platform.timeout_seconds,
                lambda size: self._cost.add("hosts", size),
            ),
            self._clock,
            lambda: self.gossip.table.silent_seconds,
        )
        self._sharing = EndpointGossip(
            settings.name,
            self._dispatcher,
            self._clock,
            self._serving_daemons,
            self._known_leaving_endpoints,
            self._gossiped_leaving_endpoints,
        )
        self._endpoint_poller = EndpointPoller(
            self._dispatcher, self._clock, self._sharing.poll_filter
        )
        self.core = self._make_core()
        self._http = HttpServer(
            self._route,
            settings.http.host,
            settings.http.port,
            settings.threads,
            settings.max_body_bytes,
        )
        self.gossip = Gossip(
            PeerTable(self._own_entry(), settings.gossip_seconds),
            self._clients,
            self._clock,
            self._seeds,
            self._fill_own_entry,
            self._apply_merged_entries,
            self._cost,
        )
        self._router = make_router(self.core, self.gossip, self.not_ready)
        self._duty = LeaseManager(
            _CHECKPOINT_DUTY,
            settings.name,
            self._log,
            self._clock,
            self._checkpoint_lease,
            lambda: self._control.log_answers,
            settings.lease_seconds,
        )
        self._checkpoints = CheckpointWriter(
            self._log,
            self._clock,
            self._control.with_fold,
            lambda: self._duty.fencing_token() is not None,
            settings.checkpoint_seconds,
        )
        self._loops = BackgroundLoops(settings.name)

    @property
    def url(self) -> str:
        """Return the base URL of the HTTP server."""
        return f"http://{self.settings.http.host}:{self._http.port}"

    @property
    def peer_address(self) -> str:
        """Return the address of the server for other daemons."""
        return f"{self.settings.peer.host}:{self._peer_server.port}"

    def not_ready(self) -> str | None:
        """Return the reason why the load balancer must not send requests, or None."""
        if self._state in ("leaving", "draining", "stopped"):
            return f"this daemon is {self._state}"
        reason = self._control.not_ready()
        if reason is not None:
            return reason
        return self._check_startup() if self._state == _CHART.initial else None

    def _check_startup(self) -> str | None:
        now = self._clock.monotonic()
        with self.gossip.lock:
            newest = self.gossip.table.newest_revision(now)
        if newest > self._control.revision:
            return f"a peer holds revision {newest}; this daemon {self._control.revision}"
        if (
            newest < 0
            and not self._hosts.has_read
            and self._uptime() < _FIRST_CONTACT_TIMEOUT_SECONDS
        ):
            return "neither the host list nor a peer has responded yet"
        if self._is_isolated(now):
            return "no other daemon on the host list has responded yet"
        # Leaving endpoints must be marked before the first request, not in the next loop iteration.
        self._sharing.mark_leaving()
        with self._state_lock:
            if self._state == _CHART.initial:
                self._state = _CHART.next(self._state, "become_ready")
        return None

    def _is_isolated(self, now: float) -> bool:
        """Return whether other daemons are listed but none has responded since the recent start.

        The others do not yet reserve a share of the limits for this daemon, so granting itself one
        would exceed the limits.
        """
        others = set(self._hosts.daemon_names()) - {self.settings.name}
        with self.gossip.lock:
            table = self.gossip.table
            return bool(
                others and not table.live_peers(now) and self._uptime() < table.silent_seconds
            )

    def _read_hosts(self) -> None:
        self._hosts.step()
        self._sharing.mark_leaving()

    def _host_list_interval(self) -> float:
        """Return an interval that grows with the fleet, since readers share the list by gossip."""
        base = self.settings.poll_seconds
        return base * max(1.0, len(self._serving_daemons()) / _HOST_LIST_READERS_PER_INTERVAL)

    def _watchdog_interval(self) -> float:
        return _WATCHDOG_INTERVAL_SECONDS if len(self.core.watchdog) else _IDLE_INTERVAL_SECONDS

    def _dispatch_interval(self) -> float:
        return _DISPATCH_INTERVAL_SECONDS if len(self._dispatcher.queue) else _IDLE_INTERVAL_SECONDS

    def _transition(self, trigger: str) -> None:
        with self._state_lock:
            self._state = _CHART.next(self._state, trigger)

    def _uptime(self) -> float:
        return self._clock.monotonic() - self._created_at

    def slices_lent(self, organisation: str) -> dict[str, Allowance]:
        """Return the slices of an organisation's limits lent by this daemon, by borrower."""
        return self._limits.slices_lent(organisation)

    def start(self) -> None:
        """Start the servers and the background loops."""
        self._peer_server.start(self.gossip.answer, self._control.snapshot, self._limits.lend)
        self.core.relay.start()
        self._http.start()
        settings = self.settings
        loops = self._loops
        loops.every("control", self._control.pause, self._control.step)
        for shard in self._claims.shards:
            loops.every("claims", shard.tail.retry_delay, shard.tail.step)
            loops.every("appender", lambda: 0.0, shard.appender.step)
        loops.every("gossip", self.gossip.pause, self.gossip.step)
        loops.every("limits", lambda: settings.gossip_seconds, self._limits.renew_slices)
        loops.every("hosts", self._host_list_interval, self._read_hosts)
        loops.every("endpoints", lambda: settings.poll_seconds, self._endpoint_poller.step)
        loops.every("leaving", lambda: settings.poll_seconds / 2, self._sharing.mark_leaving)
        loops.every("watch", self._watchdog_interval, self.core.watchdog.step)
        loops.every("groups", self.core.groups.renewal_interval, self.core.groups.renew)
        loops.every("cancels", lambda: 0.0, self.core.cancels.step)
        loops.every("tick", self._dispatch_interval, self._dispatcher.place_queued)
        loops.every("duty", lambda: settings.lease_seconds / 10, self._duty.step)
        loops.every("checkpoint", lambda: settings.lease_seconds / 5, self._checkpoints.step)
        _logger.info("daemon started", extra={"http": self.url, "peer": self.peer_address})

    def stop(self) -> None:
        """Shut down gracefully: become not ready, then wait for active requests."""
        self._announce_leaving()
        self._clock.sleep(self.settings.shutdown.notice_seconds)
        self._transition("drain")
        self.core.stopping.set()
        is_idle = self.core.active.wait_idle(self.settings.shutdown.drain_seconds)
        if not is_idle:
            _logger.warning(
                "drain timeout expired; aborting active requests",
                extra={"left": len(self.core.active)},
            )
        self._duty.release()
        self._limits.return_slices()
        self._deliver_answers(_DELIVERY_SECONDS if is_idle else _HTTP_DRAIN_SECONDS)
        self._flush_claims()
        self.close()

    def _deliver_answers(self, seconds: float) -> None:
        """Wait for callers that have not read all of their answers."""
        limit = self._clock.monotonic() + seconds
        self._http.drain(seconds)
        if not self.core.relay.wait_delivered(max(0.0, limit - self._clock.monotonic())):
            _logger.warning("callers have not read all of their answers before the daemon stops")

    def close(self) -> None:
        """Stop immediately."""
        if self._state == "stopped":
            return
        self._transition("stop")
        with ExitStack() as parts:
            # Each one is closed even if another fails; a running loop would keep the process alive.
            parts.callback(self.core.metrics.close)
            parts.callback(self.core.tracing.close)
            parts.callback(self._clients.close)
            parts.callback(self._endpoint_poller.close)
            parts.callback(self._loops.stop, timeout=_LOOP_STOP_TIMEOUT_SECONDS)
            parts.callback(self._peer_server.close)
            parts.callback(self.core.relay.close)
            parts.callback(self._http.close)
        _logger.info("daemon stopped")

    def _make_core(self) -> Core:
        settings = self.settings
        return Core(
            settings=settings,
            clock=self._clock,
            control=self._control,
            dispatcher=self._dispatcher,
            limits=self._limits,
            claims=self._claims,
            resume_tokens=ResumeTokens(settings.resume_keys),
            watchdog=ExchangeWatchdog(self._clock),
            cancels=CancelQueue(self._clock),
            relay=Relay(self._clock),
            groups=GroupAllocator(self._dispatcher, self._clock, settings.name),
            explanations=Explanations(self._clock),
            metrics=Metrics(settings.name),
            tracing=Tracing(settings.telemetry, settings.name),
            retry_budget=RetryBudget(_RETRY_RATIO),
            cost=self._cost,
            guard=ContentGuard(self._clock),
        )

    def _route(self, environ, start_response):
        # Defers to the router, which is created after the server because gossip needs its port.
        return self._router(environ, start_response)

    def _configure(self, view: FleetView) -> None:
        with self._dispatcher.lock:
            self._dispatcher.fleet.configure(view.configuration)
        self._limits.configure(view.contracts_by_organisation.values())
        self._claims.set_window(view.configuration.idempotency_window_seconds)

    def _own_entry(self) -> DaemonEntry:
        return DaemonEntry(
            name=self.settings.name,
            zone=self.settings.zone,
            peer_address=self.peer_address,
            http_address=f"{self.settings.http.host}:{self._http.port}",
            incarnation=round(self._clock.now().timestamp() * 1000),
            state=STARTING,
            revision=-1,
            through=-1,
        )

    def _fill_own_entry(self, entry: DaemonEntry) -> None:
        entry.revision = self._control.revision
        entry.through = self._control.through
        if entry.state != LEAVING:
            entry.state = STARTING if self.not_ready() else READY
        self._sharing.fill_entry(entry)
        self.core.guard.fill_entry(entry)

    def _apply_merged_entries(self, newer: list[DaemonEntry]) -> None:
        with self.gossip.lock:
            live = self.gossip.table.live_peers(self._clock.monotonic())
            long_loads = [record.entry.long_load for record in live]
        self._sharing.merge_entries(newer, long_loads)
        self.core.guard.merge_entries(newer)

    def _known_leaving_endpoints(self) -> set[str]:
        return self._hosts.leaving_endpoints() | self._endpoint_poller.draining

    def _gossiped_leaving_endpoints(self) -> set[str]:
        with self.gossip.lock:
            return self.gossip.table.leaving_endpoints(self._clock.monotonic())

    def _serving_daemons(self) -> list[str]:
        with self.gossip.lock:
            return self.gossip.table.serving(self._clock.monotonic())

    def _census(self) -> MembershipView:
        live = self._serving_daemons()
        with self.gossip.lock:
            left = self.gossip.table.left()
        # A gracefully leaving daemon is not partitioned: what it still uses counts as lent to it.
        # Counting it as silent too could leave the next borrower without a slice for a term.
        return MembershipView(live, sorted({*live, *self._hosts.daemon_names()} - left))

    def _peer_address(self, daemon: str) -> str | None:
        with self.gossip.lock:
            record = self.gossip.table.record(daemon)
        return None if record is None else record.entry.peer_address

    def _seeds(self) -> list[str]:
        return [*self.settings.peers, *self._hosts.daemon_addresses()]

    def _peer_snapshots(self) -> list[bytes]:
        addresses = set(self._seeds())
        with self.gossip.lock:
            for record in self.gossip.table.live_peers(self._clock.monotonic()):
                addresses.add(record.entry.peer_address)
        addresses.discard(self.peer_address)
        return [self._clients.snapshot(address) for address in sorted(addresses)[:3]]

    def _checkpoint_lease(self) -> Lease | None:
        lease = self._control.with_fold(lambda fold: fold.leases.get(_CHECKPOINT_DUTY))
        return lease if isinstance(lease, Lease) else None

    def _announce_leaving(self) -> None:
        _logger.info("daemon leaving", extra={"active": len(self.core.active)})
        self._transition("leave")
        with self.gossip.lock:
            self.gossip.table.own.state = LEAVING

    def _flush_claims(self) -> None:
        limit = self._clock.monotonic() + _FLUSH_TIMEOUT_SECONDS
        for shard in self._claims.shards:
            while shard.appender.unwritten and self._clock.monotonic() < limit:
                self._clock.sleep(0.05)

"""Run daemons as processes, callers and faults, and judge what was seen."""

from __future__ import annotations

import math
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path

from brassdrum.platform.standin import Replica, Store, boot_file, request_of
from brassdrum.soak.actions import ACTIONS
from brassdrum.soak.callers import Callers, Keys
from brassdrum.soak.checks import judge
from brassdrum.soak.connections import ConnectionOwners, addresses_of
from brassdrum.soak.endless import ENDLESS_KINDS, STREAM_KINDS, EndlessLimit, send_endless
from brassdrum.soak.history import (
    RECOVERY_SECONDS,
    CutOff,
    EndlessAnswer,
    History,
    ReplicaPause,
    Send,
    Violation,
)
from brassdrum.soak.plan import PlannedFault, draw_plan
from brassdrum.soak.processes import DAEMON_PLANTS, DaemonProcess
from brassdrum.soak.proxy import Proxy
from brassdrum.soak.replicas import ZONES
from brassdrum.standins.ports import free_port

__all__ = ["PLANTS", "EndsBy", "Soak", "SoakReport", "SoakSize"]

_READY_SECONDS = 30.0
_RESTART_SECONDS = 0.2
# Held memory ends by itself after 3.2 s; then nothing may be left.
_SETTLE_SECONDS = 5.0
# Longer than a daemon may hold an endless answer after its request.
_PLANT_SETTLE_SECONDS = 1.5
# Entries of replicas on the platform are at most 1.2 s old.
_LISTED_AGAIN_SECONDS = 0.4
# What a planted fault lets each replica do wrong.
_REPLICA_PLANTS = {
    "repeat": ("repeat", 0.3),
    "spoil": ("spoil", 0.3),
    "hide_cold": ("hide_cold", True),
    "break_long": ("break_long", 1.0),
}
# Other faults and requests that end replicas are left out beside these, since they may hide what
# is planted: a replica that ends early does not exceed its cold limit.
_PLAYED_KIND_BY_PLANT = {
    "hide_evacuations": "evacuate",
    "hide_cold": "turn_cold",
    "break_long": "read_slowly",
    "give_up_silent": "pause_replicas",
    "miss_deadlines": "endless",
    "pass_everything_on": "endless",
    "hoard_memory": "reload",
}
PLANTS = ("hide_evacuations", *_REPLICA_PLANTS, *DAEMON_PLANTS)
# With a planted fault the answers are those that show it: all of one kind.
_ENDLESS_KIND_BY_PLANT = {"miss_deadlines": "slow_heads", "pass_everything_on": "event"}
_ENDLESS_SHARE = 0.3
# A replica that never sends for longer would be left by callers of their own accord, after 4 s.
_LONGEST_PAUSE_SECONDS = 3.0
# What endless answers may cost the processes of the soak: some MB/s, and 30 of 8 s at most.
_ENDLESS_AT_ONCE = 4
_ENDLESS_IN_ALL = 30


class EndsBy(StrEnum):
    """What the requests that end replicas have in common."""

    CONTENT = "content"
    PART = "part"


@dataclass(frozen=True, slots=True)
class SoakSize:
    """Hold how large and long a soak is, and by what requests end replicas."""

    daemons: int = 3
    replicas: int = 4
    callers: int = 8
    seconds: float = 10.0
    ends_by: EndsBy = EndsBy.CONTENT


@dataclass(frozen=True, slots=True)
class SoakReport:
    """Hold what a soak found."""

    seed: int
    requests: int
    served: int
    faults: list[str]
    violations: list[Violation]


class Soak:
    """Run one seed."""

    def __init__(self, seed: int, size: SoakSize, folder: Path, plant: str = "") -> None:
        self.seed = seed
        self.size = size
        self.history = History()
        self.random = random.Random(seed)
        self.store = Store()
        self.keys = Keys()
        self._folder = folder
        self._plant = plant
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._replica_count = 0
        self.replicas: list[Replica] = []
        self.links: dict[str, Proxy] = {}
        self.store_links: list[Proxy] = []
        self.store.hide_evacuations = plant == "hide_evacuations"
        self.daemons: list[DaemonProcess] = []
        self.callers = Callers(
            seed,
            self.daemons,
            self.keys,
            self.history,
            ends_by_part=size.ends_by is EndsBy.PART,
        )
        self._endless_limit = EndlessLimit(_ENDLESS_AT_ONCE, _ENDLESS_IN_ALL)
        self._cut: dict[DaemonProcess, str] = {}
        # All that ran, also those that have ended.
        self._daemon_by_process: dict[int, str] = {}
        self._owners = ConnectionOwners(lambda: list(self._daemon_by_process))

    def run(self) -> SoakReport:
        """Play the plan of the seed and judge."""
        only = _PLAYED_KIND_BY_PLANT.get(self._plant)
        plan = [
            fault
            for fault in draw_plan(self.seed, self.size.seconds)
            if only is None or fault.kind == only
        ]
        try:
            self._set_up()
            self.callers.start(self.size.callers, end_replicas=only is None)
            threading.Thread(target=self._keep_running, daemon=True).start()
            self._play(plan)
            self._stop.set()
            self.callers.stop()
            self.history.unfinished = self.callers.join()
            for daemon in self.daemons:
                self._note_peak(daemon)
            # No planted fault is about memory that stays held.
            time.sleep(_PLANT_SETTLE_SECONDS if self._plant else _SETTLE_SECONDS)
            self.history.held_at_end = sum(replica.held() for replica in self.replicas)
            self.history.errors_by_daemon = {
                daemon.name: daemon.logged_errors() for daemon in self.daemons
            }
        finally:
            self._tear_down()
        results = self.history.results
        return SoakReport(
            self.seed,
            len(results),
            sum(result.status == 200 and result.whole for result in results),
            [f"{fault.at:.2f} {fault.kind}" for fault in plan],
            judge(self.history),
        )

    def disturb(self, daemon: str, seconds: float, *, stops: bool = False) -> None:
        """Note that a daemon cannot be held to times for a span and what follows it.

        One that ``stops`` as planned still serves what it has.
        """
        now = time.monotonic()
        span = (now, now + seconds + RECOVERY_SECONDS)
        self.history.disturbed_by_daemon.setdefault(daemon, []).append(span)
        if stops:
            self.history.stops_by_daemon.setdefault(daemon, []).append(span)

    def harm(self, replica: str, seconds: float) -> None:
        """Note that answers of a replica may break off for a span."""
        now = time.monotonic()
        self.history.harmed_by_replica.setdefault(replica, []).append((now, now + seconds))

    def pause_replica(self, replica: str, seconds: float) -> None:
        """Let a replica take and send nothing for a span, which may follow another one."""
        now = time.monotonic()
        since = now
        with self._lock:
            for pause in reversed(self.history.pauses):
                if pause.replica == replica and pause.since <= since <= pause.until:
                    since = pause.since
            until = min(now + seconds, since + _LONGEST_PAUSE_SECONDS)
            if until > now:
                self.history.pauses.append(ReplicaPause(replica, now, until))
                self.links[replica].pause_until(until)

    @property
    def endless_share(self) -> float:
        """Return to which share of its requests a replica sends endless answers."""
        return 1.0 if self._plant in _ENDLESS_KIND_BY_PLANT else _ENDLESS_SHARE

    def _note_send(self, replica: str, data: bytes, process: int | None, at: float) -> None:
        request = request_of(data)
        if request:
            daemon = "" if process is None else self._daemon_by_process.get(process, "")
            self.history.sends.append(Send(request, replica, daemon, at))

    def _send_endless(
        self, replica: str, daemon: str, connection: socket.socket, request: str, streams: bool
    ) -> bool:
        """Send an endless answer, unless enough are sent."""
        planted = _ENDLESS_KIND_BY_PLANT.get(self._plant)
        kinds = [
            kind
            for kind in ENDLESS_KINDS
            if planted in (None, kind) and (streams or kind not in STREAM_KINDS)
        ]
        if not kinds or not self._endless_limit.take():
            return False
        kind = kinds[int(self.random.random() * len(kinds))]
        since = time.monotonic()
        self.history.spoilt.add(request)
        try:
            send_endless(connection, request, kind)
        finally:
            self._endless_limit.give_back()
        answer = EndlessAnswer(request, replica, daemon, kind, since, time.monotonic())
        self.history.endless_answers.append(answer)
        return True

    def cut_off(self, cut: list[DaemonProcess], how: str, seconds: float) -> None:
        """Cut daemons off from all replicas for a span, also after a restart."""
        now = time.monotonic()
        names = frozenset(daemon.name for daemon in cut)
        self.history.cuts.append(CutOff(names, now, now + seconds))
        self._cut = dict.fromkeys(cut, how)
        for daemon in cut:
            self._apply_cut(daemon, list(self.links.values()))
        self.after(seconds, self._end_cut)

    def _apply_cut(self, daemon: DaemonProcess, links: list[Proxy]) -> None:
        how, process = self._cut.get(daemon), daemon.process_id
        if how is None or process is None:
            return
        owned = addresses_of(process)
        for link in links:
            link.cut_off(process, how, owned)

    def _end_cut(self) -> None:
        self._cut = {}
        for link in list(self.links.values()):
            link.end_cuts()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Act later, in a thread of its own."""
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        timer.start()

    def add_replica(self) -> Replica:
        """Start a replica behind a link of its own and list it."""
        self._replica_count += 1
        name = f"replica-{self.seed}-{self._replica_count}"

        def sender_of(connection: socket.socket) -> str:
            return self._daemon_by_process.get(link.process_behind(connection), "")

        def note_send(data: bytes, process: int | None, at: float) -> None:
            self._note_send(name, data, process, at)

        replica = Replica(
            name,
            self.history.runs,
            self.history.arrivals,
            self.history.spoilt,
            self.random.random,
            lambda: self.replica_ends(replica),
            sender_of,
            lambda connection: link.received_at(connection),
            lambda connection, request, streams: self._send_endless(
                name, sender_of(connection), connection, request, streams
            ),
        )
        link = Proxy(replica.own_address, owners=self._owners, on_received=note_send)
        replica.address = link.address
        zones = [each.zone for each in self.replicas]
        replica.zone = min(ZONES, key=zones.count)
        self.history.zone_by_replica[name] = replica.zone
        if self._plant in _REPLICA_PLANTS:
            fault, value = _REPLICA_PLANTS[self._plant]
            setattr(replica.faults, fault, value)
        self.links[name] = link
        for daemon in list(self._cut):
            self._apply_cut(daemon, [link])
        self.replicas.append(replica)
        self.store.list_replica(replica, draining=False)
        return replica

    def replica_ends(self, replica: Replica) -> None:
        """Let a replica's process end; its entry lapses and another replica comes."""
        with self._lock:
            if replica not in self.replicas:
                return
            self.replicas.remove(replica)
        self.harm(replica.name, math.inf)
        self.links[replica.name].close()
        replica.close()
        self.add_replica()
        self.after(1.0, lambda: self.store.remove_replica(replica.name))

    def keep_listed(self, replica: Replica) -> None:
        """Write the entry of a replica in service again and again until it is warm."""
        with self._lock:
            if replica not in self.replicas:
                return
            self.store.list_replica(replica, draining=False)
        if replica.remaining_cold_ms():
            self.after(_LISTED_AGAIN_SECONDS, lambda: self.keep_listed(replica))

    def configure(self) -> None:
        """Write the keys that are in force now."""
        self.store.configure(self.keys.by_organisation)

    def pick_replica(self, fault: PlannedFault) -> Replica:
        """Return the replica that a fault strikes."""
        return self.replicas[fault.choice % len(self.replicas)]

    def replace_replica(self, fault: PlannedFault) -> Replica:
        """Take the replica that a fault strikes out of service, start another, return the old."""
        with self._lock:
            replica = self.pick_replica(fault)
            self.replicas.remove(replica)
        self.add_replica()
        return replica

    def pick_daemon(self, fault: PlannedFault) -> DaemonProcess:
        """Return the daemon that a fault strikes."""
        return self.daemons[fault.choice % len(self.daemons)]

    def _set_up(self) -> None:
        for organisation in ("org-1", "org-2"):
            for _ in range(3):
                self._issue(organisation)
        self.configure()
        for _ in range(self.size.replicas):
            self.add_replica()
        peer_port = free_port()
        for number in range(1, self.size.daemons + 1):
            self.daemons.append(self._make_daemon(number, peer_port))
        for daemon in self.daemons:
            self._start(daemon)
        limit = time.monotonic() + _READY_SECONDS
        while not all(daemon.ready() for daemon in self.daemons):
            if time.monotonic() > limit:
                raise TimeoutError("The daemons did not become ready; read their logs.")
            time.sleep(0.05)

    def _make_daemon(self, number: int, peer_port: int) -> DaemonProcess:
        name = f"daemon-{number}"
        # Soaks of other seeds may run beside this one on hosts of their own.
        host = f"127.{self.seed // 250 % 250 + 1}.{self.seed % 250}.{number}"
        link = Proxy(self.store.address)
        self.store_links.append(link)
        boot = self._folder / f"{name}.json"
        ports = (free_port(), free_port())
        plant = self._plant if self._plant in DAEMON_PLANTS else ""
        daemon = DaemonProcess(name, host, boot, self._folder / f"{name}.log", ports, plant)
        zone = ZONES[number % len(ZONES)]
        boot_file(boot, name, daemon.host, (*ports, peer_port), link.address, zone)
        return daemon

    def _start(self, daemon: DaemonProcess) -> None:
        daemon.start()
        if daemon.process_id is not None:
            self._daemon_by_process[daemon.process_id] = daemon.name

    def _issue(self, organisation: str) -> None:
        self.history.organisation_by_key[self.keys.issue(organisation)] = organisation

    def _tear_down(self) -> None:
        self.callers.stop()
        self._stop.set()
        for daemon in self.daemons:
            daemon.close()
        for link in (*self.links.values(), *self.store_links):
            link.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()

    def _play(self, plan: list[PlannedFault]) -> None:
        started = time.monotonic()
        for fault in plan:
            time.sleep(max(0.0, started + fault.at - time.monotonic()))
            ACTIONS.get(fault.kind)(self, fault)
        time.sleep(max(0.0, started + self.size.seconds - time.monotonic()))

    def _note_peak(self, daemon: DaemonProcess) -> None:
        peaks = self.history.peak_mb_by_daemon
        peaks[daemon.name] = max(peaks.get(daemon.name, 0.0), daemon.peak_memory_mb())

    def _keep_running(self) -> None:
        while not self._stop.is_set():
            for daemon in self.daemons:
                self._note_peak(daemon)
                if daemon.wanted and daemon.ended():
                    time.sleep(_RESTART_SECONDS)
                    if self._stop.is_set():
                        return
                    self.disturb(daemon.name, 0.0)
                    self._start(daemon)
                    self._apply_cut(daemon, list(self.links.values()))
            time.sleep(0.05)

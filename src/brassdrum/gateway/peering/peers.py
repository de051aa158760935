"""Share work in flight and freshness of knowledge with all live daemons, at a cost that stays flat.

Up to a dozen daemons speak for themselves, each to all. In larger fleets the daemons of a zone are
a group: they report to one of them, which adds up their work and tells it to the other groups'
speakers, and to its members what all groups tell. Nobody is set aside for it: any daemon takes the
part over when the one before is silent.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from brassdrum.gateway.following.suspicion import longest_notices
from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.net.datagrams import Datagrams
from brassdrum.gateway.net.loop import Timer, Timers
from brassdrum.gateway.peering.directory import Directory
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.own_reports import OwnReports
from brassdrum.gateway.peering.peer_messages import (
    Bundle,
    Digest,
    Hello,
    PeerBelief,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.publishers import Publishers
from brassdrum.gateway.peering.row_teller import RowTeller, ToldRows
from brassdrum.gateway.peering.spreading import branches
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.telemetry import log_events

__all__ = ["Peers"]

_logger = logging.getLogger(__name__)
# Changes wait this long for others, so that a burst makes one datagram a receiver. The pause grows
# with the fleet, as the changes of all come together: 4 ms up to 9 daemons, 27 ms at 60.
_FLUSH_SECONDS = 0.004
_DAEMONS_AT_FULL_PACE = 9
_LONGEST_FLUSH_SECONDS = 0.08
# A report waits for this part of the pause: it goes to one daemon only.
_REPORT_SHARE = 0.25
# Fleets up to this size need no groups: 12 daemons send 11 datagrams a change. A fleet with groups
# gives them up when it is smaller by the margin, so that it does not change with each restart.
_MOST_UNGROUPED = 12
_GROUPED_MARGIN = 2
# Who speaks for a group, and for itself, gives a sign of life each heartbeat; members less often.
_HEARTBEAT_SECONDS = 0.4
_MEMBER_HEARTBEAT_SECONDS = 0.8
# The work of a daemon or group that was silent for this many heartbeats counts no more.
_EXPIRE_HEARTBEATS = 4.5
# A member that hears nothing of its speaker for this long, or stays off its roll, chooses anew.
_SPEAKER_SILENCE_SECONDS = 1.5
_OFF_ROLL_SECONDS = 2.0
# A start waits this long for an answer of its first addresses, and once more for one of the daemons
# of its zone, before it speaks for itself.
_SETTLE_SECONDS = 0.25
_GREETED_AT_START = 16
# An address without an answer is greeted for this long: a daemon starts within a second or two.
_GREET_SECONDS = 20.0
# Whoever speaks goes on greeting hosts that fell silent, this many each heartbeat, so that groups
# that lost each other for an hour find each other again; more hosts than this are not remembered.
_GREETED_PER_HEARTBEAT = 2
_MOST_LOST = 64
# Fleets up to this size name all daemons to each other, larger ones those of a zone and speakers.
_MOST_NAMED_DAEMONS = 24
# Zones of which no speaker is known are asked through this many of their daemons, others each time.
_GREETED_PER_ZONE = 3
# Signs of life from one that names the daemons of the zone to the next: they are kept for 4 s.
_ROLLS_PER_LIST = 4
# Endpoints of one kind that a message names at most.
_MOST_NAMED = 64
_FETCH_SECONDS_PER_DAEMON = 0.004


@dataclass(slots=True)
class _SpeakerWord:
    """Hold what the own speaker said last; the order of its messages is that of ``number``."""

    heard_at: float
    listed_at: float
    number: tuple[int, int] = (-1, -1)
    daemons: int = 0
    speakers: int = 0


class Peers:
    """Exchange load and freshness with all live daemons."""

    def __init__(
        self,
        loop: Timers,
        datagrams: Datagrams,
        name: str,
        own: DaemonAddress,
        incarnation: int,
        table: LoadTable,
        describe: Callable[[], PeerBelief],
        on_belief: Callable[[str, PeerBelief], None],
        on_word: Callable[[str, PeerBelief], None],
        rng: random.Random,
    ) -> None:
        self.leaving = False
        self.sent_bytes = 0
        self.sent_datagrams = 0
        self._loop = loop
        self._datagrams = datagrams
        self._name = name
        self._own = own
        self._incarnation = incarnation
        self._table = table
        self._describe = describe
        self._on_belief = on_belief
        self._on_word = on_word
        self._random = rng
        self._sequence = 0
        self._rolls = 0
        self._directory = Directory(own)
        self._publishers = Publishers()
        self._to_groups = RowTeller(lambda key: self._group.total(key))
        self._to_members = RowTeller(table.total_of)
        self._group = Group(table.own_row, self._to_groups.changed)
        self._reports = OwnReports(table.own_row)
        self._greeted_until: dict[str, float] = {}
        self._lost_hosts: dict[str, None] = {}
        self._speaker: str | None = None
        self._heard = _SpeakerWord(0.0, 0.0)
        self._grouped = False
        self._publish_timer: Timer | None = None
        self._report_timer: Timer | None = None
        self._settled = False
        datagrams.listen(self._received)
        loop.call_later(0.0, self._beat)
        loop.call_later(_SETTLE_SECONDS, self._look_around)

    @property
    def live(self) -> int:
        """Return the number of live daemons, this one too."""
        if not self.speaks and self._heard.daemons:
            return self._heard.daemons
        return max(1, self._publishers.daemons + self._group.daemons)

    @property
    def flush_seconds(self) -> float:
        """Return how long changes wait for others before all daemons are told."""
        return min(_LONGEST_FLUSH_SECONDS, _FLUSH_SECONDS * self._spread())

    @property
    def speaks(self) -> bool:
        """Return whether this daemon speaks for itself or a group."""
        return self._speaker == self._own.host

    @property
    def rank(self) -> int:
        """Return this daemon's place among the live ones; those that speak come first, by name."""
        if self.speaks:
            return self._publishers.before(self._name)
        hosts = [each.host for each in self._directory.addresses(self._own.zone)]
        return self._heard.speakers + sum(1 for host in hosts if host < self._own.host)

    @property
    def group_size(self) -> int:
        """Return how many daemons have the same speaker, at least 1."""
        return 1 if self.speaks else 1 + len(self._directory.addresses(self._own.zone))

    def fetch_delay(self) -> float:
        """Return after how many seconds to fetch knowledge from the speaker.

        A group of 39 that fetches 15 KB each at once would fill a link of 20 Mbit/s for 0.23 s.
        """
        if self.speaks:
            return 0.0
        return self._random.uniform(0.0, _FETCH_SECONDS_PER_DAEMON * self.group_size)

    def introduce(self, host: str) -> None:
        """Greet a host that may run a daemon."""
        if host != self._own.host:
            self._note_lost_host(host)
            self._greeted_until.setdefault(host, self._loop.now() + _GREET_SECONDS)
            self._greet(host)

    def learn(self, addresses: list[DaemonAddress]) -> None:
        """Take the addresses of daemons that announced themselves."""
        self._directory.learn(addresses, self._loop.now())
        self._choose()

    def changed(self) -> None:
        """Tell what changed, together with what changes in the next moment."""
        if self.speaks:
            self._take_own_changes()
            self._plan_publish()
        elif self._speaker is not None:
            self._plan_report()

    def announce(self) -> None:
        """Tell at once how new this daemon's knowledge is."""
        self._choose()
        if self.speaks:
            self._publish()
        else:
            self._report()

    def close(self) -> None:
        """Say good-bye."""
        self.leaving = True
        self._part()
        self._datagrams.close()

    # Time.

    def _spread(self) -> float:
        return max(1.0, self.live / _DAEMONS_AT_FULL_PACE)

    def _heartbeat(self) -> float:
        if not self.speaks:
            return _MEMBER_HEARTBEAT_SECONDS
        return _HEARTBEAT_SECONDS if self._grouped else _HEARTBEAT_SECONDS * self._spread()

    def _beat(self) -> None:
        now = self._loop.now()
        self._drop_silent(now)
        self._table.refresh(now)
        self._choose()
        self._greet_again(now)
        self._table.changed |= self._table.reading_keys()
        if self.speaks:
            self._take_own_changes()
            self._publish(roll=True)
        else:
            self._report()
        self._loop.call_later(self._heartbeat(), self._beat)

    def _drop_silent(self, now: float) -> None:
        for address in self._directory.drop_silent(now):
            self._note_lost_host(address.host)
        for host in self._group.silent(now, _EXPIRE_HEARTBEATS * _MEMBER_HEARTBEAT_SECONDS):
            self._drop_member(host)
        heartbeat = _HEARTBEAT_SECONDS if self._grouped else _HEARTBEAT_SECONDS * self._spread()
        for sender in self._publishers.drop_silent(now, _EXPIRE_HEARTBEATS * heartbeat):
            self._table.forget(sender.name)
            _note_lost(sender)

    def _note_lost_host(self, host: str) -> None:
        self._lost_hosts[host] = None
        while len(self._lost_hosts) > _MOST_LOST:
            del self._lost_hosts[next(iter(self._lost_hosts))]

    def _drop_member(self, host: str) -> None:
        sender = self._group.remove(host)
        if sender is not None:
            self._table.forget(sender.name)
            _note_lost(sender)

    # Who speaks.

    def _look_around(self) -> None:
        """Ask the daemons of the zone before the first choice, where no speaker is known yet."""
        if self._settled:
            return
        for host in self._directory.unheard(self._own.zone)[:_GREETED_AT_START]:
            self._greet(host)
        self._loop.call_later(_SETTLE_SECONDS, self._settle)

    def _settle(self) -> None:
        self._settled = True
        self._choose()

    def _choose(self) -> None:
        """Choose who speaks for this daemon."""
        now = self._loop.now()
        if not self._settled:
            return
        known = max(self.live, 1 + len(self._directory))
        margin = _GROUPED_MARGIN if self._grouped else 0
        self._grouped = known > _MOST_UNGROUPED - margin
        speaker = self._own.host
        if self._grouped:
            candidates = self._directory.speakers(self._own.zone, now, own=not self.leaving)
            speaker = candidates[0].host if candidates else self._own.host
        if speaker != self._speaker:
            self._follow(speaker)

    def _follow(self, speaker: str) -> None:
        before = self._speaker
        self._part(speaker)
        self._speaker = speaker
        now = self._loop.now()
        self._heard = _SpeakerWord(now, now, daemons=self._heard.daemons)
        self._table.unacknowledge()
        self._reports.begin()
        self._group.counts_own = self.speaks
        self._table.changed.update(row.key for row in self._table.own_rows())
        log_events.SPEAKER_CHOSEN.write(
            _logger, speaker=speaker, before=before, known=len(self._directory), live=self.live
        )
        if not self.speaks:
            self._report()
            return
        if before is not None:
            self._table.forget_others("")
        self._take_own_changes()
        self._publish(roll=True)

    def _part(self, successor: str | None = None) -> None:
        """Tell those that knew this daemon as speaker or member that it is that no more."""
        if self._reports_to is not None:
            self._send(self._reports_to, Report(self._sender(), self._belief(), leaves=True))
        if not self.speaks:
            return
        data = encode_message(self._ended(successor))
        for host in self._other_speakers():
            self._send_bytes(host, data)
        self._pass_on(data)
        for host in self._group.hosts:
            sender = self._group.remove(host)
            if sender is not None:
                self._table.forget(sender.name)

    def _ended(self, successor: str | None) -> Digest:
        found = None if successor is None else self._directory.address(successor)
        known = () if found is None else (found,)
        return Digest(self._sender(), self._belief(), 0, known=known, ends=True)

    @property
    def _reports_to(self) -> str | None:
        return None if self.speaks else self._speaker

    def _check_speaker(self, now: float) -> None:
        speaker = self._reports_to
        if speaker is None:
            return
        silent = now - self._heard.heard_at > _SPEAKER_SILENCE_SECONDS
        unlisted = now - self._heard.listed_at > _OFF_ROLL_SECONDS
        if silent or unlisted:
            self._directory.distrust(speaker, now)
            self._choose()

    # Sending.

    def _take_own_changes(self) -> None:
        changed, self._table.changed = self._table.changed, set()
        self._to_groups.changed(changed)
        self._to_members.changed(changed)

    def _plan_report(self) -> None:
        if self._report_timer is None:
            pause = self.flush_seconds * _REPORT_SHARE
            self._report_timer = self._loop.call_later(pause, self._report)

    def _plan_publish(self) -> None:
        if self._publish_timer is None:
            self._publish_timer = self._loop.call_later(self.flush_seconds, self._publish)

    def _report(self) -> None:
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        self._check_speaker(self._loop.now())
        speaker = self._reports_to
        if speaker is None:
            return
        changed, self._table.changed = self._table.changed, set()
        sender = self._sender()
        rows = self._reports.rows(changed, sender.sequence)
        self._send(speaker, Report(sender, self._belief(), rows))

    def _publish(self, *, roll: bool = False) -> None:
        """Tell the other speakers what changed here, and the members what changed anywhere.

        With ``roll`` it is a sign of life: it names all members, and goes to strangers too.
        """
        if self._publish_timer is not None:
            self._publish_timer.cancel()
            self._publish_timer = None
        if not self.speaks:
            return
        self._rolls += roll
        own = self._digest(self._to_groups.tell(part=roll or self._grouped), roll=roll)
        data = encode_message(own)
        for host in [*self._other_speakers(), *(self._strangers() if roll else ())]:
            self._send_bytes(host, data)
        told, self._table.told = self._table.told, set()
        self._to_members.changed(told)
        if self._group.hosts:
            rows = self._to_members.tell(part=True)
            self._pass_on(encode_message(self._digest(rows, roll=roll, fleet=True)))

    def _digest(self, told: ToldRows, *, roll: bool, fleet: bool = False) -> Digest:
        return Digest(
            self._sender(),
            self._belief(fleet=fleet),
            self.live if fleet else self._group.daemons,
            1 + self._publishers.live(),
            fleet,
            told.rows,
            told.part,
            told.parts,
            self._group.acknowledgements(every=roll) if fleet else (),
            self._acquaintances() if roll and self._names_others() else (),
            roll=roll,
        )

    def _names_others(self) -> bool:
        """Return whether it is time to name other daemons: a list of 39 takes 200 bytes."""
        return self._rolls % _ROLLS_PER_LIST == 0

    def _other_speakers(self) -> list[str]:
        if self._grouped:
            return self._publishers.hosts
        members = set(self._group.hosts)
        return [each.host for each in self._directory.addresses() if each.host not in members]

    def _acquaintances(self) -> tuple[DaemonAddress, ...]:
        """Return the daemons of the zone for members, and the speakers for other speakers."""
        named = self._directory.addresses(self._named_zone(self._own.zone))
        return tuple(dict.fromkeys([*named, *self._speakers()]))

    def _strangers(self) -> list[str]:
        """Return daemons that may not know this speaker: of its zone, and of zones without one."""
        if not self._grouped:
            return []
        known = {*self._group.hosts, *self._publishers.hosts}
        zone = self._own.zone
        found = [each.host for each in self._directory.addresses(zone) if each.host not in known]
        for other in self._directory.zones() - self._publishers.zones() - {zone}:
            hosts = [each.host for each in self._directory.addresses(other)]
            found.extend(self._random.sample(hosts, min(_GREETED_PER_ZONE, len(hosts))))
        return found

    def _pass_on(self, digest: bytes) -> None:
        for branch in branches(self._group.hosts, self._random):
            self._send(branch.host, Bundle(branch.onward, digest))

    def _greet_again(self, now: float) -> None:
        """Greet first addresses until they answer, and some of those that fell silent."""
        for host, until in list(self._greeted_until.items()):
            if now > until:
                del self._greeted_until[host]
                continue
            self._greet(host)
        if self.speaks:
            count = min(_GREETED_PER_HEARTBEAT, len(self._lost_hosts))
            for host in self._random.sample(list(self._lost_hosts), count):
                self._greet(host)

    def _greet(self, host: str) -> None:
        self._send(host, Hello(self._sender(), asks=True))

    def _sender(self) -> Sender:
        self._sequence += 1
        return Sender(self._name, self._own, self._incarnation, self._sequence, self.leaving)

    def _belief(self, *, fleet: bool = False) -> PeerBelief:
        """Return what this daemon and its group believe; with ``fleet`` what all groups do."""
        belief = self._describe()
        now = self._loop.now()
        others = self._publishers.failing(now) if fleet else []
        failing = longest_notices([*belief.failing, *self._group.failing(now), *others])
        return replace(
            belief,
            failing=failing[:_MOST_NAMED],
            # Members would hear their own doubts as another daemon's.
            doubts=() if fleet else self._doubts(belief)[:_MOST_NAMED],
            leaving=belief.leaving[:_MOST_NAMED],
        )

    def _doubts(self, belief: PeerBelief) -> tuple[str, ...]:
        return tuple(sorted({*belief.doubts, *self._group.doubts(self._loop.now())}))

    def _send(self, host: str, message: Hello | Report | Digest | Bundle) -> None:
        self._send_bytes(host, encode_message(message))

    def _send_bytes(self, host: str, data: bytes) -> None:
        self.sent_bytes += len(data)
        self.sent_datagrams += 1
        self._datagrams.send(host, data)

    # Receiving.

    def _received(self, data: bytes, source: str) -> None:
        try:
            message = decode_message(data)
            match message:
                case Hello():
                    self._take_hello(message)
                case Report():
                    self._take_report(message)
                case Digest():
                    self._take_digest(message, data, direct=True)
                case Bundle():
                    self._take_bundle(message)
        except ValueError as error:
            _logger.warning("peer message dropped", extra={"error": str(error), "from": source})

    def _take_hello(self, hello: Hello) -> None:
        now = self._loop.now()
        address = hello.sender.address
        if address.host == self._own.host:
            return
        first = self._directory.heard(address, now, leaving=hello.sender.leaving)
        self._directory.learn(hello.known, now)
        self._directory.vouched(hello.speakers, now)
        self._note_found(address.host)
        if hello.asks:
            known = tuple(self._directory.addresses(self._named_zone(address.zone)))
            self._send(address.host, Hello(self._sender(), known, self._speakers()))
        elif any(each.zone == self._own.zone for each in hello.speakers):
            self._settled = True
        self._choose()
        if self.speaks and not self._grouped and first:
            self._tell_all(address.host)

    def _named_zone(self, zone: str) -> str | None:
        """Return of which zone to name daemons, None for all."""
        return None if len(self._directory) <= _MOST_NAMED_DAEMONS else zone

    def _note_found(self, host: str) -> None:
        self._greeted_until.pop(host, None)
        self._lost_hosts.pop(host, None)

    def _speakers(self) -> tuple[DaemonAddress, ...]:
        found = (self._directory.address(host) for host in self._publishers.hosts)
        known = tuple(each for each in found if each is not None)
        return (*known, self._own) if self.speaks else known

    def _tell_all(self, host: str, *, fleet: bool = False) -> None:
        """Tell a member, or another speaker, all at once that it does not know yet."""
        teller = self._to_members if fleet else self._to_groups
        self._send(host, self._digest(teller.tell_all(), roll=True, fleet=fleet))

    def _take_report(self, report: Report) -> None:
        now = self._loop.now()
        sender = report.sender
        host = sender.address.host
        self._directory.heard(sender.address, now, leaving=sender.leaving)
        self._on_word(host, report.belief)
        if report.leaves and sender.leaving:
            self._directory.forget(host)
        if not self.speaks:
            if self._speaker is not None and not report.leaves:
                self._send(host, self._ended(self._speaker))
            return
        joined = self._group.take(report, now)
        if joined is None:
            if report.leaves:
                self._table.forget(sender.name)
            return
        if joined.first:
            self._table.forget(sender.name)
            log_events.PEER_FOUND.write(_logger, peer=sender.name, host=host)
        self._table.merge(sender.name, report.rows, now, sender.sequence)
        self._on_belief(host, report.belief)
        if joined.first:
            self._tell_all(host, fleet=True)
        self._plan_publish()

    def _take_bundle(self, bundle: Bundle) -> None:
        if bundle.hosts:
            data = encode_message(Bundle((), bundle.digest))
            for host in bundle.hosts:
                self._send_bytes(host, data)
        digest = decode_message(bundle.digest)
        if isinstance(digest, Digest):
            self._take_digest(digest, bundle.digest, direct=False)

    def _take_digest(self, digest: Digest, data: bytes, *, direct: bool) -> None:
        now = self._loop.now()
        sender = digest.sender
        host = sender.address.host
        if host == self._own.host:
            return
        first = self._directory.heard(sender.address, now, leaving=sender.leaving)
        self._note_found(host)
        if digest.ends:
            self._take_end(digest, now)
        elif digest.fleet:
            self._take_fleet_digest(digest, now)
        elif self.speaks:
            self._take_group_digest(digest, now)
        elif direct and self._speaker is not None and host != self._speaker:
            # Another group looks for the one of this zone.
            self._send(self._speaker, Bundle((), data))
        if sender.leaving or first:
            self._choose()

    def _take_end(self, digest: Digest, now: float) -> None:
        """Take that a daemon speaks no more, and who does in its place."""
        sender = digest.sender
        host = sender.address.host
        self._directory.vouched(digest.known, now)
        if self.speaks and self._publishers.forget(host) is not None:
            self._table.forget(sender.name)
        if sender.leaving:
            self._directory.forget(host)
        if host == self._speaker:
            self._directory.distrust(host, now)
            self._choose()

    def _take_group_digest(self, digest: Digest, now: float) -> None:
        """Take another group's work."""
        sender = digest.sender
        host = sender.address.host
        taken = self._publishers.take(digest, now)
        if taken is None:
            return
        if taken.first or taken.began:
            self._table.forget(sender.name)
            log_events.PEER_FOUND.write(_logger, peer=sender.name, host=host)
        self._merge(digest, now)
        self._on_word(host, digest.belief)
        self._on_belief(host, digest.belief)
        spoken_for = {*self._publishers.zones(), self._own.zone} if self._grouped else set()
        self._directory.learn([each for each in digest.known if each.zone not in spoken_for], now)
        if taken.first:
            self._tell_all(host)
        if self._group.hosts:
            self._plan_publish()

    def _take_fleet_digest(self, digest: Digest, now: float) -> None:
        """Take what the own speaker says of all."""
        sender = digest.sender
        word = self._heard
        number = (sender.incarnation, sender.sequence)
        if sender.address.host != self._reports_to or number <= word.number:
            return
        self._table.forget_others(sender.name)
        word.heard_at = now
        word.number = number
        word.daemons = digest.daemons
        word.speakers = digest.speakers
        hosts = [each.host for each in digest.acknowledged]
        if digest.roll:
            self._directory.learn(digest.known, now)
            self._directory.listed(hosts, now)
            far = [each.host for each in digest.known if each.zone != self._own.zone]
            self._directory.listed(far, now)
        fallen = None
        for each in digest.acknowledged:
            if each.host == self._own.host:
                word.listed_at = now
                counted = self._reports.acknowledge(each.sequence)
                fallen = self._table.acknowledge(counted)
        self._merge(digest, now, fallen)
        if digest.roll and self._own.host not in hosts:
            self._begin_reports()
        self._on_word(sender.address.host, digest.belief)
        self._on_belief(sender.address.host, digest.belief)

    def _begin_reports(self) -> None:
        """Report all again: the speaker does not know this daemon, or has started again."""
        self._table.unacknowledge()
        self._reports.begin()
        self._table.changed.update(row.key for row in self._table.own_rows())
        self._plan_report()

    def _merge(self, digest: Digest, now: float, fallen: dict[int, int] | None = None) -> None:
        sender = digest.sender
        self._table.merge(sender.name, digest.rows, now, sender.sequence, fallen)
        if digest.parts:
            listed = {row.key for row in digest.rows}
            self._table.keep_listed(sender.name, listed, digest.part, digest.parts, sender.sequence)


def _note_lost(sender: Sender) -> None:
    log_events.PEER_LOST.write(_logger, peer=sender.name, host=sender.address.host)

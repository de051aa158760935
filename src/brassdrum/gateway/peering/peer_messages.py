"""What daemons tell each other by datagram, and its form on the wire."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from brassdrum.gateway.following.suspicion import FailureNotice
from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering.wire import FieldReader, FieldWriter
from brassdrum.gateway.placing.load import LoadRow
from brassdrum.outcomes.quarantine import EndingWord, SeenEnd

__all__ = [
    "Acknowledgement",
    "Bundle",
    "Digest",
    "Hello",
    "LeavingWord",
    "Message",
    "PeerBelief",
    "Report",
    "Sender",
    "decode_message",
    "encode_message",
]

_FORMAT = 8
# Ages are told in ms; None before the first read of the store.
_NO_AGE = 0xFFFFFFFF
# Ages of ends are told in ms, so that ends of one moment are known as such; a content is 8 bytes.
_AGE_BYTES = 3
_NEVER = 0xFFFFFF
_CONTENT_BYTES = 8
# A bit for each of the 12 ends that are kept of a content.
_MARK_BYTES = 2
# Flags of a digest.
_ROLL, _ENDS, _FLEET = 1, 2, 4


class _Kind(IntEnum):
    HELLO = 1
    REPORT = 2
    DIGEST = 3
    BUNDLE = 4


@dataclass(frozen=True, slots=True)
class LeavingWord:
    """Say that an endpoint leaves, as it was known ``age`` seconds ago."""

    endpoint: str
    age: float


@dataclass(frozen=True, slots=True)
class PeerBelief:
    """Hold how new a daemon's knowledge is; age in seconds, None before the first read.

    ``reads`` is the number of the read of the store that it rests on, ``era`` the store's.
    ``doubts`` names endpoints that have just failed a request there, for whatever reason.
    """

    version: int
    digest: str
    age: float | None
    reads: int
    failing: tuple[FailureNotice, ...] = ()
    leaving: tuple[LeavingWord, ...] = ()
    doubts: tuple[str, ...] = ()
    endings: tuple[EndingWord, ...] = ()
    era: int | None = None


@dataclass(frozen=True, slots=True)
class Sender:
    """Say who sends; ``incarnation`` is the ms of its start, ``sequence`` counts its messages."""

    name: str
    address: DaemonAddress
    incarnation: int
    sequence: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce a daemon; ``asks`` wants an answer of the same kind.

    ``known`` are others of the receiver's zone, ``speakers`` those that speak for groups.
    """

    sender: Sender
    known: tuple[DaemonAddress, ...] = ()
    speakers: tuple[DaemonAddress, ...] = ()
    asks: bool = False


@dataclass(frozen=True, slots=True)
class Report:
    """Tell own work to the daemon that speaks for the group; ``leaves`` ends the membership."""

    sender: Sender
    belief: PeerBelief
    rows: tuple[LoadRow, ...] = ()
    leaves: bool = False


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Say up to which report a member's work is counted."""

    host: str
    sequence: int


@dataclass(frozen=True, slots=True)
class Digest:
    """Tell the work of a group to other groups, or with ``fleet`` that of all to the own members.

    It is the work of ``daemons`` live daemons in ``speakers`` groups. Rows are those that changed,
    and all of one ``part`` of ``parts`` of the keys: one of that part that is not listed is empty.
    ``roll`` says that the acknowledgements list every member, and that ``known`` lists the daemons
    of the zone and those that speak for others. ``ends`` says that the sender speaks no more.
    """

    sender: Sender
    belief: PeerBelief
    daemons: int
    speakers: int = 1
    fleet: bool = False
    rows: tuple[LoadRow, ...] = ()
    part: int = 0
    parts: int = 0
    acknowledged: tuple[Acknowledgement, ...] = ()
    known: tuple[DaemonAddress, ...] = ()
    roll: bool = False
    ends: bool = False


@dataclass(frozen=True, slots=True)
class Bundle:
    """Carry a digest as it was encoded; who gets it sends it on to the hosts named."""

    hosts: tuple[str, ...]
    digest: bytes


Message = Hello | Report | Digest | Bundle


def encode_message(message: Message) -> bytes:
    """Return a datagram."""
    writer = FieldWriter()
    writer.number(_FORMAT, 1)
    match message:
        case Hello():
            writer.number(_Kind.HELLO, 1)
            _write_sender(writer, message.sender)
            writer.number(message.asks, 1)
            _write_addresses(writer, message.known)
            _write_addresses(writer, message.speakers)
        case Report():
            writer.number(_Kind.REPORT, 1)
            _write_sender(writer, message.sender)
            writer.number(message.leaves, 1)
            _write_belief(writer, message.belief)
            _write_rows(writer, message.rows)
        case Digest():
            writer.number(_Kind.DIGEST, 1)
            _write_digest(writer, message)
        case Bundle():
            writer.number(_Kind.BUNDLE, 1)
            writer.number(len(message.hosts), 1)
            for host in message.hosts:
                writer.host(host)
            writer.block(message.digest)
    return writer.bytes()


def decode_message(data: bytes) -> Message:
    """Return a message, or raise ``ValueError``."""
    reader = FieldReader(data)
    form = reader.number(1)
    if form != _FORMAT:
        raise ValueError(f"message format {form} is unknown; run one version on all hosts")
    match _Kind(reader.number(1)):
        case _Kind.HELLO:
            sender = _read_sender(reader)
            asks = bool(reader.number(1))
            return Hello(sender, _read_addresses(reader), _read_addresses(reader), asks)
        case _Kind.REPORT:
            sender = _read_sender(reader)
            leaves = bool(reader.number(1))
            return Report(sender, _read_belief(reader), _read_rows(reader), leaves)
        case _Kind.DIGEST:
            return _read_digest(reader)
        case _Kind.BUNDLE:
            hosts = tuple(reader.host() for _ in range(reader.number(1)))
            return Bundle(hosts, reader.block())


def _write_digest(writer: FieldWriter, message: Digest) -> None:
    _write_sender(writer, message.sender)
    flags = _ROLL * message.roll | _ENDS * message.ends | _FLEET * message.fleet
    writer.number(flags, 1)
    writer.number(message.daemons, 2)
    writer.number(message.speakers, 2)
    _write_belief(writer, message.belief)
    writer.number(message.part, 2)
    writer.number(message.parts, 2)
    _write_rows(writer, message.rows)
    writer.hosts([(each.host, each.sequence) for each in message.acknowledged], 4)
    _write_addresses(writer, message.known)


def _read_digest(reader: FieldReader) -> Digest:
    sender = _read_sender(reader)
    flags = reader.number(1)
    daemons, speakers = reader.number(2), reader.number(2)
    belief = _read_belief(reader)
    part, parts = reader.number(2), reader.number(2)
    rows = _read_rows(reader)
    acknowledged = tuple(Acknowledgement(*each) for each in reader.hosts(4))
    known = _read_addresses(reader)
    return Digest(
        sender,
        belief,
        daemons,
        speakers,
        bool(flags & _FLEET),
        rows,
        part,
        parts,
        acknowledged,
        known,
        bool(flags & _ROLL),
        bool(flags & _ENDS),
    )


def _write_sender(writer: FieldWriter, sender: Sender) -> None:
    writer.text(sender.name)
    _write_addresses(writer, (sender.address,))
    writer.number(sender.incarnation, 6)
    writer.number(sender.sequence, 4)
    writer.number(sender.leaving, 1)


def _read_sender(reader: FieldReader) -> Sender:
    name = reader.text()
    (address,) = _read_addresses(reader)
    return Sender(name, address, reader.number(6), reader.number(4), bool(reader.number(1)))


def _write_addresses(writer: FieldWriter, addresses: Iterable[DaemonAddress]) -> None:
    """Append addresses by zone, so that each zone is named once."""
    by_zone: dict[str, list[DaemonAddress]] = {}
    for each in addresses:
        by_zone.setdefault(each.zone, []).append(each)
    writer.number(len(by_zone), 1)
    for zone, daemons in by_zone.items():
        writer.text(zone)
        writer.hosts([(each.host, each.capacity) for each in daemons], 1)


def _read_addresses(reader: FieldReader) -> tuple[DaemonAddress, ...]:
    addresses = []
    for _ in range(reader.number(1)):
        zone = reader.text()
        addresses += [DaemonAddress(host, zone, carries) for host, carries in reader.hosts(1)]
    return tuple(addresses)


def _write_belief(writer: FieldWriter, belief: PeerBelief) -> None:
    # The version before the first configuration is -1.
    writer.number(belief.version + 1, 6)
    writer.text(belief.digest)
    writer.number(_NO_AGE if belief.age is None else round(belief.age * 1000), 4)
    writer.number(belief.reads, 4)
    # Eras count from 0 or 1; 0 on the wire is none.
    writer.number(0 if belief.era is None else belief.era + 1, 4)
    writer.number(len(belief.failing), 2)
    for each in belief.failing:
        writer.text(each.endpoint)
        writer.number(_age_ms(each.left), _AGE_BYTES)
        writer.number(_age_ms(each.span), _AGE_BYTES)
    writer.number(len(belief.leaving), 2)
    for each in belief.leaving:
        writer.text(each.endpoint)
        writer.number(_age_ms(each.age), _AGE_BYTES)
    writer.number(len(belief.doubts), 1)
    for name in belief.doubts:
        writer.text(name)
    writer.number(len(belief.endings), 1)
    for word in belief.endings:
        _write_ending(writer, word)


def _write_ending(writer: FieldWriter, word: EndingWord) -> None:
    """Append what is known of a content; one of three ends takes 37 bytes."""
    writer.number(int(word.content, 16), _CONTENT_BYTES)
    served = _NEVER if word.served_age is None else min(_NEVER - 1, _age_ms(word.served_age))
    writer.number(served, _AGE_BYTES)
    writer.number(len(word.ends), 1)
    writer.number(_marks(end.soon for end in word.ends), _MARK_BYTES)
    writer.number(_marks(end.lived for end in word.ends), _MARK_BYTES)
    for end in word.ends:
        writer.number(end.endpoint, 4)
        writer.number(_age_ms(end.age), _AGE_BYTES)


def _marks(values: Iterable[bool]) -> int:
    return sum(value << place for place, value in enumerate(values))


def _age_ms(age: float) -> int:
    return max(0, round(age * 1000))


def _read_ending(reader: FieldReader) -> EndingWord:
    content = f"{reader.number(_CONTENT_BYTES):0{2 * _CONTENT_BYTES}x}"
    served = reader.number(_AGE_BYTES)
    count = reader.number(1)
    soon, lived = reader.number(_MARK_BYTES), reader.number(_MARK_BYTES)
    ends = tuple(
        SeenEnd(
            reader.number(4),
            reader.number(_AGE_BYTES) / 1000,
            bool(soon >> place & 1),
            bool(lived >> place & 1),
        )
        for place in range(count)
    )
    return EndingWord(content, ends, None if served == _NEVER else served / 1000)


def _read_belief(reader: FieldReader) -> PeerBelief:
    version = reader.number(6) - 1
    digest = reader.text()
    age = reader.number(4)
    reads = reader.number(4)
    era = reader.number(4)
    failing = tuple(
        FailureNotice(
            reader.text(), reader.number(_AGE_BYTES) / 1000, reader.number(_AGE_BYTES) / 1000
        )
        for _ in range(reader.number(2))
    )
    leaving = tuple(
        LeavingWord(reader.text(), reader.number(_AGE_BYTES) / 1000)
        for _ in range(reader.number(2))
    )
    doubts = tuple(reader.text() for _ in range(reader.number(1)))
    endings = tuple(_read_ending(reader) for _ in range(reader.number(1)))
    known_age = None if age == _NO_AGE else age / 1000
    known_era = era - 1 if era else None
    return PeerBelief(
        version,
        digest,
        known_age,
        reads,
        failing=failing,
        leaving=leaving,
        doubts=doubts,
        endings=endings,
        era=known_era,
    )


def _write_rows(writer: FieldWriter, rows: tuple[LoadRow, ...]) -> None:
    writer.number(len(rows), 2)
    for row in rows:
        writer.row(row)


def _read_rows(reader: FieldReader) -> tuple[LoadRow, ...]:
    return tuple(reader.row() for _ in range(reader.number(2)))

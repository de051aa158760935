"""Datagram messages between gateway daemons and their wire encoding."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

from brassdrum.gateway.model import DaemonAddress

# Imported to register their sections.
from brassdrum.gateway.peering import (  # noqa: F401
    cold_section,
    demand_kept_section,
    demand_section,
    evacuation_section,
    order_section,
    slowdown_section,
)
from brassdrum.gateway.peering.peer_status import PeerStatus, read_status, write_status
from brassdrum.gateway.peering.sections import read_sections, write_sections
from brassdrum.gateway.peering.wire import FieldReader, FieldWriter
from brassdrum.gateway.placing.load import LoadRow

__all__ = [
    "Acknowledgement",
    "Digest",
    "ForwardedDigest",
    "Hello",
    "Message",
    "PermitReply",
    "PermitRequest",
    "Report",
    "Sender",
    "decode_message",
    "encode_message",
]

_FORMAT_VERSION = 10
# Sender flags.
_LEAVING, _PATH_LOST = 1, 2
# Digest flags.
_LISTS_MEMBERS, _STEPS_DOWN, _COVERS_FLEET = 1, 2, 4


class _Kind(IntEnum):
    HELLO = 1
    REPORT = 2
    DIGEST = 3
    FORWARDED_DIGEST = 4
    PERMIT_REQUEST = 5
    PERMIT_REPLY = 6


@dataclass(frozen=True, slots=True)
class Sender:
    """Sender of a message.

    ``incarnation`` is its start time in ms, ``sequence`` the number of the message. With
    ``path_lost`` it can reach no endpoint.
    """

    name: str
    address: DaemonAddress
    incarnation: int
    sequence: int
    leaving: bool = False
    path_lost: bool = False


@dataclass(frozen=True, slots=True)
class Hello:
    """Discovery message; ``wants_reply`` requests another one in return.

    ``known_daemons`` are peers in the zone of the receiver, ``aggregators`` those of all groups.
    """

    sender: Sender
    known_daemons: tuple[DaemonAddress, ...] = ()
    aggregators: tuple[DaemonAddress, ...] = ()
    wants_reply: bool = False


@dataclass(frozen=True, slots=True)
class Report:
    """Load of a member for its aggregator; ``leaves_group`` ends the membership."""

    sender: Sender
    status: PeerStatus
    rows: tuple[LoadRow, ...] = ()
    leaves_group: bool = False


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Ask for permission to send one request to an endpoint that limits its rate.

    ``number`` identifies the request at ``reply_host``. ``rate`` is the limit per second that it
    knows, ``max_wait`` how many seconds the request can wait. A ``relayed`` one isn't passed on.
    """

    number: int
    reply_host: str
    endpoint: str
    rate: float
    max_wait: float
    relayed: bool = False


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Grant a request to send after ``wait`` seconds, or refuse it until then."""

    number: int
    granted: bool
    wait: float


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Sequence number of the latest report of a member that was applied."""

    host: str
    sequence: int


@dataclass(frozen=True, slots=True)
class Digest:
    """Load of a group for other aggregators, or of the whole fleet for the members of the group.

    ``rows`` are the changed rows and all rows of one ``partition`` of the keys; a key of that
    partition without a row has no load. With ``lists_members`` the acknowledgements name every
    member. ``known_daemons`` are peers in the zone and aggregators of other groups. ``steps_down``
    says that the sender is no longer an aggregator.
    """

    sender: Sender
    status: PeerStatus
    daemon_count: int
    aggregator_count: int = 1
    covers_fleet: bool = False
    rows: tuple[LoadRow, ...] = ()
    partition: int = 0
    partition_count: int = 0
    acknowledgements: tuple[Acknowledgement, ...] = ()
    known_daemons: tuple[DaemonAddress, ...] = ()
    lists_members: bool = False
    steps_down: bool = False


@dataclass(frozen=True, slots=True)
class ForwardedDigest:
    """An encoded digest that the receiver also forwards to the given hosts."""

    forward_to: tuple[str, ...]
    digest: bytes


Message = Hello | Report | Digest | ForwardedDigest | PermitRequest | PermitReply


def encode_message(message: Message) -> bytes:
    """Return the datagram for a message."""
    writer = FieldWriter()
    writer.uint(_FORMAT_VERSION, 1)
    match message:
        case Hello():
            writer.uint(_Kind.HELLO, 1)
            _write_sender(writer, message.sender)
            writer.uint(message.wants_reply, 1)
            _write_addresses(writer, message.known_daemons)
            _write_addresses(writer, message.aggregators)
        case Report():
            writer.uint(_Kind.REPORT, 1)
            _write_sender(writer, message.sender)
            writer.uint(message.leaves_group, 1)
            write_status(writer, message.status)
            _write_rows(writer, message.rows)
            write_sections(writer, message.status)
        case Digest():
            writer.uint(_Kind.DIGEST, 1)
            _write_digest(writer, message)
        case ForwardedDigest():
            writer.uint(_Kind.FORWARDED_DIGEST, 1)
            writer.uint(len(message.forward_to), 1)
            for host in message.forward_to:
                writer.host(host)
            writer.length_prefixed(message.digest)
        case PermitRequest():
            writer.uint(_Kind.PERMIT_REQUEST, 1)
            writer.uint(message.number, 4)
            writer.host(message.reply_host)
            writer.text(message.endpoint)
            writer.rate(message.rate)
            writer.duration(message.max_wait)
            writer.uint(message.relayed, 1)
        case PermitReply():
            writer.uint(_Kind.PERMIT_REPLY, 1)
            writer.uint(message.number, 4)
            writer.uint(message.granted, 1)
            writer.duration(message.wait)
    return writer.bytes()


def decode_message(data: bytes) -> Message:
    """Return the message in a datagram; raises ``ValueError`` if it is invalid."""
    reader = FieldReader(data)
    version = reader.uint(1)
    if version != _FORMAT_VERSION:
        raise ValueError(
            f"unknown message format version {version}; run the same version on all hosts"
        )
    match _Kind(reader.uint(1)):
        case _Kind.HELLO:
            sender = _read_sender(reader)
            wants_reply = bool(reader.uint(1))
            return Hello(sender, _read_addresses(reader), _read_addresses(reader), wants_reply)
        case _Kind.REPORT:
            sender = _read_sender(reader)
            leaves_group = bool(reader.uint(1))
            status, rows = read_status(reader), _read_rows(reader)
            return Report(sender, read_sections(reader, status), rows, leaves_group)
        case _Kind.DIGEST:
            return _read_digest(reader)
        case _Kind.FORWARDED_DIGEST:
            hosts = tuple(reader.host() for _ in range(reader.uint(1)))
            return ForwardedDigest(hosts, reader.length_prefixed())
        case _Kind.PERMIT_REQUEST:
            return PermitRequest(
                reader.uint(4),
                reader.host(),
                reader.text(),
                reader.rate() or 0.0,
                reader.duration(),
                bool(reader.uint(1)),
            )
        case _Kind.PERMIT_REPLY:
            return PermitReply(reader.uint(4), bool(reader.uint(1)), reader.duration())


def _write_digest(writer: FieldWriter, message: Digest) -> None:
    _write_sender(writer, message.sender)
    flags = (
        _LISTS_MEMBERS * message.lists_members
        | _STEPS_DOWN * message.steps_down
        | _COVERS_FLEET * message.covers_fleet
    )
    writer.uint(flags, 1)
    writer.uint(message.daemon_count, 2)
    writer.uint(message.aggregator_count, 2)
    write_status(writer, message.status)
    writer.uint(message.partition, 2)
    writer.uint(message.partition_count, 2)
    _write_rows(writer, message.rows)
    writer.hosts([(each.host, each.sequence) for each in message.acknowledgements], 4)
    _write_addresses(writer, message.known_daemons)
    write_sections(writer, message.status)


def _read_digest(reader: FieldReader) -> Digest:
    sender = _read_sender(reader)
    flags = reader.uint(1)
    daemon_count, aggregator_count = reader.uint(2), reader.uint(2)
    status = read_status(reader)
    partition, partition_count = reader.uint(2), reader.uint(2)
    rows = _read_rows(reader)
    acknowledgements = tuple(Acknowledgement(*each) for each in reader.hosts(4))
    known_daemons = _read_addresses(reader)
    return Digest(
        sender,
        read_sections(reader, status),
        daemon_count,
        aggregator_count,
        bool(flags & _COVERS_FLEET),
        rows,
        partition,
        partition_count,
        acknowledgements,
        known_daemons,
        bool(flags & _LISTS_MEMBERS),
        bool(flags & _STEPS_DOWN),
    )


def _write_sender(writer: FieldWriter, sender: Sender) -> None:
    writer.text(sender.name)
    _write_addresses(writer, (sender.address,))
    writer.uint(sender.incarnation, 6)
    writer.uint(sender.sequence, 4)
    writer.uint(_LEAVING * sender.leaving | _PATH_LOST * sender.path_lost, 1)


def _read_sender(reader: FieldReader) -> Sender:
    name = reader.text()
    (address,) = _read_addresses(reader)
    incarnation, sequence, flags = reader.uint(6), reader.uint(4), reader.uint(1)
    return Sender(
        name, address, incarnation, sequence, bool(flags & _LEAVING), bool(flags & _PATH_LOST)
    )


def _write_addresses(writer: FieldWriter, addresses: Iterable[DaemonAddress]) -> None:
    """Append addresses grouped by zone, so that each zone name is sent once."""
    by_zone: dict[str, list[DaemonAddress]] = {}
    for each in addresses:
        by_zone.setdefault(each.zone, []).append(each)
    writer.uint(len(by_zone), 1)
    for zone, daemons in by_zone.items():
        writer.text(zone)
        writer.hosts([(each.host, each.capacity) for each in daemons], 1)


def _read_addresses(reader: FieldReader) -> tuple[DaemonAddress, ...]:
    addresses = []
    for _ in range(reader.uint(1)):
        zone = reader.text()
        addresses += [DaemonAddress(host, zone, capacity) for host, capacity in reader.hosts(1)]
    return tuple(addresses)


def _write_rows(writer: FieldWriter, rows: tuple[LoadRow, ...]) -> None:
    writer.uint(len(rows), 2)
    for row in rows:
        writer.row(row)


def _read_rows(reader: FieldReader) -> tuple[LoadRow, ...]:
    return tuple(reader.row() for _ in range(reader.uint(2)))

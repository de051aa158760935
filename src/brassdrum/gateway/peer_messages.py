"""What daemons tell each other by datagram, and its form on the wire."""

from __future__ import annotations

import json
from dataclasses import dataclass

from brassdrum.gateway.load import EndpointLoad, LoadRow

__all__ = ["PeerBelief", "PeerMessage", "decode_message", "encode_message"]

_FORMAT = 4


@dataclass(frozen=True, slots=True)
class PeerBelief:
    """Hold how new a daemon's knowledge is; age in seconds, None before the first read.

    ``reads`` is the number of the read of the store that it rests on.
    """

    version: int
    digest: str
    age: float | None
    reads: int
    failing: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Hold one datagram; who gets it with ``relay`` sends it on within its zone."""

    name: str
    host: str
    zone: str
    incarnation: int
    sequence: int
    belief: PeerBelief
    rows: tuple[LoadRow, ...]
    hosts: tuple[str, ...] = ()
    leaving: bool = False
    relay: bool = False


def encode_message(message: PeerMessage) -> bytes:
    """Return a datagram."""
    belief = message.belief
    age = None if belief.age is None else round(belief.age * 1000)
    rows = [
        [
            row.endpoint,
            round(row.load.reading_ms),
            row.load.memory,
            row.load.streamed,
            row.load.calls,
            row.load.helping,
            sorted(row.load.writers_by_pause.items()),
            row.load.part_tokens,
        ]
        for row in message.rows
    ]
    content = [
        _FORMAT,
        message.name,
        message.host,
        message.zone,
        message.incarnation,
        message.sequence,
        [
            belief.version,
            belief.digest,
            age,
            belief.reads,
            list(belief.failing),
            list(belief.leaving),
        ],
        rows,
        list(message.hosts),
        int(message.leaving),
        int(message.relay),
    ]
    return json.dumps(content, separators=(",", ":")).encode()


def decode_message(data: bytes) -> PeerMessage:
    """Return a message, or raise ``ValueError``."""
    try:
        form, name, host, zone, incarnation, sequence, belief, rows, hosts, leaving, relay = (
            json.loads(data)
        )
        if form != _FORMAT:
            raise ValueError(f"message format {form} is unknown; run one version on all hosts")
        version, digest, age, reads, failing, endpoints_leaving = belief
        return PeerMessage(
            name,
            host,
            zone,
            incarnation,
            sequence,
            PeerBelief(
                version,
                digest,
                None if age is None else age / 1000,
                reads,
                tuple(failing),
                tuple(endpoints_leaving),
            ),
            tuple(
                LoadRow(endpoint, EndpointLoad(*sums, dict(writers), part_tokens))
                for endpoint, *sums, writers, part_tokens in rows
            ),
            tuple(hosts),
            bool(leaving),
            bool(relay),
        )
    except (TypeError, IndexError) as error:
        raise ValueError(f"unreadable peer message: {error}") from error

"""Count the bytes that simulated daemons send to each other, by kind of message and by part."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from brassdrum.gateway.peering.peer_messages import (
    Digest,
    ForwardedDigest,
    Hello,
    Message,
    Report,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus

__all__ = ["MessageBytes", "MessagePart"]

_WHOLE = "all"


@dataclass(frozen=True, slots=True)
class MessagePart:
    """What the busiest daemon and the mean one sent per second in one part of a kind of message.

    ``part`` is "all" for whole messages; only there are messages counted.
    """

    kind: str
    part: str
    busiest_bytes: int
    mean_bytes: int
    busiest_messages: float = 0.0
    mean_messages: float = 0.0


@dataclass(slots=True)
class MessageBytes:
    """Count sent messages by host; the busiest daemon is the one that sends most bytes."""

    _bytes_by_part: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    _messages_by_kind: Counter[tuple[str, str]] = field(default_factory=Counter)

    def add(self, host: str, data: bytes) -> None:
        """Count a message that a host sends."""
        kind, message, envelope = _classified(decode_message(data), data)
        self._messages_by_kind[host, kind] += 1
        self._bytes_by_part[host, kind, _WHOLE] += len(data)
        header = size = len(data) - envelope
        for part, shorter in _without_part(message):
            part_size = size - len(encode_message(shorter))
            self._bytes_by_part[host, kind, part] += part_size
            header -= part_size
        self._bytes_by_part[host, kind, "header, configuration"] += header
        self._bytes_by_part[host, kind, "forwarding"] += envelope

    def table(self, seconds: float, daemons: int) -> list[MessagePart]:
        """Return the counts, kinds and their parts by what the mean daemon sends."""
        sent_by_host: Counter[str] = Counter()
        sum_by_part: Counter[tuple[str, str]] = Counter()
        for (host, kind, part), count in self._bytes_by_part.items():
            sum_by_part[kind, part] += count
            sent_by_host[host] += count if part == _WHOLE else 0
        messages_by_kind: Counter[str] = Counter()
        for (_, kind), count in self._messages_by_kind.items():
            messages_by_kind[kind] += count
        busiest = max(sent_by_host, key=lambda host: sent_by_host[host], default="")
        ranked = sorted(
            (key for key, count in sum_by_part.items() if count),
            key=lambda key: (-sum_by_part[key[0], _WHOLE], key[0], -sum_by_part[key]),
        )
        table = []
        for kind, part in ranked:
            busiest_bytes = round(self._bytes_by_part[busiest, kind, part] / seconds)
            row = MessagePart(
                kind, part, busiest_bytes, round(sum_by_part[kind, part] / seconds / daemons)
            )
            if part == _WHOLE:
                row = replace(
                    row,
                    busiest_messages=round(self._messages_by_kind[busiest, kind] / seconds, 1),
                    mean_messages=round(messages_by_kind[kind] / seconds / daemons, 1),
                )
            table.append(row)
        return table


def _classified(message: Message, data: bytes) -> tuple[str, Message, int]:
    """Return the kind of a message, the message without its envelope, and the envelope's size."""
    match message:
        case ForwardedDigest():
            kind = "fleet digest to forward" if message.forward_to else "fleet digest"
            return kind, decode_message(message.digest), len(data) - len(message.digest)
        case Digest():
            return "fleet digest" if message.covers_fleet else "group digest", message, 0
        case Report():
            return "report", message, 0
        case Hello():
            return "hello", message, 0
    return "permit", message, 0


def _without_part(message: Message) -> Iterator[tuple[str, Message]]:
    """Yield each part of a message with the message that lacks it."""
    match message:
        case Hello():
            yield "daemon lists", replace(message, known_daemons=(), aggregators=())
        case Report():
            yield "load rows", replace(message, rows=())
            for part, status in _without_notices(message.status):
                yield part, replace(message, status=status)
        case Digest():
            yield "load rows", replace(message, rows=())
            yield "acknowledgements", replace(message, acknowledgements=())
            yield "daemon lists", replace(message, known_daemons=())
            for part, status in _without_notices(message.status):
                yield part, replace(message, status=status)


def _without_notices(status: PeerStatus) -> Iterator[tuple[str, PeerStatus]]:
    yield "demand", replace(status, demand=())
    yield "failures", replace(status, failing=(), draining=(), recent_failures=(), endings=())
    yield "signals", replace(status, signals=None)
    yield "evacuations", replace(status, evacuations=None)
    yield "cold endpoints", replace(status, cold=())
    yield "slow endpoints", replace(status, slowdown=None)

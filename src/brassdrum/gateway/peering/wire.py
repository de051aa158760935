"""Write and read the fields of datagrams: numbers, texts, addresses and rows of load."""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from functools import lru_cache

from brassdrum.gateway.placing.load import EndpointLoad, LoadRow

__all__ = ["FieldReader", "FieldWriter", "rounded"]

# Memory and parts are told in units of this many tokens, so that two bytes hold 4 million.
_TOKEN_UNIT = 64
_MOST_SHORT = 0xFFFF
_MOST_BYTE = 0xFF
# Which fields of a row follow its key; what is left out is 0, or follows from another field.
_READING, _MEMORY, _STREAMED, _CALLS, _HELPING, _PART = 1, 2, 4, 8, 16, 32
_CODE_BY_FLAG = {
    _READING: "H",
    _MEMORY: "H",
    _STREAMED: "H",
    _CALLS: "B",
    _HELPING: "B",
    _PART: "H",
}
_ROW_HEAD = struct.Struct(">IBB")
_WRITERS = struct.Struct(">HB")
_HOST_BY_SIZE = {1: struct.Struct(">4sB"), 4: struct.Struct(">4sI")}
_ALL_FLAGS = _READING | _MEMORY | _STREAMED | _CALLS | _HELPING | _PART


@lru_cache(maxsize=64)
def _flagged(flags: int) -> tuple[int, ...]:
    return tuple(flag for flag in _CODE_BY_FLAG if flags & flag)


@lru_cache(maxsize=64)
def _row_fields(flags: int) -> struct.Struct:
    return struct.Struct(">" + "".join(_CODE_BY_FLAG[flag] for flag in _flagged(flags)))


@lru_cache(maxsize=1024)
def _host_name(data: bytes) -> str:
    return socket.inet_ntoa(data)


def _units(tokens: int) -> int:
    return min(_MOST_SHORT, (tokens + _TOKEN_UNIT // 2) // _TOKEN_UNIT)


class FieldWriter:
    """Append fields to a datagram."""

    def __init__(self) -> None:
        self._data = bytearray()

    def bytes(self) -> bytes:
        """Return what was written."""
        return bytes(self._data)

    def number(self, value: int, size: int) -> None:
        """Append a whole number of 0 or more; too large ones are cut to the largest that fits."""
        self._data += min(value, (1 << 8 * size) - 1).to_bytes(size, "big")

    def text(self, value: str) -> None:
        """Append a text of at most 255 bytes."""
        data = value.encode()
        if len(data) > _MOST_BYTE:
            raise ValueError(f"{value[:40]!r} is too long for a datagram; use at most 255 bytes")
        self._data.append(len(data))
        self._data += data

    def host(self, value: str) -> None:
        """Append an IPv4 address."""
        self._data += socket.inet_aton(value)

    def hosts(self, values: Sequence[tuple[str, int]], size: int) -> None:
        """Append addresses, each with a number of a size."""
        fields = _HOST_BY_SIZE[size]
        most = (1 << 8 * size) - 1
        self.number(len(values), 2)
        for host, number in values:
            self._data += fields.pack(socket.inet_aton(host), min(number, most))

    def block(self, value: bytes) -> None:
        """Append bytes with their length."""
        self.number(len(value), 2)
        self._data += value

    def row(self, row: LoadRow) -> None:
        """Append a row of load; one of a short stream takes 14 bytes."""
        load = row.load
        memory = _units(load.memory)
        streamed = _units(load.decode_memory)
        writers = sorted(load.streams_by_max_pause.items())
        count = sum(number for _, number in writers)
        values = []
        flags = 0
        for flag, value, implied in (
            (_READING, min(_MOST_SHORT, round(load.pending_prefill_ms)), 0),
            (_MEMORY, memory, 0),
            (_STREAMED, streamed, memory),
            (_CALLS, min(_MOST_BYTE, load.requests), count),
            (_HELPING, min(_MOST_BYTE, load.helper_prefills), 0),
            (_PART, _units(load.split_prefill_tokens), 0),
        ):
            if value != implied:
                flags |= flag
                values.append(value)
        self._data += _ROW_HEAD.pack(row.key, flags, len(writers))
        self._data += _row_fields(flags).pack(*values)
        for pause, number in writers:
            self._data += _WRITERS.pack(min(_MOST_SHORT, pause), min(_MOST_BYTE, number))


class FieldReader:
    """Take fields from a datagram; raises ``ValueError`` where it ends too early."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def ended(self) -> bool:
        """Return whether nothing is left."""
        return self._at >= len(self._data)

    def number(self, size: int) -> int:
        """Take a whole number."""
        return int.from_bytes(self._take(size), "big")

    def text(self) -> str:
        """Take a text."""
        return self._take(self.number(1)).decode()

    def host(self) -> str:
        """Take an IPv4 address."""
        return _host_name(self._take(4))

    def hosts(self, size: int) -> list[tuple[str, int]]:
        """Take addresses, each with a number of a size."""
        fields = _HOST_BY_SIZE[size]
        data = self._take(fields.size * self.number(2))
        return [(_host_name(host), number) for host, number in fields.iter_unpack(data)]

    def block(self) -> bytes:
        """Take bytes with their length."""
        return self._take(self.number(2))

    def row(self) -> LoadRow:
        """Take a row of load; rows that were read before are the same objects."""
        if self._at + _ROW_HEAD.size > len(self._data):
            raise ValueError(f"a datagram of {len(self._data)} bytes ends in a row")
        _, flags, kinds = _ROW_HEAD.unpack_from(self._data, self._at)
        if flags & ~_ALL_FLAGS:
            raise ValueError(f"a row of load has unknown fields {flags:#x}; run one version")
        size = _ROW_HEAD.size + _row_fields(flags).size + _WRITERS.size * kinds
        return _read_row(self._take(size))

    def _take(self, size: int) -> bytes:
        end = self._at + size
        if end > len(self._data):
            raise ValueError(f"a datagram of {len(self._data)} bytes ends before byte {end}")
        taken = self._data[self._at : end]
        self._at = end
        return taken


@lru_cache(maxsize=8192)
def _read_row(data: bytes) -> LoadRow:
    """Return a row; two of three that come were told before, and reading one takes 15 us."""
    key, flags, kinds = _ROW_HEAD.unpack_from(data)
    fields = _row_fields(flags)
    values = fields.unpack_from(data, _ROW_HEAD.size)
    told = dict(zip(_flagged(flags), values, strict=True))
    writers = dict(_WRITERS.iter_unpack(data[len(data) - _WRITERS.size * kinds :]))
    memory = told.get(_MEMORY, 0)
    load = EndpointLoad(
        float(told.get(_READING, 0)),
        memory * _TOKEN_UNIT,
        told.get(_STREAMED, memory) * _TOKEN_UNIT,
        told[_CALLS] if flags & _CALLS else sum(writers.values()),
        told.get(_HELPING, 0),
        writers,
        told.get(_PART, 0) * _TOKEN_UNIT,
    )
    return LoadRow(key, load)


def rounded(row: LoadRow) -> LoadRow:
    """Return a row as the other side reads it."""
    writer = FieldWriter()
    writer.row(row)
    return FieldReader(writer.bytes()).row()

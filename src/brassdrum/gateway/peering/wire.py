"""Encoding of datagram fields: integers, strings, addresses and load rows."""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from functools import lru_cache

from brassdrum.gateway.placing.load import EndpointLoad, LoadRow

__all__ = [
    "DURATION_BYTES",
    "KEY_BYTES",
    "FieldReader",
    "FieldWriter",
    "duration_ms",
    "quantized",
]

# Token counts are encoded in this unit, so that two bytes hold up to 4 million.
_TOKEN_UNIT = 64
_MAX_UINT16 = 0xFFFF
_MAX_UINT8 = 0xFF
# The keys of endpoints, services and organisations are checksums of this size.
KEY_BYTES = 4
# Durations are in ms, so that simultaneous endpoint crashes are recognised.
DURATION_BYTES = 3
# Rates are encoded per 1000 seconds.
_RATE_UNITS = 1000
_RATE_BYTES = 4
_NO_RATE = 0xFFFFFFFF
# Flags of the optional fields in a row; an absent field is 0 or implied by another one.
_READING, _MEMORY, _STREAMED, _CALLS, _HELPING, _PART = 1, 2, 4, 8, 16, 32
_FORMAT_BY_FLAG = {
    _READING: "H",
    _MEMORY: "H",
    _STREAMED: "H",
    _CALLS: "B",
    _HELPING: "B",
    _PART: "H",
}
_ROW_HEADER = struct.Struct(">IBB")
_WRITER_COUNT = struct.Struct(">HB")
_HOST_STRUCT_BY_SIZE = {1: struct.Struct(">4sB"), 4: struct.Struct(">4sI")}
_ALL_FLAGS = _READING | _MEMORY | _STREAMED | _CALLS | _HELPING | _PART


@lru_cache(maxsize=64)
def _present_flags(flags: int) -> tuple[int, ...]:
    return tuple(flag for flag in _FORMAT_BY_FLAG if flags & flag)


@lru_cache(maxsize=64)
def _row_fields(flags: int) -> struct.Struct:
    return struct.Struct(">" + "".join(_FORMAT_BY_FLAG[flag] for flag in _present_flags(flags)))


@lru_cache(maxsize=1024)
def _host_name(data: bytes) -> str:
    return socket.inet_ntoa(data)


def duration_ms(seconds: float) -> int:
    """Return the encoding of a duration."""
    return max(0, round(seconds * 1000))


def _token_units(tokens: int) -> int:
    return min(_MAX_UINT16, (tokens + _TOKEN_UNIT // 2) // _TOKEN_UNIT)


class FieldWriter:
    """Encode the fields of a datagram."""

    def __init__(self) -> None:
        self._data = bytearray()

    def bytes(self) -> bytes:
        """Return the encoded datagram."""
        return bytes(self._data)

    def uint(self, value: int, size: int) -> None:
        """Append an unsigned integer of ``size`` bytes; larger values saturate."""
        self._data += min(value, (1 << 8 * size) - 1).to_bytes(size, "big")

    def text(self, value: str) -> None:
        """Append a string of at most 255 UTF-8 bytes."""
        data = value.encode()
        if len(data) > _MAX_UINT8:
            raise ValueError(f"string {value[:40]!r} exceeds the limit of 255 bytes")
        self._data.append(len(data))
        self._data += data

    def duration(self, seconds: float) -> None:
        """Append seconds, in ms; longer ones saturate at 4.6 hours."""
        self.uint(duration_ms(seconds), DURATION_BYTES)

    def rate(self, per_second: float | None) -> None:
        """Append a rate, or None."""
        rate = _NO_RATE if per_second is None else round(per_second * _RATE_UNITS)
        self.uint(min(_NO_RATE - (per_second is not None), rate), _RATE_BYTES)

    def host(self, value: str) -> None:
        """Append an IPv4 address."""
        self._data += socket.inet_aton(value)

    def hosts(self, values: Sequence[tuple[str, int]], size: int) -> None:
        """Append IPv4 addresses, each with an unsigned integer of ``size`` bytes."""
        fields = _HOST_STRUCT_BY_SIZE[size]
        max_value = (1 << 8 * size) - 1
        self.uint(len(values), 2)
        for host, number in values:
            self._data += fields.pack(socket.inet_aton(host), min(number, max_value))

    def length_prefixed(self, value: bytes) -> None:
        """Append bytes preceded by their length."""
        self.uint(len(value), 2)
        self._data += value

    def row(self, row: LoadRow) -> None:
        """Append a load row; fields with their implied value are omitted."""
        load = row.load
        memory = _token_units(load.memory)
        streamed = _token_units(load.decode_memory)
        writers = sorted(load.streams_by_max_pause.items())
        stream_count = sum(number for _, number in writers)
        values = []
        flags = 0
        for flag, value, implied in (
            (_READING, min(_MAX_UINT16, round(load.pending_prefill_ms)), 0),
            (_MEMORY, memory, 0),
            (_STREAMED, streamed, memory),
            (_CALLS, min(_MAX_UINT8, load.requests), stream_count),
            (_HELPING, min(_MAX_UINT8, load.helper_prefills), 0),
            (_PART, _token_units(load.split_prefill_tokens), 0),
        ):
            if value != implied:
                flags |= flag
                values.append(value)
        self._data += _ROW_HEADER.pack(row.key, flags, len(writers))
        self._data += _row_fields(flags).pack(*values)
        for pause, number in writers:
            self._data += _WRITER_COUNT.pack(min(_MAX_UINT16, pause), min(_MAX_UINT8, number))


class FieldReader:
    """Decode the fields of a datagram; raises ``ValueError`` if it is truncated."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    def exhausted(self) -> bool:
        """Return whether all bytes have been read."""
        return self._offset >= len(self._data)

    def uint(self, size: int) -> int:
        """Read an unsigned integer of ``size`` bytes."""
        return int.from_bytes(self._read(size), "big")

    def text(self) -> str:
        """Read a string."""
        return self._read(self.uint(1)).decode()

    def duration(self) -> float:
        """Read seconds."""
        return self.uint(DURATION_BYTES) / 1000

    def rate(self) -> float | None:
        """Read a rate per second, or None."""
        rate = self.uint(_RATE_BYTES)
        return None if rate == _NO_RATE else rate / _RATE_UNITS

    def host(self) -> str:
        """Read an IPv4 address."""
        return _host_name(self._read(4))

    def hosts(self, size: int) -> list[tuple[str, int]]:
        """Read IPv4 addresses, each with an unsigned integer of ``size`` bytes."""
        fields = _HOST_STRUCT_BY_SIZE[size]
        data = self._read(fields.size * self.uint(2))
        return [(_host_name(host), number) for host, number in fields.iter_unpack(data)]

    def length_prefixed(self) -> bytes:
        """Read length-prefixed bytes."""
        return self._read(self.uint(2))

    def row(self) -> LoadRow:
        """Read a load row; equal encodings may return the same object."""
        if self._offset + _ROW_HEADER.size > len(self._data):
            raise ValueError(f"datagram of {len(self._data)} bytes is truncated in a load row")
        _, flags, pause_count = _ROW_HEADER.unpack_from(self._data, self._offset)
        if flags & ~_ALL_FLAGS:
            raise ValueError(
                f"load row has unknown field flags {flags:#x}; run the same version on all hosts"
            )
        size = _ROW_HEADER.size + _row_fields(flags).size + _WRITER_COUNT.size * pause_count
        return _decode_row(self._read(size))

    def _read(self, size: int) -> bytes:
        end = self._offset + size
        if end > len(self._data):
            raise ValueError(f"datagram of {len(self._data)} bytes is truncated before byte {end}")
        data = self._data[self._offset : end]
        self._offset = end
        return data


@lru_cache(maxsize=8192)
def _decode_row(data: bytes) -> LoadRow:
    """Decode a row; cached because most received rows repeat earlier ones."""
    key, flags, pause_count = _ROW_HEADER.unpack_from(data)
    fields = _row_fields(flags)
    values = fields.unpack_from(data, _ROW_HEADER.size)
    value_by_flag = dict(zip(_present_flags(flags), values, strict=True))
    writers = dict(_WRITER_COUNT.iter_unpack(data[len(data) - _WRITER_COUNT.size * pause_count :]))
    memory = value_by_flag.get(_MEMORY, 0)
    load = EndpointLoad(
        float(value_by_flag.get(_READING, 0)),
        memory * _TOKEN_UNIT,
        value_by_flag.get(_STREAMED, memory) * _TOKEN_UNIT,
        value_by_flag[_CALLS] if flags & _CALLS else sum(writers.values()),
        value_by_flag.get(_HELPING, 0),
        writers,
        value_by_flag.get(_PART, 0) * _TOKEN_UNIT,
    )
    return LoadRow(key, load)


def quantized(row: LoadRow) -> LoadRow:
    """Return a row as the receiver decodes it."""
    writer = FieldWriter()
    writer.row(row)
    return FieldReader(writer.bytes()).row()

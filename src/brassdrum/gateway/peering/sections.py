"""Optional sections at the end of a message, so that new state does not change its format.

A daemon of an earlier release ignores what follows the fields that it knows, and sends no sections.
An unknown section is skipped.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.wire import FieldReader, FieldWriter

__all__ = ["StatusSection", "read_sections", "section", "write_sections"]


class StatusSection(Protocol):
    """Encode one part of a status; ``number`` identifies it on the wire."""

    number: int

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the section, or return False if it has nothing to send."""

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with what the section holds; raise ``ValueError`` if it is invalid."""


_section_by_number: dict[int, StatusSection] = {}


def section(cls: type[StatusSection]) -> type[StatusSection]:
    """Register a section."""
    number = cls.number
    if number in _section_by_number:
        raise ValueError(f"section {number} is registered twice; give {cls.__name__} another one")
    _section_by_number[number] = cls()
    return cls


def write_sections(writer: FieldWriter, status: PeerStatus) -> None:
    """Append the sections of a status that have something to send."""
    written = list(_encoded_sections(status))
    if not written:
        return
    writer.uint(len(written), 1)
    for number, data in written:
        writer.uint(number, 1)
        writer.length_prefixed(data)


def _encoded_sections(status: PeerStatus) -> Iterator[tuple[int, bytes]]:
    for number, each in _section_by_number.items():
        writer = FieldWriter()
        if each.write(writer, status):
            yield number, writer.bytes()


def read_sections(reader: FieldReader, status: PeerStatus) -> PeerStatus:
    """Return the status with the sections that follow it, if any do."""
    if reader.exhausted():
        return status
    for _ in range(reader.uint(1)):
        number, data = reader.uint(1), reader.length_prefixed()
        known = _section_by_number.get(number)
        if known is None:
            continue
        status = known.read(FieldReader(data), status)
    return status

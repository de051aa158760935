"""Check that an entry of the list names an endpoint that can be used; no side effects.

Others than the endpoints may write entries, and what is wrong in one must not reach code that
raises or blocks.
"""

from __future__ import annotations

from brassdrum.gateway.model import MAX_NAME_BYTES, EndpointEntry
from brassdrum.network_address import split_address

__all__ = ["MAX_COLD_SECONDS", "entry_problem"]

MAX_COLD_SECONDS = 86_400.0
_MAX_SLOTS = 100_000
# The Unix millisecond of the year 10000.
_MAX_BORN_MS = 253_402_300_800_000


def entry_problem(entry: EndpointEntry) -> str | None:
    """Return why an entry names no usable endpoint, or None."""
    try:
        split_address(entry.address)
    except ValueError as error:
        return f"address {error}"
    # The name goes into a header, and with the start time into messages to peers.
    if not _is_header_text(entry.name) or len(entry.id.encode()) > MAX_NAME_BYTES:
        return "its name is empty, too long or not printable"
    for field, text in (("service", entry.service), ("zone", entry.zone)):
        if not text.isprintable() or len(text.encode()) > MAX_NAME_BYTES:
            return f"its {field} is too long or not printable"
    if entry.slots > _MAX_SLOTS:
        return f"it has more than {_MAX_SLOTS} slots"
    if entry.born is not None and not 0 <= entry.born <= _MAX_BORN_MS:
        return "its start time is out of range"
    return None


def _is_header_text(text: str) -> bool:
    """Return whether a text can be sent as the value of a header."""
    try:
        text.encode("latin-1")
    except UnicodeEncodeError:
        return False
    return bool(text) and text.isprintable() and text == text.strip()

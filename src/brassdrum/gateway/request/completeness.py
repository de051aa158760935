"""Decide whether an answer whose body ended as its framing says is complete.

The end of a connection alone proves nothing: the operating system closes the connections of a
process that crashes in the same way. Such an end needs the proof that the process still runs.
"""

from __future__ import annotations

from enum import Enum, StrEnum, auto

from brassdrum.gateway.model import Headers

__all__ = ["ContentEnd", "Framing", "break_reason", "content_length_of", "framing_of"]

_BODILESS_STATUSES = (204, 304)


class Framing(StrEnum):
    """What marks the end of an answer's body.

    ``BODILESS`` answers have none. ``CLOSE`` is an orderly end of the connection, as after a crash.
    """

    BODILESS = "bodiless"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class ContentEnd(Enum):
    """What an answer's content says of its own end; ``OPAQUE`` content says nothing."""

    OPAQUE = auto()
    BEFORE_FIRST_EVENT = auto()
    INSIDE_EVENT = auto()
    AFTER_EVENT = auto()


def framing_of(method: bytes, status: int, headers: Headers) -> Framing:
    """Return the framing that a response to a request of the given method declares."""
    if method == b"HEAD" or status in _BODILESS_STATUSES:
        return Framing.BODILESS
    return _declared_framing(headers)


def content_length_of(headers: Headers) -> bytes | None:
    """Return the length that the headers of a response declare, or None without one."""
    if _declared_framing(headers) is not Framing.LENGTH:
        return None
    return next(value for name, value in headers if name.lower() == b"content-length")


def _declared_framing(headers: Headers) -> Framing:
    value_by_name = {name.lower(): value for name, value in headers}
    if b"chunked" in value_by_name.get(b"transfer-encoding", b"").lower():
        return Framing.CHUNKED
    return Framing.LENGTH if b"content-length" in value_by_name else Framing.CLOSE


def break_reason(framing: Framing, content: ContentEnd) -> str | None:
    """Return why an answer counts as broken off, or None if it is complete.

    An answer whose connection fails before the end that its framing announces never gets here: it
    is broken off whatever its content.
    """
    if content is ContentEnd.INSIDE_EVENT:
        # However properly it is framed, half an event serves nobody.
        return f"the stream ended inside an event, framed by {framing}"
    if framing is Framing.CLOSE and content is ContentEnd.BEFORE_FIRST_EVENT:
        # An endpoint that crashes closes its connections too.
        return "the connection ended before the first event"
    return None

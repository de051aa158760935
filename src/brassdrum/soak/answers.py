"""Say what replicas answer, so that callers can tell whole answers from others."""

from __future__ import annotations

__all__ = ["EVENTS", "event", "expected", "whole_answer"]

# Events of one stream: enough for a cut in the middle.
EVENTS = 6


def event(request: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


def whole_answer(kind: str, request: str) -> bytes:
    """Return what a caller must receive."""
    if kind == "text":
        return b"".join(event(request, number) for number in range(1, EVENTS + 1))
    return expected(request, spoilt=False)


def expected(request: str, *, spoilt: bool) -> bytes:
    """Return the body of an answer that is no stream, or another one."""
    return b"spoilt" if spoilt else f"done {request}".encode()

"""Say what replicas of a soak answer, do wrong and note of their runs."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ENDING_PATH", "EVENTS", "ReplicaFaults", "Run", "event", "expected", "whole_answer"]

# A request to a path that begins so ends each replica that runs it.
ENDING_PATH = "/text/ends-"
# Events of one stream: enough for a cut in the middle.
EVENTS = 6


@dataclass(frozen=True, slots=True)
class Run:
    """Hold one run of a request at a replica; ``at`` is monotonic, ``ending`` if that ended it."""

    request: str
    replica: str
    organisation: str
    at: float
    resumed: bool
    ending: bool = False


@dataclass(slots=True)
class ReplicaFaults:
    """Hold what a replica does wrong, each as a share of its requests."""

    fail: float = 0.0
    lose: float = 0.0
    cut: float = 0.0
    refuse: float = 0.0
    spoil: float = 0.0
    repeat: float = 0.0


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

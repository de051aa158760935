"""Hold what happened in a run, as the callers and each neighbour saw it."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

from pydantic import BaseModel, ConfigDict

__all__ = ["Event", "EventKind", "read_history", "write_history"]


class EventKind(StrEnum):
    """Name what happened."""

    REQUEST = "request"
    RUN = "run"
    STREAM_STARTED = "stream_started"
    LEAVING = "leaving"
    HELD_AT_END = "held_at_end"
    ACCEPTED = "accepted"
    REVISION = "revision"
    FAULT = "fault"
    END = "end"


class Event(BaseModel):
    """Hold one event; ``at`` is seconds from the start of the run, unused fields stay empty."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    at: float
    kind: EventKind
    actor: str
    subject: str = ""
    detail: str = ""
    until: float = 0.0
    deadline: float = 0.0
    ran: str = ""
    status: int = 0
    whole: bool = False
    expected: str = ""
    got: str = ""
    planned_stop: bool = False
    number: int = 0
    repeatable: bool = False


def write_history(path: Path, events: list[Event]) -> None:
    """Write one event a line."""
    path.write_text("".join(event.model_dump_json() + "\n" for event in events))


def read_history(path: Path) -> list[Event]:
    """Return the events of a file."""
    return [Event.model_validate_json(line) for line in path.read_text().splitlines()]

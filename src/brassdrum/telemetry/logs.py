"""Write logs as JSON lines; prompts and keys never reach a log call."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logging"]

_FIELDS = ("levelname", "name", "message")
_RENAMED = {"levelname": "level", "name": "logger"}


def configure_logging(level: str, daemon: str, stream: TextIO | None = None) -> None:
    """Send every record to a stream as one JSON object a line."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            " ".join(f"%({field})s" for field in _FIELDS),
            rename_fields=_RENAMED,
            static_fields={"daemon": daemon},
            timestamp="time",
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # waitress warns of every request that waits for a thread; the daemon's metrics tell that.
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)

"""The commands that explain lost requests from log files: ``trace`` and ``why``."""

from __future__ import annotations

import argparse
import json
from dataclasses import asdict
from pathlib import Path

from brassdrum.telemetry.trace import causes_of_loss, read_lines, story_of

__all__ = ["add_commands"]

_FAILED = 1


def _run_trace(options: argparse.Namespace) -> int:
    story = story_of(options.request, read_lines(options.files))
    if not story.lines:
        print(f"No line names the request {options.request}; give the files of all daemons.")
        return _FAILED
    if options.json:
        lines = [asdict(line) for line in story.lines]
        print(json.dumps({"request": story.request, "verdict": story.verdict(), "lines": lines}))
        return 0
    for line in story.lines:
        values = " ".join(
            f"{name}={value}"
            for name, value in line.values.items()
            if name not in ("at", "level", "request", "story")
        )
        print(f"{line.at} {line.daemon} {line.event}: {values}")
    print(story.verdict())
    return 0


def _run_why(options: argparse.Namespace) -> int:
    causes = causes_of_loss(read_lines(options.files), options.since, options.until)
    if options.json:
        print(json.dumps([asdict(cause) for cause in causes]))
        return 0
    for cause in causes:
        examples = ", ".join(cause.examples)
        print(f"{cause.count:6d}  {cause.event}: {cause.detail or 'late'}  e.g. {examples}")
    return 0


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the commands to a parser."""
    trace = commands.add_parser("trace", help="tell one request's story from log files")
    trace.add_argument("request", help="the request's id")
    trace.add_argument("files", nargs="+", type=Path, metavar="FILE")
    trace.add_argument("--json", action="store_true", help="print JSON")
    trace.set_defaults(run=_run_trace)
    why = commands.add_parser("why", help="group lost requests of log files by their cause")
    why.add_argument("files", nargs="+", type=Path, metavar="FILE")
    why.add_argument("--since", help="first time of day, as in the lines")
    why.add_argument("--until", help="last time of day, as in the lines")
    why.add_argument("--json", action="store_true", help="print JSON")
    why.set_defaults(run=_run_why)

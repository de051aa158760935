"""Read the log lines of many daemons: one request's story, and why requests were lost."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

from brassdrum.telemetry import log_events

__all__ = ["Cause", "LogLine", "Story", "causes_of_loss", "read_lines", "story_of"]

_EXAMPLES_PER_CAUSE = 3
# Numbers and names in a detail are left out of a cause, so that alike losses are counted together.
_VARIABLE = str.maketrans("0123456789", "##########")


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line; ``at`` is the time of day in ISO form, which sorts by time."""

    at: str
    daemon: str
    event: str
    values: dict[str, object]


@dataclass(slots=True)
class Story:
    """Hold a request's lines in time order and what cost it most of its time."""

    request: str
    lines: list[LogLine] = field(default_factory=list)

    @property
    def ending(self) -> LogLine | None:
        """Return the line that ended the request."""
        named = {log_events.SERVED.name, log_events.LATE.name, log_events.FAILED.name}
        named.add(log_events.REFUSED.name)
        ends = [line for line in reversed(self.lines) if line.event in named]
        # Of a forwarded request, the daemon that has the caller tells the end.
        ends.sort(key=_is_forwarded)
        return ends[0] if ends else None

    def verdict(self) -> str:
        """Return in a sentence which decision cost the request its time or its answer."""
        ending = self.ending
        if ending is None:
            return "No line ends this request: its daemon died, or its lines are in other files."
        values = ending.values
        if ending.event == log_events.SERVED.name:
            return f"Served within its objective after {values.get('ms')} ms."
        steps = values.get("story") or []
        costly = _costliest(steps, int(values.get("ms") or 0)) if isinstance(steps, list) else ""
        detail = values.get("detail") or "its first event or a pause took too long"
        return f"{ending.event} ({values.get('status')}): {detail}. {costly}".strip()


@dataclass(slots=True)
class Cause:
    """Count requests that were lost in the same way."""

    event: str
    detail: str
    count: int = 0
    examples: list[str] = field(default_factory=list)


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the lines of files of any size; text before the JSON object is passed over."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                line = _parse(text)
                if line is not None:
                    yield line


def story_of(request: str, lines: Iterable[LogLine]) -> Story:
    """Return all lines of one request."""
    story = Story(request)
    for line in lines:
        if line.values.get("request") == request:
            story.lines.append(line)
    story.lines.sort(key=lambda line: line.at)
    return story


def causes_of_loss(
    lines: Iterable[LogLine], since: str | None = None, until: str | None = None
) -> list[Cause]:
    """Return why requests were refused, failed or late, the commonest first."""
    lost = {log_events.FAILED.name, log_events.LATE.name, log_events.REFUSED.name}
    causes: dict[tuple[str, str], Cause] = {}
    counts: Counter[tuple[str, str]] = Counter()
    for line in lines:
        if line.event not in lost or _is_forwarded(line) or not _within(line.at, since, until):
            continue
        detail = _cause(line)
        key = (line.event, detail)
        cause = causes.setdefault(key, Cause(line.event, detail))
        counts[key] += 1
        if len(cause.examples) < _EXAMPLES_PER_CAUSE and line.values.get("request"):
            cause.examples.append(str(line.values["request"]))
    for key, cause in causes.items():
        cause.count = counts[key]
    return sorted(causes.values(), key=lambda cause: -cause.count)


def _parse(text: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        values = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(values, dict) or "event" not in values:
        return None
    at, daemon = str(values.pop("time", "")), str(values.pop("daemon", ""))
    return LogLine(at, daemon, str(values.pop("event")), values)


def _is_forwarded(line: LogLine) -> bool:
    """Return whether another daemon has the caller of the request."""
    return line.values.get("sender") is not None


def _within(at: str, since: str | None, until: str | None) -> bool:
    return (since is None or at >= since) and (until is None or at <= until)


def _cause(line: LogLine) -> str:
    if line.event != log_events.LATE.name:
        return str(line.values.get("detail") or "").translate(_VARIABLE)
    story = line.values.get("story")
    steps = story if isinstance(story, list) else []
    if any(step.get("event") == log_events.SENT_AGAIN.name for step in steps):
        return "sent again"
    placed = [step for step in steps if step.get("event") == log_events.PLACED.name]
    if placed and int(placed[-1].get("waited_ms") or 0) > int(line.values.get("ms") or 0) / 2:
        return "waited for engines"
    if placed and placed[-1].get("late"):
        return "no engine was free in time"
    return "the endpoint was slower than predicted"


def _costliest(steps: list[dict[str, object]], ms: int) -> str:
    """Return the step after which most time passed."""
    times = [int(step.get("at_ms") or 0) for step in steps] + [ms]
    spans = pairwise(times)
    gaps = [(after - before, step) for (before, after), step in zip(spans, steps, strict=True)]
    if not gaps:
        return ""
    gap, step = max(gaps, key=lambda pair: pair[0])
    where = f" at {step['endpoint']}" if step.get("endpoint") else ""
    reason = f" ({step['reason']})" if step.get("reason") else ""
    return f"Most time, {gap} ms, passed after '{step.get('event')}'{where}{reason}."

"""Judge the promises from a run's events alone; each rule is registered by name."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from brassdrum.history.events import Event, EventKind
from brassdrum.registry import Registry

__all__ = ["RULES", "Violation", "check_history"]

_GRACE_SECONDS = 5.0
_LEAVING_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Violation:
    """Hold a broken promise and the events that show it."""

    rule: str
    message: str
    events: tuple[Event, ...]


Rule = Callable[[list[Event]], Iterable[tuple[str, tuple[Event, ...]]]]
RULES: Registry[Rule] = Registry("history rule")


def check_history(events: list[Event]) -> list[Violation]:
    """Return all violations, the earliest first."""
    found = []
    for name in RULES:
        for message, shown in RULES.get(name)(events):
            found.append(Violation(name, message, shown))
    found.sort(key=lambda violation: min((event.at for event in violation.events), default=0.0))
    return found


def _of(events: list[Event], kind: EventKind) -> list[Event]:
    return [event for event in events if event.kind is kind]


@RULES.register("finished in time")
def _finished(events: list[Event]):
    for event in _of(events, EventKind.REQUEST):
        if event.until > event.deadline + _GRACE_SECONDS:
            yield f"{event.subject} ended {event.until - event.deadline:.1f} s late", (event,)


@RULES.register("own whole answer")
def _whole(events: list[Event]):
    for event in _of(events, EventKind.REQUEST):
        if not event.expected:
            continue
        if event.whole and event.got != event.expected:
            yield f"{event.subject} got another answer than its own, or not all of it", (event,)
        if not event.whole and not event.expected.startswith(event.got):
            yield f"{event.subject} was shown tokens that are not its own", (event,)


@RULES.register("not run means not run")
def _not_run(events: list[Event]):
    runs = {event.subject: event for event in _of(events, EventKind.RUN)}
    said = {}
    for event in _of(events, EventKind.REQUEST):
        said.setdefault(event.subject, []).append(event)
    for subject, answers in said.items():
        if subject in runs and all(answer.ran == "no" for answer in answers):
            yield f"{subject} was refused as not run, but it ran", (*answers, runs[subject])


@RULES.register("at most once")
def _once(events: list[Event]):
    repeatable = {e.subject for e in _of(events, EventKind.REQUEST) if e.repeatable}
    runs = _of(events, EventKind.RUN)
    counts = Counter(event.subject for event in runs)
    for subject, count in counts.items():
        if count > 1 and subject not in repeatable:
            shown = tuple(event for event in runs if event.subject == subject)
            yield f"{subject} ran {count} times", shown


@RULES.register("no memory held")
def _memory(events: list[Event]):
    for event in _of(events, EventKind.HELD_AT_END):
        yield f"{event.actor} holds {event.number} tokens for {event.subject}", (event,)


@RULES.register("leaving gets no new work")
def _leaving(events: list[Event]):
    for mark in _of(events, EventKind.LEAVING):
        for event in _of(events, EventKind.STREAM_STARTED):
            late = event.at > mark.at + _LEAVING_SECONDS
            if event.actor == mark.subject and late and (not mark.until or event.at < mark.until):
                yield f"{mark.subject} got new work {event.at - mark.at:.1f} s later", (mark, event)


@RULES.register("planned stops cut nothing")
def _planned(events: list[Event]):
    for event in _of(events, EventKind.REQUEST):
        if event.planned_stop and not event.whole and not event.ran:
            yield f"{event.subject} was cut by a planned stop", (event,)


@RULES.register("accepted never reverts")
def _reverts(events: list[Event]):
    newest: dict[str, Event] = {}
    for event in _of(events, EventKind.REVISION):
        before = newest.get(event.actor)
        if before is not None and event.number < before.number:
            yield f"{event.actor} went from {before.number} to {event.number}", (before, event)
        newest[event.actor] = event
    accepted = _of(events, EventKind.ACCEPTED)
    if not accepted:
        return
    last = max(accepted, key=lambda event: event.number)
    for event in newest.values():
        if event.detail == "end" and event.number != last.number:
            yield f"{event.actor} ends with {event.number}, not {last.number}", (last, event)

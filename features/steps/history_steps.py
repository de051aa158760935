"""Steps on histories."""

import tempfile
from pathlib import Path

from behave import given, then, when

from brassdrum.history.check import check_history
from brassdrum.history.events import Event, EventKind, read_history, write_history
from brassdrum.history.run import HistoryPlan, run_history


def request(subject, **changes):
    fields = {
        "at": 1.0,
        "kind": EventKind.REQUEST,
        "actor": "daemon-1",
        "subject": subject,
        "until": 1.0,
        "deadline": 8.0,
        "status": 200,
        "whole": True,
    }
    return Event(**(fields | changes))


def event(kind, actor, at=1.0, **fields):
    return Event(at=at, kind=kind, actor=actor, **fields)


GOOD = [
    request("stream-1", expected="a b ", got="a b "),
    request("stream-2", expected="a b ", got="a ", whole=False, ran="maybe"),
    request("keyed-1"),
    request("keyed-2", whole=False, status=503, ran="no"),
    request("list-1", repeatable=True),
    event(EventKind.RUN, "service", subject="keyed-1"),
    event(EventKind.RUN, "service", subject="list-1"),
    event(EventKind.RUN, "service", subject="list-1"),
    event(EventKind.LEAVING, "platform", at=2.0, subject="engine-1"),
    event(EventKind.STREAM_STARTED, "engine-1", at=4.0),
    event(EventKind.STREAM_STARTED, "engine-2", at=9.0),
    event(EventKind.ACCEPTED, "operator", number=7),
    event(EventKind.REVISION, "daemon-1", number=0),
    event(EventKind.REVISION, "daemon-1", at=9.0, number=7, detail="end"),
]

PLANTED = {
    "a request that ends late": [request("late", until=14.0)],
    "a whole answer that is another caller's": [request("x", expected="a ", got="b ")],
    "a broken stream with a foreign token": [
        request("x", expected="a b ", got="b ", whole=False, ran="maybe")
    ],
    "a refusal as not run of a call that ran": [event(EventKind.RUN, "service", subject="keyed-2")],
    "a hold that ran twice": [event(EventKind.RUN, "service", subject="keyed-1")],
    "memory held at the end": [event(EventKind.HELD_AT_END, "engine-1", number=5)],
    "new work at a leaving engine": [event(EventKind.STREAM_STARTED, "engine-1", at=5.5)],
    "a stream cut by a planned stop": [
        request("cut", expected="a b ", got="a ", whole=False, planned_stop=True)
    ],
    "a daemon that goes back to an old revision": [
        event(EventKind.REVISION, "daemon-2", at=3.0, number=7),
        event(EventKind.REVISION, "daemon-2", at=4.0, number=6),
    ],
    "a daemon that ends behind": [
        event(EventKind.REVISION, "daemon-3", at=9.0, number=6, detail="end")
    ],
}


@given("a history without violations")
def step_good(context):
    context.events = list(GOOD)
    assert check_history(context.events) == []


@when("{violation} is planted")
def step_plant(context, violation):
    context.events += PLANTED[violation]


@then('exactly the rule "{rule}" is broken')
def step_broken(context, rule):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "history.jsonl"
        write_history(path, context.events)
        violations = check_history(read_history(path))
    assert [violation.rule for violation in violations] == [rule], violations


@when("a history of {seconds:d} seconds is run with seed {seed:d}")
def step_run(context, seconds, seed):
    context.events = run_history(HistoryPlan(seed, float(seconds)))


@then("it holds requests, runs and faults, and no promise is broken")
def step_unbroken(context):
    kinds = {item.kind for item in context.events}
    assert {EventKind.REQUEST, EventKind.RUN, EventKind.FAULT, EventKind.END} <= kinds
    violations = check_history(context.events)
    assert not violations, violations[0]

"""The command ``history``: run a site under faults and judge what happened."""

from __future__ import annotations

import argparse
import logging
from pathlib import Path

from brassdrum.cli.output import print_json
from brassdrum.history.check import Violation, check_history
from brassdrum.history.events import Event, EventKind, read_history, write_history

__all__ = ["add_commands"]

_VIOLATED = 1


def _report(violations: list[Violation], *, as_json: bool) -> int:
    if as_json:
        print_json(
            [
                {
                    "rule": violation.rule,
                    "message": violation.message,
                    "events": [event.model_dump(mode="json") for event in violation.events],
                }
                for violation in violations
            ]
        )
    elif violations:
        first = violations[0]
        print(f"{len(violations)} violations; the first: {first.rule}: {first.message}")
        for event in first.events:
            print(f"  {event.model_dump_json(exclude_defaults=True)}")
    return _VIOLATED if violations else 0


def _summary(seed: int, events: list[Event], violations: list[Violation]) -> str:
    requests = [event for event in events if event.kind is EventKind.REQUEST]
    runs = sum(event.kind is EventKind.RUN for event in events)
    whole = sum(event.whole for event in requests)
    faults = sum(event.kind is EventKind.FAULT for event in events)
    return (
        f"seed {seed}: {len(requests)} requests, {whole} whole, {runs} service runs, "
        f"{faults} faults, {len(violations)} violations"
    )


def _run(options: argparse.Namespace) -> int:
    from brassdrum.history.run import HistoryPlan, run_history

    logging.getLogger().setLevel(logging.CRITICAL)
    code = 0
    for seed in range(options.seed, options.seed + options.seeds):
        plan = HistoryPlan(seed, options.seconds, tuple(options.faults or ()))
        events = run_history(plan)
        violations = check_history(events)
        print(_summary(seed, events, violations), flush=True)
        if violations:
            code = _report(violations, as_json=False)
        if options.output is not None and (violations or options.seeds == 1):
            write_history(options.output, events)
    return code


def _check(options: argparse.Namespace) -> int:
    violations = check_history(read_history(options.file))
    if not violations and not options.json:
        print("no violation")
    return _report(violations, as_json=options.json)


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the command to a parser."""
    history = commands.add_parser("history", help="prove the promises on concurrent runs")
    actions = history.add_subparsers(dest="action", required=True, metavar="ACTION")
    run = actions.add_parser("run", help="run with faults and judge; a seed replays its faults")
    run.add_argument("--seed", type=int, default=1, help="the first seed")
    run.add_argument("--seeds", type=int, default=1, help="how many seeds")
    run.add_argument("--seconds", type=float, default=6.0)
    run.add_argument("--faults", nargs="+", metavar="NAME", help="only these faults")
    run.add_argument("--output", type=Path, help="write the events of a violation, or of one run")
    run.set_defaults(run=_run)
    check = actions.add_parser("check", help="judge a file of events")
    check.add_argument("file", type=Path)
    check.add_argument("--json", action="store_true", help="print JSON")
    check.set_defaults(run=_check)

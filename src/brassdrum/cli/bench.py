"""The command ``bench``: measurements for developers."""

from __future__ import annotations

import argparse
import itertools
import json
import math
import sys
from dataclasses import asdict, replace
from pathlib import Path

from brassdrum.cli.output import print_json, print_rows
from brassdrum.cli.signals import wait_for_signal
from brassdrum.settings import load_settings

__all__ = ["add_commands"]

# The bench's modules are imported when used: a daemon does not pay for them.


def _run_overhead(options: argparse.Namespace) -> int:
    from brassdrum.bench.overhead import OverheadPlan, measure_overhead

    plan = OverheadPlan(options.streams, options.rate, options.seconds, options.seed)
    result = asdict(measure_overhead(plan))
    if options.json:
        print_json(result)
        return 0
    print_rows(("measure", "value"), [(name, value) for name, value in result.items()])
    return 0


def _run_slopes(options: argparse.Namespace) -> int:
    from brassdrum.bench.slopes import measure_point

    points = []
    for size in options.size:
        daemons, endpoints, organisations = (int(part) for part in size.split(","))
        point = measure_point(daemons, endpoints, organisations, options.changes, options.seconds)
        points.append(asdict(point))
        if not options.json:
            print(f"{size}: {points[-1]}", flush=True)
    if options.json:
        print_json(points)
    return 0


def _run_experiment(options: argparse.Namespace) -> int:
    from brassdrum.bench.experiment import (
        Experiment,
        run_experiment,
        summarise,
        write_results,
    )

    results = []
    for result in run_experiment(load_settings(options.experiment, Experiment)):
        results.append(result)
        if options.output is not None:
            write_results(options.output, results)
    rows = summarise(results)
    if options.json:
        print_json(rows)
        return 0
    for row in rows:
        print_rows(("measure", "median (least-most)"), list(row.items()))
        print()
    return 0


def _run_decisions(options: argparse.Namespace) -> int:
    from brassdrum.bench.decisions import measure_decisions

    figures = [asdict(figure) for figure in measure_decisions(options.seed)]
    if options.json:
        print_json(figures)
        return 0
    print_rows(("decision", "size", "value", "unit"), [list(f.values()) for f in figures])
    return 0


def _print_table(rows: list[dict[str, object]], *, as_json: bool) -> int:
    """Print rows with the same keys; return the exit code."""
    if as_json:
        print_json(rows)
        return 0
    print_rows(tuple(rows[0]), [list(row.values()) for row in rows])
    return 0


def _run_load(options: argparse.Namespace) -> int:
    from brassdrum.bench.load.curve import LoadPlan, measure_curve

    plan = LoadPlan(options.shape, options.seconds, options.daemons, options.engines)
    points = [
        asdict(point)
        for point in measure_curve(plan, options.policy, options.load, range(1, options.seeds + 1))
    ]
    return _print_table(points, as_json=options.json)


def _run_flood(options: argparse.Namespace) -> int:
    from brassdrum.bench.load.flood import FloodPlan, play_flood
    from brassdrum.bench.load.message_bytes import MessagePart

    rows = []
    for daemons in options.daemons:
        plan = FloodPlan(
            daemons,
            flood=options.flood,
            others=options.others,
            engines=options.engines,
            events=options.events,
            seconds=options.seconds,
            seed=options.seed,
            urgent=options.urgent,
            trouble=options.trouble,
        )
        messages: list[MessagePart] = []
        result = play_flood(plan, on_messages=messages.extend if options.messages else None)
        if options.messages:
            _print_table([asdict(each) for each in messages], as_json=options.json)
        rows.append({"daemons": daemons, **asdict(result)})
    return _print_table(rows, as_json=options.json)


def _run_endings(options: argparse.Namespace) -> int:
    from brassdrum.bench.endings import measure_endings, plans

    seeds = range(1, options.seeds + 1)
    points = [asdict(measure_endings(plan, seeds)) for plan in plans()]
    return _print_table(points, as_json=options.json)


def _run_parts(options: argparse.Namespace) -> int:
    from brassdrum.bench.part_endings import measure_parts, part_plans

    seeds = range(1, options.seeds + 1)
    points = [asdict(measure_parts(plan, seeds)) for plan in part_plans()]
    return _print_table(points, as_json=options.json)


def _run_crowd(options: argparse.Namespace) -> int:
    from brassdrum.bench.crowd import CrowdPlan, play_crowd

    rows = []
    for daemons in options.daemons:
        plan = CrowdPlan(
            daemons,
            load=options.load,
            read_ms=options.read_ms,
            seed=options.seed,
            cut=options.cut,
            rate_limit=options.rate_limit,
        )
        rows.append({"daemons": daemons, **asdict(play_crowd(plan))})
    return _print_table(rows, as_json=options.json)


def _run_cuts(options: argparse.Namespace) -> int:
    from brassdrum.bench.cuts import CutPlan, play_cut

    rows = []
    for daemons in options.daemons:
        for cut in options.cut:
            plan = CutPlan(daemons, cut, options.load, options.seconds, options.seed)
            plan = replace(plan, trouble=options.trouble)
            rows.append({"daemons": daemons, "cut": cut, **asdict(play_cut(plan))})
    return _print_table(rows, as_json=options.json)


def _run_silences(options: argparse.Namespace) -> int:
    from brassdrum.bench.silences import ENGINES_BY_DAEMONS, SilencePlan, play_silence

    rows = []
    cases = itertools.product(
        options.daemons,
        options.scope,
        options.silence,
        options.load,
        range(options.first_seed, options.first_seed + options.seeds),
    )
    for daemons, scope, silence, load, seed in cases:
        engines = options.engines or ENGINES_BY_DAEMONS.get(daemons, daemons)
        plan = SilencePlan(daemons, engines, scope, silence, load, seed)
        plan = replace(
            plan, slots=options.slots, after=options.after, recovery_news=options.recovery_news
        )
        case = {"daemons": daemons, "scope": scope, "silence": silence, "load": load, "seed": seed}
        rows.append({**case, **asdict(play_silence(plan))})
        if options.progress:
            print(json.dumps(rows[-1]), file=sys.stderr, flush=True)
    return _print_table(rows, as_json=options.json)


def _run_limits(options: argparse.Namespace) -> int:
    from brassdrum.bench.limits import LimitPlan, play_limit

    rows = []
    for daemons in options.daemons:
        for limit in options.limit:
            plan = LimitPlan(limit, daemons, options.demand, seed=options.seed)
            plan = replace(
                plan,
                trouble=options.trouble,
                seconds=options.seconds,
                engines=options.engines,
                spread=not options.one_daemon,
            )
            rows.append({"daemons": daemons, "limit": limit, **asdict(play_limit(plan))})
    return _print_table(rows, as_json=options.json)


def _run_readers(options: argparse.Namespace) -> int:
    from brassdrum.bench.readers import ReaderPlan, measure_readers

    plan = ReaderPlan(
        options.callers,
        options.megabytes,
        options.late,
        options.cut,
        options.memory,
        options.source,
    )
    return _print_table([asdict(measure_readers(plan))], as_json=options.json)


def _run_start(options: argparse.Namespace) -> int:
    from brassdrum.bench.start import measure_starts

    steps = [asdict(step) for step in measure_starts(options.starts)]
    return _print_table(steps, as_json=options.json)


def _run_store_calls(options: argparse.Namespace) -> int:
    from brassdrum.bench.store_calls import FleetPlan, play_day

    plan = FleetPlan(options.daemons, options.away, options.seed)
    phases = [asdict(phase) for phase in play_day(plan)]
    return _print_table(phases, as_json=options.json)


def _run_source(options: argparse.Namespace) -> int:
    from brassdrum.bench.source import PacedSource, PacedSourceSettings

    source = PacedSource(load_settings(options.settings, PacedSourceSettings))
    source.start()
    print(f"paced source at {source.url}", flush=True)
    wait_for_signal()
    source.close()
    return 0


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the command to a parser."""
    bench = commands.add_parser("bench", help="measure on this machine")
    actions = bench.add_subparsers(dest="action", required=True, metavar="ACTION")
    overhead = actions.add_parser("overhead", help="what one daemon adds to a request")
    overhead.add_argument("--streams", type=int, default=450, help="streams held open")
    overhead.add_argument("--rate", type=float, default=25.0, help="short requests a second")
    overhead.add_argument("--seconds", type=float, default=20.0)
    overhead.add_argument("--seed", type=int, default=1)
    overhead.add_argument("--json", action="store_true", help="print JSON")
    overhead.set_defaults(run=_run_overhead)
    slopes = actions.add_parser("slopes", help="what control costs against the fleet's size")
    slopes.add_argument(
        "size", nargs="+", metavar="DAEMONS,ENDPOINTS,ORGANISATIONS", help="sizes to measure"
    )
    slopes.add_argument("--changes", type=int, default=5, help="publishes while measuring")
    slopes.add_argument("--seconds", type=float, default=15.0)
    slopes.add_argument("--json", action="store_true", help="print JSON")
    slopes.set_defaults(run=_run_slopes)
    decisions = actions.add_parser("decisions", help="the pure decisions against sizes")
    decisions.add_argument("--seed", type=int, default=1)
    decisions.add_argument("--json", action="store_true", help="print JSON")
    decisions.set_defaults(run=_run_decisions)
    load = actions.add_parser("load", help="the gateway's decisions against load, simulated")
    load.add_argument("load", nargs="+", type=float, help="times the usual load, as 1 1.5 2")
    load.add_argument("--shape", default="swing", help="steady, short burst, long burst, swing")
    load.add_argument(
        "--policy", nargs="+", default=["round_robin", "least_outstanding", "least_harm"]
    )
    load.add_argument("--seeds", type=int, default=3)
    load.add_argument("--seconds", type=float, default=10.0)
    load.add_argument("--daemons", type=int, default=7)
    load.add_argument("--engines", type=int, default=21)
    load.add_argument("--json", action="store_true", help="print JSON")
    load.set_defaults(run=_run_load)
    crowd = actions.add_parser("crowd", help="one daemon gets most connections, simulated")
    crowd.add_argument("--daemons", type=int, nargs="+", default=[6, 12, 60])
    crowd.add_argument("--load", type=float, default=1.0, help="a multiple of the usual load")
    crowd.add_argument("--read-ms", type=float, default=2.0, help="processor time of a request")
    crowd.add_argument("--cut", action="store_true", help="it reaches no engine meanwhile")
    crowd.add_argument("--rate-limit", type=float, help="requests a second an engine takes")
    crowd.add_argument("--seed", type=int, default=1)
    crowd.add_argument("--json", action="store_true", help="print JSON")
    crowd.set_defaults(run=_run_crowd)
    parts = actions.add_parser("parts", help="parts of prompts that end endpoints, simulated")
    parts.add_argument("--seeds", type=int, default=4)
    parts.add_argument("--json", action="store_true", help="print JSON")
    parts.set_defaults(run=_run_parts)
    endings = actions.add_parser("endings", help="requests that end endpoints, simulated")
    endings.add_argument("--seeds", type=int, default=4)
    endings.add_argument("--json", action="store_true", help="print JSON")
    endings.set_defaults(run=_run_endings)
    limits = actions.add_parser("limits", help="an endpoint that limits its rate, simulated")
    limits.add_argument("--daemons", nargs="+", type=int, default=[6, 12, 60])
    limits.add_argument("--limit", nargs="+", type=float, default=[1.0, 10.0], help="per second")
    limits.add_argument("--demand", type=float, default=2.0, help="times the limit")
    limits.add_argument("--engines", type=int, default=1, help="each with the limit")
    limits.add_argument("--one-daemon", action="store_true", help="all callers use one daemon")
    limits.add_argument("--trouble", default="none", help="as lost messages, replaced daemons")
    limits.add_argument("--seconds", type=float, default=20.0)
    limits.add_argument("--seed", type=int, default=1)
    limits.add_argument("--json", action="store_true", help="print JSON")
    limits.set_defaults(run=_run_limits)
    cuts = actions.add_parser("cuts", help="daemons that reach no endpoint, simulated")
    cuts.add_argument("--daemons", nargs="+", type=int, default=[6, 12, 60])
    cuts.add_argument("--cut", nargs="+", type=float, default=[0.17, 0.5, 0.83], help="a share")
    cuts.add_argument("--load", type=float, default=1.0, help="times the usual")
    cuts.add_argument("--trouble", default="none", help="as lost messages, late messages")
    cuts.add_argument("--seconds", type=float, default=8.0)
    cuts.add_argument("--seed", type=int, default=1)
    cuts.add_argument("--json", action="store_true", help="print JSON")
    cuts.set_defaults(run=_run_cuts)
    silences = actions.add_parser("silences", help="endpoints that fall silent, simulated")
    silences.add_argument("--daemons", nargs="+", type=int, default=[6, 12])
    silences.add_argument("--engines", type=int, help="8 slots each; a third more than daemons")
    silences.add_argument("--slots", type=int, default=8, help="of each engine")
    silences.add_argument("--scope", nargs="+", default=["one", "zone", "all"], help="or none")
    silences.add_argument(
        "--silence", nargs="+", type=float, default=[1.0, 1.5, 2.0, math.inf], help="seconds, inf"
    )
    silences.add_argument("--load", nargs="+", type=float, default=[0.5, 1.0], help="of the slots")
    silences.add_argument("--after", type=float, default=6.0, help="seconds after the silence")
    silences.add_argument("--recovery-news", action="store_true", help="who sees it go on reports")
    silences.add_argument("--first-seed", type=int, default=1)
    silences.add_argument("--seeds", type=int, default=1)
    silences.add_argument("--progress", action="store_true", help="print each case when it is done")
    silences.add_argument("--json", action="store_true", help="print JSON")
    silences.set_defaults(run=_run_silences)
    flood = actions.add_parser("flood", help="others beside one organisation's flood, simulated")
    flood.add_argument("--daemons", nargs="+", type=int, default=[6, 12, 82])
    flood.add_argument("--flood", type=float, default=110.0, help="its requests a second")
    flood.add_argument("--others", type=float, default=5.0, help="the others' requests a second")
    flood.add_argument("--urgent", action="store_true", help="the flood is less urgent instead")
    flood.add_argument("--engines", type=int, default=10, help="8 slots each")
    flood.add_argument("--events", type=int, default=34, help="mean events of an answer")
    flood.add_argument("--trouble", default="none", help="as lost messages, late messages")
    flood.add_argument("--messages", action="store_true", help="what they send, by kind and part")
    flood.add_argument("--seconds", type=float, default=16.0)
    flood.add_argument("--seed", type=int, default=1)
    flood.add_argument("--json", action="store_true", help="print JSON")
    flood.set_defaults(run=_run_flood)
    run = actions.add_parser("run", help="compare routing policies on a seeded workload")
    run.add_argument("experiment", type=Path, metavar="EXPERIMENT.json")
    run.add_argument("--output", type=Path, help="write one JSON line a run")
    run.add_argument("--json", action="store_true", help="print JSON")
    run.set_defaults(run=_run_experiment)
    readers = actions.add_parser("readers", help="callers that read late, at a daemon process")
    readers.add_argument("--callers", type=int, default=8)
    readers.add_argument("--megabytes", type=int, default=24, help="length of each answer")
    readers.add_argument("--late", type=float, default=6.0, help="seconds without reading")
    readers.add_argument("--cut", type=float, default=4.0, help="seconds until endpoints cut off")
    readers.add_argument("--memory", type=int, default=200, help="MB of the daemon's host")
    readers.add_argument("--source", help="source tree of the daemon, as of an earlier version")
    readers.add_argument("--json", action="store_true", help="print JSON")
    readers.set_defaults(run=_run_readers)
    start = actions.add_parser("start", help="processor time of a gateway's start, in steps")
    start.add_argument("--starts", type=int, default=5, help="starts; medians are printed")
    start.add_argument("--json", action="store_true", help="print JSON")
    start.set_defaults(run=_run_start)
    store = actions.add_parser("store-calls", help="calls to the store in a day, simulated")
    store.add_argument("--daemons", type=int, default=82)
    store.add_argument("--away", type=float, default=6.0, help="seconds that the store is away")
    store.add_argument("--seed", type=int, default=1)
    store.add_argument("--json", action="store_true", help="print JSON")
    store.set_defaults(run=_run_store_calls)
    source = actions.add_parser("source", help="serve tokens at a steady pace (used by overhead)")
    source.add_argument("--settings", type=Path, required=True)
    source.set_defaults(run=_run_source)

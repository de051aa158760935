"""The command that runs the fault soak."""

from __future__ import annotations

import argparse
import shutil
import tempfile
from pathlib import Path

from brassdrum.soak.run import PLANTS, EndsBy, Soak, SoakReport, SoakSize

__all__ = ["add_commands"]

_FAILED = 1


def _run_soak(options: argparse.Namespace) -> int:
    size = SoakSize(
        options.daemons,
        options.replicas,
        options.callers,
        options.seconds,
        EndsBy(options.ends_by),
    )
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        folder = Path(tempfile.mkdtemp(prefix=f"brassdrum-soak-{seed}-"))
        report = Soak(seed, size, folder, options.plant).run()
        _print(report, folder)
        if report.violations:
            failed += 1
            continue
        shutil.rmtree(folder)
    print(f"{options.count - failed} passed, {failed} failed")
    return _FAILED if failed else 0


def _print(report: SoakReport, folder: Path) -> None:
    verdict = "broken" if report.violations else "kept"
    print(
        f"seed {report.seed}: {report.requests} requests, {report.served} served, "
        f"{len(report.faults)} faults, promises {verdict}",
        flush=True,
    )
    for violation in report.violations:
        print(f"  {violation.promise}: {violation.request} {violation.detail}")
    if report.violations:
        print(f"  logs of the daemons: {folder}")


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the command to a parser."""
    soak = commands.add_parser(
        "soak",
        help="run daemons as processes under random faults and check the promises",
        description="Each seed replays its plan of faults. Exit code 1 when a promise is broken.",
    )
    soak.add_argument("--seed", type=int, default=1, help="the first seed")
    soak.add_argument("--count", type=int, default=1, help="how many seeds")
    soak.add_argument("--seconds", type=float, default=10.0, help="length of a run")
    soak.add_argument("--daemons", type=int, default=3)
    soak.add_argument("--replicas", type=int, default=4)
    soak.add_argument("--callers", type=int, default=8)
    soak.add_argument(
        "--ends-by",
        choices=list(EndsBy),
        default=EndsBy.CONTENT,
        help="what the requests that end replicas have in common",
    )
    soak.add_argument(
        "--plant", choices=("", *PLANTS), default="", help="break a promise on purpose"
    )
    soak.set_defaults(run=_run_soak)

"""The commands that run a process: ``daemon``, ``standin`` and ``demo``."""

from __future__ import annotations

import argparse
from pathlib import Path

from brassdrum.cli.signals import StopSignals, wait_for_signal
from brassdrum.daemon.main import Daemon
from brassdrum.demo import run_demo
from brassdrum.settings import (
    DaemonSettings,
    EngineStandinSettings,
    PlatformStandinSettings,
    ServiceStandinSettings,
    load_settings,
)
from brassdrum.standins.engine import EngineStandin
from brassdrum.standins.platform import PlatformStandin
from brassdrum.standins.service import ServiceStandin
from brassdrum.telemetry.logs import configure_logging

__all__ = ["add_commands"]


def _run_daemon(options: argparse.Namespace) -> int:
    settings = load_settings(options.settings, DaemonSettings)
    configure_logging(settings.log.level, settings.name)
    # Whoever reads the line below may send a signal at once.
    signals = StopSignals()
    daemon = Daemon(settings, policy=options.policy)
    daemon.start()
    print(f"{settings.name} serves callers at {daemon.url}", flush=True)
    signals.wait()
    daemon.stop()
    return 0


def _run_standin(options: argparse.Namespace) -> int:
    standin: PlatformStandin | EngineStandin | ServiceStandin
    if options.kind == "platform":
        standin = PlatformStandin(load_settings(options.settings, PlatformStandinSettings))
    elif options.kind == "engine":
        standin = EngineStandin(load_settings(options.settings, EngineStandinSettings))
    else:
        standin = ServiceStandin(load_settings(options.settings, ServiceStandinSettings))
    configure_logging("WARNING", options.kind)
    standin.start()
    print(f"{options.kind} stand-in at {standin.url}", flush=True)
    wait_for_signal()
    standin.close()
    return 0


def _run_demo(options: argparse.Namespace) -> int:
    return run_demo(serve=options.serve, as_json=options.json, wait=wait_for_signal)


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the commands to a parser."""
    daemon = commands.add_parser(
        "daemon",
        help="run one daemon",
        description="Run one daemon until SIGTERM, then stop without cutting a request.",
    )
    daemon.add_argument("--settings", type=Path, required=True, help="JSON file of settings")
    daemon.add_argument("--policy", help="routing policy, instead of the configuration's")
    daemon.set_defaults(run=_run_daemon)
    standin = commands.add_parser("standin", help="run a stand-in of a neighbour, for tests")
    standin.add_argument("kind", choices=("platform", "engine", "service"))
    standin.add_argument("--settings", type=Path, required=True, help="JSON file of settings")
    standin.set_defaults(run=_run_standin)
    demo = commands.add_parser(
        "demo",
        help="show the whole system in one process",
        description="Run a platform, four engines, a service and three daemons in one process, "
        "publish two contracts, send short and long prompts and print the time to first token.",
    )
    demo.add_argument("--serve", action="store_true", help="stay up and print a curl command")
    demo.add_argument("--json", action="store_true", help="print JSON")
    demo.set_defaults(run=_run_demo)

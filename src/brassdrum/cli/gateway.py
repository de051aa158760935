"""The command that runs a daemon on the users' platform."""

from __future__ import annotations

import argparse

__all__ = ["add_commands"]

_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def _run_gateway(options: argparse.Namespace) -> int:
    # Imported here: other commands need neither the gateway nor what it brings into memory.
    from brassdrum.platform.serve import serve

    return serve(
        options.log_level,
        policy=options.policy,
        fair_shares=options.fair_shares,
        learn_slowdown=options.learn_slowdown,
    )


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the command to a parser."""
    gateway = commands.add_parser(
        "gateway",
        help="run one daemon on the platform, with the settings file that the platform names",
        description="Serve requests with declared lengths until SIGTERM, then stop without "
        "cutting a request.",
    )
    gateway.add_argument("--log-level", choices=_LEVELS, default="INFO", help="what is logged")
    gateway.add_argument("--policy", default="least_harm", help="placement policy by its name")
    gateway.add_argument(
        "--no-fair-shares",
        dest="fair_shares",
        action="store_false",
        help="order waiting requests on each daemon by itself, not across daemons",
    )
    gateway.add_argument(
        "--learn-slowdown",
        action="store_true",
        help="send fewer requests to endpoints that are slower than the others of their service",
    )
    gateway.set_defaults(run=_run_gateway)

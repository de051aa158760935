"""The commands for operators: ``status`` and ``explain``."""

from __future__ import annotations

import argparse
import json
import sys
from urllib.parse import quote

from brassdrum.cli.documents import operator_token
from brassdrum.cli.output import print_json, print_rows
from brassdrum.errors import BrassdrumError, PlatformUnavailableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool
from brassdrum.logservice.hosts import HttpHostList

__all__ = ["add_commands"]

_TIMEOUT_SECONDS = 5.0
_NOT_FOUND = 1


def _get(url: str, path: str) -> dict:
    token = operator_token()
    headers = {} if token is None else {"Brassdrum-Operator-Token": token}
    try:
        status, body = HttpPool(url, _TIMEOUT_SECONDS).call("GET", path, None, headers)
    except (ConnectFailedError, ExchangeFailedError) as error:
        raise PlatformUnavailableError(
            f"The daemon at {url} does not answer: {error}.", remedy="Ask another daemon."
        ) from error
    content = json.loads(body)
    if status != 200:
        error = content.get("error", {})
        raise BrassdrumError(str(error.get("message", f"status {status}")), remedy="")
    return content


def _run_status(options: argparse.Namespace) -> int:
    if options.held:
        print_json(_get(options.daemon, "/-/held"))
        return 0
    content = _get(options.daemon, "/-/status")
    if options.organisation:
        return _print_organisation(content, options)
    if options.json:
        print_json(content)
        return 0
    print(f"daemon {content['daemon']}: {content['not_ready'] or 'ready'}")
    print(
        f"revision {content['revision']}, log "
        f"{'answers' if content['log_answers'] else 'does not answer'}, "
        f"{content['active']} requests, {content['queued']} queued, {content['claims']} claims, "
        f"{content['skipped_records']} log records skipped"
    )
    print()
    _print_table(content["daemons"], ("name", "zone", "state", "live", "revision", "http_address"))
    print()
    _print_table(
        content["endpoints"],
        ("name", "kind", "zone", "leaving", "failing", "streams", "queued_tokens"),
    )
    print()
    _print_table(content["duties"], ("duty", "holder", "fence"))
    return 0


def _print_table(rows: list[dict], columns: tuple[str, ...]) -> None:
    print_rows(columns, [[row[column] for column in columns] for row in rows])


def _print_organisation(content: dict, options: argparse.Namespace) -> int:
    for account in content["organisations"]:
        if account["organisation"] != options.organisation:
            continue
        if options.json:
            print_json(account)
            return 0
        for name, value in account.items():
            print(f"{name:15} {value}")
        return 0
    print(f"{options.organisation!r} has sent nothing to this daemon", file=sys.stderr)
    return _NOT_FOUND


def _daemon_urls(options: argparse.Namespace) -> list[str]:
    if options.daemon:
        return [options.daemon]
    hosts = HttpHostList(options.platform, _TIMEOUT_SECONDS).read()
    return [f"http://{host.http_address}" for host in hosts if host.role == "daemon"]


def _run_explain(options: argparse.Namespace) -> int:
    path = f"/-/explain?request={quote(options.request)}"
    if options.organisation:
        path = (
            f"/-/explain?organisation={quote(options.organisation)}&target={quote(options.target)}"
            f"&prompt_tokens={options.prompt_tokens}&answer_tokens={options.answer_tokens}"
        )
    for url in _daemon_urls(options):
        try:
            steps = _get(url, path)["steps"]
        except PlatformUnavailableError as error:
            print(error.message, file=sys.stderr)
            continue
        if not steps:
            continue
        if options.json:
            print_json({"daemon": url, "steps": steps})
            return 0
        print(f"at {url}")
        _print_table(steps, ("at", "step", "detail"))
        return 0
    print("no daemon asked knows of it; only recent requests are kept", file=sys.stderr)
    return _NOT_FOUND


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the commands to a parser."""
    status = commands.add_parser("status", help="show daemons, endpoints, load and duties")
    status.add_argument("--daemon", required=True, metavar="URL")
    status.add_argument("--organisation", help="show one organisation's account")
    status.add_argument("--held", action="store_true", help="show who holds engine memory")
    status.add_argument("--json", action="store_true", help="print JSON")
    status.set_defaults(run=_run_status)
    explain = commands.add_parser(
        "explain",
        help="tell why a request was, or would be, refused, queued or routed",
        description="Give a request id, or describe a request by --organisation and --target.",
    )
    explain.add_argument("request", nargs="?", default="", help="the request's id")
    where = explain.add_mutually_exclusive_group(required=True)
    where.add_argument("--daemon", metavar="URL")
    where.add_argument("--platform", metavar="URL", help="ask all daemons of the host list")
    explain.add_argument("--organisation")
    explain.add_argument("--target", default="", help="model, or service:NAME")
    explain.add_argument("--prompt-tokens", type=int, default=1000)
    explain.add_argument("--answer-tokens", type=int, default=256)
    explain.add_argument("--json", action="store_true", help="print JSON")
    explain.set_defaults(run=_run_explain)

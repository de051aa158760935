"""The commands on documents: ``check``, ``publish``, ``contracts`` and ``key``."""

from __future__ import annotations

import argparse
import getpass
import json
import os
import sys
import time
from pathlib import Path

from pydantic import BaseModel

from brassdrum.cli.output import print_json, print_rows
from brassdrum.contracts import documents
from brassdrum.contracts.fold import ControlFold
from brassdrum.contracts.keys import hash_key, make_key
from brassdrum.contracts.records import CONTROL_STREAM
from brassdrum.errors import InvalidDocumentError, PlatformUnavailableError
from brassdrum.logservice.hosts import HttpHostList
from brassdrum.logservice.log import HttpLog
from brassdrum.logservice.publish import Publisher, fetch_daemon_revisions, read_control_state
from brassdrum.settings import (
    DaemonSettings,
    EngineStandinSettings,
    PlatformStandinSettings,
    ServiceStandinSettings,
    load_json,
    load_settings,
)

__all__ = ["add_commands"]

_TIMEOUT_SECONDS = 5.0
_POLL_SECONDS = 0.2
_REFUSED = 1
_INVALID = 3
_NOT_IN_FORCE = 5
_TOKEN_VARIABLE = "BRASSDRUM_OPERATOR_TOKEN"
_SETTINGS_BY_KEY: dict[str, type[BaseModel]] = {
    "resume_keys": DaemonSettings,
    "retention_seconds": PlatformStandinSettings,
    "kv_tokens": EngineStandinSettings,
    "delay_seconds": ServiceStandinSettings,
}


def operator_token() -> str | None:
    """Return the operator's token from the environment, or None."""
    return os.environ.get(_TOKEN_VARIABLE)


def _settings_model(content: object) -> type[BaseModel] | None:
    if not isinstance(content, dict) or "kind" in content:
        return None
    for key, model in _SETTINGS_BY_KEY.items():
        if key in content:
            return model
    return DaemonSettings if "platform" in content else None


def _check_file(path: Path) -> str:
    content = load_json(path)
    model = _settings_model(content)
    if model is not None:
        load_settings(path, model)
        return model.__name__
    document = documents.parse_document(content, str(path))
    return f"{document.kind} {documents.document_name(document)}"


def _run_check(options: argparse.Namespace) -> int:
    if options.schema:
        print_json(documents.schema())
        return 0
    results = []
    for path in options.files:
        try:
            results.append({"file": str(path), "valid": True, "what": _check_file(path)})
        except InvalidDocumentError as error:
            what = f"{error.message} {error.advice}"
            results.append({"file": str(path), "valid": False, "what": what})
    if options.json:
        print_json(results)
    else:
        for result in results:
            print(f"{'ok     ' if result['valid'] else 'invalid'} {result['file']}")
            print(f"        {result['what']}")
    return 0 if all(result["valid"] for result in results) else _INVALID


def _run_publish(options: argparse.Namespace) -> int:
    parsed = [documents.parse_document(load_json(path), str(path)) for path in options.files]
    log = HttpLog(options.platform, _TIMEOUT_SECONDS)
    judgement = Publisher(log, options.operator).publish(parsed, options.base)
    names = ", ".join(str(key) for key in judgement.keys)
    if not judgement.accepted:
        print(f"refused at offset {judgement.offset}: {judgement.reason}", file=sys.stderr)
        return _REFUSED
    print(f"accepted {names} as revision {judgement.offset}")
    if options.wait is None:
        return 0
    return _wait_in_force(options, judgement.offset)


def _wait_in_force(options: argparse.Namespace, revision: int) -> int:
    hosts = HttpHostList(options.platform, _TIMEOUT_SECONDS)
    started = time.monotonic()
    while True:
        daemons = fetch_daemon_revisions(hosts, operator_token())
        behind = [d for d in daemons if d.revision is None or d.revision < revision]
        seconds = time.monotonic() - started
        if daemons and not behind:
            print(f"in force on {len(daemons)} daemons after {seconds:.2f} s")
            return 0
        if seconds >= options.wait:
            break
        time.sleep(_POLL_SECONDS)
    if not daemons:
        print("the host list names no live daemon", file=sys.stderr)
    for daemon in behind:
        state = daemon.not_ready or f"holds revision {daemon.revision}"
        print(f"not in force on {daemon.daemon}: {state}", file=sys.stderr)
    return _NOT_IN_FORCE


def _rows(fold: ControlFold) -> list[dict[str, object]]:
    return [
        {"document": str(key), "revision": document.revision, "deleted": document.body is None}
        for key, document in sorted(fold.documents_by_key.items())
    ]


def _run_list(options: argparse.Namespace) -> int:
    rows = _rows(read_control_state(HttpLog(options.platform, _TIMEOUT_SECONDS)))
    if options.json:
        print_json(rows)
        return 0
    print_rows(
        ("document", "revision", "state"),
        [(r["document"], r["revision"], "deleted" if r["deleted"] else "in force") for r in rows],
    )
    return 0


def _run_show(options: argparse.Namespace) -> int:
    fold = read_control_state(HttpLog(options.platform, _TIMEOUT_SECONDS))
    for key, document in fold.documents_by_key.items():
        if options.name in (key.name, str(key)):
            print_json({"revision": document.revision, "body": document.body})
            return 0
    print(f"there is no document {options.name!r}; see 'contracts list'", file=sys.stderr)
    return _REFUSED


def _run_history(options: argparse.Namespace) -> int:
    log = HttpLog(options.platform, _TIMEOUT_SECONDS)
    rows = list(_history(log, options.name))
    if options.json:
        print_json(rows)
        return 0
    print_rows(
        ("offset", "operator", "documents", "result"),
        [(row["offset"], row["operator"], row["documents"], row["result"]) for row in rows],
    )
    return 0


def _history(log: HttpLog, name: str | None):
    fold = ControlFold()
    page = log.read(CONTROL_STREAM, 0)
    if page.earliest_offset > 0:
        raise PlatformUnavailableError(
            f"The log has forgotten all before offset {page.earliest_offset}.",
            remedy="Use 'contracts list' for what is in force; older history is gone.",
        )
    while True:
        for record in page.records:
            judgement = fold.apply(record.offset, record.value)
            if judgement is None or judgement.offset != record.offset:
                continue
            names = [str(key) for key in judgement.keys]
            if name is not None and not any(name in (n, n.split("/", 1)[1]) for n in names):
                continue
            yield {
                "offset": judgement.offset,
                "operator": judgement.operator,
                "documents": ", ".join(names),
                "result": "accepted" if judgement.accepted else f"refused: {judgement.reason}",
            }
        if page.next_offset >= page.end_offset:
            return
        page = log.read(CONTROL_STREAM, page.next_offset)


def _run_key(options: argparse.Namespace) -> int:
    secret, key = make_key(options.id)
    print_json({"hand_to_caller": secret, "for_the_contract": json.loads(key.model_dump_json())})
    return 0


def _run_operator_token(options: argparse.Namespace) -> int:
    secret, _ = make_key("operator")
    print_json({"operator_token": secret, "operator_token_hash": hash_key(secret, "operator")})
    return 0


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the commands to a parser."""
    check = commands.add_parser(
        "check", help="validate settings, contracts and configuration files"
    )
    check.add_argument("files", nargs="*", type=Path, metavar="FILE")
    check.add_argument("--schema", action="store_true", help="print the documents' JSON Schema")
    check.add_argument("--json", action="store_true", help="print JSON")
    check.set_defaults(run=_run_check)
    publish = commands.add_parser(
        "publish",
        help="publish contracts and configuration, all or none",
        description="Append documents to the platform's log, tell whether they were accepted and, "
        "with --wait, when they are in force on every live daemon.",
    )
    publish.add_argument("files", nargs="+", type=Path, metavar="FILE")
    publish.add_argument("--platform", required=True, metavar="URL")
    publish.add_argument(
        "--base",
        type=int,
        metavar="REVISION",
        help="the revision that the change was made from; by default the one in the log now",
    )
    publish.add_argument("--wait", type=float, metavar="SECONDS")
    publish.add_argument("--operator", default=getpass.getuser(), help="who publishes")
    publish.set_defaults(run=_run_publish)
    _add_contracts(commands)
    key = commands.add_parser("key", help="make an API key and its entry for a contract")
    key.add_argument("id", help="a short name of the key, shown in logs")
    key.set_defaults(run=_run_key)
    token = commands.add_parser("operator-token", help="make a token for operators' pages")
    token.set_defaults(run=_run_operator_token)


def _add_contracts(commands: argparse._SubParsersAction) -> None:
    contracts = commands.add_parser("contracts", help="show what is published")
    actions = contracts.add_subparsers(dest="action", required=True, metavar="ACTION")
    for name, run, help_text in (
        ("list", _run_list, "list the documents and their revisions"),
        ("show", _run_show, "show one document"),
        ("history", _run_history, "show every publish and its judgement"),
    ):
        action = actions.add_parser(name, help=help_text)
        action.add_argument("--platform", required=True, metavar="URL")
        if name == "show":
            action.add_argument("name", help="organisation, or 'fleet'")
        if name == "history":
            action.add_argument("name", nargs="?", help="only this document")
        if name != "show":
            action.add_argument("--json", action="store_true", help="print JSON")
        action.set_defaults(run=run)

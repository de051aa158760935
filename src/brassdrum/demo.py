"""Show the whole system at work in one process."""

from __future__ import annotations

import itertools
import statistics
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from brassdrum.caller import Answer, Caller
from brassdrum.cli.output import print_json, print_rows
from brassdrum.contracts.documents import Urgency
from brassdrum.standins.site import MODEL, SERVICE, Site, SiteShape, sample_contract
from brassdrum.telemetry.logs import configure_logging

__all__ = ["run_demo"]

_CHARACTERS_PER_TOKEN = 4
_LENGTHS = (1_000, 4_000, 20_000, 120_000, 300_000)
_REQUESTS = (12, 8, 6, 3, 2)
_ANSWER_TOKENS = 8
_CALLERS = 16


@dataclass(frozen=True, slots=True)
class _Row:
    tokens: int
    requests: int
    whole: int
    median: float
    slowest: float


def _prompt(tokens: int, number: int) -> str:
    text = f"request {number}: " + "swatch of blue linen, 40 cm; " * (tokens // 7 + 1)
    return text[: tokens * _CHARACTERS_PER_TOKEN]


def _ask(callers: list[Caller], tokens: int, number: int) -> tuple[int, Answer]:
    caller = callers[number % len(callers)]
    return tokens, caller.complete(MODEL, _prompt(tokens, number), _ANSWER_TOKENS)


def _measure(callers: list[Caller]) -> list[_Row]:
    numbers = itertools.count(1)
    lengths = [
        tokens for tokens, count in zip(_LENGTHS, _REQUESTS, strict=True) for _ in range(count)
    ]
    # The long ones go first, so that the short ones have something to wait behind.
    lengths.sort(reverse=True)
    with ThreadPoolExecutor(_CALLERS) as executor:
        futures = [executor.submit(_ask, callers, tokens, next(numbers)) for tokens in lengths]
        answers = [future.result() for future in futures]
    rows = []
    for tokens in _LENGTHS:
        group = [answer for length, answer in answers if length == tokens]
        times = [answer.first_token for answer in group if answer.first_token is not None]
        whole = sum(answer.whole for answer in group)
        rows.append(
            _Row(tokens, len(group), whole, statistics.median(times or [0.0]), max(times or [0.0]))
        )
    return rows


def _print(rows: list[_Row]) -> None:
    print("time to first token by prompt length, engines four times faster than life:")
    print_rows(
        ("prompt tokens", "requests", "whole answers", "median s", "slowest s"),
        [
            (row.tokens, row.requests, row.whole, f"{row.median:.3f}", f"{row.slowest:.3f}")
            for row in rows
        ],
    )


def run_demo(*, serve: bool, as_json: bool, wait: Callable[[], None]) -> int:
    """Run the demo; return 0 when every answer was whole."""
    configure_logging("ERROR", "demo")
    quilters_key, quilters = sample_contract("quilters", Urgency.INTERACTIVE)
    archive_key, archive = sample_contract("archive", Urgency.BULK)
    site = Site(SiteShape())
    site.start([quilters, archive])
    callers = [Caller(daemon.url, quilters_key) for daemon in site.daemons]
    callers.append(Caller(site.daemons[0].url, archive_key))
    rows = _measure(callers)
    held = callers[0].send("POST", f"/services/{SERVICE}/holds", b"{}", {"Idempotency-Key": "lot1"})
    again = callers[1].send(
        "POST", f"/services/{SERVICE}/holds", b"{}", {"Idempotency-Key": "lot1"}
    )
    once = held.status == again.status == 200 and site.services[0].runs_by_id["/holds"] == 1
    if as_json:
        print_json({"lengths": [_as_dict(row) for row in rows], "hold_ran_once": once})
    else:
        _print(rows)
        print(f"a hold sent twice through two daemons ran once: {'yes' if once else 'NO'}")
        for answer in (held, again):
            if answer.error is not None:
                print(f"  {answer.status} {answer.code}: {answer.error.get('message')}")
    if serve:
        _print_curl(site.daemons[0].url, quilters_key)
        wait()
    site.close()
    return 0 if once and all(row.whole == row.requests for row in rows) else 1


def _as_dict(row: _Row) -> dict[str, object]:
    return {
        "prompt_tokens": row.tokens,
        "requests": row.requests,
        "whole": row.whole,
        "median_seconds": round(row.median, 4),
        "slowest_seconds": round(row.slowest, 4),
    }


def _print_curl(url: str, key: str) -> None:
    print("\ntry it; stop with Ctrl-C:\n")
    print(
        f"curl -N {url}/v1/completions -H 'Authorization: Bearer {key}' "
        "-H 'Content-Type: application/json' "
        f'-d \'{{"model": "{MODEL}", "prompt": "blue linen", "max_tokens": 16, "stream": true}}\'',
        flush=True,
    )

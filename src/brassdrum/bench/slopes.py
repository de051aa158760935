"""Measure what control costs a daemon against the size of the fleet, and fit slopes."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from brassdrum.bench.fleet import (
    ZONES,
    daemon_settings,
    list_hosts,
    status_of,
    wait_ready,
)
from brassdrum.bench.processes import Part, Parts
from brassdrum.bench.source import PacedSourceSettings
from brassdrum.contracts.documents import (
    ApiKey,
    Configuration,
    Contract,
    ContractLimits,
    Endpoint,
    EndpointKind,
    Model,
)
from brassdrum.contracts.keys import make_key
from brassdrum.http_pool import HttpPool
from brassdrum.logservice.log import HttpLog
from brassdrum.logservice.publish import Publisher
from brassdrum.settings import (
    PlatformStandinSettings,
)

__all__ = ["Slope", "SlopePoint", "fit", "measure_point"]

_MODEL = "m"
_DAEMON_THREADS = 8
_SETTLE_SECONDS = 4.0
_CONTRACTS_PER_PUBLISH = 40


@dataclass(frozen=True, slots=True)
class SlopePoint:
    """Hold one size and what control cost a daemon there, as medians over the daemons."""

    daemons: int
    endpoints: int
    organisations: int
    changes_per_minute: float
    core_percent: float
    core_percent_most: float
    resident_megabytes: float
    bytes_per_second: float
    bytes_by_kind: dict[str, float]
    messages_per_second: float
    appends_per_second: float
    in_force_seconds: list[float]


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold a line fitted by least squares."""

    base: float
    per_unit: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.per_unit * size


def fit(points: Sequence[tuple[float, float]]) -> Slope:
    """Return the line through points of size and value."""
    sizes, values = zip(*points, strict=True)
    if len(set(sizes)) < 2:
        return Slope(statistics.fmean(values), 0.0)
    line = statistics.linear_regression(sizes, values)
    return Slope(line.intercept, line.slope)


def measure_point(
    daemons: int, endpoints: int, organisations: int, changes: int, seconds: float
) -> SlopePoint:
    """Run daemons as processes, without callers, and measure them for a while."""
    with Parts() as parts:
        platform = parts.start(
            ["standin", "platform"], PlatformStandinSettings(threads=4 * daemons + 16)
        ).wait_url()
        source = parts.start(["bench", "source"], PacedSourceSettings(threads=64)).wait_url()
        started = [
            parts.start(["daemon"], daemon_settings(platform, number, _DAEMON_THREADS))
            for number in range(daemons)
        ]
        urls = [part.wait_url() for part in started]
        list_hosts(platform, urls)
        contracts = [_contract(number) for number in range(organisations)]
        log = HttpLog(platform, 10.0)
        Publisher(log, "bench").publish([_configuration(source, endpoints)])
        for first in range(0, organisations, _CONTRACTS_PER_PUBLISH):
            Publisher(log, "bench").publish(contracts[first : first + _CONTRACTS_PER_PUBLISH])
        wait_ready(urls)
        time.sleep(_SETTLE_SECONDS)
        return _measure(
            started, urls, platform, seconds, contracts[0], changes, endpoints, organisations
        )


def _measure(
    started: list[Part],
    urls: list[str],
    platform: str,
    seconds: float,
    contract: Contract,
    changes: int,
    endpoints: int,
    organisations: int,
) -> SlopePoint:
    before = [part.usage() for part in started]
    costs_before = [_costs(url) for url in urls]
    appends_before = _appends(platform)
    begin = time.monotonic()
    in_force = []
    for number in range(changes):
        in_force.append(_change(platform, urls, contract, number))
    time.sleep(max(0.0, seconds - (time.monotonic() - begin)))
    elapsed = time.monotonic() - begin
    after = [part.usage() for part in started]
    costs = [_costs(url) for url in urls]
    cores = [
        100 * (new.cpu_seconds - old.cpu_seconds) / elapsed
        for old, new in zip(before, after, strict=True)
    ]
    by_kind = {}
    for kind in costs[0]:
        by_kind[kind] = _median_rate(costs_before, costs, kind, "bytes", elapsed)
    messages = sum(
        _median_rate(costs_before, costs, kind, "messages", elapsed) for kind in costs[0]
    )
    return SlopePoint(
        daemons=len(started),
        endpoints=endpoints,
        organisations=organisations,
        changes_per_minute=round(60 * changes / elapsed, 1),
        core_percent=round(statistics.median(cores), 2),
        core_percent_most=round(max(cores), 2),
        resident_megabytes=round(statistics.median(u.resident_bytes for u in after) / 2**20, 1),
        bytes_per_second=round(sum(by_kind.values())),
        bytes_by_kind={kind: round(rate) for kind, rate in by_kind.items()},
        messages_per_second=round(messages, 1),
        appends_per_second=round((_appends(platform) - appends_before) / elapsed, 2),
        in_force_seconds=[round(value, 3) for value in in_force],
    )


def _change(platform: str, urls: list[str], contract: Contract, number: int) -> float:
    """Publish one change and return the seconds until the last daemon has it in force."""
    changed = contract.model_copy(update={"share": 2.0 + number})
    judgement = Publisher(HttpLog(platform, 10.0), "bench").publish([changed])
    begin = time.monotonic()
    with ThreadPoolExecutor(8) as executor:
        waiting = list(urls)
        while waiting:
            revisions = list(executor.map(lambda url: status_of(url)["revision"], waiting))
            waiting = [
                url
                for url, revision in zip(waiting, revisions, strict=True)
                if revision < judgement.offset
            ]
    return time.monotonic() - begin


def _median_rate(
    before: list[dict], after: list[dict], kind: str, unit: str, elapsed: float
) -> float:
    rates = []
    for old, new in zip(before, after, strict=True):
        start = old.get(kind, {}).get(unit, 0)
        rates.append((new.get(kind, {}).get(unit, 0) - start) / elapsed)
    return statistics.median(rates)


def _costs(url: str) -> dict:
    return status_of(url)["control_cost"]


def _appends(platform: str) -> int:
    _, body = HttpPool(platform).call("GET", "/counters")
    return int(json.loads(body)["appends"])


def _contract(number: int) -> Contract:
    _, key = make_key("bench")
    return Contract(
        format=1,
        kind="contract",
        organisation=f"organisation-{number}",
        keys=[ApiKey.model_validate(key.model_dump())],
        models=[_MODEL],
        limits=ContractLimits(
            requests_per_second=100,
            tokens_per_second=1e6,
            concurrency=100,
            longest_prompt=1_000_000,
            longest_answer=4096,
        ),
    )


def _configuration(source: str, endpoints: int) -> Configuration:
    return Configuration(
        format=1,
        kind="configuration",
        models=[Model(name=_MODEL, context_tokens=1_000_000)],
        endpoints=[
            Endpoint(
                name=f"engine-{number}",
                kind=EndpointKind.ENGINE,
                url=source,
                zone=f"zone-{number % ZONES}",
                models=[_MODEL],
                kv_tokens=400_000,
            )
            for number in range(endpoints)
        ],
    )

"""Compare routing policies side by side: the same seeded workloads, one after the other."""

from __future__ import annotations

import itertools
import json
import statistics
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field

from brassdrum.bench.fleet import ZONES, daemon_settings, list_hosts, wait_ready
from brassdrum.bench.processes import Parts
from brassdrum.bench.workload import Arrival, WorkloadPlan, make_workload, prompt_text
from brassdrum.caller import Answer, Caller
from brassdrum.contracts.documents import (
    Configuration,
    Contract,
    Endpoint,
    EndpointKind,
    Model,
    Policy,
)
from brassdrum.logservice.log import HttpLog
from brassdrum.logservice.publish import Publisher
from brassdrum.settings import (
    DaemonSettings,
    EngineStandinSettings,
    PlatformStandinSettings,
)
from brassdrum.standins.site import MODEL, sample_contract

__all__ = ["Experiment", "RunResult", "run_experiment", "summarise", "write_results"]

_MICROSECONDS = 1_000_000
_LONGEST = 600 * _MICROSECONDS
_CALLERS = 256
_SHORT_TOKENS = 4_000
_BANDS = ((0, 4_000), (4_000, 20_000), (20_000, 100_000), (100_000, 2_000_000))


class Experiment(BaseModel):
    """Describe what to compare."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    shape: str
    policies: Annotated[list[str], Field(min_length=1)]
    seeds: Annotated[list[int], Field(min_length=1)]
    daemons: int = 3
    engines: int = 6
    load: float = 0.8
    seconds: float = 20.0
    longest: int = 300_000
    short_weight: float = 0.5
    timeout_seconds: float = 60.0
    speed: float = 2.0
    alone: bool = True


@dataclass(frozen=True, slots=True)
class RunResult:
    """Hold one policy's figures for one seed; times in seconds, keyed by shortest prompt."""

    experiment: str
    policy: str
    seed: int
    load: float
    requests: int
    whole: int
    refused: int
    failed: int
    first_token_p50: dict[str, float]
    first_token_p95: dict[str, float]
    geometric_mean_p95: float
    short_slowdown_p95: float | None
    goodput_tokens_per_second: float


def run_experiment(experiment: Experiment) -> Iterator[RunResult]:
    """Yield a result for each policy and seed."""
    for seed, policy in itertools.product(experiment.seeds, experiment.policies):
        plan = WorkloadPlan(
            shape=experiment.shape,
            seconds=experiment.seconds,
            load=experiment.load,
            engines=experiment.engines,
            prefill_rate=_rate(experiment),
            longest=experiment.longest,
            seed=seed,
        )
        arrivals = make_workload(plan)
        answers = _replay(experiment, policy, arrivals, seed)
        alone = None
        if experiment.alone:
            short = [arrival for arrival in arrivals if not arrival.long]
            alone = _replay(experiment, policy, short, seed)
        yield _result(experiment, policy, seed, answers, alone)


def summarise(results: list[RunResult]) -> list[dict[str, object]]:
    """Return the median over seeds and its spread for each policy."""
    rows = []
    for policy in dict.fromkeys(result.policy for result in results):
        group = [result for result in results if result.policy == policy]
        row: dict[str, object] = {"policy": policy, "seeds": len(group)}
        row["short_slowdown_p95"] = _spread([r.short_slowdown_p95 for r in group])
        row["geometric_mean_p95"] = _spread([r.geometric_mean_p95 for r in group])
        for low, _ in _BANDS:
            row[f"p95_from_{low}"] = _spread([r.first_token_p95.get(str(low)) for r in group])
        row["whole"] = f"{sum(r.whole for r in group)}/{sum(r.requests for r in group)}"
        row["failed"] = sum(r.failed for r in group)
        row["goodput"] = _spread([r.goodput_tokens_per_second for r in group])
        rows.append(row)
    return rows


def _spread(values: list[float | None]) -> str:
    known = sorted(value for value in values if value is not None)
    if not known:
        return "-"
    return f"{statistics.median(known):.3f} ({known[0]:.3f}-{known[-1]:.3f})"


def _rate(experiment: Experiment) -> float:
    return EngineStandinSettings(name="x").prefill_tokens_per_second * experiment.speed


def _replay(
    experiment: Experiment, policy: str, arrivals: list[Arrival], seed: int
) -> list[tuple[Arrival, Answer]]:
    """Start a fresh site, send the arrivals at their times and return the answers."""
    with Parts() as parts:
        platform = parts.start(["standin", "platform"], PlatformStandinSettings()).wait_url()
        engines = [
            parts.start(["standin", "engine"], _engine(experiment, number))
            for number in range(experiment.engines)
        ]
        daemons = [
            parts.start(["daemon", "--policy", policy], _settings(platform, number))
            for number in range(experiment.daemons)
        ]
        urls = [daemon.wait_url() for daemon in daemons]
        engine_urls = [engine.wait_url() for engine in engines]
        list_hosts(platform, urls)
        organisations = sorted({arrival.organisation for arrival in arrivals})
        secrets = _publish(experiment, platform, engine_urls, organisations)
        wait_ready(urls)
        return _send(experiment, urls, secrets, arrivals, seed)


def _send(
    experiment: Experiment,
    urls: list[str],
    secrets: dict[str, str],
    arrivals: list[Arrival],
    seed: int,
) -> list[tuple[Arrival, Answer]]:
    headers = {"Brassdrum-Timeout": str(experiment.timeout_seconds)}
    started = time.monotonic()

    def send(arrival: Arrival) -> Answer:
        caller = Caller(urls[arrival.number % len(urls)], secrets[arrival.organisation])
        text = prompt_text(arrival, seed)
        return caller.complete(MODEL, text, arrival.answer_tokens, headers)

    with ThreadPoolExecutor(_CALLERS) as executor:
        futures = []
        for arrival in arrivals:
            time.sleep(max(0.0, started + arrival.at - time.monotonic()))
            futures.append(executor.submit(send, arrival))
        return [
            (arrival, future.result()) for arrival, future in zip(arrivals, futures, strict=True)
        ]


def _result(
    experiment: Experiment,
    policy: str,
    seed: int,
    answers: list[tuple[Arrival, Answer]],
    alone: list[tuple[Arrival, Answer]] | None,
) -> RunResult:
    p50, p95 = {}, {}
    for low, high in _BANDS:
        histogram = _histogram(answers, low, high)
        if histogram.get_total_count() == 0:
            continue
        p50[str(low)] = histogram.get_value_at_percentile(50) / _MICROSECONDS
        p95[str(low)] = histogram.get_value_at_percentile(95) / _MICROSECONDS
    whole = [(arrival, answer) for arrival, answer in answers if answer.whole]
    refused = sum(1 for _, answer in answers if answer.error and answer.error.get("ran") == "no")
    work = sum(arrival.prompt_tokens + arrival.answer_tokens for arrival, _ in whole)
    return RunResult(
        experiment=experiment.name,
        policy=policy,
        seed=seed,
        load=experiment.load,
        requests=len(answers),
        whole=len(whole),
        refused=refused,
        failed=len(answers) - len(whole) - refused,
        first_token_p50=p50,
        first_token_p95=p95,
        geometric_mean_p95=statistics.geometric_mean(p95.values()),
        short_slowdown_p95=_slowdown(answers, alone),
        goodput_tokens_per_second=work / experiment.seconds,
    )


def _slowdown(
    answers: list[tuple[Arrival, Answer]], alone: list[tuple[Arrival, Answer]] | None
) -> float | None:
    if alone is None:
        return None
    with_long = _histogram(answers, 0, _SHORT_TOKENS).get_value_at_percentile(95)
    without = _histogram(alone, 0, _SHORT_TOKENS).get_value_at_percentile(95)
    return with_long / without


def _histogram(answers: list[tuple[Arrival, Answer]], low: int, high: int) -> HdrHistogram:
    histogram = HdrHistogram(1, _LONGEST, 3)
    for arrival, answer in answers:
        if low <= arrival.prompt_tokens < high and answer.first_token is not None:
            histogram.record_value(int(answer.first_token * _MICROSECONDS))
    return histogram


def _engine(experiment: Experiment, number: int) -> EngineStandinSettings:
    return EngineStandinSettings(
        name=f"engine-{number}",
        models=[MODEL],
        speed=experiment.speed,
        kv_tokens=700_000,
        seed=number,
    )


def _settings(platform: str, number: int) -> DaemonSettings:
    return daemon_settings(
        platform, number, 256, queue_length=512, gossip_seconds=0.25, poll_seconds=0.25
    )


def _publish(
    experiment: Experiment, platform: str, engines: list[str], organisations: list[str]
) -> dict[str, str]:
    configuration = Configuration(
        format=1,
        kind="configuration",
        models=[
            Model(name=MODEL, context_tokens=2_000_000, prefill_tokens_per_second=_rate(experiment))
        ],
        endpoints=[
            Endpoint(
                name=f"engine-{number}",
                kind=EndpointKind.ENGINE,
                url=url,
                zone=f"zone-{number % ZONES}",
                models=[MODEL],
                kv_tokens=700_000,
                max_streams=64,
            )
            for number, url in enumerate(engines)
        ],
        policy=Policy(short_weight=experiment.short_weight),
    )
    secrets = {}
    documents: list[Configuration | Contract] = [configuration]
    for organisation in organisations:
        secrets[organisation], contract = sample_contract(organisation)
        documents.append(contract)
    Publisher(HttpLog(platform, 5.0), "bench").publish(documents)
    return secrets


def write_results(path: Path, results: list[RunResult]) -> None:
    """Write one JSON object a line."""
    path.write_text("".join(json.dumps(asdict(result)) + "\n" for result in results))

"""Measure what one daemon adds to a request: time to first token, memory and processor time."""

from __future__ import annotations

import json
import multiprocessing
import random
import threading
import time
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import asdict, dataclass

from hdrh.histogram import HdrHistogram

from brassdrum.bench.fleet import daemon_settings, wait_ready
from brassdrum.bench.processes import Part, Parts
from brassdrum.bench.source import PacedSourceSettings
from brassdrum.caller import Caller
from brassdrum.contracts.documents import (
    ApiKey,
    Configuration,
    Contract,
    ContractLimits,
    Endpoint,
    EndpointKind,
    Model,
    Repeatable,
)
from brassdrum.contracts.keys import make_key
from brassdrum.logservice.log import HttpLog
from brassdrum.logservice.publish import Publisher
from brassdrum.settings import (
    PlatformStandinSettings,
)

__all__ = ["OverheadPlan", "OverheadResult", "measure_overhead"]

_MODEL = "m"
_SOURCES = 3
_READERS = 3
_FOREVER_TOKENS = 100_000
_PROBE_TOKENS = 4
_MICROSECONDS = 1_000_000
_LONGEST = 60 * _MICROSECONDS
_PROBE_THREADS = 32
_LARGE_CHARACTERS = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class OverheadPlan:
    """Say how much load to put on the daemon."""

    streams: int = 450
    rate: float = 25.0
    seconds: float = 20.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class OverheadResult:
    """Hold what was measured; times in milliseconds."""

    plan: dict[str, float]
    direct_p50: float
    direct_p99: float
    daemon_p50: float
    daemon_p99: float
    added_p50: float
    added_p99: float
    ratio_p50: float
    failed: int
    kilobytes_per_stream: float
    base_megabytes: float
    daemon_cores: float
    cpu_microseconds_per_event: float
    large_prompt_megabytes: float


def measure_overhead(plan: OverheadPlan) -> OverheadResult:
    """Run a platform, sources, one daemon and callers, each as processes, and measure."""
    with Parts() as parts:
        platform = parts.start(["standin", "platform"], PlatformStandinSettings()).wait_url()
        sources = [
            parts.start(["bench", "source"], PacedSourceSettings()).wait_url()
            for _ in range(_SOURCES)
        ]
        daemon = parts.start(["daemon"], daemon_settings(platform, 1, plan.streams + 64))
        url = daemon.wait_url()
        secret = _publish(platform, sources)
        wait_ready([url])
        return _measure(plan, daemon, url, secret, sources)


def _measure(
    plan: OverheadPlan, daemon: Part, url: str, secret: str, sources: list[str]
) -> OverheadResult:
    _probe_all(url, secret, 20)
    base = daemon.usage()
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(_READERS + 1, mp_context=context) as executor:
        stop_at = time.time() + _opening_seconds(plan) + plan.seconds + 2.0
        for index in range(_READERS):
            share = plan.streams // _READERS + (index < plan.streams % _READERS)
            executor.submit(_read_streams, url, secret, share, stop_at)
        time.sleep(_opening_seconds(plan))
        before = daemon.usage()
        started = time.monotonic()
        probe = executor.submit(_probe, url, secret, sources[0], plan)
        direct, through, failed = probe.result()
        elapsed = time.monotonic() - started
        after = daemon.usage()
    large = _large_prompt(daemon, url, secret)
    cores = (after.cpu_seconds - before.cpu_seconds) / elapsed
    events = plan.streams * PacedSourceSettings().tokens_per_second
    return OverheadResult(
        plan={name: float(value) for name, value in asdict(plan).items()},
        direct_p50=_milliseconds(direct, 50),
        direct_p99=_milliseconds(direct, 99),
        daemon_p50=_milliseconds(through, 50),
        daemon_p99=_milliseconds(through, 99),
        added_p50=round(_milliseconds(through, 50) - _milliseconds(direct, 50), 3),
        added_p99=round(_milliseconds(through, 99) - _milliseconds(direct, 99), 3),
        ratio_p50=round(_milliseconds(through, 50) / _milliseconds(direct, 50), 3),
        failed=failed,
        kilobytes_per_stream=round(
            (after.resident_bytes - base.resident_bytes) / 1024 / max(1, plan.streams), 1
        ),
        base_megabytes=round(base.resident_bytes / 2**20, 1),
        daemon_cores=round(cores, 3),
        cpu_microseconds_per_event=round(cores / max(1.0, events) * _MICROSECONDS, 1),
        large_prompt_megabytes=large,
    )


def _opening_seconds(plan: OverheadPlan) -> float:
    return 4.0 + plan.streams / 100


def _publish(platform: str, sources: list[str]) -> str:
    secret, key = make_key("bench")
    contract = Contract(
        format=1,
        kind="contract",
        organisation="bench",
        keys=[ApiKey.model_validate(key.model_dump())],
        models=[_MODEL],
        limits=ContractLimits(
            requests_per_second=10_000,
            tokens_per_second=1e9,
            concurrency=10_000,
            longest_prompt=2_000_000,
            longest_answer=_FOREVER_TOKENS,
        ),
        repeatable=Repeatable(models=[_MODEL]),
    )
    configuration = Configuration(
        format=1,
        kind="configuration",
        models=[Model(name=_MODEL, context_tokens=4_000_000, prefill_tokens_per_second=1e9)],
        endpoints=[
            Endpoint(
                name=f"source-{number}",
                kind=EndpointKind.ENGINE,
                url=source,
                zone="zone-a",
                models=[_MODEL],
                kv_tokens=1_000_000_000,
                max_streams=100_000,
            )
            for number, source in enumerate(sources)
        ],
    )
    Publisher(HttpLog(platform, 5.0), "bench").publish([configuration, contract])
    return secret


def _probe_all(url: str, secret: str, count: int) -> None:
    caller = Caller(url, secret)
    for _ in range(count):
        caller.complete(_MODEL, "warm", _PROBE_TOKENS)


def _read_streams(url: str, secret: str, count: int, stop_at: float) -> int:
    """Hold streams open and read them, in a process of its own."""
    events = [0] * count

    def read(number: int) -> None:
        time.sleep(number / 50)
        caller = Caller(url, secret)
        while time.time() < stop_at:
            tokens = max(1, int((stop_at - time.time()) * PacedSourceSettings().tokens_per_second))
            answer = caller.complete(_MODEL, f"stream {number} ", min(tokens, _FOREVER_TOKENS))
            events[number] += answer.tokens

    threads = [threading.Thread(target=read, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(events)


def _probe(url: str, secret: str, source: str, plan: OverheadPlan):
    """Send short requests at random moments, in turn direct and through the daemon."""
    rng = random.Random(plan.seed)
    direct = HdrHistogram(1, _LONGEST, 3)
    through = HdrHistogram(1, _LONGEST, 3)
    lock = threading.Lock()
    failed = [0]

    def send(caller: Caller, histogram: HdrHistogram) -> None:
        answer = caller.complete(_MODEL, "a short prompt", _PROBE_TOKENS)
        with lock:
            if answer.first_token is None or not answer.whole:
                failed[0] += 1
                return
            histogram.record_value(int(answer.first_token * _MICROSECONDS))

    callers = [(Caller(source, secret), direct), (Caller(url, secret), through)]
    with ThreadPoolExecutor(_PROBE_THREADS) as executor:
        end = time.monotonic() + plan.seconds
        count = 0
        while time.monotonic() < end:
            # Half of the probes go to the daemon, so twice the rate gives it the rate asked for.
            time.sleep(rng.expovariate(2 * plan.rate))
            executor.submit(send, *callers[count % 2])
            count += 1
    return direct.encode(), through.encode(), failed[0]


def _milliseconds(encoded: bytes, percentile: float) -> float:
    histogram = HdrHistogram.decode(encoded)
    return round(histogram.get_value_at_percentile(percentile) / 1000, 3)


def _large_prompt(daemon: Part, url: str, secret: str) -> float:
    """Return by how many megabytes a 4 MB prompt raises the daemon's memory at its peak."""
    before = daemon.usage().resident_bytes
    peak = [before]
    done = threading.Event()

    def watch() -> None:
        while not done.is_set():
            peak[0] = max(peak[0], daemon.usage().resident_bytes)
            time.sleep(0.001)

    watcher = threading.Thread(target=watch)
    watcher.start()
    content = {"model": _MODEL, "prompt": "x" * _LARGE_CHARACTERS, "max_tokens": 4, "stream": True}
    Caller(url, secret).send("POST", "/v1/completions", json.dumps(content).encode())
    done.set()
    watcher.join()
    return round((peak[0] - before) / 2**20, 1)

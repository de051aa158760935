"""Measure the pure decisions: their processor time, memory and bytes against sizes."""

from __future__ import annotations

import json
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.admission.lending import BorrowerDemand, Lender, MembershipView
from brassdrum.admission.limits import Allowance
from brassdrum.admission.queue import FairQueue
from brassdrum.admission.work import Work
from brassdrum.contracts.documents import Endpoint, EndpointKind, Policy, Urgency
from brassdrum.contracts.fold import ControlFold
from brassdrum.contracts.records import canonical_json
from brassdrum.outcomes.claims import ClaimFold
from brassdrum.routing.policies import LengthAware, RoutingContext
from brassdrum.routing.state import EndpointState, LoadReport
from brassdrum.standins.site import MODEL, sample_contract

__all__ = ["Figure", "measure_decisions"]

_REPEATS = 5
_CLAIMS = 20_000


@dataclass(frozen=True, slots=True)
class Figure:
    """Hold one measured figure."""

    name: str
    size: int
    value: float
    unit: str


def measure_decisions(seed: int) -> list[Figure]:
    """Return the figures; times are medians of five rounds."""
    figures = []
    for endpoints in (10, 60, 240, 600):
        figures.append(_routing(endpoints, seed))
    for organisations in (10, 60, 240):
        figures.append(_queue(organisations, seed))
    for daemons in (9, 40, 320):
        figures.append(_lending(daemons))
    for documents in (10, 60, 240):
        figures.extend(_documents(documents))
    figures.extend(_claims())
    return figures


def _microseconds(function: Callable[[], object], count: int) -> float:
    times = []
    for _ in range(_REPEATS):
        begin = time.perf_counter()
        for _ in range(count):
            function()
        times.append((time.perf_counter() - begin) / count * 1e6)
    return round(statistics.median(times), 1)


def _work(number: int, organisation: str) -> Work:
    return Work(
        id=str(number),
        organisation=organisation,
        target=MODEL,
        prompt_tokens=2_000,
        answer_tokens=200,
        urgency=Urgency.STANDARD,
        share=1.0,
        arrived=0.0,
        start_by=60.0,
        deadline=600.0,
    )


def _routing(endpoints: int, seed: int) -> Figure:
    rng = random.Random(seed)
    states = []
    for number in range(endpoints):
        endpoint = Endpoint(
            name=f"engine-{number:04d}",
            kind=EndpointKind.ENGINE,
            url="http://127.0.0.1:1",
            zone=f"zone-{number % 6}",
            models=[MODEL],
            kv_tokens=400_000,
        )
        state = EndpointState(endpoint, float("-inf"))
        state.report = LoadReport(99.0, rng.randrange(30), rng.randrange(10_000), 100_000)
        states.append(state)
    context = RoutingContext(100.0, "zone-1", rng, Policy(), long_load=endpoints * 0.2)
    policy = LengthAware()
    work = _work(1, "a")
    value = _microseconds(lambda: policy.choose(work, states, context), 400)
    return Figure("routing decision", endpoints, value, "us")


def _queue(organisations: int, seed: int) -> Figure:
    queue = FairQueue(100_000)
    for number in range(organisations):
        queue.push(_work(number, f"organisation-{number}"))
    value = _microseconds(lambda: queue.heads(1.0), 50)
    return Figure("fair order with all organisations waiting", organisations, value, "us")


def _lending(daemons: int) -> Figure:
    names = [f"daemon-{number}" for number in range(daemons)]
    census = MembershipView(names, names)
    lender = Lender(Allowance(1000.0, 1e6, 1000), 2.0, -10.0)
    demand = BorrowerDemand(10.0, 1e4, 5)
    for name in names:
        lender.lend(name, demand, census, 0.0)
    value = _microseconds(lambda: lender.lend("daemon-1", demand, census, 0.5), 20)
    return Figure("one slice lent", daemons, value, "us")


def _documents(count: int) -> list[Figure]:
    fold = ControlFold()
    for number in range(count):
        _, contract = sample_contract(f"organisation-{number}")
        document = {
            "kind": "contract",
            "name": contract.organisation,
            "base": -1,
            "body": contract.model_dump(mode="json"),
        }
        record = {"format": 1, "kind": "publish", "id": f"record-{number}", "operator": "o"}
        fold.apply(number, record | {"documents": [document]})
    checkpoint = fold.checkpoint()
    size = len(canonical_json(checkpoint.model_dump(mode="json")))
    load = _microseconds(lambda: ControlFold().load(checkpoint), 3) / 1000
    return [
        Figure("checkpoint", count, size, "bytes"),
        Figure("checkpoint loaded", count, round(load, 2), "ms"),
    ]


def _claims() -> list[Figure]:
    records = []
    for number in range(_CLAIMS):
        claim_id = f"{number:032x}"
        claim = {
            "format": 1,
            "kind": "claim",
            "id": claim_id,
            "organisation": f"organisation-{number % 240}",
            "key": f"{number:036x}",
            "fingerprint": "f" * 64,
            "daemon": "daemon-1",
            "deadline": 1796228890.9,
        }
        outcome = {
            "format": 1,
            "kind": "outcome",
            "id": claim_id,
            "status": 200,
            "content_type": "application/json",
            "body": '{"held": true}',
        }
        records.extend([claim, outcome])
    size = len(json.dumps(records, separators=(",", ":"))) / _CLAIMS
    tracemalloc.start()
    fold = ClaimFold(1e9)
    for offset, record in enumerate(records):
        fold.apply(offset, float(offset), record)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    fresh = ClaimFold(1e9)
    begin = time.perf_counter()
    for offset, record in enumerate(records):
        fresh.apply(offset, float(offset), record)
    seconds = time.perf_counter() - begin
    return [
        Figure("claim and outcome in the log", _CLAIMS, round(size), "bytes each"),
        Figure("claim and outcome read", _CLAIMS, round(seconds / _CLAIMS * 1e6, 1), "us each"),
        Figure("claim kept", _CLAIMS, round(memory / _CLAIMS), "bytes of memory each"),
    ]

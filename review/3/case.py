"""A daemon wakes and takes old messages for new ones: the fleet goes back to its old list."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from standins import (  # noqa: E402
    BOUNDS, KEY, RUNTIME, TENANT, Client, Outcome, Replica, Site, main, route, stream,
)

DAEMONS, REPLICAS, CLIENTS = 9, 6, 60
# One machine of nine freezes, for as long as the site's list of troubles says. Meanwhile one
# replica is replaced.
FREEZES, FIRST_FREEZE, GAP, FROZEN_SECONDS = 4, 4.0, 9.0, 4.0
LEAVES_AFTER_SECONDS = 1.7
# The replica goes on for drain_ms and a little longer.
LINGER_SECONDS = 1.5
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000
STABLE_SECONDS = BOUNDS["stable_window_ms"] / 1000
END = FIRST_FREEZE + FREEZES * GAP
HEADERS = {"X-Token-Usage": "500,300", "X-Model": "m", "X-Prompt-Prefix": "ab:500"}


async def case(site: Site, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    rng = random.Random(1)
    site.store.configure(
        [route("text", "streaming", "pool", resumable=True, goal_ms=300, gap_aim_ms=250)],
        [{"name": "pool", "health_path": "/health", "max_conns": 374, "runtime": RUNTIME}],
        [{"name": TENANT, "api_keys": [KEY]}],
    )
    serial = 0

    async def add_replica() -> Replica:
        nonlocal serial
        replica = Replica(site.store, site.record, f"i-{serial}", "pool", stream(8, 0.03))
        serial += 1
        await replica.start()
        site.replicas.append(replica)
        return replica

    serving = [await add_replica() for _ in range(REPLICAS)]
    await site.start_daemons(DAEMONS)
    began = time.monotonic()
    outcomes: list[Outcome] = []
    left_at: dict[str, float] = {}
    frozen_at: list[float] = []
    frozen_daemon = site.daemons[0]

    async def until(seconds: float) -> None:
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))

    async def call_on(number: int) -> None:
        daemon = site.daemons[number % DAEMONS]
        client = Client(site.record, daemon)
        await asyncio.sleep(rng.random())
        while time.monotonic() < began + END:
            outcome = await client.call("/text/1", headers={**HEADERS, "X-Via": daemon.name})
            outcomes.append(outcome)
            await asyncio.sleep(rng.uniform(0.4, 1.0))

    async def release(at: float) -> None:
        """Start a new replica; then the oldest one leaves."""
        await until(at)
        serving.append(await add_replica())
        old = serving.pop(0)
        old.list_as("draining")
        left_at[old.name] = time.monotonic()
        site.record.write("draining", replica=old.name)
        await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
        old.list_as("")
        old.server.close()
        site.record.write("gone", replica=old.name)

    async def freeze(at: float) -> None:
        await until(at)
        site.record.write("freeze", daemon=frozen_daemon.name)
        frozen_daemon.send(signal.SIGSTOP)
        frozen_at.append(time.monotonic())
        await until(at + FROZEN_SECONDS)
        frozen_daemon.send(signal.SIGCONT)
        site.record.write("wake", daemon=frozen_daemon.name)

    work = [call_on(number) for number in range(CLIENTS)]
    for number in range(FREEZES):
        at = FIRST_FREEZE + GAP * number
        work.append(release(at + LEAVES_AFTER_SECONDS))
        if trouble:
            work.append(freeze(at))
    await asyncio.gather(*work)
    late = 0
    for replica in site.replicas:
        for run in replica.runs:
            left = left_at.get(replica.name)
            daemon = run.headers["x-via"]
            # The machine that freezes is in touch again 3 s after it woke.
            touched = daemon == frozen_daemon.name and any(
                at <= run.at < at + FROZEN_SECONDS + STABLE_SECONDS for at in frozen_at
            )
            if left is None or run.at - left <= DRAIN_SECONDS or touched:
                continue
            late += 1
            site.record.write(
                "late", replica=replica.name, request=run.request, daemon=daemon,
                after=round(run.at - left, 3), at=round(run.at - began, 2),
            )
            if late <= 10:
                late_by = f"{run.at - left:.2f} s after it left"
                print(f"{run.request} via {daemon} reached {replica.name} {late_by}")
    print(Counter((each.status, each.complete) for each in outcomes), "late:", late)
    return not late


main(case, FOLDER)

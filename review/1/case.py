"""A replica crashes in a stream without a length: the caller gets a part as the whole."""

from __future__ import annotations

import asyncio
import json
import re
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from replica import EVENTS  # noqa: E402
from standins import KEY, RUNTIME, TENANT, Client, Outcome, Site, main, route  # noqa: E402

DAEMONS, REPLICAS, CLIENTS = 3, 6, 24
# One of six replicas at a time, for as long as the site's list of troubles says.
CRASHES, FIRST_CRASH, GAP, DOWN_SECONDS = 3, 5.0, 7.0, 4.5
END = 26.0
# One answer in twenty of every other replica has no length.
UNFRAMED_EACH = 20
# An entry is removed after three intervals without a heartbeat.
HEARTBEAT_SECONDS, SILENT_SECONDS = 1.2, 3.6
# The crash comes this long after such an answer was begun, which takes 1.2 s.
INTO_ANSWER_SECONDS = 0.5
HEADERS = {"X-Token-Usage": "500,1292", "X-Model": "m", "X-Prompt-Prefix": "ab:500"}
_EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class KillableReplica:
    """A replica in a process of its own."""

    def __init__(self, site: Site, name: str, unframed_each: int) -> None:
        self.name = name
        self._site, self._unframed_each = site, unframed_each
        self._process: asyncio.subprocess.Process | None = None
        self._address = ""
        self.unframed_runs: asyncio.Queue[str] = asyncio.Queue()
        self.alive = False

    async def start(self) -> None:
        """Start the process, and write the entry once it listens."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(FOLDER / "replica.py"), self.name, str(self._unframed_each),
            stdout=asyncio.subprocess.PIPE,
        )
        line = await self._process.stdout.readline()
        self._address = f"127.0.0.1:{line.split()[1].decode()}"
        self.alive = True
        self.write_entry()
        asyncio.create_task(self._follow())

    async def _follow(self) -> None:
        while line := await self._process.stdout.readline():
            words = line.decode().split()
            self._site.record.write(words[0], replica=self.name, request=words[1], more=words[2:])
            if words[0] == "runs" and words[2] == "unframed":
                self.unframed_runs.put_nowait(words[1])

    def write_entry(self) -> None:
        """Write the entry to the store."""
        entry = {
            "service": "pool", "address": self._address, "zone": "hall-a", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 0,
        }
        self._site.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def remove_entry(self) -> None:
        """Remove the entry from the store."""
        self._site.store.put("keyed.servers", self.name, b"")

    def kill(self) -> None:
        """End the process as a crash does."""
        self.alive = False
        if self._process is not None and self._process.returncode is None:
            self._process.kill()

    async def ended(self) -> None:
        """Wait for the end of the process."""
        if self._process is not None:
            await self._process.wait()


async def case(site: Site, trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    site.store.configure(
        [route("text", "streaming", "pool", resumable=True, goal_ms=300, gap_aim_ms=250)],
        [{"name": "pool", "health_path": "/health", "max_conns": 374, "runtime": RUNTIME}],
        [{"name": TENANT, "api_keys": [KEY]}],
    )
    replicas = [
        KillableReplica(site, f"i-{number}", UNFRAMED_EACH if number % 2 else 0)
        for number in range(REPLICAS)
    ]
    tasks = []
    try:
        for each in replicas:
            await each.start()
        await site.start_daemons(DAEMONS)
        return await play(site, trouble, replicas, tasks)
    finally:
        for each in tasks:
            each.cancel()
        for each in replicas:
            each.kill()
        for each in replicas:
            await each.ended()


async def play(
    site: Site, trouble: bool, replicas: list[KillableReplica], tasks: list[asyncio.Task]
) -> bool:
    """Send requests, crash replicas, and judge the answers."""
    began = time.monotonic()
    outcomes: list[Outcome] = []

    async def heartbeats() -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for each in replicas:
                if each.alive:
                    each.write_entry()

    async def call_on(number: int) -> None:
        client = Client(site.record, site.daemons[number % DAEMONS])
        await asyncio.sleep(number * 0.05)
        while time.monotonic() < began + END:
            outcome = await client.call("/text/1", headers=HEADERS)
            outcomes.append(outcome)
            await asyncio.sleep(0.1)

    async def crash(number: int) -> None:
        await asyncio.sleep(max(0.0, began + FIRST_CRASH + GAP * number - time.monotonic()))
        fitting = [each for each in replicas if each.alive and each._unframed_each]
        for each in fitting:
            while not each.unframed_runs.empty():
                each.unframed_runs.get_nowait()
        waits = {asyncio.create_task(each.unframed_runs.get()): each for each in fitting}
        done, rest = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for each in rest:
            each.cancel()
        await asyncio.sleep(INTO_ANSWER_SECONDS)
        replica = waits[done.pop()]
        site.record.write("crash", replica=replica.name)
        replica.kill()
        await replica.ended()
        await asyncio.sleep(SILENT_SECONDS)
        replica.remove_entry()
        await asyncio.sleep(DOWN_SECONDS - SILENT_SECONDS)
        replica.name = f"{replica.name}b"
        await replica.start()

    tasks.append(asyncio.create_task(heartbeats()))
    if trouble:
        tasks += [asyncio.create_task(crash(number)) for number in range(CRASHES)]
    await asyncio.gather(*(call_on(number) for number in range(CLIENTS)))
    broken = 0
    for each in outcomes:
        ids = [int(found) for found in _EVENT_ID.findall(each.body)]
        if each.status != 200 or not each.complete:
            continue
        if ids != list(range(1, EVENTS + 1)):
            broken += 1
            site.record.write("broken", request=each.request, events=len(ids), due=EVENTS)
            print(f"request {each.request}: complete, with {len(ids)} of {EVENTS} events")
    print(Counter((each.status, each.complete) for each in outcomes), "broken:", broken)
    return not broken


main(case, FOLDER)

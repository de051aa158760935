"""Show that undisturbed daemons follow no new configuration after the first readers are lost."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))

from standins import (
    BOUNDS,
    TROUBLE,
    Record,
    Replica,
    Store,
    call,
    configuration,
    folder,
    make_fleet,
    route,
    wait_until,
)

COULD_NOT_RUN = 2
# As in day.toml: the store is down for 1 s, three of six machines are dark for 5 s.
OUTAGE_SECONDS = 1.0
DARK_SECONDS = 5.0
LOST = 3
APPLY_SECONDS = BOUNDS["config_apply_ms"] / 1000
STABLE_SECONDS = BOUNDS["stable_window_ms"] / 1000


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    store = Store()
    old = [Replica(store, record, f"old-{number}", "pool") for number in range(2)]
    new = [Replica(store, record, f"new-{number}", "pool-2") for number in range(2)]
    store.put("keyed.op", "config", configuration(3, [route("lookup"), route("kept", "pool-2")]))
    daemons = make_fleet(6, store, folder())
    stopping = threading.Event()
    try:
        for daemon in daemons:
            daemon.start()
        if not wait_until(lambda: all(each.ready() for each in daemons), 20):
            return COULD_NOT_RUN
        time.sleep(4.0)
        return play(record, store, old, new, daemons, stopping)
    finally:
        stopping.set()
        for daemon in daemons:
            daemon.end()


def play(record, store, old, new, daemons, stopping) -> int:
    """Lose power for a moment, change the configuration, and see who follows it."""
    sent_at_by_request: dict[str, float] = {}
    for number, daemon in enumerate(daemons[LOST:], 1):
        arguments = (record, number, daemon, sent_at_by_request, stopping)
        threading.Thread(target=send, args=arguments, daemon=True).start()
    time.sleep(1.0)
    if TROUBLE:
        store.down = True
        for daemon in daemons[:LOST]:
            daemon.send(signal.SIGKILL)
        record.write(f"the store answers 503; {LOST} machines are dark")
    dark_since = time.monotonic()
    time.sleep(OUTAGE_SECONDS)
    store.down = False
    stable_at = time.monotonic() + STABLE_SECONDS
    record.write("the store answers")
    time.sleep(0.3)
    routes = [route("lookup", "pool-2"), route("kept", "pool-2")]
    store.put("keyed.op", "config", configuration(5, routes))
    in_force_at = max(stable_at, time.monotonic() + APPLY_SECONDS)
    record.write("version 5 is acknowledged: /lookup/ goes to pool-2")
    time.sleep(max(0.0, dark_since + DARK_SECONDS - time.monotonic()))
    if TROUBLE:
        for daemon in daemons[:LOST]:
            daemon.start()
        record.write("the dark machines start again")
    time.sleep(4.0)
    late = [
        run
        for replica in old
        for run in replica.runs
        if sent_at_by_request.get(run.request, 0.0) > in_force_at
    ]
    for run in late:
        after_ms = round((sent_at_by_request[run.request] - in_force_at) * 1000)
        record.write(f"CONFIG: {run.request} run by pool, sent {after_ms} ms after the bound")
    record.write(f"{len(late)} requests were handled as only version 3 allows")
    if not any(replica.runs for replica in new):
        return COULD_NOT_RUN
    return 1 if late else 0


def send(record, number, daemon, sent_at_by_request, stopping) -> None:
    """Send a request each 50 ms."""
    count = 0
    while not stopping.is_set():
        count += 1
        request = f"{number}{count:08x}"
        sent_at_by_request[request] = time.monotonic()
        record.write(f"{request} sent to {daemon.name}")
        record.write(f"{request} answered {call(daemon, request, '/lookup/1')}")
        time.sleep(0.05)


if __name__ == "__main__":
    sys.exit(main())

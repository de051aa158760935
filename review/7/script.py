"""Show that requests go on to a replica that has left, after an outage of the store long past."""

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
# The site file allows 9 s.
OUTAGE_SECONDS = 8.0
CALM_SECONDS = 8.0
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    store = Store()
    replicas = [Replica(store, record, f"i-{number}") for number in range(3)]
    store.put("keyed.op", "config", configuration(3, [route("lookup")]))
    daemons = make_fleet(3, store, folder())
    stopping = threading.Event()
    try:
        for daemon in daemons:
            daemon.start()
        if not wait_until(lambda: all(each.ready() for each in daemons), 15):
            return COULD_NOT_RUN
        time.sleep(2.0)
        return play(record, store, replicas, daemons, stopping)
    finally:
        stopping.set()
        for daemon in daemons:
            daemon.end()


def play(record, store, replicas, daemons, stopping) -> int:
    """Let the store be away, wait, kill the first daemon, and let a replica leave."""
    if TROUBLE:
        record.write("the store answers 503")
        store.down = True
    time.sleep(OUTAGE_SECONDS)
    store.down = False
    record.write("the store answers")
    time.sleep(CALM_SECONDS)
    # The other two machines are never disturbed; clients use them.
    for daemon in daemons[1:]:
        threading.Thread(target=send, args=(record, daemon, stopping), daemon=True).start()
    time.sleep(1.0)
    record.write(f"{daemons[0].name} is killed")
    daemons[0].send(signal.SIGKILL)
    leaving = replicas[0]
    leaving.leave()
    left_at = time.monotonic()
    record.write(f"the store has acknowledged that {leaving.name} is gone")
    time.sleep(6.0)
    late = [run for run in leaving.runs if run.at > left_at + DRAIN_SECONDS]
    for run in late:
        after_ms = round((run.at - left_at) * 1000)
        record.write(f"DRAIN: {run.request} reached {run.replica} {after_ms} ms after it had left")
    record.write(f"{len(late)} requests reached it later than {DRAIN_SECONDS} s")
    if not any(run.at > left_at for replica in replicas[1:] for run in replica.runs):
        return COULD_NOT_RUN
    return 1 if late else 0


def send(record, daemon, stopping) -> None:
    """Send a request each 50 ms."""
    number = 0
    while not stopping.is_set():
        number += 1
        request = f"{daemon.name[7:8]}{number:08x}"
        record.write(f"{request} sent to {daemon.name}")
        record.write(f"{request} answered {call(daemon, request, '/lookup/1')}")
        time.sleep(0.05)


if __name__ == "__main__":
    sys.exit(main())

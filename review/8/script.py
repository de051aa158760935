"""Show that a planned stop cuts streams that it took late and whose replica was silent for 1 s."""

from __future__ import annotations

import json
import random
import signal
import socket
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib-2"))

from standins import (
    BOUNDS,
    HOST,
    KEY,
    TROUBLE,
    Daemon,
    Message,
    Record,
    Replica,
    Run,
    Store,
    folder,
    make_fleet,
    wait_until,
)

COULD_NOT_RUN = 2
# Short answers of the kind `kravbrev-utkast`: 34 tokens an event, 1.31 ms a token.
EVENTS = 10
TOKENS_PER_EVENT = 34
EVENT_SECONDS = TOKENS_PER_EVENT * 0.00131
PROMPT_TOKENS = 4960
PROMPT_SECONDS = PROMPT_TOKENS / 154_000
# "A sound server may fall silent for a second or so and go on."
SILENT_SECONDS = 1.0
SILENT_EVERY_SECONDS = 3.0
# The site's zone has 13.6 a second at half of its size.
REQUESTS_PER_SECOND = 27
GRACE_SECONDS = BOUNDS["grace_s"]
# Requests sent no later than this after the SIGTERM are excused if their replica is still at work.
EXCUSED_SECONDS = 3.0
# As in the site file: machines are stopped one at a time, 1 s apart.
GAP_SECONDS = 1.0
ROUNDS = 7
PATIENCE_MS = 10_000
RUNTIME = {
    "slots": 8,
    "kv_tokens": 405000,
    "step_ms": 1.31,
    "per_seq_ms": 0.001834,
    "context_per_k": 0.00213,
    "read_per_s": 154000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "stride": 34,
    "hop_ms": 0.1,
}


class StreamingReplica(Replica):
    """A sound replica that streams, and falls silent for a second from time to time."""

    def __init__(self, store: Store, record: Record, name: str, phase: float) -> None:
        self._silent_since = time.monotonic() + phase - SILENT_EVERY_SECONDS
        super().__init__(store, record, name)

    def handle(self, connection: socket.socket, message: Message) -> None:
        """Stream the events of a request, or answer a report."""
        request = message.headers.get("x-attempt-id", "")
        if message.target == "/report" or message.headers.get("x-expect-replica") != self.name:
            super().handle(connection, message)
            return
        first = int(message.headers.get("last-event-id", "0")) + 1
        self.runs.append(Run(request, self.name, message.target, time.monotonic()))
        self._record.write(f"{self.name} runs {request} from event {first}")
        self._work(PROMPT_SECONDS)
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Replica-Seal: {self.name}\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall(head.encode())
        for number in range(first, EVENTS + 1):
            self._work(EVENT_SECONDS)
            event = f"id: {number}\ndata: {request} {number}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        self._record.write(f"{self.name} has sent all of {request}")

    def _work(self, seconds: float) -> None:
        """Work for a time, and be silent while that is due."""
        time.sleep(seconds)
        while (now := time.monotonic()) - self._silent_since >= SILENT_EVERY_SECONDS:
            self._silent_since += SILENT_EVERY_SECONDS
        silent_until = self._silent_since + SILENT_SECONDS
        time.sleep(max(0.0, silent_until - now))


@dataclass
class Stream:
    """A request of a client; ``events`` are complete ones, ``whole`` says that its end came."""

    request: str
    daemon: Daemon
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    events: int = 0
    whole: bool = False


def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    store = Store()
    replicas = [
        StreamingReplica(store, record, f"i-{number}", number * SILENT_EVERY_SECONDS / 4)
        for number in range(4)
    ]
    store.put("keyed.op", "config", configuration())
    # A zone of three machines, as solna-hall.
    daemons = make_fleet(3, store, folder(), "z2")
    stopping = threading.Event()
    streams: list[Stream] = []
    try:
        for daemon in daemons:
            daemon.start()
        if not wait_until(lambda: all(each.ready() for each in daemons), 15):
            return COULD_NOT_RUN
        time.sleep(2.0)
        threading.Thread(
            target=send_streams, args=(record, daemons, streams, stopping), daemon=True
        ).start()
        time.sleep(3.0)
        stops: dict[str, list[float]] = {daemon.name: [] for daemon in daemons}
        for _ in range(ROUNDS):
            stop_two(record, daemons[:2], stops)
        stopping.set()
        time.sleep(4.0)
        return judge(record, replicas, streams, stops)
    finally:
        stopping.set()
        for daemon in daemons:
            daemon.end()


def stop_two(record, daemons, stops) -> None:
    """Stop two machines of the zone one after the other, and start them again."""
    for daemon in daemons:
        if TROUBLE:
            daemon.send(signal.SIGTERM)
            stops[daemon.name].append(time.monotonic())
            record.write(f"{daemon.name} gets SIGTERM")
        time.sleep(GAP_SECONDS)
    # A process that still runs after the grace time would be killed.
    time.sleep(GRACE_SECONDS)
    if TROUBLE:
        for daemon in daemons:
            daemon.start_again()
    wait_until(lambda: all(each.ready() for each in daemons), 5)
    time.sleep(2.0)


def configuration() -> bytes:
    """Return the configuration with a route of streams that may be resumed."""
    route = {"name": "draft", "host": HOST, "path_prefix": "/draft/", "kind": "streaming"}
    route |= {"timeout_ms": 10000, "goal_ms": 300, "priority": 1, "service": "pool"}
    route |= {"max_attempts": 2, "anonymous": False, "resumable": True, "gap_aim_ms": 250}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    service = {"name": "pool", "health_path": "/health", "max_conns": 334, "runtime": RUNTIME}
    tenants = [{"name": "hule930", "api_keys": [KEY], "priority": 1}]
    content = {"version": 3, "routes": [route], "services": [service], "limits": limits}
    return json.dumps({**content, "tenants": tenants}).encode()


def send_streams(record, daemons, streams, stopping) -> None:
    """Open a new connection for each request, to a random daemon of the zone.

    While two of three daemons are out of rotation, "the platform uses all of that zone's daemons".
    """
    rng = random.Random(62)
    number = 0
    while not stopping.is_set():
        number += 1
        stream = Stream(f"{number:016x}", rng.choice(daemons), time.monotonic())
        streams.append(stream)
        threading.Thread(target=receive, args=(record, stream), daemon=True).start()
        time.sleep(1 / REQUESTS_PER_SECOND)


def receive(record, stream: Stream) -> None:
    """Send one request and read its answer to the end of the connection."""
    head = f"POST /draft/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {stream.request}\r\n"
    head += f"X-Key: {KEY}\r\nX-Deadline-Remaining: {PATIENCE_MS}\r\nX-Model: m\r\n"
    head += f"X-Token-Usage: {PROMPT_TOKENS},{EVENTS * TOKENS_PER_EVENT}\r\n"
    head += f"X-Prompt-Prefix: 5c1e07a2:40,{stream.request[-8:]}:{PROMPT_TOKENS - 40}\r\n"
    head += "Content-Length: 2\r\nConnection: close\r\n\r\n{}"
    received = b""
    try:
        address = (stream.daemon.host, stream.daemon.ports[0])
        with socket.create_connection(address, timeout=1.0) as connection:
            connection.settimeout(PATIENCE_MS / 1000)
            stream.sent_at = time.monotonic()
            connection.sendall(head.encode())
            record.write(f"{stream.request} sent to {stream.daemon.name}")
            while part := connection.recv(65536):
                received += part
    except OSError as error:
        record.write(f"{stream.request} to {stream.daemon.name}: {error}")
    stream.ended_at = time.monotonic()
    if received.startswith(b"HTTP/1.1 "):
        stream.status = int(received[9:12])
    stream.events = received.count(b"\ndata: ")
    framed = b"content-length:" in received.lower().split(b"\r\n\r\n")[0]
    stream.whole = framed or received.endswith(b"0\r\n\r\n")
    record.write(f"{stream.request} ends: {stream.status}, {stream.events} events, {stream.whole}")


def judge(record, replicas, streams, stops) -> int:
    """Look for streams that were passed on and ended without a complete answer."""
    passed_on = {run.request for replica in replicas for run in replica.runs}
    lost = late = 0
    for stream in streams:
        if stream.request not in passed_on:
            continue
        before = [at for at in stops[stream.daemon.name] if at <= stream.sent_at]
        # Those that were sent before a stop, or soon after it, are excused if it cuts them.
        after = stream.sent_at - before[-1] if before else 0.0
        if EXCUSED_SECONDS < after < GRACE_SECONDS + 1.0:
            late += 1
        elif TROUBLE:
            continue
        if stream.whole:
            continue
        lost += 1
        text = f"sent {after:.2f} s after SIGTERM, ended {stream.ended_at - stream.sent_at:.2f} s"
        record.write(f"LOST: {stream.request} {text} later, with {stream.events} events")
    record.write(f"{lost} streams lost; {late} were taken later than 3 s after a SIGTERM")
    if not any(stream.status == 200 and stream.whole for stream in streams):
        return COULD_NOT_RUN
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())

"""A replica as a process of its own, so that a kill ends it as it ends any process.

It streams events, each in one write. Every twentieth answer has no length and ends with its
connection; the others are chunked. What it does is told on standard output.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import event, read_body, read_head  # noqa: E402

EVENTS, GAP_SECONDS, FIRST_SECONDS = 38, 0.03, 0.05


def tell(*words: object) -> None:
    """Tell the script what happens."""
    print(*words, flush=True)


class ReplicaProcess:
    """Serve one replica.

    ``unframed_each`` is the interval of answers without a length, 0 without such answers.
    """

    def __init__(self, name: str, unframed_each: int) -> None:
        self._name, self._unframed_each = name, unframed_each
        self._count = 0

    async def run(self) -> None:
        """Listen, and serve until the process is killed."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        tell("listens", server.sockets[0].getsockname()[1])
        await server.serve_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not await self._answer(request, writer):
                    break
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, request, writer: asyncio.StreamWriter) -> bool:
        name = request.headers.get("x-attempt-id", "")
        if request.start[1] == "/report":
            report = {"phase": "mixed", "busy": False, "seq": 0, "kv_total": 405000}
            body = json.dumps(report).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            return True
        if request.headers.get("x-expect-replica") != self._name:
            head = f"HTTP/1.1 421 X\r\nX-Attempt-Id: {name}\r\nX-Not-Executed: 1\r\n"
            writer.write(f"{head}At-Server: {self._name}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        self._count += 1
        framed = not self._unframed_each or self._count % self._unframed_each != 0
        tell("runs", name, "chunked" if framed else "unframed")
        await asyncio.sleep(FIRST_SECONDS)
        framing = "Transfer-Encoding: chunked" if framed else "Connection: close"
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\nX-Replica-Seal: {self._name}.1\r\n"
        writer.write(f"{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n".encode())
        begin = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(begin, EVENTS + 1):
            data = event(name, number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if framed else data)
            await writer.drain()
            if not framed:
                tell("event", name, number)
            await asyncio.sleep(GAP_SECONDS)
        if framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        tell("ended", name)
        return framed


if __name__ == "__main__":
    asyncio.run(ReplicaProcess(sys.argv[1], int(sys.argv[2])).run())

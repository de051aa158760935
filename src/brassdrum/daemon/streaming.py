"""Start a streamed answer on the request's thread and hand it over to the relay."""

from __future__ import annotations

from brassdrum.daemon.relay import DONE, Relay, RelayedStream, StreamListener, event_chunk
from brassdrum.errors import BrassdrumError, Ran
from brassdrum.outcomes.stream import CheckedEvent
from brassdrum.wsgi import Request, json_response
from brassdrum.wsgi_stream import StreamWriter

__all__ = ["DONE", "SSE", "StreamBody", "error_chunk"]

SSE = "text/event-stream"


def error_chunk(error: BrassdrumError) -> bytes:
    """Return the event that reports why a stream ended early."""
    error.ran = Ran.MAYBE
    return b"data: " + b"".join(json_response(error.body()).chunks) + b"\n\n"


class StreamBody:
    """Yield the first events to the server, then detach the response and hand it to the relay.

    This is a class because closing a generator that never started runs no cleanup, which is needed
    when the caller disconnects before the first read.
    """

    def __init__(
        self,
        request: Request,
        relay: Relay,
        stream: RelayedStream,
        listener: StreamListener,
        first_events: list[CheckedEvent],
    ) -> None:
        self._request = request
        self._relay = relay
        self._stream = stream
        self._listener = listener
        self._first_events = first_events
        self._handed_over = False

    def __iter__(self) -> StreamBody:
        return self

    def __next__(self) -> bytes:
        if self._first_events:
            return self._first_chunk()
        if not self._handed_over:
            self._handed_over = True
            self._request.detach(self._on_detached)
        raise StopIteration

    def close(self) -> None:
        """Release the stream unless it was handed over to the relay."""
        if not self._handed_over:
            self._stream.interrupt()

    def _on_detached(self, writer: StreamWriter | None) -> None:
        if writer is None:
            self._stream.interrupt()
            return
        self._stream.attach(writer)
        self._relay.add(self._stream)

    def _first_chunk(self) -> bytes:
        chunks = []
        for event in self._first_events:
            chunk = event_chunk(event)
            self._listener.delivered(event, chunk)
            chunks.append(chunk)
        self._first_events = []
        return b"".join(chunks)

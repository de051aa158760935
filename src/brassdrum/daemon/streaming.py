"""Begin a streamed answer in its request's thread and leave the rest to the relay."""

from __future__ import annotations

from brassdrum.daemon.relay import DONE, Relay, RelayedStream, StreamListener, event_chunk
from brassdrum.errors import BrassdrumError, Ran
from brassdrum.outcomes.stream import CheckedEvent
from brassdrum.wsgi import Request, json_response
from brassdrum.wsgi_stream import StreamWriter

__all__ = ["DONE", "SSE", "StreamBody", "error_chunk"]

SSE = "text/event-stream"


def error_chunk(error: BrassdrumError) -> bytes:
    """Return the event that tells a caller why its stream breaks off."""
    error.ran = Ran.MAYBE
    return b"data: " + b"".join(json_response(error.body()).chunks) + b"\n\n"


class StreamBody:
    """Give the server the first events, then detach the response and hand it to the relay.

    A class and not a generator: a caller that goes away before the first read must still be
    cleaned up after, and closing a generator that never ran does nothing.
    """

    def __init__(
        self,
        request: Request,
        relay: Relay,
        stream: RelayedStream,
        end: StreamListener,
        first: list[CheckedEvent],
    ) -> None:
        self._request = request
        self._relay = relay
        self._stream = stream
        self._end = end
        self._first = first
        self._handed_over = False

    def __iter__(self) -> StreamBody:
        return self

    def __next__(self) -> bytes:
        if self._first:
            return self._first_chunk()
        if not self._handed_over:
            self._handed_over = True
            self._request.detach(self._detached)
        raise StopIteration

    def close(self) -> None:
        """Release the stream unless the relay has it now."""
        if not self._handed_over:
            self._stream.interrupt()

    def _detached(self, writer: StreamWriter | None) -> None:
        if writer is None:
            self._stream.interrupt()
            return
        self._stream.attach(writer)
        self._relay.add(self._stream)

    def _first_chunk(self) -> bytes:
        chunks = []
        for event in self._first:
            chunk = event_chunk(event)
            self._end.delivered(event, chunk)
            chunks.append(chunk)
        self._first = []
        return b"".join(chunks)

"""Stand in for an engine without delay: a first token at once, then tokens at a steady pace."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator

from pydantic import BaseModel

from brassdrum.settings import Address
from brassdrum.wsgi import HttpServer, Request, Response, Router, json_response

__all__ = ["PacedSource", "PacedSourceSettings"]


class PacedSourceSettings(BaseModel):
    """Describe a paced source."""

    http: Address = Address()
    threads: int = 600
    tokens_per_second: float = 14.0


class PacedSource:
    """Serve the part of the engines' protocol that a daemon's request path uses."""

    def __init__(self, settings: PacedSourceSettings) -> None:
        self._settings = settings
        router = Router()
        router.add("POST", "/v1/completions", self._completions)
        router.add("POST", "/v1/streams/{stream}/cancel", lambda r: json_response({}))
        router.add("GET", "/v1/load", self._load)
        router.add("GET", "/v1/cache/events", lambda r: json_response({"events": []}))
        self._server = HttpServer(
            router, settings.http.host, settings.http.port, settings.threads, 64 << 20
        )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self._settings.http.host}:{self._server.port}"

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _completions(self, request: Request) -> Response:
        body = request.json()
        stream = request.header("X-Stream-Id") or "direct"
        return Response(200, self._events(stream, int(body["max_tokens"])), "text/event-stream")

    def _events(self, stream: str, tokens: int) -> Iterator[bytes]:
        pause = 1.0 / self._settings.tokens_per_second
        due = time.monotonic()
        for index in range(tokens):
            if index:
                due += pause
                time.sleep(max(0.0, due - time.monotonic()))
            yield _event(stream, index, "word ", "null")
        yield _event(stream, tokens, "", '"stop"') + b"data: [DONE]\n\n"

    @staticmethod
    def _load(request: Request) -> Response:
        return json_response(
            {
                "at": time.time(),
                "streams": 0,
                "waiting": 0,
                "queued_tokens": 0,
                "kv_tokens_held": 0,
            }
        )


def _event(stream: str, index: int, text: str, reason: str) -> bytes:
    data = (
        f'{{"id":"{stream}","object":"text_completion","created":0,"model":"m","choices":'
        f'[{{"index":0,"text":{json.dumps(text)},"finish_reason":{reason}}}]}}'
    )
    return f"id: {stream}/{index}\ndata: {data}\n\n".encode()

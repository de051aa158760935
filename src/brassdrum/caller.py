"""Call a daemon as a client does; used by the demo, the bench and the scenarios."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool

__all__ = ["Answer", "Caller"]

_TIMEOUT_SECONDS = 120.0


@dataclass(slots=True)
class Answer:
    """Hold what a caller saw of one request; times are seconds since it was sent."""

    status: int = 0
    first_token: float | None = None
    seconds: float = 0.0
    tokens: int = 0
    whole: bool = False
    error: dict[str, object] | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def code(self) -> str:
        """Return the error's code, empty when there was none."""
        return "" if self.error is None else str(self.error.get("code", ""))


class Caller:
    """Send requests to one daemon with one API key."""

    def __init__(self, url: str, secret: str, timeout: float = _TIMEOUT_SECONDS) -> None:
        self._pool = HttpPool(url, timeout)
        self._secret = secret

    def complete(
        self, model: str, prompt: str, max_tokens: int, headers: Mapping[str, str] | None = None
    ) -> Answer:
        """Stream one completion to its end."""
        content = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        return self.send("POST", "/v1/completions", json.dumps(content).encode(), headers)

    def send(
        self, method: str, path: str, body: bytes | None, headers: Mapping[str, str] | None = None
    ) -> Answer:
        """Send one request and read its answer, streamed or whole."""
        answer = Answer()
        started = time.monotonic()
        try:
            for _ in self.stream(method, path, body, headers, answer, started):
                pass
        except (ConnectFailedError, ExchangeFailedError) as error:
            answer.error = {"code": "connection", "message": str(error)}
        answer.seconds = time.monotonic() - started
        return answer

    def stream(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None,
        answer: Answer,
        started: float,
    ) -> Iterator[bytes]:
        """Yield the lines of an answer as they come and fill in what was seen."""
        all_headers = {"Authorization": f"Bearer {self._secret}"} | dict(headers or {})
        if body is not None:
            all_headers["Content-Type"] = "application/json"
        exchange = self._pool.request(method, path, body, all_headers, fresh=True)
        answer.status = exchange.status
        answer.headers = dict(exchange.response.headers.items())
        if "event-stream" not in (exchange.header("Content-Type") or ""):
            answer.body = exchange.read()
            answer.whole = exchange.status < 400
            _note_error(answer, answer.body)
            return
        while True:
            line = exchange.readline()
            if not line:
                break
            answer.body += line
            if line.startswith(b"data: "):
                self._data(answer, line[6:].strip(), started)
            yield line
        exchange.drop()

    @staticmethod
    def _data(answer: Answer, data: bytes, started: float) -> None:
        if data == b"[DONE]":
            answer.whole = True
            return
        if data.startswith(b'{"error"'):
            _note_error(answer, data)
            return
        if answer.first_token is None:
            answer.first_token = time.monotonic() - started
        answer.tokens += 1


def _note_error(answer: Answer, data: bytes) -> None:
    try:
        content = json.loads(data)
    except ValueError:
        return
    if isinstance(content, dict) and isinstance(content.get("error"), dict):
        answer.error = content["error"]

"""Stand in for a model engine behind HTTP, with faults on command.

The published protocol that it fakes **(assumed)**: the OpenAI-compatible calls, each event with
an SSE id ``STREAM/INDEX``; headers for stream id, owner, priority and reservation; calls to resume
and cancel a stream, reserve memory, report load and cache events, and take fenced orders.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Callable, Iterator

from brassdrum.endpoints.openai import ChatRequest, CompletionRequest, parse_chat, parse_completion
from brassdrum.errors import BrassdrumError, InvalidRequestError, Ran
from brassdrum.routing.blocks import block_hashes
from brassdrum.settings import EngineFaults, EngineStandinSettings
from brassdrum.standins.engine_model import (
    _CHARACTERS_PER_TOKEN,
    EngineModel,
    EngineStream,
    MemoryFullError,
    Reservation,
    token_tag,
)
from brassdrum.wsgi import (
    Environ,
    HttpServer,
    Request,
    Response,
    Router,
    StartResponse,
    json_response,
)

__all__ = ["EngineStandin"]

_WAIT_SECONDS = 0.5
Application = Callable[[Environ, StartResponse], Iterator[bytes]]
_EVENTS_PER_PAGE = 5_000


class _RefusedError(BrassdrumError):
    code = "refused"
    status = 503
    remedy = "Try another engine."
    default_ran = Ran.NO


class _GoneError(BrassdrumError):
    code = "gone"
    status = 410
    remedy = "Send the request anew."


class _StaleFenceError(BrassdrumError):
    code = "stale_fence"
    status = 409
    remedy = "Read the lease again."


class EngineStandin:
    """Serve one engine."""

    def __init__(self, settings: EngineStandinSettings) -> None:
        self.settings = settings
        self.model = EngineModel(settings)
        self.started = 0
        self.refused = 0
        self.draining = False
        self.ended = False
        self.started_at: list[float] = []
        self.started_by_id: dict[str, int] = {}
        self._silent_until = 0.0
        self._faults = settings.faults
        self._random = random.Random(settings.seed)
        self._lock = threading.Lock()
        self._fence = -1
        self._orders_by_key: dict[str, object] = {}
        self._server = HttpServer(
            self._answer_after_silence(self._router()),
            settings.http.host,
            settings.http.port,
            settings.threads,
        )

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for some seconds, then go on; what arrives meanwhile is answered after."""
        self._silent_until = time.monotonic() + seconds

    def wait_out_silence(self) -> None:
        """Wait until the engine sends again."""
        while (left := self._silent_until - time.monotonic()) > 0:
            time.sleep(left)

    def _answer_after_silence(self, router: Router) -> Application:
        def answer(environ: Environ, start_response: StartResponse) -> Iterator[bytes]:
            self.wait_out_silence()
            return router(environ, start_response)

        return answer

    def _router(self) -> Router:
        router = Router()
        router.add("POST", "/v1/completions", self._completions)
        router.add("POST", "/v1/chat/completions", self._chat)
        router.add("GET", "/v1/streams/{stream}", self._resume)
        router.add("POST", "/v1/streams/{stream}/cancel", self._cancel)
        router.add("PUT", "/v1/reservations/{reservation}", self._reserve)
        router.add("DELETE", "/v1/reservations/{reservation}", self._release)
        router.add("GET", "/v1/load", self._load)
        router.add("GET", "/v1/held", lambda request: json_response({"held": self.model.held()}))
        router.add("GET", "/v1/cache/events", self._events)
        router.add("POST", "/v1/orders", self._order)
        router.add("GET", "/v1/state", self._state)
        router.add("POST", "/faults", self._set_faults)
        return router

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.settings.http.host}:{self._server.port}"

    def start(self) -> None:
        """Begin to serve."""
        self.model.start()
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()
        self.model.stop()

    def _completions(self, request: Request) -> Response:
        return self._generate(request, parse_completion(request.body()), chat=False)

    def _chat(self, request: Request) -> Response:
        return self._generate(request, parse_chat(request.body()), chat=True)

    def _generate(
        self, request: Request, content: CompletionRequest | ChatRequest, *, chat: bool
    ) -> Response:
        if content.model not in self.settings.models:
            raise InvalidRequestError(f"The engine has no model {content.model!r}.")
        if self._happens(self._faults.refuse):
            self.refused += 1
            pause = self._faults.pause_seconds or None
            raise _RefusedError("The engine is full.", retry_after=pause)
        text = content.prompt_text()
        if self._faults.ends_on and self._faults.ends_on in text:
            self._end()
        stream = EngineStream(
            id=request.header("X-Stream-Id") or f"s{self._random.getrandbits(48):x}",
            owner=request.header("X-Owner") or "nobody",
            prompt_tokens=max(1, len(text) // _CHARACTERS_PER_TOKEN),
            answer_tokens=content.answer_tokens,
            priority=int(request.header("X-Priority") or "0"),
            blocks=block_hashes(text),
            created=time.monotonic(),
            reservation=request.header("X-Reservation"),
            tag=token_tag(text) if self.settings.tag_tokens else "",
        )
        try:
            self.model.submit(stream)
        except MemoryFullError as error:
            raise _RefusedError(str(error)) from error
        with self._lock:
            self.started += 1
            self.started_at.append(time.monotonic())
            self.started_by_id[stream.id] = self.started_by_id.get(stream.id, 0) + 1
        if self._happens(self._faults.hang):
            time.sleep(3600)
        if not content.stream and request.header("X-Stream-Id") is None:
            return self._whole(stream, content.model, chat=chat)
        return self._stream(stream, content.model, 0, chat=chat)

    def _end(self) -> None:
        """End as a process does, from a thread that the server does not wait for."""
        self.ended = True
        threading.Thread(target=self.close, daemon=True).start()
        time.sleep(3600)

    def _whole(self, stream: EngineStream, model: str, *, chat: bool) -> Response:
        with self.model.changed:
            self.model.changed.wait_for(lambda: stream.done)
        self.model.cancel(stream.id)
        text = "".join(stream.tokens)
        choice = {"index": 0, "finish_reason": "length"}
        choice |= {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
        usage = _usage(stream)
        kind = "chat.completion" if chat else "text_completion"
        return json_response(
            {"id": stream.id, "object": kind, "model": model, "choices": [choice], "usage": usage}
        )

    def _resume(self, request: Request) -> Response:
        stream = self.model.streams_by_id.get(request.parameters["stream"])
        if stream is None:
            raise _GoneError("The stream is not held here.")
        start = int(request.query.get("from", "0"))
        chat = request.query.get("chat") == "1"
        return self._stream(stream, request.query.get("model", ""), start, chat=chat)

    def _stream(self, stream: EngineStream, model: str, start: int, *, chat: bool) -> Response:
        with self.model.changed:
            stream.reader += 1
            stream.abandoned_at = None
            reader = stream.reader
            self.model.changed.notify_all()
        chunks = _EventWriter(self, stream, model, chat).events(start, reader)
        return Response(200, chunks, "text/event-stream")

    def _happens(self, share: float) -> bool:
        if share <= 0:
            return False
        with self._lock:
            return self._random.random() < share

    def _load(self, request: Request) -> Response:
        return json_response(self.model.report() | {"draining": self.draining})

    def _cancel(self, request: Request) -> Response:
        return json_response({"found": self.model.cancel(request.parameters["stream"])})

    def _reserve(self, request: Request) -> Response:
        content = request.json()
        reservation = Reservation(
            request.parameters["reservation"],
            str(content["owner"]),
            int(content["tokens"]),
            time.monotonic() + float(content["seconds"]),
        )
        try:
            self.model.reserve(reservation)
        except MemoryFullError as error:
            raise _RefusedError(str(error)) from error
        return json_response({})

    def _release(self, request: Request) -> Response:
        self.model.release(request.parameters["reservation"])
        return json_response({})

    def _events(self, request: Request) -> Response:
        start = int(request.query.get("from", "0"))
        limit = time.monotonic() - self.settings.event_lag_seconds
        with self.model.changed:
            due = [event for event in self.model.events if event[0] > start and event[1] <= limit]
        kept = []
        for number, _, kind, block in due[:_EVENTS_PER_PAGE]:
            if random.Random(number ^ self.settings.seed).random() < self.settings.event_loss:
                continue
            kept.append([number, kind, block])
        return json_response({"events": kept})

    def _order(self, request: Request) -> Response:
        content = request.json()
        fence = int(content["fence"])
        with self._lock:
            if self.settings.checks_fences and fence < self._fence:
                raise _StaleFenceError(f"Fence {fence} is below {self._fence}.")
            self._fence = max(self._fence, fence)
            self._orders_by_key[str(content["key"])] = content["value"]
        return json_response({})

    def _state(self, request: Request) -> Response:
        with self._lock:
            return json_response({"fence": self._fence, "orders": dict(self._orders_by_key)})

    def _set_faults(self, request: Request) -> Response:
        changed = self._faults.model_dump() | request.json()
        self._faults = EngineFaults.model_validate(changed)
        return json_response({})


class _EventWriter:
    """Write a stream's events as SSE and commit the faults asked for."""

    def __init__(self, engine: EngineStandin, stream: EngineStream, model: str, chat: bool) -> None:
        self._engine = engine
        self._stream = stream
        self._model = model
        self._chat = chat

    def events(self, start: int, reader: int) -> Iterator[bytes]:
        """Yield events from an index on until done, or until another reader took over."""
        position = start
        try:
            while True:
                tokens, done = self._wait(position, reader)
                self._engine.wait_out_silence()
                if tokens is None:
                    return
                for token in tokens:
                    yield from self._event(position, token)
                    position += 1
                if done:
                    break
            if self._stream.cancelled or self._happens("truncate"):
                return
            yield self._finish(position)
        finally:
            self._leave(reader)

    def _wait(self, position: int, reader: int) -> tuple[list[str] | None, bool]:
        stream = self._stream
        with self._engine.model.changed:
            self._engine.model.changed.wait_for(
                lambda: len(stream.tokens) > position or stream.done or stream.reader != reader,
                _WAIT_SECONDS,
            )
            if stream.reader != reader:
                return None, True
            tokens = stream.tokens[position:]
            return tokens, stream.done and position + len(tokens) == len(stream.tokens)

    def _event(self, index: int, token: str) -> Iterator[bytes]:
        name = "other-stream" if self._happens("cross") else self._stream.id
        event = f"id: {name}/{index}\ndata: {self._data(token)}\n\n".encode()
        yield event
        if self._happens("repeat"):
            yield event

    def _data(self, token: str) -> str:
        choice: dict[str, object] = {"index": 0, "finish_reason": None}
        if self._chat:
            choice["delta"] = {"content": token}
        else:
            choice["text"] = token
        return self._json([choice], None)

    def _finish(self, position: int) -> bytes:
        choice: dict[str, object] = {"index": 0, "finish_reason": "length"}
        choice |= {"delta": {}} if self._chat else {"text": ""}
        data = self._json([choice], _usage(self._stream))
        name = self._stream.id
        return f"id: {name}/{position}\ndata: {data}\n\ndata: [DONE]\n\n".encode()

    def _json(self, choices: list[dict[str, object]], usage: dict[str, int] | None) -> str:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        content: dict[str, object] = {
            "id": self._stream.id,
            "object": kind,
            "created": 0,
            "model": self._model,
            "choices": choices,
        }
        if usage is not None:
            content["usage"] = usage
        return json.dumps(content, separators=(",", ":"))

    def _happens(self, fault: str) -> bool:
        return self._engine._happens(getattr(self._engine._faults, fault))

    def _leave(self, reader: int) -> None:
        # A finished stream stays readable for a while too: its last events may be lost on the way.
        with self._engine.model.changed:
            if self._stream.reader == reader:
                self._stream.abandoned_at = time.monotonic()


def _usage(stream: EngineStream) -> dict[str, int]:
    made = len(stream.tokens)
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": made,
        "total_tokens": stream.prompt_tokens + made,
    }

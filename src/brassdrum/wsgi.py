"""Serve requests over ``waitress``: a request, its responses, routes and the server."""

from __future__ import annotations

import io
import json
import logging
import math
import re
import threading
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl

import waitress
from waitress import wasyncore
from waitress.server import BaseWSGIServer, MultiSocketServer

from brassdrum.errors import BrassdrumError, InvalidRequestError, Ran
from brassdrum.wsgi_stream import DETACH, DetachableChannel, LoopTrigger, StreamWriter

__all__ = ["HttpServer", "Request", "Response", "Router", "json_response"]

_logger = logging.getLogger(__name__)
_SPARE_CONNECTIONS = 4096
_NO_BODY_LIMIT = 1 << 30
_CLOSE_SECONDS = 0.1
_LOOP_CHECK_SECONDS = 1.0
_DRAIN_POLL_SECONDS = 0.01

Environ = Mapping[str, object]
StartResponse = Callable[..., object]


class Request:
    """Read one WSGI request."""

    def __init__(self, environ: Environ) -> None:
        self._environ = environ
        self.method = str(environ["REQUEST_METHOD"])
        self.path = str(environ.get("PATH_INFO", "/"))
        self.parameters: dict[str, str] = {}

    @property
    def query(self) -> dict[str, str]:
        """Return the query by name; a repeated name keeps its last value."""
        return dict(parse_qsl(str(self._environ.get("QUERY_STRING", ""))))

    def header(self, name: str) -> str | None:
        """Return a header, or None."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            value = self._environ.get(key)
        else:
            value = self._environ.get(f"HTTP_{key}")
        return None if value is None else str(value)

    def body(self) -> bytes:
        """Return the whole body, once; waitress has read it before the application runs."""
        source = self._environ["wsgi.input"]
        body = source.read()  # type: ignore[attr-defined]
        if isinstance(source, io.BytesIO):
            # Free waitress's copy: a prompt of 4 MB is held twice anyway while it is parsed.
            source.seek(0)
            source.truncate(0)
        return body

    def json(self) -> dict:
        """Return the body as a JSON object, or raise ``InvalidRequestError``."""
        try:
            content = json.loads(self.body())
        except ValueError as error:
            raise InvalidRequestError(f"The body is no JSON: {error}.") from error
        if not isinstance(content, dict):
            raise InvalidRequestError("The body is no JSON object.")
        return content

    def detach(self, on_detached: Callable[[StreamWriter | None], None]) -> None:
        """Take the response out of the server; the callback gets None if the caller has left."""
        self._environ[DETACH](on_detached)  # type: ignore[operator]

    def disconnected(self) -> bool:
        """Return whether the caller closed its connection."""
        probe = self._environ.get("waitress.client_disconnected")
        return bool(probe()) if callable(probe) else False


@dataclass(slots=True)
class Response:
    """Hold one answer; ``chunks`` are sent as they come."""

    status: int
    chunks: Iterable[bytes]
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    length: int | None = None


def json_response(content: object, status: int = 200, **headers: str) -> Response:
    """Return a whole JSON answer."""
    body = json.dumps(content, separators=(",", ":")).encode()
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(status, [body], headers=named, length=len(body))


def error_response(error: BrassdrumError) -> Response:
    """Return the answer for a typed error."""
    headers = {}
    if error.ran is not Ran.NO:
        # The stock OpenAI client repeats 409 and 5xx by itself unless it is told not to.
        headers["X-Should-Retry"] = "false"
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    response = json_response(error.body(), error.status)
    response.headers.update(headers)
    return response


Handler = Callable[[Request], Response]


@dataclass(frozen=True, slots=True)
class _Route:
    method: str
    pattern: re.Pattern[str]
    handler: Handler


class Router:
    """Find a request's handler; ``{name}`` matches one part of a path, ``{name*}`` the rest."""

    def __init__(self) -> None:
        self._routes: list[_Route] = []

    def add(self, method: str, path: str, handler: Handler) -> None:
        """File a handler; method ``*`` matches all."""
        pattern = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append(_Route(method, re.compile(f"^{pattern}$"), handler))

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterator[bytes]:
        """Answer one WSGI request."""
        request = Request(environ)
        try:
            response = self._find(request)(request)
        except BrassdrumError as error:
            response = error_response(error)
        except Exception:
            _logger.exception("request failed", extra={"path": request.path})
            response = error_response(BrassdrumError("The daemon failed to handle the request."))
        headers = [("Content-Type", response.content_type), *response.headers.items()]
        if response.length is not None:
            headers.append(("Content-Length", str(response.length)))
        start_response(f"{response.status} {_phrase(response.status)}", headers)
        return iter(response.chunks)

    def _find(self, request: Request) -> Handler:
        other_methods = False
        for route in self._routes:
            match = route.pattern.match(request.path)
            if match is None:
                continue
            if route.method not in ("*", request.method):
                other_methods = True
                continue
            request.parameters = match.groupdict()
            return route.handler
        error = InvalidRequestError(f"There is no {request.method} {request.path}.")
        error.status = 405 if other_methods else 404  # type: ignore[misc]
        raise error


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class HttpServer:
    """Run an application on ``waitress`` in a thread of its own."""

    def __init__(
        self,
        application: Callable[[Environ, StartResponse], Iterable[bytes]],
        host: str,
        port: int,
        threads: int,
        max_body_bytes: int = _NO_BODY_LIMIT,
    ) -> None:
        self._server: BaseWSGIServer | MultiSocketServer = waitress.create_server(
            application,
            host=host,
            port=port,
            threads=threads,
            ident="brassdrum",
            # A daemon answers its queue itself; waitress's own queue would be blind to urgency.
            connection_limit=threads + _SPARE_CONNECTIONS,
            backlog=1024,
            asyncore_use_poll=True,
            channel_request_lookahead=1,
            max_request_body_size=max_body_bytes,
            # Hosts have no disks: bodies stay in memory, bounded by the sizes above.
            inbuf_overflow=max_body_bytes + 1,
            outbuf_overflow=_NO_BODY_LIMIT,
            outbuf_high_watermark=1 << 20,
            clear_untrusted_proxy_headers=True,
        )
        self._server.channel_class = DetachableChannel
        # No thread runs yet that could wake the loop by the library's own trigger.
        self._server.trigger.close()  # type: ignore[union-attr]
        self._server.trigger = LoopTrigger(self._server._map)  # type: ignore[union-attr]
        self._thread = threading.Thread(target=self._run, name=f"http-{port}", daemon=True)

    @property
    def port(self) -> int:
        """Return the port that is bound."""
        return int(self._server.effective_port)  # type: ignore[union-attr]

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def drain(self, seconds: float) -> None:
        """Accept no more connections and answer the requests that have arrived, for some seconds.

        A connection that was accepted and not read would otherwise be cut by ``close``.
        """
        self._run_in_loop(self._accept_pending)
        self._run_in_loop(self._stop_listening)
        # A further round of the loop reads what has arrived on the accepted connections.
        self._run_in_loop(lambda: None)
        for _ in range(math.ceil(seconds / _DRAIN_POLL_SECONDS)):
            if not self._is_busy():
                return
            time.sleep(_DRAIN_POLL_SECONDS)

    def _accept_pending(self) -> None:
        """Accept the connections that the kernel has completed."""
        channels = self._server.active_channels  # type: ignore[union-attr]
        while self._server.accepting:  # type: ignore[union-attr]
            count = len(channels)
            self._server.handle_accept()  # type: ignore[union-attr]
            if len(channels) == count:
                return

    def _is_busy(self) -> bool:
        channels = list(self._server.active_channels.values())  # type: ignore[union-attr]
        return any(
            channel.requests or channel.request is not None or channel.total_outbufs_len
            for channel in channels
        )

    def close(self) -> None:
        """Stop serving and close all connections.

        The loop's own thread closes the sockets: another thread would miss a connection that the
        loop has accepted and not yet registered, and its caller would wait for ever.
        """
        self._run_in_loop(self._stop_listening)
        self._server.task_dispatcher.shutdown(timeout=_CLOSE_SECONDS)
        self._run_in_loop(self._close_connections)

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        """Run an action in the loop's thread and wait for it; run it here where no loop runs."""
        done = threading.Event()

        def run() -> None:
            try:
                action()
            finally:
                done.set()

        self._server.trigger.pull_trigger(run)  # type: ignore[union-attr]
        while self._thread.is_alive():
            if done.wait(_LOOP_CHECK_SECONDS):
                return
        if not done.is_set():
            action()

    def _stop_listening(self) -> None:
        self._server.accepting = False  # type: ignore[union-attr]
        wasyncore.dispatcher.close(self._server)

    def _close_connections(self) -> None:
        for channel in list(self._server.active_channels.values()):  # type: ignore[union-attr]
            channel.handle_close()
        self._server.trigger.close()  # type: ignore[union-attr]

    def _run(self) -> None:
        try:
            self._server.run()
        except OSError:
            _logger.debug("server socket closed")

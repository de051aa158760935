"""Stand in for a plain service whose calls have effects that are counted."""

from __future__ import annotations

import random
import threading
import time
from collections import Counter

from brassdrum.settings import ServiceStandinSettings
from brassdrum.wsgi import HttpServer, Request, Response, Router, json_response

__all__ = ["ServiceStandin"]


class ServiceStandin:
    """Run calls, remember how often each request id was run, lose answers on command."""

    def __init__(self, settings: ServiceStandinSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._lock = threading.Lock()
        self._runs_by_id: Counter[str] = Counter()
        self._drop_answer = settings.drop_answer
        self._delay = settings.delay_seconds
        router = Router()
        router.add("GET", "/runs", self._runs)
        router.add("POST", "/faults", self._faults)
        router.add("*", "/{path*}", self._call)
        self._server = HttpServer(router, settings.http.host, settings.http.port, settings.threads)

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self._settings.http.host}:{self._server.port}"

    @property
    def runs_by_id(self) -> Counter[str]:
        """Return how often each ``effect`` was run."""
        with self._lock:
            return Counter(self._runs_by_id)

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _call(self, request: Request) -> Response:
        body = request.body()
        effect = request.header("Effect-Id") or request.path
        time.sleep(self._delay)
        with self._lock:
            self._runs_by_id[effect] += 1
            count = self._runs_by_id[effect]
            lost = self._random.random() < self._drop_answer
        if lost:
            return Response(200, _torn(), length=1000)
        return json_response(
            {
                "service": self._settings.name,
                "method": request.method,
                "path": request.path,
                "run": count,
                "bytes": len(body),
            }
        )

    def _runs(self, request: Request) -> Response:
        return json_response(dict(self.runs_by_id))

    def _faults(self, request: Request) -> Response:
        content = request.json()
        self._drop_answer = float(content.get("drop_answer", self._drop_answer))
        self._delay = float(content.get("delay_seconds", self._delay))
        return json_response({})


def _torn():
    """Break the connection after the headers: the answer to a call that ran is lost."""
    yield b"{"
    raise ConnectionResetError("answer lost on command")

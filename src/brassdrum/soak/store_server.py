"""Serve a store of a soak over HTTP, with faults on command."""

from __future__ import annotations

import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

from brassdrum.soak.records import CopiedRecords

__all__ = ["KeyedStore", "store_handler"]

_SILENCE_SECONDS = 5.0


class KeyedStore(Protocol):
    """A store that keeps the newest record of each key of a topic."""

    fault: str
    records: CopiedRecords

    def newest(self, topic: str) -> bytes:
        """Return the newest records of a topic in one page."""

    def append(self, topic: str, record: bytes) -> bytes:
        """Take one keyed record."""


def store_handler(store: KeyedStore, era_header: str) -> type[BaseHTTPRequestHandler]:
    """Return a handler that answers reads and appends, and fails as the store is told."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def handle(self) -> None:
            """Serve one connection; the proxies of a soak reset them, which ends it."""
            try:
                super().handle()
            except ConnectionError:
                self.close_connection = True

        def do_GET(self) -> None:
            """Answer a read."""
            self._answer(lambda topic: store.newest(topic))

        def do_POST(self) -> None:
            """Answer an append."""
            record = self.rfile.read(int(self.headers["Content-Length"]))
            self._answer(lambda topic: store.append(topic, record))

        def _answer(self, act: Callable[[str], bytes]) -> None:
            fault = store.fault
            if fault == "silent":
                time.sleep(_SILENCE_SECONDS)
                self.close_connection = True
                return
            if fault == "slow":
                time.sleep(0.25)
            topic = parse_qs(urlsplit(self.path).query)["topic"][0]
            body, status = (b"", 503) if fault == "busy" else (act(topic), 200)
            if fault == "lost":
                self.close_connection = True
                return
            self.send_response(status)
            self.send_header(era_header, str(store.records.era))
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_arguments: object) -> None:
            """Write nothing."""

    return Handler

"""A loopback proxy that delays, resets, cuts one way or silences connections on command."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

__all__ = ["Proxy"]

_READ_BYTES = 65536
_DELAY_SECONDS = 0.15
_POLL_SECONDS = 0.02


class Proxy:
    """Pass connections on to one address; ``mode`` changes at any time.

    Modes: ``pass``, ``delay``, ``reset`` (open and new connections), ``one_way`` (answers are held
    back), ``silent`` (nothing passes until another mode).
    """

    def __init__(self, target: str, host: str = "127.0.0.1") -> None:
        self.mode = "pass"
        self.target = target
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._server = socket.create_server((host, 0))
        self.address = f"{host}:{self._server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode: str) -> None:
        """Change what happens to connections."""
        self.mode = mode
        if mode == "reset":
            with self._lock:
                open_now = list(self._connections)
            for connection in open_now:
                _reset(connection)

    def close(self) -> None:
        """Refuse connections, as a host does whose process has ended, and end the open ones."""
        with contextlib.suppress(OSError):
            # Wakes the thread that accepts; until then the host would go on taking connections.
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()
        self.set_mode("reset")

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._server.accept()
            except OSError:
                return
            if self.mode == "reset":
                _reset(caller)
                continue
            threading.Thread(target=self._join, args=(caller,), daemon=True).start()

    def _join(self, caller: socket.socket) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            target = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            _reset(caller)
            return
        target.settimeout(None)
        with self._lock:
            self._connections |= {caller, target}
        back = threading.Thread(target=self._copy, args=(target, caller, True), daemon=True)
        back.start()
        self._copy(caller, target, False)
        back.join()
        with self._lock:
            self._connections -= {caller, target}
        caller.close()
        target.close()

    def _copy(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        try:
            while data := source.recv(_READ_BYTES):
                if self.mode == "delay":
                    time.sleep(_DELAY_SECONDS)
                while self.mode == "silent" or (answers and self.mode == "one_way"):
                    time.sleep(_POLL_SECONDS)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)


def _reset(connection: socket.socket) -> None:
    """End a connection so that the other side sees a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return  # It has ended already.

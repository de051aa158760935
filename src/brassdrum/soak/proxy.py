"""A loopback proxy that delays, resets, cuts one way or silences connections on command."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable, Collection

from brassdrum.soak.connections import ConnectionOwners, local_address, peer_address

__all__ = ["Proxy"]

_READ_BYTES = 65536
_DELAY_SECONDS = 0.15
_POLL_SECONDS = 0.02
# ``struct linger``: enabled, for 0 seconds.
_ABORT = struct.pack("ii", 1, 0)


class Proxy:
    """Pass connections on to one address; ``mode`` changes at any time.

    Modes: ``pass``, ``delay``, ``reset`` (open and new connections), ``one_way`` (answers are held
    back), ``silent`` (nothing passes until another mode).
    The target itself may be paused: what reaches it meanwhile waits, as in its kernel's buffers.
    """

    def __init__(
        self,
        target: str,
        host: str = "127.0.0.1",
        owners: ConnectionOwners | None = None,
        on_received: Callable[[bytes, int | None, float], None] | None = None,
    ) -> None:
        """Tell processes apart where ``owners`` know them.

        ``on_received`` gets what reaches the target's host, from which process, and when.
        """
        self.mode = "pass"
        self.target = target
        self._owners = owners
        self._on_received = on_received
        self._process_by_source: dict[str, int] = {}
        self._received_at_by_source: dict[str, float] = {}
        self._paused_until = 0.0
        # Connections of processes that are cut off, and how: ``reset``, ``silent`` or ``live``.
        self._cut_by_process: dict[int, str] = {}
        self._silenced: set[socket.socket] = set()
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

    def pause_until(self, until: float) -> None:
        """Let the target take and send nothing until a time; connections are accepted meanwhile."""
        self._paused_until = max(self._paused_until, until)

    def cut_off(self, process: int, how: str, owned: Collection[str]) -> None:
        """Let nothing of a process pass: ``live`` spares its open connections, not new ones.

        ``owned`` are the addresses of its connections, as ``addresses_of`` returns them.
        """
        self._cut_by_process[process] = how
        if how == "live":
            return
        with self._lock:
            open_now = [each for each in self._connections if peer_address(each) in owned]
        for connection in open_now:
            if how == "reset":
                _reset(connection)
            else:
                self._silenced.add(connection)

    def end_cuts(self) -> None:
        """Let all processes reach the target again; what was held up is lost."""
        self._cut_by_process.clear()
        with self._lock:
            silenced = set(self._silenced)
        # Nothing passes before the reset: what was held up must not arrive after the cut.
        for connection in silenced:
            _reset(connection)
        with self._lock:
            self._silenced -= silenced

    def process_behind(self, accepted: socket.socket) -> int | None:
        """Return the process that a connection to the target came from, None if it is unknown."""
        return self._process_by_source.get(peer_address(accepted))

    def received_at(self, accepted: socket.socket) -> float:
        """Return when the target's host got the newest data of a connection, now if unknown."""
        return self._received_at_by_source.get(peer_address(accepted), time.monotonic())

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
            threading.Thread(target=self._join, args=(caller,), daemon=True).start()

    def _join(self, caller: socket.socket) -> None:
        process = None if self._owners is None else self._owners.process_at_other_end(caller)
        fate = self._cut_by_process.get(process, "") if process is not None else ""
        if self.mode == "reset" or fate in ("reset", "live"):
            _reset(caller)
            caller.close()
            return
        if fate == "silent":
            self._silenced.add(caller)
        host, _, port = self.target.rpartition(":")
        try:
            target = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            _reset(caller)
            caller.close()
            return
        target.settimeout(None)
        source = local_address(target)
        if process is not None:
            self._process_by_source[source] = process
        with self._lock:
            self._connections |= {caller, target}
        back = threading.Thread(target=self._copy, args=(target, caller, ""), daemon=True)
        back.start()
        self._copy(caller, target, source)
        back.join()
        with self._lock:
            self._connections -= {caller, target}
        self._process_by_source.pop(source, None)
        self._received_at_by_source.pop(source, None)
        caller.close()
        target.close()

    def _holds_back(self, source: socket.socket, sink: socket.socket, answers: bool) -> bool:
        if self.mode == "silent" or (answers and self.mode == "one_way"):
            return True
        return source in self._silenced or sink in self._silenced

    def _wait_while_paused(self) -> None:
        while time.monotonic() < self._paused_until:
            time.sleep(_POLL_SECONDS)

    def _note_received(self, data: bytes, address: str) -> None:
        now = time.monotonic()
        self._received_at_by_source[address] = now
        if self._on_received is not None:
            self._on_received(data, self._process_by_source.get(address), now)

    def _copy(self, source: socket.socket, sink: socket.socket, address: str) -> None:
        """Pass on what comes; ``address`` is that of a caller at the target, empty for answers."""
        try:
            while data := _receive(source):
                if self.mode == "delay":
                    time.sleep(_DELAY_SECONDS)
                while self._holds_back(source, sink, not address):
                    time.sleep(_POLL_SECONDS)
                if address:
                    self._note_received(data, address)
                self._wait_while_paused()
                _raise_if_reset(source)
                _raise_if_reset(sink)
                sink.sendall(data)
            self._wait_while_paused()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)


def _receive(source: socket.socket) -> bytes:
    """Return what a connection sends; raise ``ConnectionResetError`` once it has been reset."""
    data = source.recv(_READ_BYTES)
    if not data:
        _raise_if_reset(source)
    return data


def _raise_if_reset(connection: socket.socket) -> None:
    """Raise ``ConnectionResetError`` once the proxy has reset a connection."""
    if connection.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, len(_ABORT)) == _ABORT:
        raise ConnectionResetError("reset by the proxy")


def _reset(connection: socket.socket) -> None:
    """Let the connection's close reset it, and wake the thread that reads it and closes it."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
        # Not the other direction: that would end it in an orderly way.
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        return  # It has ended already.

"""A server whose answers have no end."""

import contextlib
import socket
import threading

from features.gateway_world import read_request, send_response

KB, MB = 1 << 10, 1 << 20
# A stand-in stops here, so that a scenario ends on code without a limit.
CAP_BYTES = 64 * MB
# What the kernel takes for a stand-in beyond what the daemon reads.
SEND_BUFFER_BYTES = 64 * KB


def send_without_end(counter, connection, piece, pause=0.0):
    """Send a piece again and again until the connection is closed, and count the bytes."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    try:
        while counter.endless_bytes < CAP_BYTES and not counter.released.is_set():
            connection.sendall(piece)
            counter.endless_bytes += len(piece)
            if pause:
                counter.released.wait(pause)
    except OSError:
        counter.cut_off.set()
        raise
    counter.released.wait(20)


class EndlessServer:
    """Answer each request with a beginning and with a piece without end."""

    def __init__(self, beginning, piece, pause=0.0):
        self.endless_bytes = 0
        self.calls = 0
        self.cut_off = threading.Event()
        self.released = threading.Event()
        self._script = (beginning, piece, pause)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop."""
        self.released.set()
        self._socket.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        beginning, piece, pause = self._script
        with connection, contextlib.suppress(OSError), connection.makefile("rb") as stream:
            while (request := read_request(stream)) is not None:
                self.calls += 1
                if piece is None:
                    page = beginning(self.calls)
                    self.endless_bytes += len(page)
                    send_response(connection, 200, page, request)
                    continue
                connection.sendall(beginning)
                send_without_end(self, connection, piece, pause)
                return

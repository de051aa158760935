"""An endpoint below HTTP: it sends what a test tells it, also without end."""

import itertools
import re
import socket
import threading

CHUNK_BYTES = 65536
# More than any limit that a test checks; keeps a daemon without that limit from filling memory.
MAX_SENT_BYTES = 192 << 20
_ACCEPT_SECONDS = 0.1


class RawEndpoint:
    """Answer each connection with the pieces of a plan, until the other side closes it.

    ``plan`` maps the request's head to an iterable of bytes; ``pause`` is waited for before each
    piece, in seconds.
    """

    def __init__(self, plan, pause=0.0):
        self._plan = plan
        self._pause = pause
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.settimeout(_ACCEPT_SECONDS)
        self._threads = []
        self.heads = []
        self.sent_bytes = 0
        self.exhausted = False
        self._accepting = threading.Thread(target=self._accept)
        self._accepting.start()

    @property
    def url(self):
        """Return the base URL."""
        return f"http://127.0.0.1:{self._listener.getsockname()[1]}"

    def close(self):
        """End all connections and threads."""
        self._stopped.set()
        self._accepting.join()
        for thread in self._threads:
            thread.join()
        self._listener.close()

    def _accept(self):
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            thread = threading.Thread(target=self._serve, args=(connection,))
            self._threads.append(thread)
            thread.start()

    def _serve(self, connection):
        with connection:
            connection.settimeout(_ACCEPT_SECONDS)
            head = self._read_request(connection)
            with self._lock:
                self.heads.append(head)
            try:
                self._send_plan(connection, head)
            except OSError:
                # The other side has closed the connection, as the tests expect.
                return

    def _read_request(self, connection):
        """Read a whole request; a close with unread bytes would reset what was sent."""
        data = b""
        while not _is_whole(data) and not self._stopped.is_set():
            try:
                received = connection.recv(CHUNK_BYTES)
            except TimeoutError:
                continue
            if not received:
                break
            data += received
        return data

    def _send_plan(self, connection, head):
        for piece in self._plan(head):
            if self._stopped.wait(self._pause):
                return
            self._send(connection, piece)
            if self.exhausted:
                return

    def _send(self, connection, piece):
        left = memoryview(piece)
        while left and not self._stopped.is_set():
            try:
                count = connection.send(left)
            except TimeoutError:
                continue
            left = left[count:]
            with self._lock:
                self.sent_bytes += count
                self.exhausted = self.sent_bytes >= MAX_SENT_BYTES


def _is_whole(request):
    head, end, body = request.partition(b"\r\n\r\n")
    length = re.search(rb"(?im)^Content-Length: (\d+)", head)
    return bool(end) and len(body) >= (int(length[1]) if length else 0)


def endless(start, piece):
    """Return a plan that sends a start once and a piece again and again."""
    return lambda head: itertools.chain([start], itertools.repeat(piece))


def response(body, content_type="application/json", status="200 OK"):
    """Return a whole HTTP response."""
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


CHUNKED = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
FILLER = b"x" * CHUNK_BYTES
ENDLESS_PLANS = {
    "a status line": endless(b"HTTP/1.1 200 ", FILLER),
    "headers": endless(b"HTTP/1.1 200 OK\r\n", b"X-Filler: " + b"x" * 1000 + b"\r\n"),
    "interim responses": endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "early hints": endless(b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 1000),
    "a body": endless(UNFRAMED % b"200 OK", FILLER),
    "a chunked body": endless(CHUNKED, b"10000\r\n" + FILLER + b"\r\n"),
    "a chunk extension": endless(CHUNKED + b"5;", FILLER),
    "trailers": endless(CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Filler: " + b"x" * 1000 + b"\r\n"),
    "a failure's body": endless(UNFRAMED % b"503 Service Unavailable", FILLER),
}

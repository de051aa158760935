"""A small world around gateway daemons: a store, endpoints that misbehave on command, callers."""

import contextlib
import http.client
import random
import socket
import threading
import time

from brassdrum.errors import PlatformUnavailableError
from brassdrum.gateway.daemon import GatewayDaemon
from brassdrum.gateway.model import (
    Bounds,
    EndpointEntry,
    FleetConfiguration,
    GatewaySettings,
    Organisation,
    Route,
    RouteKind,
    RouteTarget,
    Service,
    StoreRecord,
)
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.registry import Registry
from brassdrum.standins.ports import free_port

HOST = "shop.example"
SERVICE = "pool"
KEY = "key-1"
EVENTS = 5
# A body that ends the process of every endpoint that begins to run it.
ENDING_BODY = b"ends whoever runs it"
QUICK = Bounds(drain=0.6, configuration=0.6, grace=2.5)

behaviours = Registry("endpoint behaviour")


class FakeStore:
    """Hold a configuration and endpoints, and fail on command."""

    def __init__(self):
        self.current = None
        self.entries = []
        self.hosts = {}
        self.quarantine_by_content = {}
        self.down = False
        self.era = None
        self.calls = 0
        self._object_by_value = {}

    def configuration(self):
        """Return the newest configuration."""
        self._call()
        return None if self.current is None else self._record("config", self.current)

    def endpoints(self):
        """Return the list of endpoints."""
        self._call()
        return [self._record(entry.id, entry) for entry in self.entries]

    def daemons(self):
        """Return the addresses of announced daemons."""
        self._call()
        return list(self.hosts.values())

    def announce(self, name, address):
        """Note a daemon."""
        self._call()
        self.hosts[name] = address

    def quarantines(self):
        """Return the kept records of quarantined contents."""
        self._call()
        return list(self.quarantine_by_content.values())

    def save_quarantine(self, record):
        """Keep a record, or drop it where the value is empty."""
        self._call()
        if record.value:
            self.quarantine_by_content[record.key] = record
        else:
            self.quarantine_by_content.pop(record.key, None)

    def decode_configuration(self, record):
        """Return what was stored."""
        return self._object_by_value[record.value]

    def decode_endpoint(self, record):
        """Return what was stored."""
        return self._object_by_value[record.value]

    def _call(self):
        self.calls += 1
        if self.down:
            raise PlatformUnavailableError("The store is down.")

    def _record(self, key, value):
        text = repr(value).encode()
        self._object_by_value[text] = value
        return StoreRecord(key, text)


class Endpoint:
    """Serve one address in threads; a list of behaviours is used up one a request."""

    def __init__(self, name, service=SERVICE, slots=4):
        self.name = name
        self.service = service
        self.slots = slots
        self.script = []
        self.usual = "whole"
        self.requests = []
        self.orders = []
        self.open = 0
        self.dark = False
        self.ended = False
        self.incarnation = 0
        self.released = threading.Event()
        self._lock = threading.Lock()
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def end(self):
        """End as a process does: its host refuses connections, and all open ones break."""
        self.ended = True
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def start_again(self):
        """Serve the same address as another process, under a new name."""
        self.incarnation += 1
        self.name = f"{self.name.split('@')[0]}@{self.incarnation}"
        self._connections = []
        self._socket = socket.create_server(("127.0.0.1", int(self.address.split(":")[1])))
        self.ended = False
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, draining=False):
        """Return what the endpoint says of itself."""
        return EndpointEntry(self.name, self.service, self.address, "zone-a", self.slots, draining)

    def close(self):
        """End all connections."""
        self.released.set()
        self._socket.close()
        for connection in self._connections:
            connection.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        self.open += 1
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_request(stream)
                if request is None:
                    return
                if self.dark:
                    self.released.wait(20)
                    return
                if request.target == "/order":
                    self._order(connection, request)
                    continue
                if request.target == "/report":
                    send(connection, 200, b"{}", request, seal=False)
                    continue
                with self._lock:
                    self.requests.append(request)
                    if request.body == ENDING_BODY:
                        self.end()
                        return
                    behaviour = self.script.pop(0) if self.script else self.usual
                if behaviours.get(behaviour)(self, connection, request) is False:
                    return
        except OSError:
            return
        finally:
            self.open -= 1
            connection.close()

    def _order(self, connection, request):
        with self._lock:
            self.orders.append(request.body.decode())
        refused = self.usual == "no memory" and "reserve" in self.orders[-1]
        send(connection, 409 if refused else 200, b"{}", request, seal=False)


class ReceivedRequest:
    """Hold a request as an endpoint got it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.header_by_name = headers
        self.body = body


def read_request(stream):
    """Read one request; None at the end of the connection."""
    line = stream.readline().decode("latin-1").split()
    if len(line) < 2:
        return None
    headers = {}
    while True:
        text = stream.readline().decode("latin-1").strip()
        if not text:
            break
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return ReceivedRequest(line[0], line[1], headers, body)


def send(connection, status, body, request, seal=True, extra=(), length=True):
    """Send an answer that echoes the request's id."""
    lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {request.header_by_name.get('x-attempt-id')}"]
    if seal:
        lines.append("X-Replica-Seal: seal-1")
    if length:
        lines.append(f"Content-Length: {len(body)}")
    lines += list(extra)
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def event(number):
    """Return the bytes of one event."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def _stream(connection, request, numbers, tail=b"", end=True):
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {request.header_by_name['x-attempt-id']}",
        "X-Replica-Seal: seal-1",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
    for number in numbers:
        data = event(number)
        connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    if tail:
        connection.sendall(b"%x\r\n%b\r\n" % (len(tail), tail))
    if end:
        connection.sendall(b"0\r\n\r\n")


def _rest(request):
    start = int(request.header_by_name.get("last-event-id", "0"))
    return range(start + 1, EVENTS + 1)


@behaviours.register("whole")
def whole(endpoint, connection, request):
    """Answer with the endpoint's name."""
    send(connection, 200, endpoint.name.encode(), request)


@behaviours.register("failure")
def failure(endpoint, connection, request):
    """Run the request and fail."""
    send(connection, 500, b"failed", request)


@behaviours.register("plain 503")
def plain_503(endpoint, connection, request):
    """Answer 503 without saying that the request did not run."""
    send(connection, 503, b"", request)


@behaviours.register("not run")
def not_run(endpoint, connection, request):
    """Refuse without running."""
    send(connection, 503, b"", request, seal=False, extra=["X-Not-Executed: 1"])


@behaviours.register("another endpoint")
def another_endpoint(endpoint, connection, request):
    """Answer as the endpoint that has the address now."""
    send(connection, 421, b"", request, seal=False, extra=["X-Replica-Id: other"])


@behaviours.register("lost")
def lost(endpoint, connection, request):
    """Run the request and lose the answer."""
    return False


@behaviours.register("silent")
def silent(endpoint, connection, request):
    """Run the request and never answer."""
    endpoint.released.wait(20)
    return False


@behaviours.register("dark")
def dark(endpoint, connection, request):
    """Take the request and never answer anything again, as a host without power does."""
    endpoint.dark = True
    endpoint.released.wait(20)
    return False


@behaviours.register("foreign")
def foreign(endpoint, connection, request):
    """Send the late answer of another request first."""
    request.header_by_name["x-attempt-id"] = "someone-else"
    send(connection, 200, b"not yours", request)


@behaviours.register("unsigned")
def unsigned(endpoint, connection, request):
    """Answer without the signature."""
    send(connection, 200, b"unsigned", request, seal=False)


@behaviours.register("truncated")
def truncated(endpoint, connection, request):
    """Break off in the middle of the body."""
    lines = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.header_by_name['x-attempt-id']}\r\n"
    connection.sendall(f"{lines}X-Replica-Seal: s\r\nContent-Length: 50\r\n\r\nhalf".encode())
    return False


@behaviours.register("no answer in the protocol")
def garbage(endpoint, connection, request):
    """Send bytes that are no answer."""
    connection.sendall(b"\x00\x01garbage\r\n\r\n")
    return False


@behaviours.register("extra bytes")
def extra_bytes(endpoint, connection, request):
    """Send a second answer after the first."""
    send(connection, 200, endpoint.name.encode(), request)
    send(connection, 200, b"extra", request)


@behaviours.register("unframed")
def unframed(endpoint, connection, request):
    """Send a whole answer that ends with the connection."""
    send(connection, 200, endpoint.name.encode(), request, length=False)
    return False


@behaviours.register("unframed and reset")
def unframed_reset(endpoint, connection, request):
    """Send a part of an answer without length and reset the connection."""
    send(connection, 200, b"half of an answ", request, length=False)
    time.sleep(0.05)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    connection.close()
    return False


@behaviours.register("stream")
def stream(endpoint, connection, request):
    """Stream all events that are left."""
    _stream(connection, request, _rest(request))


@behaviours.register("stream cut in an event")
def stream_cut(endpoint, connection, request):
    """Stream two events and a half."""
    _stream(connection, request, list(_rest(request))[:2], tail=event(3)[:7], end=False)
    return False


@behaviours.register("stream with a gap")
def stream_gap(endpoint, connection, request):
    """Leave an event out."""
    _stream(connection, request, [1, 2, 4, 5])


@behaviours.register("stream that pauses")
def stream_pauses(endpoint, connection, request):
    """Stream two events and fall silent."""
    _stream(connection, request, list(_rest(request))[:2], end=False)
    endpoint.released.wait(20)
    return False


@behaviours.register("slow stream")
def slow_stream(endpoint, connection, request):
    """Stream two events, then the rest when told."""
    _stream(connection, request, [1, 2], end=False)
    endpoint.released.wait(20)
    for number in (3, 4, 5):
        data = event(number)
        connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    connection.sendall(b"0\r\n\r\n")


@behaviours.register("no memory")
def no_memory(endpoint, connection, request):
    """Serve requests but refuse to hold memory."""
    _stream(connection, request, _rest(request))


def engine_entry(number):
    """Return the list's entry of an engine that takes new work."""
    return EndpointEntry(f"engine-{number}", "pool", f"10.0.0.{number}:80", "zone-a", 8, False)


def route(name, kind, **fields):
    """Return a route at a path of its own."""
    values = {
        "timeout": 10.0,
        "objective": 2.0,
        "priority": 1,
        "max_attempts": 2,
        "targets": (RouteTarget(SERVICE, 1.0),),
        "pause_objective": 0.25,
    }
    return Route(name, HOST, f"/{name}/", kind, **{**values, **fields})


def configuration(version, engine=None, routes=(), keys=(KEY,)):
    """Return a configuration with a route of each kind."""
    usual = (
        route("hold", RouteKind.NON_IDEMPOTENT),
        route("check", RouteKind.IDEMPOTENT),
        route("text", RouteKind.STREAM, resumable=True),
        route("once", RouteKind.STREAM),
    )
    return FleetConfiguration(
        version,
        (*usual, *routes),
        {SERVICE: Service(SERVICE, 100, engine)},
        (Organisation("org-1", frozenset(keys)),),
    )


class RunningGateway:
    """Run a daemon in a thread."""

    def __init__(self, store, number, peer_port, bounds=QUICK, seeds=(), metrics_port=None):
        self.host = f"127.0.0.{number}"
        self.port = free_port()
        self.ready_port = free_port()
        settings = GatewaySettings(
            name=f"daemon-{number}",
            host=self.host,
            zone="zone-a",
            caller_port=self.port,
            ready_port=self.ready_port,
            peer_port=peer_port,
            seeds=seeds,
            bounds=bounds,
            metrics_port=metrics_port,
        )
        self.daemon = GatewayDaemon(settings, store, PlatformDialect(), rng=random.Random(number))
        self._thread = threading.Thread(target=self.daemon.run, daemon=True)
        self._thread.start()
        limit = time.monotonic() + 10
        while len(self.daemon._listeners) < 3 and time.monotonic() < limit:
            time.sleep(0.005)

    @property
    def running(self):
        """Return whether the daemon still runs."""
        return self._thread.is_alive()

    def ready(self):
        """Return whether the daemon calls itself ready."""
        return call(self.host, self.ready_port, "GET", "/readiness").status == 200

    def leave(self):
        """Begin the planned stop."""
        self.daemon.loop.post(self.daemon.begin_stop)

    def close(self):
        """Stop at once."""
        if self.running:
            self.daemon.loop.post(self.daemon._finish)
            self._thread.join(5)


class Answer:
    """Hold an answer as a caller saw it."""

    def __init__(self, status, body, headers, whole):
        self.status = status
        self.body = body
        self.header_by_name = headers
        self.whole = whole


def call(host, port, method, path, body=None, **headers):
    """Send one request and read its answer; status 0 when there was none."""
    connection = http.client.HTTPConnection(host, port, timeout=15)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        connection.request(method, path, body=body, headers=named)
        response = connection.getresponse()
        values = {name.lower(): value for name, value in response.getheaders()}
        try:
            return Answer(response.status, response.read(), values, True)
        except (http.client.IncompleteRead, OSError) as error:
            partial = getattr(error, "partial", b"")
            return Answer(response.status, partial, values, False)
    except (http.client.HTTPException, OSError):
        return Answer(0, b"", {}, False)
    finally:
        connection.close()

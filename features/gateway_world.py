"""Test environment of gateway daemons: a fake store, fake endpoints and a caller."""

import contextlib
import http.client
import math
import random
import socket
import threading
import time

from brassdrum.errors import PlatformUnavailableError
from brassdrum.gateway.daemon import GatewayDaemon
from brassdrum.gateway.following.cold_watch import ColdWatch
from brassdrum.gateway.following.evacuation_monitor import EvacuationMonitor
from brassdrum.gateway.following.follower import Follower, FollowerObservers
from brassdrum.gateway.model import (
    Bounds,
    EndpointEntry,
    EndpointRecords,
    FleetConfiguration,
    GatewaySettings,
    OperatorRecords,
    Organisation,
    Route,
    RouteKind,
    RouteTarget,
    Service,
    StoreRecord,
)
from brassdrum.gateway.net.accept_gate import AcceptGate, max_caller_connections
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.registry import Registry
from brassdrum.standins.ports import free_port

HOST = "shop.example"
SERVICE = "pool"
KEY = "key-1"
EVENT_COUNT = 5
# Crashes every fake endpoint that receives it.
CRASHING_BODY = b"ends whoever runs it"
# Part of a prompt that crashes its endpoint, whatever else the request holds.
CRASHING_PART = "deadbeef"
SHORT_BOUNDS = Bounds(drain=0.6, configuration=0.6, grace=2.5)

behaviours = Registry("endpoint behaviour")


class FakeStore:
    """An in-memory store that can be made unavailable."""

    def __init__(self):
        self.current = None
        self.entries = []
        self.hosts = {}
        self.quarantine_by_content = {}
        self.down = False
        self.quarantines_down = False
        self.era = None
        self.evacuated_zones = frozenset()
        self.operator_revision = 1
        self.calls = 0
        self.list_revision = None
        self._object_by_value = {}

    def operator_records(self):
        """Return the records of the configuration and of the evacuated zones."""
        self._count_call()
        configured = None if self.current is None else self._record("config", self.current)
        return OperatorRecords(configured, self.evacuated_zones, self.operator_revision, self.era)

    def evacuate(self, *zones):
        """Replace the zones that the operator has evacuated."""
        self.evacuated_zones = frozenset(zones)
        self.operator_revision += 1

    def endpoints(self):
        """Return the records of the endpoints."""
        self._count_call()
        records = tuple(self._record(entry.id, entry) for entry in self.entries)
        return EndpointRecords(records, self.list_revision)

    def daemons(self):
        """Return the addresses of the announced daemons, by name."""
        self._count_call()
        return dict(self.hosts)

    def announce(self, name, address):
        """Store the address of a daemon."""
        self._count_call()
        self.hosts[name] = address

    def quarantines(self):
        """Return the records of quarantined contents."""
        self._count_call()
        if self.quarantines_down:
            raise PlatformUnavailableError("The records of the quarantine are unavailable.")
        return list(self.quarantine_by_content.values())

    def save_quarantine(self, record):
        """Store a record, or delete it if its value is empty."""
        self._count_call()
        if record.value:
            self.quarantine_by_content[record.key] = record
        else:
            self.quarantine_by_content.pop(record.key, None)

    def decode_configuration(self, record):
        """Return the configuration of a record."""
        return self._object_by_value[record.value]

    def decode_endpoint(self, record):
        """Return the endpoint of a record."""
        return self._object_by_value[record.value]

    def _count_call(self):
        self.calls += 1
        if self.down:
            raise PlatformUnavailableError("The store is unavailable.")

    def _record(self, key, value):
        text = repr(value).encode()
        self._object_by_value[text] = value
        return StoreRecord(key, text)


class FakeEndpoint:
    """An endpoint that answers each request with a queued behaviour, or else a default one."""

    def __init__(self, name, service=SERVICE, slots=4, zone="zone-a"):
        self.name = name
        self.zone = zone
        self.service = service
        self.slots = slots
        self.queued_behaviours = []
        self.default_behaviour = "complete response"
        self.requests = []
        self.orders = []
        self.open_connections = 0
        self.unresponsive = False
        self.report_seconds = 0.0
        self.crashed = False
        self.incarnation = 0
        self.released = threading.Event()
        self._lock = threading.Lock()
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def crash(self):
        """Crash: close all connections and refuse new ones."""
        self.crashed = True
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def restart(self):
        """Restart at the same address under a new name."""
        self.incarnation += 1
        self.name = f"{self.name.split('@')[0]}@{self.incarnation}"
        self._connections = []
        self._socket = socket.create_server(("127.0.0.1", int(self.address.split(":")[1])))
        self.crashed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def restart_at_once(self):
        """Restart so fast that the address never refuses a connection: all open ones end."""
        self.incarnation += 1
        self.name = f"{self.name.split('@')[0]}@{self.incarnation}"
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._connections = []

    def entry(self, draining=False):
        """Return the endpoint's entry in the store."""
        return EndpointEntry(self.name, self.service, self.address, self.zone, self.slots, draining)

    def close(self):
        """Close all connections."""
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
        self.open_connections += 1
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_request(stream)
                if request is None:
                    return
                if self.unresponsive:
                    self.released.wait(20)
                    return
                if request.target == "/order":
                    self._handle_order(connection, request)
                    continue
                if request.target == "/report":
                    self.released.wait(self.report_seconds)
                    if request.header_by_name.get("x-expect-replica", self.name) != self.name:
                        send_response(connection, 421, b"", request, seal=False)
                        continue
                    send_response(connection, 200, b"{}", request, seal=False)
                    continue
                if "x-attempt-id" not in request.header_by_name:
                    print_stranger(self.name, connection, request)
                    return
                with self._lock:
                    self.requests.append(request)
                    if crashes_endpoint(request):
                        self.crash()
                        return
                    behaviour = (
                        self.queued_behaviours.pop(0)
                        if self.queued_behaviours
                        else self.default_behaviour
                    )
                if behaviours.get(behaviour)(self, connection, request) is False:
                    return
        except OSError:
            return
        finally:
            self.open_connections -= 1
            connection.close()

    def _handle_order(self, connection, request):
        with self._lock:
            self.orders.append(request.body.decode())
        refused = self.default_behaviour == "no memory" and "reserve" in self.orders[-1]
        send_response(connection, 409 if refused else 200, b"{}", request, seal=False)


class ReceivedRequest:
    """A request that an endpoint received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.header_by_name = headers
        self.body = body


def print_stranger(name, connection, request):
    """Print a request that no daemon of the scenario sends, and where it came from."""
    print(
        f"{name} got a request without an attempt id from {connection.getpeername()}:",
        request.method,
        request.target,
        request.header_by_name,
        request.body[:200],
        flush=True,
    )


def crashes_endpoint(request):
    """Return whether an endpoint that runs the request crashes."""
    parts = request.header_by_name.get("x-prompt-prefix", "").split(",")
    return request.body == CRASHING_BODY or CRASHING_PART in [
        part.partition(":")[0] for part in parts
    ]


def read_request(stream):
    """Read one request; return None at EOF."""
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


def send_response(connection, status, body, request, seal=True, extra=(), length=True):
    """Send a response with the attempt id of the request."""
    lines = [f"HTTP/1.1 {status} X", f"X-Attempt-Id: {request.header_by_name.get('x-attempt-id')}"]
    if seal:
        lines.append("X-Replica-Seal: seal-1")
    if length:
        lines.append(f"Content-Length: {len(body)}")
    lines += list(extra)
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def reject(connection, request, *headers):
    """Reject a request as not executed."""
    extra = ["X-Not-Executed: 1", *headers]
    send_response(connection, 503, b"", request, seal=False, extra=extra)


def event(number):
    """Return an encoded server-sent event."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def _send_stream(connection, request, numbers, tail=b"", end=True, extra=()):
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {request.header_by_name['x-attempt-id']}",
        "X-Replica-Seal: seal-1",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        *extra,
    ]
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
    for number in numbers:
        data = event(number)
        connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    if tail:
        connection.sendall(b"%x\r\n%b\r\n" % (len(tail), tail))
    if end:
        connection.sendall(b"0\r\n\r\n")


def _remaining_events(request):
    start = int(request.header_by_name.get("last-event-id", "0"))
    return range(start + 1, EVENT_COUNT + 1)


@behaviours.register("complete response")
def complete_response(endpoint, connection, request):
    """Send a complete response that contains the endpoint's name."""
    send_response(connection, 200, endpoint.name.encode(), request)


@behaviours.register("complete response with a limit of 1")
def limited_response(endpoint, connection, request):
    """Send a complete response that names a limit of one request a second."""
    body = endpoint.name.encode()
    send_response(connection, 200, body, request, extra=["Server-Limit: 1.0"])


@behaviours.register("complete response before a stop")
def leaving_response(endpoint, connection, request):
    """Send a complete response that says that the endpoint is about to stop."""
    body = endpoint.name.encode()
    send_response(connection, 200, body, request, extra=["Server-Leaving: 1"])


@behaviours.register("failure before a stop")
def leaving_failure(endpoint, connection, request):
    """Execute the request, return an error and say that the endpoint is about to stop."""
    send_response(connection, 500, b"failed", request, extra=["Server-Leaving: 1"])


@behaviours.register("rejection before a stop")
def leaving_rejection(endpoint, connection, request):
    """Reject the request as not executed and say that the endpoint is about to stop."""
    reject(connection, request, "Server-Leaving: 1")


@behaviours.register("stream before a stop")
def leaving_stream(endpoint, connection, request):
    """Stream all remaining events and say that the endpoint is about to stop."""
    _send_stream(connection, request, _remaining_events(request), extra=["Server-Leaving: 1"])


@behaviours.register("rejection for 30 s")
def pause(endpoint, connection, request):
    """Reject the request as not executed, and all others for 30 seconds."""
    reject(connection, request, "Retry-After: 30")


@behaviours.register("rejection for 0.3 s")
def short_pause(endpoint, connection, request):
    """Reject the request as not executed, and all others for a moment."""
    reject(connection, request, "Retry-After: 0.3")


@behaviours.register("plain 503 for 30 s")
def plain_pause(endpoint, connection, request):
    """Return 503 with a Retry-After header, without stating that the request was not executed."""
    send_response(connection, 503, b"", request, extra=["Retry-After: 30"])


@behaviours.register("failure")
def failure(endpoint, connection, request):
    """Execute the request and return an error."""
    send_response(connection, 500, b"failed", request)


@behaviours.register("plain 503")
def plain_503(endpoint, connection, request):
    """Return 503 without stating that the request was not executed."""
    send_response(connection, 503, b"", request)


@behaviours.register("not executed")
def not_run(endpoint, connection, request):
    """Reject the request as not executed."""
    reject(connection, request)


@behaviours.register("another endpoint")
def another_endpoint(endpoint, connection, request):
    """Respond like another endpoint that has taken over the address."""
    send_response(connection, 421, b"", request, seal=False, extra=["X-Replica-Id: other"])


@behaviours.register("lost response")
def lost_response(endpoint, connection, request):
    """Execute the request and close the connection without a response."""
    return False


@behaviours.register("no response")
def silent(endpoint, connection, request):
    """Execute the request and never respond."""
    endpoint.released.wait(20)
    return False


@behaviours.register("unresponsive host")
def unresponsive(endpoint, connection, request):
    """Stop responding to all requests, like a host that has lost power."""
    endpoint.unresponsive = True
    endpoint.released.wait(20)
    return False


@behaviours.register("response to another request")
def response_of_another_request(endpoint, connection, request):
    """Send the response of another request."""
    request.header_by_name["x-attempt-id"] = "someone-else"
    send_response(connection, 200, b"not yours", request)


@behaviours.register("late answer to an order")
def late_order_answer(endpoint, connection, request):
    """Send what refuses an order, which names no request, and stop."""
    connection.sendall(b'HTTP/1.1 409 Conflict\r\nContent-Length: 14\r\n\r\n{"free":25000}')
    return False


@behaviours.register("unsigned")
def unsigned(endpoint, connection, request):
    """Send a response without the X-Replica-Seal header."""
    send_response(connection, 200, b"unsigned", request, seal=False)


@behaviours.register("truncated")
def truncated(endpoint, connection, request):
    """Close the connection in the middle of the body."""
    lines = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.header_by_name['x-attempt-id']}\r\n"
    connection.sendall(f"{lines}X-Replica-Seal: s\r\nContent-Length: 50\r\n\r\nhalf".encode())
    return False


@behaviours.register("invalid HTTP")
def invalid_http(endpoint, connection, request):
    """Send data that is not HTTP."""
    connection.sendall(b"\x00\x01garbage\r\n\r\n")
    return False


@behaviours.register("extra bytes")
def extra_bytes(endpoint, connection, request):
    """Send a second response after the first one."""
    send_response(connection, 200, endpoint.name.encode(), request)
    send_response(connection, 200, b"extra", request)


@behaviours.register("no content length")
def no_length(endpoint, connection, request):
    """Send a response without Content-Length that ends with the connection."""
    send_response(connection, 200, endpoint.name.encode(), request, length=False)
    return False


@behaviours.register("no content length and reset")
def no_length_then_reset(endpoint, connection, request):
    """Send part of a response without Content-Length and reset the connection."""
    send_response(connection, 200, b"half of an answ", request, length=False)
    time.sleep(0.05)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    connection.close()
    return False


@behaviours.register("stream")
def stream(endpoint, connection, request):
    """Stream all remaining events."""
    _send_stream(connection, request, _remaining_events(request))


@behaviours.register("stream truncated in an event")
def truncated_event(endpoint, connection, request):
    """Stream two events and part of a third."""
    _send_stream(
        connection, request, list(_remaining_events(request))[:2], tail=event(3)[:7], end=False
    )
    return False


@behaviours.register("stream with a missing event")
def missing_event(endpoint, connection, request):
    """Stream with one event missing."""
    _send_stream(connection, request, [1, 2, 4, 5])


@behaviours.register("stalled stream")
def stalled_stream(endpoint, connection, request):
    """Stream two events and stall."""
    _send_stream(connection, request, list(_remaining_events(request))[:2], end=False)
    endpoint.released.wait(20)
    return False


@behaviours.register("slow stream")
def slow_stream(endpoint, connection, request):
    """Stream two events, and the remaining ones once released."""
    _send_stream(connection, request, [1, 2], end=False)
    endpoint.released.wait(20)
    for number in (3, 4, 5):
        data = event(number)
        connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    connection.sendall(b"0\r\n\r\n")


@behaviours.register("no memory")
def no_memory(endpoint, connection, request):
    """Serve requests but refuse memory reservations."""
    _send_stream(connection, request, _remaining_events(request))


def engine_entry(number):
    """Return the entry of an engine that accepts new requests."""
    return EndpointEntry(f"engine-{number}", "pool", f"10.0.0.{number}:80", "zone-a", 8, False)


def route(name, kind, **fields):
    """Return a route whose path prefix is its name."""
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
    """Return a configuration with routes of each kind."""
    default_routes = (
        route("hold", RouteKind.NON_IDEMPOTENT),
        route("check", RouteKind.IDEMPOTENT),
        route("text", RouteKind.STREAM, resumable=True),
        route("once", RouteKind.STREAM),
    )
    return FleetConfiguration(
        version,
        (*default_routes, *routes),
        {SERVICE: Service(SERVICE, 100, engine)},
        (Organisation("org-1", frozenset(keys)),),
    )


def create_follower(loop, store, routing_state, peer_port=1):
    """Return a follower that tells nobody what it reads."""
    return Follower(
        loop,
        store,
        routing_state,
        Bounds(),
        peer_port,
        FollowerObservers(
            EvacuationMonitor(loop, routing_state),
            ColdWatch(loop, routing_state),
            *[lambda *_: None] * 3,
        ),
    )


class RunningGateway:
    """A gateway daemon that runs in a thread."""

    def __init__(self, store, number, peer_port, bounds=SHORT_BOUNDS, seeds=(), metrics_port=None):
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
        # Daemons, endpoints and callers of a scenario share one interpreter, so the lag of an event
        # loop says nothing of its daemon. Scenarios on the lag put the daemon's own gate back.
        self.accept_gate = self.daemon._ports.accept_gate
        self.daemon._ports.accept_gate = AcceptGate(max_caller_connections(), math.inf)
        self._thread = threading.Thread(target=self.daemon.run, daemon=True)
        self._thread.start()
        # The ports are open before the daemon has all its parts; its loop runs when it has them.
        has_started = threading.Event()
        self.daemon.loop.post(has_started.set)
        assert has_started.wait(10), f"{self.host} has not started"

    @property
    def running(self):
        """Return whether the daemon is running."""
        return self._thread.is_alive()

    def ready(self):
        """Return whether the daemon reports that it is ready."""
        return call(self.host, self.ready_port, "GET", "/readiness").status == 200

    def begin_planned_stop(self):
        """Begin a planned stop."""
        self.daemon.loop.post(self.daemon.begin_stop)

    def close(self):
        """Stop immediately."""
        if self.running:
            self.daemon.loop.post(self.daemon._finish)
            self._thread.join(5)


class CallerResponse:
    """A response as received by a caller."""

    def __init__(self, status, body, headers, complete):
        self.status = status
        self.body = body
        self.header_by_name = headers
        self.complete = complete


def call(host, port, method, path, body=None, on_connected=None, **headers):
    """Send one request and return its response; status 0 if there was none.

    ``on_connected`` is called with the socket, so that another thread can end the wait.
    """
    connection = http.client.HTTPConnection(host, port, timeout=15)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    try:
        connection.connect()
        if on_connected is not None:
            on_connected(connection.sock)
        connection.request(method, path, body=body, headers=named)
        response = connection.getresponse()
        values = {name.lower(): value for name, value in response.getheaders()}
        try:
            return CallerResponse(response.status, response.read(), values, True)
        except (http.client.IncompleteRead, OSError) as error:
            partial = getattr(error, "partial", b"")
            return CallerResponse(response.status, partial, values, False)
    except (http.client.HTTPException, OSError):
        return CallerResponse(0, b"", {}, False)
    finally:
        connection.close()


@behaviours.register("complete response that claims a refusal")
def claimed_refusal(endpoint, connection, request):
    """Execute the request and send a header that only daemons send each other."""
    body = endpoint.name.encode()
    send_response(connection, 200, body, request, extra=["Brassdrum-Forward-Refused: 0"])

"""Steps on a server that is closed while its threads process requests."""

import os
import queue
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool
from brassdrum.wsgi import HttpServer, Response, Router
from features.support import eventually

# Far more than a closed server frees.
MAX_CONNECTIONS = 100
# Longer than a closing server waits for its threads.
LOOP_DELAY_SECONDS = 1.0
HANDLER_SECONDS = 0.5


def _open_descriptors():
    return {int(name) for name in os.listdir("/proc/self/fd")}


def _call(url):
    try:
        return HttpPool(url).call("GET", "/held")
    except (ConnectFailedError, ExchangeFailedError) as error:
        return error


@given("a server with {count:d} threads, each processing a request")
def step_server(context, count):
    _start_blocked(context, count, lambda _request: Response(200, [b"late"], "text/plain"))


def _start_blocked(context, count, respond):
    """Start a server whose threads all wait for ``context.release`` before they respond."""
    context.release = threading.Event()
    context.stack.push(context.release.set)
    requests_arrived = threading.Semaphore(0)

    def handle_blocked(request):
        requests_arrived.release()
        context.release.wait(30)
        return respond(request)

    router = Router()
    router.add("GET", "/held", handle_blocked)
    context.server = HttpServer(router, "127.0.0.1", 0, count)
    context.server.start()
    callers = ThreadPoolExecutor(count)
    context.stack.push(callers.shutdown)
    url = f"http://127.0.0.1:{context.server.port}"
    context.calls = [callers.submit(_call, url) for _ in range(count)]
    for _ in range(count):
        assert requests_arrived.acquire(timeout=30)


def _reuse_descriptors(context, free_descriptors):
    """Open connections until they use all the given descriptor numbers."""
    while free_descriptors and len(context.pairs) < MAX_CONNECTIONS:
        pair = socket.socketpair()
        context.stack.push(pair[0].close)
        context.stack.push(pair[1].close)
        context.pairs.append(pair)
        free_descriptors -= {pair[0].fileno(), pair[1].fileno()}
    assert not free_descriptors, free_descriptors


@when("the server is closed and new connections reuse its descriptor numbers")
def step_closed(context):
    context.pairs = []
    dispatcher = context.server._server.task_dispatcher
    shutdown = dispatcher.shutdown
    open_before = _open_descriptors()

    def slow_shutdown(*arguments, **named):
        # Runs while close() waits for the threads, as on an overloaded host.
        _reuse_descriptors(context, open_before - _open_descriptors())
        context.release.set()
        eventually(
            lambda: dispatcher.active_count == 0, "the threads have completed their requests"
        )
        return shutdown(*arguments, **named)

    dispatcher.shutdown = slow_shutdown
    context.server.close()
    _reuse_descriptors(context, open_before - _open_descriptors() - _descriptors(context))
    eventually(lambda: not dispatcher.threads, "the threads have exited")


def _descriptors(context):
    return {end.fileno() for pair in context.pairs for end in pair}


@then("nothing is written to the new connections")
def step_nothing_written(context):
    written = []
    for end in (each for pair in context.pairs for each in pair):
        end.setblocking(False)
        try:
            written.append(end.recv(100))
        except BlockingIOError:
            continue
    assert not written, written


@given("a server whose loop is delayed after it accepts a connection")
def step_delayed_loop(context):
    def handle_slowly(_request):
        time.sleep(HANDLER_SECONDS)
        return Response(200, [b"late"], "text/plain")

    router = Router()
    router.add("GET", "/late", handle_slowly)
    context.server = HttpServer(router, "127.0.0.1", 0, 1)
    context.accepted = threading.Event()
    context.closed = threading.Event()
    server = context.server._server
    set_options = server.set_socket_options

    def delay_registration(connection):
        set_options(connection)
        context.accepted.set()
        context.closed.wait(LOOP_DELAY_SECONDS)

    server.set_socket_options = delay_registration
    context.server.start()


def _send_while_delayed(context):
    context.caller = socket.create_connection(("127.0.0.1", context.server.port))
    context.stack.push(context.caller.close)
    assert context.accepted.wait(30)
    context.caller.sendall(b"GET /late HTTP/1.1\r\nHost: late\r\n\r\n")


@when("the server is closed while the loop is delayed, and the caller sends its request")
def step_close_delayed(context):
    _send_while_delayed(context)
    context.server.close()
    context.closed.set()


@when("the server drains and is closed, and the caller has sent its request")
def step_drain_delayed(context):
    _send_while_delayed(context)
    context.server.drain(5.0)
    context.server.close()
    context.closed.set()


@then("the caller is answered")
def step_answered(context):
    context.caller.settimeout(5.0)
    answer = context.caller.recv(100)
    assert answer.startswith(b"HTTP/1.1 200"), answer


@then("the caller is answered or its connection is closed")
def step_not_left_waiting(context):
    context.caller.settimeout(5.0)
    try:
        answer = context.caller.recv(100)
    except ConnectionResetError:
        return
    except TimeoutError as error:
        raise AssertionError("the connection is open and nothing serves it") from error
    assert answer == b"" or answer.startswith(b"HTTP/1.1 200"), answer


@given("a server with {count:d} threads, each of which is about to hand over its connection")
def step_handing_over(context, count):
    context.detached = queue.Queue()

    def detach(request):
        request.detach(context.detached.put)
        return Response(200, [b"first"], "text/plain")

    _start_blocked(context, count, detach)


@when("the server has closed before its threads finish, and new connections reuse its descriptors")
def step_closed_first(context):
    context.pairs = []
    dispatcher = context.server._server.task_dispatcher
    open_before = _open_descriptors()
    context.server.close()
    _reuse_descriptors(context, open_before - _open_descriptors())
    context.release.set()
    eventually(lambda: not dispatcher.threads, "the threads have exited")


@then("each of them is told that its caller has left")
def step_told(context):
    for _ in context.calls:
        try:
            assert context.detached.get(timeout=5.0) is None
        except queue.Empty as error:
            raise AssertionError("a stream was not told that its caller has left") from error

"""Steps on a server that is closed while its threads are at work."""

import os
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool
from brassdrum.wsgi import HttpServer, Response, Router
from features.support import eventually

# Far more than a closed server leaves free.
MOST_CONNECTIONS = 100


def _open_descriptors():
    return {int(name) for name in os.listdir("/proc/self/fd")}


def _call(url):
    try:
        return HttpPool(url).call("GET", "/held")
    except (ConnectFailedError, ExchangeFailedError) as error:
        return error


@given("a server whose {count:d} threads are each at work on a request")
def step_server(context, count):
    context.release = threading.Event()
    context.stack.push(context.release.set)
    arrived = threading.Semaphore(0)

    def held(_request):
        arrived.release()
        context.release.wait(30)
        return Response(200, [b"late"], "text/plain")

    router = Router()
    router.add("GET", "/held", held)
    context.server = HttpServer(router, "127.0.0.1", 0, count)
    context.server.start()
    callers = ThreadPoolExecutor(count)
    context.stack.push(callers.shutdown)
    url = f"http://127.0.0.1:{context.server.port}"
    context.calls = [callers.submit(_call, url) for _ in range(count)]
    for _ in range(count):
        assert arrived.acquire(timeout=30)


def _take_numbers(context, free):
    """Open connections until they have the numbers of descriptors that are free now."""
    while free and len(context.pairs) < MOST_CONNECTIONS:
        pair = socket.socketpair()
        context.stack.push(pair[0].close)
        context.stack.push(pair[1].close)
        context.pairs.append(pair)
        free -= {pair[0].fileno(), pair[1].fileno()}
    assert not free, free


@when("the server is closed, and while it waits for its threads new connections take free numbers")
def step_closed(context):
    context.pairs = []
    dispatcher = context.server._server.task_dispatcher
    shutdown = dispatcher.shutdown
    before = _open_descriptors()

    def slow_shutdown(*arguments, **named):
        # A host with more work than cores: all this comes between two steps of the closing thread.
        _take_numbers(context, before - _open_descriptors())
        context.release.set()
        eventually(lambda: dispatcher.active_count == 0, "the threads have ended their requests")
        return shutdown(*arguments, **named)

    dispatcher.shutdown = slow_shutdown
    context.server.close()
    _take_numbers(context, before - _open_descriptors() - _numbers(context))
    eventually(lambda: not dispatcher.threads, "the threads have ended")


def _numbers(context):
    return {end.fileno() for pair in context.pairs for end in pair}


@then("nothing was written to the new connections")
def step_nothing(context):
    written = []
    for end in (each for pair in context.pairs for each in pair):
        end.setblocking(False)
        try:
            written.append(end.recv(100))
        except BlockingIOError:
            continue
    assert not written, written

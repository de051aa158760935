"""Steps for daemons that get more connections than they can read."""

import errno
import selectors
import socket
import threading
import time

from behave import given, then, when

from brassdrum.bench.crowd import CrowdPlan, play_crowd
from brassdrum.clock import ManualClock, SystemClock
from brassdrum.gateway.net.accept_gate import AcceptGate
from brassdrum.gateway.net.callers import Listener
from brassdrum.gateway.net.loop import EventLoop
from features.gateway_world import HOST, KEY
from features.steps.gateway_steps import send_request
from features.support import eventually

HELD_UP_SECONDS = 0.4
SENT_TIMEOUT_SECONDS = 10


@given("a gate for {count:d} connections")
def step_gate(context, count):
    context.gate = AcceptGate(count)


@then("a connection is {outcome:w} beside {others:d} others while events wait for {lag:g} s")
def step_gate_checked(context, outcome, others, lag):
    admission = context.gate.check(others, lag)
    assert admission.admitted is (outcome == "taken"), admission
    assert bool(admission.reason) is (outcome == "closed"), admission


@given("an event loop on a manual clock")
def step_manual_loop(context):
    context.clock = ManualClock()
    context.loop = EventLoop(context.clock)


@when("an event of it takes {seconds:g} s")
def step_event_takes(context, seconds):
    def work():
        context.clock.advance(seconds)
        context.lag_meanwhile = context.loop.lag

    context.loop.post(work)
    context.loop.stop()
    context.loop.run()


@then("it says meanwhile and after it that events wait for {seconds:g} s")
def step_lag(context, seconds):
    assert abs(context.loop.lag - seconds) < 1e-6, context.loop.lag
    assert context.lag_meanwhile >= seconds - 1e-6, context.lag_meanwhile


@when("its event loop is held up while a caller connects")
def step_held_up(context):
    gateway = context.gateways[0]
    gateway.daemon._ports.accept_gate = gateway.accept_gate
    begun, sent = threading.Event(), threading.Event()

    def hold_up():
        # On a loaded machine this thread may connect late: the loop is held up until it has.
        begun.set()
        sent.wait(SENT_TIMEOUT_SECONDS)
        time.sleep(HELD_UP_SECONDS)

    gateway.daemon.loop.post(hold_up)
    # A loop that wakes late would accept the connection in the round before it is held up.
    assert begun.wait(SENT_TIMEOUT_SECONDS)
    context.caller = socket.create_connection((gateway.host, gateway.port))
    context.stack.push(context.caller.close)
    head = f"POST /text/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: held-up\r\nX-Key: {KEY}\r\n"
    context.caller.sendall(
        head.encode() + b"X-Deadline-Remaining: 9000\r\nContent-Length: 0\r\n\r\n"
    )
    sent.set()


@when("the event loop of that busy interpreter is held up")
def step_interpreter_held_up(context):
    context.gateways[0].daemon.loop.post(lambda: time.sleep(HELD_UP_SECONDS))


@then("a caller that connects meanwhile is served")
def step_served_meanwhile(context):
    assert send_request(context, "check").status == 200


@then("that caller's connection is closed without an answer")
def step_closed_unread(context):
    context.caller.settimeout(10)
    try:
        received = context.caller.recv(1)
    except ConnectionResetError:
        received = b""
    assert received == b"", received


@then("no endpoint got its request")
def step_not_sent(context):
    assert not any(
        request.header_by_name.get("x-attempt-id") == "held-up"
        for endpoint in context.endpoints
        for request in endpoint.requests
    )


@then("the next caller is served")
def step_next_served(context):
    gateway = context.gateways[0]
    eventually(lambda: gateway.daemon.loop.lag < 0.1, "the event loop has caught up")
    assert send_request(context, "check").status == 200


class FullProcess:
    """Stand in for a listening socket in a process without free descriptors."""

    def __init__(self, sock):
        self._socket = sock
        self.full = True
        self.tries = 0

    def accept(self):
        """Accept a connection, or fail for want of descriptors."""
        self.tries += 1
        if self.full:
            raise OSError(errno.EMFILE, "Too many open files")
        return self._socket.accept()

    def __getattr__(self, name):
        return getattr(self._socket, name)


@given("a listener whose process has no free descriptors")
def step_full_process(context):
    context.loop = EventLoop(SystemClock())
    context.accepted = []
    context.listener = Listener(context.loop, "127.0.0.1", 0, context.accepted.append)
    context.full = context.listener._socket = FullProcess(context.listener._socket)
    context.loop.watch(context.full, selectors.EVENT_READ, context.listener._accept_pending)


def run_loop(context, seconds):
    context.loop.call_later(seconds, context.loop.stop)
    context.loop.run()


@when("a caller connects and {seconds:g} s pass")
def step_connects(context, seconds):
    context.caller = socket.create_connection(("127.0.0.1", context.listener.port))
    context.stack.push(context.caller.close)
    run_loop(context, seconds)


@then("the listener has tried at most {count:d} times")
def step_tries(context, count):
    assert 0 < context.full.tries <= count, context.full.tries


@when("descriptors are free again")
def step_free(context):
    context.full.full = False
    run_loop(context, 0.2)


@then("the connection is accepted")
def step_accepted(context):
    assert len(context.accepted) == 1, context.accepted
    context.accepted[0].close()
    context.listener.close()


@when("one of {daemons:d} daemons after the other gets most new connections")
def step_crowd(context, daemons):
    context.crowd = play_crowd(CrowdPlan(daemons))


@when(
    "one of {daemons:d} daemons after the other gets most new connections, "
    "and reading one takes it {read_ms:g} ms"
)
def step_slow_crowd(context, daemons, read_ms):
    context.crowd = play_crowd(CrowdPlan(daemons, read_ms=read_ms))


@then("first tries that it has read are served at least three quarters as often as before")
def step_crowd_served(context):
    crowd = context.crowd
    assert crowd.first_tries >= 20 and crowd.served >= 0.75 * crowd.served_before > 0, crowd


@then("most connections that it closed unread were served by another daemon")
def step_served_elsewhere(context):
    crowd = context.crowd
    assert crowd.closed_unread > 0 and 2 * crowd.served_elsewhere > crowd.closed_unread, crowd

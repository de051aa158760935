"""Steps on the pauses of a soak's replicas."""

import socket
import time

from behave import then

from brassdrum.soak.plan import FAULT_KINDS, draw_plan
from brassdrum.soak.proxy import Proxy
from features.support import StepThread

PAUSE = "pause_replicas"


@then(
    "the pauses of {count:d} seeds last {shortest:g} to {longest:g} seconds and end within a run "
    "of {seconds:d} seconds"
)
def step_pauses(context, count, shortest, longest, seconds):
    context.plans = [draw_plan(seed, float(seconds)) for seed in range(count)]
    found = [fault for plan in context.plans for fault in plan if fault.kind == PAUSE]
    assert len(found) > 2 * count, len(found)
    assert all(shortest <= fault.seconds <= longest for fault in found), found
    assert all(fault.at + fault.seconds <= seconds for fault in found), found


@then("some of them follow each other at once, overlap and have each kind of fault in them")
def step_series(context):
    kinds, series, overlapping = set(), 0, 0
    for plan in context.plans:
        pauses = [fault for fault in plan if fault.kind == PAUSE]
        for pause in pauses:
            end = pause.at + pause.seconds
            kinds |= {fault.kind for fault in plan if pause.at < fault.at < end}
            overlapping += any(pause.at < other.at < end for other in pauses)
            series += any(end <= other.at < end + 0.5 for other in pauses)
    assert kinds == set(FAULT_KINDS), set(FAULT_KINDS) - kinds
    assert series > 20, series
    assert overlapping > 20, overlapping


def answer_all(server):
    while True:
        try:
            connection, _ = server.accept()
        except OSError:
            return
        connection.sendall(connection.recv(100).upper())


@then(
    "a proxy whose target pauses for {seconds:g} seconds passes on afterwards what came before "
    "and in it"
)
def step_paused_proxy(context, seconds):
    server = socket.create_server(("127.0.0.1", 0))
    context.stack.push(server.close)
    StepThread(context, answer_all, server, unblock=lambda: server.shutdown(socket.SHUT_RDWR))
    context.received = []
    proxy = Proxy(
        f"127.0.0.1:{server.getsockname()[1]}",
        on_received=lambda data, process, at: context.received.append((data, at)),
    )
    context.stack.push(proxy.close)
    host, port = proxy.address.split(":")
    with socket.create_connection((host, int(port)), timeout=20) as before:
        context.until = time.monotonic() + seconds
        proxy.pause_until(context.until)
        before.sendall(b"before")
        with socket.create_connection((host, int(port)), timeout=20) as during:
            during.sendall(b"during")
            for connection in (before, during):
                assert connection.recv(100).isupper()
                assert time.monotonic() >= context.until
    with socket.create_connection((host, int(port)), timeout=20) as after:
        after.sendall(b"after")
        assert after.recv(100) == b"AFTER"


@then("it says when that reached the target's host")
def step_received_at(context):
    at_by_data = dict(context.received)
    assert at_by_data[b"before"] < context.until
    assert at_by_data[b"during"] < context.until
    assert at_by_data[b"after"] >= context.until

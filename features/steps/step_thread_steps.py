"""Steps on the threads that steps start."""

import ast
import functools
import socket
from pathlib import Path

from behave import given, then, when

from features.gateway_world import call
from features.steps.gateway_steps import BackgroundCaller
from features.support import Stack, eventually

STEPS = Path(__file__).parent
# It starts and joins its timer in one step.
JOINING_STEPS = {("stream_steps.py", "step_engine_dies")}


class Scenario:
    """The part of a context that a step's thread uses."""

    def __init__(self):
        self.stack = Stack()


@given("a scenario in which a caller waits for a response that never comes")
def step_waiting(context):
    server = socket.create_server(("127.0.0.1", 0))
    context.stack.push(server.close)
    context.other = Scenario()
    host, port = server.getsockname()
    context.background = BackgroundCaller(
        context.other, functools.partial(call, host, port, "GET", "/never")
    )
    connection, _ = server.accept()
    context.stack.push(connection.close)
    assert connection.recv(1000)
    eventually(lambda: context.background.waiting, "the caller waits")


@when("that scenario ends")
def step_ends(context):
    context.other.stack.close()


@then("its caller has ended, and the context holds no answer")
def step_ended(context):
    assert not context.background.waiting
    assert not hasattr(context.other, "answer")


@then("no step file starts a thread or timer that its scenario might leave behind")
def step_no_own_threads(_context):
    found = [
        (path.name, function.name)
        for path in sorted(STEPS.glob("*.py"))
        for function in ast.walk(ast.parse(path.read_text()))
        if isinstance(function, ast.FunctionDef) and _starts_thread(function)
    ]
    assert set(found) <= JOINING_STEPS, found


def _starts_thread(function):
    for node in ast.walk(function):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        if name in ("Thread", "Timer"):
            return True
    return False

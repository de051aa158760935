"""Steps for the replacement, draining and loss of daemons and endpoints."""

import re
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from brassdrum.caller import Answer, Caller
from brassdrum.errors import PlatformUnavailableError
from brassdrum.http_pool import ExchangeFailedError
from brassdrum.standins.site import MODEL
from features.steps.caller_steps import completion_body
from features.steps.stream_steps import event_texts, expected_texts
from features.support import Load, StepThread, eventually

# Covers the notice and the drain time of a daemon that stops.
STOP_SECONDS = 90.0


@when("every daemon is replaced gracefully under load")
def step_replace(context):
    site = context.site
    live = [Caller(daemon.url, context.secret) for daemon in site.daemons]
    load = Load(lambda: list(live), lambda caller, name: caller.complete(MODEL, name, 40))
    old = list(site.daemons)
    for number, daemon in enumerate(old):
        replacement = site.start_daemon(f"replacement-{number}")
        eventually(lambda daemon=replacement: daemon.not_ready() is None, "replacement is ready")
        live.append(Caller(replacement.url, context.secret))
        stopping = StepThread(context, daemon.stop)
        # A load balancer stops sending requests to a daemon that is not ready.
        live.pop(0)
        stopping.result(STOP_SECONDS)
        site.daemons.remove(daemon)
    context.answers = load.finish()


@then("every request got a complete response")
def step_all_complete(context):
    bad = [answer for answer in context.answers if not answer.whole]
    assert len(context.answers) > 50 and not bad, bad[:3]


@then("a new daemon holds the checkpoint duty")
def step_checkpoint_duty(context):
    names = {daemon.settings.name for daemon in context.site.daemons}

    def held():
        lease = context.site.daemons[0]._checkpoint_lease()
        return lease is not None and lease.holder in names

    eventually(held, "a new daemon holds the duty")


@when("a stream of {tokens:d} tokens runs at the first process, which gets SIGTERM")
def step_terminate(context, tokens):
    context.tokens = tokens
    first = Caller(context.processes[0].url, context.secret)
    answer = Answer()
    stream = first.stream(
        "POST",
        "/v1/completions",
        completion_body(max_tokens=tokens),
        None,
        answer,
        time.monotonic(),
    )
    for _ in stream:
        if answer.tokens == 5:
            context.processes[0].terminate()
    context.answer = answer


@then("the stream is complete and the process exits successfully")
def step_stream_complete(context):
    assert context.answer.whole
    assert event_texts(context.answer.body)[:-1] == expected_texts(context.tokens)
    assert context.processes[0].process.wait(timeout=30) == 0


def _kill(process):
    """Kill a process if it still runs, and release its resources."""
    if process.poll() is None:
        process.kill()
    process.wait()
    process.stdout.close()


@given("a process that waits for a stop signal {rounds:d} times")
def step_waiter(context, rounds):
    waiter = Path(__file__).parents[1] / "stop_waiter.py"
    command = [sys.executable, str(waiter), str(rounds)]
    context.waiter = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.stack.push(lambda: _kill(context.waiter))


@when("it gets three signals in a row during each wait")
def step_signals(context):
    waiter = context.waiter

    def send_signals():
        for number, _ in enumerate(waiter.stdout):
            # Lets the process enter the wait; correctness does not depend on this delay.
            time.sleep(0.01)
            for _ in range(3):
                waiter.send_signal(signal.SIGTERM)
                # Pending signals are merged; the delay lets each arrive while the process handles
                # the previous one.
                time.sleep(number % 4 * 1e-5)

    context.sender = StepThread(context, send_signals)


@then("every wait ends and the process exits successfully")
def step_all_received(context):
    assert context.waiter.wait(timeout=30) == 0
    context.sender.result()


@when("the first engine is marked as leaving on the host list")
def step_leaving(context):
    name = context.site.engines[0].settings.name
    context.site.platform.put_host(name, role="endpoint", state="leaving")


@when("the first engine says that it is draining")
def step_draining(context):
    context.site.engines[0].draining = True


@when("the host list fails")
def step_host_list_unavailable(context):
    time.sleep(1.0)
    context.site.platform.faults.hosts_down = True


@when("the host list fails for the first daemon only")
def step_host_list_unavailable_for_one(context):
    class FailingHosts:
        def read(self):
            raise PlatformUnavailableError("The host list did not answer.")

    context.site.daemons[0]._hosts._hosts = FailingHosts()


@then("no daemon sends it new requests after {seconds:d} seconds")
def step_no_new_requests(context, seconds):
    time.sleep(seconds)
    engine = context.site.engines[0]
    started = engine.started
    for daemon in context.site.daemons:
        caller = Caller(daemon.url, context.secret)
        for number in range(10):
            assert caller.complete(MODEL, f"new {number}", 2).whole
    assert engine.started == started


def _stream_with_reconnect(context, number):
    caller = Caller(context.processes[0].url, context.secret)
    answer = Answer()
    body = completion_body(max_tokens=400, prompt=f"caller {number}")
    stream = caller.stream("POST", "/v1/completions", body, None, answer, time.monotonic())
    try:
        for _ in stream:
            context.first_tokens[number] = answer.tokens
    except ExchangeFailedError:
        pass
    received = answer.body[: answer.body.rfind(b"\n\n") + 2]
    last = re.findall(rb"id: (\d+)\n", received)[-1].decode()
    headers = {
        "Brassdrum-Resume-Token": answer.headers["Brassdrum-Resume-Token"],
        "Last-Event-ID": last,
    }
    rest = Caller(context.processes[1].url, context.secret).send("GET", "/v1/resume", None, headers)
    return rest.whole and event_texts(received + rest.body)[:-1] == expected_texts(400)


@when("{count:d} streams run at the first process, which is killed")
def step_streams_killed(context, count):
    context.first_tokens = dict.fromkeys(range(count), 0)
    with ThreadPoolExecutor(count) as executor:
        futures = [
            executor.submit(_stream_with_reconnect, context, number) for number in range(count)
        ]
        eventually(lambda: min(context.first_tokens.values()) > 3, "all streams run")
        context.processes[0].kill()
        context.results = [future.result() for future in futures]


@then("every caller has the complete response after one reconnect")
def step_reconnected(context):
    assert all(context.results), context.results

"""Steps on daemons and endpoints that come and go."""

import re
import signal
import subprocess
import sys
import threading
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
from features.support import Load, eventually


@when("every daemon is replaced gracefully while callers send requests")
def step_replace(context):
    site = context.site
    live = [Caller(daemon.url, context.secret) for daemon in site.daemons]
    load = Load(lambda: list(live), lambda caller, name: caller.complete(MODEL, name, 40))
    old = list(site.daemons)
    for number, daemon in enumerate(old):
        newcomer = site.start_daemon(f"replacement-{number}")
        eventually(lambda daemon=newcomer: daemon.not_ready() is None, "newcomer ready")
        live.append(Caller(newcomer.url, context.secret))
        stopping = threading.Thread(target=daemon.stop)
        stopping.start()
        # The balancer sees "not ready" and sends no more.
        live.pop(0)
        stopping.join()
        site.daemons.remove(daemon)
    context.answers = load.finish()


@then("no request was cut and none was refused but by a daemon that was already not ready")
def step_uncut(context):
    bad = [answer for answer in context.answers if not answer.whole]
    assert len(context.answers) > 50 and not bad, bad[:3]


@then("the duty of writing checkpoints has a holder among the new daemons")
def step_duty(context):
    names = {daemon.settings.name for daemon in context.site.daemons}

    def held():
        lease = context.site.daemons[0]._checkpoint_lease()
        return lease is not None and lease.holder in names

    eventually(held, "a new holder")


@when("a stream of {tokens:d} tokens runs at the first process, which is told to stop")
def step_stop(context, tokens):
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


@then("the stream ends whole and the process ends by itself")
def step_ended(context):
    assert context.answer.whole
    assert event_texts(context.answer.body)[:-1] == expected_texts(context.tokens)
    assert context.processes[0].process.wait(timeout=30) == 0


def _end(process):
    """End a process that a step started, if it still runs."""
    if process.poll() is None:
        process.kill()
    process.wait()
    process.stdout.close()


@given("a process that waits to be told to stop, {rounds:d} times")
def step_waiter(context, rounds):
    waiter = Path(__file__).parents[1] / "stop_waiter.py"
    command = [sys.executable, str(waiter), str(rounds)]
    context.waiter = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.stack.push(lambda: _end(context.waiter))


@when("it is told so three times in a row before each wait ends")
def step_told(context):
    waiter = context.waiter

    def tell():
        for number, _ in enumerate(waiter.stdout):
            # Time to be in the midst of the wait; any other time must do as well.
            time.sleep(0.01)
            for _ in range(3):
                waiter.send_signal(signal.SIGTERM)
                # Signals that come together are one to the process; these come while it handles
                # the one before.
                time.sleep(number % 4 * 1e-5)

    context.telling = threading.Thread(target=tell, daemon=True)
    context.telling.start()


@then("the process has heard of it each time")
def step_heard(context):
    assert context.waiter.wait(timeout=30) == 0
    context.telling.join()


@when("the first engine is marked as leaving on the host list")
def step_leaving(context):
    name = context.site.engines[0].settings.name
    context.site.platform.put_host(name, role="endpoint", state="leaving")


@when("the first engine says that it is draining")
def step_draining(context):
    context.site.engines[0].draining = True


@when("the host list fails")
def step_hosts_fail(context):
    time.sleep(1.0)
    context.site.platform.faults.hosts_down = True


@when("the host list fails for the first daemon only")
def step_hosts_fail_one(context):
    class FailingHosts:
        def read(self):
            raise PlatformUnavailableError("The host list did not answer.")

    context.site.daemons[0]._hosts._hosts = FailingHosts()


@then("no daemon sends it new work after {seconds:d} seconds")
def step_no_new(context, seconds):
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
    part = answer.body[: answer.body.rfind(b"\n\n") + 2]
    last = re.findall(rb"id: (\d+)\n", part)[-1].decode()
    headers = {
        "Brassdrum-Resume-Token": answer.headers["Brassdrum-Resume-Token"],
        "Last-Event-ID": last,
    }
    rest = Caller(context.processes[1].url, context.secret).send("GET", "/v1/resume", None, headers)
    return rest.whole and event_texts(part + rest.body)[:-1] == expected_texts(400)


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


@then("every caller has its whole answer after one reconnect")
def step_reconnected(context):
    assert all(context.results), context.results

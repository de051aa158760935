"""Steps on logs, metrics and the commands that read them."""

import io
import json
import logging
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from brassdrum.clock import ManualClock, SystemClock
from brassdrum.errors import InvalidDocumentError
from brassdrum.platform.settings import PATH_VARIABLE
from brassdrum.platform.standin import boot_file
from brassdrum.standins.ports import free_port
from brassdrum.telemetry import log_events
from brassdrum.telemetry.bounded_logs import BoundedJsonHandler
from brassdrum.telemetry.log_events import LOG_EVENTS, markdown_table
from brassdrum.telemetry.trace import causes_of_loss, read_lines, story_of
from features.gateway_world import KEY
from features.steps.gateway_steps import send_request
from features.support import StepThread, eventually

PAGE = Path(__file__).parents[2] / "docs" / "operations" / "logs.md"
# A signal from outside may reach any thread. That of a fault reaches the thread that caused it, as
# does one that the main thread raises itself.
FAULTY_GATEWAY = """
import signal, sys
from brassdrum.cli import main
signal.signal(signal.SIGUSR1, lambda *_: signal.raise_signal(signal.SIGILL))
sys.exit(main(["gateway"]))
"""
SERVED = dict.fromkeys(log_events.SERVED.fields, 1)
FAILED = dict.fromkeys(log_events.FAILED.fields, 1)


def logger_with(context, handler):
    logger = logging.getLogger("features.explaining")
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel("INFO")
    logging.disable(logging.NOTSET)
    context.stack.push(lambda: logger.handlers.clear())
    context.stack.push(handler.close)
    context.logger = logger


@given("a log whose reader has stopped")
def step_stopped(context):
    reader, writer = os.pipe()
    context.handler = BoundedJsonHandler(os.fdopen(writer, "w"), "d", SystemClock(), 10**6)
    logger_with(context, context.handler)
    context.stack.push(lambda: os.close(reader))


@given("a log with {lines:d} lines a second")
def step_budget_of_lines(context, lines):
    context.clock = ManualClock()
    context.stream = io.StringIO()
    context.handler = BoundedJsonHandler(context.stream, "d", context.clock, lines)
    logger_with(context, context.handler)


@when("{lines:d} lines are logged")
def step_lines(context, lines):
    def write():
        for _ in range(lines):
            log_events.FAILED.write(context.logger, **FAILED)

    context.writer = StepThread(context, write)


@when("{served:d} served and {failed:d} failed requests are logged in one second")
def step_flood(context, served, failed):
    for number in range(served):
        log_events.SERVED.write(context.logger, **SERVED)
        if number % (served // failed) == 0:
            log_events.FAILED.write(context.logger, **FAILED)


@then("the caller was never stopped")
def step_not_stopped(context):
    context.writer.result(20)


@then("the lines that did not fit are counted")
def step_counted(context):
    assert context.handler.dropped["failure"] > 0


def written(context, event):
    return [line for line in context.stream.getvalue().splitlines() if f'"{event}"' in line]


@then("all {failed:d} failed ones are explained")
def step_explained(context, failed):
    eventually(lambda: len(written(context, "not served")) == failed, "all are written")
    assert len(written(context, "served")) < 100


@then("in the next second a line counts what was left out")
def step_left_out(context):
    context.clock.advance(1.0)
    log_events.SERVED.write(context.logger, **SERVED)
    eventually(lambda: written(context, "lines left out"), "the count is written")
    line = json.loads(written(context, "lines left out")[0])
    assert line["counts"]["request"] > 900


@then("an event with a missing or unknown field is refused")
def step_fields(context):
    logger = logging.getLogger("features.explaining")
    for values in ({}, {**SERVED, "other": 1}):
        try:
            log_events.SERVED.write(logger, **values)
        except TypeError:
            continue
        raise AssertionError(f"fields {values} were taken")


@then("the operators' page lists every event of the table")
def step_page(context):
    assert list(LOG_EVENTS)
    assert markdown_table() in PAGE.read_text()


@given("its log is kept")
def step_kept(context):
    folder = tempfile.TemporaryDirectory()
    context.stack.push(folder.cleanup)
    context.log_file = Path(folder.name) / "daemon.log"
    stream = context.log_file.open("w")
    handler = BoundedJsonHandler(stream, "daemon-2", SystemClock(), 1000)
    root = logging.getLogger("brassdrum.gateway")
    root.addHandler(handler)
    root.setLevel("INFO")
    logging.disable(logging.NOTSET)
    context.stack.push(stream.close)
    context.stack.push(handler.close)
    context.stack.push(lambda: root.removeHandler(handler))
    context.stack.push(lambda: root.setLevel(logging.NOTSET))


def lines(context):
    return list(read_lines([context.log_file]))


@then("its story names the endpoint and the cause")
def step_story(context):
    eventually(lambda: story_of("request-1", lines(context)).ending, "the end is written")
    story = story_of("request-1", lines(context))
    assert [line.event for line in story.lines] == ["placed", "not served"]
    assert "502" in story.verdict()
    assert "endpoint-" in story.verdict(), story.verdict()


@then("one cause counts {count:d} requests and names examples")
def step_causes(context, count):
    eventually(lambda: len(lines(context)) >= 2 * count, "all lines are written")
    first = causes_of_loss(lines(context))[0]
    assert first.count == count
    assert set(first.examples) == {f"request-{number}" for number in range(1, count + 1)}
    assert causes_of_loss(lines(context), since="9") == []


@then("the log names neither the key nor the body")
def step_secret(context):
    eventually(lambda: lines(context), "lines are written")
    text = context.log_file.read_text()
    assert KEY not in text
    assert "the body" not in text


@then("the metrics page counts {served:d} served requests and {endpoints:d} endpoints")
def step_metrics(context, served, endpoints):
    page = context.gateways[0].daemon.metrics.page().decode()
    counted = [line for line in page.splitlines() if "requests_total{" in line]
    assert any('outcome="served"' in line and line.endswith(f" {served}.0") for line in counted)
    shown = [line for line in page.splitlines() if line.startswith("brassdrum_gateway_endpoints")]
    assert shown[0].endswith(f" {endpoints}.0"), shown


@then("the metrics page compares {events:d} first event with its prediction")
def step_compared(context, events):
    page = context.gateways[0].daemon.metrics.page().decode()
    counted = [line for line in page.splitlines() if "prediction_ratio_count{" in line]
    assert [line for line in counted if line.endswith(f" {events}.0")], counted


def reload_settings(context, read):
    daemon = context.gateways[0].daemon
    daemon.loop.post(lambda: daemon._reload(read))


@when("the settings are read again and are broken")
def step_reload_broken(context):
    def read():
        raise InvalidDocumentError("The settings file has no zone.")

    context.before = context.gateways[0].daemon.settings
    reload_settings(context, read)


@then("the old settings stay and the log says why")
def step_old_settings(context):
    eventually(
        lambda: any(line.event == "settings kept" for line in lines(context)), "the reason is told"
    )
    assert context.gateways[0].daemon.settings == context.before
    assert send_request(context, "check").status == 200


@when("the settings are read again with a longer grace time")
def step_reload(context):
    settings = context.gateways[0].daemon.settings
    changed = replace(settings, bounds=replace(settings.bounds, grace=9.0))
    reload_settings(context, lambda: changed)


@then("the new grace time is in force")
def step_new_settings(context):
    daemon = context.gateways[0].daemon
    eventually(lambda: daemon.settings.bounds.grace == 9.0, "the settings are in force")


@given("the process of a daemon that reaches no store")
def step_daemon_process(context):
    folder = tempfile.TemporaryDirectory()
    context.stack.push(folder.cleanup)
    path = Path(folder.name) / "boot.json"
    ports = (free_port(), free_port(), free_port())
    boot_file(path, "daemon-1", "127.0.0.1", ports, f"127.0.0.1:{free_port()}")
    context.process = subprocess.Popen(
        [sys.executable, "-c", FAULTY_GATEWAY],
        env={**os.environ, PATH_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.stack.push(context.process.kill)
    process = context.process
    first_line = StepThread(context, process.stdout.readline, unblock=process.kill)
    assert "daemon started" in first_line.result()


@when("a fault in native code ends it")
def step_native_fault(context):
    context.process.send_signal(signal.SIGUSR1)
    _, context.standard_error = context.process.communicate(timeout=30)


@then("its standard error names the fault and where its main thread was")
def step_native_fault_shown(context):
    assert context.process.returncode == -signal.SIGILL
    assert "Illegal instruction" in context.standard_error, context.standard_error
    assert "serve.py" in context.standard_error, context.standard_error

"""Steps that start a site and check its state."""

import json

from behave import given, then, when

from brassdrum.caller import Caller
from brassdrum.contracts.documents import Urgency
from brassdrum.http_pool import HttpPool
from brassdrum.logservice.log import HttpLog
from brassdrum.settings import EngineStandinSettings
from brassdrum.standins.site import MODEL, Site, SiteShape, sample_contract
from features.support import DaemonProcess, eventually

ENGINE = EngineStandinSettings(
    name="engine", models=[MODEL], speed=10.0, report_lag_seconds=0.1, resume_seconds=5.0
)


def start_site(context, daemons, engines, engine=ENGINE, **limits):
    context.secret, context.contract = sample_contract("quilters", Urgency.INTERACTIVE, **limits)
    shape = SiteShape(daemons=daemons, engines=engines, engine=engine, daemon_threads=48)
    context.site = Site(shape)
    context.stack.push(context.site.close)
    context.site.start([context.contract])


def caller(context, number=0, secret=None):
    return Caller(context.site.daemons[number].url, secret or context.secret, 60.0)


def log_of(context):
    return HttpLog(context.site.platform.url, 5.0)


@given("a site of {daemons:d} daemons and {engines:d} engines")
@given("a site of {daemons:d} daemon and {engines:d} engines")
@given("a site of {daemons:d} daemons and {engines:d} engine")
@given("a site of {daemons:d} daemon and {engines:d} engine")
def step_site(context, daemons, engines):
    start_site(context, daemons, engines)


@given("a site of {daemons:d} daemons and {engines:d} engines that prefill fast")
def step_fast_site(context, daemons, engines):
    fast = ENGINE.model_copy(update={"speed": 200.0, "resume_seconds": 1.0})
    start_site(context, daemons, engines, fast)


@given("a site of {daemons:d} daemons whose contract allows {limits}")
def step_limited_site(context, daemons, limits):
    numbers = {}
    for part in limits.split(" and "):
        value, name = part.split(" ", 1)
        numbers[name.replace(" ", "_")] = float(value)
    start_site(context, daemons, 2, **numbers)


@given("a site of {daemons:d} daemons whose engine {fault} {percent:d} of 100 answers")
def step_faulty_site(context, daemons, fault, percent):
    start_site(context, daemons, 1)
    body = json.dumps({fault: percent / 100}).encode()
    HttpPool(context.site.engines[0].url).call("POST", "/faults", body)


@given("two daemons in processes of their own")
def step_processes(context):
    context.processes = []
    for name in ("process-1", "process-2"):
        process = DaemonProcess(context.site, name)
        context.stack.push(process.close)
        context.processes.append(process)
    for process in context.processes:
        eventually(lambda process=process: process.ready(context.secret), "process is ready")


@when("one more daemon starts")
def step_additional_daemon(context):
    number = len(context.site.daemons) + 1
    context.newcomer = context.site.start_daemon(f"daemon-{number}")


@when("the platform is down")
@given("the platform is down")
def step_platform_down(context):
    context.site.platform.faults.down = True


@when("the platform is up again")
def step_platform_up(context):
    context.site.platform.faults.down = False


@then("the newcomer is ready")
def step_newcomer_ready(context):
    eventually(lambda: context.newcomer.not_ready() is None, "new daemon is ready")


@then("the newcomer is not ready because {reason}")
def step_newcomer_not_ready(context, reason):
    eventually(lambda: reason in (context.newcomer.not_ready() or ""), reason)


@then("the newcomer holds revision {revision:d}")
def step_newcomer_revision(context, revision):
    assert context.newcomer.core.control.revision == revision


@then("every daemon holds revision {revision:d}")
def step_revision(context, revision):
    eventually(
        lambda: all(d.core.control.revision == revision for d in context.site.daemons),
        f"revision {revision} everywhere",
    )


@then("status shows {count:d} skipped records")
@then("status shows {count:d} skipped record")
def step_skipped_records(context, count):
    eventually(
        lambda: json.loads(caller(context).send("GET", "/-/status", None).body)["skipped_records"]
        == count,
        "skipped records",
    )

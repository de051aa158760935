"""Steps of operators."""

import contextlib
import io
import json
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from brassdrum.cli import main
from brassdrum.contracts.records import CHECKPOINT_STREAM, CONTROL_STREAM
from brassdrum.daemon.main import Daemon
from brassdrum.logservice.publish import Publisher, read_control_state
from brassdrum.standins.site import MODEL
from features.steps.caller_steps import completion_body
from features.steps.site_steps import caller, log_of, start_site
from features.support import eventually


def publish(context, operator, base=None, share=2.0):
    contract = context.contract.model_copy(update={"share": share})
    return Publisher(log_of(context), operator).publish([contract], base)


@when("two operators change the same contract from the same revision")
def step_race(context):
    base = context.site.daemons[0].core.control.revision
    with ThreadPoolExecutor(2) as executor:
        futures = [executor.submit(publish, context, name, base) for name in ("anna", "björn")]
        context.judgements = [future.result() for future in futures]


@then("one is accepted and the other is told who came first and what to do")
def step_one(context):
    accepted = [item for item in context.judgements if item.accepted]
    refused = [item for item in context.judgements if not item.accepted]
    assert len(accepted) == len(refused) == 1
    assert f"--base {accepted[0].offset}" in refused[0].reason, refused[0].reason
    context.judgement = accepted[0]


@then("every daemon holds the accepted revision")
def step_all_hold(context):
    eventually(
        lambda: all(
            daemon.core.control.revision == context.judgement.offset
            for daemon in context.site.daemons
        ),
        "the accepted revision everywhere",
    )


@when("the log loses the answers to the next {count:d} appends")
def step_lose(context, count):
    context.site.platform.faults.lose_append_answers = count


@when("the log delays appends by {seconds:d} second")
def step_delay(context, seconds):
    context.site.platform.faults.delay_appends_seconds = float(seconds)


@when("an operator publishes")
def step_publish(context):
    context.judgement = publish(context, "anna")


@then("the publish is accepted once")
def step_once(context):
    assert context.judgement.accepted
    context.site.platform.faults.delay_appends_seconds = 0.0
    fold = read_control_state(log_of(context))
    accepted = [item for item in fold.results_by_id.values() if item.operator == "anna"]
    assert len(accepted) == 1 and accepted[0].accepted


def hold(context, key, number=0):
    path = "/services/remnants/holds"
    headers = {"Idempotency-Key": key, "Effect-Id": key}
    return caller(context, number).send("POST", path, b"{}", headers)


@then("a keyed hold is refused with {code} and was not run")
def step_hold_refused(context, code):
    eventually(
        lambda: not context.site.daemons[0].core.claims.shards[0].tail.log_available, "log down"
    )
    answer = hold(context, "refused-hold")
    assert answer.error["code"] == code and answer.error["ran"] == "no", answer
    assert context.site.services[0].runs_by_id["refused-hold"] == 0


@then("a keyed hold succeeds")
def step_hold(context):
    eventually(lambda: hold(context, "good-hold").status == 200, "hold succeeds")
    assert context.site.services[0].runs_by_id["good-hold"] == 1


@when("one more daemon starts that knows {who}")
def step_newcomer(context, who):
    site = context.site
    settings = site.daemon_settings("newcomer", 0)
    if who == "its peers":
        peers = [daemon.peer_address for daemon in site.daemons]
        settings = settings.model_copy(update={"peers": peers})
    context.newcomer = Daemon(settings)
    context.stack.push(context.newcomer.close)
    context.newcomer.start()


@then("the newcomer holds the revision of the others")
def step_same_revision(context):
    others = context.site.daemons[0].core.control.revision
    assert context.newcomer.core.control.revision == others


@given("a site of {daemons:d} daemons and {engines:d} engine whose log forgets quickly")
def step_forgetful(context, daemons, engines):
    start_site(context, daemons, engines)


@when("a checkpoint was written and everything before it is forgotten")
def step_forget(context):
    log = log_of(context)
    eventually(lambda: log.read(CHECKPOINT_STREAM, 0).records, "a checkpoint")
    time.sleep(0.05)
    # Everything of the control stream is forgotten; the checkpoint stream is kept.
    stream = context.site.platform._state.streams_by_name[CONTROL_STREAM]
    through = log.read(CHECKPOINT_STREAM, 0).records[-1].value["through"]
    with context.site.platform._changed:
        count = through + 1 - stream.first
        del stream.records[:count]
        stream.first += count


@when("{count:d} records of garbage are appended")
def step_garbage(context, count):
    values = [{"kind": "publish"}, 7, {"format": "1", "kind": None}][:count]
    log_of(context).append(CONTROL_STREAM, values)


@when("a record of format {number:d} is appended")
def step_newer(context, number):
    log_of(context).append(CONTROL_STREAM, [{"format": number, "kind": "publish"}])


@then("every daemon is not ready because {reason}")
def step_not_ready(context, reason):
    eventually(
        lambda: all(reason in (daemon.not_ready() or "") for daemon in context.site.daemons),
        reason,
    )


def run_cli(*arguments):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main([str(argument) for argument in arguments])
    return code, out.getvalue(), err.getvalue()


def _contract_file(context, **changes):
    folder = tempfile.TemporaryDirectory()
    context.stack.push(folder.cleanup)
    path = Path(folder.name) / "contract.json"
    content = context.contract.model_dump(mode="json") | changes
    path.write_text(json.dumps(content))
    return path


@when("the command line publishes a contract and waits")
def step_cli_publish(context):
    context.path = _contract_file(context, share=3.0)
    context.base = context.site.daemons[0].core.control.revision
    platform = context.site.platform.url
    context.result = run_cli("publish", context.path, "--platform", platform, "--wait", 20)


@then("it says accepted and in force on {count:d} daemons")
def step_cli_accepted(context, count):
    code, out, err = context.result
    assert code == 0 and "accepted" in out and f"in force on {count} daemons" in out, (out, err)


@when("the command line publishes it again from an old revision")
def step_cli_again(context):
    platform = context.site.platform.url
    context.result = run_cli(
        "publish", context.path, "--platform", platform, "--base", context.base
    )


@then("it exits with {code:d} and says what came first")
def step_cli_refused(context, code):
    assert context.result[0] == code and "another publish came first" in context.result[2]


@then("check names the place of a mistake in a file")
def step_cli_check(context):
    path = _contract_file(context, limits={"concurrency": "many"}, unknown=1)
    code, out, _ = run_cli("check", path)
    assert code == 3 and "limits.concurrency" in out and "unknown: Extra" in out, out
    assert run_cli("check", context.path)[0] == 0
    assert "idempotency_window_seconds" in run_cli("check", "--schema")[1]


@then("status, contracts and explain print what a person needs")
def step_cli_status(context):
    platform = context.site.platform.url
    daemon = context.site.daemons[0].url
    caller(context).send("POST", "/v1/completions", completion_body(), {"X-Request-Id": "asked"})
    assert "contract/quilters" in run_cli("contracts", "list", "--platform", platform)[1]
    assert '"share": 3.0' in run_cli("contracts", "show", "quilters", "--platform", platform)[1]
    assert "refused" in run_cli("contracts", "history", "--platform", platform)[1]
    assert "engine-1" in run_cli("status", "--daemon", daemon)[1]
    account = run_cli("status", "--daemon", daemon, "--organisation", "quilters")[1]
    assert "used_cost" in account
    assert "routed" in run_cli("explain", "asked", "--platform", platform)[1]
    described = ["--organisation", "quilters", "--target", MODEL, "--daemon", daemon]
    assert "short: to engine-1" in run_cli("explain", *described)[1]
    long = run_cli("explain", *described, "--prompt-tokens", 2_000_000)[1]
    assert "prompt_too_long" in long, long

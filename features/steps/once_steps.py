"""Steps for calls that may run at most once."""

import json
import random
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from brassdrum.caller import Caller
from brassdrum.http_pool import HttpPool
from features.steps.operator_steps import hold
from features.steps.site_steps import caller
from features.support import eventually

HOLDS_PATH = "/services/remnants/holds"


def set_service_faults(context, **faults):
    HttpPool(context.site.services[0].url).call("POST", "/faults", json.dumps(faults).encode())


def run_counts(context):
    return context.site.services[0].runs_by_id


@when("{callers:d} callers send {holds:d} holds with keys through {daemons:d} daemons concurrently")
def step_concurrent_holds(context, callers, holds, daemons):
    def send(number):
        while True:
            answer = hold(context, f"hold-{number % holds}", number % daemons)
            if answer.code not in ("request_in_progress", "claim_unavailable"):
                return answer
            time.sleep(0.05)

    with ThreadPoolExecutor(callers) as executor:
        context.answers = list(executor.map(send, range(callers)))
    context.holds = holds


@then("each hold ran once and every answer is that of its run")
def step_each_once(context):
    assert [answer.status for answer in context.answers] == [200] * len(context.answers)
    assert all(json.loads(answer.body)["run"] == 1 for answer in context.answers)
    counts = run_counts(context)
    assert [counts[f"hold-{n}"] for n in range(context.holds)] == [1] * context.holds


@when("the service drops every answer")
def step_drop_all_answers(context):
    set_service_faults(context, drop_answer=1.0)


@when("the service drops a fifth of the answers")
def step_drop_fifth_of_answers(context):
    set_service_faults(context, drop_answer=0.2)


@when("the service delays its answers by {seconds:d} seconds")
def step_delay_answers(context, seconds):
    set_service_faults(context, delay_seconds=seconds)


@when("a hold is sent with a key, then again through another daemon")
def step_twice(context):
    context.answers = [hold(context, "twice", 0), hold(context, "twice", 1)]


@then("both receive the first answer and the second is marked as a replay")
def step_replayed(context):
    first, second = context.answers
    assert first.status == second.status == 200, second.error
    assert first.body == second.body and second.headers["Idempotent-Replay"] == "true"
    assert run_counts(context)["twice"] == 1


@then("the first answer says that the call may have run")
def step_first_may_have_run(context):
    assert context.answers[0].code == "endpoint_failed", context.answers[0]
    assert context.answers[0].error["ran"] == "maybe"
    assert context.answers[0].headers["X-Should-Retry"] == "false"


@then("the second answer says the same and the call ran once")
def step_both_may_have_run(context):
    assert context.answers[1].status == 409, context.answers[1]
    assert context.answers[1].error["ran"] == "maybe"
    assert run_counts(context)["twice"] == 1


@when("a hold is sent without a key")
def step_no_key(context):
    context.answer = caller(context).send("POST", HOLDS_PATH, b"{}", {"Effect-Id": "no-key"})


@then("the answer says that the call may have run, and it ran once")
def step_no_key_once(context):
    assert context.answer.error["ran"] == "maybe", context.answer
    assert run_counts(context)["no-key"] == 1


@when("the lots are listed {count:d} times")
def step_list_lots(context, count):
    path = "/services/remnants/lots"
    context.answers = [caller(context).send("GET", path, None) for _ in range(count)]


@then("all {count:d} calls succeed")
def step_all_succeed(context, count):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * count, statuses
    # Without a retry the scenario would test nothing.
    assert run_counts(context)["/lots"] > count


@when('a hold is sent with key "{key}" and body "{body}"')
def step_key_body(context, key, body):
    headers = {"Idempotency-Key": key}
    context.answer = caller(context).send("POST", HOLDS_PATH, body.encode(), headers)


@when("a hold is sent with a UUIDv7 key from last year")
def step_expired_key(context):
    headers = {"Idempotency-Key": "0190163d-8694-739b-aea5-966c26f8ad91"}
    context.answer = caller(context).send("POST", HOLDS_PATH, b"{}", headers)


@when("a hold is sent with a key through the first process, which is then killed")
def step_kill_first_process(context):
    headers = {"Idempotency-Key": "killed", "Effect-Id": "killed", "Brassdrum-Timeout": "2"}
    first = Caller(context.processes[0].url, context.secret)
    with ThreadPoolExecutor(1) as executor:
        future = executor.submit(first.send, "POST", HOLDS_PATH, b"{}", headers)
        claims = context.site.daemons[0].core.claims.shards[0].fold
        eventually(lambda: len(claims) == 1, "claim read from the log")
        time.sleep(0.3)
        context.processes[0].kill()
        assert future.result().code == "connection"


@then("the second process does not run it and answers that it may have run")
def step_outcome_unknown(context):
    set_service_faults(context, delay_seconds=0)
    second = Caller(context.processes[1].url, context.secret)
    headers = {"Idempotency-Key": "killed", "Effect-Id": "killed"}
    answers = []

    def settled():
        answers.append(second.send("POST", HOLDS_PATH, b"{}", headers))
        return answers[-1].code == "outcome_unknown"

    eventually(settled, "outcome recorded as unknown")
    assert {answer.code for answer in answers} <= {"request_in_progress", "outcome_unknown"}
    assert answers[-1].error["ran"] == "maybe"
    assert run_counts(context)["killed"] == 0


@when("holds are sent through both processes while the first is paused repeatedly")
def step_pauses(context):
    rng = random.Random(7)
    callers = [Caller(process.url, context.secret, 10.0) for process in context.processes]

    def send(number):
        key = f"paused-{number // 2}"
        headers = {"Idempotency-Key": key, "Effect-Id": key, "Brassdrum-Timeout": "3"}
        return callers[number % 2].send("POST", HOLDS_PATH, b"{}", headers)

    with ThreadPoolExecutor(8) as executor:
        futures = [executor.submit(send, number) for number in range(60)]
        for _ in range(4):
            context.processes[0].pause()
            time.sleep(rng.uniform(0.1, 0.6))
            context.processes[0].go_on()
            time.sleep(0.1)
        context.answers = [future.result() for future in futures]


@then("no hold ran twice")
def step_no_hold_twice(context):
    counts = run_counts(context)
    assert counts and max(counts.values()) == 1, counts
    assert any(answer.status == 200 for answer in context.answers)

"""Steps on calls that may run once only."""

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

HOLDS = "/services/remnants/holds"


def set_service(context, **faults):
    HttpPool(context.site.services[0].url).call("POST", "/faults", json.dumps(faults).encode())


def runs(context):
    return context.site.services[0].runs_by_id


@when("{callers:d} callers send {holds:d} holds with keys through {daemons:d} daemons at once")
def step_many(context, callers, holds, daemons):
    def send(number):
        while True:
            answer = hold(context, f"hold-{number % holds}", number % daemons)
            if answer.code not in ("request_in_progress", "claim_unavailable"):
                return answer
            time.sleep(0.05)

    with ThreadPoolExecutor(callers) as executor:
        context.answers = list(executor.map(send, range(callers)))
    context.holds = holds


@then("each hold ran once and every answer is the first one's")
def step_each_once(context):
    assert [answer.status for answer in context.answers] == [200] * len(context.answers)
    assert all(json.loads(answer.body)["run"] == 1 for answer in context.answers)
    counts = runs(context)
    assert [counts[f"hold-{n}"] for n in range(context.holds)] == [1] * context.holds


@when("the service loses every answer")
def step_lose_all(context):
    set_service(context, drop_answer=1.0)


@when("the service loses a fifth of the answers")
def step_lose_fifth(context):
    set_service(context, drop_answer=0.2)


@when("the service answers only after {seconds:d} seconds")
def step_slow(context, seconds):
    set_service(context, delay_seconds=seconds)


@when("a hold is sent with a key and again through another daemon")
def step_twice(context):
    context.answers = [hold(context, "twice", 0), hold(context, "twice", 1)]


@then("both have the first answer at once and the second is marked as a replay")
def step_replayed(context):
    first, second = context.answers
    assert first.status == second.status == 200, second.error
    assert first.body == second.body and second.headers["Idempotent-Replay"] == "true"
    assert runs(context)["twice"] == 1


@then("the first caller is told that it may have run")
def step_may(context):
    assert context.answers[0].code == "endpoint_failed", context.answers[0]
    assert context.answers[0].error["ran"] == "maybe"
    assert context.answers[0].headers["X-Should-Retry"] == "false"


@then("the second caller is told the same and nothing ran twice")
def step_may_again(context):
    assert context.answers[1].status == 409, context.answers[1]
    assert context.answers[1].error["ran"] == "maybe"
    assert runs(context)["twice"] == 1


@when("a hold is sent without a key")
def step_no_key(context):
    context.answer = caller(context).send("POST", HOLDS, b"{}", {"Effect-Id": "no-key"})


@then("the caller is told that it may have run and it ran once")
def step_no_key_once(context):
    assert context.answer.error["ran"] == "maybe", context.answer
    assert runs(context)["no-key"] == 1


@when("{count:d} lists of lots are read")
def step_lists(context, count):
    path = "/services/remnants/lots"
    context.answers = [caller(context).send("GET", path, None) for _ in range(count)]


@then("all {count:d} succeed")
def step_all(context, count):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * count, statuses
    # Some were tried again, or the scenario shows nothing.
    assert runs(context)["/lots"] > count


@when('a hold is sent with key "{key}" and body "{body}"')
def step_key_body(context, key, body):
    headers = {"Idempotency-Key": key}
    context.answer = caller(context).send("POST", HOLDS, body.encode(), headers)


@when("a hold is sent with a timed key from last year")
def step_old_key(context):
    headers = {"Idempotency-Key": "0190163d-8694-739b-aea5-966c26f8ad91"}
    context.answer = caller(context).send("POST", HOLDS, b"{}", headers)


@when("a hold is sent with a key through the first process, which is killed")
def step_kill(context):
    headers = {"Idempotency-Key": "killed", "Effect-Id": "killed", "Brassdrum-Timeout": "2"}
    first = Caller(context.processes[0].url, context.secret)
    with ThreadPoolExecutor(1) as executor:
        future = executor.submit(first.send, "POST", HOLDS, b"{}", headers)
        claims = context.site.daemons[0].core.claims.shards[0].fold
        eventually(lambda: len(claims) == 1, "the claim is in the log")
        time.sleep(0.3)
        context.processes[0].kill()
        assert future.result().code == "connection"


@then("the second process does not run it again and says it may have run")
def step_not_again(context):
    set_service(context, delay_seconds=0)
    second = Caller(context.processes[1].url, context.secret)
    headers = {"Idempotency-Key": "killed", "Effect-Id": "killed"}
    answers = []

    def settled():
        answers.append(second.send("POST", HOLDS, b"{}", headers))
        return answers[-1].code == "outcome_unknown"

    eventually(settled, "the outcome is known to be unknown")
    assert {answer.code for answer in answers} <= {"request_in_progress", "outcome_unknown"}
    assert answers[-1].error["ran"] == "maybe"
    assert runs(context)["killed"] == 0


@when("holds are sent through both processes while the first is paused again and again")
def step_pauses(context):
    rng = random.Random(7)
    callers = [Caller(process.url, context.secret, 10.0) for process in context.processes]

    def send(number):
        key = f"paused-{number // 2}"
        headers = {"Idempotency-Key": key, "Effect-Id": key, "Brassdrum-Timeout": "3"}
        return callers[number % 2].send("POST", HOLDS, b"{}", headers)

    with ThreadPoolExecutor(8) as executor:
        futures = [executor.submit(send, number) for number in range(60)]
        for _ in range(4):
            context.processes[0].pause()
            time.sleep(rng.uniform(0.1, 0.6))
            context.processes[0].go_on()
            time.sleep(0.1)
        context.answers = [future.result() for future in futures]


@then("no hold ran twice")
def step_no_double(context):
    counts = runs(context)
    assert counts and max(counts.values()) == 1, counts
    assert any(answer.status == 200 for answer in context.answers)

"""Steps for prompts that need the memory of several engines."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from brassdrum.caller import Caller
from brassdrum.standins.site import MODEL
from features.steps.site_steps import caller
from features.support import eventually


def oversized_prompt(tokens, name="giant"):
    return (name + "x" * tokens * 4)[: tokens * 4]


def count_reservations(context):
    return sum(len(engine.model.reservations_by_id) for engine in context.site.engines)


@when("a caller sends a prompt of {tokens:d} tokens")
def step_oversized_prompt(context, tokens):
    with ThreadPoolExecutor(1) as executor:
        future = executor.submit(caller(context).complete, MODEL, oversized_prompt(tokens), 4)
        context.max_reservations = 0
        while not future.done():
            context.max_reservations = max(context.max_reservations, count_reservations(context))
            time.sleep(0.005)
        context.answer = future.result()


@then("a group of engines returns the complete response")
def step_group_response(context):
    assert context.answer.whole, context.answer.error
    assert context.max_reservations == 3, context.max_reservations


@when("{count:d} callers send prompts of {tokens:d} tokens through all daemons concurrently")
def step_concurrent_prompts(context, count, tokens):
    daemons = len(context.site.daemons)
    with ThreadPoolExecutor(count) as executor:
        futures = [
            executor.submit(
                caller(context, n % daemons).complete,
                MODEL,
                oversized_prompt(tokens, f"giant {n}"),
                4,
            )
            for n in range(count)
        ]
        context.answers = [future.result() for future in futures]


@then("all of them get complete responses, one group at a time")
def step_all_complete(context):
    assert all(answer.whole for answer in context.answers), [a.error for a in context.answers]


@when("the first process is killed while it runs an oversized prompt")
def step_daemon_killed(context):
    first = Caller(context.processes[0].url, context.secret)
    with ThreadPoolExecutor(1) as executor:
        future = executor.submit(first.complete, MODEL, oversized_prompt(900_000), 4000)
        eventually(lambda: count_reservations(context) == 3, "reservations on three engines")
        eventually(
            lambda: any(engine.model.streams_by_id for engine in context.site.engines),
            "a running stream",
        )
        context.processes[0].kill()
        assert not future.result().whole

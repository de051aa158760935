"""Steps on prompts that need several engines."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when

from brassdrum.caller import Caller
from brassdrum.standins.site import MODEL
from features.steps.site_steps import caller
from features.support import eventually


def giant(tokens, name="giant"):
    return (name + "x" * tokens * 4)[: tokens * 4]


def reservations(context):
    return sum(len(engine.model.reservations_by_id) for engine in context.site.engines)


@when("a caller sends a prompt of {tokens:d} tokens")
def step_giant(context, tokens):
    with ThreadPoolExecutor(1) as executor:
        future = executor.submit(caller(context).complete, MODEL, giant(tokens), 4)
        context.most = 0
        while not future.done():
            context.most = max(context.most, reservations(context))
            time.sleep(0.005)
        context.answer = future.result()


@then("it is answered whole by a group of engines")
def step_group(context):
    assert context.answer.whole, context.answer.error
    assert context.most == 3, context.most


@when("{count:d} callers send prompts of {tokens:d} tokens through all daemons at once")
def step_giants(context, count, tokens):
    daemons = len(context.site.daemons)
    with ThreadPoolExecutor(count) as executor:
        futures = [
            executor.submit(
                caller(context, n % daemons).complete, MODEL, giant(tokens, f"giant {n}"), 4
            )
            for n in range(count)
        ]
        context.answers = [future.result() for future in futures]


@then("all of them are answered whole, one group at a time")
def step_all_whole(context):
    assert all(answer.whole for answer in context.answers), [a.error for a in context.answers]


@when("a giant runs at the first process, which is killed")
def step_giant_killed(context):
    first = Caller(context.processes[0].url, context.secret)
    with ThreadPoolExecutor(1) as executor:
        future = executor.submit(first.complete, MODEL, giant(900_000), 4000)
        eventually(lambda: reservations(context) == 3, "the group is reserved")
        eventually(
            lambda: any(engine.model.streams_by_id for engine in context.site.engines), "it runs"
        )
        context.processes[0].kill()
        assert not future.result().whole

"""Steps for engines that fall silent and go on, in simulated time."""

from behave import then, when

from brassdrum.bench.silences import SilencePlan, play_silence

DAEMONS = 6
SEEDS = (1, 2)
AFTER_SECONDS = 2.0
SCOPE_AND_ENGINES_BY_WORDS = {
    "one of 2 engines is": ("one", 2),
    "a third of 8 engines is": ("zone", 8),
    "all of 8 engines are": ("all", 8),
}


@when("{words} silent for {silence:g} seconds at {load:g} times what fills them")
def step_play(context, words, silence, load):
    scope, engines = SCOPE_AND_ENGINES_BY_WORDS[words]
    context.results = [
        play_silence(SilencePlan(DAEMONS, engines, scope, silence, load, seed, after=AFTER_SECONDS))
        for seed in SEEDS
    ]


@then("streams were open at silent engines and were sent again")
def step_open(context):
    for result in context.results:
        assert result.held > 0 and result.sent_again > 0, result


@then("no request is broken off or answered with a failure")
def step_whole(context):
    assert not any(result.cut or result.failed for result in context.results), context.results

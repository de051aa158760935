"""Steps on the decisions about requests that end endpoints."""

import random
import re

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering.peer_messages import (
    PeerBelief,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.outcomes.quarantine import ContentStatus, CrashReport, ObservedCrash, Quarantine

CONTENTS = st.sampled_from([f"{number:016x}" for number in range(6)])
ENDS = st.lists(st.tuples(CONTENTS, st.integers(1, 8)), max_size=30)


class Daemon:
    """Hold what one daemon knows and what time it is there."""

    def __init__(self):
        self.quarantine = Quarantine()


def content(letter):
    return f"{ord(letter):016x}"


def daemon(context):
    if not hasattr(context, "daemon"):
        context.now = 100.0
        context.daemon = Daemon()
    return context.daemon


def standing(context, letter, where=None, own_ends=()):
    decision = (where or daemon(context)).quarantine
    return decision.status(content(letter), context.now, own_ends)


@given("content {letter} was at ends {numbers}")
@when("content {letter} was at ends {numbers}")
def step_was_at(context, letter, numbers):
    quarantine = daemon(context).quarantine
    for number in re.findall(r"\d+", numbers):
        quarantine.record_crash(content(letter), int(number), context.now)


@given("content {letter} was at end {number:d} soon after it was sent")
def step_was_at_soon(context, letter, number):
    daemon(context).quarantine.record_crash(content(letter), number, context.now, soon=True)


@given("content {letter} was answered whole before any end")
def step_served_before(context, letter):
    daemon(context).quarantine.record_served(content(letter), context.now)
    context.now += 0.2


@given("{count:d} endpoints ended in one moment {times:d} times, each time one under content a")
def step_in_one_moment(context, count, times):
    quarantine = daemon(context).quarantine
    for moment in range(times):
        context.now += 1.5
        quarantine.record_crash(content("a"), 100 * moment, context.now)
        for other in range(1, count):
            name = f"{100 * moment + other:016x}"
            quarantine.record_crash(name, 100 * moment + other, context.now + 0.002 * other)


@given("another daemon heard all")
@when("the other daemon hears all")
def step_other_hears(context):
    if not hasattr(context, "other"):
        context.other = Daemon()
    context.other.quarantine.merge_reports(
        daemon(context).quarantine.reports(context.now), context.now
    )


@when("this daemon hears the other")
def step_this_hears(context):
    context.daemon.quarantine.merge_reports(
        context.other.quarantine.reports(context.now), context.now
    )


@when("content {letter} is answered whole")
def step_served(context, letter):
    context.now += 0.2
    assert daemon(context).quarantine.record_served(content(letter), context.now)


@when("{seconds:g} s pass")
def step_time(context, seconds):
    daemon(context)
    context.now += seconds
    context.daemon.quarantine.reports(context.now)


@then("content {letter} is {name:w}")
def step_standing(context, letter, name):
    found = standing(context, letter)
    assert found is ContentStatus[name.upper()], found


@then("content {letter} is {name:w} there")
def step_standing_there(context, letter, name):
    found = standing(context, letter, context.other)
    assert found is ContentStatus[name.upper()], found


@then("content {letter} is {name:w} for the request that was at end {number:d}")
def step_standing_of_request(context, letter, name, number):
    found = standing(context, letter, own_ends={number})
    assert found is ContentStatus[name.upper()], found


@then("content {letter} is {name:w} there for the request that was at end {number:d}")
def step_standing_of_request_there(context, letter, name, number):
    found = standing(context, letter, context.other, own_ends={number})
    assert found is ContentStatus[name.upper()], found


@then("nothing is known")
def step_nothing(context):
    assert daemon(context).quarantine.contents() == []


@when("{count:d} other contents were at one end each")
def step_flood(context, count):
    for number in range(count):
        name = f"{number + 1000:016x}"
        context.daemon.quarantine.record_crash(name, number % 300 + 50, context.now)


@then("at most {count:d} contents are known")
def step_bound(context, count):
    assert len(context.daemon.quarantine.contents()) <= count


@then("at most {count:d} are told, content {letter} first")
def step_told(context, count, letter):
    words = context.daemon.quarantine.reports(context.now)
    assert len(words) <= count
    assert words[0].content == content(letter)


@when(
    "two daemons tell each other every {pause:g} seconds with {way:g} on the way "
    "for {seconds:g} seconds"
)
def step_to_and_fro(context, pause, way, seconds):
    context.other = Daemon()
    pair = [context.daemon, context.other]
    for number in range(round(seconds / pause)):
        teller, hearer = pair[number % 2], pair[1 - number % 2]
        words = passed(teller.quarantine.reports(context.now))
        context.now += way
        hearer.quarantine.merge_reports(words, context.now)
        context.now += pause - way


def passed(words):
    """Return words as they come out of a datagram."""
    belief = PeerBelief(1, "d", 0.0, 1, endings=tuple(words))
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 1)
    return decode_message(encode_message(Report(sender, belief))).belief.endings


@then("any words are the same after encoding, ages to a millisecond")
def step_wire(context):
    ages = st.floats(0, 1200)
    end = st.builds(ObservedCrash, st.integers(0, 2**32 - 1), ages, st.booleans(), st.booleans())
    ends = st.lists(end, max_size=12).map(tuple)
    words = st.lists(
        st.builds(CrashReport, CONTENTS, ends, st.none() | st.floats(0, 1200)), max_size=24
    )

    @any_of(words)
    def check(told):
        heard = passed(told)
        assert len(heard) == len(told)
        for sent, got in zip(told, heard, strict=True):
            assert got.content == sent.content
            assert [end.endpoint for end in got.crashes] == [end.endpoint for end in sent.crashes]
            for mine, theirs in zip(sent.crashes, got.crashes, strict=True):
                assert abs(mine.age - theirs.age) <= 0.000501
                assert (mine.soon, mine.lived) == (theirs.soon, theirs.lived)
            assert (got.served_age is None) == (sent.served_age is None)

    check()


@then("any ends heard in any order, doubled and late, give the same decisions")
def step_any_order(context):
    @any_of(ENDS, st.randoms(use_true_random=False))
    def check(ends, rng):
        words = [CrashReport(name, (ObservedCrash(number, 1.0),)) for name, number in ends]
        first, second = Quarantine(), Quarantine()
        first.merge_reports(words, 100.0)
        for word in rng.sample(words + words, 2 * len(words)):
            second.merge_reports((word,), 100.0)
        names = {name for name, _ in ends}
        for name in names:
            assert first.status(name, 100.5) is second.status(name, 100.5), (name, ends)

    check()


@then("in any series of ends caused by at most two contents no other one is quarantined")
def step_healthy(context):
    @any_of(st.integers(0, 2**32), st.integers(1, 2))
    def check(seed, causes):
        rng = random.Random(seed)
        quarantine = Quarantine()
        now = 100.0
        incarnation = 0
        ending = [f"{number:016x}" for number in range(causes)]
        healthy = [f"{number + 100:016x}" for number in range(40)]
        for _ in range(60):
            now += rng.uniform(0.2, 0.8)
            cause = rng.choice(ending)
            if quarantine.status(cause, now) is ContentStatus.QUARANTINED:
                continue
            incarnation += 1
            # Each healthy stream is sent again at most once, by its caller once more.
            beside = rng.sample(healthy, 5)
            for name in {cause, *beside}:
                quarantine.record_crash(name, incarnation, now)
            for name in beside:
                if rng.random() < 0.5:
                    quarantine.record_served(name, now + 0.1)
        assert not {*quarantine.quarantined(now + 1)} - {*ending}

    check()


@then("in any series of ends of 3 and more endpoints at once no content is quarantined")
def step_waves(context):
    @any_of(st.integers(0, 2**32), st.integers(3, 13), st.floats(0.1, 3.0))
    def check(seed, endpoints, pause):
        rng = random.Random(seed)
        quarantine = Quarantine()
        now = 100.0
        healthy = [f"{number + 100:016x}" for number in range(40)]
        for wave in range(8):
            now += pause
            streams = rng.sample(healthy, 3 * endpoints)
            for number in range(endpoints):
                for name in streams[3 * number : 3 * number + 3]:
                    quarantine.record_crash(name, 100 * wave + number, now + rng.uniform(0.0, 0.02))
        assert not quarantine.quarantined(now + 1)

    check()


@given("content {letter:w} is answered whole all the time")
def step_answered(context, letter):
    quarantine = daemon(context).quarantine
    for _ in range(20):
        context.now += 0.1
        quarantine.record_served(content(letter), context.now)
    context.now += 0.1


@when("each {pause:g} s an endpoint ends under content {letter:w}, {times:d} times")
def step_ends_apart(context, pause, letter, times):
    for number in range(times):
        context.now += pause
        context.daemon.quarantine.record_crash(content(letter), number, context.now)


@given("content {letter:w} is at {share:d} of {count:d} endpoints that end in one moment")
def step_rack(context, letter, share, count):
    for number in range(count):
        at = context.now + 0.001 * number
        context.daemon.quarantine.record_crash(f"{900 + number:016x}", number, at)
        if number < share:
            context.daemon.quarantine.record_crash(content(letter), number, at)

"""Steps for crashes that are attributed to parts of prompts."""

import random
import re

from behave import given, then, when
from hypothesis import given as any_of
from hypothesis import strategies as st

from brassdrum.gateway.guards.crash_guard import QuarantineRecord
from brassdrum.gateway.model import StoreRecord
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash
from brassdrum.outcomes.fingerprint import (
    ALL_CALLERS,
    MAX_PARTS,
    RequestTraits,
    caller_mask,
    prompt_parts,
)
from brassdrum.outcomes.quarantine import ContentStatus, Quarantine
from features.steps.quarantine_steps import encoded_size

CALLER = "norr"


def quarantine(context):
    if not hasattr(context, "quarantine"):
        context.now = 100.0
        context.quarantine = Quarantine()
        context.contents = 0
    return context.quarantine


def request(context, names, caller=CALLER, content=None):
    """Return the traits of a request with parts, a last part and a content of its own."""
    quarantine(context)
    context.contents += 1
    content = content or f"{context.contents:016x}"
    parts = prompt_parts("m", [*names.split(" and "), f"own of {content}"])
    return RequestTraits(content, parts, caller_mask(caller))


def crash(context, traits, number):
    """Let an endpoint crash under a request; endpoints crash 0.2 s apart."""
    quarantine(context).record_crash(traits, number, context.now)
    context.now += 0.2


def judge(context, names, caller=CALLER):
    return quarantine(context).status(request(context, names, caller), context.now)


@given("the quarantine of a daemon that tries {seconds:g} s later than others")
def step_trial_delay(context, seconds):
    quarantine(context)
    context.quarantine = Quarantine(trial_delay=seconds)


@given("requests with parts {names} were in flight at crashes {numbers}")
def step_crashes(context, names, numbers):
    step_crashes_of(context, CALLER, names, numbers)


@when("requests with parts {names} were in flight at crashes {numbers}")
def step_more_crashes(context, names, numbers):
    step_crashes_of(context, CALLER, names, numbers)


@given("requests of {caller:w} with parts {names} were in flight at crashes {numbers}")
@when("requests of {caller:w} with parts {names} were in flight at crashes {numbers}")
def step_crashes_of(context, caller, names, numbers):
    for number in re.findall(r"\d+", numbers):
        crash(context, request(context, names, caller), int(number))


@given("one request with parts {names}, repeated, was in flight at crashes {numbers}")
@when("one request with parts {names}, repeated, was in flight at crashes {numbers}")
def step_repeated(context, names, numbers):
    context.repeated = request(context, names)
    for number in re.findall(r"\d+", numbers):
        crash(context, context.repeated, int(number))


@given("{count:d} request with parts {names} got complete responses")
@given("{count:d} requests with parts {names} got complete responses")
def step_served_before(context, count, names):
    for _ in range(count):
        quarantine(context).record_served(request(context, names), context.now)
        context.now += 0.05


@when("a request with parts {names} gets a complete response")
def step_served(context, names):
    context.now += 0.1
    quarantine(context).record_served(request(context, names), context.now)


@when("a response on parts {names} that began {seconds:g} s before these crashes is complete")
def step_served_late(context, names, seconds):
    began_at = 100.0 - seconds
    quarantine(context).record_served(request(context, names), context.now, began_at)


@when("a response on parts {names} began after them and goes on")
def step_survived(context, names):
    began_at = context.now
    context.now += 1.0
    quarantine(context).record_survived(request(context, names), context.now, began_at)


@when("every {pause:g} s a request with part {names:w} is in flight at a crash, {count:d} time")
@when("every {pause:g} s a request with part {names:w} is in flight at a crash, {count:d} times")
def step_crash_series(context, pause, names, count):
    for _ in range(count):
        context.crashes = getattr(context, "crashes", 0) + 1
        context.now += pause
        quarantine(context).record_crash(request(context, names), context.crashes, context.now)


@when("{count:d} crashes come {pause:g} s apart, each fourth under a request with part r")
def step_some_crashes(context, count, pause):
    for number in range(count):
        context.now += pause
        shared = "r" if number % 4 == 0 else f"a{number}"
        quarantine(context).record_crash(request(context, shared), number, context.now)


@when(
    "{count:d} endpoints crash at once soon after requests with part p, "
    "{times:d} times {pause:g} s apart"
)
def step_crash_together(context, count, times, pause):
    for moment in range(times):
        context.now += pause
        for number in range(count):
            traits = request(context, "p")
            key = 100 * moment + number
            quarantine(context).record_crash(traits, key, context.now, soon=True)


@given("{count:d} crashes of a part, {pause:g} s apart, that a daemon hears of in any order")
def step_heard_in_any_order(context, count, pause):
    rng = random.Random(3)
    traits = request(context, "p")
    context.trait = traits.parts[0].digest
    context.now += count * pause
    for number in rng.sample(range(count), count):
        crash_seen = ObservedCrash(number, (count - number) * pause)
        report = CrashReport(context.trait, (crash_seen,))
        quarantine(context).merge_reports((report,), context.now)


@then("it keeps the first {first:d} and the last {last:d} of them")
def step_keeps(context, first, last):
    kept = quarantine(context).report(context.trait, context.now).crashes
    count = 30
    assert {each.endpoint for each in kept} == {*range(first), *range(count - last, count)}, kept


@when(
    "{count:d} endpoints with requests that share part f crash at once, "
    "{times:d} times {pause:g} s apart"
)
def step_racks(context, count, times, pause):
    for moment in range(times):
        context.now += pause
        for number in range(count):
            key = 100 * moment + number
            for _ in range(3):
                at = context.now + 0.002 * number
                quarantine(context).record_crash(request(context, "f and x"), key, at)


@given("{parts:d} parts that crash engines, each at {count:d} crashes")
def step_many_quarantined(context, parts, count):
    for part in range(parts):
        for number in range(count):
            crash(context, request(context, f"g{part}"), 100 * part + number)
    context.now += 0.3
    assert len(quarantine(context).quarantined(context.now)) == parts


@when("a request with parts {names} is at a crash")
def step_one_crash(context, names):
    quarantine(context).record_crash(request(context, names), 9999, context.now)


@then("the next report tells of parts {names}")
def step_news_told(context, names):
    context.reports = [quarantine(context).reports(context.now)]
    told = {report.trait for report in context.reports[0]}
    assert {part.digest for part in prompt_parts("m", names.split(" and "))} <= told, told


@then("the next {count:d} reports tell of all parts that are quarantined")
def step_quarantined_told(context, count):
    context.reports += [quarantine(context).reports(context.now) for _ in range(count)]
    told = {report.trait for reports in context.reports for report in reports}
    assert set(quarantine(context).quarantined(context.now)) <= told


@then("no report takes more than {count:d} bytes")
def step_report_bytes(context, count):
    for reports in context.reports:
        assert 0 < encoded_size(reports) - encoded_size(()) <= count, reports


@when("{seconds:g} s pass for the parts")
@when("{seconds:g} s passes for the parts")
def step_time(context, seconds):
    context.now += seconds
    quarantine(context).reports(context.now)


@then("a request with parts {names} is {status:w}")
def step_status(context, names, status):
    found = judge(context, names)
    assert found is ContentStatus[status.upper()], found


@then("a request of {caller:w} with parts {names} is {status:w}")
def step_status_of_caller(context, caller, names, status):
    found = judge(context, names, caller)
    assert found is ContentStatus[status.upper()], found


@then("a request with parts {names} is not refused")
def step_not_refused(context, names):
    for _ in range(30):
        assert judge(context, names) is not ContentStatus.QUARANTINED
        context.now += 0.01


@then("the repeated request is quarantined")
def step_repeated_quarantined(context):
    found = quarantine(context).status(context.repeated, context.now)
    assert found is ContentStatus.QUARANTINED, found


@then("no part is quarantined")
def step_none_quarantined(context):
    assert not quarantine(context).quarantined(context.now)


@then("any requests at any crashes, reported in any order, are judged alike")
def step_any_order(context):
    names = st.sets(st.sampled_from("pqrs"), min_size=1, max_size=3)
    crashes = st.lists(
        st.tuples(names, st.integers(1, 8), st.sampled_from(["ost", "vast"])), max_size=20
    )

    @any_of(crashes, st.randoms(use_true_random=False))
    def check(seen, rng):
        context.contents = 0
        first, second = Quarantine(), Quarantine()
        requests = []
        observers = [Quarantine() for _ in range(3)]
        for parts, endpoint, caller in seen:
            traits = request(context, " and ".join(sorted(parts)), caller)
            requests.append(traits)
            rng.choice(observers).record_crash(traits, endpoint, 100.0)
        reports = [report for each in observers for report in each.reports(100.0)]
        first.merge_reports(reports, 100.0)
        for report in rng.sample(reports + reports, 2 * len(reports)):
            second.merge_reports((report,), 100.0)
        for traits in requests:
            assert first.judge(traits, 100.5) == second.judge(traits, 100.5), seen

    check()


@then("a stored record with and without the callers of its crashes is decoded")
def step_stored(context):
    key = "00000000000000aa"
    forms = {
        b'{"ends": [[7, 100.0]]}': (False, ALL_CALLERS),
        b'{"ends": [[7, 100.0, 1]]}': (True, ALL_CALLERS),
        b'{"ends": [[7, 100.0, 1, 4]]}': (True, 4),
        b'{"ends": [[7, 100.0, 0, 4, "later"]]}': (False, 4),
    }
    for value, (soon, callers) in forms.items():
        (end,) = QuarantineRecord.decode(StoreRecord(key, value)).ends
        assert (end.endpoint, end.at, end.soon, end.callers) == (7, 100.0, soon, callers), value
    record = QuarantineRecord.decode(StoreRecord(key, b'{"ends": [[7, 100.0, 1, 4]]}'))
    assert QuarantineRecord.decode(record.encode()) == record


@then("two prompts of {count:d} parts that share {shared:d} of them have known parts in common")
def step_many_parts(context, count, shared):
    rng = random.Random(7)
    common = [f"{rng.getrandbits(32):08x}" for _ in range(shared)]
    prompts = []
    for _ in range(2):
        own = [f"{rng.getrandbits(32):08x}" for _ in range(count - shared)]
        parts = prompt_parts("m", common + own)
        assert len(parts) == MAX_PARTS
        prompts.append({part.digest for part in parts})
    assert len(prompts[0] & prompts[1]) >= MAX_PARTS // 2

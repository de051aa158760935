"""Steps that let hypothesis search for a counterexample."""

import json
import random
import threading
from types import SimpleNamespace
from unittest import mock

from behave import then
from hypothesis import given, settings
from hypothesis import strategies as st

from brassdrum.admission.lending import BorrowerDemand, Lender, MembershipView
from brassdrum.admission.limits import Allowance, LocalLimiter, TokenBucket
from brassdrum.admission.queue import FairQueue
from brassdrum.admission.work import Work
from brassdrum.charts import OutsideChartError, load_chart
from brassdrum.clock import ManualClock
from brassdrum.contracts.documents import Urgency
from brassdrum.contracts.fold import ControlFold
from brassdrum.contracts.records import (
    NewerFormatError,
    UnreadableRecordError,
    parse_checkpoint,
    parse_control_record,
)
from brassdrum.daemon.main import Daemon
from brassdrum.errors import (
    EndpointFailedError,
    EndpointUnreachableError,
    NoEndpointError,
    PlatformUnavailableError,
    ResumeRefusedError,
)
from brassdrum.leadership.holder import LeaseManager
from brassdrum.leadership.lease import LeaseTable
from brassdrum.logservice.log import LogPage
from brassdrum.logservice.tail import Tail
from brassdrum.membership.peer_pb2 import LEAVING, READY, DaemonEntry
from brassdrum.membership.peers import PeerTable
from brassdrum.outcomes.breaker import CircuitBreaker
from brassdrum.outcomes.claims import Claim, ClaimFold, ClaimKey, parse_claim_record
from brassdrum.outcomes.resume import ResumeTicket, ResumeTokens
from brassdrum.outcomes.retries import RetryBudget, RetryPolicy
from brassdrum.outcomes.stream import EventVerdict, StreamAssembler, StreamChecker
from brassdrum.settings import ResumeKey
from brassdrum.standins.site import sample_contract


def work(number, organisation="a", tokens=1000, share=1.0, arrived=0.0, start_by=1e6):
    return Work(
        id=str(number),
        organisation=organisation,
        target="m",
        prompt_tokens=tokens,
        answer_tokens=0,
        urgency=Urgency.STANDARD,
        share=share,
        arrived=arrived,
        start_by=start_by,
        deadline=start_by + 100,
    )


@then("backlogged organisations get work in proportion to their shares")
def step_shares(context):
    @given(
        st.lists(st.floats(0.5, 8.0), min_size=2, max_size=5),
        st.integers(200, 3_000),
    )
    def check(shares, tokens):
        queue = FairQueue(10_000)
        for number in range(400):
            for index, share in enumerate(shares):
                queue.push(work(f"{index}-{number}", str(index), tokens, share))
        for _ in range(150):
            queue.dispatch(queue.heads(1.0)[0].id, 1.0)
        ratios = [queue.account(str(index)).used_cost / share for index, share in enumerate(shares)]
        # One request of difference at most, in the units of the smallest share.
        assert max(ratios) - min(ratios) <= tokens / min(shares) + 1e-6

    check()


@then("no work is lost, doubled or forgotten by the queue")
def step_conserved(context):
    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.integers(1, 200_000))))
    def check(actions):
        queue = FairQueue(12)
        waiting, gone = set(), set()
        for action, number, tokens in actions:
            name = str(number)
            if action == 0 and name not in waiting | gone:
                shed = queue.push(work(name, f"o{number % 3}", tokens))
                waiting.add(name)
                if shed is not None:
                    waiting.remove(shed.id)
                    gone.add(shed.id)
            elif action == 1 and waiting:
                head = queue.heads(1.0)[0].id
                queue.dispatch(head, 1.0)
                waiting.remove(head)
                gone.add(head)
            elif action == 2:
                removed = queue.remove(name)
                assert (removed is not None) == (name in waiting)
                waiting.discard(name)
            assert len(queue) == len(waiting)
            assert sum(queue.queued(f"o{index}") for index in range(3)) == len(waiting)
            assert {item.id for item in queue.heads(1.0)} <= waiting

    check()


@then("old work goes first before its time is over")
def step_aged(context):
    @given(st.integers(1, 50))
    def check(rivals):
        queue = FairQueue(1000)
        queue.push(work("old", "poor", 500_000, 0.1, start_by=10.0))
        for number in range(rivals):
            queue.push(work(number, f"rich{number}", 10, 100.0, start_by=1e6))
        assert queue.heads(6.0)[0].id == "old"

    check()


@then("a bucket never gives more than its rate and one burst")
def step_bucket(context):
    @given(
        st.floats(0.5, 100.0),
        st.lists(st.tuples(st.floats(0, 0.5), st.floats(0.1, 20)), max_size=200),
    )
    def check(rate, steps):
        bucket, now, given_out, largest = TokenBucket(rate, 0.0), 0.0, 0.0, 0.0
        for pause, amount in steps:
            now += pause
            if bucket.wait_seconds(now) == 0.0:
                bucket.take(amount, now)
                given_out += amount
                largest = max(largest, amount)
        assert given_out <= rate * now + max(1.0, rate) + largest + 1e-6

    check()


DEMANDS = st.builds(
    BorrowerDemand, st.floats(0, 500), st.floats(0, 1e6), st.integers(min_value=0, max_value=50)
)


@then("slices lent never add up to more than the limits, whatever daemons ask and when")
def step_lent(context):
    @settings(max_examples=150)
    @given(
        st.lists(st.tuples(st.integers(0, 5), DEMANDS, st.floats(0, 1.5)), max_size=80),
        st.integers(1, 40),
    )
    def check(requests, concurrency):
        limits = Allowance(100.0, 1e5, concurrency)
        daemons = [f"d{n}" for n in range(6)]
        lender, now, grants = Lender(limits, 2.0, 0.0), 0.0, {}
        for number, demand, pause in requests:
            now += pause
            grants[number] = lender.lend(
                daemons[number], demand, MembershipView(daemons, daemons), now
            )
            live = [grant.allowance for grant in grants.values() if grant.expires > now]
            assert sum(item.requests_per_second for item in live) <= 100.0 + 1e-6
            assert sum(item.tokens_per_second for item in live) <= 1e5 + 1e-3
            assert sum(item.concurrency for item in live) <= concurrency

    check()


@then("two sides of a partition together lend no more than the limits")
def step_partition(context):
    known = [f"d{n}" for n in range(9)]
    limits = Allowance(90.0, 9e4, 9)
    busy = BorrowerDemand(500.0, 5e5, 30)
    total, concurrency = 0.0, 0
    for side in (known[:4], known[4:]):
        lender, last = Lender(limits, 2.0, 0.0), {}
        for tick in range(20):
            for daemon in side:
                last[daemon] = lender.lend(daemon, busy, MembershipView(side, known), tick * 0.5)
        total += sum(grant.allowance.requests_per_second for grant in last.values())
        concurrency += sum(grant.allowance.concurrency for grant in last.values())
    assert 85.0 <= total <= 90.0 + 1e-6, total
    assert concurrency <= 9, concurrency


@then("a daemon that comes new while another holds all it wants gets a slice at once")
def step_newcomer_slice(context):
    census = MembershipView(["d0", "d1"], ["d0", "d1"])
    for demand in (BorrowerDemand(1.0, 1e3, 2), BorrowerDemand(500.0, 5e5, 500)):
        lender = Lender(Allowance(100.0, 1e5, 1000), 2.0, -10.0)
        for tick in range(8):
            lender.lend("d0", demand, census, tick * 0.5)
        slice_ = lender.lend("d1", BorrowerDemand(1.0, 1e3, 1), census, 4.0).allowance
        assert slice_.concurrency >= 1 and slice_.requests_per_second >= 1.0, slice_


@then("a daemon that comes new just after a lender's first term gets room for 8 requests at once")
def step_newcomer_after_first_term(_context):
    old = ["d0", "d1", "d2"]
    lender = Lender(Allowance(1000.0, 1e7, 1000), 2.0, 0.0)
    for number, daemon in enumerate(old):
        lender.lend(
            daemon, BorrowerDemand(40.0, 2e3, 3), MembershipView(old, old), 1.7 + 0.1 * number
        )
    everyone = [*old, "d3"]
    asked = BorrowerDemand(1.0, 50.0, 1)
    slice_ = lender.lend("d3", asked, MembershipView(everyone, everyone), 2.05).allowance
    assert slice_.concurrency >= 8, slice_
    assert slice_.requests_per_second >= asked.requests_per_second, slice_


@then("while a daemon leaves by plan each other one keeps room for 8 requests at once")
def step_planned_leave(_context):
    names = ["d0", "d1", "d2", "d3"]
    table = PeerTable(DaemonEntry(name="d3", incarnation=1), 0.2)
    for name in names[:3]:
        state = LEAVING if name == "d0" else READY
        entry = DaemonEntry(name=name, incarnation=1, version=1, state=state, peer_address="a")
        table.merge([entry], 0.0)
    own = mock.Mock(_serving_daemons=lambda: ["d1", "d2", "d3"], gossip=mock.Mock(table=table))
    own.gossip.lock = threading.Lock()
    own._hosts.daemon_names = lambda: names
    census = Daemon._census(own)
    lender = Lender(Allowance(1000.0, 1e7, 1000), 2.0, 0.0)
    asked = BorrowerDemand(3.0, 100.0, 2)
    for name in names:
        lender.lend(name, asked, MembershipView(names, names), 1.9)
    slice_ = lender.lend("d3", asked, census, 2.2).allowance
    assert slice_.concurrency >= 8, slice_


@then("one daemon with all the demand gets nearly the whole limit")
def step_skewed(context):
    daemons = [f"d{n}" for n in range(9)]
    census = MembershipView(daemons, daemons)
    lender = Lender(Allowance(100.0, 1e5, 18), 2.0, 0.0)
    busy = BorrowerDemand(200.0, 2e5, 30)
    idle = BorrowerDemand(0.0, 0.0, 0)
    grant = None
    for tick in range(20):
        for daemon in daemons:
            now = tick * 0.5
            lent = lender.lend(daemon, busy if daemon == "d0" else idle, census, now)
            grant = lent if daemon == "d0" else grant
    assert grant.allowance.requests_per_second >= 95.0, grant
    assert grant.allowance.tokens_per_second >= 0.95e5
    limiter = LocalLimiter(grant.allowance, 0.0)
    assert limiter.acquire(10, 0.0) is None


CLAIM_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["claim", "abandon", "outcome", "dispatch", "late"]), st.integers(0, 1)
    ),
    min_size=12,
    max_size=30,
)


def _record(kind, number):
    name = f"claim-of-{number}"
    if kind == "abandon":
        return {"format": 1, "kind": "abandon", "id": name}
    if kind == "outcome":
        fields = {"status": 200, "content_type": "x", "body": ""}
        return {"format": 1, "kind": "outcome", "id": name} | fields
    fields = {"organisation": "o", "key": "k", "fingerprint": "f", "daemon": str(number)}
    return {"format": 1, "kind": "claim", "id": name, "deadline": 9.0} | fields


@then("in every order of records at most one claim for a key is ever dispatched")
def step_claims(context):
    @settings(max_examples=400)
    @given(CLAIM_EVENTS)
    def check(events):
        fold, offset = ClaimFold(1e9), 0
        dispatched, abandoned = set(), set()
        for kind, number in events:
            if kind == "dispatch":
                # A daemon dispatches only while its claim holds and it has not given up.
                if fold.holds(f"claim-of-{number}") and number not in abandoned:
                    dispatched.add(number)
                continue
            if kind == "abandon":
                if number in dispatched:
                    continue
                abandoned.add(number)
            if kind == "outcome" and number not in dispatched:
                continue
            # "late" is the same claim appended a second time after a lost answer.
            fold.apply(offset, float(offset), _record("claim" if kind == "late" else kind, number))
            offset += 1
        assert len(dispatched) <= 1, dispatched

    check()


@then("a claim that arrives after it was given up leaves its key free")
def step_late_claim(context):
    fold = ClaimFold(1e9)
    fold.apply(0, 0.0, _record("abandon", 0))
    fold.apply(1, 1.0, _record("claim", 0))
    assert not fold.holds("claim-of-0")
    fold.apply(2, 2.0, _record("claim", 1))
    assert fold.holds("claim-of-1")


class FlakyLog:
    """Append to a list; lose answers and delay records as told."""

    def __init__(self, faults):
        self.records, self.late, self._faults = [], [], faults

    def append(self, stream, values):
        """Append as the next fault says."""
        fault = self._faults.pop() if self._faults else "none"
        if fault == "late":
            self.late.extend(values)
            raise PlatformUnavailableError("late")
        if fault == "refused":
            raise PlatformUnavailableError("refused")
        self.records.extend(values)
        if fault == "lost":
            raise PlatformUnavailableError("lost")
        return len(self.records) - len(values)


class Party:
    """One daemon with a view of the log that lags and a pause that stops it."""

    def __init__(self, name, log, clock):
        self.table, self.read, self._log = LeaseTable(), 0, log
        self.holder = LeaseManager(
            "duty", name, log, clock, lambda: self.table.get("duty"), lambda: True, 10.0
        )

    def catch_up(self):
        """Read to the end of the log."""
        while self.read < len(self._log.records):
            self.table.apply(self.read, parse_control_record(self._log.records[self.read]))
            self.read += 1


@then("two daemons never hold a duty at once through pauses, lost and late appends")
def step_leases(context):
    actions = st.tuples(
        st.sampled_from(["read", "step", "deliver"]),
        st.integers(0, 1),
        st.sampled_from([0.0, 0.0, 0.5, 4.0, 11.0]),
    )
    faults = st.lists(st.sampled_from(["none", "none", "lost", "late", "refused"]), max_size=20)

    @settings(max_examples=400)
    @given(st.lists(actions, min_size=30, max_size=60), faults)
    def check(steps, log_faults):
        clock, log = ManualClock(), FlakyLog(log_faults)
        parties = [Party("d0", log, clock), Party("d1", log, clock)]
        for action, number, pause in steps:
            clock.advance(pause)
            if action == "read":
                parties[number].catch_up()
            elif action == "step":
                parties[number].holder.step()
            elif log.late:
                log.records.append(log.late.pop(0))
            holders = [party.holder.fencing_token() for party in parties]
            assert holders.count(None) >= 1, holders

    check()


def _publish(number, key, base, share):
    _, contract = sample_contract(key)
    body = contract.model_copy(update={"share": share}).model_dump(mode="json")
    document = {"kind": "contract", "name": key, "base": base, "body": body}
    return {
        "format": 1,
        "kind": "publish",
        "id": f"record-{number}",
        "operator": "o",
        "documents": [document],
    }


def _state(fold):
    return {str(key): item.revision for key, item in fold.documents_by_key.items()}


def _history(choices):
    values, fold = [], ControlFold()
    for number, (key, fresh) in enumerate(choices):
        known = _state(fold).get(f"contract/{key}", -1)
        values.append(_publish(number, key, known if fresh else known - 1, 1.0 + number))
        fold.apply(number, values[-1])
    return values


CHOICES = st.lists(st.tuples(st.sampled_from(["a", "b"]), st.booleans()), min_size=1, max_size=8)


@then("every reader that starts at any checkpoint comes to the same state")
def step_same(context):
    @settings(max_examples=30)
    @given(CHOICES, st.data())
    def check(choices, data):
        values = _history(choices)
        full = ControlFold()
        checkpoints = []
        for offset, value in enumerate(values):
            full.apply(offset, value)
            checkpoints.append(full.checkpoint())
        start = data.draw(st.sampled_from(checkpoints))
        late = ControlFold()
        parsed = parse_checkpoint(json.loads(start.model_dump_json()))
        assert late.load(parsed)
        for offset, value in enumerate(values):
            late.apply(offset, value)
        assert _state(late) == _state(full) and late.through == full.through

    check()


@then("a late checkpoint never lowers a revision")
def step_late(context):
    values = _history([("a", True), ("a", True)])
    fold = ControlFold()
    fold.apply(0, values[0])
    old = fold.checkpoint()
    fold.apply(1, values[1])
    assert not fold.load(old)
    assert _state(fold) == {"contract/a": 1}


class PollLog:
    """Answer reads with nothing new, or fail; remember how long each was to wait."""

    def __init__(self):
        self.failing, self.waits = False, []

    def read(self, stream, start, wait=0.0):
        """Return an empty page or fail."""
        self.waits.append(wait)
        if self.failing:
            raise PlatformUnavailableError("down")
        return LogPage(0, 0, 0, ())


@then("a reader sees at once that the log answers again, instead of after a long poll")
def step_tail(context):
    log = PollLog()
    tail = Tail(log, "control", ManualClock(), lambda: 0, lambda page: None)
    tail.step()
    tail.step()
    log.failing = True
    tail.step()
    assert not tail.log_available
    log.failing = False
    tail.step()
    assert tail.log_available
    tail.step()
    assert [wait > 0 for wait in log.waits] == [False, True, True, False, True], log.waits


@then("a caller gets each event once and in order through any repeats, gaps and foreign events")
def step_checker(context):
    @given(st.lists(st.tuples(st.sampled_from(["s", "t", "", "s/s"]), st.integers(-1, 6))))
    def check(events):
        checker, delivered = StreamChecker("s"), []
        for stream, index in events:
            if checker.check(f"{stream}/{index}") is EventVerdict.DELIVER:
                assert stream == "s"
                delivered.append(index)
        assert delivered == list(range(len(delivered)))

    check()


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
RECORDS = st.fixed_dictionaries(
    {"format": JSON, "kind": st.sampled_from(["publish", "lease", "claim", "abandon", 3])},
    optional={"id": JSON, "documents": JSON, "duty": JSON, "key": JSON, "through": JSON},
)


@then("no bytes make a decoder fail but with its typed error")
def step_fuzz(context):
    @settings(max_examples=300)
    @given(JSON | RECORDS)
    def records(value):
        for decode in (parse_control_record, parse_checkpoint, parse_claim_record):
            try:
                decode(value)
            except (UnreadableRecordError, NewerFormatError):
                continue

    @settings(max_examples=200)
    @given(st.lists(st.binary(min_size=1) | st.just(b"data: {}\n\n") | st.just(b"id: a/0\n")))
    def events(pieces):
        assembler = StreamAssembler("a", 0, lambda verdict: None)
        seen = [event.index for piece in pieces for event in assembler.feed(piece)]
        assert seen == list(range(len(seen)))

    records()
    events()


@then("no changed resume token is accepted")
def step_tokens(context):
    tokens = ResumeTokens([ResumeKey(id="k1", secret="a secret of sixteen")])
    ticket = ResumeTicket(
        organisation="o",
        request="r",
        endpoint="e",
        stream="s",
        model="m",
        chat=False,
        deadline=100.0,
    )
    good = tokens.sign(ticket)
    assert tokens.verify(good, "o", 1.0) == ticket

    @settings(max_examples=200)
    @given(st.integers(0, len(good) - 1), st.characters())
    def check(position, character):
        changed = good[:position] + character + good[position + 1 :]
        if changed.lower() == good.lower():
            return
        try:
            tokens.verify(changed, "o", 1.0)
        except ResumeRefusedError:
            return
        raise AssertionError(changed)

    check()


def _walk(chart, take):
    """Drive code with random triggers; return the edges it took, checking each."""
    taken = set()

    @settings(max_examples=200)
    @given(st.lists(st.sampled_from(sorted({edge[1] for edge in chart.edges})), max_size=12))
    def check(triggers):
        state = chart.initial
        for before, trigger, after in take(triggers):
            assert before == state
            if after != before or chart.allows(before, trigger):
                assert chart.next(before, trigger) == after, (before, trigger, after)
                taken.add((before, trigger, after))
            state = after

    check()
    assert taken == set(chart.edges), set(chart.edges) - taken


def _claim_walk(triggers):
    claim = Claim("id", ClaimKey("o", "k"), "f", "d", 1.0, 0.0)
    for trigger in triggers:
        before = claim.state.value
        claim.apply_trigger(trigger)
        yield before, trigger, claim.state.value


def _lease_walk(triggers):
    table = LeaseTable()
    for offset, trigger in enumerate(triggers):
        lease = table.get("duty")
        before = "held" if lease is not None and lease.holder else "free"
        record = {"format": 1, "kind": "lease", "id": f"record-{offset}", "duty": "duty"}
        record |= {"holder": "d", "action": trigger, "term_seconds": 1.0}
        record |= {"previous": -1 if lease is None else lease.last_offset}
        table.apply(offset, parse_control_record(record))
        lease = table.get("duty")
        yield before, trigger, "held" if lease is not None and lease.holder else "free"


def _breaker_walk(triggers):
    breaker, now = CircuitBreaker(), 0.0
    for trigger in triggers:
        before, now = breaker.state, now + 100.0
        if trigger == "trip":
            breaker.failures += 10
            breaker.record_failure(now)
        elif trigger == "probe":
            breaker.record_sent(now)
        else:
            breaker.record_success()
        yield before, trigger, breaker.state


def _daemon_walk(triggers):
    daemon = SimpleNamespace(_state="starting", _state_lock=threading.Lock())
    for trigger in triggers:
        before = daemon._state
        try:
            Daemon._transition(daemon, trigger)
        except OutsideChartError:
            pass
        yield before, trigger, daemon._state


@then("every edge of every chart is reached and none outside is taken")
def step_charts(context):
    walks = {
        "claim": _claim_walk,
        "lease": _lease_walk,
        "breaker": _breaker_walk,
        "daemon": _daemon_walk,
    }
    for name, walk in walks.items():
        _walk(load_chart(name), walk)


@then("nothing that may have run is repeated unless it may be, and retries stay in budget")
def step_retries(context):
    @given(st.lists(st.tuples(st.booleans(), st.booleans(), st.booleans()), max_size=200))
    def check(cases):
        policy = RetryPolicy(RetryBudget(0.1), random.Random(1))
        granted = 0
        for maybe, repeatable, started in cases:
            error = EndpointFailedError("x") if maybe else NoEndpointError("x")
            decision = policy.decide(
                error, attempt=1, repeatable=repeatable, response_started=started, time_left=9.0
            )
            if decision.retry:
                granted += 1
                assert not started and (repeatable or not maybe)
                assert decision.delay_seconds < 9.0
        assert granted <= 10

    check()


@then("after the budget is used up only sends that reached no endpoint are repeated")
def step_unreached(context):
    policy = RetryPolicy(RetryBudget(0.1), random.Random(1))

    def repeated(error):
        return policy.decide(
            error, attempt=1, repeatable=True, response_started=False, time_left=9.0
        ).retry

    assert all(repeated(EndpointUnreachableError("x")) for _ in range(50))
    assert sum(repeated(EndpointFailedError("x")) for _ in range(50)) == 10
    assert not repeated(NoEndpointError("x"))
    assert repeated(EndpointUnreachableError("x"))

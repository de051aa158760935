"""Steps on slices of limits while daemons come and go: a pure lender, and daemons around it."""

import sys
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.admission.lending import BorrowerDemand, Census, Lender, lender_of
from brassdrum.admission.limits import Allowance, LocalLimiter
from brassdrum.caller import Caller
from brassdrum.clock import ManualClock
from brassdrum.daemon.endpoint_watch import HostListPoller
from brassdrum.daemon.main import Daemon
from brassdrum.logservice.hosts import Host
from brassdrum.membership.peer_pb2 import READY, DaemonEntry
from brassdrum.standins.site import MODEL
from features.support import eventually

TERM = 2.0
RENEWAL = 0.2
REPLACEMENTS_APART = 0.3
# A daemon that leaves has answered what it runs after so many renewals.
RENEWALS_TO_RUN_OUT = 3
# Any one daemon can get all the eight callers of replacing.feature at once.
ROOM_AT_ONCE = 8


class LentLimit:
    """Play daemons that renew their slices, come, leave and are killed, before one lender."""

    def __init__(self, limit, running_by_daemon, started=-100.0, wanted=1):
        self.limit = limit
        self.now = 0.0
        self.wanted = wanted
        self.running = dict(running_by_daemon)
        self.left = set()
        self.silent = set()
        self.first_places = {}
        self.cut = []
        self.most = 0
        self._grants = {}
        self._lender = Lender(Allowance(1e4, 1e8, limit), TERM, started)

    def census(self):
        """Return who is heard; those who left by plan are not known any more."""
        live = [name for name in self.running if name not in self.left | self.silent]
        return Census(live, sorted({*live, *self.silent}))

    def renew(self, daemon):
        """Let a daemon ask; return for how many requests at once it has room."""
        running = self.running[daemon]
        asked = BorrowerDemand(50.0, 5e3, max(self.wanted, running), running)
        grant = self._lender.lend(daemon, asked, self.census(), self.now)
        self._grants[daemon] = grant
        live = [each for each in self._grants.values() if each.expires > self.now]
        self.most = max(self.most, sum(each.allowance.concurrency for each in live))
        requests = sum(each.allowance.requests_per_second for each in live)
        assert requests <= 1e4 + 1e-6, f"{requests} of 10000 requests a second are lent"
        tokens = sum(each.allowance.tokens_per_second for each in live)
        assert tokens <= 1e8 + 1e-3, f"{tokens} of 1e8 tokens a second are lent"
        return grant.allowance.concurrency

    def lent(self):
        """Return how many places are lent now."""
        live = [each for each in self._grants.values() if each.expires > self.now]
        return sum(each.allowance.concurrency for each in live)

    def round(self, seconds=RENEWAL):
        """Pass a renewal: all that are heard renew; none that serves may be cut to nothing."""
        self.now += seconds
        for daemon in list(self.running):
            if daemon in self.silent:
                continue
            room = self.renew(daemon)
            if daemon not in self.left and room < max(1, self.running[daemon]):
                self.cut.append((round(self.now, 2), daemon, self.running[daemon], room))

    def come(self, daemon):
        """Let a daemon come and ask for its first request."""
        self.running[daemon] = 0
        self.first_places[daemon] = self.renew(daemon)

    def move(self, old, new, count):
        """Let callers of a daemon that leaves go to another one, as far as that has room."""
        moved = min(count, self.running[old])
        self.running[old] -= moved
        room = self._grants[new].allowance.concurrency - self.running[new]
        self.running[new] += max(0, min(moved, room))


def _even(count, running):
    """Return daemons that run equal parts of a number of requests."""
    names = [f"old-{number}" for number in range(count)]
    return {name: running // count + (n < running % count) for n, name in enumerate(names)}


def _count(word):
    return {"three": 3, "four": 4}[word]


@given("{count} daemons that hold slices of {limit:d} concurrent requests and run {busy:d} of them")
def step_hold(context, count, limit, busy):
    context.daemons = _even(_count(count), busy)
    context.lent = LentLimit(limit, context.daemons)
    for _ in range(15):
        context.lent.round()
    # What counts is what happens from here on: the first to ask is lent what others ask for later.
    context.lent.cut.clear()


@given("their lender began {seconds:d} second before")
def step_began(context, seconds):
    context.lent = LentLimit(context.lent.limit, context.daemons, started=RENEWAL - seconds)
    context.lent.round()
    context.lent.cut.clear()


@when("they are replaced in turn, 0.3 seconds apart, and their callers move to the newcomers")
def step_replaced(context):
    lent = context.lent
    moving = []
    for number, old in enumerate(context.daemons):
        new = f"new-{number}"
        lent.come(new)
        lent.left.add(old)
        moving.append((old, new, lent.running[old] // RENEWALS_TO_RUN_OUT + 1))
        # A renewal each 0.2 s, replacements each 0.3 s: one renewal in between, or two.
        renewals = 2 if number % 2 else 1
        for _ in range(renewals):
            for each in moving:
                lent.move(*each)
            lent.round(REPLACEMENTS_APART / renewals)


@then("every newcomer gets room for {places:d} requests at once")
def step_newcomers(context, places):
    assert places == ROOM_AT_ONCE
    assert min(context.lent.first_places.values()) >= places, context.lent.first_places


@then("no daemon that serves is ever left without room")
def step_not_cut(context):
    assert not context.lent.cut, context.lent.cut[:3]


@then("what is lent never adds up to more than the limit")
def step_within(context):
    assert 0 < context.lent.most <= context.lent.limit, context.lent.most


@when("one more daemon comes")
def step_one_more(context):
    context.lent.come("new")


@then("it gets room for {places:d} request at once")
def step_gets(context, places):
    assert context.lent.first_places["new"] >= places, context.lent.first_places


@given("a limit of {limit:d} concurrent requests and {count:d} daemons with callers of their own")
def step_more_daemons(context, limit, count):
    context.lent = LentLimit(limit, _even(count, 0), started=0.0, wanted=3)


@when("they have asked for slices over {terms:d} terms")
def step_terms(context, terms):
    for _ in range(round(terms * TERM / RENEWAL)):
        context.lent.round()


@then("all {places:d} places are lent")
def step_all_lent(context, places):
    assert context.lent.lent() == places, context.lent.lent()


@when("three of them are killed at once")
def step_killed(context):
    *killed, context.survivor = context.daemons
    context.lent.silent.update(killed)
    context.lent.now += RENEWAL
    context.room = context.lent.renew(context.survivor)


@then("the fourth keeps room for {places:d} requests more than it runs")
def step_keeps(context, places):
    running = context.lent.running[context.survivor]
    assert context.room >= running + places, (context.room, running)


class ListedHosts:
    """Stand in for the host list."""

    def __init__(self, names):
        self.names = list(names)

    def read(self):
        """Return all hosts."""
        return [Host(name, "daemon", False, peer_address="127.0.0.1:9") for name in self.names]


SILENT_SECONDS = 1.2


def _watch(context, hosts):
    return HostListPoller(hosts, context.clock, lambda: SILENT_SECONDS)


@given("a daemon that has read a host list of three")
def step_read_list(context):
    context.clock = ManualClock()
    context.hosts = ListedHosts(["d1", "d2", "d3"])
    context.watch = _watch(context, context.hosts)
    context.watch.step()
    assert context.watch.daemon_names() == ["d1", "d2", "d3"]


@when("a fourth daemon is put on the list")
def step_fourth(context):
    context.hosts.names.append("d4")
    context.clock.advance(0.5)
    context.watch.step()


@then("it counts as cut off only when it was silent as long as any other has to be")
def step_counts_later(context):
    assert context.watch.daemon_names() == ["d1", "d2", "d3"]
    assert len(context.watch.daemon_addresses()) == 4
    context.clock.advance(SILENT_SECONDS / 2)
    context.watch.step()
    assert context.watch.daemon_names() == ["d1", "d2", "d3"]
    context.clock.advance(SILENT_SECONDS / 2)
    assert context.watch.daemon_names() == ["d1", "d2", "d3", "d4"]


@then("a daemon that starts counts all that its first list names")
def step_counts_all(context):
    watch = _watch(context, context.hosts)
    watch.step()
    assert watch.daemon_names() == ["d1", "d2", "d3", "d4"]


@given("a host list on which a fourth daemon comes and goes")
def step_flapping(context):
    context.clock = ManualClock()
    context.hosts = ListedHosts(["d1", "d2", "d3"])
    context.watch = _watch(context, context.hosts)
    context.watch.step()


@when("it is read {times:d} times while another thread asks which daemons count")
def step_read_often(context, times):
    # Threads take turns as often as they can, so that one meets the other in the midst of a step.
    interval = sys.getswitchinterval()
    context.stack.push(lambda: sys.setswitchinterval(interval))
    sys.setswitchinterval(1e-6)
    done = threading.Event()

    def ask():
        answers = []
        while not done.is_set():
            answers.append(context.watch.daemon_names())
        return answers

    with ThreadPoolExecutor(1) as executor:
        asking = executor.submit(ask)
        for number in range(times):
            context.hosts.names[3:] = ["d4"] if number % 2 else []
            context.watch.step()
        done.set()
        context.answers = asking.result()


@then("each answer names the three that stay")
def step_three(context):
    assert context.answers
    assert all(answer[:3] == ["d1", "d2", "d3"] for answer in context.answers)


@given("every daemon holds a slice")
def step_slices(context):
    for daemon in context.site.daemons:
        assert Caller(daemon.url, context.secret).complete(MODEL, daemon.settings.name, 2).whole
    names = [daemon.settings.name for daemon in context.site.daemons]
    lender = lender_of("quilters", names)
    context.lender = next(each for each in context.site.daemons if each.settings.name == lender)
    eventually(lambda: set(context.lender.slices_lent("quilters")) == set(names), "all hold slices")


@when("a daemon that is not the lender has stopped")
def step_stopped(context):
    daemon = next(each for each in context.site.daemons if each is not context.lender)
    context.stopped = daemon.settings.name
    daemon.stop()
    context.site.daemons.remove(daemon)


@then("the lender counts no slice of it any more")
def step_given_back(context):
    holders = context.lender.slices_lent("quilters")
    assert context.stopped not in holders, holders


@given("a daemon whose host list names another one that it has not heard")
def step_unheard(context):
    context.execute_steps("Given a site of 1 daemon and 1 engine")
    site = context.site
    site.platform.put_host(
        "silent",
        role="daemon",
        state="live",
        http_address="127.0.0.1:9",
        peer_address="127.0.0.1:9",
    )
    context.clock = ManualClock()
    context.late = []
    for name in ("late-1", "late-2"):
        daemon = Daemon(site.daemon_settings(name, 1), clock=context.clock)
        context.stack.push(daemon.close)
        daemon._read_hosts()
        context.late.append(daemon)


@then("it is not ready until it hears it, or until silence counts as being cut off")
def step_not_ready(context):
    hears, waits = context.late
    for daemon in context.late:
        assert daemon._check_startup() is not None
    entry = DaemonEntry(name="silent", incarnation=1, version=1, state=READY, peer_address="a")
    entry.revision = -1
    hears.gossip.table.merge([entry], context.clock.monotonic())
    assert hears._check_startup() is None
    assert waits._check_startup() is not None
    context.clock.advance(waits.gossip.table.silent_seconds)
    assert waits._check_startup() is None


USES = st.lists(
    st.tuples(st.integers(0, 3), st.floats(0.0, 0.6), st.integers(0, 40), st.booleans()),
    max_size=60,
)


@then("however 4 daemons ask and use, together they use no more than the limits and one burst")
def step_bursts(_context):
    rate, names = 20.0, ["d0", "d1", "d2", "d3"]

    @settings(max_examples=150)
    @given_examples(USES)
    def check(uses):
        limits = Allowance(rate, rate * 1e3, 1000)
        lender = Lender(limits, TERM, 0.0)
        limiters = {name: LocalLimiter(Allowance(0.0, 0.0, 0), 0.0) for name in names}
        until = dict.fromkeys(names, 0.0)
        now, used = 0.0, 0
        for number, pause, count, asks in uses:
            now += pause
            name = names[number]
            limiter = limiters[name]
            if asks or until[name] <= now:
                asked = BorrowerDemand(2.0 * count, 2e3 * count, count, limiter.in_flight)
                grant = lender.lend(name, asked, Census(names, names), now)
                until[name] = grant.expires
                limiter.set_allowance(grant.allowance, now)
                limiter.add_burst(grant.burst_requests, grant.burst_tokens, now)
            taken = [limiter.acquire(1, now) for _ in range(count)].count(None)
            for _ in range(taken):
                limiter.release(1, 1, now)
            used += taken
            # A daemon that is lent less than one request a second may still send one.
            assert used <= rate * now + rate + len(names), (used, now)

    check()

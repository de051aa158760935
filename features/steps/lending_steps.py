"""Steps on the lending of limits while daemons join and leave."""

import sys
import threading
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.admission.lending import BorrowerDemand, Lender, MembershipView, lender_of
from brassdrum.admission.limits import Allowance, LocalLimiter
from brassdrum.caller import Caller
from brassdrum.clock import ManualClock
from brassdrum.daemon.endpoint_watch import HostListPoller
from brassdrum.daemon.main import Daemon
from brassdrum.logservice.hosts import Host
from brassdrum.membership.peer_pb2 import READY, DaemonEntry
from brassdrum.standins.site import MODEL
from features.support import eventually

TERM_SECONDS = 2.0
RENEWAL_SECONDS = 0.2
REPLACEMENT_SECONDS = 0.3
# A stopping daemon finishes its requests within this number of renewals.
RENEWALS_TO_DRAIN = 3
# All eight callers of replacing.feature may reach the same daemon.
MIN_FIRST_SLOTS = 8


class SimulatedDaemons:
    """Simulates daemons that borrow from one lender while they join, leave and are killed."""

    def __init__(self, limit, running_by_daemon, started=-100.0, min_demand=1):
        self.limit = limit
        self.now = 0.0
        self.min_demand = min_demand
        self.running = dict(running_by_daemon)
        self.left = set()
        self.unreachable = set()
        self.first_slots = {}
        self.undersized = []
        self.max_granted = 0
        self._grants = {}
        self._lender = Lender(Allowance(1e4, 1e8, limit), TERM_SECONDS, started)

    def membership_view(self):
        """Return the live and known daemons; those that left as planned are no longer known."""
        live = [name for name in self.running if name not in self.left | self.unreachable]
        return MembershipView(live, sorted({*live, *self.unreachable}))

    def renew(self, daemon):
        """Renew a daemon's slice and return its concurrency."""
        running = self.running[daemon]
        demand = BorrowerDemand(50.0, 5e3, max(self.min_demand, running), running)
        grant = self._lender.lend(daemon, demand, self.membership_view(), self.now)
        self._grants[daemon] = grant
        live = [each for each in self._grants.values() if each.expires > self.now]
        self.max_granted = max(self.max_granted, sum(each.allowance.concurrency for each in live))
        requests = sum(each.allowance.requests_per_second for each in live)
        assert requests <= 1e4 + 1e-6, f"{requests} of 10000 requests per second are granted"
        tokens = sum(each.allowance.tokens_per_second for each in live)
        assert tokens <= 1e8 + 1e-3, f"{tokens} of 1e8 tokens per second are granted"
        return grant.allowance.concurrency

    def granted_slots(self):
        """Return the number of slots granted now."""
        live = [each for each in self._grants.values() if each.expires > self.now]
        return sum(each.allowance.concurrency for each in live)

    def renew_all(self, seconds=RENEWAL_SECONDS):
        """Renew the slices of all live daemons; record each whose slice is too small."""
        self.now += seconds
        for daemon in list(self.running):
            if daemon in self.unreachable:
                continue
            slots = self.renew(daemon)
            if daemon not in self.left and slots < max(1, self.running[daemon]):
                self.undersized.append((round(self.now, 2), daemon, self.running[daemon], slots))

    def join(self, daemon):
        """Add a daemon and request its first slice."""
        self.running[daemon] = 0
        self.first_slots[daemon] = self.renew(daemon)

    def move(self, old, new, count):
        """Move callers of a leaving daemon to another one, up to its free slots."""
        moved = min(count, self.running[old])
        self.running[old] -= moved
        slots = self._grants[new].allowance.concurrency - self.running[new]
        self.running[new] += max(0, min(moved, slots))


def _distribute_evenly(count, running):
    """Return daemons with evenly distributed running requests."""
    names = [f"old-{number}" for number in range(count)]
    return {name: running // count + (n < running % count) for n, name in enumerate(names)}


def _parse_count(word):
    return {"three": 3, "four": 4}[word]


@given("{count} daemons that share a limit of {limit:d} concurrent requests and run {running:d}")
def step_shared_limit(context, count, limit, running):
    context.daemons = _distribute_evenly(_parse_count(count), running)
    context.simulation = SimulatedDaemons(limit, context.daemons)
    for _ in range(15):
        context.simulation.renew_all()
    # Ignore the setup, in which the first borrower holds what the others demand later.
    context.simulation.undersized.clear()


@given("their lender started {seconds:d} second earlier")
def step_lender_started(context, seconds):
    context.simulation = SimulatedDaemons(
        context.simulation.limit, context.daemons, started=RENEWAL_SECONDS - seconds
    )
    context.simulation.renew_all()
    context.simulation.undersized.clear()


@when("they are replaced in turn, 0.3 seconds apart, and their callers move to the new daemons")
def step_replaced(context):
    simulation = context.simulation
    moving = []
    for number, old in enumerate(context.daemons):
        new = f"new-{number}"
        simulation.join(new)
        simulation.left.add(old)
        moving.append((old, new, simulation.running[old] // RENEWALS_TO_DRAIN + 1))
        # With renewals every 0.2 s, one or two fall between two replacements.
        renewals = 2 if number % 2 else 1
        for _ in range(renewals):
            for each in moving:
                simulation.move(*each)
            simulation.renew_all(REPLACEMENT_SECONDS / renewals)


@then("every new daemon is granted at least {slots:d} slots on its first request")
def step_new_daemons(context, slots):
    assert slots == MIN_FIRST_SLOTS
    assert min(context.simulation.first_slots.values()) >= slots, context.simulation.first_slots


@then("no serving daemon's slice drops to zero or below its running requests")
def step_not_cut(context):
    assert not context.simulation.undersized, context.simulation.undersized[:3]


@then("the granted slices never exceed the limit in total")
def step_total(context):
    assert (
        0 < context.simulation.max_granted <= context.simulation.limit
    ), context.simulation.max_granted


@when("another daemon joins")
def step_another_daemon(context):
    context.simulation.join("new")


@then("it is granted at least {slots:d} slot on its first request")
def step_first_slots(context, slots):
    assert context.simulation.first_slots["new"] >= slots, context.simulation.first_slots


@given("a limit of {limit:d} concurrent requests and {count:d} daemons that all have demand")
def step_daemons_with_demand(context, limit, count):
    context.simulation = SimulatedDaemons(
        limit, _distribute_evenly(count, 0), started=0.0, min_demand=3
    )


@when("they renew their slices for {terms:d} terms")
def step_terms(context, terms):
    for _ in range(round(terms * TERM_SECONDS / RENEWAL_SECONDS)):
        context.simulation.renew_all()


@then("all {slots:d} slots are granted")
def step_all_granted(context, slots):
    assert context.simulation.granted_slots() == slots, context.simulation.granted_slots()


@when("three of them are killed at the same time")
def step_killed(context):
    *killed, context.survivor = context.daemons
    context.simulation.unreachable.update(killed)
    context.simulation.now += RENEWAL_SECONDS
    context.slots = context.simulation.renew(context.survivor)


@then("the fourth keeps at least {slots:d} free slots")
def step_free_slots(context, slots):
    running = context.simulation.running[context.survivor]
    assert context.slots >= running + slots, (context.slots, running)


class ListedHosts:
    """Fake host list."""

    def __init__(self, names):
        self.names = list(names)

    def read(self):
        """Return all hosts."""
        return [Host(name, "daemon", False, peer_address="127.0.0.1:9") for name in self.names]


SILENCE_TIMEOUT_SECONDS = 1.2


def _watch(context, hosts):
    return HostListPoller(hosts, context.clock, lambda: SILENCE_TIMEOUT_SECONDS)


@given("a daemon that has read a host list with three daemons")
def step_read_list(context):
    context.clock = ManualClock()
    context.hosts = ListedHosts(["d1", "d2", "d3"])
    context.watch = _watch(context, context.hosts)
    context.watch.step()
    assert context.watch.daemon_names() == ["d1", "d2", "d3"]


@when("a fourth daemon is added to the list")
def step_added(context):
    context.hosts.names.append("d4")
    context.clock.advance(0.5)
    context.watch.step()


@then("it counts as unreachable only after the silence timeout that applies to every daemon")
def step_silence_timeout(context):
    assert context.watch.daemon_names() == ["d1", "d2", "d3"]
    assert len(context.watch.daemon_addresses()) == 4
    context.clock.advance(SILENCE_TIMEOUT_SECONDS / 2)
    context.watch.step()
    assert context.watch.daemon_names() == ["d1", "d2", "d3"]
    context.clock.advance(SILENCE_TIMEOUT_SECONDS / 2)
    assert context.watch.daemon_names() == ["d1", "d2", "d3", "d4"]


@then("a daemon that starts counts every daemon on its first list")
def step_first_list(context):
    watch = _watch(context, context.hosts)
    watch.step()
    assert watch.daemon_names() == ["d1", "d2", "d3", "d4"]


@given("a host list to which a fourth daemon is repeatedly added and removed")
def step_unstable_list(context):
    context.clock = ManualClock()
    context.hosts = ListedHosts(["d1", "d2", "d3"])
    context.watch = _watch(context, context.hosts)
    context.watch.step()


@when("the list is read {times:d} times while another thread queries the known daemons")
def step_read_often(context, times):
    # Frequent thread switches make the query likely to interrupt a reload.
    interval = sys.getswitchinterval()
    context.stack.push(lambda: sys.setswitchinterval(interval))
    sys.setswitchinterval(1e-6)
    done = threading.Event()

    def query():
        answers = []
        while not done.is_set():
            answers.append(context.watch.daemon_names())
        return answers

    with ThreadPoolExecutor(1) as executor:
        querying = executor.submit(query)
        for number in range(times):
            context.hosts.names[3:] = ["d4"] if number % 2 else []
            context.watch.step()
        done.set()
        context.answers = querying.result()


@then("every query returns the three permanent daemons")
def step_permanent(context):
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


@when("a daemon other than the lender stops")
def step_stopped(context):
    daemon = next(each for each in context.site.daemons if each is not context.lender)
    context.stopped = daemon.settings.name
    daemon.stop()
    context.site.daemons.remove(daemon)


@then("the lender no longer lists a slice for it")
def step_returned(context):
    holders = context.lender.slices_lent("quilters")
    assert context.stopped not in holders, holders


@given("a daemon whose host list names a peer that it has not heard from")
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


@then("it is not ready until it hears from the peer or the silence timeout expires")
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


@then("for any demand and use, 4 daemons together use at most the limits plus one burst")
def step_bursts(_context):
    rate, names = 20.0, ["d0", "d1", "d2", "d3"]

    @settings(max_examples=150)
    @given_examples(USES)
    def check(uses):
        limits = Allowance(rate, rate * 1e3, 1000)
        lender = Lender(limits, TERM_SECONDS, 0.0)
        limiters = {name: LocalLimiter(Allowance(0.0, 0.0, 0), 0.0) for name in names}
        until = dict.fromkeys(names, 0.0)
        now, used = 0.0, 0
        for number, pause, count, renews in uses:
            now += pause
            name = names[number]
            limiter = limiters[name]
            if renews or until[name] <= now:
                demand = BorrowerDemand(2.0 * count, 2e3 * count, count, limiter.in_flight)
                grant = lender.lend(name, demand, MembershipView(names, names), now)
                until[name] = grant.expires
                limiter.set_allowance(grant.allowance, now)
                limiter.add_burst(grant.burst_requests, grant.burst_tokens, now)
            taken = [limiter.acquire(1, now) for _ in range(count)].count(None)
            for _ in range(taken):
                limiter.release(1, 1, now)
            used += taken
            # A daemon with a rate below one request per second may still send one.
            assert used <= rate * now + rate + len(names), (used, now)

    check()

"""Steps on the calls to the store of a simulated fleet."""

import random
from concurrent.futures import Future

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.store_calls import FleetPlan, SimulatedFleet, play_day
from brassdrum.gateway.following.first_state import FirstState
from brassdrum.gateway.following.start_page import DAEMONS_PATH, START_PATH, StartPage
from brassdrum.gateway.model import DaemonAddress
from features.gateway_world import RunningGateway
from features.steps.gateway_steps import send_request, start_gateways


def mark(context):
    """Count calls from now on."""
    context.calls_before = context.fleet.store.calls
    context.kinds_before = dict(context.fleet.store.calls_by_kind)


def made(context, kind):
    return context.fleet.store.calls_by_kind[kind] - context.kinds_before.get(kind, 0)


def daemons(context):
    return list(context.fleet.daemons_by_host.values())


@then("a day of {count:d} daemons takes at most {calls:d} calls to the store")
def step_day(context, count, calls):
    phases = play_day(FleetPlan(count))
    assert phases[-1].calls <= calls, phases
    assert phases[-1].last_configured_ms <= 250, phases


@given("a simulated fleet of {count:d} daemons that are all registered")
def step_fleet(context, count):
    context.fleet = SimulatedFleet(FleetPlan(count))
    context.fleet.start_all()
    # The lists that aggregators keep are older than 10 s, and second looks are over.
    context.fleet.loop.advance(20.0)
    assert len(context.fleet.store.addresses_by_name) == count
    mark(context)


@given("a simulated fleet of no daemons, without seeds")
def step_no_fleet(context):
    context.fleet = SimulatedFleet(FleetPlan(0))
    context.fleet.seed_hosts = ()
    mark(context)


@given("a simulated fleet of {count:d} daemons whose store is away")
def step_fleet_away(context, count):
    context.fleet = SimulatedFleet(FleetPlan(count))
    context.fleet.store.silent = True
    mark(context)


@given("a simulated fleet of {count:d} daemons of the previous release")
def step_fleet_previous(context, count):
    step_fleet(context, count)
    for daemon in daemons(context):
        daemon.missing_pages = frozenset((START_PATH, DAEMONS_PATH))


@when("all of them restart within {spread:g} s and {seconds:g} s go by")
@when("all of them start within {spread:g} s and {seconds:g} s go by")
def step_all_start(context, spread, seconds):
    context.fleet.start_all(spread)
    context.fleet.loop.advance(seconds)


@when("the seeds stop and a daemon with dead seeds starts")
def step_dead_seeds(context):
    for host in context.fleet.seed_hosts:
        context.fleet.stop(host)
    context.fleet.loop.advance(5.0)
    context.newcomer = context.fleet.start(9)


@when("a daemon with live seeds starts and {seconds:g} s go by")
def step_live_seeds(context, seconds):
    context.newcomer = context.fleet.start(9)
    context.fleet.loop.advance(seconds)


@when("two daemons start 1 ms apart and {seconds:g} s go by")
def step_two(context, seconds):
    context.fleet.start(0)
    context.fleet.loop.advance(0.001)
    context.fleet.start(1)
    context.fleet.loop.advance(seconds)


@when("the store is back and {seconds:g} s go by")
def step_back(context, seconds):
    context.fleet.store.silent = False
    context.fleet.loop.advance(seconds)


@when("the store is away for {seconds:g} s")
def step_away(context, seconds):
    context.fleet.store.silent = True
    mark(context)
    context.fleet.loop.advance(seconds)


@when("the store does not answer the first daemon in order, and {seconds:g} s go by")
def step_first_cut_off(context, seconds):
    first = [each for each in daemons(context) if each.peers.rank == 0]
    assert len(first) == 1
    context.fleet.store.unanswered_hosts = {first[0].address.host}
    context.fleet.loop.advance(seconds)


@when("the store does not answer any aggregator, and {seconds:g} s go by")
def step_aggregators_cut_off(context, seconds):
    hosts = {each.address.host for each in daemons(context) if each.peers.is_aggregator}
    assert len(hosts) == 3, hosts
    context.fleet.store.unanswered_hosts = hosts
    context.fleet.loop.advance(seconds)


@when("the store is restored without the records of {count:d} daemons, and {seconds:g} s go by")
def step_restored(context, count, seconds):
    store = context.fleet.store
    store.era += 1
    for name in sorted(store.addresses_by_name)[:count]:
        del store.addresses_by_name[name]
    context.fleet.loop.advance(seconds)


@when("daemon {number:d} stops, another host starts a daemon of its name, and {seconds:g} s go by")
def step_replaced(context, number, seconds):
    context.number, context.other_host = number, "10.0.9.9"
    context.fleet.stop(context.fleet.host(number))
    context.fleet.start(number, host=context.other_host)
    context.fleet.loop.advance(seconds)


@when("that one stops, the first host starts it again {pause:g} s later, and {seconds:g} s go by")
def step_first_returns(context, pause, seconds):
    context.fleet.stop(context.other_host)
    context.fleet.loop.advance(pause)
    context.fleet.start(context.number)
    context.fleet.loop.advance(seconds)


@then("the store lists the name of daemon {number:d} at the other host")
def step_listed_other(context, number):
    listed = context.fleet.store.addresses_by_name[f"daemon-{number}"]
    assert listed.host == context.other_host, listed


@then("the store lists the name of daemon {number:d} at its first host")
def step_listed_first(context, number):
    listed = context.fleet.store.addresses_by_name[f"daemon-{number}"]
    assert listed.host == context.fleet.host(number), listed


@then("the store lists all daemons")
def step_all_listed(context):
    listed = context.fleet.store.addresses_by_name
    for each in daemons(context):
        assert listed.get(each.name) == each.address, (each.name, listed)


@then("no daemon has written its address")
def step_none_written(context):
    assert made(context, "announce") == 0, made(context, "announce")


@then("at most {count:d} addresses were written")
def step_few_written(context, count):
    assert made(context, "announce") <= count, made(context, "announce")


@then("the list of daemons was not read")
def step_list_not_read(context):
    assert made(context, "daemons") == 0, made(context, "daemons")


@then("at most {count:d} calls were made")
def step_at_most(context, count):
    calls = context.fleet.store.calls - context.calls_before
    assert calls <= count, (calls, context.kinds_before, context.fleet.store.calls_by_kind)


@then("all daemons know each other and the configuration")
def step_all_know(context):
    count = len(daemons(context))
    assert [each.peers.live for each in daemons(context)] == [count] * count
    assert {each.routing_state.version for each in daemons(context)} == {1}


@then("the state of all daemons is at most {seconds:g} s old")
def step_fresh(context, seconds):
    ages = [each.follower.age() for each in daemons(context)]
    assert max(ages) <= seconds, sorted(ages)


@then("it has the configuration within {seconds:g} s")
def step_configured(context, seconds):
    context.fleet.loop.advance(seconds)
    newcomer = context.newcomer
    assert newcomer.configured_at is not None
    delay = newcomer.configured_at - newcomer.started_at
    assert delay <= seconds, delay


@then("it knows a live daemon within {seconds:g} s")
@then("the new daemon knows a live daemon within {seconds:g} s")
def step_knows_one(context, seconds):
    context.fleet.loop.advance(seconds)
    hosts = [each.host for each in context.newcomer.peers.forward_targets()]
    assert set(hosts) & set(context.fleet.daemons_by_host), hosts


class StubStartPeers:
    """A peer that has answered, and the order of reads."""

    own_host = "10.0.0.9"
    rank = 1

    def probe_silent_seeds(self):
        """Probe nobody."""

    def forward_targets(self):
        """Return the peer."""
        return [DaemonAddress("10.0.0.1", "zone-a")]


def start_beside(context, page):
    context.loop = SimulatedLoop()
    context.has_requests = False
    answered_at = context.loop.now()

    def submit(work, done):
        future = Future()
        future.set_result(work())
        context.loop.call_later(0.004, lambda: done(future))

    context.first_state = FirstState(
        context.loop,
        StubStartPeers(),
        random.Random(1),
        submit,
        lambda _host, _path: page(context.loop.now() - answered_at).encode(),
        lambda *_: None,
        lambda: context.has_requests,
    )
    context.first_state.start()


@given("a daemon that starts beside a peer without a state")
def step_beside_clueless(context):
    start_beside(context, lambda _: StartPage(None, 0))


@given("a daemon that starts beside a peer whose read has just failed")
def step_beside_failing(context):
    start_beside(context, lambda seconds: StartPage(None, 0, failed_ago=0.1 + seconds))


@when("it has waited {seconds:g} s")
def step_pass(context, seconds):
    context.loop.advance(seconds)


@when("a request waits there")
def step_arrives(context):
    context.has_requests = True


@then("it does not read the store yet")
def step_not_yet(context):
    assert not context.first_state.may_read()


@then("it may read the store")
def step_may_read(context):
    assert context.first_state.may_read()


@given("a daemon with a state")
def step_with_state(context):
    step_fleet(context, 1)


@when("{count:d} daemons ask for its start page within {seconds:g} s")
def step_ask(context, count, seconds):
    daemon = daemons(context)[0]
    # At the beginning of a second.
    context.fleet.loop.advance(1.0 - context.fleet.loop.now() % 1.0 + 0.001)
    context.pages = []
    for _ in range(count):
        context.pages.append(StartPage.decode(daemon.page(START_PATH)))
        context.fleet.loop.advance(seconds / count)


@then("{count:d} of them are sent to another source")
def step_sent_away(context, count):
    assert sum(each.busy for each in context.pages) == count, context.pages


@given("a gateway with one endpoint that is the seed of another")
def step_seed(context):
    start_gateways(context, 1, 1)


@when('the other gateway starts and a caller sends it a "{kind}" at once')
def step_other_starts(context, kind):
    first = context.gateways[0]
    second = RunningGateway(context.store, 3, first.daemon.settings.peer_port, seeds=(first.host,))
    context.add_cleanup(second.close)
    context.gateways.append(second)
    send_request(context, kind, 1)

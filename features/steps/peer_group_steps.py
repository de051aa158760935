"""Steps on peers in simulated time: who speaks for whom, and what each counts."""

import random
import statistics
from collections import Counter

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.gateway.following.suspicion import FailureDetector
from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering.peer_messages import PeerBelief
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.peering.spreading import branches
from brassdrum.gateway.placing.load import LoadTable, Share

ENGINES = 20
MEMORY = 6400


class Daemon:
    """Hold one daemon's peers and work."""

    def __init__(self, fleet, number, zones, incarnation=1):
        self.number = number
        self.incarnation = incarnation
        self.address = DaemonAddress(f"10.{number % zones}.0.{number}", f"zone-{number % zones}")
        self.loop = SlowedLoop(fleet.loop)
        self.table = LoadTable()
        self.suspicions = FailureDetector()
        self.heard_at = []
        self.requests = {}
        self.peers = Peers(
            self.loop,
            fleet.network.join(self.address.host),
            f"daemon-{number}",
            self.address,
            incarnation,
            self.table,
            lambda: PeerBelief(
                1, "abc", 0.0, 1, failing=tuple(self.suspicions.notices(self.loop.now()))
            ),
            lambda *_: None,
            self._heard_word,
            random.Random(number),
        )
        self.peers.introduce("10.0.0.0")

    def _heard_word(self, _host, belief):
        for word in belief.failing:
            self.suspicions.apply_notice(word, self.loop.now())
            self.heard_at.append(self.loop.now())

    def begin(self, name, engine):
        """Begin a request at an engine."""
        share = Share(engine, 0.0, MEMORY, 250)
        self.table.start(name, [share], self.loop.now(), 10.0)
        self.requests[name] = engine
        self.peers.changed()

    def end(self, name):
        """End a request."""
        self.table.end(name, self.loop.now())
        del self.requests[name]
        self.peers.changed()


class SlowedLoop:
    """Stand between a daemon and the loop, so that it can die."""

    def __init__(self, loop):
        self._loop = loop
        self.dead = False

    def now(self):
        """Return simulated seconds."""
        return self._loop.now()

    def call_later(self, seconds, callback):
        """Call a function unless the daemon is dead by then."""
        return self._loop.call_later(seconds, lambda: None if self.dead else callback())


class Fleet:
    """Hold all daemons of one scenario."""

    def __init__(self, count, zones, seconds=5.0):
        self.loop = SimulatedLoop()
        self.network = SimulatedNetwork(self.loop, random.Random(1))
        self.zones = zones
        self.daemons = [Daemon(self, number, zones) for number in range(count)]
        self.loop.advance(seconds)

    def expected(self):
        """Return the streams at each engine that are in flight."""
        return Counter(engine for each in self.daemons for engine in each.requests.values())

    def counted(self, daemon):
        """Return the streams at each engine as one daemon counts them."""
        names = {f"engine-{number}" for number in range(ENGINES)} | set(self.expected())
        totals = {name: daemon.table.total(name) for name in names}
        return Counter({name: load.writers for name, load in totals.items() if load.writers})

    def right(self):
        """Return whether all count what is in flight, and its memory."""
        expected = self.expected()
        return all(self.counted(each) == expected for each in self.daemons) and all(
            each.table.total(name).memory == count * MEMORY
            for each in self.daemons
            for name, count in expected.items()
        )

    def within(self, seconds, holds):
        """Return whether something comes to hold in time."""
        end = self.loop.now() + seconds
        while not holds():
            if self.loop.now() >= end:
                return False
            self.loop.advance(0.01)
        return True

    def speaker(self, zone):
        """Return the daemon that speaks for a zone."""
        (found,) = [
            each for each in self.daemons if each.peers.speaks and each.address.zone == zone
        ]
        return found

    def live(self, count):
        """Return whether each daemon knows how many live, and one of each zone speaks."""
        speaking = Counter(each.address.zone for each in self.daemons if each.peers.speaks)
        return (
            all(each.peers.live == count for each in self.daemons)
            and set(speaking.values()) == {1}
            and len(speaking) == self.zones
        )

    def kill(self, daemon):
        """End a daemon without a word."""
        daemon.loop.dead = True
        self.network.leave(daemon.address.host)
        self.daemons.remove(daemon)

    def start_again(self, daemon):
        """Start a daemon under the address of one that died."""
        fresh = Daemon(self, daemon.number, self.zones, daemon.incarnation + 1)
        self.daemons.append(fresh)
        return fresh


@given("{count:d} daemons in {zones:d} zones that know each other")
def step_fleet(context, count, zones):
    context.fleet = Fleet(count, zones)
    assert context.fleet.within(
        5.0, lambda: all(each.peers.live == count for each in context.fleet.daemons)
    ), Counter(each.peers.live for each in context.fleet.daemons)


@then("each knows that {count:d} live, and one daemon of each zone speaks")
def step_live(context, count):
    assert context.fleet.live(count)


@when("one of them begins a request")
def step_begin(context):
    context.one = context.fleet.daemons[-1]
    context.before = context.one.peers.sent_datagrams
    context.one.begin("request", "engine-3")


@then("all count it once within {seconds:g} seconds")
def step_seen(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@then("that daemon sent at most {count:d} datagrams for it")
def step_few(context, count):
    assert context.one.peers.sent_datagrams - context.before <= count


@when("that request ends")
def step_end(context):
    context.one.end("request")


@then("nobody counts it after {seconds:g} seconds")
def step_gone(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@given("fleets of {small:d} and of {large:d} daemons with a request a second each for 4 seconds")
def step_two_fleets(context, small, large):
    context.fleets = [busy_fleet(small, 3), busy_fleet(large, 5)]


def busy_fleet(count, zones):
    """Return what each host sent and got in a second, while each daemon has a request a second."""
    fleet = Fleet(count, zones)
    before = {host: (t.got, t.got_bytes, t.sent_bytes) for host, t in traffic(fleet)}
    rng = random.Random(count)
    for second in range(4):
        for daemon in fleet.daemons:
            name = f"request-{second}"
            engine = f"engine-{rng.randrange(count)}"
            fleet.loop.call_later(
                second + rng.random(),
                lambda d=daemon, n=name, e=engine: (
                    d.begin(n, e),
                    fleet.loop.call_later(0.8, lambda: d.end(n)),
                ),
            )
    fleet.loop.advance(5.0)
    return {
        host: tuple(
            (a - b) / 5.0
            for a, b in zip((t.got, t.got_bytes, t.sent_bytes), before[host], strict=True)
        )
        for host, t in traffic(fleet)
    }


def traffic(fleet):
    """Return the traffic by host."""
    return list(fleet.network.traffic_by_host.items())


@then("one of the large fleet gets at most {times:g} times the datagrams of one of the small fleet")
def step_flat(context, times):
    small, large = (
        statistics.median(got for got, _, _ in fleet.values()) for fleet in context.fleets
    )
    assert large <= times * small, (small, large)


@then("none of the large fleet sends more than {times:g} times the bytes of the middle one")
def step_busiest(context, times):
    sent = [each[2] for each in context.fleets[1].values()]
    assert max(sent) <= times * statistics.median(sent), (max(sent), statistics.median(sent))


@then("the middle one of the large fleet gets at most {kilobytes:g} KB a second")
def step_bytes(context, kilobytes):
    got = statistics.median(each[1] for each in context.fleets[1].values())
    assert got <= kilobytes * 1000, got


@given("each of them has a request in flight")
def step_all_busy(context):
    for daemon in context.fleet.daemons:
        daemon.begin("request", f"engine-{daemon.number % ENGINES}")
    if not context.fleet.network.loss:
        assert context.fleet.within(1.0, context.fleet.right)


@when("the daemon that speaks for the first zone {trouble}")
def step_trouble(context, trouble):
    fleet = context.fleet
    speaker = context.speaker = fleet.speaker("zone-0")
    host = speaker.address.host
    others = [each.address.host for each in fleet.daemons if each is not speaker]
    if trouble == "is cut off":
        fleet.network.cut.add(host)
        fleet.daemons.remove(speaker)
    elif trouble == "dies":
        fleet.kill(speaker)
    elif trouble == "begins its planned stop":
        speaker.peers.leaving = True
        speaker.peers.announce()
    elif trouble == "is not heard by its members":
        near = [h for h in others if h.startswith("10.0.")]
        fleet.network.cut_ways |= {(host, other) for other in near}
        fleet.daemons.remove(speaker)
    elif trouble == "does not hear its members":
        near = [h for h in others if h.startswith("10.0.")]
        fleet.network.cut_ways |= {(other, host) for other in near}
        fleet.daemons.remove(speaker)
    else:
        assert trouble == "is cut off for 6 seconds"
        fleet.network.cut.add(host)
        fleet.loop.advance(6.0)
        fleet.network.cut.remove(host)


@then("within {seconds:g} seconds another one speaks and all counts are right")
def step_another(context, seconds):
    fleet = context.fleet

    def holds():
        speaking = [each for each in fleet.daemons if each.peers.speaks]
        zones = {each.address.zone for each in speaking if each is not context.speaker}
        return zones == {"zone-0", "zone-1", "zone-2"} and counts_without(fleet, context.speaker)

    assert fleet.within(seconds, holds), [
        (each.address.host, fleet.counted(each) - fleet.expected()) for each in fleet.daemons
    ]


def counts_without(fleet, speaker):
    """Return whether all count the work of all daemons that can be reached.

    A speaker whose way to its members is cut one way only may still be heard by other zones.
    """
    with_it = fleet.expected()
    with_it.update(speaker.requests.values() if speaker not in fleet.daemons else ())
    allowed = (fleet.expected(), with_it)
    return all(fleet.counted(each) in allowed for each in fleet.daemons)


@then("within {seconds:g} seconds all counts are right and each knows that {count:d} live")
def step_right_again(context, seconds, count):
    fleet = context.fleet
    assert fleet.within(seconds, lambda: fleet.right() and fleet.live(count)), Counter(
        each.peers.live for each in fleet.daemons
    )


@then("within {seconds:g} seconds all counts are right")
def step_right(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@when("a daemon that does not speak avoids an endpoint for 0.8 seconds")
def step_avoids(context):
    fleet = context.fleet
    context.avoiding = next(each for each in fleet.daemons if not each.peers.speaks)
    assert context.avoiding.suspicions.record_failure("a", fleet.loop.now(), certain=True)
    context.avoiding.begin("r", "b")


@then("all others have heard of it within {seconds:g} seconds")
def step_heard_of(context, seconds):
    fleet = context.fleet
    fleet.loop.advance(seconds)
    now = fleet.loop.now()
    deaf = [each for each in fleet.daemons if not each.suspicions.is_suspect("a", now)]
    assert not deaf, [each.address for each in deaf]


@then("nobody tells of it after {seconds:g} seconds")
def step_silent_after(context, seconds):
    fleet = context.fleet
    fleet.loop.advance(seconds)
    now = fleet.loop.now()
    late = [each.address for each in fleet.daemons if each.heard_at and each.heard_at[-1] > now - 1]
    assert not late, late


@when("a daemon that does not speak starts again")
def step_start_again(context):
    fleet = context.fleet
    daemon = next(each for each in fleet.daemons if not each.peers.speaks)
    fleet.kill(daemon)
    context.one = fleet.start_again(daemon)
    fleet.loop.advance(0.5)
    context.one.begin("new", "engine-7")


@then("within {seconds:g} seconds its request counts nowhere and its new one counts once")
def step_new_counts(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@given("one datagram in {count:d} is lost")
def step_loss(context, count):
    context.fleet.network.loss = 1 / count


@given("{count:d} daemons that start at once with a list that names {dead:d} dead ones")
def step_start_listed(context, count, dead):
    context.fleet = fleet = Fleet(count, 3, seconds=0.0)
    listed = [DaemonAddress(f"10.{n % 3}.9.{n}", f"zone-{n % 3}", 9) for n in range(dead)]
    listed += [each.address for each in fleet.daemons]
    for daemon in fleet.daemons:
        daemon.peers.learn(listed)


@then(
    "within {seconds:g} seconds each knows that {count:d} live, and one daemon of each zone speaks"
)
def step_soon_live(context, seconds, count):
    fleet = context.fleet
    assert fleet.within(seconds, lambda: fleet.live(count)), Counter(
        each.peers.live for each in fleet.daemons
    )


@when("the first zone cannot reach the others for {seconds:g} seconds")
def step_zone_cut(context, seconds):
    fleet = context.fleet
    near = [each.address.host for each in fleet.daemons if each.address.zone == "zone-0"]
    far = [each.address.host for each in fleet.daemons if each.address.zone != "zone-0"]
    ways = {way for a in near for b in far for way in ((a, b), (b, a))}
    fleet.network.cut_ways |= ways
    fleet.loop.advance(seconds)
    fleet.network.cut_ways -= ways


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "end", "cut", "heal", "kill", "start", "stop", "lose"]),
        st.integers(0, 19),
        st.floats(0.01, 2.0),
    ),
    max_size=25,
)


@then(
    "random requests, cuts, deaths, starts and losses leave right counts after {seconds:g} seconds"
)
def step_random(context, seconds):
    phases = (Phase.explicit, Phase.generate)  # Shrinking plays each fleet again for minutes.

    @settings(max_examples=20, deadline=None, database=None, derandomize=True, phases=phases)
    @for_all(ACTIONS)
    def holds(actions):
        fleet = Fleet(20, 2, seconds=3.0)
        dead = []
        for number, (action, which, pause) in enumerate(actions):
            act(fleet, dead, action, which, number)
            fleet.loop.advance(pause)
        fleet.network.cut.clear()
        fleet.network.loss = 0.0
        live = [each for each in fleet.daemons if not each.peers.leaving]
        assert fleet.within(seconds, fleet.right), actions
        assert fleet.within(
            seconds, lambda: all(each.peers.live == len(live) for each in live)
        ), actions

    holds()


def act(fleet, dead, action, which, number):
    """Do one thing to one daemon of a fleet."""
    daemon = fleet.daemons[which % len(fleet.daemons)]
    if action == "begin":
        daemon.begin(f"request-{number}", f"engine-{which}")
    elif action == "end" and daemon.requests:
        daemon.end(next(iter(daemon.requests)))
    elif action == "cut":
        fleet.network.cut.add(daemon.address.host)
    elif action == "heal":
        fleet.network.cut.clear()
    elif action == "kill" and len(fleet.daemons) > 6:
        fleet.kill(daemon)
        dead.append(daemon)
    elif action == "start" and dead:
        fleet.start_again(dead.pop())
    elif action == "stop":
        daemon.peers.leaving = True
        daemon.peers.announce()
    elif action == "lose":
        fleet.network.loss = 0.1


@then("{hosts:d} hosts are parted into branches of which none sends more than {most:d} copies")
def step_branches(context, hosts, most):
    names = [f"10.0.0.{number}" for number in range(hosts)]
    rng = random.Random(1)
    for _ in range(50):
        found = list(branches(names, rng))
        reached = [each.host for each in found] + [h for each in found for h in each.onward]
        assert sorted(reached) == sorted(names)
        assert len(found) <= most
        assert all(len(each.onward) <= most for each in found)

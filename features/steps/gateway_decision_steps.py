"""Steps on the gateway's pure decisions and on the adapter's decoding."""

import json
import random
import re
import tempfile
import threading
from collections import Counter
from concurrent.futures import Future
from http.server import BaseHTTPRequestHandler, HTTPServer
from itertools import groupby
from pathlib import Path

from behave import given, then, when

import brassdrum
from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.errors import InvalidDocumentError, PlatformUnavailableError
from brassdrum.gateway.events import EventOrderError, EventReader
from brassdrum.gateway.follower import Follower, Snapshot
from brassdrum.gateway.knowledge import Knowledge
from brassdrum.gateway.load import EndpointLoad, LoadRow, LoadTable, Share
from brassdrum.gateway.model import (
    Bounds,
    DeclaredRequest,
    EndpointEntry,
    EngineModel,
    FleetConfiguration,
    RouteKind,
    RouteTarget,
    SharedRecord,
)
from brassdrum.gateway.peer_messages import (
    PeerBelief,
    PeerMessage,
    decode_message,
    encode_message,
)
from brassdrum.gateway.placement import (
    Candidate,
    Need,
    Placement,
    better_later,
    worth_serving,
)
from brassdrum.gateway.policies import policies
from brassdrum.gateway.retry_budget import SharedRetryBudget
from brassdrum.gateway.spreading import recipients
from brassdrum.gateway.stopping import PlannedStop, declared_duration
from brassdrum.gateway.suspicion import Suspicions
from brassdrum.platform.documents import decode_configuration, decode_endpoint
from brassdrum.platform.settings import SettingsFile, read_settings
from brassdrum.platform.store import PlatformStore
from features.gateway_world import HOST, event, route

ENGINE = EngineModel(8, 405_000, 1.31, 0.001, 0.002, 154.0, 0.162, 2048, 34, 0.1)
SHORT = Need(5_000, 1_300, 300.0, 250)
SHORT_LOAD = EndpointLoad(0.0, 6_300, 6_300, 1, 0, {250: 1})


def long_need(tokens, waited=0.0):
    return Need(tokens, 600, 3000.0, 1000, waited)


def entry(number):
    return EndpointEntry(f"engine-{number}", "pool", f"10.0.0.{number}:80", "zone-a", 8, False)


def place(context, need, policy="least_harm"):
    candidates = [
        Candidate(entry(number), load, number in context.suspect)
        for number, load in context.loads.items()
    ]
    context.need = need
    context.placement = policies.get(policy)(need, candidates, ENGINE, random.Random(3))
    return context.placement


@given("{engines:d} idle engines")
def step_idle(context, engines):
    context.loads = {number: EndpointLoad() for number in range(1, engines + 1)}
    context.suspect = set()


@given("a short stream on engine {number:d}")
def step_stream(context, number):
    context.loads[number].add(SHORT_LOAD, 1)


@given("{streams:d} short streams on engine {number:d}")
def step_streams_on(context, streams, number):
    for _ in range(streams):
        context.loads[number].add(SHORT_LOAD, 1)


@given("a stream of {tokens:d} tokens on engine {number:d}")
def step_long_stream(context, tokens, number):
    context.loads[number].add(EndpointLoad(0.0, tokens, tokens, 1, 0, {250: 1}), 1)


@given("{streams:d} short streams on every engine")
def step_streams(context, streams):
    for load in context.loads.values():
        for _ in range(streams):
            load.add(SHORT_LOAD, 1)


@given("engine {number:d} is suspect")
def step_suspect(context, number):
    context.suspect.add(number)


@when("{count:d} short prompts are placed one after the other")
def step_place_short(context, count):
    context.chosen = set()
    for _ in range(count):
        chosen = place(context, SHORT).entry.id
        context.chosen.add(chosen)
        context.loads[int(chosen.split("-")[1])].add(SHORT_LOAD, 1)


@when("a short prompt is placed")
def step_place_one(context):
    place(context, SHORT)


@when("a prompt of {tokens:d} tokens is placed")
def step_place_long(context, tokens):
    place(context, long_need(tokens))


@when("a prompt of {tokens:d} tokens is placed after {waited:d} ms")
def step_place_late(context, tokens, waited):
    place(context, long_need(tokens, float(waited)))


@then("they lie on {most:d} engines at the most")
def step_packed(context, most):
    assert len(context.chosen) <= most, context.chosen


def readers(context):
    return [context.placement.entry, *(each.entry for each in context.placement.helpers)]


@then("it is read by more than {count:d} engines")
def step_readers(context, count):
    assert len(readers(context)) > count


@then("engine {number:d} is not among them")
def step_spared(context, number):
    assert entry(number).id not in {each.id for each in readers(context)}


@then("no part lasts longer than {most:d} ms")
def step_parts(context, most):
    assert all(share.reading_ms <= most for share in context.placement.shares)


@then("nothing is harmed")
def step_no_harm(context):
    assert context.placement.harm == 0


@then("something is harmed")
def step_harm(context):
    assert context.placement.harm > 0


@then("it is called late")
def step_late(context):
    assert context.placement.late > 0


@given("a placement that puts {harm:d} tokens of others and {late:d} of its own at risk")
def step_at_risk(context, harm, late):
    context.placement = Placement(entry(1), (), (), 500.0, "", float(harm), float(late), 400.0)


@then("a prompt of {tokens:d} tokens that waited {waited:d} ms {decision}")
def step_decision(context, tokens, waited, decision):
    waits = better_later(Need(tokens, 0, 3000.0, 1000, float(waited)), context.placement)
    assert waits == (decision == "waits")


@then("it is worth serving")
def step_worth(context):
    assert worth_serving(context.need, context.placement), context.placement


@then("it is not worth serving")
def step_not_worth(context):
    assert not worth_serving(context.need, context.placement), context.placement


@then("every engine stores less than its memory")
def step_memory(context):
    assert all(share.memory < ENGINE.memory for share in context.placement.shares)


@then("the stored parts make up the prompt")
def step_whole(context):
    stored = sum(share.memory for share in context.placement.shares)
    assert stored >= context.need.tokens
    named = {each.entry.id: each.stored for each in context.placement.helpers}
    for share in context.placement.shares[1:]:
        assert share.memory == named[share.endpoint]


@then("engine {number:d} gets it")
def step_gets(context, number):
    assert context.placement.entry.id == entry(number).id


@then('policy "{policy}" places a short prompt and refuses without engines')
def step_policy(context, policy):
    assert place(context, SHORT, policy).entry.id.startswith("engine-")
    context.loads = {}
    assert place(context, SHORT, policy) is None


@given("a planned stop with {grace:d} seconds of grace")
def step_stop(context, grace):
    context.stop = PlannedStop(100.0, float(grace))


@given("a stream of {tokens:d} tokens with an objective of {objective:g} seconds")
def step_stream(context, tokens, objective):
    request = DeclaredRequest("a", b"POST", b"/", HOST, [], 10.0, None, 5000, tokens)
    streams = route("text", RouteKind.STREAM, objective=objective)
    context.duration = declared_duration(streams, request, ENGINE)


@when("it comes {seconds:g} seconds after the stop began")
def step_comes(context, seconds):
    context.now = context.stop.began_at + seconds


@then("the stopping daemon has it {fate}")
def step_fate(context, fate):
    taken = context.stop.takes(context.now, context.duration)
    assert taken == (fate == "taken"), context.duration


@then("the stream {waits} for calmer engines")
def step_waits(context, waits):
    allowed = context.stop.may_wait(context.now, context.duration)
    assert allowed == (waits == "may wait"), context.duration


@given("a retry budget of ratio {ratio:g} and slack {slack:g} over {window:g} seconds")
def step_budget(context, ratio, slack, window):
    context.budget = SharedRetryBudget(ratio, slack, window)


@when("{count:d} requests and as many repeats as allowed are counted among {daemons:d} daemons")
def step_repeats(context, count, daemons):
    for number in range(count):
        context.budget.request(number / count)
    context.allowed = 0
    while context.budget.spend(1.0, daemons):
        context.allowed += 1


@then("at most {most:d} repeats were allowed")
def step_allowed(context, most):
    assert 0 < context.allowed <= most, context.allowed


@then("after {seconds:d} seconds only the slack is left")
def step_slack(context, seconds):
    assert context.budget.left(1.0 + seconds, 3) == 30 / 3 * 0.7


@when("an endpoint fails once among successes")
def step_fail_once(context):
    context.suspicions = Suspicions()
    context.now = 1.0
    context.suspicions.failed("a", context.now, certain=False)
    context.suspicions.succeeded("a")


@when("it fails {times:d} times in a row")
def step_fail_row(context, times):
    for _ in range(times):
        context.suspicions.failed("a", context.now, certain=False)


@when("its connection fails")
def step_fail_connection(context):
    assert context.suspicions.failed("a", context.now, certain=True)


@when("a peer says that an endpoint fails")
def step_peer_says(context):
    context.suspicions = Suspicions()
    context.now = 1.0
    context.suspicions.heard("a", context.now)


@then("it is not suspect")
def step_not_suspect(context):
    assert not context.suspicions.suspect("a", context.now)


@then("it is suspect")
@then("it is suspect at once")
def step_is_suspect(context):
    assert context.suspicions.suspect("a", context.now)


@then("it is suspect but not named to others")
def step_not_named(context):
    assert context.suspicions.suspect("a", context.now)
    assert context.suspicions.named(context.now) == []


@then("it is sound again later")
def step_sound_later(context):
    context.now += 10.0
    assert not context.suspicions.suspect("a", context.now)


@when("two peers and this daemon work at an endpoint")
def step_three(context):
    context.loads_seen = LoadTable()
    context.loads_seen.start("own", [Share("a", 100.0, 5000, 250)], 0.0, 200.0)
    row = LoadRow("a", EndpointLoad(50.0, 7000, 7000, 1, 0, {1000: 1}))
    context.loads_seen.merge("peer-1", [row], 0.0, 1)
    context.loads_seen.merge("peer-2", [row], 1.5, 1)


@then("its total is the sum of the three")
def step_sum(context):
    total = context.loads_seen.total("a")
    assert (total.reading_ms, total.memory, total.calls) == (200.0, 19000, 3)
    assert total.writers == 3
    assert total.tightest_pause() == 250


@when("one peer falls silent")
def step_silent_peer(context):
    context.loads_seen.expire(2.0, 1.8)


@then("its work is dropped")
def step_dropped(context):
    assert context.loads_seen.total("a").memory == 12000


@when("this daemon's prompt is read")
def step_prompt_read(context):
    context.loads_seen.prompt_read("own")


@then("nothing is left to read but the peer's part")
def step_left(context):
    assert context.loads_seen.total("a").reading_ms == 50.0
    context.loads_seen.end("own", 0.0)
    assert context.loads_seen.total("a").calls == 1


@then("a peer message comes back as it was sent")
def step_message(context):
    row = LoadRow("a", EndpointLoad(50, 7000, 6000, 1, 2, {250: 1, 1000: 3}))
    belief = PeerBelief(7, "digest", 0.25, 3, ("b",), ("c",))
    message = PeerMessage(
        "daemon-1", "10.0.0.1", "zone-a", 5, 6, belief, (row,), ("10.0.0.2",), True, True
    )
    assert decode_message(encode_message(message)) == message


@then("these are refused as peer messages: {texts}")
def step_garbage(context, texts):
    for text in re.findall(r'"([^"]*)"', texts):
        try:
            decode_message(text.encode())
        except ValueError:
            continue
        raise AssertionError(f"{text!r} was taken as a message")


@when("the list is read, the store is away for 5 seconds, and the list comes back empty")
def step_lapse(context):
    context.knowledge = Knowledge()
    context.knowledge.read([entry(1), entry(2)], 10.0)
    context.knowledge.store_failed(14.5)
    context.knowledge.read([], 15.0)


@then("the endpoints are kept for 2 seconds and dropped after that")
def step_kept(context):
    assert len(context.knowledge.usable("pool")) == 2
    context.knowledge.read([], 17.0)
    assert len(context.knowledge.usable("pool")) == 2
    changes = context.knowledge.read([], 17.3)
    assert [change.change for change in changes] == ["gone", "gone"]
    assert context.knowledge.usable("pool") == []


@when("an entry leaves the list in a steady time")
def step_leaves(context):
    context.knowledge.read([entry(1), entry(2)], 18.0)
    context.knowledge.read([entry(2)], 18.5)


@then("it is dropped at once")
def step_at_once(context):
    assert [each.id for each in context.knowledge.usable("pool")] == ["engine-2"]


@given("{count:d} daemons in each of 3 zones")
def step_zones(context, count):
    context.zone_by_host = {
        f"10.{zone}.0.{number}": f"zone-{zone}"
        for zone in range(1, 4)
        for number in range(1, count + 1)
    }


@when("one of them tells all others {times:d} times")
def step_tells(context, times):
    others = {host: zone for host, zone in context.zone_by_host.items() if host != "10.1.0.1"}
    context.told = [
        list(recipients("daemon-1", "zone-1", others, beat)) for beat in range(1, times + 1)
    ]


@then("each time it sends {own:d} datagrams in its zone and {other:d} to each other zone")
def step_datagrams(context, own, other):
    expected = {"zone-1": own, "zone-2": other, "zone-3": other}
    for told in context.told:
        assert Counter(context.zone_by_host[each.host] for each in told) == expected
        assert all(each.relay == (other == 1) for each in told if each.host[:5] != "10.1.")


@then("no daemon is the one of its zone more than {most:d} times in a row")
def step_in_a_row(context, most):
    for zone in ("zone-2", "zone-3"):
        chosen = [
            each.host
            for told in context.told
            for each in told
            if context.zone_by_host[each.host] == zone
        ]
        assert max(len(list(run)) for _, run in groupby(chosen)) <= most
        assert len(set(chosen)) == 20


_ON_THE_WAY_SECONDS = 0.002


def _tell(teller, hearer, now):
    """Pass on how old a daemon's knowledge is; return the time of arrival."""
    age = now - teller.read_at
    arrival = now + _ON_THE_WAY_SECONDS
    hearer.confirm(teller.digest, arrival - age, teller.reads)
    return arrival


@given("2 daemons of which one read the list at 10 s")
def step_two(context):
    context.pair = Knowledge(), Knowledge()
    reader, other = context.pair
    reader.read([entry(1)], 10.0)
    other.adopt([entry(1)], 10.0, reader.reads)


@when("each tells the other how old its knowledge is, {count:d} times, 2 ms on the way")
def step_to_and_fro(context, count):
    reader, other = context.pair
    now = 10.0
    for _ in range(count):
        now = _tell(reader, other, now)
        now = _tell(other, reader, now)


@when("the one reads the list again at 20 s and tells the other")
def step_read_again(context):
    reader, other = context.pair
    reader.read([entry(1)], 20.0)
    _tell(reader, other, 20.0)


@then("both hold it to be read between {start:g} and {end:g} s")
def step_read_between(context, start, end):
    for knowledge in context.pair:
        assert start <= knowledge.read_at <= end, knowledge.read_at


@when("a list is read and an older one arrives from a peer")
def step_older_list(context):
    context.knowledge = Knowledge()
    context.knowledge.read([entry(2)], 10.0)
    context.knowledge.adopt([entry(1), entry(2)], 9.0, 1)


@then("the newer one stays")
def step_newer(context):
    assert list(context.knowledge.endpoints_by_id) == ["engine-2"]


@when("a peer says that a listed endpoint leaves")
def step_word(context):
    context.knowledge = Knowledge()
    context.knowledge.read([entry(1), entry(2)], 10.0)
    assert context.knowledge.leaves("engine-1", 11.0)
    assert not context.knowledge.leaves("engine-1", 11.1)


@then("it gets no new work, also after an older list")
def step_word_stays(context):
    context.knowledge.read([entry(1), entry(2)], 10.9)
    assert [each.id for each in context.knowledge.usable("pool")] == ["engine-2"]


@then("it is told to others for a while")
def step_word_told(context):
    assert context.knowledge.recently_left(12.0) == ["engine-1"]
    assert context.knowledge.recently_left(16.0) == []


@then("a list that was read later and shows it ready brings it back")
def step_word_back(context):
    context.knowledge.read([entry(1), entry(2)], 16.5)
    assert len(context.knowledge.usable("pool")) == 2


@when("two versions with nested prefixes arrive in the wrong order")
def step_versions(context):
    context.knowledge = Knowledge()
    kind = RouteKind.IDEMPOTENT
    inner = route("a/b", kind, targets=(RouteTarget("inner", 1.0),))
    outer = route("a", kind, targets=(RouteTarget("outer", 1.0),))
    assert context.knowledge.configure(FleetConfiguration(5, (outer, inner), {}, ()))
    assert not context.knowledge.configure(FleetConfiguration(4, (outer,), {}, ()))


@then("the newer one is in force and the longest prefix wins")
def step_prefix(context):
    knowledge = context.knowledge
    assert knowledge.version == 5
    rng = random.Random(1)
    assert knowledge.target(knowledge.route(HOST, "/a/b/c"), rng) == "inner"
    assert knowledge.target(knowledge.route(HOST, "/a/c"), rng) == "outer"
    assert knowledge.route(HOST, "/ab") is None
    assert knowledge.route("other.example", "/a/c") is None


@then("events cut at every byte come out whole")
def step_cut(context):
    text = event(1) + event(2) + event(3)
    for size in range(1, len(text)):
        reader = EventReader(None)
        pieces = [text[start : start + size] for start in range(0, len(text), size)]
        passed = [reader.feed(piece) for piece in pieces]
        assert b"".join(passed) == text
        assert all(piece.endswith(b"\n\n") for piece in passed if piece)
        assert reader.last_id == 3


@then("a gap, a repeat and a jump back are refused")
def step_order(context):
    for numbers in ((1, 3), (1, 1), (2, 1)):
        reader = EventReader(None)
        try:
            reader.feed(b"".join(event(number) for number in numbers))
        except EventOrderError:
            continue
        raise AssertionError(f"events {numbers} were passed on")


SETTINGS = {
    "node_name": "front-1",
    "ip": "10.1.0.40",
    "zone": "hall-a",
    "listen_addrs": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "port_range": [7340, 7355],
    "seeds": ["10.1.0.41:8229"],
    "bounds": {"drain_ms": 3000, "grace_s": 9, "budget_slack": 50},
    "platform": {"address": "10.200.1.7:8223"},
    "new_field": 1,
}


@then("the settings file of the platform gives a daemon's settings")
def step_settings(context):
    settings = read_text_settings(json.dumps(SETTINGS))
    gateway = settings.gateway
    assert (gateway.caller_port, gateway.ready_port, gateway.peer_port) == (8227, 8220, 7340)
    assert gateway.seeds == ("10.1.0.41",)
    assert gateway.bounds.drain == 3.0
    assert gateway.bounds.grace == 9.0
    assert settings.store == "10.200.1.7:8223"


def read_text_settings(text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.json"
        path.write_text(text)
        return read_settings(path)


@then("a settings file that changes is noticed once")
def step_noticed(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "boot.json"
        path.write_text("{}")
        file = SettingsFile(path)
        assert not file.changed()
        path.write_text('{"zone": "b"}')
        assert file.changed()
        assert not file.changed()
        path.unlink()
        assert not file.changed()


@then("a broken settings file names the file and what is wrong")
def step_broken_settings(context):
    for text in ("", "[]", "{", json.dumps({**SETTINGS, "ip": None})):
        try:
            read_text_settings(text)
        except InvalidDocumentError as error:
            assert "boot.json" in error.message
            continue
        raise AssertionError(f"{text!r} was taken as settings")


CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": HOST,
            "path_prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 10000,
            "goal_ms": 300,
            "priority": 1,
            "backends": [{"service": "pool", "weight": 90}, {"service": "shop", "weight": 10}],
            "max_attempts": 2,
            "resumable": True,
            "gap_aim_ms": 250,
        },
        {"name": "r-2", "host": HOST, "path_prefix": "/b/", "kind": "new kind", "service": "shop"},
    ],
    "services": [
        {
            "name": "pool",
            "max_conns": 374,
            "runtime": {"slots": 8, "kv_tokens": 405000, "step_ms": 1.3, "read_per_s": 154000.0},
        },
        {"name": "shop", "max_conns": 110},
    ],
    "tenants": [{"name": "org-1", "api_keys": ["k1", "k2"], "priority": 0}],
}


@then("a configuration of the platform gives routes, services and organisations")
def step_configuration(context):
    decoded = decode_configuration(json.dumps(CONFIGURATION).encode())
    first, second = decoded.routes
    assert (first.timeout, first.objective, first.longest_pause) == (10.0, 0.3, 0.25)
    assert first.repeatable
    assert [target.weight for target in first.targets] == [90, 10]
    assert second.kind is RouteKind.NON_IDEMPOTENT
    assert decoded.services_by_name["pool"].engine.read_per_ms == 154.0
    assert decoded.services_by_name["shop"].engine is None
    assert decoded.organisations[0].keys == {"k1", "k2"}


@then("a broken configuration and a broken entry are refused")
def step_broken(context):
    for decode in (decode_configuration, lambda text: decode_endpoint("a", text)):
        for text in (b"", b"[]", b'{"version": "x"}', b"\xff"):
            try:
                decode(text)
            except InvalidDocumentError:
                continue
            raise AssertionError(f"{text!r} was taken")


class PagedStore(BaseHTTPRequestHandler):
    """Answer as the platform's store does, three entries a page."""

    status = 200

    def do_GET(self):
        """Answer one page."""
        after = self.path.partition("&after=")[2]
        start = int(after or 0)
        items = [{"key": str(n), "value": "e30=", "offset": n} for n in range(start + 1, start + 4)]
        body = json.dumps({"items": items, "has_more": start < 6, "end_offset": 9}).encode()
        if self.status == 0:
            self.close_connection = True
            return
        self.send_response(self.status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Write nothing."""


@given("a store with 3 pages of endpoints")
def step_paged(context):
    context.server = HTTPServer(("127.0.0.1", 0), type("Handler", (PagedStore,), {}))
    threading.Thread(target=context.server.serve_forever, daemon=True).start()
    context.stack.push(context.server.server_close)
    context.stack.push(context.server.shutdown)
    context.client = PlatformStore(f"127.0.0.1:{context.server.server_port}")


@then("all endpoints are read")
def step_all_read(context):
    assert [record.key for record in context.client.endpoints()] == list("123456789")


@then("a store that answers 503, 429 or nothing raises an unavailable platform")
def step_unavailable(context):
    for status in (503, 429, 0):
        context.server.RequestHandlerClass.status = status
        try:
            context.client.endpoints()
        except PlatformUnavailableError as error:
            assert error.advice
            continue
        raise AssertionError(f"status {status} passed as an answer")


PLATFORM_NAMES = re.compile(
    r"x-attempt-id|x-replica|x-deadline|x-not-executed|x-prompt-prefix|x-expect|x-helpers|x-tenant"
    r"|x-token-usage|at-server|keyed\.|log-(read|append|newest|join)|path_prefix"
    r"|(timeout|goal|hold|grace|stall|gap_aim|config_apply)_ms|brassdrum_boot|node_name"
    r"|api_keys|listen_addrs",
    re.IGNORECASE,
)
GATEWAY = Path(brassdrum.__file__).parent


@then("no other folder of the product names the platform's headers, topics or fields")
def step_names_inside(context):
    files = [
        path
        for path in GATEWAY.rglob("*.py")
        if path.parent.name in ("gateway", "cli", "charts", "soak")
    ]
    assert files
    for path in files:
        found = PLATFORM_NAMES.search(path.read_text())
        assert found is None, f"{path.name} names {found.group(0)}"


@then("the adapter has fewer than {most:d} lines")
def step_small(context, most):
    lines = sum(len(path.read_text().splitlines()) for path in GATEWAY.glob("platform/*.py"))
    assert lines < most, lines


class ListedEntries:
    """Decode entries as they are named here; the list itself comes from peers."""

    def decode_endpoint(self, record):
        """Return an entry that takes new work."""
        return EndpointEntry(record.key, "pool", "10.0.0.1:80", "zone-a", 8, False)


def follower_that_pulled(snapshot):
    """Return a daemon's knowledge and follower after it took a peer's snapshot."""
    knowledge = Knowledge()
    follower = Follower(
        SimulatedLoop(), ListedEntries(), knowledge, Bounds(), 1, lambda *_: None, lambda *_: None
    )
    pulled = Future()
    pulled.set_result(Snapshot.decode(snapshot))
    follower._pulled("10.1.0.1", 90.0, 1, pulled)
    return knowledge, follower


@given("a daemon that read a list and then heard that an endpoint leaves")
def step_heard_leaving(context):
    listed = Snapshot(None, (SharedRecord("engine-1", b""), SharedRecord("engine-2", b"")))
    knowledge, context.teller = follower_that_pulled(listed.encode())
    assert knowledge.leaves("engine-1", 95.0)


@when("a new daemon takes its snapshot")
def step_take_snapshot(context):
    context.knowledge, _ = follower_that_pulled(context.teller.snapshot())


@then("the new daemon does not use that endpoint")
def step_not_used(context):
    assert [entry.id for entry in context.knowledge.usable("pool")] == ["engine-2"]

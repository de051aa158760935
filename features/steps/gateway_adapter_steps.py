"""Steps on the adapter's decoding, its settings and its border."""

import base64
import json
import random
import re
import tempfile
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from urllib.parse import unquote

from behave import given, then, when

import brassdrum
from brassdrum.errors import InvalidDocumentError, PlatformUnavailableError
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.model import (
    FleetConfiguration,
    RouteKind,
    RouteTarget,
)
from brassdrum.gateway.request.events import EventOrderError, EventStreamReader
from brassdrum.platform.documents import decode_configuration, decode_endpoint
from brassdrum.platform.settings import read_settings
from brassdrum.platform.store import PlatformStore
from brassdrum.settings_file import SettingsFile
from features.gateway_world import HOST, event, route
from features.support import StepThread


@when("two versions with nested prefixes arrive in the wrong order")
def step_versions(context):
    context.knowledge = RoutingState()
    kind = RouteKind.IDEMPOTENT
    inner = route("a/b", kind, targets=(RouteTarget("inner", 1.0),))
    outer = route("a", kind, targets=(RouteTarget("outer", 1.0),))
    assert context.knowledge.apply_configuration(FleetConfiguration(5, (outer, inner), {}, ()))
    assert not context.knowledge.apply_configuration(FleetConfiguration(4, (outer,), {}, ()))


@then("the newer one is in force and the longest prefix wins")
def step_prefix(context):
    knowledge = context.knowledge
    assert knowledge.version == 5
    rng = random.Random(1)
    assert knowledge.choose_service(knowledge.route(HOST, "/a/b/c"), rng) == "inner"
    assert knowledge.choose_service(knowledge.route(HOST, "/a/c"), rng) == "outer"
    assert knowledge.route(HOST, "/ab") is None
    assert knowledge.route("other.example", "/a/c") is None


@then("events cut at every byte come out whole")
def step_cut(context):
    text = event(1) + event(2) + event(3)
    for size in range(1, len(text)):
        reader = EventStreamReader(None)
        pieces = [text[start : start + size] for start in range(0, len(text), size)]
        passed = [reader.feed(piece) for piece in pieces]
        assert b"".join(passed) == text
        assert all(piece.endswith(b"\n\n") for piece in passed if piece)
        assert reader.last_id == 3


@then("a gap, a repeat and a jump back are refused")
def step_order(context):
    for numbers in ((1, 3), (1, 1), (2, 1)):
        reader = EventStreamReader(None)
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
    "bounds": {"drain_ms": 3000, "grace_s": 9, "budget_slack": 50, "evac_ms": 4000},
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
    assert gateway.bounds.evacuation == 4.0
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
    assert (first.timeout, first.objective, first.pause_objective) == (10.0, 0.3, 0.25)
    assert first.repeatable
    assert [target.weight for target in first.targets] == [90, 10]
    assert second.kind is RouteKind.NON_IDEMPOTENT
    assert decoded.services_by_name["pool"].engine.prefill_tokens_per_ms == 154.0
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
    unreadable = None

    def do_GET(self):
        """Answer one page."""
        after = self.path.partition("&after=")[2]
        start = int(after or 0)
        items = [
            {"key": str(n), "value": "?" if str(n) == self.unreadable else "e30=", "offset": n}
            for n in range(start + 1, start + 4)
        ]
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


class BrokenStore(BaseHTTPRequestHandler):
    """Answer without a length and close the connection after some bytes."""

    body = b""

    def do_GET(self):
        """Answer with the bytes of this store."""
        self.send_response(200)
        self.end_headers()
        self.wfile.write(self.body)

    def log_message(self, *arguments):
        """Write nothing."""


BODY_BY_END = {
    "before the first byte": b"",
    "inside the page": b'{"items": [{"key": "1", "val',
    "without its items": b'{"end_offset": 9}',
}


@given("a store whose pages have no length and end {where}")
def step_broken_store(context, where):
    start_store(context, type("Handler", (BrokenStore,), {"body": BODY_BY_END[where]}))


@then("reading the endpoints raises an unavailable platform")
def step_read_fails(context):
    try:
        found = context.client.endpoints().records
    except PlatformUnavailableError:
        return
    raise AssertionError(f"a broken page was read as {found}")


OPERATOR_RECORDS = {
    "config": b"{}",
    "evacuate/zone-b": b"{}",
    "evacuate/zone-c": b"",
    "evacuate/": b"{}",
    "evacuate/\ud800": b"{}",
    "note": b"{}",
    f"evacuate/{'x' * 64}": b"{}",
}


class OperatorStore(BaseHTTPRequestHandler):
    """Answer the operator's records, two a page; the end offset and the era rise by the page."""

    era = 3

    def do_GET(self):
        """Answer one page."""
        keys = list(OPERATOR_RECORDS)
        after = unquote(self.path.partition("&after=")[2])
        start = keys.index(after) + 1 if after else 0
        items = [
            {"key": key, "value": base64.b64encode(OPERATOR_RECORDS[key]).decode()}
            for key in keys[start : start + 2]
        ]
        page = {"items": items, "has_more": start + 2 < len(keys), "end_offset": 40 + start}
        body = json.dumps(page).encode()
        self.send_response(200)
        self.send_header("Store-Era", str(self.era + start))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Write nothing."""


@given("a store with records of two evacuated zones, one of them deleted")
def step_operator_store(context):
    start_store(context, type("Handler", (OperatorStore,), {}))


@then("one zone is evacuated, as of the end offset and the era of the first page")
def step_operator_records(context):
    found = context.client.operator_records()
    assert found.configuration.key == "config"
    assert found.evacuated_zones == {"zone-b"}, found.evacuated_zones
    assert (found.revision, found.era) == (40, 3), found
    assert context.client.calls == 4, context.client.calls


@given("a store with 3 pages of endpoints")
def step_paged(context):
    start_store(context, type("Handler", (PagedStore,), {}))


def start_store(context, handler):
    context.server = HTTPServer(("127.0.0.1", 0), handler)
    context.stack.push(context.server.server_close)
    StepThread(context, context.server.serve_forever, 0.01, unblock=context.server.shutdown)
    context.client = PlatformStore(f"127.0.0.1:{context.server.server_port}")


@then("all endpoints are read")
def step_all_read(context):
    assert [record.key for record in context.client.endpoints().records] == list("123456789")


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
    r"|api_keys|listen_addrs|server-(limit|leaving)|store-era",
    re.IGNORECASE,
)
GATEWAY = Path(brassdrum.__file__).parent


@then("no other folder of the product names the platform's headers, topics or fields")
def step_names_inside(context):
    files = [
        path
        for path in GATEWAY.rglob("*.py")
        if path.relative_to(GATEWAY).parts[0] in ("gateway", "cli", "charts", "soak")
    ]
    assert any(path.parent.parent.name == "gateway" for path in files)
    for path in files:
        found = PLATFORM_NAMES.search(path.read_text())
        assert found is None, f"{path.name} names {found.group(0)}"


@then("the adapter has fewer than {most:d} lines")
def step_small(context, most):
    # The soak's stand-in of the platform lies there too, since it speaks with the same names.
    modules = [path for path in GATEWAY.glob("platform/*.py") if path.name != "standin.py"]
    lines = sum(len(path.read_text().splitlines()) for path in modules)
    assert lines < most, lines

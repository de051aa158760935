"""Steps for odd entries among endpoints and daemons, and for handlers that raise."""

import json
from unittest import mock

from behave import given, then, when

from brassdrum.errors import InvalidDocumentError
from brassdrum.gateway.model import DaemonAddress, EndpointEntry
from brassdrum.platform.documents import decode_endpoint
from features.gateway_world import SERVICE
from features.support import eventually

SOUND = {
    "service": SERVICE,
    "address": "127.0.0.1:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 0,
}
DIGITS = "9" * 5000
FIELDS_BY_ODDITY = {
    "port 65536": {"address": "127.0.0.1:65536"},
    "port 0": {"address": "127.0.0.1:0"},
    "port of 5,000 digits": {"address": f"127.0.0.1:{DIGITS}"},
    "an octet of 300": {"address": "127.0.0.300:80"},
    "three octets": {"address": "127.0.1:80"},
    "a host name": {"address": "localhost:80"},
    "an IPv6 address": {"address": "[::1]:80"},
    "no port": {"address": "127.0.0.1"},
    "slots of 300 digits": {"slots": 10**300},
    "a start time of 30 digits": {"born": 10**30},
    "half a surrogate as its zone": {"zone": "\ud800"},
    "a zone of 400 characters": {"zone": "z" * 400},
}
NAME_BY_ODDITY = {
    "a line end in its name": "engine-3\r\nX-Tenant: other",
    "a name of 300 characters": "e" * 300,
    "a name beyond Latin-1": "engine-\u0142",
    "no name": "",
}
TEXT_BY_ODDITY = {
    "a number of 5,000 digits": json.dumps(SOUND).replace('"seq": 0', f'"seq": {DIGITS}'),
    "100,000 nested lists": "[" * 100_000 + "]" * 100_000,
}


@when("the list holds an entry with {oddity} beside two sound ones")
def step_odd_list(context, oddity):
    assert oddity in {**FIELDS_BY_ODDITY, **NAME_BY_ODDITY, **TEXT_BY_ODDITY}
    sound = json.dumps(SOUND)
    odd_name = NAME_BY_ODDITY.get(oddity, "engine-3")
    odd = json.dumps({**SOUND, **FIELDS_BY_ODDITY.get(oddity, {})})
    odd = TEXT_BY_ODDITY.get(oddity, odd)
    context.known, context.refusals = [], []
    for name, text in (("engine-1", sound), (odd_name, odd), ("engine-2", sound)):
        try:
            context.known.append(decode_endpoint(name, text.encode()).name)
        except InvalidDocumentError as error:
            context.refusals.append(error.message)


@then("the sound ones are known, and the odd one is refused with a reason")
def step_odd_refused(context):
    assert context.known == ["engine-1", "engine-2"], context.known
    assert len(context.refusals) == 1 and context.refusals[0]


@given('an endpoint with the address "{address}" is listed as well')
def step_odd_endpoint(context, address):
    odd = EndpointEntry("engine-odd", SERVICE, address, "zone-a", 64, False)
    context.store.entries = [*context.store.entries, odd]
    daemon = context.gateways[0].daemon
    eventually(lambda: odd.id in daemon.routing_state.endpoints_by_id, "the odd entry is known")


@then("all {count:d} are served")
def step_all_served(context, count):
    assert [each.status for each in context.answers] == [200] * count, [
        each.status for each in context.answers
    ]


def raising(*_arguments, **_values):
    """Raise what no handler expects."""
    raise LookupError("unexpected")


def raising_for(name, build):
    """Return what builds headers, and raises for one endpoint or, without a name, for all."""

    def endpoint_headers(request, parameters):
        if name in (None, parameters.endpoint.name):
            raising()
        return build(request, parameters)

    return endpoint_headers


@given("its {handler} raises an unexpected error")
def step_raises(context, handler):
    daemon = context.gateways[0].daemon
    dialect = daemon.dialect
    one = context.endpoints[0].name
    patch_by_handler = {
        "admission": lambda: mock.patch("brassdrum.gateway.request.intake.admit", raising),
        "placement": lambda: mock.patch.object(daemon.placer, "place", raising),
        "request to one endpoint": lambda: mock.patch.object(
            dialect, "endpoint_headers", raising_for(one, dialect.endpoint_headers)
        ),
        "request to all endpoints": lambda: mock.patch.object(
            dialect, "endpoint_headers", raising_for(None, dialect.endpoint_headers)
        ),
        "reading of the reply": lambda: mock.patch.object(dialect, "read_reply", raising),
        "record of a served answer": lambda: mock.patch.object(
            daemon.endpoint_monitor, "endpoint_served", raising
        ),
    }
    patch = patch_by_handler[handler]()
    patch.start()
    context.stack.push(patch.stop)


@then("no request is in progress")
def step_none_in_progress(context):
    daemon = context.gateways[0].daemon
    eventually(lambda: not daemon._exchanges, "no request is in progress")


@then('the address of a daemon "{entry}" is refused')
def step_daemon_refused(_context, entry):
    try:
        DaemonAddress.decode(entry.encode())
    except ValueError:
        return
    raise AssertionError(f"{entry} was taken")

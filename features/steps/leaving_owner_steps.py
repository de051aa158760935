"""Steps for the owners of endpoints among daemons that are about to stop."""

from behave import given, then, when

from features.steps.peer_group_steps import Fleet

ENDPOINTS = [f"engine-{number}" for number in range(5)]
STEP_SECONDS = 0.02
WATCHED_SECONDS = 4.0


@given("{count:d} daemons without requests in {zones:d} zones that schedule 5 endpoints")
def step_fleet(context, count, zones):
    context.fleet = Fleet(count, zones, 8.0)
    context.shared = []


def granting(daemon, endpoint):
    """Return whether a daemon grants permits for an endpoint now."""
    permits = daemon.peers.permits
    permits.members_changed()
    owners = permits._owners
    is_owner = owners.owner(endpoint) == daemon.address.host
    return is_owner and owners.seconds_until_settled(endpoint, daemon.loop.now()) == 0.0


def watch(context, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        context.fleet.loop.advance(STEP_SECONDS)
        for endpoint in ENDPOINTS:
            hosts = [
                each.address.host for each in context.fleet.daemons if granting(each, endpoint)
            ]
            if len(hosts) > 1:
                context.shared.append((endpoint, hosts))


@when("all are about to stop, {gap:g} s apart")
def step_leave(context, gap):
    watch(context, 0.1)
    for daemon in context.fleet.daemons:
        daemon.peers.leaving = True
        daemon.peers.announce()
        watch(context, gap)
    watch(context, WATCHED_SECONDS)


@then("at no time do two of them grant permits for the same endpoint")
def step_one_grants(context):
    assert not context.shared, context.shared[:3]


@then("in the end each endpoint has one owner that all agree on")
def step_agreed(context):
    for endpoint in ENDPOINTS:
        owners = {each.peers.permits._owners.owner(endpoint) for each in context.fleet.daemons}
        assert len(owners) == 1, (endpoint, owners)
        assert sum(granting(each, endpoint) for each in context.fleet.daemons) == 1, endpoint

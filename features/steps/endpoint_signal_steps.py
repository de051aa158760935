"""Steps on what endpoints say of themselves in their responses."""

from behave import given, then, when

from features.steps.gateway_steps import send_request
from features.support import eventually


@given("the first endpoint says that it leaves while the list shows it ready")
def step_says_it_leaves(context):
    context.endpoints[0].default_behaviour = "complete response before a stop"


@when("a daemon has forwarded such a response")
def step_forwarded(context):
    def forwarded():
        assert send_request(context, "check").status == 200
        return bool(context.endpoints[0].requests)

    eventually(forwarded, "the first endpoint was used")


@when("all daemons have read the list again")
def step_read_again(context):
    states = [gateway.daemon.routing_state for gateway in context.gateways]
    for state in states:
        read_at = state.read_at
        # The second one was begun after this step.
        for _ in range(2):
            eventually(lambda: state.read_at > read_at, "the list was read")  # noqa: B023
            read_at = state.read_at


@given('the first endpoint uses the behaviour "{behaviour}"')
def step_first_behaviour(context, behaviour):
    context.endpoints[0].default_behaviour = behaviour


@given('the second endpoint uses the behaviour "{behaviour}"')
def step_second_behaviour(context, behaviour):
    context.endpoints[1].default_behaviour = behaviour


@then("every response is {status:d}")
def step_every_response(context, status):
    assert {answer.status for answer in context.answers} == {status}, context.answers


@then("the first endpoint received at most {most:d} request")
def step_first_received(context, most):
    assert len(context.endpoints[0].requests) <= most, len(context.endpoints[0].requests)


@then("each endpoint received at most {most:d} request")
def step_each_received(context, most):
    assert all(len(endpoint.requests) <= most for endpoint in context.endpoints)


@then("the last response has a Retry-After of at least {seconds:g} s")
def step_retry_after(context, seconds):
    assert float(context.answers[-1].header_by_name["retry-after"]) >= seconds

"""Steps on what a daemon does before its first request."""

import queue
import re
import subprocess
import sys
import tempfile
import threading
import tomllib
from pathlib import Path
from typing import get_type_hints

import pydantic
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.start import run_start
from brassdrum.gateway.measures import GatewayMetrics
from brassdrum.json_fields import Document, Field, FieldError
from brassdrum.platform import documents
from brassdrum.platform import settings as settings_file
from brassdrum.standins.ports import free_port
from features.gateway_world import FakeStore, RunningGateway, call, configuration
from features.support import StepThread, eventually

REGISTRY = "brassdrum.gateway.metrics_registry"


@when("a gateway command is started and sent a request at once")
def step_started(context):
    with tempfile.TemporaryDirectory() as folder:
        context.modules = run_start(Path(folder)).modules
    assert "brassdrum.gateway.daemon" in context.modules


@then("no library but h11 is imported before the request is read")
def step_no_library(context):
    packages = {name.partition(".")[0] for name in context.modules}
    # ``site`` imports the hooks of installed packages, such as setuptools'.
    allowed = sys.stdlib_module_names | {"__main__", "brassdrum", "h11"}
    hooks = {"_distutils_hack", "sitecustomize", "org"}
    assert packages - allowed - hooks == set(), packages - allowed - hooks


@then("none of these packages is imported before the request is read")
def step_no_package(context):
    packages = [row["package"] for row in context.table]
    found = [
        module
        for module in context.modules
        if any(module == each or module.startswith(f"{each}.") for each in packages)
    ]
    assert found == [], found


@given("the modules that the platform's build imports")
def step_build(context):
    build = tomllib.loads(Path("deploy/system.toml").read_text())["build"]
    imports = re.search(r"-c '(import [^']*)'", build).group(1)
    code = f"{imports}; import sys; print('\\n'.join(sys.modules))"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
    ).stdout
    context.compiled = set(output.split())


@then("they contain all that a daemon imports to serve its first request and its metrics")
def step_build_complete(context):
    # What the bench imports, and modules without a source, are compiled or needed elsewhere.
    with tempfile.TemporaryDirectory() as folder:
        modules = set(run_start(Path(folder)).modules)
    own = {each for each in modules if each.partition(".")[0] in ("brassdrum", "h11")}
    later = {"opentelemetry.exporter.prometheus", "prometheus_client", "http.client"}
    missing = (own | later) - context.compiled - {"brassdrum.bench", "brassdrum.bench.start_steps"}
    assert missing == set(), missing


@given("metrics of a daemon that are not set up")
def step_metrics(context):
    context.metrics = GatewayMetrics("daemon-1")


@given("metrics of a daemon whose libraries are missing")
def step_metrics_missing(context):
    context.metrics = GatewayMetrics("daemon-1")
    # ``None`` makes an import fail.
    context.restore_libraries = replace_module(context, REGISTRY, None)


class SlowlyFailingModule:
    """A module whose import fails once it is allowed to."""

    def __init__(self):
        self.requested = threading.Event()
        self.may_fail = threading.Event()

    def __getattr__(self, name):
        if name == "MetricsRegistry":
            self.requested.set()
            self.may_fail.wait(10)
        raise AttributeError(name)


def replace_module(context, name, module):
    """Put a module into ``sys.modules`` and return a function that restores the former one.

    ``mock.patch.dict`` empties the table for a moment, in which imports of other threads fail.
    """
    former = sys.modules.get(name)
    sys.modules[name] = module

    def restore():
        if former is None:
            sys.modules.pop(name, None)
        else:
            sys.modules[name] = former

    context.add_cleanup(restore)
    return restore


@given("metrics of a daemon whose libraries fail to load slowly")
def step_metrics_slow(context):
    context.metrics = GatewayMetrics("daemon-1")
    context.library = SlowlyFailingModule()
    context.restore_libraries = replace_module(context, REGISTRY, context.library)


@when("a scrape comes before the libraries have failed to load")
def step_scrape_meanwhile(context):
    assert context.library.requested.wait(10), "the set-up has not begun"
    context.pages = queue.SimpleQueue()
    context.metrics.when_set_up(lambda: context.pages.put(context.metrics.page()))
    context.restore_libraries()
    context.library.may_fail.set()


@then("the scrape receives a page that counts {count:d} refusals")
def step_scrape_counts(context, count):
    check_refusals(context.pages.get(timeout=10), count)


@when("{count:d} refusals are counted")
def step_refusals(context, count):
    for _ in range(count):
        context.metrics.record_refusal(404)


@when("{count:d} refusals are counted, and {more:d} more after the set-up")
def step_refusals_around(context, count, more):
    for _ in range(count):
        context.metrics.record_refusal(404)
    context.metrics.set_up()
    for _ in range(more):
        context.metrics.record_refusal(404)


@then("the metrics page counts {count:d} refusals")
def step_page_counts(context, count):
    check_refusals(context.metrics.page(), count)


def check_refusals(page, count):
    """Check how many refusals a metrics page counts."""
    lines = page.decode().splitlines()
    counted = [line for line in lines if "refusals_total{" in line]
    assert [line.rpartition(" ")[2] for line in counted] == [f"{count}.0"], counted


@then("the metrics are set up without a scrape")
def step_set_up(context):
    eventually(lambda: context.metrics._registry is not None, "the metrics are set up")


@then("{count:d} records are kept")
def step_records_kept(context, count):
    assert len(context.metrics._early_records) == count, len(context.metrics._early_records)


@then("a scrape is answered once the libraries are there")
def step_scrape_later(context):
    context.restore_libraries()
    answered = threading.Event()
    context.metrics.when_set_up(answered.set)
    assert answered.wait(10)
    assert context.metrics._registry is not None


@given("a gateway with metrics")
def step_gateway_with_metrics(context):
    store = FakeStore()
    store.current = configuration(7, None, ())
    context.metrics_port = free_port()
    gateway = RunningGateway(store, 1, free_port(), metrics_port=context.metrics_port)
    context.add_cleanup(gateway.close)
    context.gateway = gateway


@when("the metrics page is fetched from {count:d} connections at once")
def step_fetched(context, count):
    def fetch():
        return call(context.gateway.host, context.metrics_port, "GET", "/metrics")

    threads = [StepThread(context, fetch) for _ in range(count)]
    context.answers = [thread.result() for thread in threads]


@then("each of them receives the page")
def step_each_receives(context):
    assert [each.status for each in context.answers] == [200] * 3, context.answers
    assert all(b"brassdrum_gateway_version" in each.body for each in context.answers)


def pydantic_model(document):
    """Return the pydantic model with the fields of a document."""
    fields = {}
    for name, hint in get_type_hints(document).items():
        if name in ("_strict", "_fields"):
            continue
        declared = document.__dict__.get(name, ...)
        if isinstance(declared, Field):
            declared = pydantic_field(declared)
        fields[name] = (convert(hint), declared)
    config = pydantic.ConfigDict(strict=document._strict)
    named = {"__config__": config, "__module__": "features"}
    return pydantic.create_model(document.__name__, **named, **fields)


def pydantic_field(field):
    bounds = {}
    if field.default_factory is not None:
        # Only whether a document is accepted is compared where a default is a document.
        bounds["default_factory"] = lambda: None
    if field.ge is not None:
        bounds["ge"] = field.ge
    if field.gt is not None:
        bounds["gt"] = field.gt
    if field.min_length is not None:
        bounds["min_length"] = field.min_length
    if field.pattern is not None:
        bounds["pattern"] = field.pattern.replace(r"\Z", "$")
    if not field.allow_inf_nan:
        bounds["allow_inf_nan"] = False
    return pydantic.Field(**bounds)


def convert(hint):
    """Return a type with pydantic models in place of documents."""
    if isinstance(hint, type) and issubclass(hint, Document):
        return pydantic_model(hint)
    arguments = getattr(hint, "__args__", None)
    if arguments and any(isinstance(a, type) and issubclass(a, Document) for a in arguments):
        inner = convert(next(a for a in arguments if isinstance(a, type) and a is not type(None)))
        return list[inner] if getattr(hint, "__origin__", None) is list else inner | None
    return hint


ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-5, 5),
    st.integers(-(10**18), 10**18),
    st.floats(allow_nan=False, allow_infinity=False),
    st.sampled_from(["", "5", "-2", "1.5", "true", "no", "ready", "draining", "x", "1.2.3.4:80"]),
    st.sampled_from(["1.2.3.4:80\n", "a:1", "1.2.3.4:"]),
    st.lists(st.integers(0, 3), max_size=3),
    st.just({}),
)


def values(hint):
    """Return a strategy of JSON values that fit a type as a rule."""
    if isinstance(hint, type) and issubclass(hint, Document):
        return objects(hint)
    origin, arguments = getattr(hint, "__origin__", None), getattr(hint, "__args__", ())
    if origin is list:
        return st.one_of(st.lists(values(arguments[0]), max_size=2), ODD_VALUES)
    if origin is tuple:
        return st.lists(st.integers(0, 70000), min_size=1, max_size=3)
    usual = {str: st.sampled_from(["a", "1.2.3.4:80", "ready"]), int: st.integers(0, 9)}
    usual |= {float: st.floats(0, 100), bool: st.booleans()}
    if hint in usual:
        return st.one_of(usual[hint], usual[hint], usual[hint], ODD_VALUES)
    if arguments and type(None) in arguments:
        return st.one_of(st.none(), values(arguments[0]))
    return st.one_of(st.sampled_from(["ready", "draining"]), ODD_VALUES)


def objects(document):
    """Return a strategy of JSON objects with most fields of a document."""
    hints = {k: v for k, v in get_type_hints(document).items() if k not in ("_strict", "_fields")}
    return st.fixed_dictionaries({}, optional={name: values(hint) for name, hint in hints.items()})


def plain(value):
    """Return the content of a document or model, for a comparison."""
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    if isinstance(value, Document | pydantic.BaseModel):
        return {name: plain(each) for name, each in vars(value).items()}
    return value


def same(content, document):
    """Compare a document's judgement of a JSON text with pydantic's."""
    model = pydantic_model(document)
    text = pydantic.TypeAdapter(dict).dump_json(content)
    try:
        expected = plain(model.model_validate_json(text))
    except pydantic.ValidationError:
        expected = None
    try:
        found = plain(document.parse(text))
    except FieldError:
        found = None
    if expected is None or found is None:
        assert found is None and expected is None, (content, expected, found)
        return
    # Defaults that are documents have no counterpart in the model.
    for name, value in expected.items():
        if value is not None:
            assert found[name] == value, (content, name, value, found[name])


@then("every generated configuration, endpoint entry and settings file is judged as by pydantic")
def step_same_as_pydantic(context):
    leaves = (documents._Route, documents._Runtime, documents._Service, documents._Server)
    roots = (documents._Configuration, documents._Tenant, settings_file._Bounds)
    for document in (*leaves, *roots, settings_file._Settings):
        compare(document)


def compare(document):
    """Let hypothesis search for a JSON text that a document judges otherwise than pydantic."""

    @settings(max_examples=150, deadline=None)
    @given_values(st.one_of(objects(document), complete_objects(document)))
    def check(content):
        same(content, document)

    check()


def complete_objects(document):
    """Return a strategy of JSON objects with all fields of a document."""
    hints = {k: v for k, v in get_type_hints(document).items() if k not in ("_strict", "_fields")}
    return st.fixed_dictionaries({name: values(hint) for name, hint in hints.items()})

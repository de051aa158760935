"""Steps on how the gateway's modules depend on each other."""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

from behave import then

import brassdrum.gateway

SOURCE = Path(brassdrum.gateway.__file__).parents[1]


def module_name(path):
    parts = path.relative_to(SOURCE.parent).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def imported_names(path):
    """Return what a module imports, also for type checks alone and inside of functions."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            names |= {node.module} | {f"{node.module}.{each.name}" for each in node.names}
        elif isinstance(node, ast.Import):
            names |= {each.name for each in node.names}
    return names


@then("no module of the gateway depends on itself by its imports")
def step_no_cycle(_context):
    # Guards against modules that import each other, as the exchange and its send gate did under
    # TYPE_CHECKING: that works at run time, but neither can be changed or tested without the other.
    imports = {
        module_name(path): imported_names(path) for path in (SOURCE / "gateway").rglob("*.py")
    }
    assert len(imports) > 50, len(imports)
    graph = {name: imported & imports.keys() - {name} for name, imported in imports.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        raise AssertionError(" imports ".join(reversed(error.args[1]))) from error

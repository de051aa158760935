"""Clean up after each scenario."""

import logging
from pathlib import Path

from hypothesis import settings

from features.support import Stack

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60, database=None)
settings.load_profile("ci")


KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red():
    """Return the names of scenarios that are red for a listed fault; CI prints the list."""
    if not KNOWN_RED.exists():
        return set()
    return {line.split("|")[0].strip() for line in KNOWN_RED.read_text().splitlines()}


def before_all(context):
    """Keep the daemons' logs out of the report."""
    logging.getLogger().setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give each scenario a stack of things to close."""
    context.stack = Stack()
    context.answers = []
    # Names of rows in scenario outlines end in a space.
    if scenario.name.strip() in known_red():
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context, scenario):
    """Close what the scenario opened, newest first."""
    context.stack.close()


def after_step(context, step):
    """Say what a failing step found; the progress report names its scenario only."""
    if step.exception is not None:
        print(f"\n{step.keyword} {step.name}\n  {step.error_message}", flush=True)

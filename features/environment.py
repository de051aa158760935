"""Clean up after each scenario."""

import logging

from hypothesis import settings

from features.support import Stack

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60, database=None)
settings.load_profile("ci")


def before_all(context):
    """Keep the daemons' logs out of the report."""
    logging.getLogger().setLevel(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give each scenario a stack of things to close."""
    context.stack = Stack()
    context.answers = []


def after_scenario(context, scenario):
    """Close what the scenario opened, newest first."""
    context.stack.close()

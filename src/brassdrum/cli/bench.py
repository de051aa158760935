"""The command ``bench``."""

from __future__ import annotations

import argparse

__all__ = ["add_commands"]


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the command to a parser."""

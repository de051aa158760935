"""The command line."""

from brassdrum.cli.main import main

__all__ = ["main"]

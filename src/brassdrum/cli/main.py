"""Parse the command line and run one command.

Exit codes: 0 done; 1 refused or failed; 2 wrong arguments; 3 a document is invalid; 4 the
platform or a daemon does not answer; 5 accepted but not yet in force everywhere.
"""

from __future__ import annotations

import argparse
import importlib
import logging
import sys
from collections.abc import Sequence

from brassdrum import __version__
from brassdrum.errors import BrassdrumError, InvalidDocumentError, PlatformUnavailableError

__all__ = ["main"]

_EPILOG = """\
exit codes:
  0  done
  1  refused or failed
  2  wrong arguments
  3  a document is invalid
  4  the platform or a daemon does not answer
  5  accepted, but not in force on every daemon within the time

Begin with 'brassdrum demo'.
"""
# The gateway is loaded alone: the other commands bring libraries that would cost it 30 MB.
_MODULES = ("serve", "documents", "operate", "bench", "history", "gateway", "trace", "soak")
_LONE_MODULE_BY_COMMAND = {"gateway": "gateway", "trace": "trace", "why": "trace", "soak": "soak"}
_FAILED = 1
_INVALID = 3
_UNREACHABLE = 4


def _parser(command: str | None) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="brassdrum",
        description="Serve prompts of very different lengths from one shared model fleet.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    lone = _LONE_MODULE_BY_COMMAND.get(command or "")
    for name in _MODULES if lone is None else (lone,):
        importlib.import_module(f"brassdrum.cli.{name}").add_commands(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    words = sys.argv[1:] if arguments is None else list(arguments)
    options = _parser(words[0] if words else None).parse_args(words)
    logging.basicConfig(level=logging.WARNING, format="%(levelname)s %(message)s")
    try:
        return options.run(options)
    except InvalidDocumentError as error:
        print(f"{error.message} {error.advice}", file=sys.stderr)
        return _INVALID
    except PlatformUnavailableError as error:
        print(f"{error.message} {error.advice}", file=sys.stderr)
        return _UNREACHABLE
    except BrassdrumError as error:
        print(f"{error.message} {error.advice}", file=sys.stderr)
        return _FAILED
    except KeyboardInterrupt:
        return 130

"""Print tables for people and JSON for programs."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence

__all__ = ["print_json", "print_rows"]


def print_json(content: object) -> None:
    """Print one JSON document."""
    json.dump(content, sys.stdout, indent=2)
    sys.stdout.write("\n")


def print_rows(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print aligned columns under their headings."""
    cells = [[str(cell) for cell in row] for row in [headings, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())

"""Parse values of HTTP headers."""

from __future__ import annotations

import math

__all__ = ["parse_decimal"]


def parse_decimal(value: str | None) -> float | None:
    """Return a non-negative decimal number, or None without a valid one.

    Dates, which Retry-After may hold, are not numbers.
    """
    try:
        number = math.nan if value is None else float(value)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None

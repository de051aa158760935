"""Parse values of HTTP headers."""

from __future__ import annotations

import logging
import math

__all__ = ["optional_decimal", "parse_decimal"]

_logger = logging.getLogger(__name__)


def parse_decimal(value: str | None) -> float | None:
    """Return a non-negative decimal number, or None without a valid one.

    Dates, which Retry-After may hold, are not numbers.
    """
    try:
        number = math.nan if value is None else float(value)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def optional_decimal(value: bytes | None) -> float | None:
    """Return a decimal number that an endpoint sent, or None without a valid one."""
    if value is None:
        return None
    number = parse_decimal(value.decode("latin-1"))
    if number is None:
        _logger.warning("header ignored", extra={"value": repr(value[:40])})
    return number

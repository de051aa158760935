"""Keep an observer's failure from breaking the work."""

from __future__ import annotations

import logging
from collections.abc import Callable

__all__ = ["observe"]

_logger = logging.getLogger(__name__)


def observe(function: Callable[..., object], *arguments: object, **named: object) -> None:
    """Call an observer and swallow what it raises."""
    try:
        function(*arguments, **named)
    except Exception:
        _logger.debug("observer failed", exc_info=True)

"""Keep to the pauses that endpoints ask for when they reject requests; does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Pause"]

# A mistaken value does not exclude an endpoint for good.
_MAX_PAUSE_SECONDS = 600.0


@dataclass(slots=True)
class Pause:
    """The time in which one endpoint takes no requests of this daemon.

    A pause binds only the daemon that was asked for it, and is not a failure of the endpoint.
    ``until`` is its end in monotonic seconds.
    """

    until: float = -math.inf

    def extend(self, seconds: float, now: float) -> None:
        """Pause for some seconds from now; a pause that lasts longer stays as it is."""
        self.until = max(self.until, now + min(seconds, _MAX_PAUSE_SECONDS))

    def is_active(self, now: float) -> bool:
        """Return whether the endpoint takes no requests now."""
        return now < self.until

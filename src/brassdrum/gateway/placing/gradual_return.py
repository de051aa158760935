"""Share of the slots that endpoints offer after a time without requests; does no I/O."""

from __future__ import annotations

from collections.abc import Sequence, Set

from brassdrum.gateway.placing.load import MAX_BACKOFF_SECONDS

__all__ = ["RECOVERY_SECONDS", "Recoveries", "withheld_slots"]

# After a zone was taken back all its endpoints are empty, and may be cold: without this, every
# daemon would fill them at once.
_RETURN_SECONDS = 5.0
# An endpoint that was avoided as failing returns to all daemons at the same moment, and they would
# fill it at once. Each daemon begins after its back-off.
RECOVERY_SECONDS = 1.0
# The longest back-off, then the time above.
_KEPT_SECONDS = MAX_BACKOFF_SECONDS + RECOVERY_SECONDS


class Recoveries:
    """Remember when this daemon last saw each endpoint suspect."""

    def __init__(self) -> None:
        self._suspect_at_by_endpoint: dict[str, float] = {}

    def update(self, endpoints: Sequence[str], suspects: Set[str], now: float) -> dict[str, float]:
        """Return when the endpoints that were suspect until recently last were.

        If half of those that are not suspect have just recovered, requests spread over these, and
        none is returned.
        """
        self._forget_until(now - _KEPT_SECONDS)
        last_suspect_at: dict[str, float] = {}
        usable, recovering = 0, 0
        for endpoint in endpoints:
            if endpoint in suspects:
                self._suspect_at_by_endpoint[endpoint] = now
                continue
            usable += 1
            suspect_at = self._suspect_at_by_endpoint.get(endpoint)
            if suspect_at is None:
                continue
            last_suspect_at[endpoint] = suspect_at
            recovering += now - suspect_at < RECOVERY_SECONDS
        return last_suspect_at if 2 * recovering < usable else {}

    def _forget_until(self, end: float) -> None:
        expired = [each for each, at in self._suspect_at_by_endpoint.items() if at <= end]
        for endpoint in expired:
            del self._suspect_at_by_endpoint[endpoint]


def withheld_slots(
    slots: int, since: float | None, now: float, seconds: float = _RETURN_SECONDS
) -> int:
    """Return how many slots an endpoint does not offer yet.

    It offers one slot at first and all of them after some seconds. ``since`` is when its zone was
    taken back or it was last suspect, None without either.
    """
    if since is None or slots <= 1:
        return 0
    share = min(1.0, max(0.0, (now - since) / seconds))
    return slots - 1 - int((slots - 1) * share)

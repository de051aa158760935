"""Share of the slots that endpoints offer after their zone was taken back; does no I/O."""

from __future__ import annotations

__all__ = ["withheld_slots"]

# After a zone was taken back all its endpoints are empty, and may be cold: without this, every
# daemon would fill them at once.
_RETURN_SECONDS = 5.0


def withheld_slots(slots: int, taken_back_at: float | None, now: float) -> int:
    """Return how many slots an endpoint does not offer yet.

    It offers one slot at first and all of them after a while; ``taken_back_at`` is None for
    endpoints whose zone was not evacuated.
    """
    if taken_back_at is None or slots <= 1:
        return 0
    share = min(1.0, max(0.0, (now - taken_back_at) / _RETURN_SECONDS))
    return slots - 1 - int((slots - 1) * share)

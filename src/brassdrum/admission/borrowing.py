"""Track which slice of an organisation's limits is in force at a borrower; pure."""

from __future__ import annotations

from brassdrum.admission.lending import Grant, RequestOrder

__all__ = ["BorrowedSlice"]


class BorrowedSlice:
    """One organisation's slice at one daemon.

    Replies may overtake each other; only the reply to the newest request so far comes into force.
    """

    def __init__(self, first_number: int) -> None:
        self._next_number = first_number
        self._applied = 0
        self._grant: Grant | None = None

    def next_order(self) -> RequestOrder:
        """Return the order of a request that is sent now."""
        order = RequestOrder(self._next_number, self._applied)
        self._next_number += 1
        return order

    def apply(self, number: int, grant: Grant) -> bool:
        """Put the reply to a request into force; return False if a newer one is."""
        if number <= self._applied:
            return False
        self._applied = number
        self._grant = grant
        return True

    @property
    def newest_grant(self) -> Grant | None:
        """The grant that came into force last, expired or not."""
        return self._grant

    def in_force(self, now: float) -> Grant | None:
        """Return the grant in force, or None after it has expired."""
        if self._grant is None or self._grant.expires <= now:
            return None
        return self._grant

"""The attempts of one request that are in progress."""

from __future__ import annotations

from brassdrum.gateway.request.attempt import CallAttempt

__all__ = ["RunningAttempts"]


class RunningAttempts:
    """The attempts of one request that may still bring its answer, oldest first.

    All but the newest are at endpoints that fell silent. They stay until one of all brings the
    answer, since a silent endpoint may go on.
    """

    def __init__(self) -> None:
        self._attempts: list[CallAttempt] = []

    def __contains__(self, attempt: CallAttempt) -> bool:
        """Return whether an attempt may still bring the answer."""
        return attempt in self._attempts

    @property
    def newest(self) -> CallAttempt | None:
        """Return the newest attempt in progress, or None."""
        return self._attempts[-1] if self._attempts else None

    @property
    def only(self) -> CallAttempt | None:
        """Return the only attempt in progress, or None if there is none or several."""
        return self._attempts[0] if len(self._attempts) == 1 else None

    @property
    def endpoints(self) -> list[str]:
        """Return the endpoints of the attempts."""
        return [each.endpoint for each in self._attempts]

    @property
    def silent_endpoints(self) -> list[str]:
        """Return the endpoints that fell silent."""
        return [each.endpoint for each in self._attempts if each.silent]

    def add(self, attempt: CallAttempt) -> None:
        """Add an attempt, and read those before it as they come: none of them is delivered."""
        for each in self._attempts:
            each.set_read_gate(None)
        self._attempts.append(attempt)

    def remove(self, attempt: CallAttempt) -> bool:
        """Remove an attempt that has ended; return whether a newer one is in progress."""
        if attempt not in self._attempts:
            return False
        is_newest = attempt is self._attempts[-1]
        self._attempts.remove(attempt)
        return not is_newest

    def keep_only(self, attempt: CallAttempt) -> list[CallAttempt]:
        """Cancel all attempts but one, and return those."""
        others = [each for each in self._attempts if each is not attempt]
        for each in others:
            each.cancel()
        self._attempts = [attempt]
        return others

    def cancel_all(self) -> bool:
        """Cancel all attempts; return whether the request may have run in one of them."""
        may_have_run = any(each.may_have_run for each in self._attempts)
        for each in self._attempts:
            each.cancel()
        self._attempts = []
        return may_have_run

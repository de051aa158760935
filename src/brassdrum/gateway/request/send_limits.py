"""Count the sends of one request, and decide whether it may be sent again."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.model import Route
from brassdrum.gateway.request.attempt import CallAttempt
from brassdrum.gateway.request.delivery import AnswerDelivery

__all__ = ["LimitedExchange", "RetryBudget", "SendLimits"]

# A request is not sent again with less time than this left.
_MIN_RESEND_SECONDS = 0.05


class RetryBudget(Protocol):
    """The retries of this daemon, from a budget that all daemons share."""

    def consume_retry(self, service: str) -> bool:
        """Take one retry from the shared budget, or return False if it is exhausted."""

    def return_retry(self, service: str) -> None:
        """Give back a retry that was taken and not sent."""

    def retries_left(self, service: str) -> float:
        """Return the number of retries that this daemon may still send."""


class LimitedExchange(Protocol):
    """The exchange whose sends are counted."""

    route: Route
    service: str

    @property
    def sender(self) -> str | None:
        """Return the host of the daemon that forwarded the request, or None."""

    @property
    def time_left(self) -> float:
        """Return the seconds until the deadline for the complete response."""


class SendLimits:
    """The sends of one request, limited by its route, its deadline and the retry budget.

    ``count`` leaves out the attempts that reached no endpoint.
    """

    def __init__(
        self, budget: RetryBudget, exchange: LimitedExchange, delivery: AnswerDelivery
    ) -> None:
        self.count = 0
        self._unsent_count = 0
        self._holds_retry = False
        self._last_send_took_retry = False
        self._budget = budget
        self._exchange = exchange
        self._delivery = delivery

    def record_send(self) -> None:
        """Count a send."""
        self.count += 1
        self._last_send_took_retry = self._holds_retry
        self._holds_retry = False

    def record_unsent(self) -> None:
        """Take back the last send and its retry, since it reached no endpoint."""
        self.count -= 1
        self._unsent_count += 1
        if self._last_send_took_retry:
            self._last_send_took_retry = False
            self._budget.return_retry(self._exchange.service)

    def return_unsent_retry(self) -> None:
        """Give the retry back that was taken for a send which is not needed any more."""
        if self._holds_retry:
            self._holds_retry = False
            self._budget.return_retry(self._exchange.service)

    def may_send_again(self) -> bool:
        """Return whether a request that may have run may be sent again, the retry budget aside."""
        if self._delivery.forwarding:
            return False
        return self._exchange.route.repeatable and self.count < self._max_sends

    def may_replace(self, attempt: CallAttempt) -> bool:
        """Return whether another attempt may replace a stalled one; no retry is taken."""
        if not self.may_send_again() or not attempt.has_alternative:
            return False
        return self._budget.retries_left(self._exchange.service) >= 1.0

    def consume_retry_after_run(self) -> bool:
        """Take a retry for a request that may have run; return False if there is none."""
        exchange = self._exchange
        if not self.may_send_again() or exchange.time_left < _MIN_RESEND_SECONDS:
            return False
        return self._consume_retry()

    def consume_retry_unexecuted(self, attempt: CallAttempt) -> bool:
        """Take a retry for a request that has not run; return False if there is none.

        The first send takes none, however many attempts have reached no endpoint before it.
        """
        if self._unsent_count > attempt.max_unsent or self.count >= self._max_sends:
            return False
        if self._exchange.time_left <= _MIN_RESEND_SECONDS:
            return False
        return self.count == 0 or self._consume_retry()

    def _consume_retry(self) -> bool:
        self._holds_retry = self._budget.consume_retry(self._exchange.service)
        return self._holds_retry

    @property
    def _max_sends(self) -> int:
        # The daemon that forwarded a request decides itself whether it is sent again.
        exchange = self._exchange
        return exchange.route.max_attempts if exchange.sender is None else 1

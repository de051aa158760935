"""Run a daemon with a planted fault, so that a check of the soak is shown to find it."""

from __future__ import annotations

import sys
from collections.abc import Callable

from brassdrum.gateway.request import exchange
from brassdrum.gateway.request.attempt import CallAttempt
from brassdrum.platform.serve import serve

_HOARDED_BYTES = 256 << 20
_HOARD: list[bytes] = []


def _give_up_silent() -> None:
    """Break a request off once its endpoint is silent."""

    def replace_silent(
        self: exchange.Exchange, attempt: CallAttempt, detail: str, *, certain: bool
    ) -> None:
        attempt.cancel()
        self._attempts.remove(attempt)
        self._may_have_run = True
        self.fail(detail)

    exchange.Exchange._replace_silent = replace_silent


def _miss_deadlines() -> None:
    """Wait for the first endpoint alone, and after the deadline too."""
    exchange.Exchange._replace_silent = lambda *_arguments, **_names: None
    exchange.Exchange._deadline_expired = lambda self: None
    exchange.Exchange.caller_disconnected = lambda self: None


def _pass_everything_on() -> None:
    """Deliver what comes of a stream at once, be it a whole event or not, and call it progress."""
    handle_data = exchange.Exchange.attempt_response_data

    def deliver(self: exchange.Exchange, attempt: CallAttempt, content: bytes) -> None:
        if not self.route.streams:
            handle_data(self, attempt, content)
            return
        self._delivery.start(attempt, attempt.reply)
        self._delivery.send(content)
        self.restart_stall_timer(None)

    exchange.Exchange.attempt_response_data = deliver


def _hoard_memory() -> None:
    """Use far more memory than a daemon may, from the start."""
    _HOARD.append(b"x" * _HOARDED_BYTES)


_PLANT_BY_NAME: dict[str, Callable[[], None]] = {
    "give_up_silent": _give_up_silent,
    "miss_deadlines": _miss_deadlines,
    "pass_everything_on": _pass_everything_on,
    "hoard_memory": _hoard_memory,
}

if __name__ == "__main__":
    _PLANT_BY_NAME[sys.argv[1]]()
    sys.exit(serve("INFO", policy="least_harm", fair_shares=True, learn_slowdown=False))

"""Run a daemon with a planted fault, so that a check of the soak is shown to find it."""

from __future__ import annotations

import sys
from collections.abc import Callable

from brassdrum.gateway.request import exchange
from brassdrum.gateway.request.attempt import CallAttempt
from brassdrum.platform.serve import serve


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


_PLANT_BY_NAME: dict[str, Callable[[], None]] = {
    "give_up_silent": _give_up_silent,
}

if __name__ == "__main__":
    _PLANT_BY_NAME[sys.argv[1]]()
    sys.exit(serve("INFO", policy="least_harm", fair_shares=True, learn_slowdown=False))

"""Decide which daemons ask which endpoints for their load, and what they tell the others."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from brassdrum.membership.peer_pb2 import EndpointReport

__all__ = ["ObserverMap", "ReportSharing", "observers_of", "polls_itself", "tells_all_loads"]

_OBSERVERS = 2
_POLLING_FLEET = 6
_LOADS_FLEET = 12
_REFRESH_ROUNDS = 8


def polls_itself(daemons: int) -> bool:
    """Return whether each daemon asks every endpoint: fresher, and cheap in a small fleet."""
    return daemons <= _POLLING_FLEET


def tells_all_loads(daemons: int) -> bool:
    """Return whether a daemon tells all its work at endpoints; a large one tells long work only."""
    return daemons <= _LOADS_FLEET


def observers_of(endpoint: str, daemons: Sequence[str]) -> list[str]:
    """Return the daemons that ask an endpoint on behalf of all, by rendezvous hashing."""
    ranked = sorted(
        daemons,
        key=lambda daemon: xxhash.xxh3_64_intdigest(f"{endpoint}\0{daemon}".encode()),
    )
    return ranked[:_OBSERVERS]


class ObserverMap:
    """Answer whether one daemon observes an endpoint; computed anew when the daemons change."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._daemons: list[str] = []
        self._observed_by_endpoint: dict[str, bool] = {}

    def observes(self, endpoint: str, daemons: Sequence[str]) -> bool:
        """Return whether the daemon itself is among an endpoint's observers."""
        if polls_itself(len(daemons)):
            return True
        if list(daemons) != self._daemons:
            self._daemons = list(daemons)
            self._observed_by_endpoint = {}
        observed = self._observed_by_endpoint.get(endpoint)
        if observed is None:
            observed = self._own in observers_of(endpoint, daemons)
            self._observed_by_endpoint[endpoint] = observed
        return observed


class ReportSharing:
    """Choose the reports to send in a round: those that changed, and a part of the others.

    The part goes round, so that whoever missed a change hears of it within eight rounds.
    """

    def __init__(self) -> None:
        self._sent_by_endpoint: dict[str, tuple[int, int, int]] = {}
        self._round = 0

    def choose(self, reports: Sequence[EndpointReport]) -> list[EndpointReport]:
        """Return the reports for this round."""
        self._round += 1
        chosen = []
        for position, report in enumerate(reports):
            content = (report.streams, report.queued_tokens, report.kv_tokens_held)
            due = (position + self._round) % _REFRESH_ROUNDS == 0
            if not due and self._sent_by_endpoint.get(report.endpoint) == content:
                continue
            self._sent_by_endpoint[report.endpoint] = content
            chosen.append(report)
        return chosen

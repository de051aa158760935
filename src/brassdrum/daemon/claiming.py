"""Claim idempotency keys, so that a request that may not be repeated runs at most once."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.daemon.core import Core, Scope
from brassdrum.errors import BrassdrumError, Ran
from brassdrum.outcomes.claimer import Claimer, request_fingerprint
from brassdrum.outcomes.claims import ClaimKey, OutcomeRecord
from brassdrum.wsgi import Response

__all__ = ["ClaimTicket", "claim", "replay"]


@dataclass(slots=True)
class ClaimTicket:
    """Hold a claim until its request completes; does nothing for a request without a key."""

    claimer: Claimer | None = None
    claim_id: str = ""
    settled: bool = False

    def finish(self, status: int, content_type: str, body: bytes | None) -> None:
        """Store the answer for later requests with the same key."""
        if self.claimer is None or self.settled:
            return
        self.settled = True
        self.claimer.finish(self.claim_id, status, content_type, body)

    def failed(self, error: BrassdrumError, *, repeatable: bool) -> None:
        """Abandon the claim if the request did not run or is repeatable; else keep it claimed."""
        if self.claimer is None or self.settled:
            return
        if error.ran is Ran.NO or repeatable:
            self.settled = True
            self.claimer.abandon(self.claim_id)


def claim(core: Core, scope: Scope, body: bytes) -> ClaimTicket | OutcomeRecord:
    """Return a ticket to run the request, or the outcome of an earlier request with its key."""
    if scope.idempotency_key is None:
        return ClaimTicket()
    key = ClaimKey(scope.organisation, scope.idempotency_key)
    fingerprint = request_fingerprint(scope.request.method, scope.request.path, body)
    claimer = core.claims.claimer_for(key)
    with scope.trace.hop("claim"):
        result = claimer.claim(key, fingerprint, core.wall_time(scope.deadline))
    if isinstance(result, OutcomeRecord):
        core.explanations.add(scope.request_id, "replayed", f"outcome of claim {result.id}")
        return result
    core.explanations.add(scope.request_id, "claimed", f"claim {result.claim_id}")
    return ClaimTicket(claimer, result.claim_id)


def replay(outcome: OutcomeRecord) -> Response:
    """Return the stored answer of an earlier request with the same key."""
    body = (outcome.body or "").encode()
    return Response(
        outcome.status,
        [body],
        outcome.content_type,
        {"Idempotent-Replay": "true"},
        len(body),
    )

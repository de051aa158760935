"""Typed error kinds; each names its code, its remedy and whether the request ran."""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar

__all__ = [
    "Ran",
    "BrassdrumError",
    "InvalidRequestError",
    "RequestTooLargeError",
    "UnknownKeyError",
    "UnknownModelError",
    "NotPermittedError",
    "PromptTooLongError",
    "LimitExceededError",
    "QueueFullError",
    "DeadlineUnreachableError",
    "DeadlineExceededError",
    "NoEndpointError",
    "EndpointUnreachableError",
    "EndpointPausedError",
    "EndpointFailedError",
    "EndpointEndedError",
    "StreamGoneError",
    "ContentQuarantinedError",
    "OutcomeUnknownError",
    "RequestInProgressError",
    "KeyReusedError",
    "KeyExpiredError",
    "ClaimUnavailableError",
    "ResumeRefusedError",
    "NotReadyError",
    "PlatformUnavailableError",
    "InvalidDocumentError",
    "UnknownZoneError",
    "CallerDisconnectedError",
]


class Ran(StrEnum):
    """Say whether a request reached the point where its work may have been done."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class BrassdrumError(Exception):
    """Carry what a caller or operator needs to act on a failure."""

    code: ClassVar[str] = "internal_error"
    status: ClassVar[int] = 500
    remedy: ClassVar[str] = "Report the request id to the operator."
    default_ran: ClassVar[Ran] = Ran.NO

    def __init__(
        self,
        message: str,
        *,
        remedy: str | None = None,
        ran: Ran | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.advice = remedy or self.remedy
        self.ran = ran or self.default_ran
        self.retry_after = retry_after

    @property
    def summary(self) -> str:
        """Return the message without what follows a colon: a neighbour may quote a prompt there."""
        return self.message.partition(": ")[0]

    def body(self) -> dict[str, dict[str, object]]:
        """Return the JSON body that a caller receives."""
        error: dict[str, object] = {
            "message": f"{self.message} {self.advice}".strip(),
            "type": self.code,
            "code": self.code,
            "remedy": self.advice,
            "ran": self.ran.value,
        }
        if self.retry_after is not None:
            error["retry_after"] = round(self.retry_after, 3)
        return {"error": error}


class InvalidRequestError(BrassdrumError):
    """Refuse a request that cannot be understood."""

    code = "invalid_request"
    status = 400
    remedy = "Correct the request and send it again."


class RequestTooLargeError(BrassdrumError):
    """Refuse a body over the daemon's size limit."""

    code = "request_too_large"
    status = 413
    remedy = "Send a smaller body."


class UnknownKeyError(BrassdrumError):
    """Refuse a caller whose API key is in no contract."""

    code = "unknown_api_key"
    status = 401
    remedy = "Send 'Authorization: Bearer KEY' with a key of your contract."


class UnknownModelError(BrassdrumError):
    """Refuse a model or service that the contract or the fleet does not have."""

    code = "unknown_model"
    status = 404
    remedy = "Ask GET /v1/models for the names that your contract covers."


class NotPermittedError(BrassdrumError):
    """Refuse what belongs to another organisation or is outside the contract."""

    code = "not_permitted"
    status = 403
    remedy = "Ask your operator to extend the contract."


class PromptTooLongError(BrassdrumError):
    """Refuse a prompt or answer beyond the contract or what any endpoint can hold."""

    code = "prompt_too_long"
    status = 400
    remedy = "Shorten the prompt or the answer."


class LimitExceededError(BrassdrumError):
    """Refuse a request over the contract's rate or concurrency."""

    code = "limit_exceeded"
    status = 429
    remedy = "Wait for retry_after seconds and send it again."


class QueueFullError(BrassdrumError):
    """Refuse a request because more urgent work fills the queue."""

    code = "overloaded"
    status = 503
    remedy = "Wait for retry_after seconds and send it again."


class DeadlineUnreachableError(BrassdrumError):
    """Refuse at once what cannot finish within its time."""

    code = "deadline_unreachable"
    status = 503
    remedy = "Allow more time, or send it again after retry_after seconds."


class DeadlineExceededError(BrassdrumError):
    """Fail a request whose time has passed."""

    code = "deadline_exceeded"
    status = 504
    remedy = "Allow more time."
    default_ran = Ran.MAYBE


class NoEndpointError(BrassdrumError):
    """Refuse a request that no live endpoint can serve."""

    code = "no_endpoint"
    status = 503
    remedy = "Send it again after retry_after seconds; the operator sees why in 'status'."


class EndpointUnreachableError(NoEndpointError):
    """Refuse a request whose endpoint took no connection; callers see no difference."""


class EndpointPausedError(NoEndpointError):
    """Refuse a request that an endpoint rejected, as it will all others for ``retry_after``."""


class EndpointFailedError(BrassdrumError):
    """Fail a request whose endpoint failed and which may not be repeated."""

    code = "endpoint_failed"
    status = 502
    remedy = "Send it again if repeating it does no harm."
    default_ran = Ran.MAYBE


class EndpointEndedError(EndpointFailedError):
    """Fail a request whose endpoint's process ended while it had the request.

    Callers see the code of any failed endpoint: what they may do is the same.
    """


class StreamGoneError(EndpointFailedError):
    """Fail a resumption of a stream that its endpoint no longer holds."""


class ContentQuarantinedError(BrassdrumError):
    """Refuse a request whose content has ended several endpoints."""

    code = "content_quarantined"
    status = 503
    remedy = (
        "Do not send this request again before retry_after seconds; tell the operator its id, "
        "since it ends the endpoints that run it."
    )


class OutcomeUnknownError(BrassdrumError):
    """Refuse to repeat a request that may have run under the same key."""

    code = "outcome_unknown"
    status = 409
    remedy = "Check its effect at the service before using a new Idempotency-Key."
    default_ran = Ran.MAYBE


class RequestInProgressError(BrassdrumError):
    """Refuse a second request while the first with its key is running."""

    code = "request_in_progress"
    status = 409
    remedy = "Wait for retry_after seconds and send it again with the same Idempotency-Key."
    default_ran = Ran.MAYBE


class KeyReusedError(BrassdrumError):
    """Refuse an idempotency key that came with another body before."""

    code = "idempotency_key_reused"
    status = 422
    remedy = "Use a new Idempotency-Key for a different request."


class KeyExpiredError(BrassdrumError):
    """Refuse an idempotency key older than the window in which keys are kept."""

    code = "idempotency_key_expired"
    status = 422
    remedy = "Check the effect of the first request; use a new Idempotency-Key to run again."


class ClaimUnavailableError(BrassdrumError):
    """Refuse keyed work that cannot be claimed because the log does not answer."""

    code = "claim_unavailable"
    status = 503
    remedy = "Send it again with the same Idempotency-Key after retry_after seconds."


class ResumeRefusedError(BrassdrumError):
    """Refuse a resume token that is forged, foreign, expired or gone."""

    code = "resume_refused"
    status = 410
    remedy = "Send the request anew."


class NotReadyError(BrassdrumError):
    """Refuse work before an accepted configuration is held or while stopping."""

    code = "not_ready"
    status = 503
    remedy = "Send it again; the balancer picks another daemon."


class PlatformUnavailableError(BrassdrumError):
    """Tell that the platform's service did not answer."""

    code = "platform_unavailable"
    status = 503
    remedy = "Try again when the platform answers; nothing accepted is lost."


class InvalidDocumentError(BrassdrumError):
    """Tell what is wrong in a contract, configuration or settings file."""

    code = "invalid_document"
    status = 400
    remedy = "Correct the named place and run 'brassdrum check' on the file."


class UnknownZoneError(BrassdrumError):
    """Tell that the operator has evacuated a zone without endpoints."""

    code = "unknown_zone"
    status = 400
    remedy = "Correct the zone's name in the operator's record, or delete the record."


class CallerDisconnectedError(BrassdrumError):
    """Stop work whose caller went away."""

    code = "caller_disconnected"
    status = 499
    remedy = "Nothing to do: the caller closed its connection."
    default_ran = Ran.MAYBE

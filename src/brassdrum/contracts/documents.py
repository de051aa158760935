"""Models that validate the documents that operators publish.

Format 1 is frozen: its fields don't change.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError, model_validator

from brassdrum.settings import validation_error

__all__ = [
    "FORMAT",
    "ApiKey",
    "Configuration",
    "Contract",
    "ContractLimits",
    "Document",
    "DocumentKind",
    "Endpoint",
    "EndpointKind",
    "Model",
    "Policy",
    "Repeatable",
    "Service",
    "ServiceCall",
    "Urgency",
    "document_name",
    "parse_document",
    "schema",
]

FORMAT = 1

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$")]


class DocumentKind(StrEnum):
    """Kind of a published document."""

    CONTRACT = "contract"
    CONFIGURATION = "configuration"


class Urgency(StrEnum):
    """Scheduling priority of an organisation's requests."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BULK = "bulk"

    @property
    def rank(self) -> int:
        """Return the position in the order of urgency, 0 for the most urgent."""
        return list(Urgency).index(self)


class EndpointKind(StrEnum):
    """Kind of an endpoint: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ApiKey(_StrictModel):
    """API key, stored as a salted hash; see ``contracts.keys``."""

    id: Name
    salt: Annotated[str, Field(pattern=r"^[0-9a-f]{16,64}$")]
    hash: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class ContractLimits(_StrictModel):
    """Limits of one organisation, enforced across all daemons."""

    requests_per_second: Annotated[float, Field(gt=0)]
    tokens_per_second: Annotated[float, Field(gt=0)]
    concurrency: Annotated[int, Field(ge=1)]
    longest_prompt: Annotated[int, Field(ge=1)]
    longest_answer: Annotated[int, Field(ge=1)]


class Repeatable(_StrictModel):
    """Models whose requests may run more than once."""

    models: list[Name] = []


class Contract(_StrictModel):
    """Permissions, limits and API keys of one organisation."""

    format: Literal[1]
    kind: Literal["contract"]
    organisation: Name
    keys: Annotated[list[ApiKey], Field(min_length=1)]
    models: list[Name] = []
    services: list[Name] = []
    limits: ContractLimits
    urgency: Urgency = Urgency.STANDARD
    share: Annotated[float, Field(gt=0)] = 1.0
    longest_wait_seconds: Annotated[float, Field(gt=0)] = 60.0
    longest_run_seconds: Annotated[float, Field(gt=0)] = 600.0
    repeatable: Repeatable = Repeatable()


class Model(_StrictModel):
    """Model, with the figures to estimate a prompt's tokens and prefill time."""

    name: Name
    context_tokens: Annotated[int, Field(ge=1)]
    bytes_per_token: Annotated[float, Field(gt=0)] = 4.0
    prefill_tokens_per_second: Annotated[float, Field(gt=0)] = 20_000.0


class Endpoint(_StrictModel):
    """Replica of an engine or of a plain service."""

    name: Name
    kind: EndpointKind
    url: Annotated[str, Field(pattern=r"^https?://[^/]+$")]
    zone: str
    pool: str = "shared"
    models: list[Name] = []
    service: Name | None = None
    kv_tokens: Annotated[int, Field(ge=0)] = 0
    max_streams: Annotated[int, Field(ge=1)] = 32
    checks_fences: bool = False

    @model_validator(mode="after")
    def _check_kind(self) -> Endpoint:
        if self.kind is EndpointKind.SERVICE and self.service is None:
            raise ValueError("a service endpoint requires 'service'")
        if self.kind is EndpointKind.ENGINE and self.kv_tokens == 0:
            raise ValueError("an engine endpoint requires a positive 'kv_tokens'")
        return self


class ServiceCall(_StrictModel):
    """Call of a plain service; an undeclared call is not repeatable."""

    method: Literal["GET", "HEAD", "PUT", "POST", "DELETE", "PATCH"]
    path: Annotated[str, Field(pattern=r"^/")]
    repeatable: bool = False


class Service(_StrictModel):
    """Plain service and its declared calls."""

    name: Name
    calls: list[ServiceCall] = []


class Policy(_StrictModel):
    """Routing policy and its parameters."""

    name: str = "length_aware"
    short_weight: Annotated[float, Field(ge=0, le=1)] = 0.5
    short_tokens: Annotated[int, Field(ge=1)] = 4_000
    long_tokens: Annotated[int, Field(ge=1)] = 100_000
    long_prefills_per_engine: Annotated[int, Field(ge=1)] = 1
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1


class Configuration(_StrictModel):
    """Configuration of the fleet; the only one is named ``fleet``."""

    format: Literal[1]
    kind: Literal["configuration"]
    name: Literal["fleet"] = "fleet"
    models: list[Model] = []
    services: list[Service] = []
    endpoints: list[Endpoint] = []
    policy: Policy = Policy()
    idempotency_window_seconds: Annotated[float, Field(gt=0)] = 3600.0
    log_retention_seconds: Annotated[float, Field(gt=0)] = 7200.0

    @model_validator(mode="after")
    def _check_references(self) -> Configuration:
        if self.idempotency_window_seconds >= self.log_retention_seconds:
            raise ValueError("idempotency_window_seconds must be below log_retention_seconds")
        names = [endpoint.name for endpoint in self.endpoints]
        if len(set(names)) != len(names):
            raise ValueError("endpoint names must be unique")
        models = {model.name for model in self.models}
        services = {service.name for service in self.services}
        for endpoint in self.endpoints:
            for model in endpoint.models:
                if model not in models:
                    raise ValueError(f"endpoint {endpoint.name} refers to unknown model {model}")
            if endpoint.service is not None and endpoint.service not in services:
                raise ValueError(
                    f"endpoint {endpoint.name} refers to unknown service {endpoint.service}"
                )
        return self


Document = Annotated[Contract | Configuration, Field(discriminator="kind")]
_DOCUMENT_ADAPTER: TypeAdapter[Contract | Configuration] = TypeAdapter(Document)


def parse_document(content: object, source: str = "document") -> Contract | Configuration:
    """Return the validated model of a document, or raise ``InvalidDocumentError``."""
    try:
        return _DOCUMENT_ADAPTER.validate_python(content)
    except ValidationError as error:
        raise validation_error(source, error) from error


def document_name(document: Contract | Configuration) -> str:
    """Return a document's name, which is unique within its kind."""
    if isinstance(document, Contract):
        return document.organisation
    return document.name


def schema() -> dict[str, object]:
    """Return the JSON Schema of all documents."""
    return _DOCUMENT_ADAPTER.json_schema()

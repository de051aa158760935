"""Validated models of the documents that operators publish (format 1, frozen)."""

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
    """Name the kinds of documents."""

    CONTRACT = "contract"
    CONFIGURATION = "configuration"


class Urgency(StrEnum):
    """Order work by how soon it is needed."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BULK = "bulk"

    @property
    def rank(self) -> int:
        """Return 0 for the most urgent."""
        return list(Urgency).index(self)


class EndpointKind(StrEnum):
    """Tell model engines from plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ApiKey(_Strict):
    """Keep an API key as a salted hash; see ``contracts.keys``."""

    id: Name
    salt: Annotated[str, Field(pattern=r"^[0-9a-f]{16,64}$")]
    hash: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class ContractLimits(_Strict):
    """Bound what one organisation may use, over all daemons together."""

    requests_per_second: Annotated[float, Field(gt=0)]
    tokens_per_second: Annotated[float, Field(gt=0)]
    concurrency: Annotated[int, Field(ge=1)]
    longest_prompt: Annotated[int, Field(ge=1)]
    longest_answer: Annotated[int, Field(ge=1)]


class Repeatable(_Strict):
    """Name the models whose requests may run more than once."""

    models: list[Name] = []


class Contract(_Strict):
    """Describe everything one organisation may do."""

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


class Model(_Strict):
    """Describe one model and how its prompts are counted."""

    name: Name
    context_tokens: Annotated[int, Field(ge=1)]
    bytes_per_token: Annotated[float, Field(gt=0)] = 4.0
    prefill_tokens_per_second: Annotated[float, Field(gt=0)] = 20_000.0


class Endpoint(_Strict):
    """Describe one replica of an engine or of a plain service."""

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
            raise ValueError("a service endpoint names its service in 'service'")
        if self.kind is EndpointKind.ENGINE and self.kv_tokens == 0:
            raise ValueError("an engine endpoint gives its memory in 'kv_tokens'")
        return self


class ServiceCall(_Strict):
    """Declare one call of a plain service; what is not declared may not be repeated."""

    method: Literal["GET", "HEAD", "PUT", "POST", "DELETE", "PATCH"]
    path: Annotated[str, Field(pattern=r"^/")]
    repeatable: bool = False


class Service(_Strict):
    """Describe one plain service."""

    name: Name
    calls: list[ServiceCall] = []


class Policy(_Strict):
    """Weigh the goals of routing."""

    name: str = "length_aware"
    short_weight: Annotated[float, Field(ge=0, le=1)] = 0.5
    short_tokens: Annotated[int, Field(ge=1)] = 4_000
    long_tokens: Annotated[int, Field(ge=1)] = 100_000
    long_prefills_per_engine: Annotated[int, Field(ge=1)] = 1
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1


class Configuration(_Strict):
    """Describe the fleet; there is one, named ``fleet``."""

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
            raise ValueError("two endpoints share a name; give each its own")
        models = {model.name for model in self.models}
        services = {service.name for service in self.services}
        for endpoint in self.endpoints:
            for model in endpoint.models:
                if model not in models:
                    raise ValueError(f"endpoint {endpoint.name} names unknown model {model}")
            if endpoint.service is not None and endpoint.service not in services:
                raise ValueError(f"endpoint {endpoint.name} names unknown {endpoint.service}")
        return self


Document = Annotated[Contract | Configuration, Field(discriminator="kind")]
_ADAPTER: TypeAdapter[Contract | Configuration] = TypeAdapter(Document)


def parse_document(content: object, source: str = "document") -> Contract | Configuration:
    """Return a validated document, or raise ``InvalidDocumentError``."""
    try:
        return _ADAPTER.validate_python(content)
    except ValidationError as error:
        raise validation_error(source, error) from error


def document_name(document: Contract | Configuration) -> str:
    """Return the name that a document is kept under within its kind."""
    if isinstance(document, Contract):
        return document.organisation
    return document.name


def schema() -> dict[str, object]:
    """Return the JSON Schema of all documents."""
    return _ADAPTER.json_schema()

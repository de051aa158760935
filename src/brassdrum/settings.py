"""Settings of each process, read from one JSON file and validated."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from brassdrum.errors import InvalidDocumentError

__all__ = [
    "Address",
    "DaemonSettings",
    "EngineFaults",
    "EngineStandinSettings",
    "LogSettings",
    "PlatformSettings",
    "PlatformStandinSettings",
    "ResumeKey",
    "ServiceStandinSettings",
    "ShutdownSettings",
    "TelemetrySettings",
    "load_json",
    "load_settings",
    "validation_error",
]

Seconds = Annotated[float, Field(gt=0)]
M = TypeVar("M", bound=BaseModel)


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Strict):
    """Bind or reach one TCP port by IP number."""

    host: str = "127.0.0.1"
    port: Annotated[int, Field(ge=0, le=65535)] = 0

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class PlatformSettings(_Strict):
    """Tell where the platform's services answer."""

    url: str
    timeout_seconds: Seconds = 2.0


class LogSettings(_Strict):
    """Choose how log lines are written."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class TelemetrySettings(_Strict):
    """Choose where spans go and how many are kept."""

    otlp_endpoint: str | None = None
    sample_ratio: Annotated[float, Field(ge=0, le=1)] = 1.0


class ResumeKey(_Strict):
    """Sign and verify resume tokens; the first key signs, all verify."""

    id: Annotated[str, Field(pattern=r"^[a-z0-9-]{1,16}$")]
    secret: Annotated[str, Field(min_length=16)]


class ShutdownSettings(_Strict):
    """Time the steps of a graceful shutdown."""

    notice_seconds: Annotated[float, Field(ge=0)] = 5.0
    drain_seconds: Annotated[float, Field(ge=0)] = 900.0


class DaemonSettings(_Strict):
    """Describe one daemon; addresses and availability zone come from here."""

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    zone: str
    region: str = "default"
    http: Address = Address()
    peer: Address = Address()
    peers: list[str] = []
    platform: PlatformSettings
    threads: Annotated[int, Field(ge=4, le=4096)] = 512
    queue_length: Annotated[int, Field(ge=1)] = 256
    max_body_bytes: Annotated[int, Field(ge=1024)] = 16 * 1024 * 1024
    idle_timeout_seconds: Seconds = 60.0
    gossip_seconds: Seconds = 1.0
    poll_seconds: Seconds = 1.0
    lease_seconds: Seconds = 10.0
    checkpoint_seconds: Seconds = 600.0
    resume_keys: Annotated[list[ResumeKey], Field(min_length=1)]
    operator_token_hash: str | None = None
    shutdown: ShutdownSettings = ShutdownSettings()
    log: LogSettings = LogSettings()
    telemetry: TelemetrySettings = TelemetrySettings()


class PlatformStandinSettings(_Strict):
    """Describe the stand-in for the platform's log, host list and weight store."""

    http: Address = Address()
    retention_seconds: Seconds = 3600.0
    append_seconds: Annotated[float, Field(ge=0)] = 0.002
    threads: int = 64


class EngineFaults(_Strict):
    """Inject faults into an engine stand-in, as shares of requests from 0 to 1.

    A prompt that holds the text ``ends_on`` ends the engine.
    """

    truncate: float = 0.0
    cross: float = 0.0
    repeat: float = 0.0
    drop_answer: float = 0.0
    pause_seconds: Annotated[float, Field(ge=0)] = 0.0
    refuse: float = 0.0
    hang: float = 0.0
    ends_on: str = ""


class EngineStandinSettings(_Strict):
    """Describe one engine stand-in."""

    name: str
    http: Address = Address()
    models: list[str] = ["sample"]
    kv_tokens: int = 400_000
    max_streams: int = 64
    prefill_tokens_per_second: Seconds = 20_000.0
    chunk_tokens: int = 8_192
    step_seconds: Annotated[float, Field(ge=0)] = 0.01
    speed: Seconds = 1.0
    report_lag_seconds: Annotated[float, Field(ge=0)] = 0.2
    event_lag_seconds: Annotated[float, Field(ge=0)] = 1.0
    event_loss: Annotated[float, Field(ge=0, le=1)] = 0.02
    stream_lease_seconds: Seconds = 30.0
    resume_seconds: Annotated[float, Field(ge=0)] = 20.0
    checks_fences: bool = True
    tag_tokens: bool = False
    seed: int = 1
    threads: int = 128
    faults: EngineFaults = EngineFaults()


class ServiceStandinSettings(_Strict):
    """Describe one plain-service stand-in."""

    name: str
    http: Address = Address()
    delay_seconds: Annotated[float, Field(ge=0)] = 0.005
    drop_answer: Annotated[float, Field(ge=0, le=1)] = 0.0
    seed: int = 1
    threads: int = 32


def validation_error(source: str, error: ValidationError) -> InvalidDocumentError:
    """Return an error that names the file, the path in it and what is wrong there."""
    places = []
    for detail in error.errors(include_url=False, include_input=False):
        path = ".".join(str(part) for part in detail["loc"]) or "(document)"
        places.append(f"{path}: {detail['msg']}")
    return InvalidDocumentError(f"{source}: " + "; ".join(places) + ".")


def load_json(path: Path) -> object:
    """Return a JSON file's content, or raise ``InvalidDocumentError``."""
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        raise InvalidDocumentError(
            f"{path}: there is no such file.", remedy="Check the name and the folder."
        ) from None
    except (UnicodeDecodeError, OSError) as error:
        raise InvalidDocumentError(
            f"{path}: cannot be read: {error}.", remedy="Give a UTF-8 JSON file."
        ) from error
    except json.JSONDecodeError as error:
        raise InvalidDocumentError(
            f"{path}: line {error.lineno} column {error.colno}: {error.msg}.",
            remedy="Correct the JSON at that place.",
        ) from error


def load_settings(path: Path, model: type[M]) -> M:
    """Return validated settings, or raise ``InvalidDocumentError``."""
    content = load_json(path)
    try:
        return model.model_validate(content)
    except ValidationError as error:
        raise validation_error(str(path), error) from error

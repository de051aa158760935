"""Decode the settings file that the platform gives each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

from brassdrum.errors import InvalidDocumentError
from brassdrum.gateway.model import Bounds, GatewaySettings
from brassdrum.gateway.net.flow_control import DEFAULT_MEMORY_MB, MIN_BUDGET_BYTES, default_budget
from brassdrum.json_fields import Document, Field, FieldError

__all__ = ["PATH_VARIABLE", "PlatformSettings", "read_settings", "settings_path"]

# Collectors ask here, as deploy/system.toml says; it is the usual port of such pages.
_METRICS_PORT = 9464
PATH_VARIABLE = "BRASSDRUM_BOOT"


class _Listen(Document):
    front: str
    ready: str


class _Bounds(Document):
    drain_ms: float = 2000.0
    config_apply_ms: float = 2000.0
    evac_ms: float = 5000.0
    grace_s: float = 8.0
    # Repeated sends allowed for each request, over the window, beside the slack.
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 100.0
    stall_ms: float = 1500.0
    hold_max_ms: float = 20000.0
    # Held memory must be free this long after its last request.
    free_ms: float = 4000.0


class _Limits(Document):
    # The share of a core that the process gets, and by how many times the core is faster.
    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: float = Field(DEFAULT_MEMORY_MB, gt=0, allow_inf_nan=False)
    buffer_bytes: int | None = Field(None, ge=MIN_BUDGET_BYTES)


class _Platform(Document):
    address: str


class _Settings(Document):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Listen
    port_range: tuple[int, int]
    seeds: list[str] = Field(default_factory=list)
    bounds: _Bounds = Field(default_factory=lambda: _Bounds.check({}))
    limits: _Limits = Field(default_factory=lambda: _Limits.check({}))
    platform: _Platform


class PlatformSettings(NamedTuple):
    """Hold the daemon's settings and the store's address."""

    gateway: GatewaySettings
    store: str


def settings_path() -> Path:
    """Return the path that the platform names, or raise ``InvalidDocumentError``."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise InvalidDocumentError(f"{PATH_VARIABLE} names no settings file.")
    return Path(path)


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings, or raise ``InvalidDocumentError``."""
    try:
        content = _Settings.parse(path.read_bytes())
    except (OSError, FieldError) as error:
        raise InvalidDocumentError(f"The settings file {path} is not usable: {error}.") from error
    bounds = content.bounds
    gateway = GatewaySettings(
        name=content.node_name,
        host=content.ip,
        zone=content.zone,
        caller_port=int(content.listen_addrs.front.rpartition(":")[2]),
        ready_port=int(content.listen_addrs.ready.rpartition(":")[2]),
        peer_port=content.port_range[0],
        seeds=tuple(seed.rpartition(":")[0] for seed in content.seeds),
        bounds=Bounds(
            drain=bounds.drain_ms / 1000,
            configuration=bounds.config_apply_ms / 1000,
            evacuation=bounds.evac_ms / 1000,
            grace=bounds.grace_s,
            retry_ratio=bounds.budget_ratio,
            retry_window=bounds.budget_window_s,
            retry_slack=bounds.budget_slack,
            endpoint_stall=bounds.stall_ms / 1000,
            max_reservation=bounds.hold_max_ms / 1000,
            reservation_release=bounds.free_ms / 1000,
        ),
        capacity=round(content.limits.cpu_share * content.limits.cores * 10),
        metrics_port=_METRICS_PORT,
        source=str(path),
        buffer_bytes=content.limits.buffer_bytes or default_budget(content.limits.memory_mb),
    )
    return PlatformSettings(gateway=gateway, store=content.platform.address)

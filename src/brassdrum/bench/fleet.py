"""Prepare daemons that run as processes: host list, readiness, settings."""

from __future__ import annotations

import json
import time

from brassdrum.caller import Caller
from brassdrum.http_pool import HttpPool
from brassdrum.settings import DaemonSettings, LogSettings, PlatformSettings, ResumeKey

__all__ = ["ZONES", "daemon_settings", "list_hosts", "status_of", "wait_ready"]

ZONES = 3
_READY_SECONDS = 90.0
_POLL_SECONDS = 0.05


def daemon_settings(platform: str, number: int, threads: int, **changes: object) -> DaemonSettings:
    """Return settings of one daemon."""
    settings = DaemonSettings(
        name=f"daemon-{number}",
        zone=f"zone-{number % ZONES}",
        platform=PlatformSettings(url=platform, timeout_seconds=5.0),
        threads=threads,
        resume_keys=[ResumeKey(id="k1", secret="secret-of-the-benchmark")],
        log=LogSettings(level="ERROR"),
    )
    return settings.model_copy(update=changes)


def status_of(url: str) -> dict:
    """Return a daemon's status page."""
    return json.loads(Caller(url, "").send("GET", "/-/status", None).body)


def list_hosts(platform: str, urls: list[str]) -> None:
    """Put daemons on the platform's host list."""
    for number, url in enumerate(urls):
        content = {
            "role": "daemon",
            "state": "live",
            "http_address": url.removeprefix("http://"),
            "peer_address": status_of(url)["daemons"][0]["peer_address"],
        }
        HttpPool(platform).call("PUT", f"/v1/hosts/daemon-{number}", json.dumps(content).encode())


def wait_ready(urls: list[str]) -> None:
    """Wait until all daemons are ready, or raise ``TimeoutError``."""
    limit = time.monotonic() + _READY_SECONDS
    for url in urls:
        while Caller(url, "").send("GET", "/-/ready", None).status != 200:
            if time.monotonic() > limit:
                raise TimeoutError(f"{url} did not become ready")
            time.sleep(_POLL_SECONDS)

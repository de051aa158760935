"""Start, signal and restart the daemons of a soak."""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from brassdrum.platform.settings import PATH_VARIABLE

__all__ = ["DAEMON_PLANTS", "DaemonProcess"]

# As the log handler encodes it; a line that is cut can't be decoded.
_ERROR_LEVEL = '"level":"error"'
_SHOWN_CHARACTERS = 200
_GATEWAY = ["brassdrum", "gateway"]
# Faults that ``planted_daemon`` plants; not read from there, since it imports the gateway.
DAEMON_PLANTS = ("give_up_silent", "miss_deadlines", "pass_everything_on", "hoard_memory")
_PEAK_LINE = "VmHWM:"


class DaemonProcess:
    """Start, signal and restart one daemon; ends only the process that it started itself."""

    def __init__(
        self, name: str, host: str, boot: Path, log: Path, ports: tuple[int, int], plant: str = ""
    ) -> None:
        """Run the gateway, or with a ``plant`` the gateway with that fault."""
        self.name = name
        self.host = host
        self.port, self.ready_port = ports
        self.wanted = True
        self._boot = boot
        self._log = log
        self._process: subprocess.Popen | None = None
        self._command = ["brassdrum.soak.planted_daemon", plant] if plant else _GATEWAY

    def start(self) -> None:
        """Start the process unless it runs."""
        if self._process is not None and self._process.poll() is None:
            return
        environment = {**os.environ, PATH_VARIABLE: str(self._boot)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._command], env=environment, stdout=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def process_id(self) -> int | None:
        """Return the id of the process, None before the first start."""
        return None if self._process is None else self._process.pid

    def peak_memory_mb(self) -> float:
        """Return the most memory that the process has used, 0 if it does not run."""
        try:
            lines = Path(f"/proc/{self.process_id}/status").read_text().splitlines()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) / 1024 for line in lines if line.startswith(_PEAK_LINE))

    def ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    def close(self) -> None:
        """End the process."""
        self.wanted = False
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def logged_errors(self) -> list[str]:
        """Return the event and the exception of each line of level error, over all starts."""
        errors = []
        for text in self._log.read_text(errors="replace").splitlines():
            if _ERROR_LEVEL not in text:
                continue
            try:
                line = json.loads(text)
            except ValueError:
                # Cut at the longest line of the log, or where the process was killed.
                errors.append(text[-_SHOWN_CHARACTERS:])
                continue
            cause = (line.get("exception") or "without an exception").splitlines()[-1]
            errors.append(f"{line.get('event')}: {cause}")
        return errors

    def ready(self) -> bool:
        """Return whether the daemon calls itself ready."""
        connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=1)
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

"""Start the program's own parts as processes for a measurement.

The system itself starts no process; this is a tool beside it.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel

__all__ = ["Part", "Parts", "Usage"]

_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_KILL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold what a process has used: seconds of processor, bytes of resident memory, threads."""

    cpu_seconds: float
    resident_bytes: int
    threads: int


class Part:
    """Hold one process that was started here."""

    def __init__(self, arguments: list[str], settings: BaseModel, folder: Path) -> None:
        path = folder / f"{len(list(folder.iterdir()))}.json"
        path.write_text(settings.model_dump_json())
        self._process = subprocess.Popen(
            [sys.executable, "-m", "brassdrum", *arguments, "--settings", str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )

    def wait_url(self) -> str:
        """Return the URL that the process prints when it serves."""
        assert self._process.stdout is not None
        return self._process.stdout.readline().split()[-1]

    def usage(self) -> Usage:
        """Return what the process has used so far."""
        folder = Path("/proc") / str(self._process.pid)
        fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
        status = dict(
            line.split(":", 1)
            for line in (folder / "status").read_text().splitlines()
            if ":" in line
        )
        ticks = int(fields[11]) + int(fields[12])
        resident = int(status["VmRSS"].split()[0]) * 1024
        return Usage(ticks / _CLOCK_TICKS, resident, int(status["Threads"]))

    def close(self) -> None:
        """End the process."""
        self._process.terminate()
        try:
            self._process.wait(_KILL_SECONDS)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()
        if self._process.stdout is not None:
            self._process.stdout.close()


class Parts:
    """Keep all processes of a measurement and end them together."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._parts: list[Part] = []

    def __enter__(self) -> Parts:
        return self

    def __exit__(self, *exception: object) -> None:
        for part in self._parts:
            part._process.terminate()
        for part in self._parts:
            part.close()
        self._folder.cleanup()

    def start(self, arguments: list[str], settings: BaseModel) -> Part:
        """Start one process."""
        part = Part(arguments, settings, Path(self._folder.name))
        self._parts.append(part)
        return part

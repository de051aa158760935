"""Notice that a settings file was replaced or edited."""

from __future__ import annotations

from pathlib import Path

__all__ = ["SettingsFile"]


class SettingsFile:
    """Notice when the settings file changes."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._mark = self._read_mark()

    def changed(self) -> bool:
        """Return whether the file changed since the last look."""
        mark = self._read_mark()
        if mark is None or mark == self._mark:
            return False
        self._mark = mark
        return True

    def _read_mark(self) -> tuple[int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            # It is being replaced; the next look finds the new one.
            return None
        return status.st_mtime_ns, status.st_size

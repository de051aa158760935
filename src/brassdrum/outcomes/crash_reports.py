"""What daemons tell each other of crashes at which traits of requests were in flight."""

from __future__ import annotations

from dataclasses import dataclass, replace

from brassdrum.outcomes.fingerprint import ALL_CALLERS

__all__ = ["CrashReport", "ObservedCrash", "report_bytes"]

# What a report and each of its crashes take in a datagram.
_REPORT_BYTES = 16
_CRASH_BYTES = 9


@dataclass(frozen=True, slots=True)
class ObservedCrash:
    """Crash of an endpoint, identified by its key, ``age`` seconds ago.

    ``soon`` is set if a request with the trait was sent to it within ``SOON_SECONDS`` before, and
    ``lived`` if the endpoint is known to have been alive when the request was sent. ``callers`` is
    the union of the masks of the callers of these requests.
    """

    endpoint: int
    age: float
    soon: bool = False
    lived: bool = True
    callers: int = ALL_CALLERS


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes at which a trait was in flight, and the age of its last complete response."""

    trait: str
    crashes: tuple[ObservedCrash, ...]
    served_age: float | None = None

    def aged(self, seconds: float) -> CrashReport:
        """Return the report as of some seconds later."""
        served_age = None if self.served_age is None else self.served_age + seconds
        crashes = tuple(replace(each, age=each.age + seconds) for each in self.crashes)
        return replace(self, crashes=crashes, served_age=served_age)

    @property
    def size_bytes(self) -> int:
        """Return what the report takes in a datagram."""
        return report_bytes(len(self.crashes))


def report_bytes(crashes: int) -> int:
    """Return the bytes that a report on a number of crashes takes in a datagram."""
    return _REPORT_BYTES + _CRASH_BYTES * crashes

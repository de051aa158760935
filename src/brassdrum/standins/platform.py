"""Stand in for the platform: log service, host list and weight store, with faults on command."""

from __future__ import annotations

import copy
import threading
import time
from dataclasses import dataclass, field

from brassdrum.errors import BrassdrumError, InvalidRequestError
from brassdrum.settings import PlatformStandinSettings
from brassdrum.wsgi import HttpServer, Request, Response, Router, json_response

__all__ = ["PlatformFaults", "PlatformStandin"]

_LONGEST_WAIT = 30.0


@dataclass(slots=True)
class PlatformFaults:
    """Switch faults of the platform; counts are used up by one request each."""

    down: bool = False
    slow_seconds: float = 0.0
    lose_append_answers: int = 0
    delay_appends_seconds: float = 0.0
    hosts_down: bool = False


class _Stream:
    """Keep the records of one stream."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[dict[str, object]] = []

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, values: list[object]) -> int:
        first = self.end
        now = time.time()
        for position, value in enumerate(values):
            self.records.append({"offset": first + position, "time": now, "value": value})
        return first

    def expire(self, before: float) -> None:
        count = 0
        while count < len(self.records) and self.records[count]["time"] < before:
            count += 1
        del self.records[:count]
        self.first += count


@dataclass(slots=True)
class _Counters:
    appends: int = 0
    records: int = 0
    reads: int = 0
    bytes_read: int = 0


@dataclass(slots=True)
class _State:
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    counters: _Counters = field(default_factory=_Counters)
    hosts_by_name: dict[str, dict[str, str]] = field(default_factory=dict)
    streams_by_name: dict[str, _Stream] = field(default_factory=dict)
    copied_by_name: dict[str, _Stream] = field(default_factory=dict)
    era: int = 0


class PlatformStandin:
    """Serve the platform's interfaces from memory."""

    def __init__(self, settings: PlatformStandinSettings) -> None:
        self._settings = settings
        self._retention = settings.retention_seconds
        self._state = _State()
        self._changed = threading.Condition()
        router = Router()
        router.add("POST", "/v1/streams/{stream}/records", self._append)
        router.add("GET", "/v1/streams/{stream}/records", self._read)
        router.add("GET", "/v1/hosts", self._hosts)
        router.add("PUT", "/v1/hosts/{name}", self._put_host)
        router.add("POST", "/faults", self._set_faults)
        router.add("POST", "/retention", self._set_retention)
        router.add("GET", "/counters", self._get_counters)
        self._server = HttpServer(
            router, settings.http.host, settings.http.port, settings.threads, 64 << 20
        )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self._settings.http.host}:{self._server.port}"

    @property
    def faults(self) -> PlatformFaults:
        """Return the switches of faults, to be set by tests."""
        return self._state.faults

    @property
    def appends(self) -> int:
        """Return how many append requests were carried out."""
        return self._state.counters.appends

    def start(self) -> None:
        """Begin to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def put_host(self, name: str, **fields: str) -> None:
        """Add or change a host of the list."""
        with self._changed:
            self._state.hosts_by_name.setdefault(name, {"name": name}).update(fields)

    def keep_copy(self) -> None:
        """Make a copy of all streams."""
        with self._changed:
            self._state.copied_by_name = copy.deepcopy(self._state.streams_by_name)

    def come_back(self) -> None:
        """Lose what was appended since the copy was made."""
        with self._changed:
            self._state.streams_by_name = copy.deepcopy(self._state.copied_by_name)
            self._state.era += 1
            self._changed.notify_all()

    def _append(self, request: Request) -> Response:
        values = request.json().get("records")
        if not isinstance(values, list) or not values:
            raise InvalidRequestError("'records' is no list with content.")
        self._check_up()
        faults = self._state.faults
        time.sleep(self._settings.append_seconds + faults.slow_seconds)
        if faults.delay_appends_seconds:
            delay = threading.Timer(
                faults.delay_appends_seconds, self._store, (request.parameters["stream"], values)
            )
            delay.daemon = True
            delay.start()
            raise _LostError("The append's answer was lost.")
        first = self._store(request.parameters["stream"], values)
        if faults.lose_append_answers > 0:
            faults.lose_append_answers -= 1
            raise _LostError("The append's answer was lost.")
        return json_response({"first_offset": first})

    def _store(self, name: str, values: list[object]) -> int:
        with self._changed:
            stream = self._stream(name)
            first = stream.append(values)
            self._state.counters.appends += 1
            self._state.counters.records += len(values)
            self._changed.notify_all()
            return first

    def _read(self, request: Request) -> Response:
        self._check_up()
        time.sleep(self._state.faults.slow_seconds)
        query = request.query
        start = int(query.get("from", "0"))
        limit = int(query.get("limit", "1000"))
        wait = min(float(query.get("wait", "0")), _LONGEST_WAIT)
        name = request.parameters["stream"]
        with self._changed:
            era = self._state.era
            self._changed.wait_for(
                lambda: (
                    self._stream(name).end > start
                    or self._state.faults.down
                    or self._state.era != era
                ),
                wait,
            )
            self._check_up()
            stream = self._stream(name)
            stream.expire(time.time() - self._retention)
            begin = max(0, start - stream.first)
            records = stream.records[begin : begin + limit]
            next_offset = records[-1]["offset"] + 1 if records else max(start, stream.first)
            content = {
                "earliest": stream.first,
                "next": next_offset,
                "end": stream.end,
                "records": records,
                "era": self._state.era,
            }
            # A read from an offset that a copy does not have.
            status = 410 if start > stream.end else 200
        response = json_response(content, status)
        self._state.counters.reads += 1
        self._state.counters.bytes_read += response.length or 0
        return response

    def _stream(self, name: str) -> _Stream:
        return self._state.streams_by_name.setdefault(name, _Stream())

    def _check_up(self) -> None:
        if self._state.faults.down:
            raise _LostError("The platform is down.")

    def _hosts(self, request: Request) -> Response:
        self._check_up()
        if self._state.faults.hosts_down:
            raise _LostError("The host list is down.")
        with self._changed:
            return json_response({"hosts": list(self._state.hosts_by_name.values())})

    def _put_host(self, request: Request) -> Response:
        fields = {str(name): str(value) for name, value in request.json().items()}
        fields.pop("name", None)
        self.put_host(request.parameters["name"], **fields)
        return json_response({})

    def _set_faults(self, request: Request) -> Response:
        for name, value in request.json().items():
            if name not in PlatformFaults.__dataclass_fields__:
                raise InvalidRequestError(f"There is no fault {name!r}.")
            setattr(self._state.faults, name, value)
        with self._changed:
            self._changed.notify_all()
        return json_response({})

    def _set_retention(self, request: Request) -> Response:
        self._retention = float(request.json()["seconds"])
        return json_response({})

    def _get_counters(self, request: Request) -> Response:
        counters = self._state.counters
        return json_response(
            {
                "appends": counters.appends,
                "records": counters.records,
                "reads": counters.reads,
                "bytes_read": counters.bytes_read,
            }
        )


class _LostError(BrassdrumError):
    """Answer with a status that tells the client nothing of what was done."""

    code = "unavailable"
    status = 503
    remedy = "Try again."

"""End a request at once if one of its handlers raises an unexpected error."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Concatenate, ParamSpec, Protocol, TypeVar

__all__ = ["GuardedRequest", "fails_request"]


class GuardedRequest(Protocol):
    """A request whose handlers are guarded."""

    @property
    def finished(self) -> bool:
        """Return whether the request has its final response."""

    def handler_failed(self, error: Exception) -> None:
        """Fail the request after an unexpected error."""


_Request = TypeVar("_Request", bound=GuardedRequest)
_Arguments = ParamSpec("_Arguments")
_Handler = Callable[Concatenate[_Request, _Arguments], None]


def fails_request(handler: _Handler[_Request, _Arguments]) -> _Handler[_Request, _Arguments]:
    """Let a handler fail its request where it raises, unless the request was finished before."""

    @functools.wraps(handler)
    def handle(request: _Request, *args: _Arguments.args, **kwargs: _Arguments.kwargs) -> None:
        was_finished = request.finished
        try:
            handler(request, *args, **kwargs)
        except Exception as error:
            if was_finished:
                raise
            request.handler_failed(error)

    return handle

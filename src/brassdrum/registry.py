"""Name behaviour that varies, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Keep implementations by name."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._by_name: dict[str, T] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._by_name))

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that files an implementation under a name."""

        def decorate(implementation: T) -> T:
            if name in self._by_name:
                raise ValueError(f"{self._kind} {name!r} is registered twice; rename one of them")
            self._by_name[name] = implementation
            return implementation

        return decorate

    def get(self, name: str) -> T:
        """Return the implementation filed under a name, or raise ``KeyError`` that lists all."""
        if name not in self._by_name:
            known = ", ".join(self)
            raise KeyError(f"no {self._kind} is named {name!r}; use one of: {known}")
        return self._by_name[name]

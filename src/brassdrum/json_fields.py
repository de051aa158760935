"""Check JSON documents against annotated classes.

Replaces pydantic at the border to the platform: its import takes 0.15 s of processor time, a
quarter of a daemon's start, and a daemon needs the checks before it serves its first request. The
rules are those of pydantic for the types that are used here; a scenario compares the two.
"""

from __future__ import annotations

import json
import math
import re
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, Self

__all__ = ["Document", "Field", "FieldError", "whole_number", "whole_number_in"]

_MISSING: Any = object()
_TRUE_WORDS = frozenset(("1", "on", "t", "true", "y", "yes"))
_FALSE_WORDS = frozenset(("0", "off", "f", "false", "n", "no"))
# Larger numbers with a point or an exponent are not taken for whole ones.
_MAX_WHOLE_FLOAT = float(1 << 63)
_Check = Callable[[object], object]


class FieldError(ValueError):
    """Tell which field of a document has an unusable value."""

    def __init__(self, problem: str, path: tuple[str, ...] = ()) -> None:
        super().__init__(": ".join(filter(None, (".".join(path), problem))))
        self.problem = problem
        self.path = path

    def inside(self, name: str) -> FieldError:
        """Return the error as seen from the object or list that holds the value."""
        return FieldError(self.problem, (name, *self.path))


@dataclass(frozen=True, slots=True)
class Field:
    """The default of a field, and bounds on its value."""

    default: Any = _MISSING
    default_factory: Callable[[], Any] | None = None
    ge: float | None = None
    gt: float | None = None
    min_length: int | None = None
    pattern: str | None = None
    allow_inf_nan: bool = True

    @property
    def is_bounded(self) -> bool:
        """Return whether some values of the declared type are refused."""
        bounds = (self.ge, self.gt, self.min_length, self.pattern)
        return any(each is not None for each in bounds) or not self.allow_inf_nan

    def check(self, value: Any) -> None:
        """Raise ``FieldError`` where a value is out of bounds."""
        if self.ge is not None and not value >= self.ge:
            raise FieldError(f"must be at least {self.ge}, not {value}")
        if self.gt is not None and not value > self.gt:
            raise FieldError(f"must be more than {self.gt}, not {value}")
        if self.min_length is not None and len(value) < self.min_length:
            raise FieldError(f"must have a length of at least {self.min_length}")
        if self.pattern is not None and re.search(self.pattern, value) is None:
            raise FieldError(f"must match {self.pattern}, unlike {value[:60]!r}")
        if not self.allow_inf_nan and not math.isfinite(value):
            raise FieldError(f"must be a finite number, not {value}")

    def default_value(self) -> Any:
        """Return the default, or raise ``FieldError`` where there is none."""
        if self.default_factory is not None:
            return self.default_factory()
        if self.default is _MISSING:
            raise FieldError("is missing")
        return self.default


class Document:
    """A JSON object; the annotations of a subclass declare its fields.

    Fields that are not declared are ignored. ``strict`` refuses values of a type that is not the
    declared one, such as numbers written as strings.
    """

    _strict: ClassVar[bool] = False
    _fields: ClassVar[tuple[_DeclaredField, ...] | None] = None

    def __init_subclass__(cls, *, strict: bool = False) -> None:
        """Set how strictly types are checked."""
        cls._strict = strict
        cls._fields = None

    @classmethod
    def parse(cls, text: bytes) -> Self:
        """Return the object that a JSON text describes, or raise ``FieldError``."""
        try:
            content = json.loads(text)
        except (ValueError, RecursionError) as error:
            raise FieldError(f"is not JSON: {error}") from error
        return cls.check(content)

    @classmethod
    def check(cls, content: object) -> Self:
        """Return the object with the fields of a decoded JSON object, or raise ``FieldError``."""
        if not isinstance(content, dict):
            raise FieldError(f"must be an object, not {_describe(content)}")
        result = cls()
        value_by_name = vars(result)
        for field in cls._declared_fields():
            value = content.get(field.name, _MISSING)
            # Most values have the declared type; a configuration has some ten thousand of them.
            if type(value) is not field.exact_type:
                value = field.checked(value)
            value_by_name[field.name] = value
        return result

    @classmethod
    def _declared_fields(cls) -> tuple[_DeclaredField, ...]:
        """Return the fields with their checks and bounds; resolved at the first use."""
        if cls._fields is None:
            fields = []
            for name, hint in typing.get_type_hints(cls).items():
                if typing.get_origin(hint) is ClassVar:
                    continue
                default = cls.__dict__.get(name, _MISSING)
                field = default if isinstance(default, Field) else Field(default)
                check = _check_for(hint, strict=cls._strict)
                exact_type = hint if hint in _CHECK_BY_TYPE and not field.is_bounded else None
                fields.append(_DeclaredField(name, check, field, exact_type))
            cls._fields = tuple(fields)
        return cls._fields


@dataclass(frozen=True, slots=True)
class _DeclaredField:
    """A field of a document; a value of its ``exact_type`` needs no check."""

    name: str
    check: _Check
    field: Field
    exact_type: type | None

    def checked(self, value: object) -> object:
        """Return the value to keep, or raise ``FieldError``."""
        try:
            if value is _MISSING:
                return self.field.default_value()
            value = self.check(value)
            if value is not None:
                self.field.check(value)
        except FieldError as error:
            raise error.inside(self.name) from None
        return value


def _check_for(hint: Any, *, strict: bool) -> _Check:
    """Return the function that checks a value against a type."""
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin in (types.UnionType, typing.Union):
        inner = [each for each in arguments if each is not type(None)]
        if len(inner) != 1:
            raise TypeError(f"{hint} is not supported; declare one type, or one type or None")
        check = _check_for(inner[0], strict=strict)
        return lambda value: None if value is None else check(value)
    if origin is list:
        item = _check_for(arguments[0], strict=strict)
        return lambda value: [_inside(item, each, n) for n, each in enumerate(_list(value))]
    if origin is tuple:
        items = [_check_for(each, strict=strict) for each in arguments]
        return lambda value: _tuple(items, value)
    if origin is typing.Literal:
        return lambda value: _literal(arguments, value)
    if isinstance(hint, type) and issubclass(hint, Document):
        return hint.check
    table = _STRICT_CHECK_BY_TYPE if strict else _CHECK_BY_TYPE
    if hint not in table:
        raise TypeError(f"{hint} is not supported; use one of: {', '.join(map(str, table))}")
    return table[hint]


def _inside(check: _Check, value: object, number: int) -> object:
    try:
        return check(value)
    except FieldError as error:
        raise error.inside(str(number)) from None


def _list(value: object) -> list:
    if not isinstance(value, list):
        raise FieldError(f"must be a list, not {_describe(value)}")
    return value


def _tuple(checks: list[_Check], value: object) -> tuple:
    values = _list(value)
    if len(values) != len(checks):
        raise FieldError(f"must have {len(checks)} items, not {len(values)}")
    return tuple(_inside(check, values[n], n) for n, check in enumerate(checks))


def _literal(allowed: tuple, value: object) -> object:
    if not any(type(each) is type(value) and each == value for each in allowed):
        raise FieldError(f"must be one of {', '.join(map(repr, allowed))}, not {_describe(value)}")
    return value


def _string(value: object) -> str:
    if not isinstance(value, str):
        raise FieldError(f"must be a string, not {_describe(value)}")
    return value


def _strict_integer(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise FieldError(f"must be a whole number, not {_describe(value)}")
    return value


def _strict_number(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise FieldError(f"must be a number, not {_describe(value)}")
    try:
        return float(value)
    except OverflowError:
        raise FieldError(f"must be a number, not {_describe(value)}") from None


def _strict_boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise FieldError(f"must be true or false, not {_describe(value)}")
    return value


def _integer(value: object) -> int:
    if isinstance(value, bool):
        return int(value)
    if isinstance(value, str):
        try:
            return int(value)
        except ValueError:
            raise FieldError(f"must be a whole number, not {_describe(value)}") from None
    if isinstance(value, float) and value.is_integer() and abs(value) < _MAX_WHOLE_FLOAT:
        return int(value)
    return _strict_integer(value)


def _number(value: object) -> float:
    if isinstance(value, bool):
        return float(value)
    if isinstance(value, str):
        try:
            return float(value)
        except ValueError:
            raise FieldError(f"must be a number, not {_describe(value)}") from None
    return _strict_number(value)


def _boolean(value: object) -> bool:
    if isinstance(value, str):
        word = value.lower()
        if word in _TRUE_WORDS or word in _FALSE_WORDS:
            return word in _TRUE_WORDS
    elif isinstance(value, int | float) and value in (0, 1):
        return bool(value)
    return _strict_boolean(value)


_CHECK_BY_TYPE: dict[type, _Check] = {
    str: _string,
    int: _integer,
    float: _number,
    bool: _boolean,
}
_STRICT_CHECK_BY_TYPE: dict[type, _Check] = {
    str: _string,
    int: _strict_integer,
    float: _strict_number,
    bool: _strict_boolean,
}


def _describe(value: object) -> str:
    return repr(value)[:60]


def whole_number(value: object) -> int | None:
    """Return a decoded value if it is a whole number, or None for anything else."""
    return value if type(value) is int else None


def whole_number_in(text: bytes, name: str) -> int | None:
    """Return a whole number that a JSON object holds under a name, or None for anything else."""
    try:
        content = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return whole_number(content.get(name)) if isinstance(content, dict) else None

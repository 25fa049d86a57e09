"""Conversion between frozen data classes and plain values for a codec.

A data class becomes the list of its field values. Where a field's type is a union of data classes,
the value becomes a list that starts with the class name.
"""

import base64
import dataclasses
import enum
import functools
import types
import typing
from collections.abc import Sequence
from typing import Any


def to_plain(value: Any, *, text_only: bool = False) -> Any:
    """Returns a value built of lists and scalars.

    Args:
        value: a data class, tuple, enum or scalar.
        text_only: whether bytes become base64 text, as JSON needs it.
    """
    if dataclasses.is_dataclass(value):
        return _fields_to_plain(value, text_only)
    if isinstance(value, tuple):
        return [to_plain(item, text_only=text_only) for item in value]
    if isinstance(value, bytes) and text_only:
        return base64.b64encode(value).decode("ascii")
    if isinstance(value, enum.Enum):
        return value.value
    return value


def to_tagged(value: Any, *, text_only: bool = False) -> list[Any]:
    """Returns a data class as a list that starts with its class name."""
    return [type(value).__name__, *_fields_to_plain(value, text_only)]


def from_plain(cls: type, values: Sequence[Any]) -> Any:
    """Builds a data class from the list of its field values.

    Raises:
        ValueError: a value is not of the field's type.
    """
    hints = _hints(cls)
    if len(values) != len(hints):
        raise ValueError(f"{cls.__name__} has {len(values)} fields instead of {len(hints)}.")
    pairs = zip(hints.items(), values, strict=True)
    return cls(**{name: _checked(cls, hint, value) for (name, hint), value in pairs})


def from_tagged(classes: dict[str, type], values: Sequence[Any]) -> Any:
    """Builds a data class from `to_tagged`'s form.

    Args:
        classes: the classes that are allowed, by name.
        values: class name and field values.

    Raises:
        ValueError: the class is not allowed or a value is not of the field's type.
    """
    if not isinstance(values, list | tuple) or not values or not isinstance(values[0], str):
        raise ValueError("no class name.")
    cls = classes.get(values[0])
    if cls is None:
        raise ValueError(f"unknown class {values[0][:40]!r}.")
    return from_plain(cls, values[1:])


def classes_of(union: Any) -> dict[str, type]:
    """Returns the data classes of a union by name."""
    return {cls.__name__: cls for cls in typing.get_args(union)}


@functools.cache
def _hints(cls: type) -> dict[str, Any]:
    return typing.get_type_hints(cls)


@functools.cache
def _union_classes(hint: Any) -> dict[str, type]:
    return {cls.__name__: cls for cls in typing.get_args(hint) if cls is not types.NoneType}


def _is_tagged(hint: Any) -> bool:
    if typing.get_origin(hint) not in (typing.Union, types.UnionType):
        return False
    classes = _union_classes(hint).values()
    return len(classes) > 1 and all(dataclasses.is_dataclass(cls) for cls in classes)


def _fields_to_plain(value: Any, text_only: bool) -> list[Any]:
    hints = _hints(type(value))
    return [_field_to_plain(hint, getattr(value, name), text_only) for name, hint in hints.items()]


def _field_to_plain(hint: Any, value: Any, text_only: bool) -> Any:
    if dataclasses.is_dataclass(value) and _is_tagged(hint):
        return to_tagged(value, text_only=text_only)
    return to_plain(value, text_only=text_only)


def _checked(cls: type, hint: Any, value: Any) -> Any:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _checked_union(cls, hint, value)
    if origin is tuple and isinstance(value, list | tuple):
        return _checked_tuple(cls, typing.get_args(hint), value)
    if dataclasses.is_dataclass(hint) and isinstance(value, list | tuple):
        return from_plain(hint, value)
    return _checked_scalar(cls, hint, value)


def _checked_scalar(cls: type, hint: Any, value: Any) -> Any:
    if hint is float and type(value) in (int, float):
        return float(value)
    if hint is bytes and isinstance(value, str):
        return base64.b64decode(value, validate=True)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint(value)
    if isinstance(hint, type) and type(value) is hint:
        return value
    raise ValueError(f"a field of {cls.__name__} is not of type {hint}.")


def _checked_union(cls: type, hint: Any, value: Any) -> Any:
    if value is None:
        return None
    if _is_tagged(hint):
        return from_tagged(_union_classes(hint), value)
    (member,) = _union_classes(hint).values()
    return _checked(cls, member, value)


def _checked_tuple(cls: type, hints: tuple[Any, ...], value: Sequence[Any]) -> tuple[Any, ...]:
    if hints[-1] is Ellipsis:
        return tuple(_checked(cls, hints[0], item) for item in value)
    if len(hints) != len(value):
        raise ValueError(f"a tuple of {cls.__name__} has {len(value)} items.")
    return tuple(_checked(cls, hint, item) for hint, item in zip(hints, value, strict=True))

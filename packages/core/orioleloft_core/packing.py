"""Conversion between frozen data classes and plain values for msgpack or JSON.

A data class becomes the list of its field values in the order of the fields. Where the type of a
field is a union of data classes, the list starts with the encoded name of the class as a tag.

A class can get new fields at its end while nodes of both versions run. It names them in a class
variable; they are left out while they equal their defaults, and may be missing in what is decoded:

    optional_fields: ClassVar[tuple[str, ...]] = ("new_field",)

The encoded name is the class name, unless the class states another one in a class variable, so
that a class can be renamed while nodes of both versions run:

    encoded_name: ClassVar[str] = "OldName"

The converters are built once for each class from the types of its fields, because inspecting the
types for each message took most of the processor time of a heartbeat.
"""

import base64
import dataclasses
import enum
import functools
import operator
import types
import typing
from collections.abc import Callable, Sequence
from typing import Any

Converter = Callable[[Any], Any]


def to_plain(value: Any, *, text_only: bool = False) -> list[Any]:
    """Converts a data class instance to a list of lists and scalars.

    Args:
        value: the instance.
        text_only: whether bytes become base64 text, for JSON.
    """
    return _class_encoder(type(value), text_only)(value)


def to_tagged(value: Any, *, text_only: bool = False) -> list[Any]:
    """Converts a data class instance like `to_plain`, with the encoded name of its class first."""
    return [_encoded_name(type(value)), *_class_encoder(type(value), text_only)(value)]


def from_plain(cls: type, values: Sequence[Any]) -> Any:
    """Builds an instance of a data class from the list of its field values.

    Raises:
        ValueError: the values are not a list, or one does not have the type of its field.
    """
    return _class_decoder(cls)(_require_sequence(cls, list, values))


def from_tagged(classes: dict[str, type], values: Sequence[Any]) -> Any:
    """Builds an instance of a data class from the values that `to_tagged` returned.

    Args:
        classes: the classes that are allowed, by encoded name.
        values: encoded name of the class and field values.

    Raises:
        ValueError: the class is not allowed, or a value does not have the type of its field.
    """
    if not isinstance(values, list | tuple) or not values or not isinstance(values[0], str):
        raise ValueError("no class name.")
    cls = classes.get(values[0])
    if cls is None:
        raise ValueError(f"unknown class {values[0][:40]!r}.")
    return _class_decoder(cls)(values[1:])


def classes_of(union: Any) -> dict[str, type]:
    """Returns the members of a union of data classes by encoded name."""
    return {_encoded_name(cls): cls for cls in typing.get_args(union)}


def _field_types(cls: type) -> dict[str, Any]:
    resolved = typing.get_type_hints(cls)
    return {field.name: resolved[field.name] for field in dataclasses.fields(cls)}


def _union_members(hint: Any) -> list[Any]:
    """Returns the members of a union other than None, or an empty list for another type."""
    if typing.get_origin(hint) not in (typing.Union, types.UnionType):
        return []
    return [cls for cls in typing.get_args(hint) if cls is not types.NoneType]


def _is_tagged(hint: Any) -> bool:
    members = _union_members(hint)
    return len(members) > 1 and all(dataclasses.is_dataclass(cls) for cls in members)


def _is_enum(hint: Any) -> bool:
    return isinstance(hint, type) and issubclass(hint, enum.Enum)


@functools.cache
def _class_encoder(cls: type, text_only: bool) -> Converter:
    hints = _field_types(cls)
    encoders = [_encoder(hint, text_only) for hint in hints.values()]
    converted = [(index, encode) for index, encode in enumerate(encoders) if encode is not None]
    fields = _fields_getter(tuple(hints))
    defaults = _trailing_defaults(cls)

    def encode_fields(value: Any) -> list[Any]:
        plain = list(fields(value))
        for default in defaults:
            if plain[-1] != default:
                break
            plain.pop()
        for index, encode in converted:
            if index < len(plain):
                plain[index] = encode(plain[index])
        return plain

    return encode_fields


def _trailing_defaults(cls: type) -> list[Any]:
    """Returns the defaults of the optional fields at the end of a class, the last field first.

    Only fields that a class states in `optional_fields` count. All nodes send the others.
    """
    optional = getattr(cls, "optional_fields", ())
    fields = {field.name: field for field in dataclasses.fields(cls)}
    if tuple(fields)[len(fields) - len(optional) :] != tuple(optional):
        raise ValueError(f"the optional fields of {cls.__name__} are not its last ones.")
    return [fields[name].default for name in reversed(optional)]


def _fields_getter(names: tuple[str, ...]) -> Converter:
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda value: [getattr(value, name) for name in names]


def _encoder(hint: Any, text_only: bool) -> Converter | None:
    """Returns the converter for values of a type, or None if they are plain already."""
    if dataclasses.is_dataclass(hint):
        return _class_encoder(hint, text_only)
    if _is_enum(hint):
        return operator.attrgetter("value")
    if hint is bytes and text_only:
        return lambda value: base64.b64encode(value).decode("ascii")
    if _is_tagged(hint):
        return lambda value: None if value is None else to_tagged(value, text_only=text_only)
    if len(_union_members(hint)) == 1:
        return _optional(_encoder(_union_members(hint)[0], text_only))
    if typing.get_origin(hint) is tuple:
        return _tuple_encoder(typing.get_args(hint), text_only)
    return None


def _optional(convert: Converter | None) -> Converter | None:
    if convert is None:
        return None
    return lambda value: None if value is None else convert(value)


def _tuple_encoder(hints: tuple[Any, ...], text_only: bool) -> Converter:
    if hints[-1] is Ellipsis:
        encode = _encoder(hints[0], text_only)
        return list if encode is None else lambda value: [encode(item) for item in value]
    encoders = [_encoder(hint, text_only) for hint in hints]
    if not any(encoders):
        return list
    return lambda value: [
        encode(item) if encode else item for encode, item in zip(encoders, value, strict=True)
    ]


@functools.cache
def _class_decoder(cls: type) -> Converter:
    hints = tuple(_field_types(cls).values())
    decoders = [_decoder(cls, hint) for hint in hints]
    required = len(hints) - len(_trailing_defaults(cls))

    def decode_fields(values: Sequence[Any]) -> Any:
        if not required <= len(values) <= len(hints):
            raise ValueError(f"{cls.__name__} has {len(values)} fields instead of {len(hints)}.")
        # Fast path for a class with only scalar fields: one comparison checks all types.
        if tuple(map(type, values)) == hints:
            return cls(*values)
        return cls(*[decode(value) for decode, value in zip(decoders, values, strict=False)])

    return decode_fields


def _decoder(cls: type, hint: Any) -> Converter:
    if _union_members(hint):
        return _union_decoder(cls, hint)
    if typing.get_origin(hint) is tuple:
        return _tuple_decoder(cls, typing.get_args(hint))
    if dataclasses.is_dataclass(hint):
        return lambda value: _class_decoder(hint)(_require_sequence(cls, hint, value))
    if _is_enum(hint):
        return hint
    return _scalar_decoder(cls, hint)


def _scalar_decoder(cls: type, hint: Any) -> Converter:
    def decode(value: Any) -> Any:
        if type(value) is hint:
            return value
        if hint is float and type(value) is int:
            return float(value)
        if hint is bytes and isinstance(value, str):
            return base64.b64decode(value, validate=True)
        raise _type_error(cls, hint)

    return decode


def _union_decoder(cls: type, hint: Any) -> Converter:
    members = _union_members(hint)
    if _is_tagged(hint):
        classes = classes_of(hint)
        return _optional(lambda value: from_tagged(classes, value))
    if len(members) == 1:
        return _optional(_decoder(cls, members[0]))

    def reject(value: Any) -> Any:
        raise _type_error(cls, hint)

    return reject


def _tuple_decoder(cls: type, hints: tuple[Any, ...]) -> Converter:
    if hints[-1] is Ellipsis:
        decode = _decoder(cls, hints[0])
        return lambda value: tuple(decode(item) for item in _require_sequence(cls, tuple, value))
    decoders = [_decoder(cls, hint) for hint in hints]

    def decode_items(value: Any) -> tuple[Any, ...]:
        items = _require_sequence(cls, tuple, value)
        if len(items) != len(decoders):
            raise ValueError(f"a tuple of {cls.__name__} has {len(items)} items.")
        return tuple(decode(item) for decode, item in zip(decoders, items, strict=True))

    return decode_items


def _require_sequence(cls: type, hint: Any, value: Any) -> Sequence[Any]:
    if not isinstance(value, list | tuple):
        raise _type_error(cls, hint)
    return value


def _type_error(cls: type, hint: Any) -> ValueError:
    return ValueError(f"a field of {cls.__name__} is not of type {hint}.")


def _encoded_name(cls: type) -> str:
    return getattr(cls, "encoded_name", cls.__name__)

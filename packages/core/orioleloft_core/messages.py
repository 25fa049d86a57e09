"""Messages between nodes and their msgpack codec."""

import dataclasses
import types
import typing
from typing import Any

import msgpack

from orioleloft_core.errors import MessageError

# A catalog chunk is the largest part of any message.
MAX_MESSAGE_BYTES = 2 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class NodeFacts:
    """What a node says about itself in each heartbeat.

    Attributes:
        seat: seat of the node.
        incarnation: 16 hex digits drawn at the start of the process.
        started_ms: wall clock at the start in milliseconds; orders incarnations of one seat.
        state: lifecycle state.
        zone: availability zone.
        entry_address: `host:port` for callers.
        catalog_version: version of the catalog in force on the node, 0 if none.
        in_force_ms: how long that version has been in force there, in milliseconds.
        epoch: epoch of the assignment that the node has adopted, 0 if none.
        key_window: current window number of the node's idempotency keys.
        platform_age_ms: time since the platform's head was last confirmed, in milliseconds;
            -1 if never.
    """

    seat: str
    incarnation: str
    started_ms: int
    state: str
    zone: str
    entry_address: str
    catalog_version: int
    in_force_ms: int
    epoch: int
    key_window: int
    platform_age_ms: int


@dataclasses.dataclass(frozen=True)
class Ping:
    """Heartbeat; answered by a `Pong` with the same sequence number."""

    seq: int
    facts: NodeFacts


@dataclasses.dataclass(frozen=True)
class Pong:
    """Acknowledges the ping `seq` of the incarnation `to_incarnation`."""

    seq: int
    to_incarnation: str
    facts: NodeFacts


@dataclasses.dataclass(frozen=True)
class Ask:
    """Asks the holder of a group for a slot at one of its targets.

    Attributes:
        ask_id: names the ask; unique for the asking incarnation.
        group: group of targets.
        customer: customer of the request.
        remaining_ms: time left until the request's deadline, in milliseconds.
        fingerprint: identifies the content of the request.
        excluded: targets that the request has already met.
    """

    ask_id: str
    group: str
    customer: str
    remaining_ms: int
    fingerprint: str
    excluded: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Granted:
    """Grants one dispatch to a target.

    Attributes:
        ask_id: the ask that is granted.
        grant_id: names the grant.
        target_id: target that the request may be sent to.
        is_first_use: whether the dispatch may open the first connection to the target process.
    """

    ask_id: str
    grant_id: str
    target_id: str
    is_first_use: bool


@dataclasses.dataclass(frozen=True)
class Queued:
    """The ask waits at the holder."""

    ask_id: str


@dataclasses.dataclass(frozen=True)
class Refused:
    """The ask is refused; `code` is a value of `errors.Code`."""

    ask_id: str
    code: str


@dataclasses.dataclass(frozen=True)
class Withdraw:
    """The asking node no longer waits for the ask."""

    ask_id: str


@dataclasses.dataclass(frozen=True)
class TargetReport:
    """What a dispatch showed about a target.

    Attributes:
        target_id: the target.
        ending: value of `request.Ending`.
        service_ms: service time in milliseconds, 0 unless answered.
        incarnation: incarnation from the target's load report, or an empty string.
        in_flight: requests that the target says it runs, -1 if unknown.
        warmth: value of `request.Warmth`, or an empty string.
    """

    target_id: str
    ending: str
    service_ms: float
    incarnation: str
    in_flight: int
    warmth: str


@dataclasses.dataclass(frozen=True)
class Release:
    """Gives a grant back; `report` is None if nothing was sent to the target."""

    grant_id: str
    report: TargetReport | None


@dataclasses.dataclass(frozen=True)
class BypassReport:
    """Reports a dispatch that was made without a grant."""

    group: str
    report: TargetReport


@dataclasses.dataclass(frozen=True)
class Held:
    """Lists all grants that the sender holds from the receiver."""

    grant_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class KeyQuery:
    """Asks the owner of an idempotency key for its record.

    The owner seals a key that has none.
    """

    query_id: str
    key: str
    fingerprint: str


@dataclasses.dataclass(frozen=True)
class KeyState:
    """The owner's answer to a `KeyQuery`.

    Attributes:
        query_id: the query.
        state: value of `idempotency.RecordState`.
        code: value of `errors.Code`, or an empty string for a stored answer.
        status: HTTP status of the stored answer.
        headers: headers of the stored answer.
        body: body of the stored answer.
    """

    query_id: str
    state: str
    code: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class FetchCatalog:
    """Asks for the catalog if the receiver has a version above `above`."""

    above: int


@dataclasses.dataclass(frozen=True)
class CatalogData:
    """A whole catalog; `document` is zlib-compressed msgpack of `Catalog.to_document`."""

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True)
class FetchAssignment:
    """Asks for the assignment if the receiver has an epoch above `above`."""

    above: int


@dataclasses.dataclass(frozen=True)
class AssignmentData:
    """The assignment of an epoch: (group, seat, incarnation) for each group."""

    epoch: int
    holders: tuple[tuple[str, str, str], ...]


@dataclasses.dataclass(frozen=True)
class Suspect:
    """Tells that a request's content has broken `count` targets."""

    fingerprint: str
    count: int


Message = (
    Ping
    | Pong
    | Ask
    | Granted
    | Queued
    | Refused
    | Withdraw
    | Release
    | BypassReport
    | Held
    | KeyQuery
    | KeyState
    | FetchCatalog
    | CatalogData
    | FetchAssignment
    | AssignmentData
    | Suspect
)

_CLASSES: dict[str, type] = {cls.__name__: cls for cls in typing.get_args(Message)}
_NESTED = (NodeFacts, TargetReport)
_HINTS: dict[type, dict[str, Any]] = {
    cls: typing.get_type_hints(cls) for cls in (*_CLASSES.values(), *_NESTED)
}


def encode(message: Message) -> bytes:
    """Returns the bytes of a message."""
    return msgpack.packb([type(message).__name__, *_plain(message)])


def decode(data: bytes) -> Message:
    """Reads a message and checks the type of each field.

    Raises:
        MessageError: the bytes are not a message of this version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"message of {len(data)} bytes is over {MAX_MESSAGE_BYTES}.")
    try:
        name, *values = msgpack.unpackb(data, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError("bytes are not a msgpack array.") from error
    cls = _CLASSES.get(name) if isinstance(name, str) else None
    if cls is None:
        raise MessageError(f"unknown message {str(name)[:40]!r}.")
    return _build(cls, values)


def _plain(value: Any) -> list[Any]:
    return [_plain_field(getattr(value, field.name)) for field in dataclasses.fields(value)]


def _plain_field(value: Any) -> Any:
    return _plain(value) if dataclasses.is_dataclass(value) else value


def _build(cls: type, values: typing.Sequence[Any]) -> Any:
    hints = _HINTS[cls]
    if len(values) != len(hints):
        raise MessageError(f"{cls.__name__} has {len(values)} fields instead of {len(hints)}.")
    names_and_hints = zip(hints.items(), values, strict=True)
    return cls(**{name: _checked(cls, hint, value) for (name, hint), value in names_and_hints})


def _checked(cls: type, hint: Any, value: Any) -> Any:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        if value is None:
            return None
        hint = typing.get_args(hint)[0]
    if dataclasses.is_dataclass(hint) and isinstance(value, tuple):
        return _build(hint, value)
    if origin is tuple and isinstance(value, tuple):
        return _checked_tuple(cls, typing.get_args(hint), value)
    if hint is float and type(value) in (int, float):
        return float(value)
    if isinstance(hint, type) and type(value) is hint:
        return value
    raise MessageError(f"a field of {cls.__name__} is not of type {hint}.")


def _checked_tuple(cls: type, hints: tuple[Any, ...], value: tuple[Any, ...]) -> tuple[Any, ...]:
    if hints[-1] is Ellipsis:
        return tuple(_checked(cls, hints[0], item) for item in value)
    if len(hints) != len(value):
        raise MessageError(f"a tuple of {cls.__name__} has {len(value)} items.")
    return tuple(_checked(cls, hint, item) for hint, item in zip(hints, value, strict=True))

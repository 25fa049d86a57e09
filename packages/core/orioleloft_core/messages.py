"""Messages between nodes and their msgpack codec."""

import dataclasses

import msgpack

from orioleloft_core import packing
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

_CLASSES = packing.classes_of(Message)


def encode(message: Message) -> bytes:
    """Returns the bytes of a message."""
    return msgpack.packb(packing.to_tagged(message))


def decode(data: bytes) -> Message:
    """Reads a message and checks the type of each field.

    Raises:
        MessageError: the bytes are not a message of this version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"message of {len(data)} bytes is over {MAX_MESSAGE_BYTES}.")
    try:
        return packing.from_tagged(_CLASSES, msgpack.unpackb(data))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError(f"not a message of this version: {error}") from error

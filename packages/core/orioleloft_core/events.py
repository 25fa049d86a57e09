"""What the surroundings tell the core, as frozen data classes."""

import dataclasses

from orioleloft_core.catalog import Catalog
from orioleloft_core.messages import Message
from orioleloft_core.request import DispatchResult, LoadReport, Request


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed; sent every `node.TICK_SECONDS`."""


@dataclasses.dataclass(frozen=True)
class RequestArrived:
    """A caller's request was read whole."""

    request: Request


@dataclasses.dataclass(frozen=True)
class CallerLeft:
    """The caller closed its connection before the answer."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class MessageArrived:
    """A message of another node arrived.

    Attributes:
        seat: seat of the sender.
        message: the message.
    """

    seat: str
    message: Message


@dataclasses.dataclass(frozen=True)
class DispatchFinished:
    """A dispatch ended; sent exactly once for each `Dispatch`."""

    dispatch_id: str
    result: DispatchResult


@dataclasses.dataclass(frozen=True)
class ProbeFinished:
    """A probe ended; `report` is None when the target gave none."""

    target_id: str
    report: LoadReport | None


@dataclasses.dataclass(frozen=True)
class HeadRead:
    """Result of `ReadHead`.

    Attributes:
        catalog: the catalog read, or None when the watch ended with no change.
        is_reachable: False when the platform did not answer.
        started: time at which the read was sent, seconds on the node's clock.
    """

    catalog: Catalog | None
    is_reachable: bool
    started: float


@dataclasses.dataclass(frozen=True)
class AssignmentRead:
    """Result of `ReadAssignment` and `WriteAssignment`: the object as the platform holds it.

    Attributes:
        epoch: epoch of the object, 0 if there is none.
        holders: as in `WriteAssignment`.
        is_reachable: False when the platform did not answer; the write may have taken effect.
        started: time at which the call was sent, seconds on the node's clock.
    """

    epoch: int
    holders: tuple[tuple[str, str, str], ...]
    is_reachable: bool
    started: float


@dataclasses.dataclass(frozen=True)
class StopRequested:
    """The operator asks the node to stop gracefully."""


Event = (
    Tick
    | RequestArrived
    | CallerLeft
    | MessageArrived
    | DispatchFinished
    | ProbeFinished
    | HeadRead
    | AssignmentRead
    | StopRequested
)

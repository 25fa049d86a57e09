"""What the core asks its surroundings to do, as frozen data classes."""

import dataclasses

from orioleloft_core.messages import Message
from orioleloft_core.request import Reply, Request


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to the node on a seat; it may be lost."""

    seat: str
    message: Message


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """Send a request to a target.

    The surroundings ask `Node.may_start(now, dispatch_id)` right before the first byte and finish
    the dispatch with `Ending.NOT_SENT` when it returns False.

    Attributes:
        dispatch_id: names the dispatch in `DispatchFinished`.
        target_id: `service/name`.
        request: the request to send.
        needs_live_connection: the dispatch may start only while a connection to the target that
            has carried an answer is open; it proves that the target has not restarted.
    """

    dispatch_id: str
    target_id: str
    request: Request
    needs_live_connection: bool = False


@dataclasses.dataclass(frozen=True)
class CancelDispatch:
    """Close the connection of a dispatch and finish it with `Ending.CANCELLED`."""

    dispatch_id: str


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer the caller."""

    request_id: str
    reply: Reply


@dataclasses.dataclass(frozen=True)
class Probe:
    """Ask a target for its load report."""

    target_id: str


@dataclasses.dataclass(frozen=True)
class ReadHead:
    """Read the platform's head, and the services that changed, into a catalog.

    Attributes:
        wait_for: 0 reads at once; otherwise a watch that waits until the head's version is
            above this one.
    """

    wait_for: int = 0


@dataclasses.dataclass(frozen=True)
class ReadAssignment:
    """Read the platform's assignment object."""


@dataclasses.dataclass(frozen=True)
class WriteAssignment:
    """Replace the platform's assignment object if its epoch is still `base_epoch`.

    Attributes:
        base_epoch: epoch that the change is based on; 0 creates the object.
        holders: seat and incarnation of each group's holder, as (group, seat, incarnation).
    """

    base_epoch: int
    holders: tuple[tuple[str, str, str], ...]


@dataclasses.dataclass(frozen=True)
class LogEvent:
    """Write one structured log line.

    Attributes:
        name: event name.
        fields: named values, as pairs.
    """

    name: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


@dataclasses.dataclass(frozen=True)
class Stopped:
    """The node has finished its stop; the process can end."""


Effect = (
    Send
    | Dispatch
    | CancelDispatch
    | Answer
    | Probe
    | ReadHead
    | ReadAssignment
    | WriteAssignment
    | LogEvent
    | Stopped
)

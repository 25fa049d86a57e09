"""Error kinds with stable codes, shared by the entry node and the operators' command."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """Stable codes of every answer that orioleloft itself produces."""

    MALFORMED_REQUEST = "malformed-request"
    REQUEST_TOO_LARGE = "request-too-large"
    UNKNOWN_ROUTE = "unknown-route"
    NO_CAPACITY = "no-capacity"
    DEADLINE_AFTER_START = "deadline-after-start"
    TARGET_SHED = "target-shed"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_BROKE_OFF = "target-broke-off"
    CRASH_SUSPECT = "crash-suspect"
    NODE_STARTING = "node-starting"
    NODE_STOPPING = "node-stopping"


@dataclasses.dataclass(frozen=True)
class Kind:
    """Properties of an error code.

    Attributes:
        status: HTTP status code of the answer.
        outcome: what the caller may conclude about the execution of the request.
        remedy: what the caller should do, as a sentence.
    """

    status: int
    outcome: Outcome
    remedy: str


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN
_ASK_AGAIN = "Ask for entry addresses again and send the request to another address."
_LOOK_UP = "Look up the result at the service before sending the request again."
_LATER = "Send the request again after the time in the answer."

KINDS: dict[Code, Kind] = {
    Code.MALFORMED_REQUEST: Kind(
        400, _NOT_RUN, "Correct the request; docs/callers.md has the form."
    ),
    Code.REQUEST_TOO_LARGE: Kind(413, _NOT_RUN, "Send a smaller header or body."),
    Code.UNKNOWN_ROUTE: Kind(404, _NOT_RUN, "Use a host and path that a release note has added."),
    Code.NO_CAPACITY: Kind(503, _NOT_RUN, _LATER),
    Code.DEADLINE_AFTER_START: Kind(504, _UNKNOWN, _LOOK_UP),
    Code.TARGET_SHED: Kind(503, _NOT_RUN, _LATER),
    Code.TARGET_UNREACHABLE: Kind(503, _NOT_RUN, _LATER),
    Code.TARGET_BROKE_OFF: Kind(502, _UNKNOWN, _LOOK_UP),
    # A status that invites callers to come back would crash further targets.
    Code.CRASH_SUSPECT: Kind(502, _NOT_RUN, "Do not send this request again; it breaks targets."),
    Code.NODE_STARTING: Kind(503, _NOT_RUN, _ASK_AGAIN),
    Code.NODE_STOPPING: Kind(503, _NOT_RUN, _ASK_AGAIN),
}


class OrioleloftError(Exception):
    """Base of all exceptions of orioleloft.

    Attributes:
        code: stable code of the error.
        remedy: what the reader should do, as a sentence.
    """

    code = "error"

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(f"{message} {remedy}".strip())
        self.remedy = remedy


class SettingsError(OrioleloftError):
    """The settings file holds one or more faults."""

    code = "settings-invalid"


class NoteError(OrioleloftError):
    """A release note holds one or more faults."""

    code = "note-invalid"


class ReleaseRefusedError(OrioleloftError):
    """A release note meets another accepted note or the catalog in force."""

    code = "release-refused"


class StoreDownError(OrioleloftError):
    """The platform's store could not be reached; nothing was changed."""

    code = "store-down"


class OutcomeUnknownError(OrioleloftError):
    """A write was sent and neither its answer nor its effect was seen."""

    code = "outcome-unknown"

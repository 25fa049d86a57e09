"""Error kinds with stable codes, shared by the entry node and the operators' command."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about the execution of a request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """Stable codes of every answer that orioleloft itself produces."""

    MALFORMED_REQUEST = "malformed-request"
    REQUEST_TOO_LARGE = "request-too-large"
    UNKNOWN_SERVICE = "unknown-service"
    KEY_REQUIRED = "key-required"
    KEY_MALFORMED = "key-malformed"
    KEY_REUSED = "key-reused"
    KEY_SEALED = "key-sealed"
    KEY_EXPIRED = "key-expired"
    KEY_TABLE_FULL = "key-table-full"
    ANSWER_DISCARDED = "answer-discarded"
    OWNER_UNREACHABLE = "owner-unreachable"
    OWNER_GONE = "owner-gone"
    NO_CAPACITY = "no-capacity"
    QUEUE_FULL = "queue-full"
    CUSTOMER_SHARE = "customer-share"
    DEADLINE_BEFORE_START = "deadline-before-start"
    DEADLINE_AFTER_START = "deadline-after-start"
    TARGET_SHED = "target-shed"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_BROKE_OFF = "target-broke-off"
    CRASH_SUSPECT = "crash-suspect"
    NODE_STARTING = "node-starting"
    NODE_STOPPING = "node-stopping"
    NODE_ISOLATED = "node-isolated"
    INTERNAL_ERROR = "internal-error"


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
_LOOK_UP = "Look up the result at the service before sending the request with a new key."

KINDS: dict[Code, Kind] = {
    Code.MALFORMED_REQUEST: Kind(
        400, _NOT_RUN, "Correct the request; docs/callers.md has the form."
    ),
    Code.REQUEST_TOO_LARGE: Kind(413, _NOT_RUN, "Send a smaller header or body."),
    Code.UNKNOWN_SERVICE: Kind(404, _NOT_RUN, "Use a service that a release note has added."),
    Code.KEY_REQUIRED: Kind(428, _NOT_RUN, "Send an idempotency key from the address answer."),
    Code.KEY_MALFORMED: Kind(400, _NOT_RUN, "Build the key from the prefix in the address answer."),
    Code.KEY_REUSED: Kind(422, _NOT_RUN, "Use a new key for a different request."),
    Code.KEY_SEALED: Kind(409, _NOT_RUN, "Send the request again with a new key."),
    Code.KEY_EXPIRED: Kind(409, _UNKNOWN, _LOOK_UP),
    Code.KEY_TABLE_FULL: Kind(503, _NOT_RUN, _ASK_AGAIN),
    Code.ANSWER_DISCARDED: Kind(410, Outcome.COMPLETE, _LOOK_UP),
    Code.OWNER_UNREACHABLE: Kind(504, _UNKNOWN, "Send it again with the same key, or look it up."),
    Code.OWNER_GONE: Kind(409, _UNKNOWN, _LOOK_UP),
    Code.NO_CAPACITY: Kind(503, _NOT_RUN, "Send the request again after a random delay."),
    Code.QUEUE_FULL: Kind(503, _NOT_RUN, "Send the request again after a random delay."),
    Code.CUSTOMER_SHARE: Kind(429, _NOT_RUN, "Send fewer requests at a time for this customer."),
    Code.DEADLINE_BEFORE_START: Kind(504, _NOT_RUN, "Send it again with a later deadline."),
    Code.DEADLINE_AFTER_START: Kind(504, _UNKNOWN, _LOOK_UP),
    Code.TARGET_SHED: Kind(503, _NOT_RUN, "Send the request again after a random delay."),
    Code.TARGET_UNREACHABLE: Kind(503, _NOT_RUN, "Send the request again after a random delay."),
    Code.TARGET_BROKE_OFF: Kind(502, _UNKNOWN, _LOOK_UP),
    Code.CRASH_SUSPECT: Kind(422, _NOT_RUN, "Do not send this request again; it breaks targets."),
    Code.NODE_STARTING: Kind(503, _NOT_RUN, _ASK_AGAIN),
    Code.NODE_STOPPING: Kind(503, _NOT_RUN, _ASK_AGAIN),
    Code.NODE_ISOLATED: Kind(503, _NOT_RUN, _ASK_AGAIN),
    Code.INTERNAL_ERROR: Kind(500, _UNKNOWN, _LOOK_UP),
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


class DocumentError(OrioleloftError):
    """An object on the platform does not have the form of its kind."""

    code = "document-invalid"


class PlatformDownError(OrioleloftError):
    """The platform could not be reached; nothing was changed."""

    code = "platform-down"


class ConflictError(OrioleloftError):
    """A conditional update met another version."""

    code = "conflict"


class OutcomeUnknownError(OrioleloftError):
    """A write was sent and its answer was lost."""

    code = "outcome-unknown"


class MessageError(OrioleloftError):
    """Bytes on the port between nodes are not a valid message."""

    code = "message-invalid"


class TraceError(OrioleloftError):
    """A recorded trace cannot be read."""

    code = "trace-invalid"

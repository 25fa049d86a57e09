"""Stable error codes of answers to callers, and exceptions of the node and the command."""

import dataclasses
import enum


class ExecutionOutcome(enum.StrEnum):
    """Whether a target may have executed a request that got an error."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorCode(enum.StrEnum):
    """Stable codes of the error answers that entry nodes produce themselves."""

    MALFORMED_REQUEST = "malformed-request"
    REQUEST_TOO_LARGE = "request-too-large"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_KEY = "unknown-key"
    ALLOTMENT_EXCEEDED = "allotment-exceeded"
    ALLOTMENT_UNAVAILABLE = "allotment-unavailable"
    NO_CAPACITY = "no-capacity"
    DEADLINE_AFTER_START = "deadline-after-start"
    TARGETS_RATE_LIMITED = "targets-rate-limited"
    TARGET_SHED = "target-shed"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_BROKE_OFF = "target-broke-off"
    CRASH_SUSPECT = "crash-suspect"
    NODE_STARTING = "node-starting"
    NODE_STOPPING = "node-stopping"
    INTERNAL_ERROR = "internal-error"


@dataclasses.dataclass(frozen=True)
class ErrorResponse:
    """How an error code is answered.

    Attributes:
        status: HTTP status code of the answer.
        outcome: whether a target may have executed the request.
        remedy: advice to the caller, as a sentence.
    """

    status: int
    outcome: ExecutionOutcome
    remedy: str


_NOT_RUN = ExecutionOutcome.NOT_RUN
_UNKNOWN = ExecutionOutcome.UNKNOWN
_USE_OTHER_NODE = "Ask for entry addresses again and send the request to another address."
_CHECK_RESULT = "Look up the result at the service before sending the request again."
_RETRY_AFTER = "Send the request again after the time in the answer."

ERROR_RESPONSES: dict[ErrorCode, ErrorResponse] = {
    ErrorCode.MALFORMED_REQUEST: ErrorResponse(
        400, _NOT_RUN, "Correct the request; see docs/callers.md for its form."
    ),
    ErrorCode.REQUEST_TOO_LARGE: ErrorResponse(413, _NOT_RUN, "Send a smaller header or body."),
    ErrorCode.UNKNOWN_ROUTE: ErrorResponse(
        404, _NOT_RUN, "Use a host and path that a release note has added."
    ),
    ErrorCode.UNKNOWN_KEY: ErrorResponse(
        401, _NOT_RUN, "Send an API key that the configuration in force holds."
    ),
    ErrorCode.ALLOTMENT_EXCEEDED: ErrorResponse(429, _NOT_RUN, _RETRY_AFTER),
    ErrorCode.ALLOTMENT_UNAVAILABLE: ErrorResponse(503, _NOT_RUN, _RETRY_AFTER),
    ErrorCode.NO_CAPACITY: ErrorResponse(503, _NOT_RUN, _RETRY_AFTER),
    ErrorCode.TARGETS_RATE_LIMITED: ErrorResponse(503, _NOT_RUN, _RETRY_AFTER),
    ErrorCode.DEADLINE_AFTER_START: ErrorResponse(504, _UNKNOWN, _CHECK_RESULT),
    ErrorCode.TARGET_SHED: ErrorResponse(503, _NOT_RUN, _RETRY_AFTER),
    ErrorCode.TARGET_UNREACHABLE: ErrorResponse(503, _NOT_RUN, _RETRY_AFTER),
    ErrorCode.TARGET_BROKE_OFF: ErrorResponse(502, _UNKNOWN, _CHECK_RESULT),
    # Not 503, as retries by the caller would crash further targets.
    ErrorCode.CRASH_SUSPECT: ErrorResponse(
        502, _NOT_RUN, "Do not send this request again; it crashes targets."
    ),
    ErrorCode.NODE_STARTING: ErrorResponse(503, _NOT_RUN, _USE_OTHER_NODE),
    ErrorCode.NODE_STOPPING: ErrorResponse(503, _NOT_RUN, _USE_OTHER_NODE),
    ErrorCode.INTERNAL_ERROR: ErrorResponse(502, _UNKNOWN, _CHECK_RESULT),
}


class OrioleloftError(Exception):
    """Base class of the exceptions of orioleloft; the message includes the remedy.

    Attributes:
        code: stable code of the error.
        remedy: advice to the reader, as a sentence.
    """

    code = "error"

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(f"{message} {remedy}".strip())
        self.remedy = remedy


class SettingsError(OrioleloftError):
    """A setting is missing or invalid, or the settings file cannot be read."""

    code = "settings-invalid"


class NoteError(OrioleloftError):
    """A release note cannot be read or is invalid."""

    code = "note-invalid"


class ReleaseRefusedError(OrioleloftError):
    """A release note conflicts with another published note or the configuration in force."""

    code = "release-refused"


class StoreRestoredError(ReleaseRefusedError):
    """The store was restored from an older copy while a note was published."""

    code = "store-restored"


class StoreUnavailableError(OrioleloftError):
    """The platform's store gave no answer to a read; nothing was changed."""

    code = "store-down"


class ExplainError(OrioleloftError):
    """It cannot be explained where a request would go."""

    code = "explain-failed"


class ExplainQueryError(ExplainError):
    """The request to explain is malformed or incomplete."""

    code = "explain-malformed"


class UnknownRouteError(ExplainError):
    """The configuration in force has no route of that name."""

    code = "route-unknown"


class UnknownTenantError(ExplainError):
    """The configuration in force has no tenant of that name."""

    code = "tenant-unknown"


class NodeNotReadyError(ExplainError):
    """The node has no complete configuration yet."""

    code = "node-not-ready"


class OldNodeError(ExplainError):
    """The node is of a build that explains nothing."""

    code = "node-too-old"


class NodeUnreachableError(ExplainError):
    """No node answers at the address."""

    code = "node-unreachable"


class RequestNotLoggedError(ExplainError):
    """The logs have no usable record of the request."""

    code = "request-not-logged"


EXPLAIN_ERRORS_BY_CODE: dict[str, type[ExplainError]] = {
    each.code: each
    for each in (ExplainQueryError, UnknownRouteError, UnknownTenantError, NodeNotReadyError)
}


class OutcomeUnknownError(OrioleloftError):
    """A write was sent to the store, and it is unknown whether it took effect."""

    code = "outcome-unknown"

"""Decision after an attempt at a target: return its answer, retry, or return an error."""

import dataclasses
import enum

from orioleloft_core.errors import ErrorCode


class AttemptEnd(enum.StrEnum):
    """How an attempt at a target ended."""

    # The target sent a whole answer.
    ANSWERED = "answered"
    # The target stated that it did not run the request.
    REFUSED = "refused"
    # No byte of the request was sent.
    NOT_SENT = "not-sent"
    # The request may have been sent, but no whole and valid answer came back.
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class AttemptResult:
    """Result of an attempt.

    Attributes:
        end: how it ended. `REFUSED` and `NOT_SENT` prove that the target did not run the request.
        status: HTTP status of a whole answer, else 0.
    """

    end: AttemptEnd
    status: int = 0


@dataclasses.dataclass(frozen=True)
class ReturnResponse:
    """Return the target's answer to the caller."""


@dataclasses.dataclass(frozen=True)
class Retry:
    """Retry the request at another target.

    Attributes:
        decision_without_retry: decision if no target, time or retry budget is left.
    """

    decision_without_retry: "ReturnResponse | Fail"


@dataclasses.dataclass(frozen=True)
class Fail:
    """Return an error of orioleloft's own to the caller."""

    code: ErrorCode


Decision = ReturnResponse | Retry | Fail

# Statuses from which a caller concludes that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def decide(attempt: AttemptResult, is_idempotent: bool) -> Decision:
    """Returns the decision after an attempt.

    Args:
        attempt: result of the attempt.
        is_idempotent: whether the request may run more than once.
    """
    match attempt:
        case AttemptResult(end=AttemptEnd.REFUSED):
            return Retry(Fail(ErrorCode.TARGET_SHED))
        case AttemptResult(end=AttemptEnd.NOT_SENT):
            return Retry(Fail(ErrorCode.TARGET_UNREACHABLE))
        case AttemptResult(end=AttemptEnd.BROKEN):
            failure = Fail(ErrorCode.TARGET_BROKE_OFF)
            return Retry(failure) if is_idempotent else failure
    if attempt.status in NOT_RUN_STATUSES:
        # The target did not state that it ran nothing, so its status must not reach the caller.
        failure = Fail(ErrorCode.TARGET_BROKE_OFF)
        return Retry(failure) if is_idempotent else failure
    if attempt.status >= 500 and is_idempotent:
        return Retry(ReturnResponse())
    return ReturnResponse()

"""What follows from the end of one attempt at a target: an answer, another attempt or an error."""

import dataclasses
import enum

from orioleloft_core.errors import Code


class AttemptEnd(enum.StrEnum):
    """How an attempt at a target ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class Attempt:
    """The end of an attempt.

    Attributes:
        end: how it ended. `REFUSED` and `NOT_SENT` prove that the target ran nothing.
        status: status of a whole answer.
    """

    end: AttemptEnd
    status: int = 0


@dataclasses.dataclass(frozen=True)
class Relay:
    """Give the target's answer to the caller."""


@dataclasses.dataclass(frozen=True)
class TryNext:
    """Send the request to another target.

    Attributes:
        otherwise: what to do if there is no target, time or budget for it.
    """

    otherwise: "Relay | Fail"


@dataclasses.dataclass(frozen=True)
class Fail:
    """Answer with an error of orioleloft's own."""

    code: Code


Decision = Relay | TryNext | Fail

# To a caller these statuses mean that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def decide(attempt: Attempt, is_idempotent: bool) -> Decision:
    """Decides what follows an attempt.

    Args:
        attempt: how the attempt ended.
        is_idempotent: whether the request may run more than once.
    """
    match attempt:
        case Attempt(end=AttemptEnd.REFUSED):
            return TryNext(Fail(Code.TARGET_SHED))
        case Attempt(end=AttemptEnd.NOT_SENT):
            return TryNext(Fail(Code.TARGET_UNREACHABLE))
        case Attempt(end=AttemptEnd.BROKEN):
            failure = Fail(Code.TARGET_BROKE_OFF)
            return TryNext(failure) if is_idempotent else failure
    if attempt.status in NOT_RUN_STATUSES:
        # The target does not state that it ran nothing, so its status must not promise it.
        failure = Fail(Code.TARGET_BROKE_OFF)
        return TryNext(failure) if is_idempotent else failure
    if attempt.status >= 500 and is_idempotent:
        return TryNext(Relay())
    return Relay()

"""State of one admitted request: its open ask, its dispatches, and what may have run."""

import dataclasses
import enum

from orioleloft_core.errors import KINDS, Code, Outcome
from orioleloft_core.messages import TargetReport
from orioleloft_core.request import DispatchResult, Request


@dataclasses.dataclass(slots=True, eq=False)
class OpenAsk:
    """An ask that the holder has not decided; `is_hedge` if a dispatch is already under way."""

    flow: "Flow"
    ask_id: str
    seat: str
    group: str
    asked_at: float
    is_hedge: bool
    is_queued: bool = False


class Route(enum.Enum):
    """What permits a dispatch."""

    GRANT = "grant"
    BYPASS = "bypass"
    VIEW = "view"


@dataclasses.dataclass(frozen=True)
class Permit:
    """A target and what permits its use; a grant names the holder's seat and the grant."""

    route: Route
    target_id: str
    group: str = ""
    seat: str = ""
    grant_id: str = ""
    needs_live_connection: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One dispatch that has not finished.

    Attributes:
        dispatch_id: names the dispatch.
        flow: the request.
        permit: what permits it.
        is_cancelled: a `CancelDispatch` was sent, so that the dispatch may not start any more.
        is_denied: `may_start` returned False, so that no byte was sent.
    """

    dispatch_id: str
    flow: "Flow"
    permit: Permit
    is_cancelled: bool = False
    is_denied: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """One admitted request.

    Attributes:
        request: the caller's request.
        counted: dispatches that count as attempts.
        unsent: dispatches that ended for lack of a live connection.
        maybe_ran: code of the first ending that left the outcome unknown.
        excluded: targets that the request is not sent to again.
        ask: the open ask.
        attempts: dispatches under way, by id.
        is_answered: the caller has its answer or has left.
        waits_since: time from which the request has waited for a bypass target.
    """

    request: Request
    counted: int = 0
    unsent: int = 0
    maybe_ran: Code | None = None
    excluded: frozenset[str] = frozenset()
    ask: OpenAsk | None = None
    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    is_answered: bool = False
    waits_since: float | None = None

    @property
    def may_run(self) -> bool:
        """Whether a further dispatch keeps the rule of at most one run."""
        return self.maybe_ran is None or self.request.is_idempotent

    @property
    def is_over(self) -> bool:
        """Whether nothing is left to wait for."""
        return self.is_answered and not self.attempts

    def exclude(self, target_id: str) -> None:
        """Keeps the request away from a target."""
        self.excluded |= {target_id}

    def final_code(self, code: Code) -> Code:
        """Returns the code to answer with; "not run" gives way to an unknown outcome."""
        if self.maybe_ran is not None and KINDS[code].outcome is Outcome.NOT_RUN:
            return self.maybe_ran
        return code


def target_report(target_id: str, result: DispatchResult) -> TargetReport:
    """Builds the report of a dispatch for the target's holder."""
    load = result.report
    if load is None:
        return TargetReport(target_id, result.ending.value, result.service_ms, "", -1, "")
    return TargetReport(
        target_id,
        result.ending.value,
        result.service_ms,
        load.incarnation,
        load.in_flight,
        load.warmth.value,
    )

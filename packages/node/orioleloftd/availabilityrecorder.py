"""Records what targets state about their availability, reports it to other nodes and logs it."""

import logging
from collections.abc import Callable

from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.targetavailability import (
    AnswerStatement,
    MalformedPause,
    Reason,
    TargetAvailability,
    Unavailable,
)
from orioleloftd.logs import log_event

_log = logging.getLogger(__name__)


class AvailabilityRecorder:
    """Updates the availability of targets after each answer and after reports of other nodes.

    Args:
        availability: decides whether a target may be asked.
        report_leaving: tells the other nodes that a process leaves: target id and start.
        clock: seconds on the node's clock.
    """

    def __init__(
        self,
        availability: TargetAvailability,
        report_leaving: Callable[[str, int], None],
        clock: Callable[[], float],
    ) -> None:
        self._availability = availability
        self._report_leaving = report_leaving
        self._clock = clock

    def on_answer(self, target: RegisteredTarget, statement: AnswerStatement) -> None:
        """Adopts what an answer states; see `TargetAvailability.observe`."""
        now = self._clock()
        before = self._availability.withdrawal(now, target)
        is_new = self._availability.observe(now, target, statement)
        match statement:
            case AnswerStatement(is_unavailable=True, pause=MalformedPause(text=text)):
                log_event(_log, "pause malformed", target=target.id, text=text)
        if is_new:
            log_event(_log, "target leaves", target=target.id, source="answer")
            self._report_leaving(target.id, target.started_ms)
        match self._availability.withdrawal(now, target):
            case Unavailable(reason=Reason.PAUSED, until=until) as after if after != before:
                log_event(_log, "target paused", target=target.id, seconds=round(until - now, 2))

    def on_peer_report(self, target_id: str, started_ms: int, peer: str) -> None:
        """Adopts the report of another node, whose name is `peer`, that a process leaves."""
        if self._availability.on_leaving(target_id, started_ms):
            log_event(_log, "target leaves", target=target_id, source=peer)

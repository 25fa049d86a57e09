"""Records the rate limits that targets state, and what this node sends to such targets."""

import logging
from collections.abc import Callable, Iterable

from orioleloft_core.ratelimits import (
    AnswerKind,
    MalformedRateLimit,
    NoRateLimit,
    RateLimit,
    RateLimitStatement,
)
from orioleloft_core.registry import RegisteredTarget
from orioleloftd.logs import log_event

_log = logging.getLogger(__name__)


class RateLimitRecorder:
    """Logs and counts rate limits in the answers of targets.

    Args:
        count: increments a metric.
    """

    def __init__(self, count: Callable[..., None]) -> None:
        self._count = count
        self._stated: dict[tuple[str, int], RateLimitStatement] = {}

    def on_sent(self, target: RegisteredTarget, kind: str) -> None:
        """Counts a probe or an attempt at a target that has stated a limit."""
        if isinstance(self._last(target), RateLimit):
            self._count("rate_limited_target_requests", target=target.id, kind=kind)

    def on_answer(
        self, target: RegisteredTarget, statement: RateLimitStatement, kind: AnswerKind
    ) -> None:
        """Logs what an answer states if it differs from the previous answer of the target."""
        last = self._last(target)
        match statement:
            case MalformedRateLimit(text=text):
                self._count("rate_limits_stated", outcome="malformed")
                if statement != last:
                    log_event(_log, "rate limit malformed", target=target.id, text=text)
            case RateLimit(requests_per_s=rate):
                self._count("rate_limits_stated", outcome="valid")
                if statement != last:
                    log_event(_log, "rate limit stated", target=target.id, per_s=rate, kind=kind)
            case NoRateLimit():
                if statement != last:
                    log_event(_log, "rate limit absent", target=target.id, kind=kind)
        self._stated[target.id, target.started_ms] = statement

    def _last(self, target: RegisteredTarget) -> RateLimitStatement:
        return self._stated.get((target.id, target.started_ms), NoRateLimit())

    def retain_only(self, known: Iterable[tuple[str, int]]) -> None:
        """Removes the statements of all targets except the known ones, by id and start."""
        kept = set(known)
        self._stated = {key: stated for key, stated in self._stated.items() if key in kept}

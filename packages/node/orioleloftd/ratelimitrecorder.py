"""Records the rate limits that targets state, reports them to other nodes and logs them."""

import logging
from collections.abc import Callable, Iterable

from orioleloft_core.ratelimits import (
    AnswerKind,
    MalformedRateLimit,
    RateLimit,
    RateLimitNotice,
    RateLimits,
    RateLimitStatement,
)
from orioleloft_core.registry import RegisteredTarget
from orioleloftd.logs import log_event

_log = logging.getLogger(__name__)


class RateLimitRecorder:
    """Updates the rate limits after each answer of a target and after reports of other nodes.

    Args:
        limits: rate limits of all targets.
        report: reports a limit to the other nodes.
        count: increments a metric.
        clock: seconds on the node's clock.
    """

    def __init__(
        self,
        limits: RateLimits,
        report: Callable[[RateLimitNotice], None],
        count: Callable[..., None],
        clock: Callable[[], float],
    ) -> None:
        self._limits = limits
        self._report = report
        self._count = count
        self._clock = clock
        self._malformed: dict[tuple[str, int], str] = {}

    def is_limited(self, target: RegisteredTarget) -> bool:
        """Whether requests and probes to a target need a permit."""
        return self._limits.is_limited(target)

    def on_sent(self, target: RegisteredTarget, kind: str) -> None:
        """Counts a probe or an attempt at a target with a limit."""
        if self._limits.is_limited(target):
            self._count("rate_limited_target_requests", target=target.id, kind=kind)

    def on_answer(
        self,
        target: RegisteredTarget,
        statement: RateLimitStatement,
        kind: AnswerKind,
        sent_at: float,
    ) -> None:
        """Adopts what an answer states and reports a change; see `RateLimits.observe`."""
        match statement:
            case MalformedRateLimit(text=text):
                self._count("rate_limits_stated", outcome="malformed")
                self._log_malformed(target, text)
            case RateLimit():
                self._count("rate_limits_stated", outcome="valid")
        before = self._limits.get(target)
        notice = self._limits.observe(self._clock(), target, statement, kind, sent_at)
        after = self._limits.get(target)
        if after != before:
            _log_change(target.id, after, kind)
        if notice is not None:
            self._report(notice)

    def on_peer_notice(self, notice: RateLimitNotice, peer: str) -> None:
        """Adopts the notice of another node, whose name is `peer`."""
        if self._limits.merge(self._clock(), notice):
            _log_change(notice.target_id, notice.requests_per_s, peer)

    def _log_malformed(self, target: RegisteredTarget, text: str) -> None:
        key = target.id, target.started_ms
        if self._malformed.get(key) != text:
            self._malformed[key] = text
            log_event(_log, "rate limit malformed", target=target.id, text=text)

    def retain_only(self, known: Iterable[tuple[str, int]]) -> None:
        """Removes the state of all target processes except the known ones, by id and start."""
        kept = set(known)
        self._limits.retain_only(kept)
        self._malformed = {key: text for key, text in self._malformed.items() if key in kept}


def _log_change(target_id: str, limit: float | None, source: str) -> None:
    if limit is None:
        log_event(_log, "rate limit ended", target=target_id, source=source)
    else:
        log_event(_log, "rate limit in force", target=target_id, per_s=limit, source=source)

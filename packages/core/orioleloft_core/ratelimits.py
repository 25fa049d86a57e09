"""Rate limits that targets state in their answers, and their division among the nodes.

A limit holds for the requests of all nodes together, also in a network partition and while nodes
start and stop. It is therefore divided among a fixed number of owners for each target, as in slow
start. An owner gets permits at its share of the rate and holds one permit at most; other nodes send
nothing to the target. An owner that starts, or that a change of the registered nodes has selected,
waits for its first permit, so that it never adds to what its predecessor has just sent.

Permits are used by ordinary requests, whose answers also show when the limit changes or ends.
"""

import copy
import dataclasses
import enum
import re
from collections.abc import Callable, Iterable, Mapping

from orioleloft_core import placement
from orioleloft_core.numericinput import require_number, require_whole_number
from orioleloft_core.registry import RegisteredTarget
from orioleloft_core.slowstart import MEMBERSHIP_VIEWS, OWNERS_PER_TARGET

# The operators accept this multiple of a stated limit in any 4 s, and 5 requests on top. The owners
# of two views of the registered nodes share it; those of one view send three quarters of the stated
# limit. The extra requests cover the permit that each of the four owners may hold.
ACCEPTED_MULTIPLE = 1.5
# Least rate of permits of an owner, in permits per second. It also applies to a limit of 0, whose
# end only the answer to a request or a probe shows.
MIN_OWNER_RATE_PER_S = 0.05
# Least time from the moment a node finds itself to be an owner to its first permit, in seconds. A
# node that has just started takes itself for an owner until it has heard of the other nodes.
OWNER_DELAY_S = 2.0
# Time after which an unused permit is spent on a probe, in seconds. It shows the end of a limit
# to owners that receive no requests.
IDLE_PERMIT_S = 4.0
# Interval in which a limit that is still stated is reported to other nodes again, in seconds. It
# repairs the loss of a report and tells nodes that have started.
REPORT_PERIOD_S = 2.0

# Greatest rate limit that counts, in requests per second; a greater one is malformed.
MAX_RATE_LIMIT_PER_S = 1e6
# Longest text of a rate limit, in characters.
MAX_RATE_LIMIT_CHARS = 18

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


@dataclasses.dataclass(frozen=True)
class NoRateLimit:
    """The answer states no limit."""


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """The answer states how many requests per second the target takes from all nodes together."""

    requests_per_s: float


@dataclasses.dataclass(frozen=True)
class MalformedRateLimit:
    """The answer states a limit that cannot be read; `text` is the start of it."""

    text: str


class AnswerKind(enum.StrEnum):
    """Kinds of answers of a target."""

    # The target has executed the request.
    RESPONSE = "response"
    # The target states that it did not execute the request.
    REFUSAL = "refusal"
    # The answer to a probe.
    PROBE = "probe"


RateLimitStatement = NoRateLimit | RateLimit | MalformedRateLimit


def parse_rate_limit(text: str | None) -> RateLimitStatement:
    """Parses a rate limit: a decimal number from 0, without sign or exponent.

    Args:
        text: the text of the limit, or None if there is none.
    """
    if text is None:
        return NoRateLimit()
    number = text.strip()
    if len(number) > MAX_RATE_LIMIT_CHARS or not _DECIMAL.fullmatch(number):
        return MalformedRateLimit(text[:MAX_RATE_LIMIT_CHARS])
    requests_per_s = float(number)
    if requests_per_s > MAX_RATE_LIMIT_PER_S:
        return MalformedRateLimit(number)
    return RateLimit(requests_per_s)


@dataclasses.dataclass(frozen=True)
class RateLimitNotice:
    """The rate limit of a target process as one node knows it.

    Attributes:
        target_id: id of the target.
        started_ms: start of its process, in Unix milliseconds.
        requests_per_s: the limit, or None if the target states none any more.
        version: orders the notices on one process: the time of day in milliseconds, or the next
            number after the greatest version known. The stricter of two notices with the same
            version wins.
        is_stated_on_probes: whether an answer to a probe has ever stated a limit, so that one
            which states none shows its end.

    Raises:
        ValueError: the limit or the version is out of range.
    """

    target_id: str
    started_ms: int
    requests_per_s: float | None
    version: int
    is_stated_on_probes: bool = False

    def __post_init__(self) -> None:
        require_whole_number(self.version)
        if self.requests_per_s is not None:
            require_number(self.requests_per_s)


@dataclasses.dataclass
class _LimitState:
    """What this node knows of the limit of one target process.

    Attributes:
        notice: the newest notice.
        learned_at: when this node has learned it. Answers to earlier requests may be older.
        reported_at: when a notice of the same version was last sent or received.
        last_permit_at: when this node has used its last permit, or None.
        owner_since: when this node was found to be an owner, or None if it is no owner.
        zones: registered nodes from which `owner_since` follows.
    """

    notice: RateLimitNotice
    learned_at: float
    reported_at: float
    last_permit_at: float | None = None
    owner_since: float | None = None
    zones: Mapping[str, str] | None = None

    @property
    def limit(self) -> float | None:
        """The limit in force in requests per second, or None."""
        return self.notice.requests_per_s


def owner_rate(requests_per_s: float) -> float:
    """Returns the permits per second of one owner of a target with a limit.

    Args:
        requests_per_s: the stated limit, for all nodes together.
    """
    share = requests_per_s * ACCEPTED_MULTIPLE / (OWNERS_PER_TARGET * MEMBERSHIP_VIEWS)
    return max(share, MIN_OWNER_RATE_PER_S)


class RateLimits:
    """Rate limits of all targets and the permits of this node.

    Args:
        node: name of this node.
        zones: returns the availability zones of all registered nodes by node name, alive or not.
        wall_clock_ms: returns the time of day, in Unix milliseconds.
    """

    def __init__(
        self,
        node: str,
        zones: Callable[[], Mapping[str, str]],
        wall_clock_ms: Callable[[], int],
    ) -> None:
        self._node = node
        self._zones = zones
        self._wall_clock_ms = wall_clock_ms
        self._states: dict[tuple[str, int], _LimitState] = {}

    @property
    def count(self) -> int:
        """Number of limits in force."""
        return sum(state.limit is not None for state in self._states.values())

    def get(self, target: RegisteredTarget) -> float | None:
        """Returns the limit of a target in requests per second, or None if it has none."""
        state = self._states.get(_key(target))
        return None if state is None else state.limit

    def is_limited(self, target: RegisteredTarget) -> bool:
        """Whether requests and probes to a target need a permit."""
        return self.get(target) is not None

    # Learning.

    def observe(
        self,
        now: float,
        target: RegisteredTarget,
        statement: RateLimitStatement,
        kind: AnswerKind,
        sent_at: float,
    ) -> RateLimitNotice | None:
        """Adopts what an answer states; returns a notice if other nodes should be told.

        A lower limit applies at once. A higher one, or none, counts only in the answer to a
        request that was sent after the present limit was learned, as answers overtake each other.
        A malformed limit changes nothing.

        Args:
            now: seconds on the node's clock.
            target: the target that has answered.
            statement: what the answer states.
            kind: kind of the answer. One that states no limit ends it only if it is a response,
                or if the target states limits on probes as well.
            sent_at: when the request was sent, in seconds on the node's clock.
        """
        state = self._states.get(_key(target))
        match statement:
            case MalformedRateLimit():
                return None
            case NoRateLimit():
                return None if state is None else self._observe_end(now, state, kind, sent_at)
            case RateLimit(requests_per_s=rate):
                state = self._observe_limit(now, target, state, rate, sent_at)
        if kind is AnswerKind.PROBE:
            state.notice = dataclasses.replace(state.notice, is_stated_on_probes=True)
        if now - state.reported_at < REPORT_PERIOD_S or state.limit != rate:
            return None
        state.reported_at = now
        return state.notice

    def _observe_limit(
        self,
        now: float,
        target: RegisteredTarget,
        state: _LimitState | None,
        rate: float,
        sent_at: float,
    ) -> _LimitState:
        if state is None:
            notice = RateLimitNotice(*_key(target), rate, self._wall_clock_ms())
            state = self._states[_key(target)] = _LimitState(notice, now, now - REPORT_PERIOD_S)
            return state
        known = state.limit
        is_stricter = known is None or rate < known
        if rate != known and (is_stricter or sent_at >= state.learned_at):
            self._advance(now, state, rate)
        return state

    def _observe_end(
        self, now: float, state: _LimitState, kind: AnswerKind, sent_at: float
    ) -> RateLimitNotice | None:
        is_conclusive = kind is AnswerKind.RESPONSE or (
            kind is AnswerKind.PROBE and state.notice.is_stated_on_probes
        )
        if not (state.limit is not None and is_conclusive and sent_at >= state.learned_at):
            return None
        self._advance(now, state, None)
        state.reported_at = now
        return state.notice

    def _advance(self, now: float, state: _LimitState, rate: float | None) -> None:
        version = max(state.notice.version + 1, self._wall_clock_ms())
        state.notice = dataclasses.replace(state.notice, requests_per_s=rate, version=version)
        state.learned_at = now
        state.reported_at = now - REPORT_PERIOD_S

    def merge(self, now: float, notice: RateLimitNotice) -> bool:
        """Adopts the notice of another node; returns whether it changes the limit.

        Args:
            now: seconds on the node's clock.
            notice: the notice.
        """
        key = notice.target_id, notice.started_ms
        state = self._states.get(key)
        if state is None:
            self._states[key] = _LimitState(notice, now, now)
            return notice.requests_per_s is not None
        is_stated_on_probes = notice.is_stated_on_probes or state.notice.is_stated_on_probes
        notice = dataclasses.replace(notice, is_stated_on_probes=is_stated_on_probes)
        state.notice = dataclasses.replace(state.notice, is_stated_on_probes=is_stated_on_probes)
        if notice == state.notice:
            state.reported_at = now
        if not _is_newer(notice, state.notice):
            return False
        is_changed = notice.requests_per_s != state.limit
        state.notice = notice
        state.learned_at = state.reported_at = now
        return is_changed

    # Permits.

    def may_send(self, now: float, target: RegisteredTarget) -> bool:
        """Whether this node may send a request or a probe to a target now.

        Args:
            now: seconds on the node's clock.
            target: the target, with or without a limit.
        """
        return not self.is_limited(target) or self.time_to_permit(now, target) == 0

    def time_to_permit(self, now: float, target: RegisteredTarget) -> float | None:
        """Returns the seconds until this node has a permit for a target with a limit.

        Returns:
            0 if it holds one, or None if it is no owner of the target.
        """
        permit_at = self._permit_at(now, target)
        return None if permit_at is None else max(0.0, permit_at - now)

    def _permit_at(self, now: float, target: RegisteredTarget) -> float | None:
        state = self._states[_key(target)]
        self._update_ownership(now, target, state)
        if state.owner_since is None:
            return None
        interval = 1 / owner_rate(state.limit)
        first_at = state.owner_since + max(OWNER_DELAY_S, interval)
        if state.last_permit_at is None:
            return first_at
        return max(first_at, state.last_permit_at + interval)

    def snapshot(self) -> "RateLimits":
        """Returns a copy, of which permits can be asked without effect on this node's."""
        copied = copy.copy(self)
        copied._states = {key: copy.copy(state) for key, state in self._states.items()}
        return copied

    def _update_ownership(self, now: float, target: RegisteredTarget, state: _LimitState) -> None:
        zones = self._zones()
        if state.zones is zones:
            return
        state.zones = zones
        if self._node not in placement.owners(target, zones, OWNERS_PER_TARGET):
            state.owner_since = None
        elif state.owner_since is None:
            state.owner_since = now

    def on_sent(self, now: float, target: RegisteredTarget) -> None:
        """Uses the permit for a target with a limit; does nothing for other targets."""
        if self.is_limited(target):
            self._states[_key(target)].last_permit_at = now

    def permit_rate(self, now: float, targets: Iterable[RegisteredTarget]) -> float:
        """Returns the permits per second that this node gets for targets with limits."""
        return sum(
            owner_rate(self.get(target))
            for target in targets
            if self._permit_at(now, target) is not None
        )

    def is_permit_idle(self, now: float, target: RegisteredTarget) -> bool:
        """Whether this node has held a permit for a target with a limit for `IDLE_PERMIT_S`."""
        permit_at = self._permit_at(now, target)
        return permit_at is not None and now >= permit_at + IDLE_PERMIT_S

    def retain_only(self, known: Iterable[tuple[str, int]]) -> None:
        """Removes the limits of all target processes except the known ones, by id and start."""
        kept = set(known)
        self._states = {key: state for key, state in self._states.items() if key in kept}


def _key(target: RegisteredTarget) -> tuple[str, int]:
    return target.id, target.started_ms


def _is_newer(notice: RateLimitNotice, known: RateLimitNotice) -> bool:
    if notice.version != known.version:
        return notice.version > known.version
    if notice.requests_per_s is None:
        return False
    return known.requests_per_s is None or notice.requests_per_s < known.requests_per_s

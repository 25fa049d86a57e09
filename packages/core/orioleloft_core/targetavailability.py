"""Whether a target may be asked now, and why not.

A target process that leaves, or that asks for a pause, says so in its answers. Both hold for the
process, identified by the id of the target and its start, whatever the store says. That a process
leaves is told to the other nodes; a pause holds for the requests of this node only.
"""

import collections
import dataclasses
import enum
import re
from collections.abc import Callable, Iterable, Mapping, Sequence

from orioleloft_core.ratelimits import RateLimits
from orioleloft_core.registry import RegisteredTarget, TargetRegistry
from orioleloft_core.slowstart import SlowStartLimiter

# Longest pause that counts, in seconds; a longer one is cut to it.
MAX_PAUSE_S = 86_400.0
# Longest text of a pause, in characters; a longer one is malformed.
MAX_PAUSE_CHARS = 18
# Processes that leave and are remembered after they were removed from the list of targets. A store
# that is restored from an older copy lists some of them again.
MAX_LEAVING = 5_000

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")


class Reason(enum.StrEnum):
    """Why a target may not be asked."""

    # It drains, was removed or restarted, or its zone is closed.
    DRAINING = "draining"
    # Its process has said that it leaves.
    LEAVING = "leaving"
    # It has asked for a pause that has not ended.
    PAUSED = "paused"
    # It states a rate limit, and the request has no permit.
    RATE_LIMIT = "rate limit"
    # It is cold, and this node is no owner or has used its share.
    COLD = "cold"


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """Why a target may not be asked now; `until` is the end in seconds, if it is known."""

    reason: Reason
    until: float | None = None


@dataclasses.dataclass(frozen=True)
class NoPause:
    """The answer asks for no pause."""


@dataclasses.dataclass(frozen=True)
class Pause:
    """The answer asks for a pause of some seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class MalformedPause:
    """The answer asks for a pause that cannot be read; `text` is the start of it."""

    text: str


PauseStatement = NoPause | Pause | MalformedPause


def parse_pause(texts: Sequence[str]) -> PauseStatement:
    """Parses how long a target asks not to be asked: a decimal number of seconds from 0.

    Dates, signs, exponents, `nan` and `inf` are malformed, and so are more than `MAX_PAUSE_CHARS`
    characters. More than `MAX_PAUSE_S` counts as that. Of several statements the longest counts.

    Args:
        texts: the values of all headers that state it.
    """
    numbers = [text.strip() for text in texts]
    seconds = [
        float(number)
        for number in numbers
        if len(number) <= MAX_PAUSE_CHARS and _DECIMAL.fullmatch(number)
    ]
    if not texts:
        return NoPause()
    if not seconds:
        return MalformedPause(numbers[0][:MAX_PAUSE_CHARS])
    longest = min(MAX_PAUSE_S, max(seconds))
    return Pause(longest) if longest > 0 else NoPause()


@dataclasses.dataclass(frozen=True)
class AnswerStatement:
    """What an answer of a target states about its availability.

    Attributes:
        responder_id: id of the target that has answered, or empty if the answer states none.
        is_unavailable: whether the answer is a refusal with status 503; only such a one pauses.
        is_leaving: whether the process leaves.
        pause: the pause that it asks for.
    """

    responder_id: str
    is_unavailable: bool
    is_leaving: bool
    pause: PauseStatement


class TargetAvailability:
    """Decides for each target whether this node may ask it now.

    Args:
        registry: the known targets.
        rate_limits: rate limits that targets state.
        slow_start_limiter: rate limit for requests to cold targets.
        is_cold: whether a target is cold at a time.
        zones: returns the availability zones of all registered nodes by node name.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        rate_limits: RateLimits,
        slow_start_limiter: SlowStartLimiter,
        is_cold: Callable[[float, RegisteredTarget], bool],
        zones: Callable[[], Mapping[str, str]],
    ) -> None:
        self._registry = registry
        self._rate_limits = rate_limits
        self._slow_start_limiter = slow_start_limiter
        self._is_cold = is_cold
        self._zones = zones
        # Processes that leave, the one that was noted last at the end.
        self._leaving: collections.OrderedDict[tuple[str, int], None] = collections.OrderedDict()
        self._paused_until: dict[tuple[str, int], float] = {}

    # Learning.

    def observe(self, now: float, target: RegisteredTarget, statement: AnswerStatement) -> bool:
        """Adopts what an answer states; one in the name of another target has no effect.

        A pause never ends earlier because of a later answer, as answers overtake each other.

        Args:
            now: seconds on the node's clock.
            target: the target that was asked.
            statement: what its answer states.

        Returns:
            Whether the process leaves and this was not known, so that other nodes should be told.
        """
        if statement.responder_id not in ("", target.id):
            return False
        key = _key(target)
        match statement:
            case AnswerStatement(is_unavailable=True, pause=Pause(seconds=seconds)):
                known = self._paused_until.get(key, now)
                self._paused_until[key] = max(known, now + seconds)
        return statement.is_leaving and self.on_leaving(*key)

    def on_leaving(self, target_id: str, started_ms: int) -> bool:
        """Notes that a process leaves; returns whether this was not known."""
        key = target_id, started_ms
        is_new = key not in self._leaving
        self._leaving[key] = None
        self._leaving.move_to_end(key)
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        return is_new

    def sweep(self, now: float) -> None:
        """Drops the pauses that have ended; to be called periodically."""
        self._paused_until = {k: until for k, until in self._paused_until.items() if until > now}

    # Decisions.

    @property
    def _has_withdrawals(self) -> bool:
        """Whether any process is known to leave or to pause.

        Each request checks all targets of its service several times. Most of the time none has
        withdrawn; with 100 targets under overload, checking each took 3 in 10 function calls.
        """
        return bool(self._leaving or self._paused_until)

    def not_withdrawn(self, now: float, targets: list[RegisteredTarget]) -> list[RegisteredTarget]:
        """Returns those of some targets that take requests; see `withdrawal`."""
        if not self._has_withdrawals:
            return targets
        return [target for target in targets if self.withdrawal(now, target) is None]

    def withdrawal(self, now: float, target: RegisteredTarget) -> Unavailable | None:
        """Returns why a process wants no requests of any kind now, or None if it takes some."""
        if not self._has_withdrawals:
            return None
        key = _key(target)
        if key in self._leaving:
            return Unavailable(Reason.LEAVING)
        until = self._paused_until.get(key, now)
        return Unavailable(Reason.PAUSED, until) if until > now else None

    def unavailability(
        self,
        now: float,
        target: RegisteredTarget,
        cold_per_s: float | None = None,
        has_permit: bool = False,
    ) -> Unavailable | None:
        """Returns why a target may not be asked now, or None if it may.

        Args:
            now: seconds on the node's clock.
            target: the target.
            cold_per_s: requests per second that a cold target of the service tolerates, or None if
                slow start is not to be checked.
            has_permit: whether the request has a permit for a target with a rate limit.
        """
        if not self._registry.is_eligible(target):
            return Unavailable(Reason.DRAINING)
        withdrawal = self.withdrawal(now, target)
        if withdrawal is not None:
            return withdrawal
        if not has_permit and self._rate_limits.is_limited(target):
            return Unavailable(Reason.RATE_LIMIT)
        if cold_per_s is None or not self._is_cold(now, target):
            return None
        if self._slow_start_limiter.may_send(now, target, cold_per_s, self._zones()):
            return None
        return Unavailable(Reason.COLD)

    def pause_ends(
        self, now: float, targets: Iterable[RegisteredTarget]
    ) -> tuple[float, float] | None:
        """Returns when the first and the last of some targets end their pauses.

        Returns:
            Seconds on the node's clock, or None unless all targets are paused or leaving and at
            least one of them is paused.
        """
        ends = []
        for target in targets:
            match self.withdrawal(now, target):
                case None:
                    return None
                case Unavailable(until=float() as until):
                    ends.append(until)
        return (min(ends), max(ends)) if ends else None


def _key(target: RegisteredTarget) -> tuple[str, int]:
    return target.id, target.started_ms

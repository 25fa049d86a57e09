"""Where a request would go now and why: the decision from what a node knows, without sending it.

The facts are collected by the node; this module judges each target and the request as a whole, in
the order in which a request meets the decisions.
"""

import dataclasses
import enum
from collections.abc import Sequence

from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.errors import ERROR_RESPONSES, ErrorCode
from orioleloft_core.observations import LoadFigures
from orioleloft_core.selection import OUTLIER_FAILURE_SCORE
from orioleloft_core.targetavailability import Reason, Unavailable

# Latency ratio from which a target that would answer too late counts as slow and not as busy.
SLOW_LATENCY_RATIO = 1.5
# Age up to which a load report says whether a target is free, in seconds. Requests of the usual
# length begin and end meanwhile; without a newer report, a target counts as free.
KNOWN_LOAD_S = 1.0


class Standing(enum.StrEnum):
    """How a target stands for a request."""

    # It can be probed and selected.
    USABLE = "usable"
    # It states a rate limit, and this node holds a permit for it.
    PERMIT = "permit"
    # It is probed after the others, and selected if they are not free.
    FAILING = "failing"
    # By the load known last, it could not begin the request at once, or would answer too late. It
    # is probed all the same, as the load may have changed.
    BUSY = "busy"
    SLOW = "slow"
    # It is not asked.
    DRAINING = "draining"
    CLOSED_ZONE = "closed zone"
    LEAVING = "leaving"
    PAUSED = "paused"
    RATE_LIMITED = "rate limited"
    COLD = "cold"
    EXCLUDED = "excluded"


# Standings of targets that are probed.
PROBED_STANDINGS = (Standing.USABLE, Standing.FAILING, Standing.BUSY, Standing.SLOW)


@dataclasses.dataclass(frozen=True)
class TargetFacts:
    """What a node knows of one target; times are in seconds from now.

    Attributes:
        id: id of the target.
        zone: its availability zone.
        is_local: whether this is the zone of the node.
        is_connected: whether the node holds an idle connection to it.
        unavailable: why it may not be asked, or None.
        until_s: time until that ends, or None if it is not known.
        is_zone_closed: whether operators have closed its zone.
        further_reason: why another component excludes it, or None.
        rate_limit: requests per second that it takes from all nodes, or None.
        permit_in_s: time until this node has a permit for it, or None if it is no owner.
        has_permit: whether the request can use a permit now.
        is_cold: whether it is in its slow-start phase.
        is_owner: whether this node may send to it while it is cold.
        failures: failure score.
        latency_ratio: response time over expected time, 1.0 is usual.
        in_flight: unanswered requests of this node.
        open_probes: unanswered probes of this node.
        load: load that it reported last, or None.
        load_age_s: age of that report.
        has_free_slot: whether it could begin the request at once by that load.
        is_in_time: whether its answer would be in time by that load.
    """

    id: str
    zone: str
    is_local: bool
    is_connected: bool
    unavailable: Unavailable | None
    until_s: float | None
    is_zone_closed: bool
    further_reason: str | None
    rate_limit: float | None
    permit_in_s: float | None
    has_permit: bool
    is_cold: bool
    is_owner: bool
    failures: float
    latency_ratio: float
    in_flight: int
    open_probes: int
    load: LoadFigures | None
    load_age_s: float | None
    has_free_slot: bool
    is_in_time: bool


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A target with the judgement on it.

    Attributes:
        facts: what is known of it.
        standing: how it stands for the request.
        reason: the reason for or against it, as a phrase.
        probe_order: its place among the targets to probe without the random part, from 1; None if
            it is not among them.
    """

    facts: TargetFacts
    standing: Standing
    reason: str
    probe_order: int | None = None


def judge(facts: TargetFacts, probe_order: int | None = None) -> Candidate:
    """Judges one target.

    Args:
        facts: what is known of it.
        probe_order: see `Candidate`.
    """
    standing, reason = _standing(facts)
    return Candidate(facts, standing, reason, probe_order)


def _standing(facts: TargetFacts) -> tuple[Standing, str]:
    match facts:
        case TargetFacts(unavailable=Unavailable(reason=Reason.DRAINING), is_zone_closed=True):
            return Standing.CLOSED_ZONE, f"operators have closed zone {facts.zone}"
        case TargetFacts(unavailable=Unavailable(reason=Reason.DRAINING)):
            return Standing.DRAINING, "it drains"
        case TargetFacts(unavailable=Unavailable(reason=Reason.LEAVING)):
            return Standing.LEAVING, "its process has said that it leaves"
        case TargetFacts(unavailable=Unavailable(reason=Reason.PAUSED)):
            return Standing.PAUSED, f"it has asked for a pause, {facts.until_s:.1f} s are left"
        case TargetFacts(further_reason=str() as reason):
            return Standing.EXCLUDED, reason
        case TargetFacts(has_permit=True):
            return Standing.PERMIT, "this node holds a permit for its rate limit"
        case TargetFacts(unavailable=Unavailable(reason=Reason.RATE_LIMIT)):
            return Standing.RATE_LIMITED, _rate_limit_text(facts)
        case TargetFacts(unavailable=Unavailable(reason=Reason.COLD), is_owner=True):
            return Standing.COLD, "it is cold, and this node has used its share"
        case TargetFacts(unavailable=Unavailable(reason=Reason.COLD)):
            return Standing.COLD, "it is cold, and other nodes own it"
    return _standing_by_load(facts)


def _standing_by_load(facts: TargetFacts) -> tuple[Standing, str]:
    """Returns the standing of a target that may be asked."""
    if facts.failures >= OUTLIER_FAILURE_SCORE:
        return Standing.FAILING, f"it fails (score {facts.failures:.1f}) and is probed last"
    if facts.open_probes:
        return Standing.FAILING, "it has not answered the previous probe and is probed last"
    if not facts.has_free_slot:
        return Standing.BUSY, "it had no free slot by its last load"
    if not facts.is_in_time and facts.latency_ratio >= SLOW_LATENCY_RATIO:
        return Standing.SLOW, f"it takes {facts.latency_ratio:.1f} times as long as expected"
    if not facts.is_in_time:
        return Standing.BUSY, "its answer would come too late by its last load"
    if facts.is_cold:
        return Standing.USABLE, "it is cold, and this node owns it"
    if facts.load_age_s is None or facts.load_age_s > KNOWN_LOAD_S:
        return Standing.USABLE, "nothing recent is known against it"
    return Standing.USABLE, "it was free by its last load"


def _rate_limit_text(facts: TargetFacts) -> str:
    limit = f"it takes {facts.rate_limit:g} requests per second"
    if facts.permit_in_s is None:
        return f"{limit}, and other nodes own it"
    if facts.permit_in_s == 0:
        return f"{limit}, and a request with this node's permit would fail or be late"
    return f"{limit}, and this node's next permit comes in {facts.permit_in_s:.1f} s"


class AllotmentOutcome(enum.StrEnum):
    """What a request finds at the allotment of its tenant."""

    TOKEN = "a token is left"
    ASKS = "a holder is asked"
    EXCEEDED = "used up"
    UNAVAILABLE = "no holder answers"


@dataclasses.dataclass(frozen=True)
class AllotmentFacts:
    """What a node knows of the allotment of a tenant.

    Attributes:
        rate_per_s: requests per second of all nodes together.
        burst: requests allowed on top.
        tokens_here: unspent tokens at this node.
        holder: node that holds the part of this zone, or None.
        tokens_at_holder: tokens in that part, or None if another node holds it.
        room_in_s: time until a holder that has refused has its next token, or None.
        may_ask: whether a holder may be asked now.
        is_only_holder: whether this node holds all parts.
    """

    rate_per_s: float
    burst: float
    tokens_here: int
    holder: str | None
    tokens_at_holder: float | None
    room_in_s: float | None
    may_ask: bool
    is_only_holder: bool = False

    @property
    def condition(self) -> str:
        """What a verdict other than a refusal depends on, or an empty string."""
        if self.outcome is AllotmentOutcome.ASKS:
            return "if a holder of allotments grants a token, else 429 or 503"
        return ""

    @property
    def outcome(self) -> AllotmentOutcome:
        """What a request finds."""
        if self.tokens_here >= 1:
            return AllotmentOutcome.TOKEN
        if self.is_only_holder and self.tokens_at_holder is not None and self.tokens_at_holder < 1:
            return AllotmentOutcome.EXCEEDED
        if self.may_ask:
            return AllotmentOutcome.ASKS
        if self.room_in_s is None:
            return AllotmentOutcome.UNAVAILABLE
        return AllotmentOutcome.EXCEEDED


class CrashCheck(enum.StrEnum):
    """Whether the request is blocked as it crashes targets."""

    BLOCKED = "blocked: the request has crashed targets"
    NOT_BLOCKED = "not blocked without a body; blocks of one caller are not checked"
    NEEDS_BODY = "not checked: it needs the whole request with its body"


@dataclasses.dataclass(frozen=True)
class QueueFacts:
    """The admission queue of the service as a new request finds it; times in seconds.

    Attributes:
        policy: order of admission in force.
        length: requests that wait.
        ahead: those that receive a slot before the request.
        must_queue: whether it waits because others go before it.
        is_admitted: whether there is room for it.
        displaced: waiting requests that would be refused in its favour.
        dispatches_per_s: requests that got a target in the last second.
        estimated_wait_s: time until a slot if the rate stays, or None if it is not known.
        max_wait_s: longest time that it would wait.
        retry_after_s: range of the time to return if it is refused.
        inputs: further inputs of the order of admission.
    """

    policy: AdmissionPolicy
    length: int
    ahead: int
    must_queue: bool
    is_admitted: bool
    displaced: int
    dispatches_per_s: float
    estimated_wait_s: float | None
    max_wait_s: float
    retry_after_s: tuple[float, float]
    inputs: dict[str, object]


@dataclasses.dataclass(frozen=True)
class PermitFacts:
    """Permits of this node for targets with rate limits.

    Attributes:
        can_wait: whether a target without a limit exists, or a permit comes in time.
        retry_after_s: range of the time to return if none does, in seconds.
    """

    can_wait: bool
    retry_after_s: tuple[float, float]


@dataclasses.dataclass(frozen=True)
class GoesTo:
    """It goes to one of some targets, after a probe or with a permit."""

    targets: tuple[str, ...]
    reason: str


@dataclasses.dataclass(frozen=True)
class Waits:
    """It waits for a target, and is refused at the end of the wait if none is free.

    Attributes:
        reason: why it waits.
        at_most_s: longest wait, in seconds.
        code: error code at the end of the wait.
        status: HTTP status at the end of the wait.
        retry_after_s: range of the time to return then, in seconds.
    """

    reason: str
    at_most_s: float
    code: ErrorCode
    status: int
    retry_after_s: tuple[float, float]


@dataclasses.dataclass(frozen=True)
class Refused:
    """It is refused at once.

    Attributes:
        reason: why.
        code: error code.
        status: HTTP status.
        retry_after_s: range of the time to return, in seconds, or None if none is stated.
    """

    reason: str
    code: ErrorCode
    status: int
    retry_after_s: tuple[float, float] | None = None


Verdict = GoesTo | Waits | Refused


def refused(
    code: ErrorCode, reason: str, retry_after_s: tuple[float, float] | None = None
) -> Refused:
    """Returns the refusal with a code and its status."""
    return Refused(reason, code, ERROR_RESPONSES[code].status, retry_after_s)


@dataclasses.dataclass(frozen=True)
class Situation:
    """What decides on a request whose route and key are known.

    Attributes:
        allotment: allotment of its tenant, or None if it needs no token.
        has_service: whether the service has a configuration.
        crash_check: whether it is blocked as it crashes targets.
        queue: the admission queue.
        permits: permits of this node.
        probes_available: probes that this node may send now.
        candidates: all targets of the service.
        permit_target: target that it gets with a permit, or None.
        default_retry_after_s: range of the time to return where nothing better is known.
        pause_retry_after_s: range of the time to return while all targets pause.
    """

    allotment: AllotmentFacts | None
    has_service: bool
    crash_check: CrashCheck
    pause_retry_after_s: tuple[float, float] | None
    queue: QueueFacts | None
    permits: PermitFacts | None
    probes_available: float
    candidates: Sequence[Candidate]
    permit_target: str | None
    default_retry_after_s: tuple[float, float]


def decide(situation: Situation) -> Verdict:
    """Returns what would happen to a request that its route and key allow."""
    refusal = _refusal_before_queue(situation)
    if refusal is not None:
        return refusal
    queue = situation.queue
    if not queue.must_queue:
        found = _first_choice(situation)
        if found is not None:
            return found
    if not situation.permits.can_wait:
        code, text = ErrorCode.TARGETS_RATE_LIMITED, "all targets have rate limits"
        return refused(code, text, situation.permits.retry_after_s)
    if not queue.is_admitted:
        return refused(ErrorCode.NO_CAPACITY, "the queue is too long", queue.retry_after_s)
    code = ErrorCode.NO_CAPACITY
    status = ERROR_RESPONSES[code].status
    return Waits(_wait_reason(situation), queue.max_wait_s, code, status, queue.retry_after_s)


def _refusal_before_queue(situation: Situation) -> Refused | None:
    default = situation.default_retry_after_s
    match situation:
        case Situation(allotment=AllotmentFacts(outcome=AllotmentOutcome.EXCEEDED, room_in_s=room)):
            earliest = (room or 0.0, max(room or 0.0, default[1]))
            text = "the tenant's allotment is used up"
            return refused(ErrorCode.ALLOTMENT_EXCEEDED, text, earliest)
        case Situation(allotment=AllotmentFacts(outcome=AllotmentOutcome.UNAVAILABLE)):
            text = "no holder of allotments answers"
            return refused(ErrorCode.ALLOTMENT_UNAVAILABLE, text, default)
        case Situation(has_service=False):
            return refused(ErrorCode.NO_CAPACITY, "the service has no configuration", default)
        case Situation(crash_check=CrashCheck.BLOCKED):
            return refused(ErrorCode.CRASH_SUSPECT, "the request has crashed targets")
        case Situation(pause_retry_after_s=(_, _) as seconds):
            text = "all targets have asked for a pause"
            return refused(ErrorCode.NO_CAPACITY, text, seconds)
    return None


def _first_choice(situation: Situation) -> GoesTo | None:
    """Returns the targets among which probes decide, the best standing first."""
    if situation.permit_target is not None:
        return GoesTo((situation.permit_target,), "this node holds a permit for it")
    if situation.probes_available < 1:
        return None
    texts = {
        Standing.USABLE: "the best of those that answer a probe",
        Standing.FAILING: "all others are unusable or busy; it is taken if it answers a probe",
    }
    for standing, text in texts.items():
        names = tuple(
            each.facts.id
            for each in situation.candidates
            if each.standing is standing and each.facts.has_free_slot and each.facts.is_in_time
        )
        if names:
            return GoesTo(names, text)
    return None


def _wait_reason(situation: Situation) -> str:
    if situation.queue.must_queue:
        return f"{situation.queue.ahead} waiting requests go before it"
    if not situation.candidates:
        return "the service has no targets"
    if situation.probes_available < 1:
        return "this node has used up its probes"
    if any(each.standing in PROBED_STANDINGS for each in situation.candidates):
        return "no target is free by the load known last; a probe may find one"
    return "no target may be asked"


@dataclasses.dataclass(frozen=True)
class SplitShare:
    """One service of the route's traffic split; `share` is its part of all requests."""

    service: str
    share: float


@dataclasses.dataclass(frozen=True)
class Split:
    """Traffic split of a route.

    Attributes:
        shares: services with their parts.
        service: service that is explained: that of the next request, or the greatest one.
        is_next: whether the next request goes there; false while the first one is random.
    """

    shares: tuple[SplitShare, ...]
    service: str
    is_next: bool


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Where a request would go now and why.

    Attributes:
        node: name of the node that was asked.
        table_version: version of the configuration.
        host: host of the request.
        path: path of the request.
        method: method of the request.
        timeout_s: time in which the caller wants its answer.
        is_late: whether it counts as a retry of its caller.
        route: name of the route, or None.
        route_reason: why this route or none.
        tenant: name of the tenant, or None.
        access: how the key is judged.
        priority: priority class in force, or None without a route.
        priority_source: where the priority comes from.
        allotment: allotment of the tenant, or None if it needs no token.
        split: traffic split, or None without a route.
        queue: admission queue, or None if the request does not reach it.
        crash_check: whether the request is blocked.
        blocked_requests: requests that this node blocks now.
        probes_available: probes that this node may send now.
        candidates: targets of the service, those to probe first.
        verdict: what would happen.
        condition: what the verdict depends on and the node does not know, or an empty string.
    """

    node: str
    table_version: int
    host: str
    path: str
    method: str
    timeout_s: float | None
    is_late: bool
    route: str | None
    route_reason: str
    tenant: str | None
    access: str
    priority: int | None
    priority_source: str
    allotment: AllotmentFacts | None
    split: Split | None
    queue: QueueFacts | None
    crash_check: CrashCheck | None
    blocked_requests: int
    probes_available: float
    candidates: tuple[Candidate, ...]
    verdict: Verdict
    condition: str = ""


def to_json_object(explanation: Explanation) -> dict[str, object]:
    """Returns an explanation as objects of JSON; the verdict gets its kind as `kind`."""
    plain = _rounded(dataclasses.asdict(explanation))
    plain["verdict"]["kind"] = {GoesTo: "goes to", Waits: "waits", Refused: "refused"}[
        type(explanation.verdict)
    ]
    if explanation.allotment is not None:
        plain["allotment"]["outcome"] = explanation.allotment.outcome
    return plain


def _rounded(value: object) -> object:
    """Returns nested values with numbers of at most three decimals."""
    match value:
        case float():
            return round(value, 3)
        case dict():
            return {name: _rounded(item) for name, item in value.items()}
        case list() | tuple():
            return [_rounded(item) for item in value]
    return value

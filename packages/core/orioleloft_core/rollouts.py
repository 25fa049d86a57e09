"""Roll-outs of target versions: orders, eligibility of targets by version, and the decider's steps.

An operator orders that the traffic of a service moves to targets of one version. Every node admits
the version to a small share of its own requests; one node, the decider, judges the evidence of all
and stores the outcome. The decider's steps follow the state chart in `rollouts.json`.
"""

import dataclasses
import enum
from collections.abc import Iterable, Sequence
from typing import ClassVar

from orioleloft_core import hashing
from orioleloft_core.entrysettings import RolloutBounds
from orioleloft_core.registry import (
    RegisteredTarget,
    StateVersion,
    StoreRevision,
    TargetRegistry,
)
from orioleloft_core.statechart import StateChart

# Fraction of the allowed share that the nodes use. The rest covers requests that are counted as
# sent and do not reach the service.
SHARE_FRACTION = 0.8
# Time for which a request is not offered to the new version after none of its targets could take
# one, in seconds.
RETRY_PAUSE_S = 0.1
# Rounding offset for the number of observed targets: they get 0.65 to 1.65 times the load of an old
# target, as faults may show under load only.
OBSERVED_ROUNDING = 0.35
# Time for which a directive holds, in seconds; the decider repeats it every 0.5 s.
DIRECTIVE_VALIDITY_S = 1.5
# Time before the end of the duration at which the switch begins, in seconds: 3 s until the old
# targets have no work, and 0.5 s to write the status.
SWITCH_MARGIN_S = 3.5
# Fraction of the duration after which the switch begins even if more time is left.
SWITCH_FRACTION = 0.7
# Longest wait until the old targets have no work, in seconds.
MAX_DRAIN_S = 3.0
# Shortest wait, in seconds: the directive and the reports that follow it need two report periods.
MIN_DRAIN_S = 0.6
# Time before the end of the duration at which a switch that had to wait begins, in seconds.
LATEST_SWITCH_S = 1.5
# Time before the end of the duration at which the status is written at the latest, in seconds.
WRITE_MARGIN_S = 0.5
# Answers of the new version without which the switch waits.
MIN_ANSWERS = 20
# Logarithm of the likelihood ratio against the new version from which the switch waits. It stays
# below this for most good versions.
WAITING_EVIDENCE = 2.0
# The same with the worst target counted, from which the switch waits.
WAITING_DOUBT = 3.0
# The same from which a version is rolled back when it can wait no longer, or during the switch.
FINAL_EVIDENCE = 5.0
# Free slots that the new targets must have beyond the requests that run, as a factor.
SLOT_HEADROOM = 1.25
# Fraction of the slots of the old targets with which the new ones are enough for any load.
FULL_CAPACITY = 0.9
# Fraction of the slots needed with which a switch that can wait no longer is made.
MIN_CAPACITY = 0.5


class RolloutState(enum.IntEnum):
    """State of an order, as its status in the store gives it."""

    ORDERED = 0
    RUNNING = 1
    COMPLETED = 2
    ROLLED_BACK = 3

    @property
    def is_final(self) -> bool:
        """Whether the order is decided."""
        return self in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to targets of one version.

    Attributes:
        service: name of the service.
        target_version: version to move to.
        duration: time within which it should be decided, in seconds.
        created: revision of the store at which the object was created, packed with the era in
            which it was read; see `registry.StoreRevision.number`.
        revision: revision of the object, for conditional writes, packed likewise.
        state: state in the status. A status that names another version is one of an earlier order
            and counts as none.
    """

    service: str
    target_version: str
    duration: float
    created: int
    revision: int
    state: RolloutState = RolloutState.ORDERED

    @property
    def key(self) -> str:
        """Identifies the order; unlike the revision it does not change with the status.

        The era is left out, so that an order keeps its key in a restored copy of the store.
        """
        created = StoreRevision.from_number(self.created).revision
        parts = (self.service, self.target_version, repr(self.duration), str(created))
        return hashing.fingerprint(*(part.encode() for part in parts))[:12]

    @property
    def created_era(self) -> int:
        """Era of the store in which the order was read."""
        return StoreRevision.from_number(self.created).era

    @property
    def era(self) -> int:
        """Era of the store in which the revision for conditional writes was issued."""
        return StoreRevision.from_number(self.revision).era

    def repeats(self, other: "RolloutOrder") -> bool:
        """Whether the order asks for the same as another one."""
        return (self.service, self.target_version, self.duration) == (
            other.service,
            other.target_version,
            other.duration,
        )


@dataclasses.dataclass(frozen=True)
class ServiceVersions:
    """Versions of a service that need no order, as the sender knows them."""

    service: str
    versions: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Rollouts:
    """Snapshot of all orders at one version of the store.

    Attributes:
        version: version of the snapshot.
        orders: the orders.
        known: versions in use without an order, from a node that hands over its state; nodes that
            read the snapshot from the store leave it empty.
    """

    version: StateVersion
    orders: tuple[RolloutOrder, ...]
    known: tuple[ServiceVersions, ...] = ()

    optional_fields: ClassVar[tuple[str, ...]] = ("known",)


class DirectiveAction(enum.IntEnum):
    """What the decider asks of all nodes."""

    # Admit the new version to its share.
    EXPOSE = 0
    # Send all new requests to the new version.
    SWITCH = 1
    # Send no new requests to the new version. Holds without an end.
    ROLL_BACK = 2


@dataclasses.dataclass(frozen=True)
class Directive:
    """A directive of the decider for one order.

    Attributes:
        sender: name of the deciding node.
        order: key of the order.
        action: what nodes should do.
        step: number of the group of new targets that is observed; groups take turns.
    """

    sender: str
    order: str
    action: DirectiveAction
    step: int


class Admission(enum.Enum):
    """Which versions of a service get new requests."""

    # The versions in use; others are held back.
    KNOWN = "known versions only"
    # The versions in use, and the ordered one within its share.
    SHARED = "ordered version within its share"
    # The ordered version only.
    ORDERED_ONLY = "ordered version only"


@dataclasses.dataclass(frozen=True)
class _Rule:
    """Versions that get requests of a service; `exposed` is the one that gets a share, or None."""

    admission: Admission
    general: frozenset[str]
    exposed: str | None = None


class _OrderProgress:
    """What this node has been told of one order beside the store's status."""

    def __init__(self, order: RolloutOrder) -> None:
        self.order = order
        self.final = order.state if order.state.is_final else None
        self.is_rolled_back = False
        self.directive: Directive | None = None
        self.directive_until = 0.0

    def adopt(self, earlier: "_OrderProgress") -> None:
        """Takes over what was known of the same order before it was written again."""
        self.final = self.final or earlier.final
        self.is_rolled_back = earlier.is_rolled_back
        self.directive = earlier.directive
        self.directive_until = earlier.directive_until

    def is_switched(self, now: float) -> bool:
        """Whether a directive to switch holds."""
        return (
            self.directive is not None
            and self.directive.action is DirectiveAction.SWITCH
            and now < self.directive_until
        )


class VersionGate:
    """Decides which targets of a service may get a request, by their version.

    Without an order, these are the versions that were in use when the service was first seen, or
    that became the only ones. A target without a version counts as one of an old version.

    Args:
        bounds: limits on roll-outs, or None if the deployment has none; the gate then admits all.
        registry: the registered targets.
    """

    def __init__(self, bounds: RolloutBounds | None, registry: TargetRegistry) -> None:
        self._share = SHARE_FRACTION * bounds.expose_share if bounds else 0.0
        self._is_enabled = bounds is not None
        self._registry = registry
        self._rollouts = Rollouts(StateVersion(), ())
        self._known: dict[str, frozenset[str]] = {}
        self._progress: dict[str, _OrderProgress] = {}
        self._credits: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}
        self._seen: tuple[object, ...] = ()

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment has roll-outs."""
        return self._is_enabled

    @property
    def version(self) -> StateVersion:
        """Version of the orders in force."""
        return self._rollouts.version

    @property
    def known_versions(self) -> tuple[ServiceVersions, ...]:
        """The versions that need no order, to hand over to a node that starts."""
        return tuple(
            ServiceVersions(service, tuple(sorted(versions)))
            for service, versions in sorted(self._known.items())
        )

    def on_rollouts(self, rollouts: Rollouts) -> None:
        """Applies a newer snapshot of the orders.

        A final state is kept for its order, even if a restored store has lost it.
        """
        self.refresh()
        self._rollouts = rollouts
        for each in rollouts.known:
            self._known.setdefault(each.service, frozenset(each.versions))
        orders = {order.service: order for order in rollouts.orders}
        for service in [service for service in self._progress if service not in orders]:
            progress = self._progress[service]
            if progress.final is None and not progress.is_rolled_back:
                del self._progress[service]
        for service, order in orders.items():
            self._follow(service, order)
        self.refresh()

    def _follow(self, service: str, order: RolloutOrder) -> None:
        progress = self._progress.get(service)
        if progress is None or progress.order.key != order.key:
            # After a restore of the store, operators write their orders again.
            earlier = progress if progress and is_repeated(order, progress.order) else None
            progress = self._progress[service] = _OrderProgress(order)
            if earlier is not None:
                progress.adopt(earlier)
            else:
                self._credits.pop(service, None)
        progress.order = order
        if order.state.is_final:
            progress.final = order.state

    def on_directive(self, now: float, directive: Directive) -> bool:
        """Adopts a directive for the current order; returns whether the action is another one.

        Of two deciders, the first by name is followed. A roll-back is never taken back.
        """
        progress = self._progress_of(directive.order)
        if progress is None:
            return False
        if directive.action is DirectiveAction.ROLL_BACK:
            is_new, progress.is_rolled_back = not progress.is_rolled_back, True
            return is_new
        current = progress.directive
        if current and now < progress.directive_until and current.sender < directive.sender:
            return False
        was_switched = progress.is_switched(now)
        progress.directive = directive
        progress.directive_until = now + DIRECTIVE_VALIDITY_S
        return progress.is_switched(now) != was_switched

    def _progress_of(self, key: str) -> _OrderProgress | None:
        return next((each for each in self._progress.values() if each.order.key == key), None)

    def order(self, service: str) -> RolloutOrder | None:
        """Returns the order in the store for a service, or None."""
        progress = self._progress.get(service)
        return progress.order if progress and self._is_ordered(service) else None

    def _is_ordered(self, service: str) -> bool:
        return any(order.service == service for order in self._rollouts.orders)

    @property
    def orders(self) -> list[RolloutOrder]:
        """All orders in the store."""
        return [self._progress[order.service].order for order in self._rollouts.orders]

    def final_state(self, service: str) -> RolloutState | None:
        """Returns how the current order was decided, as far as this node knows, or None."""
        progress = self._progress.get(service)
        return progress.final if progress else None

    def is_rolled_back(self, service: str) -> bool:
        """Whether the current order was rolled back by its status or by a directive."""
        progress = self._progress.get(service)
        if progress is None or progress.final is RolloutState.COMPLETED:
            return False
        return progress.is_rolled_back or progress.final is RolloutState.ROLLED_BACK

    def is_switched(self, now: float, service: str) -> bool:
        """Whether new requests go to the ordered version only, by a directive that holds."""
        progress = self._progress.get(service)
        return progress is not None and progress.is_switched(now)

    # Versions in use.

    def refresh(self) -> None:
        """Updates the versions in use after a change of targets or orders.

        Called after each change of the targets, as a version counts as in use by when it is seen.
        """
        seen = (self._registry.target_list, self._rollouts)
        if len(self._seen) == 2 and seen[0] is self._seen[0] and seen[1] is self._seen[1]:
            return
        self._seen = seen
        versions: dict[str, set[str]] = {}
        for target in self._registry.target_list.targets:
            if not target.is_draining:
                versions.setdefault(target.service, set()).add(target.version)
        for service, present in versions.items():
            self._refresh_service(service, present)

    def _refresh_service(self, service: str, present: set[str]) -> None:
        known = self._known.get(service)
        order = self.order(service)
        named = {order.target_version} if order else set()
        if order and self.final_state(service) is RolloutState.COMPLETED:
            known = frozenset(named)
        elif known is None:
            if not self._rollouts.version.revision:
                return
            known = frozenset(present - named or present)
        is_completed = self.final_state(service) is RolloutState.COMPLETED
        if not present & (known if is_completed else known | {""}):
            # None of the versions in use is left.
            known |= present - named
        self._known[service] = known

    def _rule(self, now: float, service: str) -> _Rule:
        known = self._known.get(service)
        if known is None:
            return _Rule(Admission.KNOWN, self._provisional(service))
        general = known | {""}
        order = self.order(service)
        if order is None:
            return _Rule(Admission.KNOWN, general)
        named = order.target_version
        if self.final_state(service) is RolloutState.COMPLETED:
            return _Rule(Admission.ORDERED_ONLY, known)
        if self.is_rolled_back(service):
            return _Rule(Admission.KNOWN, general - {named})
        if self.is_switched(now, service):
            return _Rule(Admission.ORDERED_ONLY, frozenset({named}))
        if named in known and not self._has_other_versions(service, named):
            # All targets had this version before the order, so there is nothing to move.
            return _Rule(Admission.KNOWN, general)
        return _Rule(Admission.SHARED, general - {named}, named)

    def _has_other_versions(self, service: str, version: str) -> bool:
        return any(target.version != version for target in self._registry.eligible_targets(service))

    def _provisional(self, service: str) -> frozenset[str]:
        """Returns the version of the oldest process, which is in use while no order is known."""
        targets = [each for each in self._registry.target_list.targets if each.service == service]
        oldest = min(targets, key=lambda target: target.started_ms, default=None)
        return frozenset({oldest.version, ""}) if oldest else frozenset()

    def admission(self, now: float, service: str) -> Admission:
        """Returns which versions of a service get requests now."""
        self.refresh()
        return self._rule(now, service).admission

    def held_back(self, now: float) -> dict[str, list[str]]:
        """Returns the registered versions that get no requests now, by service."""
        if not self._is_enabled:
            return {}
        self.refresh()
        held: dict[str, set[str]] = {}
        rules = {service: self._rule(now, service) for service in self._registry.services}
        for target in self._registry.target_list.targets:
            rule = rules[target.service]
            if target.version not in rule.general and target.version != rule.exposed:
                held.setdefault(target.service, set()).add(target.version)
        return {service: sorted(versions) for service, versions in held.items()}

    # Requests.

    def choose(self, now: float, service: str) -> bool:
        """Returns whether a request should go to the new version, and spends credit for it."""
        if not self._is_enabled or self._credits.get(service, 0.0) < 1:
            return False
        self.refresh()
        rule = self._rule(now, service)
        if rule.exposed is None or now < self._paused_until.get(service, 0.0):
            return False
        if not self._observed(now, service, rule.exposed):
            return False
        self._credits[service] -= 1
        return True

    def give_back(self, now: float, service: str) -> None:
        """Returns the credit of a request that no target of the new version could take."""
        self._credits[service] = 1.0
        self._paused_until[service] = now + RETRY_PAUSE_S

    def on_first_attempt(self, service: str) -> None:
        """Earns credit for a request that is sent to the service for the first time."""
        if self._is_enabled:
            earned = self._credits.get(service, 0.0) + self._share
            self._credits[service] = min(1.0, earned)

    def admitted(
        self, now: float, service: str, targets: Iterable[RegisteredTarget], is_chosen: bool
    ) -> list[RegisteredTarget]:
        """Returns those of the targets that may get a request.

        Args:
            now: seconds on the node's clock.
            service: service of the request.
            targets: targets of that service.
            is_chosen: whether `choose` has chosen the request for the new version.
        """
        if not self._is_enabled:
            return list(targets)
        self.refresh()
        rule = self._rule(now, service)
        if not is_chosen:
            return [target for target in targets if target.version in rule.general]
        if rule.exposed is None:
            return []
        observed = self._observed(now, service, rule.exposed)
        return [target for target in targets if target.id in observed]

    def admits(self, now: float, target: RegisteredTarget, is_chosen: bool) -> bool:
        """Whether a target that was looked up earlier may still get a request."""
        if not self._is_enabled:
            return True
        self.refresh()
        rule = self._rule(now, target.service)
        return target.version == rule.exposed if is_chosen else target.version in rule.general

    def _observed(self, now: float, service: str, version: str) -> set[str]:
        """Returns the ids of the few new targets that get the share.

        Their number gives them the load of an old target or somewhat more. The group advances with
        the step of the directive, so that each target is observed in turn.
        """
        targets = self._registry.eligible_targets(service)
        new = {target.id: target for target in targets if target.version == version}
        if not new:
            return set()
        old_slots = sum(target.slots for target in targets if target.version != version)
        slots = sum(target.slots for target in new.values()) / len(new)
        count = max(1, int(self._share * old_slots / slots + OBSERVED_ROUNDING))
        ids = hashing.rendezvous_order(service, new)
        progress = self._progress[service]
        step = progress.directive.step if progress.directive else 0
        return {ids[(step * count + index) % len(ids)] for index in range(min(count, len(ids)))}

    # Evidence.

    def evidence_target(self, target: RegisteredTarget) -> tuple[str, str] | None:
        """Returns order and target under which an answer counts as evidence, or None.

        The target is empty for all targets of old versions together.
        """
        if not self._is_enabled:
            return None
        progress = self._progress.get(target.service)
        if progress is None or progress.final is not None or not self._is_ordered(target.service):
            return None
        is_new = target.version == progress.order.target_version
        return progress.order.key, target.id if is_new else ""

    def old_targets(self, service: str) -> list[RegisteredTarget]:
        """Returns the registered targets of other versions than the ordered one."""
        order = self.order(service)
        if order is None:
            return []
        return [
            target
            for target in self._registry.target_list.targets
            if target.service == service and target.version != order.target_version
        ]


def is_repeated(new: RolloutOrder, old: RolloutOrder) -> bool:
    """Whether an order is an earlier one that was written again after a restore of the store."""
    return new.repeats(old) and new.created_era > old.created_era


@dataclasses.dataclass(frozen=True)
class RolloutFindings:
    """What the decider knows when it takes its next step.

    Attributes:
        elapsed: time since the order was seen, in seconds.
        is_bad: whether the evidence shows that the new version is bad.
        evidence: logarithm of the greatest likelihood ratio against the new version.
        doubt: the same with the worst target counted.
        answers: answers of the new version.
        usable_slots: slots of the new targets that are warm.
        old_slots: slots of the old targets.
        running: requests of the service that run on average.
        is_drained: whether all nodes have switched and have no work at old targets.
        can_write: whether the store can be reached.
    """

    elapsed: float
    is_bad: bool = False
    evidence: float = 0.0
    doubt: float = 0.0
    answers: int = 0
    usable_slots: int = 0
    old_slots: int = 0
    running: float = 0.0
    is_drained: bool = False
    can_write: bool = True

    @property
    def is_unclear(self) -> bool:
        """Whether more evidence is needed to say that the version is good."""
        return self.evidence >= WAITING_EVIDENCE or self.doubt >= WAITING_DOUBT

    @property
    def capacity(self) -> float:
        """Usable slots as a share of those that the load needs, at most 1."""
        needed = min(FULL_CAPACITY * self.old_slots, SLOT_HEADROOM * self.running)
        return 1.0 if needed <= 0 else min(1.0, self.usable_slots / needed)


class RolloutRun:
    """The decider's progress with one order.

    Args:
        order: the order.
    """

    def __init__(self, order: RolloutOrder) -> None:
        self._chart = StateChart("rollouts")
        self._order = order
        self._switched_at = 0.0
        self._stepped_at = 0.0
        self._reason = ""
        self.on_stored(order.state)

    @property
    def phase(self) -> str:
        """State of the chart."""
        return self._chart.state

    @property
    def reason(self) -> str:
        """Why the order is in its phase."""
        return self._reason

    @property
    def action(self) -> DirectiveAction:
        """What nodes should do now."""
        match self.phase:
            case "switching" | "completing" | "completed":
                return DirectiveAction.SWITCH
            case "rolling_back" | "rolled_back":
                return DirectiveAction.ROLL_BACK
        return DirectiveAction.EXPOSE

    @property
    def wanted_state(self) -> RolloutState:
        """State that the status in the store should have."""
        match self.phase:
            case "completing" | "completed":
                return RolloutState.COMPLETED
            case "rolling_back" | "rolled_back":
                return RolloutState.ROLLED_BACK
        return RolloutState.RUNNING

    def on_stored(self, state: RolloutState) -> None:
        """Follows the state that the store has; a final one ends the run."""
        match state:
            case RolloutState.RUNNING:
                self._chart.handle("running_stored")
            case RolloutState.COMPLETED:
                self._chart.handle("completed_stored")
            case RolloutState.ROLLED_BACK:
                self._chart.handle("rolled_back_stored")

    def on_found_bad(self, reason: str) -> bool:
        """Rolls back; returns False if the order is decided already."""
        if not self._chart.handle("found_bad"):
            return False
        self._reason = reason
        return True

    def step(self, findings: RolloutFindings, reason: str = "") -> bool:
        """Takes the next step; returns whether the phase has changed.

        Args:
            findings: what is known now.
            reason: the evidence, for the log.
        """
        before = self.phase
        if findings.is_bad:
            self.on_found_bad(reason)
        match self.phase:
            case "exposing":
                self._step_exposing(findings, reason)
            case "switching":
                self._step_switching(findings, reason)
            case "completing":
                self._hold_switch(findings)
        self._stepped_at = findings.elapsed
        return self.phase != before

    def _step_exposing(self, findings: RolloutFindings, reason: str) -> None:
        left = self._order.duration - findings.elapsed
        if findings.elapsed < switch_time(self._order.duration) or not findings.can_write:
            return
        if findings.usable_slots == 0:
            self._reason = "no warm target of the version"
            return
        is_late = left <= LATEST_SWITCH_S
        if is_late and findings.evidence >= FINAL_EVIDENCE:
            self.on_found_bad(f"at the end of the duration: {reason}")
            return
        waiting = waiting_reason(findings)
        if waiting and not (is_late and findings.capacity >= MIN_CAPACITY):
            self._reason = waiting
            return
        self._reason = f"{findings.answers} answers, {waiting or 'nothing speaks against it'}"
        self._switched_at = findings.elapsed
        self._chart.handle("found_good")

    def _step_switching(self, findings: RolloutFindings, reason: str) -> None:
        if not findings.can_write:
            self._reason = "the store cannot be reached"
            self._chart.handle("switch_held")
            return
        if self._hold_switch(findings):
            return
        left = self._order.duration - findings.elapsed
        if findings.evidence >= FINAL_EVIDENCE:
            self.on_found_bad(f"during the switch: {reason}")
            return
        if findings.is_unclear and left > LATEST_SWITCH_S:
            self._reason = waiting_reason(findings)
            self._chart.handle("switch_held")
            return
        waited = findings.elapsed - self._switched_at
        is_late = left <= WRITE_MARGIN_S
        if waited < MIN_DRAIN_S or not (findings.is_drained or waited >= MAX_DRAIN_S or is_late):
            return
        self._chart.handle("switched")

    def _hold_switch(self, findings: RolloutFindings) -> bool:
        """Goes back to the share if the switch does not hold any more; returns whether it did so.

        After `completed` the old targets stop, so it must not be written for targets that have
        gone meanwhile, nor after the directive has lapsed because this node was suspended.
        """
        if findings.elapsed - self._stepped_at > DIRECTIVE_VALIDITY_S:
            self._reason = "this node was suspended during the switch"
        elif findings.usable_slots == 0:
            self._reason = "no warm target of the version"
        elif findings.capacity < MIN_CAPACITY:
            self._reason = waiting_reason(findings)
        else:
            return False
        return self._chart.handle("switch_held")


def switch_time(duration: float) -> float:
    """Returns the time after an order at which the switch begins, in seconds."""
    return max(0.0, min(duration - SWITCH_MARGIN_S, SWITCH_FRACTION * duration))


def waiting_reason(findings: RolloutFindings) -> str:
    """Returns why the switch should wait, or an empty text."""
    if findings.answers < MIN_ANSWERS:
        return f"only {findings.answers} answers"
    if findings.is_unclear:
        return f"unclear evidence ({findings.evidence:.1f}, {findings.doubt:.1f} with all targets)"
    if findings.capacity < 1:
        return f"the new targets have {findings.capacity:.0%} of the slots needed"
    return ""


def usable_slots(targets: Sequence[RegisteredTarget], is_warm: dict[str, bool]) -> int:
    """Returns the slots of the targets that are warm."""
    return sum(target.slots for target in targets if is_warm.get(target.id, False))

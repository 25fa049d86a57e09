"""Bypass: the targets that a node may use without a grant while no holder answers.

The bound on bypass load must hold whatever each node sees. Which seats may bypass to a target
follows from the target's name and the configured seats alone, and each seat counts its own use.
"""

import dataclasses

from orioleloft_core import hashing
from orioleloft_core.catalog import Catalog
from orioleloft_core.request import DispatchResult, Ending, Warmth
from orioleloft_core.settings import Settings


@dataclasses.dataclass(frozen=True)
class Choice:
    """A target chosen for bypass, and the group whose holder hears of the result."""

    target_id: str
    group: str


@dataclasses.dataclass(slots=True)
class _Evidence:
    incarnation: str
    good_answers: int
    seen_at: float


class Bypass:
    """The own subset of targets, what their answers showed, and bypass requests in flight.

    Args:
        settings: uses the seats and the limits of `routing`.
        seat: own seat.
    """

    def __init__(self, settings: Settings, seat: str) -> None:
        self._routing = settings.routing
        self._seats = settings.fleet.names
        self._seat = seat
        self._catalog: Catalog | None = None
        self._subset: dict[str, tuple[Choice, ...]] = {}
        self._evidence: dict[str, _Evidence] = {}
        self._used_at: dict[str, float] = {}
        self._permitted: dict[str, bool] = {}
        self._busy: set[str] = set()

    def is_permitted(self, target_id: str) -> bool:
        """Tells whether the own seat is one of the seats that may bypass to the target."""
        if target_id not in self._permitted:
            seats = hashing.order(target_id, self._seats)[: self._routing.bypass_nodes]
            self._permitted[target_id] = self._seat in seats
        return self._permitted[target_id]

    def choose(
        self, now: float, catalog: Catalog, service: str, excluded: frozenset[str]
    ) -> Choice | None:
        """Returns the warm and idle target of the service that was used least recently.

        Args:
            now: seconds on the node's clock.
            catalog: catalog in force.
            service: service of the request.
            excluded: targets that the request has already met.
        """
        self._follow(catalog)
        choices = [
            choice
            for choice in self._subset.get(service, ())
            if choice.target_id not in excluded
            and choice.target_id not in self._busy
            and self.is_warm(now, choice.target_id)
            and catalog.accepts_new_work(choice.target_id)
        ]
        return min(choices, key=lambda choice: self._used_at.get(choice.target_id, 0), default=None)

    def count(self, now: float, catalog: Catalog, service: str) -> int:
        """Returns how many warm targets of the service the node may use, busy ones included."""
        self._follow(catalog)
        return sum(
            self.is_warm(now, choice.target_id) and catalog.accepts_new_work(choice.target_id)
            for choice in self._subset.get(service, ())
        )

    def is_warm(self, now: float, target_id: str) -> bool:
        """Tells whether recent answers of one target incarnation show that it is warm."""
        evidence = self._evidence.get(target_id)
        if evidence is None or evidence.good_answers < self._routing.warm_answers:
            return False
        return (now - evidence.seen_at) * 1000 <= self._routing.bypass_evidence_ms

    def start(self, now: float, target_id: str) -> None:
        """Notes a bypass request to the target."""
        self._busy.add(target_id)
        self._used_at[target_id] = now

    def end(self, target_id: str) -> None:
        """Notes the end of the bypass request to the target."""
        self._busy.discard(target_id)

    def record(self, now: float, target_id: str, result: DispatchResult) -> None:
        """Takes the result of any dispatch of this node, with or without a grant."""
        if result.ending is Ending.CANCELLED:
            return
        report = result.report
        if result.ending is not Ending.ANSWERED or report is None:
            self._evidence.pop(target_id, None)
            return
        if report.warmth is not Warmth.WARM:
            self._evidence.pop(target_id, None)
            return
        evidence = self._evidence.get(target_id)
        if evidence is None or evidence.incarnation != report.incarnation:
            self._evidence[target_id] = _Evidence(report.incarnation, 1, now)
            return
        evidence.good_answers += 1
        evidence.seen_at = now

    def _follow(self, catalog: Catalog) -> None:
        """Computes the own subset again when the catalog has changed."""
        if catalog is self._catalog:
            return
        self._catalog = catalog
        subset: dict[str, list[Choice]] = {}
        for group, targets in catalog.groups.items():
            for target in targets:
                if self.is_permitted(target.id):
                    subset.setdefault(target.service, []).append(Choice(target.id, group))
        self._subset = {service: tuple(choices) for service, choices in subset.items()}
        for known in (self._evidence, self._used_at, self._permitted):
            for target_id in [name for name in known if catalog.target(name) is None]:
                del known[target_id]

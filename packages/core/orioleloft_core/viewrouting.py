"""Routing by the node's own view only: the baseline for measurements."""

import collections
import random

from orioleloft_core.catalog import Catalog


class ViewRouting:
    """Power of two choices on the node's own in-flight counts.

    Args:
        rng: source of the choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._catalog: Catalog | None = None
        self._open: dict[str, list[str]] = {}

    def choose(self, catalog: Catalog, service: str, excluded: frozenset[str]) -> str | None:
        """Returns the less used one of two open targets of the service, or None if none is open."""
        self._follow(catalog)
        targets = self._open.get(service, [])
        if excluded:
            targets = [target_id for target_id in targets if target_id not in excluded]
        if len(targets) < 2:
            return targets[0] if targets else None
        first, second = self._rng.sample(targets, 2)
        return second if self._in_flight[second] < self._in_flight[first] else first

    def start(self, target_id: str) -> None:
        """Counts a request to the target."""
        self._in_flight[target_id] += 1

    def end(self, target_id: str) -> None:
        """Takes a finished request off the target's count."""
        self._in_flight[target_id] -= 1
        if self._in_flight[target_id] <= 0:
            del self._in_flight[target_id]

    def _follow(self, catalog: Catalog) -> None:
        if catalog is self._catalog:
            return
        self._catalog = catalog
        self._open = {}
        for target in catalog.targets:
            if catalog.accepts_new_work(target.id):
                self._open.setdefault(target.service, []).append(target.id)

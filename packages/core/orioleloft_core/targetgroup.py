"""The targets of one group: configuration, choice for a request, and stragglers."""

import statistics
from collections.abc import Container, Iterator

from orioleloft_core import catalog as catalogs
from orioleloft_core.catalog import Catalog
from orioleloft_core.settings import RoutingSettings
from orioleloft_core.targetstate import Phase, TargetState


class TargetGroup:
    """Keeps the state of a group's targets and chooses among them."""

    def __init__(self, group: str, routing: RoutingSettings) -> None:
        self._group = group
        self._routing = routing
        self._targets: dict[str, TargetState] = {}
        self._listed: set[str] = set()
        self._open: list[TargetState] = []
        self._slots = 0
        self._granted = 0
        self._median_ms = 0.0
        self.service_ms = 0.0

    def __iter__(self) -> Iterator[TargetState]:
        return iter(self._targets.values())

    @property
    def slots(self) -> int:
        """Slots of the targets that may get new work."""
        return self._slots * len(self._open)

    @property
    def limit(self) -> int:
        """Grants that the targets in use may hold now."""
        return sum(target.limit for target in self._open if not target.is_set_aside)

    @property
    def median_ms(self) -> float:
        """Median of the targets' mean service times at the last comparison, 0 if none."""
        return self._median_ms

    def get(self, target_id: str) -> TargetState | None:
        """Returns the state of a target, or None if the group has no such target."""
        return self._targets.get(target_id)

    def configure(self, now: float, catalog: Catalog) -> None:
        """Adopts a catalog; a target that it no longer lists stays until its grants are back."""
        service = catalog.service(catalogs.service_of(self._group))
        members = catalog.groups.get(self._group, ()) if service is not None else ()
        listed = {target.id for target in members}
        for target in members:
            state = self._targets.get(target.id)
            if state is None:
                state = TargetState(now, target, service, self._routing)
                self._targets[target.id] = state
            state.configure(now, target, service, catalog.accepts_new_work(target.id))
        for state in self._targets.values():
            if state.id not in listed:
                state.close(now)
        self._listed = listed
        if service is not None:
            self._slots = service.slots
            self.service_ms = service.service_ms
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Adopts changes of phases."""
        for target_id in [key for key in self._targets if key not in self._listed]:
            if not self._targets[target_id].out:
                del self._targets[target_id]
        self._open = [
            state for state in self._targets.values() if state.phase is not Phase.DRAINING
        ]
        self._limit_stragglers(now)

    def reset(self, now: float) -> None:
        """Makes all targets unknown, without grants."""
        for state in self._targets.values():
            state.reset(now)
        self._median_ms = 0.0
        self.refresh(now)

    def has_candidate(self, excluded: Container[str]) -> bool:
        """Tells whether a target that is not excluded may get new work, now or later."""
        return any(state.id not in excluded for state in self._open)

    def choose(
        self, now: float, seat: str, excluded: Container[str], is_contended: bool, wait_ms: float
    ) -> TargetState | None:
        """Chooses a target with room for a request of the seat, or None.

        The order is: least use of the limit, then the longest time without a grant, which spreads
        load and first uses. While requests wait, targets that know the seat come first, so that
        the few first-use grants are left to seats that have no other target.

        Args:
            now: seconds on the holder's clock.
            seat: seat that will dispatch the request.
            excluded: targets that the request has already met.
            is_contended: whether requests wait.
            wait_ms: expected wait of a new request; a straggler that answers sooner is used.
        """
        best, best_load, best_turn = None, 2.0, 0
        for state in self._open:
            out, limit = state.out, state.limit
            if out >= limit:
                continue
            load, turn = out / limit, state.last_grant
            if load > best_load or (load == best_load and turn > best_turn):
                continue
            if seat not in state.known_seats:
                # Loads are below 1, so this puts a first use behind all others.
                load += is_contended
                is_behind = load > best_load or (load == best_load and turn > best_turn)
                if is_behind or state.first_uses >= state.cold_limit:
                    continue
            if now < state.paused_until or state.id in excluded:
                continue
            if state.is_set_aside and not 0 < state.mean_ms < wait_ms:
                continue
            best, best_load, best_turn = state, load, turn
        return best

    def has_room(self, now: float) -> bool:
        """Tells whether any target could take a grant of some seat now."""
        return any(state.out < state.limit and now >= state.paused_until for state in self._open)

    def next_grant(self) -> int:
        """Returns the number of a new grant."""
        self._granted += 1
        return self._granted

    def compare(self, now: float) -> list[TargetState]:
        """Compares the service times; returns the targets that are newly out of full use.

        A target that has become much slower than its own baseline is taken for a process that
        went cold; another slow one is set aside. Together they are at most a share of the group,
        because a cause that slows all targets must not remove them all.
        """
        measured = {state.id: state.mean_ms for state in self._open if state.has_record}
        self._median_ms = statistics.median_low(measured.values()) if measured else 0.0
        threshold_ms = self._median_ms * self._routing.straggler_ratio
        slow = [
            state
            for state in self._open
            if measured.get(state.id, 0.0) > threshold_ms and not state.is_set_aside
        ]
        slow.sort(key=lambda state: measured[state.id], reverse=True)
        room = self._straggler_cap() - self._count_out_of_use()
        removed = slow[: max(0, room)]
        for state in removed:
            if state.has_gone_cold:
                state.go_cold(now)
            else:
                state.set_aside(now)
        return removed

    def _count_out_of_use(self) -> int:
        return sum(state.is_set_aside or state.went_cold for state in self._open)

    def _straggler_cap(self) -> int:
        return int(len(self._open) * self._routing.straggler_share)

    def _limit_stragglers(self, now: float) -> None:
        aside = [state for state in self._open if state.is_set_aside]
        aside.sort(key=lambda state: state.mean_ms)
        excess = len(aside) - self._straggler_cap()
        for state in aside[: max(0, excess)]:
            state.end_rest(now, is_early=True)

"""Grantors of the groups whose lease a node holds."""

from collections.abc import Callable, Iterator

from orioleloft_core import grantledger
from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import Effect, Send
from orioleloft_core.errors import Code
from orioleloft_core.grantor import Grantor
from orioleloft_core.lease import LeaseKeeper
from orioleloft_core.messages import Ask, BypassReport, Held, Refused, Release, Withdraw
from orioleloft_core.request import Ending, LoadReport
from orioleloft_core.settings import Settings
from orioleloft_core.suspects import Suspects


class Holdings:
    """Starts a grantor when a lease becomes usable and drops it when the lease is lost.

    A grantor that comes back after a lost lease starts with all targets unknown, since another
    node may have granted meanwhile.
    """

    def __init__(self, settings: Settings, lease: LeaseKeeper, suspects: Suspects) -> None:
        self._settings = settings
        self._lease = lease
        self._suspects = suspects
        self._grantors: dict[str, Grantor] = {}
        self._catalog = Catalog()

    def __iter__(self) -> Iterator[Grantor]:
        """Iterates over the grantors in use."""
        return iter(self._grantors.values())

    def configure(self, now: float, catalog: Catalog) -> list[Effect]:
        """Puts a catalog in force."""
        self._catalog = catalog
        effects: list[Effect] = []
        for group in [group for group in self._grantors if group not in catalog.groups]:
            effects.extend(self._drop(now, group))
        for grantor in self._grantors.values():
            effects.extend(grantor.configure(now, catalog))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Follows the leases, expires grants and starts due probes."""
        effects: list[Effect] = []
        for group in [*self._grantors, *self._lease.own_groups]:
            effects.extend(self._follow(now, group))
        for grantor in self._grantors.values():
            effects.extend(grantor.tick(now))
            effects.extend(grantor.due_probes(now))
        return effects

    def ask(self, now: float, seat: str, ask: Ask) -> list[Effect]:
        """Passes an ask to the group's grantor, or refuses it without a usable lease."""
        grantor = self._usable(now, ask.group)
        if grantor is None:
            return [Send(seat, Refused(ask.ask_id, Code.NODE_ISOLATED))]
        return grantor.ask(now, seat, ask)

    def release(self, now: float, seat: str, release: Release) -> list[Effect]:
        """Gives a grant back to the grantor that gave it.

        All grantors hear of a broken target, as it may be in another group by now.
        """
        grantor = self._grantors.get(grantledger.group_of(release.grant_id))
        is_broken = release.report is not None and release.report.ending == Ending.BROKEN
        if grantor is None or is_broken:
            return self._to_all(lambda grantor: grantor.release(now, seat, release))
        return grantor.release(now, seat, release)

    def withdraw(self, now: float, seat: str, withdraw: Withdraw) -> list[Effect]:
        """Drops an ask that nobody waits for."""
        return self._to_all(lambda grantor: grantor.withdraw(now, seat, withdraw))

    def held(self, now: float, seat: str, held: Held) -> list[Effect]:
        """Frees grants that the seat no longer holds."""
        return self._to_all(lambda grantor: grantor.held(now, seat, held))

    def bypass_report(self, now: float, seat: str, report: BypassReport) -> list[Effect]:
        """Takes evidence about a target from a dispatch without a grant."""
        grantor = self._grantors.get(report.group)
        return grantor.bypass_report(now, seat, report) if grantor else []

    def probed(self, now: float, target_id: str, report: LoadReport | None) -> None:
        """Takes the result of a probe."""
        for grantor in self._grantors.values():
            grantor.probed(now, target_id, report)

    def phase(self, target_id: str) -> str | None:
        """Returns the phase of a target whose group this node holds, or None."""
        for grantor in self._grantors.values():
            phase = grantor.phase(target_id)
            if phase is not None:
                return phase.value
        return None

    def _usable(self, now: float, group: str) -> Grantor | None:
        if not self._lease.may_use(now, group):
            return None
        return self._grantors.get(group)

    def _follow(self, now: float, group: str) -> list[Effect]:
        is_usable = self._lease.may_use(now, group)
        if is_usable and group not in self._grantors and group in self._catalog.groups:
            return self._add(now, group)
        if not is_usable and group in self._grantors:
            return self._drop(now, group)
        return []

    def _add(self, now: float, group: str) -> list[Effect]:
        grantor = Grantor(group, self._settings, self._suspects)
        self._grantors[group] = grantor
        effects = grantor.configure(now, self._catalog)
        effects.extend(grantor.reset(now))
        return effects

    def _drop(self, now: float, group: str) -> list[Effect]:
        # A reset refuses the asks that wait, so that their seats look for another way.
        return self._grantors.pop(group).reset(now)

    def _to_all(self, call: Callable[[Grantor], list[Effect]]) -> list[Effect]:
        effects: list[Effect] = []
        for grantor in self._grantors.values():
            effects.extend(call(grantor))
        return effects

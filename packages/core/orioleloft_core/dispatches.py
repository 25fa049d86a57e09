"""Dispatches under way: start, last check, cancellation, and reports of their results."""

import random
from typing import Protocol

from orioleloft_core.bypass import Bypass
from orioleloft_core.effects import CancelDispatch, Dispatch, Effect, Send
from orioleloft_core.flow import Attempt, Flow, Permit, Route, target_report
from orioleloft_core.holders import FleetView, Holders
from orioleloft_core.messages import BypassReport, Release, TargetReport
from orioleloft_core.request import DispatchResult, Ending
from orioleloft_core.settings import Settings
from orioleloft_core.viewrouting import ViewRouting


class Suspects(Protocol):
    """Knows the contents that break targets."""

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Tells whether requests with the content are refused."""

    def record(self, now: float, fingerprint: str) -> list[Effect]:
        """Counts a broken connection."""


class Dispatches:
    """Keeps the dispatches of a node and the permits that they use.

    Args:
        settings: all settings.
        seat: own seat.
        incarnation: own incarnation; seeds the choices of view routing.
        fleet_view: catalog and holders.
        holders: keeps the grants.
        suspects: hears of broken connections.
    """

    def __init__(
        self,
        settings: Settings,
        seat: str,
        incarnation: str,
        fleet_view: FleetView,
        holders: Holders,
        suspects: Suspects,
    ) -> None:
        self._view = fleet_view
        self._holders = holders
        self._suspects = suspects
        self._bypass = Bypass(settings, seat)
        self._views = ViewRouting(random.Random(incarnation))
        self._attempts: dict[str, Attempt] = {}
        self._number = 0

    def bypass_permit(self, now: float, flow: Flow) -> Permit | None:
        """Returns a permit for a target that the node may use without a grant."""
        catalog, service = self._view.catalog, flow.request.service
        choice = self._bypass.choose(now, catalog, service, flow.excluded)
        if choice is None:
            return None
        return Permit(Route.BYPASS, choice.target_id, choice.group, needs_live_connection=True)

    def count_bypass_targets(self, now: float, service: str) -> int:
        """Returns how many targets of the service bypass may use, busy ones included."""
        return self._bypass.count(now, self._view.catalog, service)

    def view_permit(self, flow: Flow) -> Permit | None:
        """Returns a permit by the node's own view."""
        target_id = self._views.choose(self._view.catalog, flow.request.service, flow.excluded)
        return None if target_id is None else Permit(Route.VIEW, target_id)

    def start(self, now: float, flow: Flow, permit: Permit) -> list[Effect]:
        """Starts a dispatch; it counts as an attempt until its ending shows otherwise."""
        self._number += 1
        attempt = Attempt(f"d{self._number}", flow, permit)
        self._attempts[attempt.dispatch_id] = attempt
        flow.attempts[attempt.dispatch_id] = attempt
        flow.counted += 1
        match permit.route:
            case Route.BYPASS:
                self._bypass.start(now, permit.target_id)
            case Route.VIEW:
                self._views.start(permit.target_id)
            case Route.GRANT:
                self._holders.count(permit.group, 1)
        return [
            Dispatch(
                attempt.dispatch_id,
                permit.target_id,
                flow.request,
                permit.needs_live_connection,
            )
        ]

    def may_start(self, now: float, dispatch_id: str) -> bool:
        """Tells whether the first byte may be sent now; once denied, a dispatch never starts."""
        attempt = self._attempts.get(dispatch_id)
        if attempt is None:
            return False
        is_timely = now < attempt.flow.request.deadline and not attempt.is_cancelled
        if attempt.is_denied or not is_timely or not self._is_open(attempt):
            attempt.is_denied = True
            return False
        return True

    def deny(self, dispatch_id: str) -> bool:
        """Keeps a dispatch from starting; returns False."""
        attempt = self._attempts.get(dispatch_id)
        if attempt is not None:
            attempt.is_denied = True
        return False

    def finish(
        self, now: float, dispatch_id: str, result: DispatchResult
    ) -> tuple[Attempt | None, list[Effect]]:
        """Ends a dispatch; returns it with the reports of its result."""
        attempt = self._attempts.pop(dispatch_id, None)
        if attempt is None:
            return None, []
        del attempt.flow.attempts[dispatch_id]
        report = None
        if not (attempt.is_denied and result.ending is Ending.NOT_SENT):
            self._bypass.record(now, attempt.permit.target_id, result)
            report = target_report(attempt.permit.target_id, result)
        effects = self._give_back(now, attempt.permit, report)
        if result.ending is Ending.BROKEN:
            spread = self._suspects.record(now, attempt.flow.request.fingerprint)
            # View routing is the baseline without messages.
            effects += [] if attempt.permit.route is Route.VIEW else spread
        return attempt, effects

    def cancel(self, flow: Flow) -> list[Effect]:
        """Cancels the dispatches of a request; their grants come back when they have finished."""
        running = [attempt for attempt in flow.attempts.values() if not attempt.is_cancelled]
        for attempt in running:
            attempt.is_cancelled = True
        return [CancelDispatch(attempt.dispatch_id) for attempt in running]

    def _is_open(self, attempt: Attempt) -> bool:
        return self._view.catalog.accepts_new_work(attempt.permit.target_id)

    def _give_back(self, now: float, permit: Permit, report: TargetReport | None) -> list[Effect]:
        match permit.route:
            case Route.VIEW:
                self._views.end(permit.target_id)
                return []
            case Route.GRANT:
                self._holders.count(permit.group, -1)
                self._holders.drop(permit.seat, permit.grant_id)
                return [Send(permit.seat, Release(permit.grant_id, report))]
        self._bypass.end(permit.target_id)
        seat = self._holders.usable_seat(now, permit.group)
        if seat is None or report is None:
            return []
        return [Send(seat, BypassReport(permit.group, report))]

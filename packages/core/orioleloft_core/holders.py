"""The holders of groups as a requester sees them: choice, silence and grants held."""

import collections
import dataclasses
from typing import Protocol

from orioleloft_core import hashing
from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import Effect, Send
from orioleloft_core.messages import Held
from orioleloft_core.settings import Settings

HELD_INTERVAL_SECONDS = 1.0


class FleetView(Protocol):
    """What admission reads of the rest of the node."""

    @property
    def catalog(self) -> Catalog:
        """Catalog in force."""

    def holder_seat(self, group: str) -> str | None:
        """Returns the seat that holds the group, or None if no holder is known."""

    def is_suspected(self, now: float, seat: str) -> bool:
        """Tells whether the seat has been silent for too long."""


@dataclasses.dataclass(frozen=True)
class Place:
    """A group and the seat to ask for it; None when no holder can be asked."""

    group: str
    seat: str | None


class Holders:
    """Chooses the holder to ask, remembers silent ones and keeps the ids of grants.

    Args:
        settings: uses the times of `fleet` and `requests`.
        seat: own seat.
        fleet_view: assignment, suspicion and catalog.
    """

    def __init__(self, settings: Settings, seat: str, fleet_view: FleetView) -> None:
        self._probe_seconds = settings.fleet.heartbeat_ms / 1000
        self._longest_grant = settings.requests.max_deadline_ms / 1000
        self._seat = seat
        self._view = fleet_view
        self._load: collections.Counter[str] = collections.Counter()
        self._heard_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._grants: dict[str, set[str]] = {}
        self._granted_at: dict[str, float] = {}
        self._held_at = 0.0

    def choose(self, now: float, service: str, request_id: str) -> Place | None:
        """Returns the place to ask for a request, or None if the service has no group.

        Of the first two groups in rendezvous order, one whose holder can be asked comes first,
        then the one with fewer own requests.
        """
        groups = self._view.catalog.groups_of(service)
        if not groups:
            return None
        if len(groups) == 1:
            return Place(groups[0], self.usable_seat(now, groups[0]))
        first_two = hashing.order(request_id, groups)[:2]
        places = [Place(group, self.usable_seat(now, group)) for group in first_two]
        return min(places, key=lambda place: (self._is_avoided(place), self._load[place.group]))

    def usable_seat(self, now: float, group: str) -> str | None:
        """Returns the holder's seat, or None if it is unknown or suspected."""
        seat = self._view.holder_seat(group)
        if seat is None or (seat != self._seat and self._view.is_suspected(now, seat)):
            return None
        return seat

    def count(self, group: str, change: int) -> None:
        """Adds to the own requests that wait or run in the group."""
        self._load[group] += change
        if not self._load[group]:
            del self._load[group]

    def is_silent(self, seat: str) -> bool:
        """Tells whether the holder left an ask unanswered and has not been heard since."""
        return seat in self._probed_at

    def take_probe(self, now: float, seat: str) -> bool:
        """Lets one request per heartbeat ask a silent holder, so that it can be heard again."""
        if now - self._probed_at[seat] < self._probe_seconds:
            return False
        self._probed_at[seat] = now
        return True

    def note_silence(self, now: float, seat: str, asked_at: float) -> None:
        """Marks a holder as silent unless it was heard after the ask."""
        if seat != self._seat and self._heard_at.get(seat, -1.0) < asked_at:
            self._probed_at.setdefault(seat, now)

    def heard(self, now: float, seat: str) -> None:
        """Notes a message of the seat."""
        self._heard_at[seat] = now
        self._probed_at.pop(seat, None)

    def hold(self, now: float, seat: str, grant_id: str) -> None:
        """Notes a grant as held."""
        self._grants.setdefault(seat, set()).add(grant_id)
        self._granted_at[seat] = now

    def is_held(self, seat: str, grant_id: str) -> bool:
        """Tells whether the grant is held."""
        return grant_id in self._grants.get(seat, ())

    def drop(self, seat: str, grant_id: str) -> None:
        """Notes a grant as given back."""
        self._grants[seat].discard(grant_id)

    def held_reports(self, now: float) -> list[Effect]:
        """Returns a `Held` to each holder, once a second.

        An empty list is sent as well: it frees grants whose release was lost. A seat is left out
        once its last grant must have ended by its deadline.
        """
        if now - self._held_at < HELD_INTERVAL_SECONDS:
            return []
        self._held_at = now
        for seat in [seat for seat in self._grants if self._is_over(now, seat)]:
            del self._grants[seat], self._granted_at[seat]
        return [Send(seat, Held(tuple(sorted(ids)))) for seat, ids in self._grants.items()]

    def _is_over(self, now: float, seat: str) -> bool:
        return not self._grants[seat] and now - self._granted_at[seat] > self._longest_grant

    def _is_avoided(self, place: Place) -> bool:
        return place.seat is None or self.is_silent(place.seat)

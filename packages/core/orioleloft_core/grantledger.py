"""Grants that a holder has given and that have not come back."""

import dataclasses
from collections.abc import Container

# A grant that is still on its way to a seat is not in the seat's list yet. Freeing it would let
# two requests use one slot, so the age covers slow links.
HELD_GRACE_SECONDS = 2.0

# Seat, opening time and number follow the group in a grant id; none of them has a dot.
ID_PARTS = 3

_MICROSECONDS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """One grant.

    Attributes:
        id: names the grant in messages.
        seat: seat that holds it.
        target_id: the target.
        is_first_use: whether it may open the seat's first connection to the target process.
        generation: the target's `TargetState.generation` when it was given.
        given_at: seconds on the holder's clock.
        deadline: time by which the target has stopped, seconds on the holder's clock.
    """

    id: str
    seat: str
    target_id: str
    is_first_use: bool
    generation: int
    given_at: float
    deadline: float


def group_of(grant_id: str) -> str:
    """Returns the group that a grant id names, or an empty string for another text."""
    parts = grant_id.rsplit(".", ID_PARTS)
    return parts[0] if len(parts) == ID_PARTS + 1 else ""


class GrantLedger:
    """Keeps the outstanding grants and names new ones.

    Grant ids hold the seat and the time at which the ledger was opened, so that a late release
    of an earlier holder never names a present grant.
    """

    def __init__(self, group: str, seat: str) -> None:
        self._name = f"{group}.{seat}"
        self._prefix = f"{self._name}.0"
        self._grants: dict[str, Grant] = {}
        self._given = 0

    def __len__(self) -> int:
        return len(self._grants)

    def reset(self, now: float) -> None:
        """Forgets all grants and starts new names."""
        self._prefix = f"{self._name}.{int(now * _MICROSECONDS):x}"
        self._grants.clear()

    def give(
        self,
        now: float,
        seat: str,
        target_id: str,
        generation: int,
        deadline: float,
        is_first_use: bool,
    ) -> Grant:
        """Adds a grant and returns it."""
        self._given += 1
        grant_id = f"{self._prefix}.{self._given}"
        grant = Grant(grant_id, seat, target_id, is_first_use, generation, now, deadline)
        self._grants[grant_id] = grant
        return grant

    def give_back(self, seat: str, grant_id: str) -> Grant | None:
        """Removes a grant that the seat holds; returns None if there is no such grant."""
        grant = self._grants.get(grant_id)
        if grant is None or grant.seat != seat:
            return None
        return self._grants.pop(grant_id)

    def expire(self, now: float) -> list[Grant]:
        """Removes and returns the grants whose deadline has passed."""
        return self._remove([grant for grant in self._grants.values() if grant.deadline <= now])

    def reconcile(self, now: float, seat: str, listed: Container[str]) -> list[Grant]:
        """Removes and returns the seat's older grants that it does not list."""
        return self._remove(
            [
                grant
                for grant in self._grants.values()
                if grant.seat == seat
                and grant.id not in listed
                and now - grant.given_at >= HELD_GRACE_SECONDS
            ]
        )

    def _remove(self, grants: list[Grant]) -> list[Grant]:
        for grant in grants:
            del self._grants[grant.id]
        return grants

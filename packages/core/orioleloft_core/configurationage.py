"""Age of the configuration in force, as far as one node can know it.

Nodes share no clock, and a stored version does not say when it was confirmed. A node knows when
another one that reads the store last held the same version as itself; any newer one was confirmed
after that.
"""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class VersionDelay:
    """How late a version came into force on this node; times are in seconds.

    Attributes:
        unconfirmed: time since the version before was last confirmed, the upper bound of the time
            since the store confirmed the new one; None if it never was.
        known: time since this node first heard of a newer version than the one before.
    """

    unconfirmed: float | None
    known: float


class ConfigurationAge:
    """Tracks when the version in force was last confirmed, and when a newer one was heard of.

    Args:
        clock: returns seconds of the node's clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._version = 0
        self._confirmed_at: float | None = None
        self._newer_known_at: float | None = None

    @property
    def unconfirmed(self) -> float | None:
        """Seconds since the version in force was last confirmed; None if it never was."""
        return None if self._confirmed_at is None else self._clock() - self._confirmed_at

    def observe(self, version: int, is_reading: bool) -> None:
        """Handles the version that a node has stated.

        Args:
            version: version that the node holds.
            is_reading: whether the node reads the store.
        """
        if version > self._version and self._newer_known_at is None:
            self._newer_known_at = self._clock()
        if version == self._version and is_reading:
            self._confirmed_at = self._clock()

    def replace(self, version: int) -> VersionDelay:
        """Handles that a newer version came into force; returns how late it is."""
        known_at, self._newer_known_at = self._newer_known_at, None
        self._version = version
        known = 0.0 if known_at is None else self._clock() - known_at
        return VersionDelay(self.unconfirmed, known)

"""Requests whose content breaks targets, counted by fingerprint on all nodes."""

import collections
import dataclasses

from orioleloft_core.effects import Effect, Send
from orioleloft_core.messages import Suspect
from orioleloft_core.settings import Settings

# Bounds the memory; each entry takes a few hundred bytes.
MAX_FINGERPRINTS = 10_000


@dataclasses.dataclass(frozen=True)
class _Record:
    count: int
    until: float


class Suspects:
    """Counts broken targets for each fingerprint and blocks a request at the limit.

    A count is forgotten `suspect_ms` after the last break.
    """

    def __init__(self, settings: Settings) -> None:
        self._limit = settings.requests.suspect_limit
        self._memory_seconds = settings.requests.suspect_ms / 1000
        self._other_seats = [name for name in settings.fleet.names if name != settings.node.name]
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Tells whether the request has broken too many targets to be run again."""
        record = self._records.get(fingerprint)
        return record is not None and record.count >= self._limit and now < record.until

    def record(self, now: float, fingerprint: str) -> list[Effect]:
        """Counts a target that broke during the request and tells each other seat.

        Args:
            now: seconds on the node's clock.
            fingerprint: `Request.fingerprint`.
        """
        count = self._count(now, fingerprint) + 1
        self._store(now, fingerprint, count)
        return [Send(seat, Suspect(fingerprint, count)) for seat in self._other_seats]

    def merge(self, now: float, suspect: Suspect) -> None:
        """Counts a break that another node has seen.

        Each message stands for one new break, so it adds one even when the sender did not know
        of the breaks counted here. The sender's higher count makes up for lost messages.
        """
        count = max(self._count(now, suspect.fingerprint) + 1, suspect.count)
        self._store(now, suspect.fingerprint, count)

    def _count(self, now: float, fingerprint: str) -> int:
        record = self._records.get(fingerprint)
        return record.count if record is not None and now < record.until else 0

    def _store(self, now: float, fingerprint: str, count: int) -> None:
        self._records[fingerprint] = _Record(count, now + self._memory_seconds)
        self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_FINGERPRINTS or self._is_oldest_over(now):
            self._records.popitem(last=False)

    def _is_oldest_over(self, now: float) -> bool:
        return next(iter(self._records.values())).until <= now

"""Requests that crash the targets that run them, counted over all nodes by content."""

import collections
import dataclasses

# Crashes after which a request is not run again. The operators allow three.
CRASH_LIMIT = 2
# A count is forgotten this long after the last crash, in seconds; longer than callers go on
# repeating a request.
MEMORY_S = 60.0
# Bounds the memory; each entry takes a few hundred bytes.
MAX_FINGERPRINTS = 5_000


@dataclasses.dataclass(frozen=True)
class _Record:
    count: int
    until: float


class Crashes:
    """Counts crashed targets for each request content."""

    def __init__(self) -> None:
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Whether a request has crashed too many targets to be run again."""
        return self._count(now, fingerprint) >= CRASH_LIMIT

    def record(self, now: float, fingerprint: str) -> int:
        """Counts a crash that this node has seen; returns the count."""
        count = self._count(now, fingerprint) + 1
        self._store(now, fingerprint, count)
        return count

    def merge(self, now: float, fingerprint: str, count: int) -> None:
        """Takes the count of another node, each message of which stands for one new crash."""
        self._store(now, fingerprint, max(self._count(now, fingerprint) + 1, count))

    def _count(self, now: float, fingerprint: str) -> int:
        record = self._records.get(fingerprint)
        return record.count if record is not None and now < record.until else 0

    def _store(self, now: float, fingerprint: str, count: int) -> None:
        self._records[fingerprint] = _Record(count, now + MEMORY_S)
        self._records.move_to_end(fingerprint)
        while len(self._records) > MAX_FINGERPRINTS:
            self._records.popitem(last=False)

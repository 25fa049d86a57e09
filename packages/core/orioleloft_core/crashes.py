"""Blocking of requests that crash targets, counted by request content over all nodes."""

import collections
import dataclasses

# Crashes after which a request is not run again. The operators allow three.
CRASH_LIMIT = 2
# Time after the last crash for which a count is kept, in seconds; longer than callers go on
# retrying a request.
COUNT_TTL_S = 60.0
# Bounds the memory; each entry takes a few hundred bytes.
MAX_FINGERPRINTS = 5_000


@dataclasses.dataclass(frozen=True)
class _CrashCount:
    """Crashes of one request content, and the time at which the count expires."""

    count: int
    expires_at: float


class CrashTracker:
    """Counts the target crashes caused by each request content."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[str, _CrashCount] = collections.OrderedDict()

    def is_blocked(self, now: float, fingerprint: str) -> bool:
        """Whether a request has crashed too many targets to be run again."""
        return self._count(now, fingerprint) >= CRASH_LIMIT

    def record(self, now: float, fingerprint: str) -> int:
        """Adds a crash that this node has detected; returns the new count."""
        count = self._count(now, fingerprint) + 1
        self._store(now, fingerprint, count)
        return count

    def merge(self, now: float, fingerprint: str, count: int) -> None:
        """Merges the count of another node, which reports each crash with one message."""
        self._store(now, fingerprint, max(self._count(now, fingerprint) + 1, count))

    def _count(self, now: float, fingerprint: str) -> int:
        entry = self._entries.get(fingerprint)
        return entry.count if entry is not None and now < entry.expires_at else 0

    def _store(self, now: float, fingerprint: str, count: int) -> None:
        self._entries[fingerprint] = _CrashCount(count, now + COUNT_TTL_S)
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_FINGERPRINTS:
            self._entries.popitem(last=False)

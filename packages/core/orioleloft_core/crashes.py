"""Blocking of requests that crash targets, from the evidence of all nodes.

A harmful request crashes each target that begins to run it, and comes again with the same content
from the same caller. When a target crashes, any of the requests at work there may be to blame, or
none. The evidence against a request is therefore the set of target processes that crashed while
they ran it, and a complete answer to it clears it. Both sets only grow, so that nodes can merge
their records in any order and any number of times.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from orioleloft_core import hashing


class CrashScope(enum.IntEnum):
    """Which requests share a fingerprint."""

    # Requests of one caller with the same method, host, path and body.
    CALLER = 0
    # Such requests of all callers.
    CONTENT = 1


# Target processes from whose crashes on a request is blocked. The operators allow three crashes;
# a request that several callers send may be a popular one, which is at work at most targets.
CRASH_LIMITS = {CrashScope.CALLER: 2, CrashScope.CONTENT: 3}
# Time after the last crash until one request is let through as a trial, in seconds; it doubles with
# each further crash, so that a harmful request that comes for hours crashes few targets.
BLOCK_S = 60.0
MAX_DOUBLINGS = 4
# Time between two trials of a node, in seconds; a crash is detected and reported well within it.
TRIAL_PERIOD_S = 5.0
# A crash does not count against a request that was answered so recently, in seconds. Several
# targets may crash together for another reason, while no other copy of the request is at work.
RECENT_ANSWER_S = 3.0
# Time after the last crash for which a record is kept, in seconds; longer than the longest block.
RECORD_TTL_S = 1800.0
# Bound of the memory; a record takes about a kilobyte.
MAX_RECORDS = 5_000
# Bound of a record; the oldest processes are dropped.
MAX_PROCESSES = 12


@dataclasses.dataclass(frozen=True)
class RequestFingerprints:
    """Hashes that identify a request when it comes again.

    Attributes:
        caller: hash of method, host, path, body and caller.
        content: hash of method, host, path and body.
    """

    caller: str
    content: str

    def __iter__(self):
        yield CrashScope.CALLER, self.caller
        yield CrashScope.CONTENT, self.content


@dataclasses.dataclass(frozen=True)
class CrashRecord:
    """Evidence on the requests with one fingerprint, as nodes exchange it.

    Attributes:
        fingerprint: hash of the request.
        scope: which requests share the fingerprint.
        crashed: ids of the target processes that crashed while they ran it; see `process_id`.
        cleared: those of them that do not count, as the request was answered afterwards.
        age: time since the last of the crashes, in seconds.
    """

    fingerprint: str
    scope: CrashScope
    crashed: tuple[str, ...]
    cleared: tuple[str, ...]
    age: float


@dataclasses.dataclass(frozen=True)
class CrashReply:
    """What a node knows beyond a record that it has received.

    Attributes:
        record: its own record.
        is_for_all: whether it is news for all nodes and not for the sender alone.
    """

    record: CrashRecord
    is_for_all: bool


@dataclasses.dataclass(frozen=True)
class _Entry:
    """Evidence on one fingerprint; see `CrashRecord`.

    Attributes:
        last_crash_at: time of the last crash, in seconds on the node's clock.
        next_trial_at: time from which a blocked request is let through once.
    """

    scope: CrashScope
    crashed: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    last_crash_at: float = 0.0
    next_trial_at: float = 0.0

    @property
    def suspect_count(self) -> int:
        return len(self.crashed) - len(self.cleared)

    @property
    def is_convicted(self) -> bool:
        return self.suspect_count >= CRASH_LIMITS[self.scope]

    def with_evidence(
        self, crashed: Iterable[str], cleared: Iterable[str], crashed_at: float
    ) -> "_Entry":
        """Returns the entry with more evidence; `crashed_at` is when its last crash took place."""
        all_crashed = tuple(dict.fromkeys((*self.crashed, *crashed, *cleared)))[-MAX_PROCESSES:]
        known = {*self.cleared, *cleared}
        merged = dataclasses.replace(
            self,
            crashed=all_crashed,
            cleared=tuple(process for process in all_crashed if process in known),
        )
        # Records travel between nodes again and again; only a crash that is new here moves the
        # time, or the time that each message takes would prolong the block.
        if set(all_crashed) <= set(self.crashed):
            return merged
        excess = max(0, merged.suspect_count - CRASH_LIMITS[self.scope])
        last_crash_at = max(self.last_crash_at, crashed_at)
        block = BLOCK_S * 2 ** min(excess, MAX_DOUBLINGS)
        return dataclasses.replace(
            merged, last_crash_at=last_crash_at, next_trial_at=last_crash_at + block
        )


def process_id(target_id: str, started_ms: int) -> str:
    """Returns a short hash that identifies one process of a target."""
    return hashing.fingerprint(target_id.encode(), str(started_ms).encode())[:16]


class CrashTracker:
    """Evidence of this node and of the others, and the requests that it blocks."""

    def __init__(self) -> None:
        self._entries: collections.OrderedDict[str, _Entry] = collections.OrderedDict()
        # Fingerprints by the time of their last answer, the newest last.
        self._answered: collections.OrderedDict[str, float] = collections.OrderedDict()

    def is_blocked(self, now: float, fingerprints: RequestFingerprints) -> bool:
        """Whether a request must not be run now."""
        return any(self._is_blocked(now, fingerprint) for _, fingerprint in fingerprints)

    def _is_blocked(self, now: float, fingerprint: str) -> bool:
        entry = self._entry(now, fingerprint)
        return entry is not None and entry.is_convicted and now < entry.next_trial_at

    def start_run(self, now: float, fingerprints: RequestFingerprints) -> bool:
        """Asks to run a request; returns False if it is blocked.

        A run of a request that has crashed too many targets is a trial, which blocks it again for a
        while.
        """
        if self.is_blocked(now, fingerprints):
            return False
        for _, fingerprint in fingerprints:
            entry = self._entry(now, fingerprint)
            if entry is not None and entry.is_convicted:
                self._entries[fingerprint] = dataclasses.replace(
                    entry, next_trial_at=now + TRIAL_PERIOD_S
                )
        return True

    def on_crash(
        self, now: float, fingerprints: RequestFingerprints, process: str
    ) -> tuple[CrashRecord, ...]:
        """Records that a target process crashed while it ran a request.

        Returns:
            The records to report to the other nodes.
        """
        reports = []
        for scope, fingerprint in fingerprints:
            entry = self._entry(now, fingerprint) or _Entry(scope)
            if process in entry.crashed:
                continue
            cleared = (process,) if self._was_answered(now, fingerprint) else ()
            self._store(fingerprint, entry.with_evidence((process,), cleared, now))
            if not cleared:
                reports.append(self._record(now, fingerprint))
        return tuple(reports)

    def on_answer(self, now: float, fingerprints: RequestFingerprints) -> tuple[CrashRecord, ...]:
        """Records that a target has answered a request, which clears it.

        Returns:
            The records to report to the other nodes.
        """
        reports = []
        for _, fingerprint in fingerprints:
            self._answered[fingerprint] = now
            self._answered.move_to_end(fingerprint)
            entry = self._entry(now, fingerprint)
            if entry is not None and entry.suspect_count:
                self._store(fingerprint, entry.with_evidence((), entry.crashed, now))
                reports.append(self._record(now, fingerprint))
        while now - next(iter(self._answered.values())) > RECENT_ANSWER_S:
            self._answered.popitem(last=False)
        return tuple(reports)

    def merge(self, now: float, record: CrashRecord) -> CrashReply | None:
        """Merges the record of another node.

        Returns:
            What that node or all nodes should know beyond it, or None.
        """
        if not 0 <= record.age <= RECORD_TTL_S:
            return None
        fingerprint = record.fingerprint
        own = self._entry(now, fingerprint) or _Entry(record.scope)
        merged = own.with_evidence(record.crashed, record.cleared, now - record.age)
        is_cleared_here = merged.suspect_count and self._was_answered(now, fingerprint)
        if is_cleared_here:
            merged = merged.with_evidence((), merged.crashed, now)
        self._store(fingerprint, merged)
        if is_cleared_here or set(merged.cleared) > set(record.cleared):
            return CrashReply(self._record(now, fingerprint), bool(is_cleared_here))
        return None

    def records(self, now: float, limit: int, only_blocked: bool = False) -> list[CrashRecord]:
        """Returns the newest records with evidence against a request.

        Args:
            now: seconds on the node's clock.
            limit: maximum number of records.
            only_blocked: whether to leave out requests that have not crashed too many targets.
        """
        found: list[CrashRecord] = []
        for fingerprint in reversed(self._entries):
            entry = self._entry(now, fingerprint)
            if len(found) >= limit:
                break
            if entry is not None and (entry.is_convicted if only_blocked else entry.suspect_count):
                found.append(self._record(now, fingerprint))
        return found

    @property
    def blocked_count(self) -> int:
        """Number of fingerprints with more crashes than allowed."""
        return sum(entry.is_convicted for entry in self._entries.values())

    def _was_answered(self, now: float, fingerprint: str) -> bool:
        answered_at = self._answered.get(fingerprint)
        return answered_at is not None and now - answered_at <= RECENT_ANSWER_S

    def _entry(self, now: float, fingerprint: str) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is None or now - entry.last_crash_at > RECORD_TTL_S:
            return None
        return entry

    def _store(self, fingerprint: str, entry: _Entry) -> None:
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)
        while len(self._entries) > MAX_RECORDS:
            self._entries.popitem(last=False)

    def _record(self, now: float, fingerprint: str) -> CrashRecord:
        entry = self._entries[fingerprint]
        return CrashRecord(
            fingerprint, entry.scope, entry.crashed, entry.cleared, now - entry.last_crash_at
        )

"""Time to return for refused callers, from the rate at which work ends and earlier refusals."""

import collections
import copy
import random

from orioleloft_core.returnschedule import MAX_RETURN_S, ReturnSchedule

# Window in which ended and new requests are counted, in seconds.
RATE_WINDOW_S = 2.0
# Maximum number of requests kept in a window.
MAX_WINDOW_REQUESTS = 2000
# Share of the requests that end which is always left to callers that return, also while new
# requests take all the room. Without it, no caller would return until the overload ends.
MIN_RETURN_SHARE = 0.1
# Bounds of the time after which a refused caller returns, in seconds; a queue changes little in
# less than the lower one.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = MAX_RETURN_S
# Least part of the time left after which a caller returns whose answer is late in any case. It is
# recognised as a retry then (`callerretries.MAX_RETRY_TIMEOUT_FRACTION`); taken for a new request,
# it displaced others that could still be answered in time.
MIN_LATE_RETURN_FRACTION = 0.22
# Part of the time that a caller has left in which it returns at the latest, as the answer needs the
# rest.
MAX_RETURN_FRACTION = 0.5
# Least end of the range of the time to return for callers with little time left, in seconds.
SHORT_RETURN_END_S = 1.5 * MIN_RETRY_AFTER_S
# Range of the time to return while no rate is known, in seconds.
UNKNOWN_RATE_RETRY_AFTER_S = (0.4, 1.3)


class _Rate:
    """Events per second in the last `RATE_WINDOW_S`."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque(maxlen=MAX_WINDOW_REQUESTS)

    def add(self, now: float) -> None:
        """Adds an event."""
        self._times.append(now)

    def per_s(self, now: float) -> float:
        """Returns the rate."""
        while self._times and now - self._times[0] >= RATE_WINDOW_S:
            self._times.popleft()
        return len(self._times) / RATE_WINDOW_S


class RefusalReturns:
    """Assigns the refused callers of one service to the room that is left for them.

    Each refused caller gets the next free time of a schedule, so that those refused before it and
    not back yet are counted.

    Args:
        rng: source of the times of callers that are beyond the schedule.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._schedule = ReturnSchedule(rng)
        self._ended = _Rate()
        self._new = _Rate()

    def snapshot(self, rng: random.Random) -> "RefusalReturns":
        """Returns a copy, which can be asked without taking a time of the schedule.

        Args:
            rng: source of random times of the copy.
        """
        return copy.deepcopy(self, {id(self._rng): rng})

    def on_ended(self, now: float) -> None:
        """Counts a request that has ended at a target."""
        self._ended.add(now)

    def on_asked(self, now: float, is_caller_retry: bool) -> None:
        """Counts a request of a caller when it arrives."""
        if not is_caller_retry:
            self._new.add(now)

    def room_per_s(self, now: float) -> float:
        """Returns the callers per second for which there is room when they return."""
        ended = self._ended.per_s(now)
        return max(MIN_RETURN_SHARE * ended, ended - self._new.per_s(now))

    def retry_after(self, now: float, backlog: float, time_left: float) -> float:
        """Returns the seconds after which the caller of a refused request should return.

        Args:
            now: seconds on the node's clock.
            backlog: time in which the queue is worked off, in seconds.
            time_left: time until the caller gives up, without the work, in seconds.
        """
        room = self.room_per_s(now)
        if room <= 0:
            delay = self._rng.uniform(*UNKNOWN_RATE_RETRY_AFTER_S)
        else:
            delay = self._schedule.next_delay(now, room, backlog)
        earliest = max(MIN_RETRY_AFTER_S, MIN_LATE_RETURN_FRACTION * time_left)
        if delay < earliest:
            # Random, as many callers may be refused while there is room for them.
            delay = self._rng.uniform(earliest, 1.3 * earliest)
        latest = MAX_RETURN_FRACTION * time_left
        if delay > latest:
            # Random, so that callers with the same time left do not return together. Half of a
            # short time is less than the least time to return, so the range ends later then.
            end = max(latest, min(time_left, SHORT_RETURN_END_S))
            delay = self._rng.uniform(min(end, max(MIN_RETRY_AFTER_S, latest / 2)), end)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, delay))

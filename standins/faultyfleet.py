"""Rate limits of a fleet of nodes in memory, with lost reports, partitions and restarts."""

import heapq
import itertools
import random

from orioleloft_core.ratelimits import (
    AnswerKind,
    NoRateLimit,
    RateLimit,
    RateLimitNotice,
    RateLimits,
)
from orioleloft_core.registry import RegisteredTarget
from standins.memoryfleet import Arrival


class FaultyFleet:
    """Nodes that send to one target, with delayed and lost reports, partitions and restarts.

    Args:
        seed: seed of all choices.
        limit: limit that the target states from `STATED_FROM_S` on, in requests per second.
        target: registration of the target.

    Attributes:
        arrivals: the requests that reached the target.
    """

    STATED_FROM_S = 2.0
    ENDS_AT_S = 22.0

    def __init__(self, seed: int, limit: float, target: RegisteredTarget) -> None:
        self._target = target
        self.arrivals: list[Arrival] = []
        self._rng = random.Random(seed)
        self._limit = limit
        self._now = 0.0
        self._names = [f"n{i}" for i in range(15)]
        everyone = {name: f"z{int(name[1:]) % 3}" for name in self._names}
        missing = set(self._rng.sample(self._names, 5))
        self._views = [
            everyone,
            {name: zone for name, zone in everyone.items() if name not in missing},
        ]
        self._view_of = {name: self._rng.randrange(2) for name in self._names}
        self._part_of = dict.fromkeys(self._names, 0)
        self._told_at: dict[str, float] = {}
        self._limits = {name: self._start(name) for name in self._names}
        self._order = itertools.count()
        self._events: list = []

    def _start(self, name: str) -> RateLimits:
        return RateLimits(
            name,
            lambda: self._views[self._view_of[name]],
            lambda: int(self._now * 1000) + self._rng.randrange(-2000, 2000) + 10_000,
        )

    def _at(self, delay: float, action, *arguments) -> None:
        heapq.heappush(self._events, (self._now + delay, next(self._order), action, arguments))

    def play(self) -> None:
        """Plays all events until `ENDS_AT_S`."""
        for name in self._names:
            self._at(self._rng.random(), self._send, name)
        self._at(1.0, self._change_fleet)
        while self._events and self._events[0][0] < self.ENDS_AT_S:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _send(self, name: str) -> None:
        self._at(self._rng.expovariate(3.0), self._send, name)
        limits = self._limits[name]
        if not limits.may_send(self._now, self._target):
            return
        limits.on_sent(self._now, self._target)
        told_at = self._told_at.get(name)
        self.arrivals.append(Arrival(self._now, name, False, told_at))
        self._at(self._rng.uniform(0.005, 0.2), self._answer, name, limits, self._now)

    def _answer(self, name: str, limits: RateLimits, sent_at: float) -> None:
        statement = NoRateLimit()
        if self._now >= self.STATED_FROM_S:
            statement = RateLimit(self._limit)
            self._told_at.setdefault(name, self._now)
        notice = limits.observe(self._now, self._target, statement, AnswerKind.RESPONSE, sent_at)
        if notice is None:
            return
        for other in self._names:
            is_lost = self._rng.random() < 0.2 or self._part_of[other] != self._part_of[name]
            if other != name and not is_lost:
                self._at(self._rng.uniform(0.001, 0.3), self._receive, other, notice)

    def _receive(self, name: str, notice: RateLimitNotice) -> None:
        self._limits[name].merge(self._now, notice)

    def _change_fleet(self) -> None:
        """Cuts the network anew, restarts two nodes, and lets one more node change its view."""
        self._at(self._rng.uniform(0.5, 2.0), self._change_fleet)
        parts = self._rng.choice([1, 1, 2, 3])
        self._part_of = {name: self._rng.randrange(parts) for name in self._names}
        for name in self._rng.sample(self._names, 2):
            self._limits[name] = self._start(name)
            # The users excuse a node that has restarted until it is told again.
            self._told_at.pop(name, None)
        self._view_of[self._rng.choice(self._names)] ^= 1

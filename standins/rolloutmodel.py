"""Model of a roll-out's answers, to measure how often the decision errs.

It draws the answers of a whole fleet without nodes and targets: answers of old targets from a pool,
those of new targets one by one. Targets have slow phases that they state late by one request, as
those of the platform do. The decision sees the counts one report period later.
"""

import dataclasses
import functools
import itertools
import math
import random

from orioleloft_core.rolloutevidence import SLOW_FACTOR, EvidenceLedger, EvidenceRow
from orioleloft_core.rollouts import (
    DirectiveAction,
    RolloutFindings,
    RolloutOrder,
    RolloutRun,
    RolloutState,
)

PERIOD_S = 0.25
# Share of the requests that the new version gets.
SHARE = 0.077
# Slow phases of targets: share of the time, factor on service times, length in seconds.
SLOW_SHARE, SLOW_PACE, PHASE_S = 0.3, 4.0, 0.3
# Standard deviation of the logarithm of service times.
DEVIATION = 0.3
MEAN_SERVICE_TIME_S = 0.1
POOL_SIZE = 1 << 14


@dataclasses.dataclass(frozen=True)
class Fault:
    """What is wrong with the new version.

    Attributes:
        failure_share: share of its answers that fail.
        slowdown: factor on its response times.
        slow_share: share of its answers that the factor applies to.
        begins: when it begins, as a share of the time until the switch.
        load_share: share of the answers that come under load; others are good.
        route: the only route that is concerned, or empty for all.
    """

    failure_share: float = 0.0
    slowdown: float = 1.0
    slow_share: float = 1.0
    begins: float = 0.0
    load_share: float = 1.0
    route: str = ""


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A roll-out.

    Attributes:
        fault: what is wrong with the new version.
        rate: requests per second.
        new_targets: number of new targets; one is observed at a time.
        failure_share: share of all answers that fail, old and new.
        slowdown: factor on the response times of all targets.
        grey_targets: new targets that fail half of their requests, whatever their version.
        duration: duration of the order, in seconds.
        routes: weights of the routes.
    """

    fault: Fault = Fault()
    rate: float = 150.0
    new_targets: int = 5
    failure_share: float = 0.0
    slowdown: float = 1.0
    grey_targets: int = 0
    duration: float = 12.0
    routes: tuple[tuple[str, float], ...] = (("a", 0.6), ("b", 0.3), ("c", 0.1))


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a run.

    Attributes:
        state: how the order was decided.
        at: when, in seconds after the order.
        bad_answers: bad answers of the new version.
        after_limit: requests that the new version got more than 5 s after its 50th bad answer.
        reason: reason that the decider gives.
        evidence: greatest logarithm of a likelihood ratio until then.
    """

    state: RolloutState
    at: float
    bad_answers: int
    after_limit: int
    reason: str
    evidence: float


class _Phases:
    """Slow phases of one target, of which each answer states the one of the answer before."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._until = 0.0
        self._pace = 1.0
        self._stated = 1.0

    def log_ratio(self, now: float) -> float:
        """Returns the logarithm of an answer's time over the expected one at the stated pace."""
        while now >= self._until:
            self._until = max(self._until, now - PHASE_S) + PHASE_S
            self._pace = SLOW_PACE if self._rng.random() < SLOW_SHARE else 1.0
        # A node takes the mean of the paces before and in the answer; both may be late.
        ratio = math.log(self._pace / self._stated)
        self._stated = self._pace
        return ratio + self._rng.gauss(0.0, DEVIATION)


@functools.cache
def _pool() -> tuple[list[int], list[int], list[int]]:
    """Returns running sums of old answers: logarithms, their squares, and slow answers."""
    rng = random.Random(1)
    targets = [_Phases(rng) for _ in range(16)]
    logs = [rng.choice(targets).log_ratio(index / 100) for index in range(POOL_SIZE)]
    sums = [round(1000 * log) for log in logs]
    squares = [round(1000 * log * log) for log in logs]
    slow = [int(log >= math.log(SLOW_FACTOR)) for log in logs]
    return tuple([0, *itertools.accumulate(each)] for each in (sums, squares, slow))


class RolloutModel:
    """One run of a scenario.

    Args:
        scenario: the scenario.
        seed: seed of all draws.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._counts: dict[tuple[str, str], list[int]] = {}
        self._phases = [_Phases(self._rng) for _ in range(scenario.new_targets)]
        self._bad_answers = 0
        self._limit_at = math.inf
        self._after_limit = 0
        self._ledger = EvidenceLedger()
        order = RolloutOrder("s", "v2", scenario.duration, 1, 1)
        self._run = RolloutRun(order)
        self._run.on_stored(RolloutState.RUNNING)
        self._fault_at = scenario.fault.begins * 0.7 * scenario.duration

    def run(self) -> Outcome:
        """Runs until the order is decided, or for twice its duration."""
        scenario = self._scenario
        now, evidence = 0.0, 0.0
        while now < 2 * scenario.duration:
            # Counts of this period arrive with the next one.
            self._report()
            self._draw(now)
            now += PERIOD_S
            self._ledger.tick(now)
            verdict = self._ledger.judge(scenario.new_targets)
            evidence = max(evidence, verdict.evidence)
            findings = RolloutFindings(
                elapsed=now,
                is_bad=verdict.is_bad,
                evidence=verdict.evidence,
                doubt=verdict.doubt,
                answers=self._ledger.answers,
                usable_slots=10,
                old_slots=10,
            )
            self._run.step(findings, verdict.text)
            if self._run.phase in ("completing", "rolling_back"):
                break
        state = self._run.wanted_state
        return Outcome(state, now, self._bad_answers, self._after_limit, self._run.reason, evidence)

    def _report(self) -> None:
        self._ledger.merge("n", 1, [EvidenceRow(*key, *row) for key, row in self._counts.items()])

    def _draw(self, now: float) -> None:
        rng, scenario = self._rng, self._scenario
        is_switched = self._run.action is DirectiveAction.SWITCH
        mean = scenario.rate * PERIOD_S
        for route, weight in scenario.routes:
            expected = mean * weight
            new = _poisson(rng, expected * (1.0 if is_switched else SHARE))
            old = 0 if is_switched else _poisson(rng, expected * (1 - SHARE))
            if old:
                self._draw_old(route, old)
            for _ in range(new):
                group = int(now / 0.5)
                index = rng.randrange(scenario.new_targets) if is_switched else group
                self._draw_new(now, route, index % scenario.new_targets)

    def _draw_old(self, route: str, count: int) -> None:
        sums, squares, slow = _pool()
        count = min(count, POOL_SIZE // 2)
        first = self._rng.randrange(POOL_SIZE - count)
        last = first + count
        failures = sum(self._rng.random() < self._scenario.failure_share for _ in range(count))
        shift = round(1000 * math.log(self._scenario.slowdown))
        total = sums[last] - sums[first]
        square = squares[last] - squares[first] + (2 * shift * total + count * shift**2) // 1000
        slow_count = slow[last] - slow[first]
        if self._scenario.slowdown >= SLOW_FACTOR:
            slow_count = max(slow_count, count - slow_count)
        self._add(
            (route, ""), (count, failures, count, slow_count, total + count * shift, square, 0)
        )

    def _draw_new(self, now: float, route: str, index: int) -> None:
        rng, fault, scenario = self._rng, self._scenario.fault, self._scenario
        if now > self._limit_at + 5.0:
            self._after_limit += 1
        is_bad = (
            now >= self._fault_at and fault.route in ("", route) and rng.random() < fault.load_share
        )
        failure_share = scenario.failure_share
        if index < scenario.grey_targets:
            failure_share = max(failure_share, 0.5)
        if is_bad:
            failure_share = max(failure_share, fault.failure_share)
        is_failure = rng.random() < failure_share
        log = self._phases[index].log_ratio(now) + math.log(scenario.slowdown)
        is_slowed = is_bad and fault.slowdown > 1 and rng.random() < fault.slow_share
        if is_slowed:
            log += math.log(fault.slowdown)
        if is_bad and (is_slowed or is_failure and fault.failure_share):
            self._bad_answers += 1
            if self._bad_answers == 50:
                self._limit_at = now
        timed = int(not is_failure)
        is_slow = int(timed and log >= math.log(SLOW_FACTOR))
        values = (1, int(is_failure), timed, is_slow)
        sums = (round(1000 * log), round(1000 * log * log)) if timed else (0, 0)
        self._add((route, f"t{index}"), (*values, *sums, 0))

    def _add(self, key: tuple[str, str], values: tuple[int, ...]) -> None:
        counts = self._counts.setdefault(key, [0] * 7)
        for index, value in enumerate(values):
            counts[index] += value


def _poisson(rng: random.Random, mean: float) -> int:
    """Draws a number of events; exact for small means, rounded normal for large ones."""
    if mean > 30:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count

"""Tail latency of grants against the own-view baseline: `python -m bench.tail`."""

import concurrent.futures
import dataclasses
import random
from collections.abc import Sequence

from bench.figures import Figure
from bench.fleet import BOLETERIA, DASGUPTA, Fleet, Outcomes, Shape, new_histogram
from bench.load import LARGE_CUSTOMER, RAMP_SECONDS, WARM_UP_SECONDS, Load, Mix
from orioleloft_core.settings import RoutingMode

NODES = 17
SETTLE_SECONDS = 1.0
MEASURED_SECONDS = 5.0
# A random target becomes a straggler once a second on average, for up to two seconds.
STRAGGLER_INTERVAL_SECONDS = 1.0
STRAGGLER_SECONDS = (0.5, 2.0)
RESTART_INTERVAL_SECONDS = 2.0
PERCENTILES = (50.0, 99.0, 99.9)
PROCESSES = 4
SEED = 1


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One run.

    Attributes:
        shape: deployment.
        utilisation: mean share of the slots that are busy.
        has_restarts: whether targets restart cold, one every two seconds on average.
        has_large_customer: whether one customer sends ten times what all others send.
    """

    shape: Shape
    utilisation: float
    has_restarts: bool = False
    has_large_customer: bool = False

    @property
    def name(self) -> str:
        """Name of the run in the figures."""
        parts = [self.shape.name, f"{self.utilisation:g}"]
        parts += ["restarts"] if self.has_restarts else []
        parts += ["large-customer"] if self.has_large_customer else []
        return "/".join(parts)


@dataclasses.dataclass(frozen=True)
class Result:
    """What one run showed; times in milliseconds.

    Attributes:
        percentiles: p50, p99 and p99.9 of all answers, refusals included.
        small_p99: p99 of the small customers.
        not_complete: share of the requests that were refused or failed.
        small_not_complete: the same for the small customers.
        met_full: share of the requests that found all slots of their target busy.
        fell_over: cold targets that got more than they could bear.
    """

    percentiles: tuple[float, ...]
    small_p99: float
    not_complete: float
    small_not_complete: float
    met_full: float
    fell_over: int


def run(scenario: Scenario, mode: RoutingMode, seed: int = SEED) -> Result:
    """Runs one scenario in simulated time."""
    fleet = Fleet(scenario.shape, NODES, mode, seed)
    load = Load(fleet, Mix(scenario.utilisation, scenario.has_large_customer), seed)
    begin = WARM_UP_SECONDS + RAMP_SECONDS + SETTLE_SECONDS
    load.start(WARM_UP_SECONDS, RAMP_SECONDS, begin + MEASURED_SECONDS)
    fleet.run_until(begin)
    fleet.outcomes = Outcomes(new_histogram(), {})
    fleet.measured_from = begin
    for target in fleet.targets.values():
        target.met_full = target.arrivals = 0
    disturb(fleet, random.Random(f"disturb/{seed}"), scenario.has_restarts)
    fleet.run_until(begin + MEASURED_SECONDS + 2.0)
    return _result(fleet)


def disturb(fleet: Fleet, rng: random.Random, has_restarts: bool) -> None:
    """Makes random targets stragglers for a while, and restarts some."""
    targets = list(fleet.targets.values())

    def slow_down() -> None:
        target = rng.choice(targets)
        target.is_straggler = True
        fleet.after(rng.uniform(*STRAGGLER_SECONDS), lambda: _recover(target))
        fleet.after(rng.expovariate(1 / STRAGGLER_INTERVAL_SECONDS), slow_down)

    def restart() -> None:
        rng.choice(targets).restart()
        fleet.after(rng.expovariate(1 / RESTART_INTERVAL_SECONDS), restart)

    slow_down()
    if has_restarts:
        restart()


def _recover(target) -> None:
    target.is_straggler = False


def _result(fleet: Fleet) -> Result:
    outcomes = fleet.outcomes
    small = new_histogram()
    for customer, histogram in outcomes.by_customer.items():
        if customer != LARGE_CUSTOMER:
            small.add(histogram)
    sent = max(1, outcomes.sent)
    arrivals = sum(target.arrivals for target in fleet.targets.values())
    return Result(
        tuple(outcomes.latency.get_value_at_percentile(each) / 1000 for each in PERCENTILES),
        small.get_value_at_percentile(99.0) / 1000,
        (outcomes.refused + outcomes.failed) / sent,
        outcomes.small_not_complete / max(1, small.get_total_count()),
        sum(target.met_full for target in fleet.targets.values()) / max(1, arrivals),
        sum(target.fell_over for target in fleet.targets.values()),
    )


SCENARIOS = (
    Scenario(BOLETERIA, 0.5),
    Scenario(BOLETERIA, 0.75),
    Scenario(BOLETERIA, 0.85),
    Scenario(BOLETERIA, 0.6, has_restarts=True),
    Scenario(BOLETERIA, 0.5, has_large_customer=True),
    Scenario(DASGUPTA, 0.5),
    Scenario(DASGUPTA, 0.75),
    Scenario(DASGUPTA, 0.85),
    Scenario(DASGUPTA, 0.6, has_restarts=True),
)


def figures(scenarios: Sequence[Scenario] = SCENARIOS) -> list[Figure]:
    """Runs the scenarios in both modes and compares them."""
    jobs = [(each, mode) for each in scenarios for mode in (RoutingMode.GRANTS, RoutingMode.VIEWS)]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        results = dict(zip(jobs, pool.map(run, *zip(*jobs, strict=True)), strict=True))
    listed: list[Figure] = []
    for scenario in scenarios:
        grants = results[(scenario, RoutingMode.GRANTS)]
        views = results[(scenario, RoutingMode.VIEWS)]
        listed += _compare(scenario, grants, views)
    return listed


def _compare(scenario: Scenario, grants: Result, views: Result) -> list[Figure]:
    name = f"tail/{scenario.name}"
    pairs = zip(PERCENTILES, grants.percentiles, views.percentiles, strict=True)
    listed = [Figure(f"{name}/p{each:g}", one, "ms", two) for each, one, two in pairs]
    listed += [
        Figure(f"{name}/not-complete", grants.not_complete, "share", views.not_complete),
        Figure(f"{name}/met-full-target", grants.met_full, "share", views.met_full),
    ]
    if scenario.has_restarts:
        listed.append(Figure(f"{name}/fell-over", grants.fell_over, "targets", views.fell_over))
    if scenario.has_large_customer:
        small = grants.small_not_complete, views.small_not_complete
        listed.append(Figure(f"{name}/small-p99", grants.small_p99, "ms", views.small_p99))
        listed.append(Figure(f"{name}/small-not-complete", small[0], "share", small[1]))
    return listed


if __name__ == "__main__":
    for figure in figures():
        print(figure.line(), flush=True)

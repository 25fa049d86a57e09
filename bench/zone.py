"""Service while an availability zone leaves and returns: `python -m bench.zone`."""

import collections
import concurrent.futures
import dataclasses
from collections.abc import Sequence

from bench.figures import Figure
from bench.fleet import BOLETERIA, DASGUPTA, Fleet, Shape, catalog_of
from bench.load import RAMP_SECONDS, WARM_UP_SECONDS, Load, Mix
from orioleloft_core.errors import Outcome
from orioleloft_core.settings import RoutingMode

NODES = 17
UTILISATION = 0.6
SETTLE_SECONDS = 2.0
OUT_SECONDS = 6.0
BACK_SECONDS = 6.0
# A request counts as late above this many milliseconds.
LATE_MS = 100.0
# The zone is back in balance when its targets get this part of their share by number.
BALANCE_SHARE = 0.9
SAMPLE_SECONDS = 0.1
SEED = 1


@dataclasses.dataclass
class Second:
    """Requests that arrived within one second of simulated time."""

    complete: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0


@dataclasses.dataclass(frozen=True)
class Result:
    """What one run showed.

    Attributes:
        seconds: by second after the zone's closing was accepted.
        last_request_s: time from acceptance to the last new request into the zone.
        balance_s: time from the return to balance; the whole time if it was not reached.
        fell_over: cold targets of the zone that got more than they could bear.
    """

    seconds: dict[int, Second]
    last_request_s: float
    balance_s: float
    fell_over: int

    def total(self, field: str) -> int:
        """Sums one field over all seconds."""
        return sum(getattr(second, field) for second in self.seconds.values())


def run(shape: Shape, mode: RoutingMode) -> Result:
    """Closes the first zone under load and opens it again with cold targets."""
    fleet = Fleet(shape, NODES, mode, SEED)
    zone = shape.zones[0]
    inside = [each for each in fleet.targets.values() if each.target.zone == zone]
    closed_at = WARM_UP_SECONDS + RAMP_SECONDS + SETTLE_SECONDS
    opened_at = closed_at + OUT_SECONDS
    end = opened_at + BACK_SECONDS
    Load(fleet, Mix(UTILISATION), SEED).start(WARM_UP_SECONDS, RAMP_SECONDS, end)
    seconds: dict[int, Second] = collections.defaultdict(Second)
    fleet.on_answer = lambda arrived, now, outcome: _count(
        seconds[int(arrived - closed_at)], now - arrived, outcome
    )
    fleet.run_until(closed_at)
    seconds.clear()
    fleet.publish(catalog_of(shape, 2, frozenset({zone})))
    fleet.run_until(opened_at)
    last = max(each.last_arrival for each in inside)
    for target in inside:
        target.restart()
    fleet.publish(catalog_of(shape, 3))
    balance = _time_to_balance(fleet, inside, opened_at, end)
    fleet.run_until(end + 2.0)
    fell_over = sum(each.fell_over for each in inside)
    return Result(dict(seconds), max(0.0, last - closed_at), balance, fell_over)


def _count(second: Second, took: float, outcome: Outcome) -> None:
    match outcome:
        case Outcome.COMPLETE:
            second.complete += 1
            second.late += took * 1000 > LATE_MS
        case Outcome.NOT_RUN:
            second.refused += 1
        case Outcome.UNKNOWN:
            second.failed += 1


def _time_to_balance(fleet: Fleet, inside: list, begin: float, end: float) -> float:
    share = len(inside) / len(fleet.targets) * BALANCE_SHARE
    everything = list(fleet.targets.values())
    while fleet.now < end:
        before = sum(each.arrivals for each in inside), sum(each.arrivals for each in everything)
        fleet.run_until(fleet.now + SAMPLE_SECONDS)
        here = sum(each.arrivals for each in inside) - before[0]
        if here >= share * (sum(each.arrivals for each in everything) - before[1]):
            return fleet.now - begin
    return end - begin


def figures(shapes: Sequence[Shape] = (BOLETERIA, DASGUPTA)) -> list[Figure]:
    """Runs both modes on each shape and compares them."""
    jobs = [(shape, mode) for shape in shapes for mode in (RoutingMode.GRANTS, RoutingMode.VIEWS)]
    with concurrent.futures.ProcessPoolExecutor(len(jobs)) as pool:
        results = dict(zip(jobs, pool.map(run, *zip(*jobs, strict=True)), strict=True))
    listed: list[Figure] = []
    for shape in shapes:
        grants, views = (results[(shape, mode)] for mode in (RoutingMode.GRANTS, RoutingMode.VIEWS))
        listed += _compare(f"zone/{shape.name}", grants, views)
    return listed


def _compare(name: str, grants: Result, views: Result) -> list[Figure]:
    listed = [
        Figure(f"{name}/{field}", grants.total(field), "requests", views.total(field))
        for field in ("complete", "late", "refused", "failed")
    ]
    return [
        *listed,
        Figure(f"{name}/last-new-request", grants.last_request_s, "s", views.last_request_s),
        Figure(f"{name}/time-to-balance", grants.balance_s, "s", views.balance_s),
        Figure(f"{name}/fell-over", grants.fell_over, "targets", views.fell_over),
    ]


if __name__ == "__main__":
    for figure in figures():
        print(figure.line(), flush=True)

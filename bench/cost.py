"""Cost of measuring against nodes that each probe and watch: `python -m bench.cost`."""

import os

from bench.figures import Figure
from bench.fleet import DASGUPTA, PLATFORM_SECONDS, PROBE_BYTES, WATCH_SECONDS, Fleet
from bench.load import Load, Mix
from orioleloft_core.settings import RoutingMode

FLEET_SIZES = (5, 17, 19, 60)
LOADED_SIZE = 17
LOADED_UTILISATION = 0.05
SETTLE_SECONDS = 15.0
MEASURED_SECONDS = 20.0
LOADED_SECONDS = 5.0
PROBE_INTERVAL_SECONDS = 1.0
SEED = 1


class Baseline:
    """Each node probes each target once a second and watches the platform by itself.

    It runs beside the nodes on the same clock; probes only read a target's report.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.probes = 0
        self.platform_calls = 0
        self._fleet = fleet
        for _ in fleet.nodes:
            for target_id in fleet.targets:
                self._later(fleet.rng.random() * PROBE_INTERVAL_SECONDS, self._probe, target_id)
            self._later(fleet.rng.random() * WATCH_SECONDS, self._watch)

    def _later(self, delay: float, call, *arguments) -> None:
        self._fleet.after(delay, lambda: call(*arguments))

    def _probe(self, target_id: str) -> None:
        self.probes += 1
        self._fleet.targets[target_id].report()
        self._later(PROBE_INTERVAL_SECONDS, self._probe, target_id)

    def _watch(self) -> None:
        self.platform_calls += 1
        self._later(WATCH_SECONDS + PLATFORM_SECONDS, self._watch)


def figures() -> list[Figure]:
    """Measures fleets in calm, and one fleet under light load."""
    made = []
    for nodes in FLEET_SIZES:
        made += _measure("calm", nodes, 0.0, MEASURED_SECONDS)
    return made + _measure("load", LOADED_SIZE, LOADED_UTILISATION, LOADED_SECONDS)


def _measure(name: str, nodes: int, utilisation: float, seconds: float) -> list[Figure]:
    fleet = Fleet(DASGUPTA, nodes, RoutingMode.GRANTS, SEED)
    if utilisation:
        Load(fleet, Mix(utilisation), SEED).start(SETTLE_SECONDS - 6, 2.0, SETTLE_SECONDS + seconds)
    fleet.run_until(SETTLE_SECONDS)
    baseline = Baseline(fleet)
    probes, calls = sum(fleet.probes.values()), fleet.platform_calls
    fleet.run_until(SETTLE_SECONDS + seconds)
    probe_rate = (sum(fleet.probes.values()) - probes) / seconds
    call_rate = (fleet.platform_calls - calls) / seconds
    base_rate, base_calls = baseline.probes / seconds, baseline.platform_calls / seconds
    targets = len(fleet.targets)
    rows = (
        ("fleet_probes", "1/s", probe_rate, base_rate),
        ("fleet_probe_bytes", "B/s", probe_rate * PROBE_BYTES, base_rate * PROBE_BYTES),
        ("target_probes", "1/s", probe_rate / targets, base_rate / targets),
        (
            "target_probe_bytes",
            "B/s",
            probe_rate * PROBE_BYTES / targets,
            base_rate * PROBE_BYTES / targets,
        ),
        ("platform_calls", "1/s", call_rate, base_calls),
    )
    return [
        Figure(f"cost.{name}.{measure}.{nodes}", value, unit, base)
        for measure, unit, value, base in rows
    ]


def main() -> None:
    print(f"# load average {os.getloadavg()[0]:.2f}")
    for figure in figures():
        print(figure.line(), flush=True)


if __name__ == "__main__":
    main()

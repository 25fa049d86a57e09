"""Open-loop load on a simulated fleet; the intended send time of each request counts."""

import dataclasses
import random

from bench.fleet import Fleet, Shape
from orioleloft_core.request import Request

SMALL_CUSTOMERS = 20
LARGE_CUSTOMER = "large"
# The large customer sends this many times what all others send together.
LARGE_FACTOR = 10
DEADLINE_SECONDS = 2.0
WARM_UP_SECONDS = 12.0
RAMP_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class Mix:
    """Load on a fleet.

    Attributes:
        utilisation: mean share of the slots that are busy, small customers' load only.
        has_large_customer: whether one customer sends ten times what all others send.
    """

    utilisation: float
    has_large_customer: bool = False


class Load:
    """Sends requests to random nodes, one service after its share of the slots."""

    def __init__(self, fleet: Fleet, mix: Mix, seed: int) -> None:
        """Prepares the load; `start` begins to send.

        Args:
            fleet: the fleet, not started.
            mix: load and customers.
            seed: seed of arrivals and choices.
        """
        self._fleet = fleet
        self._mix = mix
        self._rng = random.Random(f"load/{seed}")
        self._number = 0
        self._rates = {
            service.name: count * service.slots / (service.service_ms / 1000)
            for service, count in _services(fleet.shape)
        }
        self._seats = list(fleet.nodes)

    def start(self, begin: float, ramp: float, end: float) -> None:
        """Sends from `begin` to `end`, seconds of simulated time, rising to full over `ramp`."""
        for service, rate in self._rates.items():
            self._schedule(service, rate * self._mix.utilisation, "", begin, ramp, end)
            if self._mix.has_large_customer:
                large = rate * self._mix.utilisation * LARGE_FACTOR
                self._schedule(service, large, LARGE_CUSTOMER, begin, ramp, end)

    def _schedule(
        self, service: str, rate: float, customer: str, begin: float, ramp: float, end: float
    ) -> None:
        def send() -> None:
            now = self._fleet.now
            if now >= end:
                return
            share = min(1.0, max(0.05, (now - begin) / ramp)) if ramp else 1.0
            if self._rng.random() < share:
                self._send(service, customer)
            self._fleet.after(self._rng.expovariate(rate), send)

        self._fleet.after(begin - self._fleet.now, send)

    def _send(self, service: str, customer: str) -> None:
        self._number += 1
        name = customer or f"small-{self._rng.randrange(SMALL_CUSTOMERS):02d}"
        seats = [seat for seat in self._seats if seat in self._fleet.nodes]
        request = Request(
            f"{name}/{self._number}",
            service,
            name,
            "GET",
            f"/{self._number}",
            self._fleet.now + DEADLINE_SECONDS,
        )
        self._fleet.submit(self._rng.choice(seats), request)


def _services(shape: Shape) -> list[tuple]:
    return list(zip(shape.services, shape.endpoints, strict=True))

"""When a second dispatch of an idempotent request is due, and how many there may be."""

from orioleloft_core.settings import Settings

# A dispatch this many times slower than usual has likely met a straggler.
HEDGE_MULTIPLE = 4.0
EWMA_WEIGHT = 0.05
# Hedges that may be saved up while none is needed.
MAX_SAVED_HEDGES = 5.0


class Hedging:
    """Usual service times, and a budget of hedges as a share of requests.

    Args:
        settings: uses `requests.hedge_share`.
    """

    def __init__(self, settings: Settings) -> None:
        self._share = settings.requests.hedge_share
        self._saved = 0.0
        self._usual_ms: dict[str, float] = {}

    def earn(self) -> None:
        """Counts a request."""
        self._saved = min(MAX_SAVED_HEDGES, self._saved + self._share)

    def take(self) -> bool:
        """Takes one hedge from the budget, if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True

    def observe(self, service: str, service_ms: float) -> None:
        """Takes the service time of an answer, in milliseconds."""
        usual = self._usual_ms.get(service, service_ms)
        self._usual_ms[service] = usual + EWMA_WEIGHT * (service_ms - usual)

    def delay(self, service: str) -> float | None:
        """Returns the seconds after which a dispatch may be hedged, or None before any answer."""
        usual = self._usual_ms.get(service)
        return None if usual is None else HEDGE_MULTIPLE * usual / 1000

"""Which targets of a group need a probe, within a fixed budget."""

from collections.abc import Iterable

from orioleloft_core.budget import TokenBucket
from orioleloft_core.catalog import MAX_GROUP_TARGETS
from orioleloft_core.effects import Probe
from orioleloft_core.settings import Settings

# A group that turns idle is probed over a second instead of all at once.
PROBE_BURST = 4


class Prober:
    """Chooses the targets to probe: those without a recent report.

    The budget has two parts: one probe per interval for each target, and a token bucket for the
    group that is sized by the largest group, whatever the node hears.
    """

    def __init__(self, settings: Settings) -> None:
        self._quiet_seconds = settings.routing.probe_after_ms / 1000
        self._interval_seconds = settings.routing.probe_interval_ms / 1000
        self._bucket = TokenBucket(MAX_GROUP_TARGETS / self._interval_seconds, PROBE_BURST)
        self._probed_at: dict[str, float] = {}

    def due(self, now: float, heard_at: Iterable[tuple[str, float | None]]) -> list[Probe]:
        """Returns the probes to send now and counts them as sent.

        Args:
            now: seconds on the node's clock.
            heard_at: target ids with the time of their last report, None if there is none.
        """
        quiet = [
            target_id
            for target_id, heard in heard_at
            if heard is None or now - heard >= self._quiet_seconds
        ]
        waited_longest = sorted(quiet, key=lambda name: self._probed_at.get(name, 0.0))
        probes = []
        for target_id in waited_longest:
            if self._is_resting(now, target_id) or not self._bucket.take(now):
                continue
            self._probed_at[target_id] = now
            probes.append(Probe(target_id))
        return probes

    def forget(self, now: float) -> None:
        """Drops the times that no longer limit a probe."""
        self._probed_at = {
            target_id: at for target_id, at in self._probed_at.items() if self._is_recent(now, at)
        }

    def _is_resting(self, now: float, target_id: str) -> bool:
        probed_at = self._probed_at.get(target_id)
        return probed_at is not None and self._is_recent(now, probed_at)

    def _is_recent(self, now: float, probed_at: float) -> bool:
        return now - probed_at < self._interval_seconds

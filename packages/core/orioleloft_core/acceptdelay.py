"""Speed of targets that report no load, from how long they take to serve a new connection.

A target accepts a connection and reads its first request with the processor that also runs the
other requests, and in one of its slots. The delay of the first answer, less the round trip of the
network, is therefore several times as long while the machine is slow, and longer still while all
slots are busy. Later probes on the same connection do not show this.
"""

import collections

# Delays kept for a service; the oldest one is replaced.
MAX_SAMPLES = 128
# Delays that must be known before targets are compared.
MIN_SAMPLES = 8
# Quantile of the delays that stands for the usual speed. Up to three quarters of the targets may be
# slow, and nearly a quarter may answer implausibly fast.
USUAL_DELAY_QUANTILE = 0.25
# Usual delay below which the estimate would measure the node's own event loop, in seconds.
MIN_USUAL_DELAY_S = 0.0004
# Bound of a single estimate of the slowdown factor.
MAX_ESTIMATED_PACE = 4.0


class AcceptDelays:
    """Delays of first answers on new connections, by service."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}

    def is_informative(self, service: str) -> bool:
        """Whether new connections to a service's targets show their speed, or may show it.

        Args:
            service: name of the service.
        """
        usual = self._usual_delay(service)
        return usual is None or usual >= MIN_USUAL_DELAY_S

    def observe(self, service: str, seconds: float) -> float:
        """Adds a delay and returns the slowdown factor (`pace`) that it indicates.

        Args:
            service: name of the service.
            seconds: time to the first answer on a new connection, less the network round trip.

        Returns:
            1.0 at the usual speed or while that is unknown, more if the target is slower.
        """
        samples = self._samples.setdefault(service, collections.deque(maxlen=MAX_SAMPLES))
        samples.append(max(0.0, seconds))
        usual = self._usual_delay(service)
        if usual is None or usual < MIN_USUAL_DELAY_S:
            return 1.0
        return min(MAX_ESTIMATED_PACE, max(1.0, seconds / usual))

    def _usual_delay(self, service: str) -> float | None:
        samples = self._samples.get(service, ())
        if len(samples) < MIN_SAMPLES:
            return None
        return sorted(samples)[int(len(samples) * USUAL_DELAY_QUANTILE)]

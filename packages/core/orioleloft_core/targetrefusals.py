"""Recognition of targets that refuse all requests although they have free slots.

Such a target is healthy by its probes and refuses at once, so that it looks idle and draws ever
more requests. A refusal by a target whose slots are busy is usual and does not count.
"""

# Failures that the first refusal counts as. Several nodes may have sent to the last slot at once.
FIRST_REFUSAL_WEIGHT = 0.5
# Failures that a further refusal counts as, without an answer between; the target is an outlier
# then (`selection.OUTLIER_FAILURE_SCORE`).
REPEATED_REFUSAL_WEIGHT = 1.5
# Refusing targets of a service from which the first refusal of another one counts in full: with
# many of them, a request would run out of attempts before it met each one twice.
MANY_REFUSING_TARGETS = 3
# Time after which a refusal is forgotten, in seconds. It is longer than the time for which a target
# with the highest failure score is an outlier, so that the next refusal counts in full.
REFUSAL_TTL_S = 10.0
# Targets remembered at most.
MAX_REFUSING_TARGETS = 512


class TargetRefusals:
    """Targets that have refused requests while they had free slots, and have run none since."""

    def __init__(self) -> None:
        self._refused: dict[tuple[str, str], tuple[float, int]] = {}

    def on_refusal(self, now: float, service: str, target_id: str, has_free_slot: bool) -> float:
        """Adds a refusal and returns the failures that it counts as.

        Args:
            now: seconds on the node's clock.
            service: service of the target.
            target_id: id of the target.
            has_free_slot: whether the target had a free slot by its own figures.
        """
        if not has_free_slot:
            return 0.0
        self._refused = {
            key: (at, count)
            for key, (at, count) in self._refused.items()
            if now - at < REFUSAL_TTL_S
        }
        others = sum(count > 1 for key, (_, count) in self._refused.items() if key[0] == service)
        _, count = self._refused.pop((service, target_id), (now, 0))
        if others >= MANY_REFUSING_TARGETS:
            count = max(1, count)
        if len(self._refused) < MAX_REFUSING_TARGETS:
            self._refused[service, target_id] = now, count + 1
        return REPEATED_REFUSAL_WEIGHT if count else FIRST_REFUSAL_WEIGHT

    def on_success(self, service: str, target_id: str) -> None:
        """Forgets the refusals of a target that has run a request."""
        self._refused.pop((service, target_id), None)

"""Detection of requests that their callers have tried before.

A caller retries after its request was rejected or its entry node has died, and then has less time
left. The answer to a retry is late anyway, while a new request can still be answered in time, so
new requests go first under overload. With slots in order of arrival, retries took many of them and
made the answers to new requests late as well.
"""

# A request with a smaller share than this of the longest timeout seen for its route is a retry.
# Callers state nearly the whole time of their route at the first attempt, and retry after 0.4 s or
# more.
MAX_RETRY_TIMEOUT_FRACTION = 0.8
# Time after which the longest timeout of a route is replaced by the next one seen, in seconds.
LONGEST_TIMEOUT_TTL_S = 10.0


class CallerRetryDetector:
    """Tracks the longest timeout that callers of each route state."""

    def __init__(self) -> None:
        self._longest: dict[str, tuple[float, float]] = {}

    def snapshot(self) -> "CallerRetryDetector":
        """Returns a copy, which can be asked without recording a timeout here."""
        copied = CallerRetryDetector()
        copied._longest = dict(self._longest)
        return copied

    def is_caller_retry(self, now: float, route: str, timeout: float) -> bool:
        """Whether a request is most likely a retry of its caller; records its timeout.

        Args:
            now: seconds on the node's clock.
            route: name of the route.
            timeout: time that the caller waits for the answer, in seconds.
        """
        longest, seen_at = self._longest.get(route, (0.0, now))
        if timeout >= longest or now - seen_at > LONGEST_TIMEOUT_TTL_S:
            self._longest[route] = timeout, now
            return False
        return timeout < MAX_RETRY_TIMEOUT_FRACTION * longest

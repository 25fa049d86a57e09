"""Order of pipelined requests: those sent on a connection before earlier ones are answered.

Answers are written in the order of the requests (RFC 9112, section 9.3.2). Idempotent requests run
concurrently, as each would otherwise wait for the targets of all earlier ones. A request that is
not idempotent starts only when all earlier ones are answered, and the next request is not read
until it is answered too.
"""

import collections
import dataclasses
from typing import Any

# Requests of one connection that run concurrently. Callers of the users send up to four at once;
# the limit keeps one connection from taking all slots of a small service.
MAX_CONCURRENT_REQUESTS = 8
# Total body size of a connection's unanswered requests from which no further one is read, in bytes.
MAX_READ_AHEAD_BYTES = 256 * 1024


@dataclasses.dataclass(eq=False)
class PipelinedRequest:
    """A pipelined request.

    Attributes:
        is_idempotent: whether the request may run concurrently with others.
        size: size of its body in bytes.
        answer: its answer, or None before there is one.
    """

    is_idempotent: bool
    size: int
    answer: Any = None


class Pipeline:
    """Queue of a connection's requests that are read and whose answers are not yet written."""

    def __init__(self) -> None:
        self._queue: collections.deque[PipelinedRequest] = collections.deque()

    def __len__(self) -> int:
        return len(self._queue)

    def enqueue(self, is_idempotent: bool, size: int) -> PipelinedRequest:
        """Appends the request that was read last.

        Args:
            is_idempotent: whether it may run more than once.
            size: size of its body in bytes.
        """
        request = PipelinedRequest(is_idempotent, size)
        self._queue.append(request)
        return request

    def may_start(self, request: PipelinedRequest) -> bool:
        """Whether a request may be sent to a target now."""
        return request.is_idempotent or request is self._queue[0]

    def may_read_next(self) -> bool:
        """Whether the next request may be read before the queued ones are answered."""
        if not all(request.is_idempotent for request in self._queue):
            return False
        size = sum(request.size for request in self._queue)
        return len(self._queue) < MAX_CONCURRENT_REQUESTS and size < MAX_READ_AHEAD_BYTES

    def answer(self, request: PipelinedRequest, answer: Any) -> None:
        """Stores the answer to a request until `pop_answer` returns it.

        Args:
            request: the pipelined request.
            answer: its answer, which must not be None.
        """
        request.answer = answer

    def pop_answer(self) -> Any:
        """Removes and returns the answer of the first request, or None if it has none yet."""
        if not self._queue or self._queue[0].answer is None:
            return None
        return self._queue.popleft().answer

    @property
    def head(self) -> PipelinedRequest | None:
        """The first request in the queue, or None if it is empty."""
        return self._queue[0] if self._queue else None

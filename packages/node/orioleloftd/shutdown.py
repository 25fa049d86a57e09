"""Steps of the graceful shutdown: announcements, the end of connections, and the last answers."""

import asyncio
from collections.abc import Awaitable, Callable

from orioleloft_core.stopping import GracefulShutdown
from orioleloftd.frontend import CallerServer
from orioleloftd.requestcontext import CallerReply

# Interval between the announcements of a node that is stopping, in seconds, and how often the first
# one is repeated: at a packet loss of 3 in 100 all of them are lost for one node in a million. Ping
# answers carry the same flag.
LEAVE_ANNOUNCE_PERIOD_S = 0.2
LEAVE_ANNOUNCE_REPEATS = 3
# Interval in which the phases of the shutdown are checked, in seconds.
POLL_PERIOD_S = 0.05
# Time for the answers to requests that are in flight when the process must exit, in seconds.
LAST_ANSWER_S = 0.05


class ShutdownSequence:
    """Runs the phases of a graceful shutdown.

    Args:
        shutdown: tells the phases by the time.
        caller_server: serves callers.
        announce: announces to the other nodes that this one leaves.
        clock: seconds on the node's clock.
    """

    def __init__(
        self,
        shutdown: GracefulShutdown,
        caller_server: CallerServer,
        announce: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._shutdown = shutdown
        self._caller_server = caller_server
        self._announce = announce
        self._clock = clock
        self._exit_timeouts: set[asyncio.Timeout] = set()

    async def run(self) -> None:
        """Runs the shutdown, which has begun, until the process can exit."""
        announcements = asyncio.get_running_loop().create_task(self._repeat_announcement())
        while not self._shutdown.is_draining(self._clock()):
            await asyncio.sleep(POLL_PERIOD_S)
        self._caller_server.stop()
        self._caller_server.close_idle_connections()
        while not self._shutdown.is_finished(self._clock(), self._caller_server.open_requests):
            await asyncio.sleep(POLL_PERIOD_S)
        announcements.cancel()
        await self._answer_open_requests()

    async def _repeat_announcement(self) -> None:
        for _ in range(LEAVE_ANNOUNCE_REPEATS):
            await asyncio.sleep(LEAVE_ANNOUNCE_PERIOD_S)
            self._announce()

    async def until_exit(self, reply: Awaitable[CallerReply]) -> CallerReply | None:
        """Waits for the reply to a request; returns None if the process must exit before."""
        try:
            async with asyncio.timeout(None) as exit_timeout:
                self._exit_timeouts.add(exit_timeout)
                return await reply
        except TimeoutError:
            return None
        finally:
            self._exit_timeouts.discard(exit_timeout)

    async def _answer_open_requests(self) -> None:
        for exit_timeout in self._exit_timeouts:
            exit_timeout.reschedule(asyncio.get_running_loop().time())
        if self._exit_timeouts:
            await asyncio.sleep(LAST_ANSWER_S)

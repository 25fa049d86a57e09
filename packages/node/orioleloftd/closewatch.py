"""Notices that a caller closes a connection on which nothing is read.

The event loop notices the end of a connection by reading it. That shows nothing while received
bytes are left unread, for instance a request that waits for the answer to the one before it. The
kernel reports the end of the stream apart from its bytes, and a reset as well.
"""

import asyncio
import dataclasses
import logging
import select
import socket
from collections.abc import Callable

from orioleloftd.logs import log_event

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, eq=False)
class Watch:
    """One connection that is watched.

    Attributes:
        descriptor: file descriptor of its socket.
        callback: called once when the caller has closed it.
    """

    descriptor: int
    callback: Callable[[], None]


class CloseWatcher:
    """Watches connections until their callers close them; one for each event loop."""

    def __init__(self) -> None:
        self._epoll: select.epoll | None = None
        self._watches: dict[int, Watch] = {}

    @property
    def count(self) -> int:
        """Number of connections that are watched."""
        return len(self._watches)

    def watch(self, connection: socket.socket, callback: Callable[[], None]) -> Watch | None:
        """Begins to watch a connection.

        Args:
            connection: socket of the connection.
            callback: called once when the caller has closed the connection or its sending side.

        Returns:
            The watch, or None if the connection cannot be watched.
        """
        descriptor = connection.fileno()
        if descriptor < 0:
            return None
        watch = Watch(descriptor, callback)
        try:
            if self._epoll is None:
                self._epoll = select.epoll()
                asyncio.get_running_loop().add_reader(self._epoll.fileno(), self._on_events)
            # A descriptor of a closed socket is no longer registered, and may be in use again.
            if descriptor in self._watches:
                self.end(self._watches[descriptor])
            self._epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLONESHOT)
        except OSError as error:
            log_event(_log, "connection not watched", logging.WARNING, reason=str(error))
            return None
        self._watches[descriptor] = watch
        return watch

    def end(self, watch: Watch | None) -> None:
        """Ends a watch; does nothing if it has ended or is None."""
        if watch is None or self._watches.get(watch.descriptor) is not watch:
            return
        del self._watches[watch.descriptor]
        try:
            self._epoll.unregister(watch.descriptor)
        except OSError:
            # The socket was closed, which has ended its registration.
            return

    def _on_events(self) -> None:
        for descriptor, _ in self._epoll.poll(0):
            watch = self._watches.get(descriptor)
            if watch is not None:
                self.end(watch)
                watch.callback()

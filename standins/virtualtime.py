"""Event loop with a virtual clock, on which sleeping takes no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the clock of the loop where it would wait; no file becomes ready meanwhile."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Returns the files that are ready, without waiting for others."""
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock starts at 0 and jumps to the next timer when no task can run."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine on a new loop with a virtual clock and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)

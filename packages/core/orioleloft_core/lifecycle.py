"""Lifecycle of a node, interpreted from a state chart in a file."""

import functools
import pathlib

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

STARTING = "starting"
SERVING = "serving"
LEAVING = "leaving"
DRAINING = "draining"
STOPPED = "stopped"

# In the order in which a node passes through them; a node never goes back.
STATES = (STARTING, SERVING, LEAVING, DRAINING, STOPPED)


@functools.cache
def load_chart(name: str) -> Statechart:
    """Reads the state chart `<name>.yaml` of this package.

    Raises:
        sismic.exceptions.StatechartError: the file is not a valid state chart.
    """
    path = pathlib.Path(__file__).with_name(f"{name}.yaml")
    return import_from_yaml(filepath=str(path))


class NodeLifecycle:
    """State of one node."""

    def __init__(self) -> None:
        self._chart = load_chart("node")
        self._interpreter = Interpreter(self._chart)
        self._interpreter.execute()
        self._state = self._read_state()

    @property
    def state(self) -> str:
        """The state: one of `STATES`."""
        return self._state

    def handle(self, event: str) -> None:
        """Takes an event; one that the state has no transition for changes nothing.

        Args:
            event: `ready`, `stop`, `lifetime_over` or `idle`.

        Raises:
            ValueError: the chart knows no such event.
        """
        if event not in self._chart.events_for():
            known = ", ".join(sorted(self._chart.events_for()))
            raise ValueError(f"unknown lifecycle event {event!r}. Use one of: {known}.")
        self._interpreter.queue(event).execute()
        self._state = self._read_state()

    def _read_state(self) -> str:
        active = set(self._interpreter.configuration) & set(STATES)
        return active.pop()

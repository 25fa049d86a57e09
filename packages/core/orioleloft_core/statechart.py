"""Interpreter of flat state charts in JSON files.

sismic takes 0.1 s to import and 100 us an event, which a node that restarts cannot afford.
"""

import functools
import json
import pathlib


@functools.cache
def _load(name: str) -> tuple[str, dict[str, dict[str, str]]]:
    path = pathlib.Path(__file__).with_name(f"{name}.json")
    chart = json.loads(path.read_text())
    states = chart["states"]
    targets = {target for events in states.values() for target in events.values()}
    unknown = (targets | {chart["initial"]}) - set(states)
    if unknown:
        raise ValueError(f"{path.name} names states that it does not define: {sorted(unknown)}.")
    return chart["initial"], states


class StateChart:
    """State of one chart.

    Args:
        name: the file's name without its ending.
    """

    def __init__(self, name: str) -> None:
        self._state, self._states = _load(name)

    @property
    def state(self) -> str:
        """The state."""
        return self._state

    def handle(self, event: str) -> bool:
        """Takes an event; returns whether the state has a transition for it."""
        target = self._states[self._state].get(event)
        if target is None:
            return False
        self._state = target
        return True

"""The decisions of one entry node: events in, effects out.

This first form routes on the node's own view only.
"""

import dataclasses
import random

from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import Answer, Dispatch, Effect, ReadHead, Stopped
from orioleloft_core.errors import Code, Outcome
from orioleloft_core.events import (
    DispatchFinished,
    Event,
    HeadRead,
    RequestArrived,
    StopRequested,
    Tick,
)
from orioleloft_core.request import DispatchResult, Ending, Reply, Request, error_reply
from orioleloft_core.settings import Settings
from orioleloft_core.status import NodeStatus

READ_INTERVAL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class EntryAddress:
    """One address of an answer to a caller."""

    address: str
    zone: str
    key_prefix: str


class Node:
    """Routes requests to the target with the fewest own requests of two chosen at random."""

    def __init__(
        self, settings: Settings, incarnation: str, started_ms: int, rng: random.Random
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._rng = rng
        self._catalog = Catalog()
        self._is_reading = False
        self._next_read = 0.0
        self._running: dict[str, tuple[Request, str]] = {}
        self._is_stopping = False

    @property
    def catalog(self) -> Catalog:
        """Catalog in force on this node."""
        return self._catalog

    @property
    def state(self) -> str:
        """Lifecycle state."""
        return "serving" if self._catalog.version else "starting"

    def handle(self, now: float, event: Event) -> list[Effect]:
        """Takes one event and returns what is to be done."""
        match event:
            case RequestArrived(request):
                return self._start(request)
            case DispatchFinished(dispatch_id, result):
                return self._finish(dispatch_id, result)
            case HeadRead(catalog):
                self._is_reading = False
                self._catalog = catalog or self._catalog
            case StopRequested():
                self._is_stopping = True
            case Tick() if self._is_stopping and not self._running:
                return [Stopped()]
            case Tick() if not self._is_reading and now >= self._next_read:
                self._is_reading = True
                self._next_read = now + READ_INTERVAL_SECONDS
                return [ReadHead(self._catalog.version)]
        return []

    def may_start(self, now: float, dispatch_id: str) -> bool:
        """Tells whether a dispatch may send its first byte at this moment."""
        request, target_id = self._running[dispatch_id]
        return now < request.deadline and self._catalog.accepts_new_work(target_id)

    def addresses(self, now: float, zone: str) -> tuple[EntryAddress, ...]:
        """Returns the own address."""
        node = self._settings.node
        return (EntryAddress(node.listen_address, node.zone, ""),)

    def status(self, now: float) -> NodeStatus:
        """Returns the node's state for operators."""
        node = self._settings.node
        return NodeStatus(
            node.name, self._incarnation, node.zone, self.state, self._catalog.version, 0
        )

    def _start(self, request: Request) -> list[Effect]:
        candidates = [
            target.id
            for target in self._catalog.targets
            if target.service == request.service and self._catalog.accepts_new_work(target.id)
        ]
        if not candidates:
            reply = error_reply(Code.UNKNOWN_SERVICE, f"no target of {request.service!r}.")
            return [Answer(request.id, reply)]
        chosen = self._rng.sample(candidates, min(2, len(candidates)))
        busy = [target_id for _, target_id in self._running.values()]
        target_id = min(chosen, key=busy.count)
        self._running[request.id] = (request, target_id)
        return [Dispatch(request.id, target_id, request)]

    def _finish(self, dispatch_id: str, result: DispatchResult) -> list[Effect]:
        request, _ = self._running.pop(dispatch_id)
        match result.ending:
            case Ending.ANSWERED:
                outcome = Outcome.COMPLETE
                reply = Reply(result.status, outcome, headers=result.headers, body=result.body)
            case Ending.SHED | Ending.NOT_SENT:
                reply = error_reply(Code.TARGET_SHED, "the target refused the request.")
            case _:
                reply = error_reply(Code.TARGET_BROKE_OFF, "the target gave no answer.")
        return [Answer(request.id, reply)]

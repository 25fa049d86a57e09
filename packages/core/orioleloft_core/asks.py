"""Asks that holders have not decided yet."""

from orioleloft_core.effects import Effect, Send
from orioleloft_core.flow import Flow, OpenAsk
from orioleloft_core.holders import Holders
from orioleloft_core.messages import Ask, Withdraw


class Asks:
    """Opens and closes asks; a request has at most one open ask.

    Args:
        incarnation: own incarnation; makes the ids of asks unique.
        holders: counts the asks of each group.
    """

    def __init__(self, incarnation: str, holders: Holders) -> None:
        self._incarnation = incarnation
        self._holders = holders
        self._open: dict[str, OpenAsk] = {}
        self._number = 0

    def open(self, now: float, flow: Flow, group: str, seat: str, is_hedge: bool) -> list[Effect]:
        """Asks the holder on a seat for a grant."""
        self._number += 1
        ask_id = f"{self._incarnation}-{self._number}"
        flow.ask = OpenAsk(flow, ask_id, seat, group, now, is_hedge)
        self._open[ask_id] = flow.ask
        self._holders.count(group, 1)
        request = flow.request
        running = {attempt.permit.target_id for attempt in flow.attempts.values()}
        message = Ask(
            ask_id,
            group,
            request.customer,
            max(1, round((request.deadline - now) * 1000)),
            request.fingerprint,
            tuple(sorted(flow.excluded | running)),
        )
        return [Send(seat, message)]

    def get(self, seat: str, ask_id: str) -> OpenAsk | None:
        """Returns the open ask with the id at the seat, if there is one."""
        ask = self._open.get(ask_id)
        return ask if ask is not None and ask.seat == seat else None

    def close(self, seat: str, ask_id: str) -> OpenAsk | None:
        """Returns the ask that the seat has decided, and forgets it."""
        ask = self.get(seat, ask_id)
        if ask is None:
            return None
        del self._open[ask_id]
        ask.flow.ask = None
        self._holders.count(ask.group, -1)
        return ask

    def withdraw(self, flow: Flow) -> list[Effect]:
        """Closes the request's open ask, if any, and tells the holder."""
        ask = flow.ask
        if ask is None:
            return []
        self.close(ask.seat, ask.ask_id)
        return [Send(ask.seat, Withdraw(ask.ask_id))]

"""Waiting asks of a group in the order of weighted customer shares."""

import bisect
import dataclasses

from orioleloft_core.messages import Ask


@dataclasses.dataclass(slots=True, eq=False)
class WaitingAsk:
    """An ask that waits for a slot; only the queue changes it.

    Attributes:
        seat: seat that asked.
        ask: the ask.
        deadline: time after which the ask is of no use, seconds on the holder's clock.
        start: start tag of the fair queue; lower is served first.
        number: order of arrival among equal start tags.
    """

    seat: str
    ask: Ask
    deadline: float
    start: float
    number: int


class _Share:
    """One customer's use of the queue."""

    __slots__ = ("asks", "finish", "weight")

    def __init__(self, weight: int) -> None:
        self.weight = weight
        self.asks: list[WaitingAsk] = []
        self.finish = 0.0

    @property
    def waiting(self) -> int:
        """Number of waiting asks."""
        return len(self.asks)


class FairQueue:
    """Start-time fair queueing over customers, with the largest use of the queue dropped first.

    Each ask costs `1 / weight` of virtual time. The virtual time also advances by one part of the
    waiting weights with each ask taken. Otherwise an endless flow of new customers, which all
    start at the virtual time, would pass a customer that already waits.

    The queue is a sorted list. It holds at most several hundred asks, for which moving the tail
    of a list is faster than a heap, and it can be read in order.
    """

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, WaitingAsk]] = []
        self._by_id: dict[tuple[str, str], WaitingAsk] = {}
        self._shares: dict[str, _Share] = {}
        self._waiting_weight = 0
        self._virtual_time = 0.0
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._entries)

    def in_order(self) -> list[WaitingAsk]:
        """Returns the waiting asks, the next to be served first."""
        return [entry[2] for entry in self._entries]

    def find(self, seat: str, ask_id: str) -> WaitingAsk | None:
        """Returns the waiting ask of a seat, or None."""
        return self._by_id.get((seat, ask_id))

    def add(self, seat: str, ask: Ask, deadline: float, weight: int) -> None:
        """Appends an ask to its customer's share."""
        share = self._shares.setdefault(ask.customer, _Share(weight))
        if not share.asks:
            share.weight = weight
            self._waiting_weight += weight
        start = max(self._virtual_time, share.finish)
        share.finish = start + 1 / share.weight
        self._arrivals += 1
        waiting = WaitingAsk(seat, ask, deadline, start, self._arrivals)
        share.asks.append(waiting)
        self._insert(waiting)
        self._by_id[seat, ask.ask_id] = waiting

    def take(self, waiting: WaitingAsk) -> None:
        """Removes an ask that is served."""
        step = 1 / self._waiting_weight
        self._virtual_time = max(self._virtual_time + step, waiting.start)
        self._drop(waiting)

    def remove(self, waiting: WaitingAsk) -> None:
        """Removes an ask that is not served.

        The later asks of its customer move up by one. Otherwise a customer whose asks time out
        would be charged for them and wait even longer.
        """
        share = self._shares[waiting.ask.customer]
        start = waiting.start
        later = share.asks[share.asks.index(waiting) + 1 :]
        self._drop(waiting)
        for ask in later:
            self._delete(ask)
            ask.start, start = start, ask.start
            self._insert(ask)
        share.finish = start

    def ahead_of(self, customer: str, weight: int) -> float:
        """Returns how many asks are expected to be served before a new ask of the customer."""
        share = self._shares.get(customer)
        waiting = share.waiting if share is not None else 0
        others = self._waiting_weight - (share.weight if waiting else 0)
        return min(len(self._entries), waiting * (others + weight) / weight)

    def overdrawn(self, customer: str, weight: int) -> WaitingAsk | None:
        """Returns the ask to drop so that a new ask of the customer fits.

        It is the newest ask of the customer with the largest use for its weight. None means that
        the asking customer itself would have the largest use.
        """
        share = self._shares.get(customer)
        use = ((share.waiting if share is not None else 0) + 1) / weight
        largest = max(self._shares, key=self._use, default=customer)
        if largest == customer or self._use(largest) <= use:
            return None
        return self._shares[largest].asks[-1]

    def is_shared(self, customer: str) -> bool:
        """Tells whether the customer and another one have waiting asks."""
        share = self._shares.get(customer)
        return share is not None and 0 < share.waiting < len(self._entries)

    def forget(self) -> None:
        """Drops the shares of customers that no longer wait and have no advance."""
        self._shares = {
            customer: share
            for customer, share in self._shares.items()
            if share.waiting or share.finish > self._virtual_time
        }

    def _use(self, customer: str) -> float:
        share = self._shares[customer]
        return share.waiting / share.weight

    def _insert(self, waiting: WaitingAsk) -> None:
        bisect.insort(self._entries, (waiting.start, waiting.number, waiting))

    def _delete(self, waiting: WaitingAsk) -> None:
        del self._entries[bisect.bisect_left(self._entries, (waiting.start, waiting.number))]

    def _drop(self, waiting: WaitingAsk) -> None:
        self._delete(waiting)
        del self._by_id[waiting.seat, waiting.ask.ask_id]
        share = self._shares[waiting.ask.customer]
        share.asks.remove(waiting)
        if not share.asks:
            self._waiting_weight -= share.weight
        if not self._entries:
            self._shares.clear()

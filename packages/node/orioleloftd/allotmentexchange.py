"""Exchange of allotment tokens between nodes: timers, datagrams, requests that wait for a token.

Nothing is sent and no task runs unless the settings bound allotments and a tenant has one.
"""

import asyncio
import collections
import dataclasses
import logging
import math
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from orioleloft_core.allotmentclient import (
    ANSWER_TIMEOUT_S,
    ASK_PERIOD_S,
    REPEAT_S,
    START_RETRY_S,
    AllotmentClient,
    AllotmentState,
    Ask,
    Exceeded,
    Outcome,
    Taken,
    Unavailable,
)
from orioleloft_core.allotmentparts import LEASE_S, PartRegister
from orioleloft_core.allotments import (
    HOLDER_DELAY_S,
    NEW_HOLDER_DELAY_S,
    RESUME_WINDOW_S,
    AllotmentHolder,
    HolderView,
)
from orioleloft_core.entrysettings import AllotmentBounds
from orioleloft_core.errors import ErrorCode
from orioleloft_core.fleet import Fleet
from orioleloft_core.messages import (
    AllotmentAnswer,
    AllotmentParts,
    AllotmentQuestion,
    NodeList,
    OutgoingDatagram,
)
from orioleloft_core.routes import Tenant
from orioleloftd.allotmentparts import PartKeeper, PartStore
from orioleloftd.logs import log_event
from orioleloftd.requestcontext import Rejection
from orioleloftd.storesync import StoreError

# Time for which a request waits for a token at most, in seconds; the second one applies while this
# node starts, when holders start as well.
MAX_WAIT_S = ANSWER_TIMEOUT_S
MAX_START_WAIT_S = 0.15
# Time that is kept for the answer to a request whose deadline ends its wait, in seconds.
ANSWER_MARGIN_S = 0.02
# Maximum number of requests that wait for tokens; further ones are refused without a wait.
MAX_WAITING_REQUESTS = 300
# Interval between reads of the registered nodes at the start while the store does not answer, in
# seconds.
START_READ_PERIOD_S = 0.1
# Interval between checks whether this node should hold a zone's part, in seconds.
CONFIRM_PERIOD_S = 1.0
# Time after its start from which a node holds a part although it cannot read the registered nodes,
# in seconds. By then, pings have told it of the nodes that are alive.
UNREADABLE_STORE_DELAY_S = 6.0
# Interval between log lines on the refusals of a tenant, in seconds, and the maximum number of
# tenants that are logged in each.
LOG_PERIOD_S = 1.0
MAX_LOGGED_TENANTS = 20
# Value for a deployment without allotments, in which nothing reads it.
_NO_BOUNDS = AllotmentBounds(window=5.0, overage=0.1, slack=20.0)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(eq=False)
class Admitted:
    """The request may wait for a target.

    Attributes:
        token: token of the request, or None if its tenant has no allotment.
        tenant: name of the tenant whose token it is.
    """

    token: Taken | None = None
    tenant: str = ""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request must not run.

    Attributes:
        code: error code of the reply.
        reason: description of the error.
        retry_after: seconds after which the caller may retry.
    """

    code: ErrorCode
    reason: str
    retry_after: float


class AllotmentGate(Protocol):
    """Admits the requests of tenants within their allotments."""

    async def admit(self, tenant: Tenant | None, deadline: float = math.inf) -> Admitted | Refused:
        """Takes a token for a request, after its key has been checked."""

    async def spend(
        self, tenant: Tenant | None, admitted: Admitted, deadline: float
    ) -> Refused | None:
        """Spends the token of a request before an attempt; returns a refusal if there is none."""

    def on_not_run(self, admitted: Admitted) -> None:
        """Gives back the token of a request that was not run."""


@dataclasses.dataclass(frozen=True, eq=False)
class AllotmentPermit:
    """Permit of one request; implements `requestcontext.DispatchPermit`.

    Attributes:
        gate: gate that has admitted the request.
        admitted: its token.
        deadline: when the caller gives up, in seconds on the node's clock.
    """

    gate: AllotmentGate
    admitted: Admitted
    deadline: float

    async def spend(self, tenant: Tenant | None) -> Rejection | None:
        """See `requestcontext.DispatchPermit`."""
        refused = await self.gate.spend(tenant, self.admitted, self.deadline)
        if refused is None:
            return None
        return Rejection(refused.code, refused.reason, refused.retry_after)


@dataclasses.dataclass
class _Refusals:
    """Refused requests of one tenant since its last log line."""

    exceeded: int = 0
    unavailable: int = 0
    retry_after: float = 0.0


class AllotmentExchange:
    """Client and holder of allotments of one node; implements `AllotmentGate`.

    Args:
        bounds: how far tenants may exceed their allotments; None if there are no allotments.
        fleet: membership.
        store: registered nodes, and assignments of parts.
        has_seeds: whether the settings name other nodes.
        send: sends datagrams.
        count: increments a counter.
        spawn: runs a coroutine as a background task.
        clock: returns seconds of the node's clock.
        rng: random number generator.
    """

    def __init__(
        self,
        *,
        bounds: AllotmentBounds | None,
        fleet: Fleet,
        store: PartStore,
        has_seeds: bool,
        send: Callable[[list[OutgoingDatagram]], object],
        count: Callable[..., None],
        spawn: Callable[[Awaitable[None]], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._is_enabled = bounds is not None
        self._fleet = fleet
        self._store = store
        self._has_seeds = has_seeds
        self._send = send
        self._count = count
        self._spawn = spawn
        self._clock = clock
        bounds = bounds or _NO_BOUNDS
        own = fleet.own_state
        self._name = own.name
        self._zone = own.zone
        self._register = PartRegister()
        self._view = HolderView(lambda: self._fleet.zones, lambda: self._register.holders)
        self._holder = AllotmentHolder(own.name, self._view, bounds)
        self._parts = PartKeeper(
            holder=self._holder,
            view=self._view,
            register=self._register,
            fleet=fleet,
            store=store,
            send=send,
            spawn=spawn,
            clock=clock,
        )
        self._client = AllotmentClient(
            own.name,
            own.incarnation,
            own.host,
            own.zone,
            self._view,
            bounds,
            rng,
            clock(),
            self._parts.holder_due,
        )
        self._started_at = clock()
        self._start_read_ended = asyncio.Event()
        self._is_start_read_due = False
        self._is_new = False
        self._waiting_count = 0
        self._is_retry_due = False
        self._is_active = False
        self._is_running = False
        self._is_confirming = False
        self._is_keeping = False
        self._is_flush_due = False
        self._was_holding = False
        self._logged_at = 0.0
        self._waiters: dict[str, collections.deque[asyncio.Future]] = {}
        self._refusals: dict[str, _Refusals] = {}

    @property
    def gauges(self) -> dict[str, float]:
        """Metrics of this node: its unspent tokens, and whether it grants those of its zone."""
        if not self._is_enabled:
            return {}
        return {
            "allotment_tokens": self._client.outstanding(self._clock()),
            "allotment_holder": self.is_holding,
            "allotment_lease_seconds": self._holder.lease_left(self._clock()),
        }

    @property
    def is_holding(self) -> bool:
        """Whether this node grants the tokens of its zone."""
        return self._is_active and self._holder.is_holding(self._clock())

    def start(self) -> None:
        """Begins to read the registered nodes, while the node reads the rest of its state."""
        if self._is_enabled:
            self._is_start_read_due = True
            self._spawn(self._read_at_start())

    def adopt(self, tenants: Iterable[Tenant]) -> None:
        """Adopts the tenants of the table in force; starts the tasks if one has an allotment."""
        if not self._is_enabled:
            return
        limited = [tenant for tenant in tenants if tenant.is_limited]
        if not limited and not self._is_active:
            return
        now = self._clock()
        self._is_active = bool(limited)
        self._holder.adopt(now, limited)
        self._client.adopt(now, limited)
        for name in list(self._waiters):
            self._settle(name)
        if self._is_active and not self._is_running:
            self._is_running = True
            self._spawn(self._run())
        if self._is_active and not self._is_keeping:
            self._is_keeping = True
            self._spawn(self._keep_parts())
        if self._is_active and not self._is_confirming:
            self._is_confirming = True
            self._spawn(self._confirm_holder())

    def stop(self) -> None:
        """Leaves the parts that this node holds to others, as the node is about to stop."""
        if self._is_enabled:
            self._parts.release()

    def note_era(self, era: int) -> None:
        """Notes the era of the store; see `PartKeeper.note_era`."""
        if self._is_active:
            self._parts.note_era(era)

    # Requests; see `AllotmentGate`.

    async def admit(self, tenant: Tenant | None, deadline: float = math.inf) -> Admitted | Refused:
        """Takes a token for a request; waits for one for up to `MAX_WAIT_S`.

        Args:
            tenant: tenant of the request, or None.
            deadline: when the caller gives up, in seconds on the node's clock.
        """
        if not self._needs_token(tenant):
            return Admitted()
        outcome = self._client.take(self._clock(), tenant.name)
        if isinstance(outcome, Ask):
            outcome = await self._wait(tenant.name, deadline)
        now = self._clock()
        if isinstance(outcome, Exceeded):
            outcome = self._client.admit_without_token(now, tenant.name) or outcome
        if not isinstance(outcome, Taken):
            return self._refuse(tenant.name, outcome)
        self._client.hold(now, tenant.name, outcome)
        return Admitted(outcome, tenant.name)

    def peek(self, tenant: Tenant | None) -> tuple[AllotmentState, float | None] | None:
        """Returns what `admit` would find, without taking a token or asking a holder.

        Returns:
            The state at this node, and the tokens left in the zone's part if this node holds it;
            None if the request needs no token.
        """
        if tenant is None or not self._is_active:
            return None
        now = self._clock()
        state = self._client.peek(now, tenant.name)
        return None if state is None else (state, self._holder.available(now, tenant.name))

    def _needs_token(self, tenant: Tenant | None) -> bool:
        return tenant is not None and self._is_active and tenant.is_limited

    def _refuse(self, name: str, outcome: Exceeded | Unavailable) -> Refused:
        refusals = self._refusals.setdefault(name, _Refusals())
        refusals.retry_after = outcome.retry_after
        match outcome:
            case Exceeded():
                refusals.exceeded += 1
                code, reason = ErrorCode.ALLOTMENT_EXCEEDED, "the tenant's allotment is used up"
            case Unavailable():
                refusals.unavailable += 1
                code, reason = ErrorCode.ALLOTMENT_UNAVAILABLE, "no holder of allotments answers"
        self._count("allotment_refusals", code=code.value)
        return Refused(code, reason, outcome.retry_after)

    async def spend(
        self, tenant: Tenant | None, admitted: Admitted, deadline: float
    ) -> Refused | None:
        """Spends the token of a request before an attempt, or another one if it has lapsed.

        Args:
            tenant: tenant of the request by the configuration in force, or None. Its key may have
                moved to another tenant since it was admitted.
            admitted: token of the request; changed if it gets another one.
            deadline: when the caller gives up, in seconds on the node's clock.

        Returns:
            A refusal if there is no token, otherwise None.
        """
        name = tenant.name if self._needs_token(tenant) else ""
        if admitted.tenant != name:
            if admitted.token is not None and not admitted.token.is_spent:
                self.on_not_run(admitted)
            admission = await self.admit(tenant, deadline)
            if isinstance(admission, Refused):
                admitted.token, admitted.tenant = None, ""
                return admission
            admitted.token, admitted.tenant = admission.token, admission.tenant
        token = admitted.token
        if token is None:
            return None
        outcome = self._client.spend(self._clock(), name, token)
        if isinstance(outcome, Ask):
            outcome = await self._wait(name, deadline)
        if not isinstance(outcome, Taken):
            return self._refuse(name, outcome)
        token.expires_at, token.is_spent = outcome.expires_at, True
        token.is_admission_only = False
        return None

    def on_not_run(self, admitted: Admitted) -> None:
        """Gives back the token of a request that was not run."""
        if admitted.token is not None:
            self._client.give_back(self._clock(), admitted.tenant, admitted.token)
            self._settle(admitted.tenant)

    async def _wait(self, name: str, deadline: float) -> Outcome:
        now = self._clock()
        longest = MAX_START_WAIT_S if self._client.is_starting(now) else MAX_WAIT_S
        longest = min(longest, deadline - now - ANSWER_MARGIN_S)
        if longest <= 0 or self._waiting_count >= MAX_WAITING_REQUESTS:
            return self._client.resolve(now, name, is_last=True)
        self._waiting_count += 1
        try:
            return await self._wait_for(name, longest)
        finally:
            self._waiting_count -= 1

    async def _wait_for(self, name: str, longest: float) -> Outcome:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Outcome] = loop.create_future()
        self._waiters.setdefault(name, collections.deque()).append(waiter)
        self._client.set_waiting(name, len(self._waiters[name]))
        self._request_flush()
        timer = loop.call_later(longest, self._give_up, name, waiter)
        self._request_start_retry()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._remove(name, waiter)
            if waiter.done() and not waiter.cancelled() and isinstance(waiter.result(), Taken):
                self._client.give_back(self._clock(), name, waiter.result())
            raise
        finally:
            timer.cancel()

    def _request_start_retry(self) -> None:
        """Asks again for the requests that wait while this node starts."""
        if not self._is_retry_due and self._client.is_starting(self._clock()):
            self._is_retry_due = True
            asyncio.get_running_loop().call_later(START_RETRY_S, self._retry_at_start)

    def _retry_at_start(self) -> None:
        self._is_retry_due = False
        for name in list(self._waiters):
            self._settle(name)
        if self._waiters:
            self._flush()
            self._request_start_retry()

    def _remove(self, name: str, waiter: asyncio.Future) -> None:
        queue = self._waiters.get(name)
        if queue is not None and waiter in queue:
            queue.remove(waiter)
            self._update_queue(name, queue)

    def _update_queue(self, name: str, queue: collections.deque) -> None:
        self._client.set_waiting(name, len(queue))
        if not queue:
            self._waiters.pop(name, None)

    def _give_up(self, name: str, waiter: asyncio.Future) -> None:
        if waiter.done():
            return
        self._remove(name, waiter)
        waiter.set_result(self._client.resolve(self._clock(), name, is_last=True))

    def _settle(self, name: str) -> None:
        """Decides the requests that wait for a token of a tenant, in the order of arrival."""
        queue = self._waiters.get(name)
        if queue is None:
            return
        now = self._clock()
        while queue:
            if queue[0].done():
                queue.popleft()
                continue
            outcome = self._client.resolve(now, name)
            if isinstance(outcome, Ask):
                break
            queue.popleft().set_result(outcome)
        self._update_queue(name, queue)

    # Datagrams.

    def on_question(self, question: AllotmentQuestion) -> None:
        """Answers a question of another node."""
        if self._is_active:
            answer = self._holder.answer(self._clock(), question)
            self._send([OutgoingDatagram(question.host, answer)])

    def on_answer(self, answer: AllotmentAnswer) -> None:
        """Hands granted tokens to the requests that wait, and asks for what is still needed."""
        names = self._client.on_answer(self._clock(), answer)
        for name in names:
            self._settle(name)
        if names:
            self._request_flush()

    def on_parts(self, parts: AllotmentParts) -> None:
        """Adopts assignments of parts that another node tells."""
        if self._is_active:
            self._parts.on_parts(parts)
            self._request_flush()

    def _request_flush(self) -> None:
        """Sends questions after the current events, so that one question covers them all."""
        if not self._is_flush_due:
            self._is_flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        now = self._clock()
        for holder, question in self._client.questions(now):
            if holder == self._name:
                self.on_answer(self._holder.answer(now, question))
            else:
                self._send_question(holder, question)

    def _send_question(self, holder: str, question: AllotmentQuestion) -> None:
        host = self._fleet.host_of(holder)
        if host is not None:
            self._send([OutgoingDatagram(host, question)])
        asyncio.get_running_loop().call_later(REPEAT_S, self._repeat, holder, question.number)

    def _repeat(self, holder: str, number: int) -> None:
        if not self._client.is_open(number):
            return
        question = self._client.repeat(self._clock(), number)
        if question is not None:
            self._send_question(holder, question)
        self._request_flush()
        for name in list(self._waiters):
            self._settle(name)

    # Periodic work.

    async def _run(self) -> None:
        while self._is_active:
            await asyncio.sleep(ASK_PERIOD_S)
            try:
                self._tick()
            except Exception:
                _log.exception("periodic work on allotments failed")
        self._is_running = False

    def _tick(self) -> None:
        now = self._clock()
        self._client.end_period(now)
        self._client.drop_old_questions(now)
        if not self._client.is_idle:
            self._flush()
        if self.is_holding != self._was_holding:
            self._was_holding = not self._was_holding
            event = "allotments held" if self._was_holding else "allotments no longer held"
            log_event(_log, event, holders=len(self._view.get()))
        if now - self._logged_at >= LOG_PERIOD_S:
            self._logged_at = now
            self._log_refusals()

    def _log_refusals(self) -> None:
        refusals, self._refusals = self._refusals, {}
        for name in list(refusals)[:MAX_LOGGED_TENANTS]:
            each = refusals[name]
            log_event(
                _log,
                "allotment refusals",
                tenant=name,
                exceeded=each.exceeded,
                unavailable=each.unavailable,
                retry_after=round(each.retry_after, 2),
                tenants=len(refusals),
            )

    # The role of the holder.

    async def _read_at_start(self) -> None:
        """Reads the registered nodes, and goes on with the part that this node held before.

        All nodes learn the holders from the list. After a loss of all power they would otherwise
        hear of them only by pings, and refuse all requests until then.
        """
        latest = self._started_at + RESUME_WINDOW_S
        try:
            while self._clock() < latest:
                try:
                    registered = await self._store.read_registered_nodes(allow_stale=True)
                    is_listed = self._learn(registered)
                    may_hold = is_listed and self._is_chosen() and await self._parts.renew()
                except StoreError:
                    await asyncio.sleep(START_READ_PERIOD_S)
                    continue
                if may_hold and self._clock() <= latest:
                    self._holder.resume(self._clock(), self._started_at)
                break
        finally:
            self._start_read_ended.set()
        if self._waiters:
            self._request_flush()

    def _learn(self, registered: NodeList) -> bool:
        """Adds the registered nodes to the membership; returns whether this node is one."""
        for node in registered.nodes:
            self._fleet.add(node)
        is_listed = any(node.name == self._name for node in registered.nodes)
        if not is_listed and self._is_zone_listed(registered):
            self._is_new = True
        return is_listed

    def _is_zone_listed(self, registered: NodeList) -> bool:
        return any(node.zone == self._zone for node in registered.nodes)

    async def _confirm_holder(self) -> None:
        """Confirms this node as a holder once its view of the registered nodes is complete.

        A node that has just started, alone or with its zone, would take itself for the holder of
        the only zone and grant the whole rate.
        """
        if self._is_start_read_due:
            await self._start_read_ended.wait()
        if self._holder.is_confirmed:
            return
        await asyncio.sleep(HOLDER_DELAY_S)
        while not (self._is_chosen() and await self._is_view_complete()):
            await self._parts.wait_for_assignment(CONFIRM_PERIOD_S)
        delay = NEW_HOLDER_DELAY_S if self._is_new else 0.0
        self._holder.confirm(self._clock(), delay)

    async def _keep_parts(self) -> None:
        try:
            await self._parts.run(lambda: self._is_active)
        finally:
            self._is_keeping = False

    def _is_chosen(self) -> bool:
        return self._name in self._view.get().values()

    async def _is_view_complete(self) -> bool:
        """Compares the view with the store; returns whether this node is a holder by it.

        A node that is registered was known to all before it started. A new one waits until it is
        registered, as the node that it replaces goes on at once after a restart if the list lacks
        the new one. If none of the zone is registered, no node goes on like this; then it is enough
        to have heard the node that it replaces, which knows it as well by then.
        """
        try:
            registered = await self._store.read_registered_nodes()
        except StoreError:
            return self._begin_lease_without_store()
        is_listed = self._learn(registered)
        if not self._is_chosen():
            return False
        if is_listed or self._is_zone_listed(registered):
            return is_listed
        replaced = self._view.replaced_by(self._name)
        return replaced is None or self._fleet.is_alive(replaced)

    def _begin_lease_without_store(self) -> bool:
        """Begins a lease although it cannot be read who else may hold the part.

        Returns:
            False if this node knows too little of the fleet for it.
        """
        now = self._clock()
        found = self._view.get()
        # With one zone only in view, the others may be cut off; their parts are not known.
        is_view_sufficient = len(found) > 1 or not self._has_seeds
        if now - self._started_at < UNREADABLE_STORE_DELAY_S or not is_view_sufficient:
            return False
        zones = frozenset(zone for zone, holder in found.items() if holder == self._name)
        self._holder.renew(now, now + LEASE_S, zones)
        return True

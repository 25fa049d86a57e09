"""Datagrams between nodes, and the node states they carry.

A broadcast goes directly to the nodes of the sender's zone and to a few relays in each other zone,
which forward it within theirs. This limits the traffic between zones, and the loss of one datagram
leaves no zone without the broadcast.
"""

import dataclasses
import enum
from typing import ClassVar

from orioleloft_core import nodecapacity, packing
from orioleloft_core.contention import RouteStatistics
from orioleloft_core.crashes import CrashRecord
from orioleloft_core.numericinput import require_number, require_whole_number
from orioleloft_core.ratelimits import RateLimitNotice
from orioleloft_core.registry import StateVersion
from orioleloft_core.rolloutevidence import EvidenceRow
from orioleloft_core.rollouts import Directive
from orioleloft_core.updates import StateUpdate


@dataclasses.dataclass(frozen=True)
class StateVersions:
    """Versions of the parts of the shared state that a node holds.

    Attributes:
        table: version of the route table, 0 for none.
        targets: version of the target list.
        closed_zones: version of the set of closed availability zones.
        rollouts: version of the roll-outs of target versions.
    """

    table: int = 0
    targets: StateVersion = StateVersion()
    closed_zones: StateVersion = StateVersion()
    rollouts: StateVersion = StateVersion()

    optional_fields: ClassVar[tuple[str, ...]] = ("rollouts",)


class StoreAccess(enum.IntEnum):
    """Access of a node to the platform's store, as the node reports it."""

    # Just started and not yet reading the store.
    STARTING = 0
    # Available as a watcher; not known whether it can reach the store.
    READY = 1
    # Watching, and the last call was answered.
    READING = 2
    # The last call failed.
    LOST = 3


@dataclasses.dataclass(frozen=True)
class NodeState:
    """State of a node, as the node itself publishes it.

    Attributes:
        name: name of the node.
        host: IP address.
        zone: availability zone.
        incarnation: incarnation number, which identifies a start of the process; the state with
            the greater one wins.
        sequence: number of the state within the incarnation; the state with the greater one wins.
        is_ready: whether the node serves callers.
        is_leaving: whether the node is draining before it stops.
        is_busy: whether the node is at its capacity.
        store: access to the platform's store.
        state_versions: versions of the shared state that the node holds.
        capacity: requests per second that the node can handle; 0 if it is not known. It is not
            sent, as nodes of the previous build refuse it; `CapacityReport` tells it.
    """

    name: str
    host: str
    zone: str
    incarnation: int
    sequence: int
    is_ready: bool
    is_leaving: bool
    is_busy: bool
    store: StoreAccess
    state_versions: StateVersions
    capacity: float = 0.0

    optional_fields: ClassVar[tuple[str, ...]] = ("capacity",)


@dataclasses.dataclass(frozen=True)
class NodeAddress:
    """Address under which a node is registered in the store."""

    name: str
    host: str
    zone: str


@dataclasses.dataclass(frozen=True)
class NodeList:
    """The list of registered nodes in the store.

    Attributes:
        nodes: addresses of the nodes, sorted by name.
        revision: revision of the stored object for a conditional write, or 0 if there is none.
    """

    nodes: tuple[NodeAddress, ...]
    revision: int


class Delivery(enum.IntEnum):
    """How a datagram got from its origin to the receiver."""

    # Sent by the origin.
    DIRECT = 0
    # Sent by the origin to a relay, which forwards it within its own zone.
    TO_RELAY = 1
    # Forwarded by a relay in the receiver's zone.
    RELAYED = 2


@dataclasses.dataclass(frozen=True)
class Ping:
    """Probes whether a node is alive.

    Attributes:
        number: number of the ping, which the answer repeats.
        state: state of the sender.
        alive_in_zone: how many nodes of its own zone the sender considers alive.
        alive_total: how many nodes of all zones the sender considers alive.
    """

    number: int
    state: NodeState
    alive_in_zone: int
    alive_total: int


@dataclasses.dataclass(frozen=True)
class PingAnswer:
    """Acknowledges a ping; see `Ping` for the attributes."""

    number: int
    state: NodeState
    alive_in_zone: int
    alive_total: int


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Broadcasts the state of the sender after a change."""

    state: NodeState
    delivery: Delivery = Delivery.DIRECT


@dataclasses.dataclass(frozen=True)
class Introduction:
    """Sends a node the states of members that it may lack.

    Attributes:
        state: state of the sender.
        nodes: states of other nodes, as the sender holds them.
    """

    state: NodeState
    nodes: tuple[NodeState, ...]


@dataclasses.dataclass(frozen=True)
class SharedStateUpdate:
    """Carries an update of the shared state, either broadcast or sent to one node."""

    state: NodeState
    update: StateUpdate
    delivery: Delivery = Delivery.DIRECT

    encoded_name: ClassVar[str] = "News"


@dataclasses.dataclass(frozen=True)
class SuspectedNode:
    """A node suspected to be down; a later incarnation of it refutes the suspicion."""

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """Broadcasts the suspicion that nodes are down.

    Attributes:
        state: state of the sender.
        nodes: the suspected nodes.
        is_verified: whether the sender has verified the suspicion for its zone, whose nodes then
            accept it without pings of their own. Each node verifies those of its own zone itself.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    nodes: tuple[SuspectedNode, ...]
    is_verified: bool
    delivery: Delivery = Delivery.DIRECT

    encoded_name: ClassVar[str] = "DownClaim"


@dataclasses.dataclass(frozen=True)
class TargetReport:
    """Broadcasts failures or high latency that the sender has observed at a target.

    Attributes:
        state: state of the sender.
        target_id: id of the target.
        failures: failed requests.
        latency_ratio: ratio of observed to expected latency, or 0 if no latency was observed.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    target_id: str
    failures: float
    latency_ratio: float
    delivery: Delivery = Delivery.DIRECT

    encoded_name: ClassVar[str] = "TargetSign"


@dataclasses.dataclass(frozen=True)
class CrashReport:
    """Carries evidence on requests that crash targets, either broadcast or sent to one node.

    Attributes:
        state: state of the sender.
        records: evidence of the sender.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    records: tuple[CrashRecord, ...]
    delivery: Delivery = Delivery.DIRECT


@dataclasses.dataclass(frozen=True)
class ContentionReport:
    """Broadcasts what the sender has observed of the contention at a service's targets.

    Attributes:
        state: state of the sender.
        service: name of the service.
        routes: all observations of the sender, which replace those of its previous report.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    service: str
    routes: tuple[RouteStatistics, ...]
    delivery: Delivery = Delivery.DIRECT


@dataclasses.dataclass(frozen=True)
class RateLimitReport:
    """Broadcasts the rate limit that a target states, or its end.

    Attributes:
        state: state of the sender.
        notice: the limit.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    notice: RateLimitNotice
    delivery: Delivery = Delivery.DIRECT


@dataclasses.dataclass(frozen=True)
class LeavingReport:
    """Broadcasts that a target process leaves, which nodes of the previous build drop.

    Attributes:
        state: state of the sender.
        target_id: id of the target.
        started_ms: start of the process, in Unix milliseconds.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    target_id: str
    started_ms: int
    delivery: Delivery = Delivery.DIRECT


@dataclasses.dataclass(frozen=True)
class NodeCapacity:
    """Capacity of a node; see `nodecapacity`.

    Raises:
        ValueError: the capacity is out of range.
    """

    name: str
    capacity: float

    def __post_init__(self) -> None:
        if not nodecapacity.is_valid(self.capacity):
            raise ValueError(f"{self.capacity} is no capacity of a node.")


@dataclasses.dataclass(frozen=True)
class CapacityReport:
    """Tells capacities, either broadcast by their node or sent to one node that asks for them.

    Attributes:
        state: state of the sender.
        capacities: the sender's own capacity, and others that it knows.
        wanted: names of nodes whose capacities the sender asks for.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    capacities: tuple[NodeCapacity, ...]
    wanted: tuple[str, ...]
    delivery: Delivery = Delivery.DIRECT


@dataclasses.dataclass(frozen=True)
class TenantDemand:
    """How many tokens of a tenant a node asks for.

    Attributes:
        tenant: `allotments.tenant_key` of its name.
        count: number of tokens, at least 1.

    Raises:
        ValueError: a number is out of range.
    """

    tenant: int
    count: int

    def __post_init__(self) -> None:
        require_whole_number(self.tenant)
        require_whole_number(self.count, 1)


@dataclasses.dataclass(frozen=True)
class AllotmentQuestion:
    """Asks the holder of a zone for tokens; sent directly to it.

    Attributes:
        number: number of the question within the incarnation, which the answer repeats. A repeated
            question has the same number and gets the same answer.
        node: name of the asking node.
        incarnation: its incarnation.
        host: IP address that the answer goes to.
        demands: the tenants and the tokens asked for.
    """

    number: int
    node: str
    incarnation: int
    host: str
    demands: tuple[TenantDemand, ...]


@dataclasses.dataclass(frozen=True)
class TenantGrant:
    """Tokens that a holder grants for one demand of a question.

    Attributes:
        count: number of tokens.
        wait_s: seconds until it is worth asking again, if fewer were granted than asked for.
        room_s: seconds until the holder has the next token, or None if it cannot say, because it
            does not hold the zone's part or does not know the tenant.

    Raises:
        ValueError: a number is out of range.
    """

    count: int
    wait_s: float
    room_s: float | None

    def __post_init__(self) -> None:
        require_whole_number(self.count)
        require_number(self.wait_s)
        if self.room_s is not None:
            require_number(self.room_s)


@dataclasses.dataclass(frozen=True)
class AllotmentAnswer:
    """Answers a question.

    Attributes:
        number: number of the question.
        node: name of the holder.
        grants: what is granted for each demand, in the order of the question.
    """

    number: int
    node: str
    grants: tuple[TenantGrant, ...]


@dataclasses.dataclass(frozen=True)
class PartAssignment:
    """Which node holds a zone's part of the allotments; see `allotmentparts`.

    Attributes:
        zone: availability zone whose part it is.
        holder: name of the node.
        number: number of the assignment, which increases with each one of the zone.
        is_settled: whether the holder may grant tokens. Until then `previous` may.
        previous: name of the last node that may have granted tokens before.

    Raises:
        ValueError: the number is out of range.
    """

    zone: str
    holder: str
    number: int
    is_settled: bool
    previous: str

    def __post_init__(self) -> None:
        require_whole_number(self.number, 1)


@dataclasses.dataclass(frozen=True)
class PartList:
    """The assignments in the store.

    Attributes:
        assignments: at most one assignment of each zone. A zone without one has the holder that
            follows from the registered nodes.
        revision: revision of the stored object for a conditional write, or 0 if there is none.
    """

    assignments: tuple[PartAssignment, ...]
    revision: int


@dataclasses.dataclass(frozen=True)
class AllotmentParts:
    """Tells settled assignments, sent directly; nodes of the previous build drop it.

    Attributes:
        assignments: the settled assignments that the sender knows.
    """

    assignments: tuple[PartAssignment, ...]


@dataclasses.dataclass(frozen=True)
class RolloutEvidence:
    """Broadcasts what the sender has counted under an order to move a service to a version.

    Attributes:
        state: state of the sender.
        service: name of the service.
        order: key of the order.
        elapsed_ms: time since the sender or another node has seen the order, in milliseconds.
        old_requests: requests of the sender that run at targets of other versions.
        is_switched: whether the sender sends all new requests to the ordered version.
        rows: cumulative counts of the sender, those that have changed.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    service: str
    order: str
    elapsed_ms: int
    old_requests: int
    is_switched: bool
    rows: tuple[EvidenceRow, ...]
    delivery: Delivery = Delivery.DIRECT


@dataclasses.dataclass(frozen=True)
class RolloutDirective:
    """Broadcasts what all nodes should do about an order.

    Attributes:
        state: state of the sender.
        service: name of the service.
        directive: what to do.
        elapsed_ms: see `RolloutEvidence`.
        delivery: how the datagram got to the receiver.
    """

    state: NodeState
    service: str
    directive: Directive
    elapsed_ms: int
    delivery: Delivery = Delivery.DIRECT


# Datagrams that are disseminated through relays.
Broadcast = (
    Announcement
    | SharedStateUpdate
    | Suspicion
    | TargetReport
    | CrashReport
    | ContentionReport
    | RateLimitReport
    | CapacityReport
    | LeavingReport
    | RolloutEvidence
    | RolloutDirective
)
# Datagrams that are sent to one node only.
Direct = Ping | PingAnswer | Introduction | AllotmentQuestion | AllotmentAnswer | AllotmentParts
Datagram = Direct | Broadcast
_CLASSES = packing.classes_of(Datagram)


@dataclasses.dataclass(frozen=True)
class OutgoingDatagram:
    """A datagram with its receiver.

    Attributes:
        host: IP address of the receiver.
        datagram: the datagram to send.
    """

    host: str
    datagram: Datagram


def pack(datagram: Datagram) -> list:
    """Converts a datagram to lists and scalars for msgpack; the first is its encoded class name."""
    return packing.to_tagged(datagram)


def unpack(values: list) -> Datagram:
    """Builds a datagram from the values that `pack` returned.

    Raises:
        ValueError: the values do not form a datagram.
    """
    return packing.from_tagged(_CLASSES, values)


def delivery_of(datagram: Datagram) -> Delivery:
    """Returns how a datagram got here; one that is never relayed came directly."""
    return Delivery.DIRECT if isinstance(datagram, Direct) else datagram.delivery


def has_newer_version(other: StateVersions, own: StateVersions) -> bool:
    """Whether another node holds a newer version of any part than this one."""
    return (
        other.table > own.table
        or other.targets > own.targets
        or other.closed_zones > own.closed_zones
        or other.rollouts > own.rollouts
    )

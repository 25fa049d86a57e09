"""Settings of an entry node: one class, read from INI and checked whole.

The file has one section for each part of `Settings`, and `[seats]` with one line for each seat:
`entry-01 = ZONE HOST:PORT`. Its keys are the names of the fields without the unit at the end;
durations and sizes are written with their unit, as in `ask_timeout = 25 ms` or `max_body = 1 MiB`.
"""

import dataclasses
import enum


class RoutingMode(enum.StrEnum):
    """How a node chooses targets.

    `GRANTS` asks the holder of the target's group; `VIEWS` uses the node's own view only and is
    the baseline for measurements.
    """

    GRANTS = "grants"
    VIEWS = "views"


@dataclasses.dataclass(frozen=True)
class Seat:
    """One seat of the fleet.

    Attributes:
        name: name of the VM on the seat.
        zone: availability zone of the seat.
        peer_address: `host:port` of the port between nodes.
    """

    name: str
    zone: str
    peer_address: str


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Own identity and addresses; `listen_address` is `host:port` for callers."""

    name: str
    zone: str
    listen_address: str = "127.0.0.1:8080"


@dataclasses.dataclass(frozen=True)
class FleetSettings:
    """Seats of the fleet and the times of membership and leases.

    Attributes:
        seats: all configured seats, the own one included.
        public_key: CURVE public key of the fleet in Z85, or empty on loopback.
        secret_key: CURVE secret key of the fleet in Z85, or empty on loopback.
        heartbeat_ms: time between two pings.
        suspicion_ms: silence after which a seat is suspected.
        hold_time_ms: how long an acknowledgement confirms a lease.
        freshness_ms: age of the last platform contact up to which new work is taken.
    """

    seats: tuple[Seat, ...]
    public_key: str = ""
    secret_key: str = ""
    heartbeat_ms: int = 1000
    suspicion_ms: int = 3000
    hold_time_ms: int = 3000
    freshness_ms: int = 5000

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all configured seats."""
        return tuple(seat.name for seat in self.seats)

    @property
    def majority(self) -> int:
        """Number of seats that is more than half of the configured ones."""
        return len(self.seats) // 2 + 1


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Address and budget of the platform's API.

    Attributes:
        address: `host:port` of the API.
        calls_per_second: sustained calls of this node.
        burst: calls that may be made at once.
        backoff_first_ms: upper bound of the first delay after a failure.
        backoff_cap_ms: upper bound of every delay.
        watch_ms: how long a watch waits. The end of a watch confirms the head for all nodes, so
            it must come well within `freshness_ms`; otherwise each node reads for itself.
    """

    address: str = "127.0.0.1:8300"
    calls_per_second: float = 2.0
    burst: int = 10
    backoff_first_ms: int = 200
    backoff_cap_ms: int = 10000
    watch_ms: int = 2000


@dataclasses.dataclass(frozen=True)
class RoutingSettings:
    """Limits of admission to targets.

    Attributes:
        mode: how targets are chosen.
        ask_timeout_ms: silence of a holder after which bypass is used.
        bypass_nodes: seats that may bypass to any one target.
        bypass_evidence_ms: age up to which an own answer shows that a target is warm.
        queue_per_slot: requests that may wait at a holder for each slot.
        warm_answers: good answers in a row that double a cold target's limit.
        straggler_share: largest share of a group's targets that is set aside.
        straggler_ratio: service time in multiples of the group's median that marks a straggler.
        probe_after_ms: age of a load report after which the holder probes.
        probe_interval_ms: least time between two probes of one target.
    """

    mode: RoutingMode = RoutingMode.GRANTS
    ask_timeout_ms: int = 25
    bypass_nodes: int = 6
    bypass_evidence_ms: int = 10000
    queue_per_slot: int = 4
    warm_answers: int = 4
    straggler_share: float = 0.34
    straggler_ratio: float = 3.0
    probe_after_ms: int = 2000
    probe_interval_ms: int = 1000


@dataclasses.dataclass(frozen=True)
class RequestSettings:
    """Limits of callers' requests.

    Attributes:
        default_deadline_ms: deadline of a request that names none.
        max_deadline_ms: longest deadline; a longer one is shortened.
        max_body_bytes: largest request or answer body.
        max_header_bytes: largest request or answer header block.
        read_timeout_ms: time within which a request must arrive whole.
        attempts: dispatches of one request in all.
        retry_share: retries as a share of requests.
        hedge_share: hedges as a share of requests.
        suspect_limit: broken targets after which a request is refused.
        suspect_ms: how long such a request is refused.
    """

    default_deadline_ms: int = 5000
    max_deadline_ms: int = 30000
    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    read_timeout_ms: int = 10000
    attempts: int = 2
    retry_share: float = 0.1
    hedge_share: float = 0.02
    suspect_limit: int = 2
    suspect_ms: int = 600000


@dataclasses.dataclass(frozen=True)
class KeySettings:
    """Idempotency keys.

    Attributes:
        window_ms: length of one key window.
        windows: windows for which a key is good.
        max_records: records kept at a time.
        answer_bytes: memory for stored answers in bytes.
        query_timeout_ms: how long the owner of a key is waited for.
    """

    window_ms: int = 60000
    windows: int = 10
    max_records: int = 50000
    answer_bytes: int = 16 * 1024 * 1024
    query_timeout_ms: int = 1000


@dataclasses.dataclass(frozen=True)
class StopSettings:
    """Planned stop: how long callers keep an address answer, and the margin after it."""

    address_lifetime_ms: int = 5000
    margin_ms: int = 1000


@dataclasses.dataclass(frozen=True)
class OutputSettings:
    """Logs, metrics and traces; an empty address or path turns the output off."""

    log_level: str = "INFO"
    statsd_address: str = ""
    statsd_prefix: str = "orioleloft"
    trace_path: str = ""


@dataclasses.dataclass(frozen=True)
class Settings:
    """All settings of an entry node."""

    node: NodeSettings
    fleet: FleetSettings
    platform: PlatformSettings = PlatformSettings()
    routing: RoutingSettings = RoutingSettings()
    requests: RequestSettings = RequestSettings()
    keys: KeySettings = KeySettings()
    stop: StopSettings = StopSettings()
    output: OutputSettings = OutputSettings()

"""Settings of one entry node, independent of the platform's file format."""

import dataclasses
import math

from orioleloft_core.admissionqueue import AdmissionPolicy
from orioleloft_core.errors import SettingsError
from orioleloft_core.numericinput import parse_whole_number

MAX_PORT = 65535


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """Host and TCP port to listen on or to connect to."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class AllotmentBounds:
    """How far the requests of a tenant may exceed its allotment, over all nodes together.

    Attributes:
        window: length of the window in which requests count, in seconds.
        overage: share of the allotment that may be exceeded in a window.
        slack: requests allowed in a window on top.
    """

    window: float
    overage: float
    slack: float


@dataclasses.dataclass(frozen=True)
class RolloutBounds:
    """Limits on the requests that a new version of targets gets while it is not known to be good.

    Attributes:
        expose_share: share of the requests of the service.
        expose_slack: requests allowed on top.
        rollback: time after the 50th bad answer from which it must get nothing, in seconds.
    """

    expose_share: float
    expose_slack: float
    rollback: float


@dataclasses.dataclass(frozen=True)
class OperatorBounds:
    """Limits that the operators set; times in seconds.

    A dispatch of a request beside its first one, a retry or hedged request, is an extra one.

    Attributes:
        grace_period: time between the signal to stop and the kill.
        retry_budget_ratio: extra dispatches allowed per request.
        retry_budget_extra: extra dispatches allowed to the fleet in each window, beside the ratio.
        retry_budget_window: length of that window.
        cold_rate_multiplier: factor on the request rate that a cold target tolerates.
        extra_cold_rate: requests per second allowed to a cold target on top of the multiplied rate.
        max_address_ttl: maximum TTL of the entry addresses that callers receive.
        probe_rate_per_target: probes per second and target allowed to the fleet, as a daily mean.
        allotments: limits on tenants, or None where the deployment has no allotments.
        rollouts: limits on roll-outs, or None where the deployment has no roll-outs.
    """

    grace_period: float = 6.0
    retry_budget_ratio: float = 0.2
    retry_budget_extra: float = 50.0
    retry_budget_window: float = 10.0
    cold_rate_multiplier: float = 1.5
    extra_cold_rate: float = 5.0
    max_address_ttl: float = 5.0
    probe_rate_per_target: float = 60.0
    allotments: AllotmentBounds | None = None
    rollouts: RolloutBounds | None = None


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of one node.

    Attributes:
        name: unique name of the node.
        zone: availability zone of the node.
        caller_endpoint: where the node accepts requests of callers.
        readiness_endpoint: where it answers the platform's readiness checks.
        directory_endpoint: where it serves the directory of entry addresses to callers.
        peer_endpoint: where it accepts datagrams and HTTP requests of other nodes.
        store_endpoint: where the platform's store is reached.
        metrics_endpoint: where it serves metrics, or None for no metrics page.
        seeds: nodes to contact first when joining the fleet.
        is_fleet_bootstrap: whether the whole fleet starts for the first time.
        memory_bytes: memory limit of the process.
        min_address_ttl: minimum TTL of the entry addresses that callers receive, in seconds.
        bounds: limits that the operators set.
        cpu_cores: cores that the node may use, or None if they are not stated.
        link_mbps: rate of its link in Mbit/s, or None if it is not stated.
        admission: order of admission while the configuration has no list of tenants.
    """

    name: str
    zone: str
    caller_endpoint: Endpoint
    readiness_endpoint: Endpoint
    directory_endpoint: Endpoint
    peer_endpoint: Endpoint
    store_endpoint: Endpoint
    metrics_endpoint: Endpoint | None = None
    seeds: tuple[Endpoint, ...] = ()
    is_fleet_bootstrap: bool = False
    memory_bytes: int = 300 * 1024 * 1024
    min_address_ttl: float = 1.0
    bounds: OperatorBounds = OperatorBounds()
    cpu_cores: float | None = None
    link_mbps: float | None = None
    admission: AdmissionPolicy = AdmissionPolicy.ARRIVAL

    def __post_init__(self) -> None:
        """Checks name, zone and grace period.

        Raises:
            SettingsError: the name or zone is empty, or the grace period is not positive.
        """
        for field in ("name", "zone"):
            if not getattr(self, field):
                raise SettingsError(f"the setting {field} is empty.", "Set it and start again.")
        if not 0 < self.bounds.grace_period < math.inf:
            raise SettingsError("the grace period is not positive.", "Set a time greater than 0 s.")


def parse_endpoint(text: str) -> Endpoint:
    """Parses `host:port`.

    Raises:
        SettingsError: the host is empty, or the port is not within 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        number = parse_whole_number(port, MAX_PORT)
    except ValueError:
        number = 0
    if not host or number == 0:
        raise SettingsError(f"{text!r} is not a valid address.", "Write it as host:port.")
    return Endpoint(host, number)

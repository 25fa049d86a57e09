"""Settings of one entry node on a platform, checked when they are built."""

import dataclasses

from orioleloft_core.errors import SettingsError


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An address to listen on or to call."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Figures that the operators set; times in seconds.

    Attributes:
        grace_period: time between the request to stop and the kill.
        retry_ratio: extra dispatches allowed for each request.
        retry_extra: extra dispatches allowed for the fleet in each window.
        retry_window: length of that window.
        cold_multiplier: factor on the rate that a cold target tolerates.
        cold_slack: requests a second allowed on top of it.
        max_address_lifetime: longest time for which callers keep entry addresses.
        probes_per_target: probes a second and target allowed to the fleet on average over a day.
    """

    grace_period: float = 6.0
    retry_ratio: float = 0.2
    retry_extra: float = 50.0
    retry_window: float = 10.0
    cold_multiplier: float = 1.5
    cold_slack: float = 5.0
    max_address_lifetime: float = 5.0
    probes_per_target: float = 60.0


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of one node.

    Attributes:
        name: name of the node.
        zone: availability zone.
        callers: address for callers' requests.
        readiness: address for the platform's readiness checks.
        addresses: address for callers that ask for entry addresses.
        peers: address for other nodes, by datagrams and HTTP.
        metrics: address of the metrics page, or None.
        seeds: addresses of other nodes at the start.
        store: address of the platform's store.
        is_first_start: whether the whole fleet starts for the first time.
        memory_bytes: memory that the process may use.
        min_address_lifetime: shortest time for which callers keep entry addresses, in seconds.
        bounds: figures that the operators set.
    """

    name: str
    zone: str
    callers: Endpoint
    readiness: Endpoint
    addresses: Endpoint
    peers: Endpoint
    store: Endpoint
    metrics: Endpoint | None = None
    seeds: tuple[Endpoint, ...] = ()
    is_first_start: bool = False
    memory_bytes: int = 300 * 1024 * 1024
    min_address_lifetime: float = 1.0
    bounds: Bounds = Bounds()

    def __post_init__(self) -> None:
        """Checks what no default can stand in for.

        Raises:
            SettingsError: a value is missing or out of range.
        """
        for field in ("name", "zone"):
            if not getattr(self, field):
                raise SettingsError(f"the setting {field} is empty.", "Set it and start again.")
        if self.bounds.grace_period <= 0:
            raise SettingsError("the grace period is not positive.", "Set a time above 0 s.")


def parse_endpoint(text: str) -> Endpoint:
    """Reads `host:port`.

    Raises:
        SettingsError: the text is not an address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{text!r} is not an address.", "Write it as host:port.")
    return Endpoint(host, int(port))

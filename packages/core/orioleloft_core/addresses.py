"""Entry addresses that a node answers to callers."""

import dataclasses
import random
from collections.abc import Iterable

from orioleloft_core import idempotency
from orioleloft_core.catalog import Catalog
from orioleloft_core.messages import NodeFacts

# Enough for a caller to move on several times before it asks again.
MAX_ADDRESSES = 8


@dataclasses.dataclass(frozen=True)
class EntryAddress:
    """One address of an answer to a caller.

    Attributes:
        address: `host:port` of the entry node.
        zone: availability zone of the entry node.
        key_prefix: prefix of idempotency keys that this node may run.
    """

    address: str
    zone: str
    key_prefix: str


def choose(
    nodes: Iterable[NodeFacts], catalog: Catalog, zone: str, rng: random.Random
) -> tuple[EntryAddress, ...]:
    """Returns addresses of serving nodes in open zones, those of the caller's zone first.

    Args:
        nodes: what the nodes that are not suspected say about themselves.
        catalog: catalog in force; a zone that it does not know is open.
        zone: availability zone of the caller, or an empty string.
        rng: spreads callers over the nodes of a zone.
    """
    usable = [facts for facts in nodes if facts.state == "serving" and _is_open(catalog, facts)]
    rng.shuffle(usable)
    usable.sort(key=lambda facts: facts.zone != zone)
    return tuple(
        EntryAddress(facts.entry_address, facts.zone, idempotency.prefix(facts))
        for facts in usable[:MAX_ADDRESSES]
    )


def _is_open(catalog: Catalog, facts: NodeFacts) -> bool:
    zone = catalog.zone(facts.zone)
    return zone is None or zone.is_open

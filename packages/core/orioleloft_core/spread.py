"""Spread and freshness of the catalog: watchers, fetches from peers, version order."""

import random
import zlib

import msgpack

from orioleloft_core import hashing
from orioleloft_core.catalog import Catalog
from orioleloft_core.effects import Effect, ReadHead, Send
from orioleloft_core.errors import MessageError
from orioleloft_core.events import HeadRead
from orioleloft_core.membership import NEVER, Membership
from orioleloft_core.messages import CatalogData, FetchCatalog, NodeFacts
from orioleloft_core.pacing import Pacer
from orioleloft_core.settings import Settings

# Watchers beyond the first replace it without waiting for its suspicion.
WATCHERS = 2

WATCH_KEY = "head"

# Time between two fetches, so that a slow peer is not asked for the same catalog over and over.
FETCH_INTERVAL_S = 0.25

# Bounds the memory that one message can take up.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class Spread:
    """Catalog in force on a node and how the node learns newer ones.

    Each `ReadHead` must be answered by exactly one `on_head_read`.

    Args:
        settings: settings of the node.
        pacer: limits the calls to the platform.
        rng: source of the choice of peers.
    """

    def __init__(self, settings: Settings, *, pacer: Pacer, rng: random.Random) -> None:
        self._seat = settings.node.name
        self._names = settings.fleet.names
        self._majority = settings.fleet.majority
        self._freshness_s = settings.fleet.freshness_ms / 1000
        self._suspicion_s = settings.fleet.suspicion_ms / 1000
        self._watch_s = settings.platform.watch_ms / 1000
        self._pacer = pacer
        self._rng = rng
        self._catalog = Catalog()
        self._document: bytes | None = None
        self._confirmed_at = NEVER
        self._is_loaded = False
        self._is_reading = False
        self._is_watching = False
        self._next_fetch_at = NEVER
        self._absent: frozenset[str] | None = None
        self._watchers: list[str] = []

    @property
    def catalog(self) -> Catalog:
        """The catalog in force; version 0 before the first one."""
        return self._catalog

    def adopt(self, now: float, catalog: Catalog) -> bool:
        """Puts a catalog in force if its version is above that of the present one."""
        if catalog.version <= self._catalog.version:
            return False
        self._catalog = catalog
        self._document = None
        return True

    def tick(self, now: float, membership: Membership) -> list[Effect]:
        """Reads or watches the platform and fetches from peers, each when due."""
        effects = self._fetch(now, membership)
        if self._is_reading:
            return effects
        wait_for = self._due_read(now, membership)
        if wait_for is None or not self._pacer.may_call(now):
            return effects
        self._is_reading = True
        self._is_watching = wait_for > 0
        return [*effects, ReadHead(wait_for)]

    def on_head_read(self, now: float, read: HeadRead) -> bool:
        """Takes the result of a `ReadHead`; returns whether a catalog was adopted."""
        self._is_reading = False
        if not read.is_reachable:
            self._pacer.failed(now)
            return False
        self._pacer.succeeded()
        self._is_loaded = True
        is_adopted = read.catalog is not None and self.adopt(now, read.catalog)
        self._confirm(self._confirmation_time(now, read))
        return is_adopted

    def on_facts(self, now: float, facts: NodeFacts, ping_sent_at: float | None = None) -> None:
        """Takes the facts of an accepted ping or pong.

        Args:
            now: seconds on the own clock.
            facts: facts of the sender.
            ping_sent_at: result of `Membership.on_pong`, or None for a ping. The age in a ping is
                not used, because nothing bounds how long the ping was on its way.
        """
        if ping_sent_at is None or facts.platform_age_ms < 0:
            return
        # The age confirms the sender's version, which this node may not have yet.
        if facts.catalog_version <= self._catalog.version:
            self._confirm(ping_sent_at - facts.platform_age_ms / 1000)

    def on_fetch(self, now: float, seat: str, fetch: FetchCatalog) -> list[Effect]:
        """Answers a peer that asks for a newer catalog than it has."""
        if self._catalog.version <= fetch.above:
            return []
        if self._document is None:
            self._document = zlib.compress(msgpack.packb(self._catalog.to_document()))
        return [Send(seat, CatalogData(self._catalog.version, self._document))]

    def on_data(self, now: float, data: CatalogData) -> bool:
        """Takes a catalog from a peer; returns whether it was adopted.

        Raises:
            MessageError: the document cannot be read.
        """
        if data.version <= self._catalog.version:
            return False
        return self.adopt(now, _unpack(data))

    def platform_age_ms(self, now: float) -> int:
        """Returns the time since the head was last confirmed, in milliseconds; -1 if never."""
        if self._confirmed_at == NEVER:
            return -1
        return max(0, round((now - self._confirmed_at) * 1000))

    def is_fresh(self, now: float, membership: Membership) -> bool:
        """Tells whether the node may take new work.

        A node that hears a majority but no platform assumes an outage of the platform, in which
        no newer catalog can be accepted.
        """
        return self._has_contact(now) or membership.hears_majority(now)

    def is_loaded(self, now: float, membership: Membership) -> bool:
        """Tells whether the node has a catalog that it may start to serve with.

        Without the platform, a majority of the other seats must state a catalog, and the own one
        must be as new as theirs. The own seat does not count because it remembers nothing.
        """
        if not self._is_loaded and self._has_catalog_of_majority(now, membership):
            self._is_loaded = True
        return self._is_loaded and self._catalog.version > 0

    def _has_catalog_of_majority(self, now: float, membership: Membership) -> bool:
        oldest = now - self._suspicion_s
        versions = [
            peer.facts.catalog_version
            for peer in membership.peers.values()
            if peer.confirmed_at > oldest and peer.facts.catalog_version > 0
        ]
        return len(versions) >= self._majority and self._catalog.version >= max(versions)

    def _has_contact(self, now: float) -> bool:
        return now - self._confirmed_at < self._freshness_s

    def _confirm(self, at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, at)

    def _confirmation_time(self, now: float, read: HeadRead) -> float:
        """Returns the latest time for which the answer surely holds.

        A watch without a change was answered at its end; any other answer may have been under
        way since the read was sent.
        """
        ended = read.started + self._watch_s
        is_whole_watch = self._is_watching and read.catalog is None and now >= ended
        return ended if is_whole_watch else read.started

    def _due_read(self, now: float, membership: Membership) -> int | None:
        """Returns `wait_for` of the read that is due, or None."""
        if not self._is_loaded:
            return 0
        if self._is_watcher(now, membership):
            return self._catalog.version
        return None if self._has_contact(now) else 0

    def _is_watcher(self, now: float, membership: Membership) -> bool:
        suspected = membership.suspected(now)
        if suspected != self._absent:
            present = [name for name in self._names if name not in suspected]
            self._watchers = hashing.order(WATCH_KEY, present)[:WATCHERS]
            self._absent = suspected
        return self._seat in self._watchers

    def _fetch(self, now: float, membership: Membership) -> list[Effect]:
        if now < self._next_fetch_at:
            return []
        suspected = membership.suspected(now)
        heard = {
            seat: peer.facts.catalog_version
            for seat, peer in membership.peers.items()
            if seat not in suspected
        }
        newest = max(heard.values(), default=0)
        if newest <= self._catalog.version:
            return []
        self._next_fetch_at = now + FETCH_INTERVAL_S
        sources = [seat for seat, version in heard.items() if version == newest]
        return [Send(self._rng.choice(sources), FetchCatalog(self._catalog.version))]


def _unpack(data: CatalogData) -> Catalog:
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data.document, MAX_DOCUMENT_BYTES)
        if not inflater.eof:
            raise MessageError(f"catalog {data.version} is cut or over {MAX_DOCUMENT_BYTES} bytes.")
        catalog = Catalog.from_document(msgpack.unpackb(plain))
    except (zlib.error, ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise MessageError(f"catalog {data.version} is not a catalog document.") from error
    if catalog.version != data.version:
        raise MessageError(f"catalog {data.version} states version {catalog.version}.")
    return catalog

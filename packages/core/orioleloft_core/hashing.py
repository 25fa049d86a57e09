"""Rendezvous hashing, and hashes that identify content."""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Sorts candidates by their rendezvous hash with a key.

    Adding or removing a candidate leaves the order of the others unchanged.

    Args:
        key: name of the item to place.
        candidates: names of the places.
    """
    return sorted(candidates, key=lambda candidate: _score(key, candidate))


def fingerprint(*parts: bytes) -> str:
    """Returns a hash of the parts as 32 hex digits; each part is hashed with its length."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def key_digest(key: str) -> str:
    """Returns the digest by which nodes know an API key, which they neither keep nor exchange.

    Keys are long random texts, so the digest needs no salt, and all nodes get the same one.
    """
    return hashlib.blake2b(key.encode(), digest_size=16, person=b"api key").hexdigest()


def _score(key: str, candidate: str) -> bytes:
    text = f"{key}\0{candidate}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()

"""Rendezvous hashing: a stable order of candidates for a key."""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


def order(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns the candidates in rendezvous order for the key.

    A candidate that is added or removed leaves the order of the others unchanged.

    Args:
        key: what is placed.
        candidates: names to choose from.
    """
    return sorted(candidates, key=lambda candidate: _score(key, candidate))


def fingerprint(*parts: bytes) -> str:
    """Returns 32 hex digits that identify the parts, each length-prefixed."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _score(key: str, candidate: str) -> bytes:
    text = f"{key}\0{candidate}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()

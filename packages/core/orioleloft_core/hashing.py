"""Rendezvous hashing, and hashes that identify content."""

import hashlib
import math
from collections.abc import Iterable, Mapping

DIGEST_BYTES = 8


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Sorts candidates by their rendezvous hash with a key.

    Adding or removing a candidate leaves the order of the others unchanged.

    Args:
        key: name of the item to place.
        candidates: names of the places.
    """
    return sorted(candidates, key=lambda candidate: _score(key, candidate))


def weighted_rendezvous_order(key: str, weights: Mapping[str, float]) -> list[str]:
    """Sorts candidates by their weighted rendezvous hash with a key.

    A candidate is the first with a probability in proportion to its weight. With equal weights the
    order is that of `rendezvous_order`, and a change of one weight moves only its own candidate.

    Args:
        key: name of the item to place.
        weights: weights of the places by their names, all greater than 0.
    """

    def rank(candidate: str) -> tuple[float, bytes]:
        score = _score(key, candidate)
        fraction = int.from_bytes(score, "big") / 2 ** (8 * DIGEST_BYTES)
        # -log(1 - fraction) / weight is the time of the first event of a process with this rate.
        # The greatest scores round to 1, of which there is no logarithm.
        return -math.log1p(-min(fraction, 1 - 2**-53)) / weights[candidate], score

    return sorted(weights, key=rank)


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

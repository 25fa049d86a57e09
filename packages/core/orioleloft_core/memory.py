"""Accounting of the memory that bodies of requests and answers take on the node."""

# Maximum share of the free memory that one answer may take. Any number of endless answers then
# leaves memory for others: n of them leave 1 / (1 + n * share) of the limit free.
MAX_RESPONSE_MEMORY_FRACTION = 0.25
# An answer up to this size may use all free memory, in bytes; answers of most services are smaller.
SMALL_RESPONSE_BYTES = 64 * 1024


class MemoryAccount:
    """Accounts for the memory of all bodies against one limit.

    Args:
        limit: maximum total size of all bodies in bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._reserved = 0

    @property
    def free(self) -> int:
        """Bytes that are not reserved."""
        return self._limit - self._reserved

    def reserve(self, size: int) -> bool:
        """Reserves bytes for a part of a body; returns False if too few are free."""
        if size > self.free:
            return False
        self._reserved += size
        return True

    def release(self, size: int) -> None:
        """Releases reserved bytes."""
        self._reserved -= size


class ResponseReservation:
    """Memory reserved for one answer; released when this object is garbage-collected.

    Several components hold an answer in turn, and some of them drop it, such as the slower one of
    two hedged attempts. Tying the memory to the object means that none of them has to release it.

    Args:
        account: account that the memory is reserved from.
    """

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes reserved."""
        return self._size

    def grow(self, size: int) -> bool:
        """Reserves further bytes for the answer.

        Returns:
            False if the answer would exceed its share of the free memory or the limit.
        """
        total = self._size + size
        if (
            total > SMALL_RESPONSE_BYTES
            and size > self._account.free * MAX_RESPONSE_MEMORY_FRACTION - self._size
        ):
            return False
        if not self._account.reserve(size):
            return False
        self._size = total
        return True

    def __del__(self) -> None:
        """Releases the reserved bytes."""
        self._account.release(self._size)

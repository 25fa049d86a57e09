"""A client behind a slow link: it reads steadily, at the rate of its link, with a small window."""

import asyncio
import socket
import time

from standins import request_head

# Pause after the client has read all that its link has carried, in seconds.
TICK_S = 0.004


class SlowClient:
    """One client connection over a slow link.

    Args:
        address: host and port of the node.
        rate: bytes a second that the link carries.
        record: writes to `record.txt`.
    """

    def __init__(self, address, rate, record):
        self._rate = rate
        self._record = record
        self._link = socket.socket()
        # The usual segment size, and a small window, as on the links of `DEPLOY.md`.
        self._link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
        self._link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._link.connect(address)
        self._link.setblocking(False)

    def close(self):
        self._link.close()

    async def fetch(self, path, request_id, deadline_ms):
        """Sends a request and reads its answer; returns whether it was whole, and when it ended."""
        loop = asyncio.get_running_loop()
        data, length, status = bytearray(), None, ""
        start = time.monotonic()
        try:
            await loop.sock_sendall(self._link, request_head("GET", path, request_id, deadline_ms))
            self._record("client", request_id, "sent")
            while length is None or len(data) < length:
                allowed = int((time.monotonic() - start + TICK_S) * self._rate) - len(data)
                if allowed <= 0:
                    await asyncio.sleep(TICK_S / 2)
                    continue
                left = start + deadline_ms / 1000 - time.monotonic()
                part = await asyncio.wait_for(loop.sock_recv(self._link, allowed), max(0.0, left))
                if not part:
                    break
                data += part
                if length is None and b"\r\n\r\n" in data:
                    head = bytes(data).partition(b"\r\n\r\n")[0]
                    status = head.split(b"\r\n")[0].decode()
                    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
                    length = len(head) + 4 + int(fields[b"content-length"])
            is_whole = length is not None and len(data) == length
            end = "whole" if is_whole else "THE CONNECTION ENDED BEFORE THE ANSWER DID"
        except (OSError, TimeoutError) as error:
            is_whole, end = False, f"FAILED: {type(error).__name__} {error}"
        took = time.monotonic() - start
        self._record(
            "client", request_id, f"{status!r}, {len(data)} of {length} bytes in {took:.2f} s:", end
        )
        return is_whole, time.monotonic()

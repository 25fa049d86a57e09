"""Parts that several tests of releases use: a platform in the same process, and note texts."""

import asyncio
import contextlib
import functools

from tornado import httpserver, netutil

from orioleloft.driver import drive
from orioleloft_core import note, publishing
from orioleloft_platform.objectstore import HttpObjectStore
from standins.platform import PlatformStandIn

START = """[note]
name = start
base = 0
author = test
[zone za]
change = add
region = r
[zone zb]
change = add
region = r
[service ledger]
change = add
slots = 2
[target ledger/l-01]
change = add
address = 127.0.0.1:9001
zone = za
[customer web]
change = add
weight = 3
"""


def text(name, base, *sections):
    """Returns a note text; each section is its head and its keys."""
    lines = ["[note]", f"name = {name}", f"base = {base}", "author = test"]
    for head, *keys in sections:
        lines += [f"[{head}]", *keys]
    return "\n".join(lines)


@contextlib.asynccontextmanager
async def platform(**timeouts):
    """Serves a stand-in on a loopback port; gives the stand-in, a client and the address."""
    standin = PlatformStandIn()
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server = httpserver.HTTPServer(standin.application())
    server.add_sockets(sockets)
    address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
    store = HttpObjectStore(address, **timeouts)
    try:
        yield standin, store, address
    finally:
        store.close()
        server.stop()
        await server.close_all_connections()


def on_platform(**timeouts):
    """Runs an async test with a stand-in and its client, and with the parameters of nose2.

    nose2 calls parameterised tests without awaiting them, so the result must be a plain function.
    """

    def decorate(test):
        @functools.wraps(test)
        def run(self, *args):
            async def serve():
                async with platform(**timeouts) as (standin, store, _):
                    await test(self, standin, store, *args)

            asyncio.run(serve())

        return run

    return decorate


async def publish(store, content, operator="ana", now_ms=1000):
    """Publishes a note text through the client."""
    return await drive(publishing.publish(note.parse(content), operator, now_ms), store)

"""A version raises `max_header_bytes` while connections are idle; see claim.txt."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import standins  # noqa: E402

HOST = "guichet.example"
CONFIG_DEADLINE_S = 2.0
BEFORE, AFTER = 16384, 65536
# Connections to each node, and the length of the header that only the later version allows.
CONNECTIONS = 20
HEADER_BYTES = 24000
# From the confirmation of the later version to the requests.
WAIT_S = 5.0
OWN_ERRORS_ALLOWED = 5


async def play(record, trouble):
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    endpoints = []
    for number in range(6):
        endpoint = standins.Endpoint(record, store, "cobro", f"z{number % 3}", slots=8, queue=16)
        await endpoint.start("127.0.0.1")
        endpoints.append(endpoint)
    routes = [
        standins.route("look", HOST, "/look/", "cobro"),
        standins.route("pay", HOST, "/pay/", "cobro", "non_idempotent"),
    ]
    services = [standins.service("cobro")]
    store.write_config(10, routes, services, max_header_bytes=BEFORE if trouble else AFTER)
    fleet = standins.Fleet(record, store, ["z0", "z1", "z2"], 1)
    clients = []
    statuses = {"first": [], "kept": [], "new": []}

    async def ask(stage, client, name, **headers):
        request_id = f"{stage}-{name}"
        try:
            status, _, _ = await client.send(
                request_id, HOST, f"/pay/{request_id}", "POST", b"amount=1", **headers
            )
        except (standins.Closed, TimeoutError, OSError) as error:
            status = type(error).__name__
            client.close()
        record("client", request_id, "gets", status)
        statuses[stage].append(status)

    async def ask_all(stage, asked, **headers):
        for number, client in enumerate(asked):
            await ask(stage, client, number, **headers)
            await asyncio.sleep(0.02)

    try:
        await fleet.start()
        await asyncio.sleep(4.0)
        clients = [
            standins.Client(node.host, fleet.ports["front"])
            for _ in range(CONNECTIONS)
            for node in fleet.nodes
        ]
        await ask_all("first", clients)
        if trouble:
            store.write_config(12, routes, services, max_header_bytes=AFTER)
        await asyncio.sleep(WAIT_S)
        long_header = {"X_Ticket": "t" * HEADER_BYTES}
        await ask_all("kept", clients, **long_header)
        fresh = [standins.Client(node.host, fleet.ports["front"]) for node in fleet.nodes]
        clients += fresh
        await ask_all("new", fresh, **long_header)
    finally:
        fleet.close()
        fleet.remove()
        for client in clients:
            client.close()
        for endpoint in endpoints:
            endpoint.stop()
    for stage, answers in statuses.items():
        counts = {status: answers.count(status) for status in sorted(set(answers), key=str)}
        record.say(f"{stage}: {counts}")
    if statuses["first"].count(200) != len(statuses["first"]):
        raise standins.CannotRun("the first requests were not served")
    asked = sum(len(answers) for answers in statuses.values())
    denied = sum(isinstance(status, int) and 400 <= status < 500 for status in statuses["kept"])
    allowed = OWN_ERRORS_ALLOWED + asked / 500
    if denied > allowed:
        return [
            f"DENIED: {denied} of {asked} requests, sent {WAIT_S} s after the confirmation of the "
            f"version that allows them, were ended with 4xx ({allowed:.1f} allowed)"
        ]
    return []


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))

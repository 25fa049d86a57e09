"""Clients with further requests on their connection leave while the first one waits; see claim.txt."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import standins  # noqa: E402

HOST = "guichet.example"
CLIENTS = 144
# One and a half times what the endpoints can do.
CLIENTS_PER_S = 24.0
PAY_WORK_S = 1.0
LEAVING_SHARE = 0.3
LEAVES_AFTER_S = 0.4
LATE_S = 0.5
# The rule allows "a few".
A_FEW = 3
# FURTHER=0 leaves out the requests behind the payments, to show that they make the difference.
FURTHER = os.environ.get("FURTHER", "1") != "0"


async def visit(record, fleet, number, node, leaves, closed_at):
    """Sends a payment and a look-up behind it; leaves after 0.4 s or reads both answers."""
    client = standins.Client(node.host, fleet.ports["front"])
    pay, look = f"c{number}-pay", f"c{number}-look"
    try:
        await client.connect()
        client.write(pay, HOST, f"/pay/{number}", "POST", b"amount=1", budget_ms=8000)
        if FURTHER:
            client.write(look, HOST, f"/look/{number}", budget_ms=8000)
        record("client", number, "sends", pay, look, "to", node.name)
        if leaves:
            await asyncio.sleep(LEAVES_AFTER_S)
            client.close()
            closed_at[pay] = closed_at[look] = time.monotonic()
            record("client", number, "closes its connection")
            return
        for request_id in (pay, look) if FURTHER else (pay,):
            status, _, _ = await asyncio.wait_for(client.read(), 10.0)
            record("client", number, "gets", request_id, status)
    except (standins.Closed, TimeoutError, OSError) as error:
        record("client", number, "fails", repr(error))
    finally:
        client.close()


async def play(record, trouble):
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    endpoints = []
    for number in range(8):
        endpoint = standins.Endpoint(record, store, "cobro", f"z{number % 2}", slots=2)
        endpoint.work = lambda request: PAY_WORK_S if request["path"].startswith("/pay") else 0.02
        await endpoint.start("127.0.0.1")
        endpoints.append(endpoint)
    store.write_config(
        10,
        [
            standins.route("pay", HOST, "/pay/", "cobro", "non_idempotent", target_latency="3s"),
            standins.route("look", HOST, "/look/", "cobro", target_latency="3s"),
        ],
        [standins.service("cobro")],
    )
    fleet = standins.Fleet(record, store, ["z0", "z1"], 1)
    closed_at = {}
    try:
        await fleet.start()
        await asyncio.sleep(4.0)
        rng = random.Random(13)
        leaving = set(rng.sample(range(CLIENTS), round(LEAVING_SHARE * CLIENTS)))
        started, tasks = time.monotonic(), []
        for number in range(CLIENTS):
            await asyncio.sleep(max(0.0, started + number / CLIENTS_PER_S - time.monotonic()))
            node, leaves = fleet.nodes[number % 2], trouble and number in leaving
            tasks.append(
                asyncio.create_task(visit(record, fleet, number, node, leaves, closed_at))
            )
        await asyncio.gather(*tasks)
        await asyncio.sleep(4.0)
    finally:
        fleet.close()
        fleet.remove()
        for endpoint in endpoints:
            endpoint.stop()
    late = []
    for endpoint in endpoints:
        for run in endpoint.runs:
            if run["id"] in closed_at and run["at"] > closed_at[run["id"]] + LATE_S:
                late.append(run["id"])
                record(run["id"], "ran", round(run["at"] - closed_at[run["id"]], 2), "s after the close")
    record.say("clients that left:", len(closed_at) // 2, "run over 0.5 s later:", len(late))
    if len(late) > A_FEW:
        return [f"{len(late)} requests reached an endpoint over 0.5 s after their client had closed"]
    return []


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))

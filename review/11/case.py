"""Clients leave while a later answer of their connection waits for an earlier one; see claim.txt."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import standins  # noqa: E402

HOST = "relais.example"
KIB = 1024
# Sizes of the bodies that clients send to each node, in four episodes.
UPLOADS = (
    (8192 * KIB,) * 40,
    (1024 * KIB,) * 80,
    (256 * KIB, 64 * KIB) * 60,
    (16 * KIB, 4 * KIB, KIB) * 50,
)
EPISODE_S = 6.0
PAUSE_S = 2.0
LEAVING_SHARE = 0.3
# Half of the objective of their routes, 1 s.
LEAVES_AFTER_S = 0.5
SLOW_WORK_S = 0.8
ANSWER_BYTES = 5000
LATER_S = 30.0
LATER_PER_S = 60.0


class Counts:
    """Requests owed to clients that did not leave."""

    def __init__(self):
        self.owed = self.served = 0
        self.later = {"look": [0, 0], "pay": [0, 0]}
        self.statuses = {}

    def add(self, kind, status, is_later):
        self.owed += 1
        self.served += status == 200
        if is_later:
            self.later[kind][0] += 1
            self.later[kind][1] += status == 200
            self.statuses[status] = self.statuses.get(status, 0) + 1


async def upload(record, fleet, counts, number, node, size, leaves):
    """Sends a slow look-up and, behind it, an upload; leaves after 0.5 s or reads both answers."""
    client = standins.Client(node.host, fleet.ports["front"])
    first, second = f"c{number}-look", f"c{number}-upload"
    try:
        await client.connect()
        client.write(first, HOST, "/look/slow", budget_ms=10000)
        client.write(second, HOST, f"/put/{number}", "PUT", b"x" * size, budget_ms=10000)
        record("client", number, "sends", first, second, size, "to", node.name)
        if leaves:
            await asyncio.sleep(LEAVES_AFTER_S)
            record("client", number, "leaves")
            return
        for request_id in (first, second):
            try:
                status, _, _ = await asyncio.wait_for(client.read(), 12.0)
            except (standins.Closed, TimeoutError, OSError) as error:
                status = type(error).__name__
            record("client", number, "gets", request_id, status)
            counts.add(request_id, status, False)
    except OSError as error:
        record("client", number, "fails", repr(error))
    finally:
        client.close()


async def ask(record, fleet, counts, number, node, kind):
    """Sends one ordinary request on a new connection and reads its answer."""
    client = standins.Client(node.host, fleet.ports["front"])
    request_id = f"{kind}-{number}"
    method, body = ("POST", b"p" * 300) if kind == "pay" else ("GET", b"")
    try:
        status, _, _ = await client.send(
            request_id, HOST, f"/{kind}/{number}", method, body, budget_ms=5000
        )
    except (standins.Closed, TimeoutError, OSError) as error:
        status = type(error).__name__
    finally:
        client.close()
    record("client", node.name, request_id, "gets", status)
    counts.add(kind, status, True)


async def play(record, trouble):
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    endpoints = []
    for number in range(12):
        endpoint = standins.Endpoint(
            record, store, "livres", f"z{number % 3}", slots=16, queue=32, work_s=0.05
        )
        endpoint.work = lambda request: SLOW_WORK_S if request["path"] == "/look/slow" else 0.05
        endpoint.reply = lambda request: (200, {}, b"a" * ANSWER_BYTES)
        await endpoint.start("127.0.0.1")
        endpoints.append(endpoint)
    store.write_config(
        10,
        [
            standins.route("look", HOST, "/look/", "livres"),
            standins.route("put", HOST, "/put/", "livres"),
            standins.route("pay", HOST, "/pay/", "livres", "non_idempotent"),
        ],
        [standins.service("livres")],
        # As in the example of `fleetbench wire`.
        max_body_bytes=67108864,
    )
    fleet = standins.Fleet(record, store, ["z0", "z1", "z2"], 1)
    counts = Counts()
    try:
        await fleet.start()
        await asyncio.sleep(4.0)
        rng = random.Random(11)
        jobs = []
        for node in fleet.nodes:
            for episode, sizes in enumerate(UPLOADS):
                sizes = sorted(sizes, reverse=True)
                leaving = set()
                for size in set(sizes):
                    group = [i for i, each in enumerate(sizes) if each == size]
                    leaving |= set(rng.sample(group, round(LEAVING_SHARE * len(group))))
                for index, size in enumerate(sizes):
                    at = episode * (EPISODE_S + PAUSE_S) + index / len(sizes) * EPISODE_S
                    jobs.append((at, node, size, trouble and index in leaving))
        jobs.sort(key=lambda job: job[0])
        started, tasks = time.monotonic(), []
        for number, (at, node, size, leaves) in enumerate(jobs):
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            tasks.append(
                asyncio.create_task(upload(record, fleet, counts, number, node, size, leaves))
            )
        await asyncio.gather(*tasks)
        record.say("clients that left:", sum(job[3] for job in jobs), "of", len(jobs))
        await asyncio.sleep(5.0)
        started, tasks, number = time.monotonic(), [], 0
        while time.monotonic() < started + LATER_S:
            node, kind = fleet.nodes[number % 3], ("look", "pay")[number // 3 % 2]
            tasks.append(
                asyncio.create_task(ask(record, fleet, counts, number, node, kind))
            )
            number += 1
            await asyncio.sleep(max(0.0, started + number / LATER_PER_S - time.monotonic()))
        await asyncio.gather(*tasks)
        ready = [await node.is_ready() for node in fleet.nodes]
    finally:
        fleet.close()
        fleet.remove()
        for endpoint in endpoints:
            endpoint.stop()
    runs = {run["id"] for each in endpoints for run in each.runs if run["path"].startswith("/pay/")}
    record.say("served of owed:", counts.served, counts.owed, "ready at the end:", ready)
    record.say("later requests, sent and served:", counts.later, "by status:", counts.statuses)
    record.say("payments that endpoints ran:", len(runs))
    breaches = []
    if counts.owed - counts.served > 0.6 * counts.owed:
        breaches.append(
            f"{counts.owed - counts.served} of {counts.owed} requests owed were refused or failed"
        )
    return breaches


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))

"""Three of nine machines are removed permanently; see claim.txt."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import standins  # noqa: E402

HOST = "releve.example"
CONTRACTS = "base,drain,config,cost,retry,recover,health,pool,places,tenants,quota,platform"
QUOTA = {"quota_window": "5s", "quota_overage": "0.1", "quota_slack": "20"}
# Each tenant may send 40 requests per second and sends 10.
TENANTS = ("commune-a", "commune-b", "commune-c")
RATE, BURST, SENT_PER_S = 40, 40, 10
PER_ZONE = 3
LOAD_S = 70.0
# From the start of the load to the first removal, and from one to the next.
REMOVE_AT_S, GAP_S = 5.0, 1.0


async def play(record, trouble):
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    endpoints = []
    for number in range(6):
        endpoint = standins.Endpoint(record, store, "compteurs", f"z{number % 3}", slots=4)
        await endpoint.start("127.0.0.1")
        endpoints.append(endpoint)
    store.write_config(
        10,
        [standins.route("read", HOST, "/read/", "compteurs")],
        [standins.service("compteurs")],
        [
            {"name": name, "api_keys": [f"key-{name}"], "rate_per_s": RATE, "burst": BURST}
            for name in TENANTS
        ],
    )
    fleet = standins.Fleet(
        record, store, ["z0", "z1", "z2"], PER_ZONE, bounds=QUOTA, contracts=CONTRACTS
    )
    numbers = itertools.count()
    removed = set()
    answers = []

    async def ask(node, tenant):
        request_id = f"q{next(numbers):05d}"
        client = standins.Client(node.host, fleet.ports["front"])
        sent_at = record.now()
        try:
            status, _, body = await client.send(
                request_id, HOST, f"/read/{request_id}", Authorization=f"Token key-{tenant}"
            )
            text = "" if status == 200 else body.decode(errors="replace")[:90]
        except (standins.Closed, TimeoutError, OSError) as error:
            status, text = type(error).__name__, ""
        finally:
            client.close()
        record("client", request_id, tenant, "to", node.name, "gets", status, text)
        answers.append((sent_at, tenant, status))

    async def load(tenant, until):
        started, count, tasks = time.monotonic(), 0, []
        while time.monotonic() < until:
            left = [node for node in fleet.nodes if node.name not in removed]
            tasks.append(asyncio.create_task(ask(left[count % len(left)], tenant)))
            count += 1
            await asyncio.sleep(max(0.0, started + count / SENT_PER_S - time.monotonic()))
        await asyncio.gather(*tasks)

    try:
        await fleet.start()
        await asyncio.sleep(6.0)
        # One machine of each zone has this metric.
        chosen = [node for node in fleet.nodes if await node.metric("allotment_holder") == 1.0]
        if len(chosen) != 3:
            raise standins.CannotRun(f"{len(chosen)} nodes grant tokens")
        until = time.monotonic() + LOAD_S
        loads = [asyncio.create_task(load(tenant, until)) for tenant in TENANTS]
        await asyncio.sleep(REMOVE_AT_S)
        if trouble:
            for node in chosen:
                removed.add(node.name)
                node.signal(signal.SIGTERM)
                await asyncio.sleep(GAP_S)
            for node in chosen:
                record("platform:", node.name, "has stopped with", await node.process.wait())
        await asyncio.gather(*loads)
        ready = [node.name for node in fleet.nodes if await node.is_ready()]
        record.say("ready at the end:", *ready)
    finally:
        fleet.close()
        fleet.remove()
        for endpoint in endpoints:
            endpoint.stop()
    first = min(at for at, _, _ in answers)
    for start in range(0, int(LOAD_S), 10):
        part = [status for at, _, status in answers if start <= at - first < start + 10]
        counts = {status: part.count(status) for status in sorted(set(part), key=str)}
        record.say(f"sent {start} to {start + 10} s after the start of the load: {counts}")
    refused = sum(status != 200 for _, _, status in answers)
    record.say(f"refused or failed: {refused} of {len(answers)} owed")
    if refused > 0.6 * len(answers):
        return [f"Gate: {refused} of {len(answers)} owed requests were refused or failed"]
    return []


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))

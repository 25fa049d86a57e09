"""One endpoint crashes while many clients ask the same, on a route that was added later."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import standins

ZONES = ("za", "zb", "zc")
LOOK_UP = standins.Kind("stock", "catalogue", "GET", True, 2.5, 0.8, 5.0)
PRICES = standins.Kind("prices", "catalogue", "GET", True, 2.5, 0.8, 5.0)
# All clients ask for the same list of prices.
PRICES_PATH = f"{PRICES.prefix}today"
PER_S = 30.0
WORK_S = 0.3
# Requests on later routes from which the rule counts, and the share of the others' success.
COUNTED_REQUESTS = 20
LEAST_SHARE = 0.25
# Time for which the steady state is judged, in seconds.
JUDGED_S = 25.0


async def case(record):
    store = standins.Store("127.0.0.1")
    fleet = standins.Fleet(record, store, ZONES, 2)
    try:
        await fleet.serve_store()
        await store.put("config", "main", standins.configuration(1, [LOOK_UP], 10.0))
        endpoints = []
        for index, port in enumerate(standins.free_ports(7)):
            endpoint = standins.Endpoint(
                record,
                store,
                f"i-{index:08x}",
                "catalogue",
                ZONES[index % 3],
                f"{fleet.net}.200",
                port,
                slots=6,
                work_s=WORK_S,
                queue=12,
            )
            await endpoint.start()
            endpoints.append(endpoint)
        fleet.start_all(is_first_start=True)
        await fleet.wait_until_ready(30.0)
        clients = [
            standins.Clients(
                record, zone, fleet.directories, index, own_address=f"{fleet.net}.{101 + index}"
            )
            for index, zone in enumerate(ZONES)
        ]
        loop = asyncio.get_running_loop()
        loads = [
            loop.create_task(each.load(LOOK_UP, PER_S / 3, 55.0 - record.now())) for each in clients
        ]
        await asyncio.sleep(3.0)
        await store.put("config", "main", standins.configuration(4, [LOOK_UP, PRICES], 10.0))
        record.write("configuration confirmed", version="r4")
        await asyncio.sleep(5.0)
        loads += [
            loop.create_task(each.load(PRICES, PER_S / 3, 55.0 - record.now(), PRICES_PATH))
            for each in clients
        ]
        await asyncio.sleep(5.0)
        if standins.has_trouble():
            # On average, an endpoint has more than one of these requests at work.
            while endpoints[0].running(PRICES_PATH) < 2:
                await asyncio.sleep(0.005)
            endpoints[0].crash()
        crashed_at = record.now()
        # The endpoint is back after `CRASH_S`; the state is steady `stable_window` later.
        steady_at = crashed_at + standins.CRASH_S + standins.STABLE_WINDOW_S
        await asyncio.gather(*loads)
        return judge(record, clients, endpoints, steady_at)
    finally:
        fleet.close()


def judge(record, clients, endpoints, steady_at):
    """CONFIG: requests on later routes are served less than a quarter as often as the others."""
    crashes = sum(len(endpoint.crashed_at) for endpoint in endpoints)
    record.say(f"endpoints that crashed: {crashes} of {len(endpoints)}")
    attempts = [
        each
        for client in clients
        for each in client.attempts
        if steady_at <= each.sent_at < steady_at + JUDGED_S
    ]
    shares = {}
    for kind in (LOOK_UP, PRICES):
        chosen = [each for each in attempts if each.kind is kind]
        statuses = sorted({each.status for each in chosen})
        counts = {status: sum(e.status == status for e in chosen) for status in statuses}
        shares[kind] = counts.get(200, 0) / max(1, len(chosen)), len(chosen)
        record.say(f"{kind.name}, {JUDGED_S:g} s of steady state: {counts}")
    (first, _), (later, count) = shares[LOOK_UP], shares[PRICES]
    record.say(f"served: first route {first:.3f}, later route {later:.3f} of {count} requests")
    return count >= COUNTED_REQUESTS and later < LEAST_SHARE * first


standins.run_case(pathlib.Path(__file__).resolve().parent, case)

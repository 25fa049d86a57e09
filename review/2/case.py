"""A registration by another writer, whose address cannot be read, beside sound endpoints."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
import standins

LOAD_S = 50.0
# Requests a second in each of three zones; the endpoints can run some 30 a second in all.
PER_ZONE_S = 6.0
LOOK_UP = standins.Kind("look", "seats", "GET", True, 2.0, 0.6, 4.0)


async def case(record):
    store = standins.Store("127.0.0.1")
    zones = ("za", "zb", "zc")
    fleet = standins.Fleet(record, store, zones, 2)
    try:
        await fleet.serve_store()
        await store.put("config", "main", standins.configuration(1, [LOOK_UP]))
        endpoints = []
        ports = standins.free_ports(6)
        noise = random.Random(1)
        for index, port in enumerate(ports):
            endpoint = standins.Endpoint(
                record,
                store,
                f"i-{index:08x}",
                "seats",
                zones[index % 3],
                f"{fleet.net}.200",
                port,
                slots=2,
                work_s=0.22,
            )
            # Endpoints share their machines: a quarter of the time work takes four times as long.
            endpoint.pace = lambda: 4.0 if noise.random() < 0.25 else 1.0
            await endpoint.start()
            endpoints.append(endpoint)
        fleet.start_all(is_first_start=True)
        await fleet.wait_until_ready(30.0)
        clients = [
            standins.Clients(record, zone, fleet.directories, index)
            for index, zone in enumerate(zones)
        ]
        loads = [
            asyncio.get_running_loop().create_task(each.load(LOOK_UP, PER_ZONE_S, LOAD_S))
            for each in clients
        ]
        await asyncio.sleep(8.0)
        if standins.has_trouble():
            # A sound entry in all but its address, which has bytes that are no text.
            spec = endpoints[0].spec() | {"address": f"\ufffd\ufffd\ufffd.64.13:{ports[0]}"}
            await store.put("servers", "i-ffffffff", spec)
            record.write("entry written", name="i-ffffffff", address="unreadable")
        trouble_at = record.now()
        await asyncio.gather(*loads)
        return judge(record, clients, endpoints, trouble_at)
    finally:
        fleet.close()


def judge(record, clients, endpoints, trouble_at):
    """LOST: requests from kept connections, at work at an endpoint, closed without an answer."""
    attempts = [each for client in clients for each in client.attempts]
    runs = {}
    for endpoint in endpoints:
        for arrival in endpoint.arrivals:
            if arrival.started is not None:
                runs.setdefault(arrival.id, []).append(arrival)
    closed = [each for each in attempts if each.end == "closed"]
    early = [
        each
        for each in closed
        if each.ended_at - each.sent_at < min(each.kind.timeout_s, each.kind.budget_s) - 0.1
    ]
    lost = [each for each in early if each.is_on_kept_connection and each.id in runs]
    later = [each for each in attempts if each.sent_at >= trouble_at]
    record.say(f"attempts: {len(attempts)}, of them {len(later)} after the entry was written")
    for status in sorted({each.status for each in later}):
        count = sum(each.status == status for each in later)
        record.say(f"ended with {status or 'a close and no answer'}: {count} of {len(later)}")
    record.say(
        f"closed without an answer before any limit: {len(early)}; "
        f"passed on to an endpoint, from a kept connection: {len(lost)} (3 are allowed)"
    )
    by_node = collections.Counter(each.node for each in lost)
    record.say(f"by machine: {sorted(by_node.values(), reverse=True)}")
    for each in lost[:5]:
        record.say(
            f"lost {each.id} at {each.node}: sent {each.sent_at:.3f}, "
            f"runs at {runs[each.id][0].started:.3f}, closed {each.ended_at:.3f}"
        )
    # The strict reading of the rule: one machine does so more than three times.
    return max(by_node.values(), default=0) > 3


standins.run_case(pathlib.Path(__file__).resolve().parent, case)

"""The operator takes away the keys of the last tenant; see claim.txt."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
import standins  # noqa: E402

HOST = "releve.example"
CONTRACTS = "base,drain,config,cost,retry,recover,health,pool,places,tenants,quota,platform"
CONFIG_DEADLINE_S = 2.0
FIRST, SECOND, NEVER = "key-of-first-4711", "key-of-second-0815", "key-that-nobody-ever-had"
ROUTES = [
    standins.route("read", HOST, "/read/", "compteurs"),
    standins.route("book", HOST, "/book/", "compteurs", "non_idempotent"),
]


def tenant(name, key):
    return {"name": name, "api_keys": [key], "priority": None, "rate_per_s": 0, "burst": 0}


async def ask(record, fleet, node, request_id, key, claimed=None):
    """Sends a booking with a key and returns the status of its answer."""
    client = standins.Client(node.host, fleet.ports["front"])
    headers = {"Authorization": f"Token {key}"}
    if claimed:
        headers["X_Tenant"] = claimed
    try:
        status, _, _ = await client.send(
            request_id, HOST, f"/book/{request_id}", "POST", b"index=1", **headers
        )
    except (standins.Closed, TimeoutError, OSError) as error:
        status = type(error).__name__
    finally:
        client.close()
    record("client", request_id, "with", key, "to", node.name, "gets", status)
    return status


async def play(record, trouble):
    store = standins.Store(record)
    await store.listen("127.0.0.1")
    endpoints = []
    for number in range(6):
        endpoint = standins.Endpoint(record, store, "compteurs", f"z{number % 3}", slots=4)
        await endpoint.start("127.0.0.1")
        endpoints.append(endpoint)
    services = [standins.service("compteurs")]
    tenants = [tenant("first", FIRST), tenant("second", SECOND)]
    store.write_config(10, ROUTES, services, tenants)
    fleet = standins.Fleet(record, store, ["z0", "z1", "z2"], 1, contracts=CONTRACTS)
    statuses = {}
    try:
        await fleet.start()
        await asyncio.sleep(4.0)

        async def round_of(name, *asked):
            for node in fleet.nodes:
                for label, key, claimed in asked:
                    request_id = f"{name}-{label}-{node.zone}"
                    statuses[request_id] = await ask(record, fleet, node, request_id, key, claimed)

        everyone = (
            ("first", FIRST, None),
            ("second", SECOND, None),
            ("never", NEVER, "first"),
        )
        await round_of("all", *everyone)
        # The second tenant leaves, then the first one as well.
        store.write_config(12, ROUTES, services, tenants[:1])
        await asyncio.sleep(CONFIG_DEADLINE_S + 1.0)
        await round_of("one", *everyone)
        if trouble:
            spec = dict(store.kinds["config"]["main"]["spec"])
            spec["version"] = "r15"
            spec["tenants"] = {**spec["tenants"], "rows": []}
            store.put("config", "main", spec)
            record("operator: config r15 confirmed, no tenant and no key left")
            await asyncio.sleep(CONFIG_DEADLINE_S + 3.0)
            await round_of("none", *everyone)
    finally:
        fleet.close()
        fleet.remove()
        for endpoint in endpoints:
            endpoint.stop()
    breaches = []
    runs = {run["id"]: run for endpoint in endpoints for run in endpoint.runs}
    allowed = {"all": ("first", "second"), "one": ("first",), "none": ()}
    for request_id, status in statuses.items():
        stage, label, _ = request_id.split("-")
        run = runs.get(request_id)
        if label in allowed[stage]:
            if run is None or run["headers"].get("x-tenant") != label:
                raise standins.CannotRun(f"{request_id} was answered {status}")
            continue
        if run is None:
            continue
        rule = "ROUTE" if label == "never" else "CONFIG"
        breaches.append(f"{rule}: {request_id} ran though its key is in no version in force")
    for request_id, run in runs.items():
        if "authorization" in run["headers"]:
            breaches.append(f"UNASKED: the key itself was passed on with {request_id}")
        if run["headers"].get("x-tenant") not in (None, request_id.split("-")[1]):
            breaches.append(
                f"UNASKED: {request_id} ran with X-Tenant {run['headers']['x-tenant']}"
            )
    return breaches


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))

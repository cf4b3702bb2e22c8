"""A status report of another writer names an unknown service and the address of a live server."""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from platform_standins import BOUNDS, Client, Operator, Server, Unable, call, run

ZONES = ["a", "b", "c"]
SAFE, UNSAFE = ("198.18.0.1", 443), ("198.18.0.1", 444)


def scenario(deploy, record, trouble):
    deployment = deploy(ZONES, ZONES, ZONES)
    operator = Operator(deployment, ["s"], [(*SAFE, "safe", "s"), (*UNSAFE, "unsafe", "s")])
    if not operator.put():
        raise Unable("the first config is not acknowledged")
    server = Server(deployment, 0, "s", "a")
    deployment.wait_ready()
    time.sleep(BOUNDS["contact_ms"] / 1000 + 1)
    client = Client(deployment)
    flows = [client.connect(route) for route in (SAFE, UNSAFE) * 4]
    if None in flows:
        raise Unable("a flow does not open")
    for number, flow in enumerate(flows):
        if client.request(flow, f"before-{number}") is None:
            raise Unable("a request is not answered")
    if trouble:
        address = f"{server.address[0]}:{server.address[1]}"
        report = dict(service="unknown", address=address, zone="a", version="v1", slots=2,
                      state="ready", warmup_left_ms=0, sequence=1, born=int(time.time() * 1000))
        status, _, _ = call(deployment.stores[0].control, "POST",
                            "/-/instances/i-5ca1ab1e/heartbeat", json.dumps(report))
        record(f"other writer: reports service `unknown` at {address}; the response is {status}")
    time.sleep(1.5)
    answers = [client.request(flow, f"after-{number}") for number, flow in enumerate(flows)]
    fresh = client.connect(SAFE)
    time.sleep(6)
    later = client.connect(SAFE)
    record(f"client: a new flow opens: {fresh is not None}, and 8 s later: {later is not None}")
    record(f"client: requests on the flows that were open: {answers}")
    foreign = [flow.src[1] for _, flow, origin in client.resets
               if origin == "the system" and flow.open]
    if foreign:
        return (f"FLOW: {len(foreign)} open flows of a live server are reset by the system: "
                f"ports {foreign}")
    return None


run(pathlib.Path(__file__).parent, scenario)

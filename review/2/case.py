"""A server restarts under its id; a deregistration of its former boot arrives late."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from platform_standins import BOUNDS, Client, Operator, Server, Unable, run

ZONES = ["a", "b", "c"]
SAFE, UNSAFE = ("198.18.0.1", 443), ("198.18.0.1", 444)
# The link between the server and one store is cut for this long.
CUT_S = 5.5
# When TCP sends the bytes again that the cut has held up: its timer doubles from 0.2 s.
ARRIVAL_S = 12.6


def scenario(deploy, record, trouble):
    deployment = deploy(ZONES, ZONES, ZONES)
    operator = Operator(deployment, ["s"], [(*SAFE, "safe", "s"), (*UNSAFE, "unsafe", "s")])
    if not operator.put():
        raise Unable("the first config is not acknowledged")
    server = Server(deployment, 0, "s", "a")
    other = Server(deployment, 1, "s", "b")
    deployment.wait_ready()
    time.sleep(BOUNDS["contact_ms"] / 1000)
    record(f"server {server.id}: a planned restart begins")
    server.drain()
    time.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
    start = time.monotonic()
    first = deployment.stores[0]
    if trouble:
        record(f"network: the link between {server.id} and {first.name} is cut for {CUT_S} s")
        cut_link = server.cut(first, CUT_S, ARRIVAL_S)
    server.deregister(first=first)
    server.crash()
    time.sleep(0.5)
    again = Server(deployment, 0, "s", "a", id_=server.id)
    if trouble:
        again.unreachable = {first.control: start + CUT_S}
    time.sleep(max(0, start + 8 - time.monotonic()))
    client = Client(deployment)
    flows = []
    while len([1 for flow in flows if flow.src in again.clients()]) < 6:
        flow = client.connect((SAFE, UNSAFE)[len(flows) % 2])
        if flow is None or len(flows) > 60:
            raise Unable("the flows do not open")
        flows.append(flow)
    for number, flow in enumerate(flows):
        if client.request(flow, f"before-{number}") != f"done before-{number}":
            raise Unable("a request is not answered")
    if time.monotonic() > start + ARRIVAL_S - 0.2:
        raise Unable("the flows open too late")
    time.sleep(max(0, start + ARRIVAL_S + 1.5 - time.monotonic()))
    if trouble:
        cut_link.join()
    held = [flow.src[1] for flow in flows if flow.src in again.clients()]
    opened = len(again.opened)
    for _ in range(20):
        client.connect(SAFE)
    record(f"client: of 20 new flows {len(again.opened) - opened} reach the server that has "
           f"restarted; its last report was acknowledged: {again.acknowledged}")
    foreign = [flow.src[1] for _, flow, origin in client.resets
               if origin == "the system" and flow.open and flow.src[1] in held]
    if foreign:
        return (f"FLOW: {len(foreign)} open flows of a live server are reset by the system: "
                f"ports {foreign}")
    return None


run(pathlib.Path(__file__).parent, scenario)

"""A server restarts under its id; the deregistration of its former boot arrives late."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from platform_standins import BOUNDS, Client, Link, Operator, Server, Unable, run

ZONES = ["a", "b", "c"]
SAFE, UNSAFE = ("198.18.0.1", 443), ("198.18.0.1", 444)
# The link between the server and one store is cut for this long.
CUT_S = 5.5
FLOWS = 6


def scenario(deploy, record, trouble):
    deployment = deploy(ZONES, ZONES, ZONES)
    operator = Operator(deployment, ["s"], [(*SAFE, "safe", "s"), (*UNSAFE, "unsafe", "s")])
    if not operator.put():
        raise Unable("the first config is not acknowledged")
    server = Server(deployment, 0, "s", "a")
    Server(deployment, 1, "s", "b")
    deployment.wait_ready()
    time.sleep(BOUNDS["contact_ms"] / 1000)

    record(f"server {server.id}: a planned restart begins")
    server.drain()
    time.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
    first, entry = deployment.stores[0], deployment.entries[0]
    link, start = Link(deployment, first), time.monotonic()
    if trouble:
        link.cut(CUT_S)
    server.deregister(first, link)
    server.crash()
    link.near.close()
    time.sleep(0.2)
    again = Server(deployment, 0, "s", "a", id_=server.id,
                   unreachable={first.control: start + CUT_S} if trouble else {})
    client = Client(deployment)
    flows = []
    for number in range(60):
        flow = client.connect((SAFE, UNSAFE)[number % 2], entry)
        if flow is None:
            raise Unable("a flow does not open")
        client.request(flow, f"before-{number}")
        if flow.src in again.clients():
            flows.append(flow)
        if len(flows) == FLOWS:
            break
        time.sleep(0.02)
    else:
        raise Unable("the server that has restarted gets no flows")

    # A planned restart of the entry that the flows go through.
    deployment.restart(entry)
    if trouble and time.monotonic() > start + CUT_S - 0.1:
        raise Unable("the entry has restarted too late")
    time.sleep(max(0, start + CUT_S + BOUNDS["contact_ms"] / 1000 + 0.5 - time.monotonic()))
    record("client: nothing was disturbed for `contact_ms`; the flows are used again")
    idle = [flow for flow in flows if not flow.reset and flow.src in again.clients()]
    for number, flow in enumerate(idle):
        client.request(flow, f"after-{number}")
    opened = len(again.opened)
    for _ in range(20):
        client.connect(SAFE)
    record(f"client: of 20 new flows {len(again.opened) - opened} reach the server that has "
           f"restarted; its last report was acknowledged: {again.acknowledged}")
    reset = [flow.src[1] for flow in idle
             if flow.reset == "the system" and flow.src in again.clients()]
    if reset:
        return (f"FLOW: {len(reset)} open flows of a live server are reset by the system: "
                f"ports {reset}")
    return None


run(pathlib.Path(__file__).parent, scenario)

"""Two stores are replaced one after the other, the second once the successor of the first counts."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from platform_standins import BOUNDS, Operator, Server, Unable, run

ZONES = ["a", "b", "c"]


def scenario(deploy, record, trouble):
    deployment = deploy(ZONES, ZONES, ZONES)
    operator = Operator(deployment, ["s"], [("198.18.0.1", 443, "safe", "s")])
    if not operator.put():
        raise Unable("the first config is not acknowledged")
    for number, zone in enumerate(ZONES):
        Server(deployment, number, "s", zone)
    deployment.wait_ready()
    time.sleep(BOUNDS["contact_ms"] / 1000)
    for number in (0, 1):
        if trouble:
            record(f"platform: store {number} is gone for good; an empty one comes elsewhere")
            deployment.stores[number].kill()
            deployment.add_store(ZONES[number])
            deployment.seed_list = [f"{store.ip}:{deployment.control_port}"
                                    for store in deployment.stores if store.running()]
        # The removed machine stops counting once its successor has had `catch_up_s`.
        end = time.monotonic() + BOUNDS["catch_up_s"] + 1
        while time.monotonic() < end and (number == 0 or not trouble):
            if not operator.put(timeout=10):
                raise Unable("a config is not acknowledged while one store is lost")
            time.sleep(0.3)
    # All machines are back: `recovery_s`, then the reads of the end of the day.
    time.sleep(BOUNDS["recovery_s"])
    acked = operator.acked
    version = operator.read(timeout=25)
    if version is None:
        return f"CONFIG: config {acked} was acknowledged and cannot be read back"
    if version < acked:
        return f"CONFIG: config {acked} was acknowledged, {version} is read back"
    if not operator.put(timeout=15):
        return "CONFIG: no config is acknowledged any more"
    return None


run(pathlib.Path(__file__).parent, scenario)

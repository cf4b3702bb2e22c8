"""Stand-ins for the platform: process starts, settings, the operator, routers, clients and back ends.

Everything runs on loopback addresses and the real clock. Python's standard library alone is used.
"""

import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
    "config_apply_ms": 3000, "recovery_s": 12, "flow_ms": 2000, "seed_lag_s": 3, "addr_reuse_s": 2,
}
HEARTBEAT_S = 1.2
# Between two zones of the site clachan-edi.
ROUND_TRIP_S = 0.0028

SYN, ACK, RST, FIN = 4, 1, 8, 128
HEAD = struct.Struct(">II4sHH4sIIHBB")
# The key of the sums of packets; only clients and back ends know it.
SUM_KEY = b"review"


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.start:8.3f} s  {text}"
            self.file.write(line + "\n")
            self.file.flush()


def render(template, fields):
    """Renders a settings template as the platform does."""

    def lookup(path, context):
        if path == ".":
            return context
        value = context
        for part in path.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                return None
        return value

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    def fill(text, context, key):
        section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def replace_section(match):
            kind, name, body = match.groups()
            value = lookup(name, fields)
            empty = value is None or value is False
            if kind == "^":
                return fill(body, context, key) if empty else ""
            if empty:
                return ""
            if isinstance(value, dict) and all(not isinstance(v, dict) for v in value.values()):
                return "".join(fill(body, v, k) for k, v in value.items())
            return fill(body, context, key)

        text = section.sub(replace_section, text)

        def replace_name(match):
            name = match.group(1)
            if name == "@":
                return str(key)
            as_json = name.endswith("|json")
            name = name[:-len("|json")] if as_json else name
            value = context if name == "." else lookup(name, fields)
            return json.dumps(value) if as_json else text_of(value)

        return re.sub(r"\{\{([^#^/}][^}]*)\}\}", replace_name, text)

    return fill(template, None, None)


class Instance:
    """A machine with one process of the system."""

    def __init__(self, deployment, role, number, zone):
        self.deployment, self.role, self.number, self.zone = deployment, role, number, zone
        self.name = f"{role}-{zone}-{number}"
        base = {"store": 10, "entry": 100}[role]
        self.ip = deployment.ip(base + number)
        self.process = None
        self.data = deployment.folder / self.name if role == "store" else None

    @property
    def control(self):
        return (self.ip, self.deployment.control_port)

    def start(self, bootstrap=False):
        deployment = self.deployment
        if self.data:
            self.data.mkdir(exist_ok=True)
        store = self.role == "store"
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip, "role": self.role,
            "listen": {
                "control": f"{self.ip}:{deployment.control_port}" if store else None,
                "datagram_addr": None if store else f"{self.ip}:{deployment.packet_port}",
                "readiness_addr": None if store else f"{self.ip}:{deployment.ready_port}",
            },
            "data_dir": str(self.data) if store else None,
            "internal_port_range": [deployment.inner_port, deployment.inner_port + 15],
            "seeds": deployment.seeds(), "bootstrap": bootstrap,
            "limits": {"link_mbps": 1000.0},
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "heartbeat_ms": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
            "zones": {zone: "r" for zone in deployment.zones},
        }
        text = render((ROOT / "platform/settings.toml.in").read_text(), fields)
        # A free port in place of the deploy file's.
        text = text.replace("metrics = 9464", f"metrics = {deployment.metrics_port}")
        path = deployment.folder / f"{self.name}.toml"
        path.write_text(text)
        log = open(deployment.folder / f"{self.name}.log", "ab")
        command = [str(ROOT / "target/release/mimosausher-platform"), str(path)]
        self.process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        cwd=ROOT, env={"PATH": os.environ.get("PATH", "")})
        log.close()
        deployment.record(f"platform: {self.name} starts, bootstrap {bootstrap}")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
        self.process = None

    def signal(self, number):
        self.process.send_signal(number)

    def lose_disk(self):
        shutil.rmtree(self.data)

    def running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Stores and entries as processes on loopback addresses of their own."""

    def __init__(self, record, zones, stores, entries):
        """`stores` and `entries` name the zone of each machine."""
        self.record, self.zones = record, zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = self.free_network()
        probes = [socket.socket() for _ in range(4)]
        for probe in probes:
            probe.bind((self.ip(10), 0))
        ports = [probe.getsockname()[1] for probe in probes]
        for probe in probes:
            probe.close()
        self.control_port, self.packet_port, self.ready_port, self.metrics_port = ports
        self.inner_port = random.randrange(20000, 30000)
        self.server_port = random.randrange(10000, 19000)
        self.stores = [Instance(self, "store", n, zone) for n, zone in enumerate(stores)]
        self.seed_list = [f"{store.ip}:{self.control_port}" for store in self.stores[:3]]
        self.entries = [Instance(self, "entry", n, zone) for n, zone in enumerate(entries)]
        self.closers = []

    @staticmethod
    def free_network():
        pid = os.getpid()
        return f"127.{32 + pid % 64}.{pid // 64 % 200 + 1}"

    def ip(self, host):
        return f"{self.network}.{host}"

    def seeds(self):
        return self.seed_list

    def start(self):
        for instance in self.stores + self.entries:
            instance.start(bootstrap=True)

    def restart(self, instance):
        """A planned restart: SIGTERM, SIGKILL after `grace_s`, and a start."""
        self.record(f"platform: {instance.name} gets SIGTERM")
        instance.signal(signal.SIGTERM)
        try:
            instance.process.wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            pass
        instance.kill()
        instance.start()

    def add_store(self, zone):
        store = Instance(self, "store", len(self.stores), zone)
        self.stores.append(store)
        store.start()
        return store

    def control_addresses(self):
        return [store.control for store in self.stores if store.running()]

    def close(self):
        for closer in self.closers:
            closer()
        for instance in self.stores + self.entries:
            instance.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def wait_ready(self, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if all(is_ready(entry) for entry in self.entries):
                return
            time.sleep(0.1)
        raise Unable("the entries are not ready")

    def ready_entries(self):
        return [entry for entry in self.entries if is_ready(entry)]


class Unable(Exception):
    """The case cannot run."""


def is_ready(entry):
    if not entry.running():
        return False
    status, _, _ = call((entry.ip, entry.deployment.ready_port), "GET", "/-/ready")
    return status == 200


class Link:
    """A TCP connection to a store whose bytes a partition can hold up."""

    def __init__(self, deployment, store):
        self.record, self.store, self.cut_until = deployment.record, store, 0.0
        with socket.create_server((deployment.ip(240), 0)) as listener:
            self.near = socket.create_connection(listener.getsockname())
            self.middle, _ = listener.accept()
        self.far = socket.create_connection(store.control)
        self.thread = threading.Thread(target=self.carry, daemon=True)
        self.thread.start()

    def cut(self, length):
        """Cuts the link. What is sent meanwhile arrives when the cut ends."""
        self.cut_until = time.monotonic() + length
        self.record(f"network: the link to {self.store.name} is cut for {length} s")

    def carry(self):
        while data := self.middle.recv(4096):
            self.wait()
            self.record(f"network: {len(data)} bytes arrive at {self.store.name}")
            self.far.sendall(data)
        self.wait()
        # TCP sends what a cut has held up again segment by segment, one each round trip.
        time.sleep(ROUND_TRIP_S)
        self.far.shutdown(socket.SHUT_WR)
        self.far.settimeout(2)
        try:
            self.far.recv(4096)
        except OSError:
            pass
        self.far.close()

    def wait(self):
        time.sleep(max(0, self.cut_until - time.monotonic()))


def call(address, method, path, body=None, timeout=1.0, through=None):
    """One HTTP call; the status is None if no response arrives in time."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        if through:
            connection.sock = through.near
            connection.sock.settimeout(timeout)
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location")
    except OSError:
        return None, b"", None
    except http.client.HTTPException:
        return None, b"", None
    finally:
        connection.close()


def call_following(address, method, path, body=None):
    """A call that follows a 307 twice, as every caller of the control address does."""
    for _ in range(3):
        status, data, location = call(address, method, path, body)
        if status != 307:
            return status, data
        host, port = re.match(r"http://([^:/]+):(\d+)/", location).groups()
        address = (host, int(port))
    return None, b""


class Operator:
    """Sends configs and reads them back, at any store, until it gets a clear response."""

    def __init__(self, deployment, services, routes):
        self.deployment, self.record = deployment, deployment.record
        self.services, self.routes = services, routes
        self.version, self.acked = 0, 0

    def config(self, version):
        routes = [dict(
            name=f"r-{number}", host=host, path_prefix=f"/{port}/", type=kind, timeout_ms=3000,
            goal_ms=500, priority=1, service=service, max_attempts=2,
        ) for number, (host, port, kind, service) in enumerate(self.routes)]
        services = [dict(name=name, health_path="/health", max_flows=2000, protocol="h1", tls=False)
                    for name in self.services]
        limits = dict(max_header_bytes=16384, max_body_bytes=262144, header_timeout_ms=3000,
                      idle_timeout_ms=15000)
        return json.dumps(dict(version=version, routes=routes, services=services, limits=limits))

    def put(self, timeout=20):
        """Sends the next version until it is acknowledged; returns whether it was."""
        self.version += random.randrange(1, 4)
        body, end = self.config(self.version), time.monotonic() + timeout
        sent = time.monotonic()
        while time.monotonic() < end:
            for address in shuffled(self.deployment.control_addresses()):
                status, _ = call_following(address, "POST", "/-/config/put", body)
                if status == 200:
                    self.acked = self.version
                    took = time.monotonic() - sent
                    self.record(f"operator: config {self.version} acknowledged after {took:.3f} s")
                    return True
            time.sleep(0.2)
        self.record(f"operator: config {self.version} not acknowledged in {timeout} s")
        return False

    def read(self, timeout):
        """Reads the config until a store answers with 200; returns its version or None."""
        end, statuses = time.monotonic() + timeout, {}
        while time.monotonic() < end:
            for address in shuffled(self.deployment.control_addresses()):
                status, data = call_following(address, "GET", "/-/config/get")
                statuses[status] = statuses.get(status, 0) + 1
                if status == 200:
                    version = json.loads(data)["version"]
                    self.record(f"operator: read config {version}")
                    return version
            time.sleep(0.2)
        self.record(f"operator: no config read in {timeout} s; responses by status: {statuses}")
        return None


def shuffled(items):
    return random.sample(items, len(items))


class Packet:
    """A packet of the platform."""

    def __init__(self, src, dst, flags, seq=0, ack=0, data=b"", echo=0, sum_=None):
        self.src, self.dst, self.flags, self.seq, self.ack = src, dst, flags, seq, ack
        self.data, self.echo, self.sum = data, echo, sum_

    def checksum(self):
        text = HEAD.pack(0, 0, socket.inet_aton(self.src[0]), self.src[1], self.dst[1],
                         socket.inet_aton(self.dst[0]), self.seq, self.ack, len(self.data),
                         self.flags & ~2, 0)
        return zlib.crc32(SUM_KEY + text + self.data) or 1

    def encode(self):
        total = self.checksum() if self.sum is None else self.sum
        return HEAD.pack(self.echo, total, socket.inet_aton(self.src[0]), self.src[1], self.dst[1],
                         socket.inet_aton(self.dst[0]), self.seq, self.ack, len(self.data),
                         self.flags, 0) + self.data

    @staticmethod
    def decode(data):
        echo, total, src, sport, dport, dst, seq, ack, size, flags, _ = HEAD.unpack(data[:32])
        packet = Packet((socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport), flags, seq,
                        ack, data[32:], echo, total)
        return packet

    def genuine(self):
        return self.sum == self.checksum()


class Server:
    """A back end: holds flows, runs requests in its slots and reports its status."""

    def __init__(self, deployment, number, service, zone, work_s=0.03, id_=None, born=None,
                 unreachable=None):
        self.deployment, self.record = deployment, deployment.record
        self.service, self.zone, self.work_s = service, zone, work_s
        self.id = id_ or f"i-{random.getrandbits(32) | 1:08x}"
        self.tag = int(self.id[2:], 16)
        self.address = (deployment.ip(150 + number), deployment.server_port)
        self.born = born or int(time.time() * 1000)
        self.sequence, self.state, self.alive = 0, "ready", True
        self.flows, self.opened = {}, []
        self.ran = []
        self.drain_acked, self.acknowledged = None, False
        # Stores that this server does not reach, by address, each until a time.
        self.unreachable = unreachable or {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.address)
        self.socket.settimeout(0.05)
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=work, daemon=True)
                        for work in (self.receive, self.report_status)]
        for thread in self.threads:
            thread.start()
        deployment.closers.append(self.crash)
        self.record(f"server {self.id}: starts at {self.address[0]} for {service}, born {self.born}")

    def crash(self):
        if not self.alive:
            return
        self.alive = False
        for thread in self.threads:
            thread.join()
        self.socket.close()
        self.record(f"server {self.id}: ends")

    def body(self):
        address = f"{self.address[0]}:{self.address[1]}"
        return json.dumps(dict(service=self.service, address=address, zone=self.zone, version="v1",
                               slots=2, state=self.state, warmup_left_ms=0,
                               sequence=self.sequence, born=self.born))

    def report_status(self):
        while self.alive:
            self.sequence += 1
            state = self.state
            body, path = self.body(), f"/-/instances/{self.id}/heartbeat"
            self.acknowledged = False
            for address in shuffled(self.deployment.control_addresses()):
                if self.unreachable.get(address, 0) > time.monotonic():
                    time.sleep(1)
                    continue
                status, _ = call_following(address, "POST", path, body)
                if status is not None and 200 <= status < 300:
                    self.acknowledged = True
                    if state == "draining" and self.drain_acked is None:
                        self.drain_acked = time.monotonic()
                        self.record(f"server {self.id}: report {self.sequence}, draining, "
                                    f"acknowledged with {status}")
                    break
            end = time.monotonic() + HEARTBEAT_S * random.uniform(0.9, 1.1)
            while self.alive and time.monotonic() < end and self.state == state:
                time.sleep(0.02)

    def drain(self, timeout=10):
        """Reports `draining` until a store acknowledges it."""
        self.state = "draining"
        end = time.monotonic() + timeout
        while self.drain_acked is None:
            if time.monotonic() > end:
                raise Unable("the drain is not acknowledged")
            time.sleep(0.02)

    def deregister(self, first, link=None):
        """Deregisters, at `first` before the other stores; the call has no body."""
        others = [store for store in self.deployment.stores if store is not first]
        path = f"/-/instances/{self.id}/deregister"
        for store in [first] + others:
            through = link if store is first else None
            status, _, _ = call(store.control, "POST", path, through=through)
            self.record(f"server {self.id}: deregisters at {store.name}; the response: {status}")
            if status is not None and 200 <= status < 300:
                return

    def clients(self):
        """The clients' ends of the open flows."""
        with self.lock:
            return [src for (src, _), flow in self.flows.items() if flow["open"]]

    def send(self, packet):
        self.socket.sendto(packet.encode(), (packet.dst[0], self.deployment.packet_port))

    def receive(self):
        while self.alive:
            try:
                data, _ = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            tag, packet = int.from_bytes(data[:8], "big"), Packet.decode(data[8:])
            if tag not in (0, self.tag):
                continue
            with self.lock:
                self.handle(packet)

    def handle(self, packet):
        if not packet.genuine():
            self.record(f"server {self.id}: a forged packet from {packet.src}")
            return
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = dict(seq=random.getrandbits(31), next=packet.seq + 1, open=False, count=0,
                            requests={})
                self.flows[key] = flow
                self.opened.append((time.monotonic(), packet.src))
            self.send(Packet(packet.dst, packet.src, SYN | ACK, flow["seq"], flow["next"],
                             echo=packet.echo))
            return
        if flow is None:
            if not packet.flags & RST:
                self.record(f"server {self.id}: resets {packet.src[1]}, which it does not hold")
                self.send(Packet(packet.dst, packet.src, RST, packet.ack, packet.seq))
            return
        flow["echo"] = packet.echo
        if not flow["open"]:
            if packet.ack != flow["seq"] + 1:
                return
            flow["open"] = True
            flow["seq"] += 1
            self.record(f"server {self.id}: the flow of port {packet.src[1]} is open")
        if packet.flags & FIN:
            self.send(Packet(packet.dst, packet.src, ACK | FIN, flow["seq"], packet.seq + 1,
                             echo=packet.echo))
            self.flows.pop(key)
            return
        if packet.data:
            self.receive_request(key, flow, packet)

    def receive_request(self, key, flow, packet):
        flow["count"] += 1
        if packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            name = packet.data.decode()
            self.ran.append(name)
            self.record(f"server {self.id}: runs {name}")
            threading.Timer(self.work_s, self.respond, (key, name)).start()
        # Each end acknowledges every second packet.
        if flow["count"] % 2 == 0:
            self.send(Packet(packet.dst, packet.src, ACK, flow["seq"], flow["next"],
                             echo=packet.echo))

    def respond(self, key, name):
        with self.lock:
            flow = self.flows.get(key)
            if not self.alive or flow is None:
                return
            data = f"done {name}".encode()
            src, dst = key
            try:
                self.send(Packet(dst, src, ACK, flow["seq"], flow["next"], data, flow["echo"]))
            except OSError:
                return
            flow["seq"] += len(data)


class Flow:
    """A client's end of a flow."""

    def __init__(self, client, port, route):
        self.client, self.src, self.route = client, (client.ip, port), route
        self.seq, self.ack, self.echo = random.getrandbits(31), 0, 0
        self.open, self.reset = False, None
        self.event = threading.Event()
        self.responses = []


class Client:
    """A requester with its flows, behind a router that hashes over the entries in rotation."""

    def __init__(self, deployment, host=200):
        self.deployment, self.record = deployment, deployment.record
        self.ip, self.port = deployment.ip(host), 40000
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, deployment.packet_port))
        self.socket.settimeout(0.05)
        self.flows, self.alive, self.resets = {}, True, []
        # Called with each packet; returns whether the requester's own link loses it.
        self.lose = lambda packet: False
        self.entries = deployment.ready_entries()
        self.threads = [threading.Thread(target=work, daemon=True)
                        for work in (self.receive, self.probe)]
        for thread in self.threads:
            thread.start()
        deployment.closers.append(self.close)

    def close(self):
        self.alive = False
        for thread in self.threads:
            thread.join()
        self.socket.close()

    def probe(self):
        """Readiness checks of the router: two misses take an entry out of rotation."""
        misses = {}
        while self.alive:
            for entry in self.deployment.entries:
                misses[entry.name] = 0 if is_ready(entry) else misses.get(entry.name, 0) + 1
            self.entries = [entry for entry in self.deployment.entries if misses[entry.name] < 2]
            time.sleep(0.5)

    def entry_of(self, flow):
        entries = self.entries
        return entries[zlib.crc32(repr((flow.src, flow.route)).encode()) % len(entries)]

    def send(self, flow, packet):
        entry = self.entry_of(flow)
        self.socket.sendto(packet.encode(), (entry.ip, self.deployment.packet_port))

    def new_flow(self, route, wanted=None):
        """A flow from a new port; `wanted` chooses the port by its entry."""
        while True:
            self.port += 1
            flow = Flow(self, self.port, route)
            if wanted is None or self.entry_of(flow) is wanted:
                self.flows[flow.src[1]] = flow
                return flow

    def connect(self, route, wanted=None):
        """Opens a flow; None if the attempt ends."""
        flow = self.new_flow(route, wanted)
        start, copies = time.monotonic(), 0
        for at in (0.0, 0.2, 0.6, 1.4):
            wait = start + at - time.monotonic()
            if flow.event.wait(max(wait, 0)):
                break
            if at < 1.4:
                self.send(flow, Packet(flow.src, route, SYN, flow.seq, copies))
                copies += 1
        flow.event.clear()
        if not flow.open:
            return None
        return flow

    def receive(self):
        while self.alive:
            try:
                data, _ = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            packet = Packet.decode(data)
            flow = self.flows.get(packet.dst[1])
            if flow is None or packet.src != flow.route or self.lose(packet):
                continue
            self.handle(flow, packet)

    def handle(self, flow, packet):
        if packet.flags & RST:
            genuine = packet.genuine()
            distance = (packet.seq - flow.ack) & 0xffffffff
            in_window = min(distance, 2**32 - distance) <= 76800
            if genuine or in_window or not flow.open:
                origin = "the server" if genuine else "the system"
                self.record(f"client: flow of port {flow.src[1]} is reset by {origin}"
                            f"{', open' if flow.open else ''}")
                flow.reset = origin
                self.resets.append((time.monotonic(), flow, origin))
                flow.event.set()
            return
        if not packet.genuine():
            self.record(f"client: a forged packet on the flow of port {flow.src[1]}")
            return
        if packet.flags & SYN:
            if not flow.open:
                flow.open = True
                flow.seq += 1
                flow.ack, flow.echo = packet.seq + 1, packet.echo
                self.send(flow, Packet(flow.src, flow.route, ACK, flow.seq, flow.ack,
                                       echo=flow.echo))
                flow.event.set()
            return
        flow.echo = packet.echo
        flow.acked = packet.ack
        if packet.data and packet.seq == flow.ack:
            flow.ack += len(packet.data)
            flow.responses.append(packet.data.decode())
            flow.event.set()
            self.send(flow, Packet(flow.src, flow.route, ACK, flow.seq, flow.ack, echo=flow.echo))

    def request(self, flow, name, limit=3.0):
        """Sends a request on an open flow; returns the response, "reset" or None."""
        data = name.encode()
        packet = Packet(flow.src, flow.route, ACK, flow.seq, flow.ack, data, flow.echo)
        expected, flow.acked = flow.seq + len(data), flow.seq
        flow.event.clear()
        count, start, pause, due = len(flow.responses), time.monotonic(), 0.2, 0.0
        self.record(f"client: sends {name} on port {flow.src[1]} through {self.entry_of(flow).name}")
        while time.monotonic() < start + limit:
            if flow.reset:
                return "reset"
            if len(flow.responses) > count:
                flow.seq = expected
                self.record(f"client: {name} is answered")
                return flow.responses[-1]
            if flow.acked < expected and time.monotonic() >= start + due:
                if due > 0:
                    self.record(f"client: sends {name} again")
                self.send(flow, packet)
                due, pause = due + pause, min(pause * 2, 1.6)
            flow.event.wait(0.01)
            flow.event.clear()
        self.record(f"client: {name} is not answered")
        return None


def run(case, scenario):
    """Runs a scenario and exits with 1 if it reports a broken rule, 0 if not, 2 if it cannot run."""
    record = Record(pathlib.Path(case) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"the disruption is {'on' if trouble else 'off'}")
    code, deployments = 2, []

    def deploy(*arguments):
        deployments.append(Deployment(record, *arguments))
        deployments[-1].start()
        return deployments[-1]

    def give_up(*_):
        raise Unable("out of time")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(112)
    try:
        broken = scenario(deploy, record, trouble)
        code = 1 if broken else 0
        record(f"broken: {broken}" if broken else "the rule held")
    except (Unable, OSError) as error:
        record(f"the case could not run: {error}")
    finally:
        signal.alarm(0)
        for deployment in deployments:
            deployment.close()
    print(f"exit {code}")
    sys.exit(code)

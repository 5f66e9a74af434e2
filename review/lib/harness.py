"""Stand-ins for the platform, the engines, the operator and the clients, and a
deployment of chivefront-node processes on loopback. One event loop; standard
library only.

The processes are started with the commands of deploy/system.toml and settings
in the format of the platform. Each host has a loopback address of its own.
"""
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/bin/chivefront-node"
SECRET = "platform-deployment"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000,
    "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
    "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
    "strict-revoke": False, "revoke-ms": 5000, "retry-budget-ratio": 0.9,
    "budget-window-s": 10, "retry-budget-extra": 62, "exposure-share": 0.15,
    "exposure-slack": 30, "rollback-ms": 5000, "warmup-factor": 1.5,
    "warmup-slack": 5, "evacuate-ms": 5000, "recover-s": 12, "pass-ms": 120,
    "reuse-window-s": 8, "session-s": 5}
HEARTBEAT_MS = 1200
RUN_LIMIT_S = 110  # a case ends its processes by itself within 120 s
OPERATOR_TIMEOUT_S = 1.0  # an operator moves on after a second without a response
HOSTNAME = "desk.example"
KEY = "key-of-the-callers"
TENANT = "callers"


class CannotRun(Exception):
    """The case could not be set up; nothing is known of the rule."""


class Record:
    """What was sent, answered and run, as lines with the time since the start."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started

    def add(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():8.3f} {what} {text}")

    def write(self, path):
        with open(path, "w") as handle:
            handle.write("\n".join(self.lines) + "\n")


# --- HTTP -------------------------------------------------------------------


async def read_head(reader):
    """The first line and the headers (names in lower case); None at the end."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The body and whether it is complete."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += data[:-2]
        return await reader.readexactly(int(headers.get("content-length", 0))), True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b"", False


def encode_request(method, target, headers, body):
    head = [f"{method} {target} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
    if body or method in ("POST", "PUT"):
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, target, body=b"", headers=(), timeout=OPERATOR_TIMEOUT_S):
    """One call on a new connection: status, headers, body. Status 0: none."""
    host, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = list(headers) or [("Host", address), ("Content-Type", "application/json")]
            writer.write(encode_request(method, target, fields, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            text, whole = await read_body(reader, head[1])
            return (int(head[0].split()[1]) if whole else 0), head[1], text
    except (OSError, TimeoutError, asyncio.TimeoutError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


# --- deployment -------------------------------------------------------------


class Host:
    def __init__(self, index, zone, ip, has_disk):
        self.index, self.zone, self.ip, self.has_disk = index, zone, ip, has_disk


class Deployment:
    """In each zone hosts with a disk, then hosts without. As the deploy file
    says, each runs an entry and the first two of a zone run control. The small
    site files have one host of each kind in a zone."""

    CONTROL_PER_ZONE = 2

    def __init__(self, record, zones=4, disks=1, diskless=1, losses=1, bounds=None):
        self.record, self.losses = record, losses
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = tempfile.TemporaryDirectory()
        self.zones = [f"riga-{chr(ord('a') + z)}" for z in range(zones)]
        net = random.Random(os.getpid()).randrange(16, 240)
        per_zone = disks + diskless
        self.hosts = [Host(z * per_zone + n, self.zones[z], f"127.{net}.{z + 1}.{n + 1}", n < disks)
                      for n in range(per_zone) for z in range(zones)]
        self.control_hosts = self.hosts[:zones * self.CONTROL_PER_ZONE]
        self.reserved = []
        self.front, self.ready, self.control_port, self.link = self.reserve(4)
        self.processes = {}
        self.seeds = [self.control(host) for host in self.hosts[:3]]

    def reserve(self, count):
        """Ports that nobody else gets while this program runs."""
        for _ in range(count):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("0.0.0.0", 0))
            self.reserved.append(sock)
        return [sock.getsockname()[1] for sock in self.reserved[-count:]]

    def control(self, host):
        return f"{host.ip}:{self.control_port}"

    def controls(self):
        return [self.control(host) for host in self.control_hosts]

    def entry(self, host):
        return f"{host.ip}:{self.front}"

    def readiness(self, host):
        return f"{host.ip}:{self.ready}"

    def settings(self, role, host, bootstrap):
        data = ""
        if host.has_disk:
            data = os.path.join(self.folder.name, f"{role}-{host.index}")
            os.makedirs(data, exist_ok=True)
        return {
            "node-name": f"edge-{host.zone}-{host.index}", "role": role,
            "machine-class": "edge", "serves": ["edge", "control_plane"],
            "ip": host.ip, "zone": host.zone, "region": "lv-riga",
            "zones": {zone: "lv-riga" for zone in self.zones},
            "listen": {"front": self.entry(host), "ready": self.readiness(host),
                       "control": self.control(host)},
            "internal-ports": [self.link, self.link + 15], "seeds": self.seeds,
            "bootstrap": bootstrap, "counts-as-loss": host.has_disk,
            "limits": {"cpu-share": 0.45, "cores": 1, "memory-mb": 110, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 64 if host.has_disk else 0},
            "data-dir": data, "discovery": "registration", "entry": "vip",
            "heartbeat-ms": HEARTBEAT_MS,
            "fault-tolerance": {"machines": self.losses, "zones": 1, "regions": 0},
            "bounds": self.bounds, "config-mode": "highest"}

    def start(self, role, host, bootstrap=True):
        name = f"{role}-{host.index}"
        path = os.path.join(self.folder.name, name + ".json")
        with open(path, "w") as handle:
            json.dump(self.settings(role, host, bootstrap), handle)
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment |= {"CHIVEFRONT_CONFIG": path, "CHIVEFRONT_SECRET": SECRET}
        try:
            process = subprocess.Popen([PROGRAM, role], cwd=ROOT, env=environment,
                                       stdout=log, stderr=log)
        except OSError as error:
            raise CannotRun(f"{PROGRAM}: {error}")
        log.close()
        self.processes[(role, host.index)] = process
        self.record.add("process_started", role=role, host=host.index, pid=process.pid,
                        bootstrap=bootstrap)

    def start_all(self):
        for host in self.hosts:
            if host in self.control_hosts:
                self.start("control", host)
            self.start("entry", host)

    def process(self, role, host):
        return self.processes[(role, host.index)]

    def signal(self, role, host, number):
        self.process(role, host).send_signal(number)
        self.record.add("signal", role=role, host=host.index, signal=number.name)

    def log_of(self, role, host):
        with open(os.path.join(self.folder.name, f"{role}-{host.index}.log")) as handle:
            return handle.read()

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder.name, keep], check=False)
        self.folder.cleanup()


# --- operator ---------------------------------------------------------------


class Operator:
    """Picks a node that serves control, follows a 307 twice, and moves on after
    a failure, a 5xx, a 408 or 429, or a second without a response."""

    def __init__(self, record, controls):
        self.record, self.controls = record, list(controls)

    async def order(self, method, target, body=b"", seconds=4.0):
        end = time.monotonic() + seconds
        pause = 0.05
        while time.monotonic() < end:
            for address in random.sample(self.controls, len(self.controls)):
                status, headers, text = 0, {}, b""
                path = target
                for _ in range(3):
                    sent = self.record.now()
                    status, headers, text = await call(address, method, path, body)
                    if status != 307:
                        break
                    address, _, rest = headers["location"].removeprefix("http://").partition("/")
                    path = "/" + rest
                if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                    self.record.add("order", call=f"{method} {target}", at=address,
                                    status=status, sent=f"{sent:.3f}")
                    return status, text
                if time.monotonic() >= end:
                    break
            await asyncio.sleep(pause)
            pause = min(pause * 2, 0.5)
        self.record.add("order", call=f"{method} {target}", status="none")
        return 0, b""

    async def configure(self, configuration, seconds=15.0):
        status, text = await self.order("PUT", "/api/config",
                                        json.dumps(configuration).encode(), seconds)
        if status != 200:
            raise CannotRun(f"the configuration was answered {status} {text!r}")


def configuration(number, routes, services):
    return {"version": number, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}]}


def route(name, kind, service, **extra):
    return {"name": name, "hostname": HOSTNAME, "path-prefix": f"/{name}/",
            "route-type": kind, "timeout-ms": 5000, "goal-ms": 1000, "priority": 0,
            "service": service, "max-attempts": 3, "public": False, "sticky": False,
            **extra}


def service(name, **extra):
    return {"name": name, "health-path": "/healthz", "max-conns": 390,
            "protocol": "h1", "tls": False, "warmup-s": 0.0, "warmup-per-s": 0.0,
            **extra}


# --- engines ----------------------------------------------------------------


class Engine:
    """An engine that registers itself, runs requests and records each run."""

    def __init__(self, record, name, service_name, zone, controls, version="v1",
                 slots=64, work_s=0.02):
        self.record, self.name, self.service, self.zone = record, name, service_name, zone
        self.controls, self.version, self.slots, self.work_s = list(controls), version, slots, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []  # (time, request id)
        self.fails = lambda attempt: False
        self.beating = None
        self.server = None
        self.writers = set()
        self.refuses_new = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.create_task(self.beat_forever())

    def body(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "warmup-left-ms": 0, "sequence": self.sequence, "born": self.born}).encode()

    async def beat(self, method="PUT", controls=None):
        """Sends a heartbeat, to the next node if one doesn't acknowledge it.
        Returns the address that did."""
        body = self.body() if method == "PUT" else json.dumps({"born": self.born}).encode()
        for address in controls or random.sample(self.controls, len(self.controls)):
            status, _, _ = await call(address, method, f"/api/instances/{self.name}", body)
            if 200 <= status < 300:
                return address
        return None

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def drain(self):
        self.state = "draining"
        at = await self.beat()
        self.record.add("draining_acknowledged", engine=self.name, by=at)

    async def exit(self):
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body, whole = await read_body(reader, headers)
                if not whole:
                    return
                await self.answer(line, headers, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, line, headers, writer):
        method, target, _ = line.split(" ")
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} Health\r\nX-Instance-Id: {self.name}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") not in (None, self.name):
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n"
                         "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.runs.append((self.record.now(), attempt))
        self.record.add("run", engine=self.name, version=self.version, request=attempt)
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        status = 500 if self.fails(attempt) else 200
        answer = f"{self.name}:{attempt}".encode()
        writer.write((f"HTTP/1.1 {status} Answer\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Response-Seal: {self.name}.{attempt}\r\n"
                      f"X-Instance-Load: {self.running},0,{self.slots}\r\n"
                      f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer)
        await writer.drain()


# --- clients ----------------------------------------------------------------


class Balancer:
    """Asks each entry once a second whether it is ready; two misses take it out."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {host.index: 2 for host in deployment.hosts}

    async def poll(self, host):
        status, _, _ = await call(self.deployment.readiness(host), "GET", "/api/readyz")
        self.misses[host.index] = 0 if status == 200 else self.misses[host.index] + 1

    async def run(self):
        while True:
            await asyncio.gather(*(self.poll(host) for host in self.deployment.hosts))
            await asyncio.sleep(1)

    def hosts(self):
        ready = [host for host in self.deployment.hosts if self.misses[host.index] < 2]
        return ready or self.deployment.hosts


async def wait_until(what, check, seconds=15.0):
    end = time.monotonic() + seconds
    while not check():
        if time.monotonic() > end:
            raise CannotRun(f"timeout: {what}")
        await asyncio.sleep(0.05)


def run_case(folder, case):
    """Runs case(record) -> whether the rule held, and exits with its result."""
    record = Record()
    os.chdir(ROOT)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes end as well
    code = 2
    try:
        code = 0 if asyncio.run(asyncio.wait_for(case(record), RUN_LIMIT_S)) else 1
    except CannotRun as error:
        record.add("cannot_run", why=error)
    except asyncio.TimeoutError:
        record.add("cannot_run", why="time limit")
    except Exception as error:  # pylint: disable=broad-except
        record.add("cannot_run", why=repr(error))
    finally:
        record.add("exit", code=code, trouble=int(TROUBLE))
        record.write(os.path.join(folder, "record.txt"))
    print("\n".join(line for line in record.lines if " verdict" in line or "cannot_run" in line))
    sys.exit(code)

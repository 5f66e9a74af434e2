"""A small deployment for the cases of review/11 to review/15.

Starts chivefront-node processes with the commands of deploy/system.toml, and
has stand-ins for an engine, a client and the operator. Each host has a loopback
address of its own; all hosts use the same ports, as on the platform.
"""
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "chivefront-node")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def add(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{now():8.3f} {what} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One HTTP call on a new connection: status, headers, body."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, dict) else body
        head = dict(headers or {})
        if isinstance(body, dict):
            head["Content-Type"] = "application/json"
        connection.request(method, path, data, head)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


class Deployment:
    def __init__(self, record, hosts=3, entries=2, bounds=None):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/bin/chivefront-node is missing: build first")
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        net = random.randint(2, 250)
        self.hosts = [f"127.77.{net}.{i + 1}" for i in range(hosts)]
        self.ports = self.free_ports(4)
        self.entries = entries
        self.processes = {}
        self.bounds = {
            "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000,
            "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
            "loss-slack-ms": 200, "config-apply-ms": 2000,
            "rollback-slack-ms": 250, "max-stretch-ms": 5000,
            "strict-revoke": False, "revoke-ms": 5000,
            "retry-budget-ratio": 0.9, "budget-window-s": 10,
            "retry-budget-extra": 62, "exposure-share": 0.15,
            "exposure-slack": 30, "rollback-ms": 5000, "warmup-factor": 1.5,
            "warmup-slack": 5, "evacuate-ms": 5000, "recover-s": 12,
            "pass-ms": 120, "reuse-window-s": 8, "session-s": 5,
            **(bounds or {})}

    def free_ports(self, count):
        ports = []
        while len(ports) < count:
            port = random.randint(20000, 31000)
            try:
                for host in self.hosts:
                    with socket.socket() as sock:
                        sock.bind((host, port))
                ports.append(port)
            except OSError:
                continue
        return ports

    def zone(self, index):
        return f"riga-{'abcd'[index % 4]}"

    def settings(self, role, index):
        front, ready, control, link = self.ports
        ip = self.hosts[index]
        data = os.path.join(self.folder.name, f"data-{index}")
        if role == "control":
            os.makedirs(data, exist_ok=True)
        zones = {self.zone(i): "lv-riga" for i in range(4)}
        return {
            "node-name": f"edge-{self.zone(index)}-{index + 1}", "role": role,
            "machine-class": "edge", "serves": ["edge", "control_plane"],
            "ip": ip, "zone": self.zone(index), "region": "lv-riga",
            "zones": zones,
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}",
                       "control": f"{ip}:{control}"},
            "internal-ports": [link, link + 15],
            "seeds": [f"{host}:{control}" for host in self.hosts[:3]],
            "bootstrap": True, "counts-as-loss": True,
            "limits": {"cpu-share": 0.45, "cores": 1, "memory-mb": 110,
                       "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 64},
            "data-dir": data if role == "control" else "",
            "discovery": "registration", "entry": "vip", "heartbeat-ms": 1200,
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.bounds, "config-mode": "highest"}

    def start(self, role, index, **changes):
        name = f"{role}-{index}"
        path = os.path.join(self.folder.name, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump({**self.settings(role, index), **changes}, file)
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [PROGRAM, role], stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "CHIVEFRONT_CONFIG": path,
                 "CHIVEFRONT_SECRET": "platform-deployment"})
        log.close()
        return self.processes[name]

    def start_all(self):
        for index in range(len(self.hosts)):
            self.start("control", index)
        for index in range(self.entries):
            self.start("entry", index)

    def log(self, name):
        with open(os.path.join(self.folder.name, name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    def control(self):
        return [f"{host}:{self.ports[2]}" for host in self.hosts]

    def front(self, index):
        return f"{self.hosts[index]}:{self.ports[0]}"

    def order(self, method, path, body=None, seconds=10.0):
        """An operator's call: follows 307 twice, goes on to another node after
        a failure. Returns status and body."""
        end = now() + seconds
        last = None
        while now() < end:
            for address in random.sample(self.control(), len(self.hosts)):
                try:
                    for _ in range(3):
                        status, headers, text = call(address, method, path, body)
                        if status != 307:
                            break
                        address = headers["Location"].split("/")[2]
                    last = status
                    if status < 500 and status not in (307, 404, 408, 429):
                        self.record.add("order", call=f"{method} {path}",
                                        status=status)
                        return status, text
                except OSError as error:
                    last = error
            time.sleep(0.1)
        raise CannotRun(f"{method} {path}: no answer, last {last}")

    def wait_ready(self, seconds=15.0):
        end = now() + seconds
        for index in range(self.entries):
            address = f"{self.hosts[index]}:{self.ports[1]}"
            while True:
                try:
                    if call(address, "GET", "/api/readyz")[0] == 200:
                        break
                except OSError:
                    pass
                if now() > end:
                    raise CannotRun(f"entry {index} is not ready")
                time.sleep(0.05)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder.cleanup()


class Request:
    def __init__(self, method, path, headers, body):
        self.method, self.path = method, path
        self.headers, self.body = headers, body

    def header(self, name):
        return self.headers.get(name.lower(), "")


class Engine:
    """A stand-in for an engine: registers itself, answers the health path, and
    gives all other requests to aRun(engine, request, connection), which writes
    the answer. Answers 421 to a request that is meant for another engine."""

    def __init__(self, deployment, ident, service, run, version="v1",
                 zone="riga-a", slots=64, port=0, ip="127.0.0.1"):
        self.deployment, self.record = deployment, deployment.record
        self.ident, self.service, self.version = ident, service, version
        self.zone, self.slots, self.run = zone, slots, run
        self.born = int(time.time() * 1000)
        self.state, self.warmup_left = "ready", lambda: 0
        self.sequence, self.running = 0, 0
        self.stopped = False
        self.beating = True
        self.lock = threading.Lock()
        self.connections = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(256)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def describe(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state,
                "warmup-left-ms": self.warmup_left(), "stage": "both",
                "models": [], "sequence": self.sequence, "born": self.born}

    def tell(self, method="PUT"):
        """One heartbeat, or the DELETE; returns whether it was acknowledged."""
        body = self.describe()
        for address in random.sample(self.deployment.control(),
                                     len(self.deployment.hosts)):
            try:
                status, _, _ = call(address, method,
                                    f"/api/instances/{self.ident}", body)
                if 200 <= status < 300:
                    return True
            except OSError:
                continue
        return False

    def beat(self):
        while not self.stopped:
            if self.beating:
                self.tell()
            time.sleep(random.uniform(1.1, 1.3))

    def accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        file = connection.makefile("rb")
        try:
            while not self.stopped:
                request = self.read(file)
                if request is None:
                    break
                if not self.answer(request, connection):
                    break
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def read(self, file):
        line = file.readline()
        if not line:
            return None
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = file.readline().decode("latin-1").strip()
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = file.read(int(headers.get("content-length", 0)))
        return Request(method, path, headers, body)

    def load(self):
        return f"{self.running},0,{self.slots}"

    def answer(self, request, connection):
        if request.path == "/healthz":
            connection.sendall(
                (f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.ident}\r\n"
                 f"X-Instance-Load: {self.load()}\r\n"
                 f"X-Warmup-Ms: {self.warmup_left()}\r\n"
                 "Content-Length: 0\r\n\r\n").encode())
            return True
        expected = request.header("X-Expect-Instance")
        if expected and expected != self.ident:
            connection.sendall(
                ("HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\n"
                 f"X-Attempt-Id: {request.header('X-Attempt-Id')}\r\n"
                 "Content-Length: 0\r\n\r\n").encode())
            return True
        with self.lock:
            self.running += 1
        try:
            return self.run(self, request, connection) is not False
        finally:
            with self.lock:
                self.running -= 1

    def head(self, request, status=200, extra=""):
        return (f"HTTP/1.1 {status} X\r\n"
                f"X-Attempt-Id: {request.header('X-Attempt-Id')}\r\n"
                f"X-Response-Seal: seal.{self.ident}\r\n"
                f"X-Instance-Load: {self.load()}\r\n{extra}")

    def reply(self, request, connection, status=200, body=b"done", extra=""):
        connection.sendall(self.head(request, status, extra).encode() +
                           f"Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def stop(self):
        """The process is gone: nothing listens, all connections are reset."""
        self.stopped = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      b"\x01\0\0\0\0\0\0\0")
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Client:
    """Sends requests to entries and records what comes back."""

    def __init__(self, deployment, host="desk.example", key="key-1"):
        self.deployment, self.record = deployment, deployment.record
        self.host, self.key = host, key
        self.count = 0
        self.lock = threading.Lock()

    def attempt(self):
        with self.lock:
            self.count += 1
            return f"{random.getrandbits(32):08x}{self.count:08x}"

    def send(self, entry, method, path, body=b"", deadline=2500, headers=None):
        """Status (0: no complete answer), headers, body, id."""
        ident = self.attempt()
        head = {"Host": self.host, "X-Attempt-Id": ident,
                "X-Deadline-Ms": str(deadline),
                "Authorization": f"Bearer {self.key}", **(headers or {})}
        self.record.add("sent", id=ident, entry=entry, call=f"{method} {path}")
        try:
            status, answer, text = call(self.deployment.front(entry), method,
                                        path, body or None, head,
                                        deadline / 1000)
        except (OSError, http.client.HTTPException) as error:
            self.record.add("unanswered", id=ident, why=type(error).__name__)
            return 0, {}, b"", ident
        self.record.add("answered", id=ident, status=status)
        return status, answer, text, ident


def configuration(number, routes, services, keys=("key-1",)):
    return {"version": number, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "tenant-1", "api-keys": list(keys)}]}


def route(name, kind, service, **more):
    return {"name": name, "hostname": "desk.example",
            "path-prefix": f"/{name}/", "route-type": kind,
            "timeout-ms": 2500, "goal-ms": 150, "priority": 0,
            "service": service, "max-attempts": 1, "public": False, **more}


def service(name, **more):
    return {"name": name, "health-path": "/healthz", "max-conns": 390,
            "protocol": "h1", "tls": False, "warmup-s": 3.0,
            "warmup-per-s": 16.0, **more}


def main(folder, case):
    """Runs case(record), which returns whether the rule held."""
    record = Record(folder)

    def stop(*_):
        raise CannotRun("stopped by a signal")

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    try:
        held = case(record)
        record.add("result", rule="held" if held else "broken")
        code = 0 if held else 1
    except Exception as error:  # an error is no broken rule
        record.add("cannot run", why=repr(error))
        print(repr(error), file=sys.stderr)
        code = 2
    record.close()
    sys.stdout.flush()
    os._exit(code)

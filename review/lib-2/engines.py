"""Stand-ins for the engines of a model service and of an application, and for
their clients."""
import http.client
import http.server
import socket
import struct
import threading
import time

import rig

HEARTBEAT_S = 1.2
# An engine that a request has crashed is back after this time.
RESTART_S = 3.0
MODELS = ["m0", "m1", "m2"]
HOSTS = [("127.0.1.1", "addis-a"), ("127.0.1.2", "addis-b"), ("127.0.1.3", "addis-c")]


class Listener(http.server.ThreadingHTTPServer):
    """The connections of an engine from one start to the next crash."""

    daemon_threads = True
    request_queue_size = 64

    def __init__(self, engine):
        super().__init__(("127.0.0.1", engine.port), Handler)
        self.engine = engine
        self.connections = []
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def process_request(self, request, client_address):
        self.connections.append(request)
        super().process_request(request, client_address)

    def crash(self):
        """Refuses connections from now on, and resets those that are open."""
        self.shutdown()
        self.server_close()
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            except OSError:
                pass  # it had been closed before

    def handle_error(self, request, client_address):
        pass  # a connection that was reset by the crash


class Engine:
    """An engine. It registers itself, and again after a crash."""

    def __init__(self, name, service, zone, models, deployment, record):
        self.name, self.service, self.zone = name, service, zone
        self.models, self.control, self.record = models, deployment.seeds, record
        self.port = deployment.reserve_ports(1)[0]
        self.runs = 0
        self.wrong = 0
        self.crashes = 0
        self.lock = threading.Lock()
        self.down_until = 0.0
        self.start()
        threading.Thread(target=self.register, daemon=True).start()

    def start(self):
        self.born = int(time.time() * 1000)
        self.listener = Listener(self)

    def is_down(self):
        return time.monotonic() < self.down_until

    def crash(self):
        with self.lock:
            if self.is_down():
                return
            self.crashes += 1
            self.down_until = time.monotonic() + RESTART_S
        self.listener.crash()

    def register(self):
        sequence = 0
        due = 0.0
        while True:
            if self.is_down():
                time.sleep(max(0.0, self.down_until - time.monotonic()))
                self.start()
                sequence, due = 0, 0.0
                self.record.line(f"engine {self.name}: started again")
            if time.monotonic() >= due:
                sequence += 1
                due = time.monotonic() + HEARTBEAT_S
                self.beat(sequence)
            time.sleep(0.02)

    def beat(self, sequence):
        body = {"service": self.service, "zone": self.zone, "version": "v1",
                "address": f"127.0.0.1:{self.port}", "slots": 64,
                "state": "ready", "warmup-left-ms": 0, "stage": "both",
                "models": [{"name": model, "version": 1, "adapters": []}
                           for model in self.models],
                "sequence": sequence, "born": self.born}
        for address in self.control:
            try:
                if rig.call(address, "PUT", f"/api/instances/{self.name}",
                            body)[0] == 200:
                    return
            except (OSError, http.client.HTTPException):
                continue  # the next control process


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self):
        engine = self.server.engine
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        attempt = self.headers.get("X-Attempt-Id", "")
        if engine.is_down():
            self.close_connection = True
            return None
        if self.path == "/healthz":
            return self.reply(200, b"", {"X-Instance-Id": engine.name,
                                         "X-Instance-Load": "0,0,64"})
        model = self.headers.get("X-Model", "")
        if (self.headers.get("X-Expect-Instance") != engine.name
                or (engine.models and model not in engine.models)):
            engine.wrong += 1
            engine.record.line(f"engine {engine.name}: 421 for {attempt}, expects "
                               f"{self.headers.get('X-Expect-Instance')}, model {model}")
            return self.reply(421, b"", {"X-Attempt-Id": attempt,
                                         "X-Not-Executed": "1"})
        if self.path.endswith("/crashing"):
            engine.record.line(f"engine {engine.name}: crashes, running {attempt}")
            engine.crash()
            self.close_connection = True
            return None
        engine.runs += 1
        headers = {"X-Attempt-Id": attempt, "X-Response-Seal": "seal-" + attempt,
                   "X-Instance-Load": "1,0,64"}
        if not engine.models:
            return self.reply(200, b"done:" + body, headers)
        headers.update({"Content-Type": "text/event-stream", "X-Confidence": "95"})
        return self.reply(200, b"".join(b"id: %d\ndata: token\n\n" % i
                                        for i in range(1, 6)), headers)

    def reply(self, status, body, headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = answer


class Clients:
    """Clients of the routes style-tag, of the model service, and supply-order."""

    def __init__(self, entries):
        self.entries = entries
        self.asked = 0
        self.counts = {}  # of all requests that keep to the pages, by kind and status

    def send(self, entry, path, attempt, model="", parts=""):
        """One request; returns its status or the name of an error."""
        headers = {"Host": "desk.example", "X-Attempt-Id": attempt,
                   "X-Deadline-Ms": "5000", "Authorization": f"Bearer {rig.KEY}"}
        if model:
            headers.update({"X-Model": model, "X-Token-Usage": "2368,20",
                            "X-Prompt-Prefix": parts})
        try:
            return rig.call(entry, "POST", path, {"text": "x"}, headers, 6)[0]
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__

    def ask(self, kind, entry):
        """A request as the pages ask. All requests of style-tag share the first
        part of their prompt, a third of them the second; the last is their own."""
        self.asked += 1
        if kind == "supply-order":
            status = self.send(entry, "/supply-order/x", f"order-{self.asked}")
        else:
            shared = f"5c1e07a2:119,{0xaa00 + self.asked % 3:08x}:449"
            status = self.send(entry, "/style-tag/x", f"tag-{self.asked}", "*",
                               f"{shared},{self.asked:08x}:1800")
        self.counts[kind, status] = self.counts.get((kind, status), 0) + 1
        return status

    def watch(self, seconds, pause_s):
        """Asks for both kinds for some time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for entry in self.entries:
                for kind in ("style-tag", "supply-order"):
                    self.ask(kind, entry)
                time.sleep(pause_s)


def judge(clients, engines, record):
    """BROKEN if style-tag is served less than a quarter as often as all requests,
    over the whole run."""
    counts = clients.counts
    record.line(f"clients: in the whole run: {counts}")
    record.line(f"engines: runs {[e.runs for e in engines]}, 421 answers "
                f"{[e.wrong for e in engines]}, crashes {[e.crashes for e in engines]}")
    total = sum(counts.values())
    served = sum(n for (_, status), n in counts.items() if status == 200)
    tags = sum(n for (kind, _), n in counts.items() if kind == "style-tag")
    served_tags = counts.get(("style-tag", 200), 0)
    record.line(f"served: {served} of {total} of all, "
                f"{served_tags} of {tags} of style-tag")
    return rig.BROKEN if served_tags / tags < served / total / 4 else rig.HELD


def start(deployment, record, model_engines):
    """Starts three control processes, three entries and the engines; returns the
    engines and the clients once requests of both kinds are served."""
    deployment.seeds = [deployment.control_address(ip) for ip, _ in HOSTS]
    entries = []
    for index, (ip, zone) in enumerate(HOSTS):
        deployment.start(f"control-{index}", "control", ip, zone)
        deployment.start(f"entry-{index}", "entry", ip, zone)
        entries.append(f"{ip}:{deployment.front}")
    routes = [rig.route("style-tag", "streaming", "pleat-llm", sizes=MODELS,
                        resumable=True, sticky=True, **{"gap-target-ms": 1000}),
              rig.route("supply-order", "unsafe", "order-desk")]
    operator = rig.Operator(record, deployment.seeds)
    status, _ = operator.order("PUT", "/api/config", rig.configuration(7, routes), 10)
    if status != 200:
        raise rig.CannotRun("the configuration was not acknowledged")
    engines = [Engine(f"i-llm-{i}", "pleat-llm", HOSTS[i % 3][1], MODELS,
                      deployment, record) for i in range(model_engines)]
    engines += [Engine(f"i-desk-{i}", "order-desk", HOSTS[i][1], [],
                       deployment, record) for i in range(3)]
    time.sleep(5)
    clients = Clients(entries)
    before = [clients.ask(kind, entry) for kind in ("style-tag", "supply-order")
              for entry in entries]
    record.line(f"clients: before: {before}")
    if any(status != 200 for status in before):
        raise rig.CannotRun("not all requests were served at the start")
    return engines, clients

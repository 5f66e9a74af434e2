"""Starts, suspends, kills and stops the processes of one local deployment.

Used by scripts/demo, scripts/bench, scripts/soak and the end-to-end tests.
Every process prints one ready line with the addresses it bound. All addresses
are on loopback, with ports that were free.
"""
import json
import os
import selectors
import signal
import socket
import subprocess
import threading
import time
import urllib.error
import urllib.request

READY_SECONDS = 20
STOP_SECONDS = 30


class Failure(Exception):
    """A failed step; the text tells the user the reason."""


# Sockets that keep ports of this program's processes.
_reserved = []


def reserve_ports(count):
    """Distinct ports that the system gives to no one else until this program
    ends. Servers that set SO_REUSEADDR can listen on them."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
    _reserved.extend(sockets)
    return [sock.getsockname()[1] for sock in sockets]


def wait_until(condition, seconds, what):
    """Polls condition until it is true; raises Failure after seconds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise Failure(f"{what}: not reached in {seconds} s")


class Process:
    """One child process and the fields of its ready line."""

    def __init__(self, name, command, folder, environment):
        self.name = name
        self.command = command
        self.folder = folder
        self.environment = environment
        self.child = None
        self.fields = {}

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.child = subprocess.Popen(
            self.command, stdout=subprocess.PIPE, stderr=log,
            env={**os.environ, **self.environment}, start_new_session=True)
        log.close()
        self.fields = self._read_ready_line()
        return self

    def _read_ready_line(self):
        selector = selectors.DefaultSelector()
        selector.register(self.child.stdout, selectors.EVENT_READ)
        text = b""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline and b"\n" not in text:
            if selector.select(timeout=0.2):
                chunk = os.read(self.child.stdout.fileno(), 4096)
                if not chunk:
                    break
                text += chunk
        line = text.decode().split("\n")[0]
        if " ready " not in line:
            raise Failure(f"{self.name} did not start: {self.tail()}")
        return dict(word.split("=", 1) for word in line.split() if "=" in word)

    def tail(self):
        path = os.path.join(self.folder, self.name + ".log")
        with open(path, "rb") as handle:
            return handle.read()[-600:].decode("utf-8", "replace")

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()
            self.child.stdout.close()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def stop(self, seconds=STOP_SECONDS):
        """Sends SIGTERM; returns the exit code, or None after it was killed."""
        self.signal(signal.SIGTERM)
        try:
            code = self.child.wait(timeout=seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        self.child.stdout.close()
        return code


class Relay:
    """A TCP relay that injects network faults, by mode.

    forward: forwards bytes. silent: keeps connections open and forwards
    nothing, like a middlebox that has lost its connection state. cut: closes
    all connections and refuses new ones.
    """

    def __init__(self, target):
        self.target = target
        self.mode = "forward"
        self.pairs = []
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def set_mode(self, mode):
        with self.lock:
            self.mode = mode
            pairs = list(self.pairs)
        if mode == "cut":
            for pair in pairs:
                for end in pair:
                    _close(end)

    def silence_open_connections(self):
        """Silences existing connections permanently; new connections work."""
        with self.lock:
            for pair in self.pairs:
                pair.silent = True

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.mode == "cut":
                _close(client)
                continue
            host, port = self.target.rsplit(":", 1)
            try:
                server = socket.create_connection((host, int(port)), timeout=2)
            except OSError:
                _close(client)
                continue
            pair = _RelayedConnection((client, server))
            with self.lock:
                self.pairs.append(pair)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward_bytes,
                                 args=(pair, source, sink),
                                 daemon=True).start()

    def _forward_bytes(self, pair, source, sink):
        source.settimeout(None)
        try:
            while True:
                data = source.recv(65536)
                if not data:
                    break
                while self.mode == "silent" or pair.silent:
                    time.sleep(0.05)
                    if pair.closed:
                        return
                sink.sendall(data)
        except OSError:
            pass
        pair.closed = True
        for end in pair:
            _close(end)


class _RelayedConnection(tuple):
    """Both sockets of one relayed connection."""

    silent = False
    closed = False


def _close(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


def http(method, address, path, body=None, headers=None, seconds=60):
    """Returns (status, headers, body bytes); raises OSError when unreachable."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers={"Content-Type": "application/json", **(headers or {})})
    try:
        with urllib.request.urlopen(request, timeout=seconds) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()

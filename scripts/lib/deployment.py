"""A complete deployment on loopback: control processes, entries, agents, fakes.

The default topology is that of scripts/demo: three control processes, two
entries, and four upstreams in four failure domains, each with its own agent.
"""
import json
import os
import signal
import subprocess
import tempfile
import time

from processes import (Failure, Process, Relay, reserve_ports, http, wait_until)

DOMAINS = ["riga-a", "riga-b", "riga-c", "riga-d"]
SECRET = "local-deployment-secret"


class Upstream:
    """Name, failure domain, role and options of one fake upstream."""

    def __init__(self, name, domain, version=None, model=None, service=None,
                 options=()):
        self.name = name
        self.domain = domain
        self.version = version
        self.model = model
        self.service = service
        self.options = list(options)


DEMO_UPSTREAMS = [
    Upstream("engine-1", "riga-a", "small-1", "small"),
    Upstream("engine-2", "riga-b", "small-2", "small"),
    Upstream("engine-3", "riga-c", "large-1", "large"),
    Upstream("booking-1", "riga-d", service="booking"),
]


class Deployment:
    def __init__(self, build, folder=None, controls=3, entries=2,
                 upstreams=None, relayed=False, rating=True, entry_options=(),
                 agent_options=(), domains=DOMAINS):
        self.domains = domains
        self.bin = os.path.join(build, "bin")
        self.folder = folder or tempfile.mkdtemp(prefix="chivefront-")
        self.upstreams = upstreams if upstreams is not None else DEMO_UPSTREAMS
        self.environment = {"CHIVEFRONT_SECRET": SECRET}
        self.processes = {}
        self.relays = {}
        self.relayed = relayed
        self.rating = rating
        self.entry_options = list(entry_options)
        self.agent_options = list(agent_options)
        self.controls = [f"control-{i + 1}" for i in range(controls)]
        self.entries = [f"entry-{i + 1}" for i in range(entries)]
        ports = reserve_ports(controls)
        self.control_address = {name: f"127.0.0.1:{port}" for name, port
                                in zip(self.controls, ports)}

    # --- starting ---------------------------------------------------------

    def program(self, name):
        return os.path.join(self.bin, name)

    def add(self, name, command):
        process = Process(name, command, self.folder, self.environment)
        self.processes[name] = process
        return process

    def relay_to(self, key, target):
        """The address to use for target: that of a relay when relayed."""
        if not self.relayed:
            return target
        if key not in self.relays:
            self.relays[key] = Relay(target)
        return self.relays[key].address

    def control_list(self, user):
        return ",".join(self.relay_to(f"{user}>{name}", address) for name,
                        address in self.control_address.items())

    def common(self, name, domain):
        return ["--name", name, "--domain", domain,
                "--event-log", os.path.join(self.folder, name + ".events")]

    def start_control(self, name):
        peers = ",".join(
            f"{peer}={self.relay_to(f'{name}>{peer}', address)}"
            for peer, address in self.control_address.items() if peer != name)
        domain = self.domains[self.controls.index(name) % len(self.domains)]
        return self.add(name, [
            self.program("chivefront-control"), *self.common(name, domain),
            "--listen", self.control_address[name], "--peers", peers,
            "--data", os.path.join(self.folder, name)]).start()

    def start_entry(self, name):
        domain = self.domains[self.entries.index(name) % len(self.domains)]
        options = list(self.entry_options)
        if "rating" in self.processes:
            options += ["--rating", self.processes["rating"].fields["listen"]]
        callers = self.processes[name].fields["callers"] \
            if name in self.processes else "127.0.0.1:0"
        return self.add(name, [
            self.program("chivefront-entry"), *self.common(name, domain),
            "--control", self.control_list(name), "--callers", callers,
            *options]).start()

    def agent_name(self, upstream):
        return "agent-" + upstream.name

    def start_agent(self, upstream):
        name = self.agent_name(upstream)
        old = self.processes.get(name)
        listen = old.fields["listen"] if old else "127.0.0.1:0"
        http_port = old.fields["upstreams"] if old else "127.0.0.1:0"
        return self.add(name, [
            self.program("chivefront-agent"),
            *self.common(name, upstream.domain),
            "--control", self.control_list(name), "--listen", listen,
            "--upstreams", http_port, *self.agent_options]).start()

    def start_upstream(self, upstream):
        agent = self.processes[self.agent_name(upstream)].fields["upstreams"]
        common = ["--name", upstream.name, "--agent", agent]
        if upstream.service:
            command = [self.program("fake-service"), *common,
                       "--service", upstream.service]
        else:
            command = [self.program("fake-engine"), *common,
                       "--model", upstream.model,
                       "--engine-version", upstream.version]
        return self.add(upstream.name, command + ["--record", os.path.join(
            self.folder, upstream.name + ".record")] + upstream.options).start()

    def start(self):
        for name in self.controls:
            self.start_control(name)
        if self.rating and os.path.exists(self.program("fake-rating")):
            self.add("rating", [self.program("fake-rating")]).start()
        for upstream in self.upstreams:
            self.start_agent(upstream)
            self.start_upstream(upstream)
        for name in self.entries:
            self.start_entry(name)
        return self

    def load_catalogue(self, path):
        """Applies a catalogue file and waits until the entries serve."""
        wait_until(lambda: self.ctl("catalogue", "apply", path).returncode == 0,
                   20, "catalogue accepted")
        self.wait_ready()

    def wait_ready(self, seconds=20):
        for name in self.entries:
            wait_until(lambda name=name: self.admin(name, "/readyz")[0] == 200,
                       seconds, f"{name} ready")
        wanted = {u.name for u in self.upstreams}
        wait_until(lambda: wanted <= self.announced(), seconds,
                   "upstreams announced")

    # --- requests ----------------------------------------------------------

    def address(self, name, field):
        return self.processes[name].fields[field]

    def admin(self, name, path):
        """GET from the admin port; status 0 when it can't be reached."""
        try:
            return http("GET", self.address(name, "admin"), path, seconds=5)
        except (OSError, KeyError):  # KeyError: the process is being started
            return 0, {}, b""

    def status(self):
        done = self.ctl("--json", "status")
        return json.loads(done.stdout) if done.returncode == 0 else {}

    def announced(self):
        return {u["name"] for u in self.status().get("upstream_list", [])}

    def ctl(self, *arguments, seconds=30):
        return subprocess.run(
            [self.program("chivefrontctl"), "--control",
             ",".join(self.control_address.values()), *arguments],
            capture_output=True, text=True, timeout=seconds,
            env={**os.environ, **self.environment})

    def must_ctl(self, *arguments):
        done = self.ctl(*arguments)
        if done.returncode != 0:
            raise Failure(f"chivefrontctl {' '.join(arguments)}: exit "
                          f"{done.returncode}: {done.stdout}{done.stderr}")
        return done.stdout

    def call(self, entry, path, body, key, headers=None, method="POST",
             seconds=60):
        return http(method, self.address(entry, "callers"), path, body,
                    {"Authorization": "Bearer " + key, **(headers or {})},
                    seconds)

    def chat(self, entry, key, model, prompt, headers=None, **extra):
        return self.call(entry, "/v1/chat/completions", {
            "model": model, "messages": [{"role": "user", "content": prompt}],
            **extra}, key, headers)

    def history(self, name):
        return json.loads(http(
            "GET", self.address(name, "listen"), "/fake/history")[2])

    def behave(self, name, **what):
        return http("POST", self.address(name, "listen"), "/fake/behave", what)

    # --- shutdown ------------------------------------------------------------

    def stop(self):
        """Stops gracefully: entries, agents, upstreams, rating, then control.

        Returns the names and exit codes of processes that didn't exit with 0.
        """
        bad = []
        for group in (self.entries,
                      [self.agent_name(u) for u in self.upstreams],
                      [u.name for u in self.upstreams], ["rating"],
                      self.controls):
            children = [self.processes[n] for n in group if n in self.processes
                        and self.processes[n].running()]
            for process in children:
                process.signal(signal.SIGTERM)
            for process in children:
                code = process.stop()
                if code != 0:
                    bad.append((process.name, code))
        return bad

    def kill_all(self):
        for process in self.processes.values():
            process.kill()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()


def streamed_text(body):
    """Text of a streamed answer, whether it has the end marker, and extras.

    The extras are the fields of the stream's "chivefront" objects.
    """
    text, ended, extra = "", False, {}
    for line in body.decode().split("\n"):
        if not line.startswith("data: "):
            continue
        data = line[6:].strip()
        if data == "[DONE]":
            ended = True
            continue
        event = json.loads(data)
        extra.update(event.get("chivefront", {}))
        for choice in event.get("choices", []):
            text += choice.get("delta", {}).get("content") or ""
    return text, ended, extra


def now():
    return time.monotonic()

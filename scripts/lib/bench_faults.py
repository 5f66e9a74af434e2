"""Sections of scripts/bench about stalled readers and faults."""
import concurrent.futures
import json
import random
import socket
import time

import bench_sites
from callers import Balancer
from deployment import Upstream
from processes import Failure

READERS = 1000
READER_TOKENS = 2000     # an answer of several hundred KB, far over any buffer
READER_ENGINES = 4
READER_BATCH = 512
RECEIVE_BUFFER = 4096    # bytes; the client's kernel can't buffer an answer
FILL_SECONDS = 10
PROBE_SECONDS = 0.02
PROBE_THREADS = 64
DOWN_SECONDS = 2.0
WATCH_SECONDS = 6.0
SETTLE_SECONDS = 2.0


def raise_upstream_limits(entries):
    bench_sites.lift_team_limits(entries)
    raise_to = {"cold": READER_BATCH, "full": READER_BATCH,
                "queue": READER_BATCH}
    bench_sites.raise_limits(entries, "upstream-rule/", **raise_to)


def open_reader(address, key, model, number):
    """Sends one streamed request and returns its socket without reading."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.connect((host, int(port)))
    body = json.dumps({
        "model": model, "stream": True, "max_tokens": READER_TOKENS,
        "messages": [{"role": "user", "content": f"stalled {number}"}]})
    sock.sendall((f"POST /v1/chat/completions HTTP/1.1\r\nHost: {address}\r\n"
                  f"Authorization: Bearer {key}\r\n"
                  "Content-Type: application/json\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
    return sock


def answered(sock):
    """Whether a status 200 arrived; closes the socket."""
    sock.settimeout(0.01)
    try:
        return sock.recv(12).endswith(b"200")
    except OSError:
        return False
    finally:
        sock.close()


def restart_all(deployment):
    """Restarts agents and upstreams, so that they use the rules' cold limits.

    An agent to which an upstream announces itself before the agent has a rule
    for it starts with a limit of 1. Only successes raise that limit, also
    after a restart of the upstream.
    """
    for upstream in deployment.upstreams:
        deployment.processes[upstream.name].kill()
        deployment.processes[deployment.agent_name(upstream)].kill()
        deployment.start_agent(upstream)
    time.sleep(SETTLE_SECONDS)
    for upstream in deployment.upstreams:
        deployment.start_upstream(upstream)
    time.sleep(SETTLE_SECONDS)


def stalled_readers(site, build, seed, seconds):
    upstreams = [Upstream(f"cheap-{n}", site.domains[n % len(site.domains)],
                          site.cheap + "-1", site.cheap,
                          options=bench_sites.engine_options(READER_BATCH, 2))
                 for n in range(READER_ENGINES)]
    with bench_sites.start(site, build, raise_upstream_limits, upstreams,
                     entries=1) as deployment:
        entry = deployment.processes["entry-1"]
        restart_all(deployment)
        others = [bench_sites.mix("others", site.teams[1], 100, site.cheap)]
        bench_sites.Load(deployment, others, 2000, seed).wait()
        plain = bench_sites.Load(deployment, others, seconds * 1000,
                                 seed + 1).wait()
        before = bench_sites.resident_kib(entry)
        sockets = [open_reader(entry.fields["callers"], site.teams[0] + "-key",
                               site.cheap, n) for n in range(READERS)]
        time.sleep(FILL_SECONDS)
        during = bench_sites.resident_kib(entry)
        beside = bench_sites.Load(deployment, others, seconds * 1000,
                            seed + 2).wait()
        peak = max(during, bench_sites.resident_kib(entry))
        streaming = sum(answered(sock) for sock in sockets)
    return {"before_kib": before, "during_kib": peak, "readers": READERS,
            "streaming": streaming,
            "per_reader_kib": (peak - before) / READERS,
            "others": {name: {field: {q: bench_sites.weighted(rows, field, q)
                                      for q in ("p50", "p99")}
                              for field in ("first_token_ms", "total_ms")}
                       for name, rows in (("without", plain),
                                          ("with", beside))},
            "others_errors": bench_sites.errors_of(beside)}


class Prober:
    """Sends a short paying request every PROBE_SECONDS to a ready entry."""

    def __init__(self, deployment, site, seed):
        self.deployment, self.site = deployment, site
        self.rng = random.Random(seed)
        self.balancer = Balancer(deployment)
        self.balancer.start()
        self.pool = concurrent.futures.ThreadPoolExecutor(PROBE_THREADS)

    def send(self):
        started = time.monotonic()
        entry = self.balancer.pick(self.rng)
        problem = "no ready entry"
        if entry is not None:
            try:
                status, _, body = self.deployment.chat(
                    entry, self.site.teams[0] + "-key", self.site.cheap,
                    "probe", max_tokens=2)
                problem = "" if status == 200 else error_type(body)
            except (OSError, ValueError) as error:
                reason = getattr(error, "reason", error)
                problem = type(reason).__name__
        return started, time.monotonic(), problem

    def probe_during(self, seconds, at, action):
        """Probes for seconds and runs action at second at.

        Returns the time of the action and the results of the probes.
        """
        begin = time.monotonic()
        jobs = []
        action_job = None
        fault_time = begin + at
        while time.monotonic() < begin + seconds:
            if action_job is None and time.monotonic() >= begin + at:
                fault_time = time.monotonic()
                action_job = self.pool.submit(action)
            jobs.append(self.pool.submit(self.send))
            time.sleep(PROBE_SECONDS)
        action_job.result()
        return fault_time, [job.result() for job in jobs]

    def close(self):
        self.balancer.stopping = True
        self.pool.shutdown()


def error_type(body):
    error = json.loads(body)["error"]
    return f"{error['type']}/{error['run']}"


def summary(kind, fault_time, results):
    """Longest gap between answers, and failures, after the fault."""
    results = sorted(results, key=lambda probe: probe[1])
    answer_times = [fault_time] + [end for _, end, problem in results
                                   if not problem and end > fault_time]
    failed = [probe for probe in results
              if probe[2] and probe[1] > fault_time]
    problems = {}
    for _, _, problem in failed:
        problems[problem] = problems.get(problem, 0) + 1
    return {"fault": kind, "requests": len(results), "failed": problems,
            "gap_ms": 1000 * max(
                b - a for a, b in zip(answer_times, answer_times[1:])),
            "first_ms": 1000 * (
                min(b[1] for b in failed) - fault_time) if failed else 0,
            "last_ms": 1000 * (
                max(b[1] for b in failed) - fault_time) if failed else 0}


def leader_of(deployment):
    for group in deployment.status()["groups"]:
        if group["leader"]:
            return group["leader"]
    raise Failure("no leader is known")


def actions(deployment):
    """Maps the kind of a fault to an action that injects and repairs it."""
    first = deployment.upstreams[0]

    def restart(name, starter, *arguments):
        deployment.processes[name].kill()
        time.sleep(DOWN_SECONDS)
        starter(*arguments)

    def control_leader():
        name = leader_of(deployment)
        restart(name, deployment.start_control, name)

    def cut():
        relays = [relay for key, relay in deployment.relays.items()
                  if key.startswith("entry-1>")]
        for relay in relays:
            relay.set_mode("cut")
        time.sleep(2 * DOWN_SECONDS)
        for relay in relays:
            relay.set_mode("forward")

    agent = deployment.agent_name(first)
    return {
        "kill control leader": control_leader,
        "kill entry": lambda: restart("entry-2", deployment.start_entry,
                                      "entry-2"),
        "kill agent": lambda: restart(agent, deployment.start_agent, first),
        "kill upstream": lambda: restart(
            first.name, deployment.start_upstream, first),
        "cut one entry from control": cut}


def faults(site, build, seed, repetitions, kinds):
    """Injects the first kinds of actions(), one after the other."""
    rows = []
    with bench_sites.start(site, build, bench_sites.lift_team_limits,
                     relayed=True) as deployment:
        prober = Prober(deployment, site, seed)
        prober.probe_during(SETTLE_SECONDS, 0, lambda: None)
        for _ in range(repetitions):
            for kind, action in list(actions(deployment).items())[:kinds]:
                fault_time, results = prober.probe_during(
                    WATCH_SECONDS, 0.5, action)
                rows.append(summary(kind, fault_time, results))
                deployment.wait_ready(40)
                time.sleep(SETTLE_SECONDS)
        prober.close()
    return rows

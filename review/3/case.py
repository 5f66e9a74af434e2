"""An engine unregisters. Right after that is acknowledged, all processes of the
core are killed; they are back within a second."""
import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import harness as h  # noqa: E402

# salins-booking-grown: two hosts with a disk in each zone, so that exactly the
# hosts with a disk run control, and two losses are borne.
BOUNDS = {"contact-ms": 4000, "ack-ms": 5000, "catch-up-s": 6, "drain-ms": 2500,
          "config-apply-ms": 2500, "max-stretch-ms": 6000, "retry-budget-extra": 100,
          "exposure-share": 0.12, "recover-s": 15}
REQUESTS_PER_S = 150
ENGINES = 4
LINGER_S = 8.0    # an engine that left serves on for "many seconds"
BACK_AFTER_S = 0.6


class Client:
    def __init__(self, record, deployment, balancer):
        self.record, self.deployment, self.balancer = record, deployment, balancer
        self.entry_of = {}  # attempt -> host

    async def request(self, number):
        attempt = f"r{number:06d}"
        host = random.choice(self.balancer.hosts())
        self.entry_of[attempt] = host
        headers = [("Host", h.HOSTNAME), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "2500"),
                   ("Authorization", f"Bearer {h.KEY}")]
        self.record.add("sent", request=attempt, entry=host.index)
        status, _, _ = await h.call(self.deployment.entry(host), "GET", "/view/x", b"", headers, 3)
        self.record.add("answer", request=attempt, status=status)

    async def run(self):
        loop = asyncio.get_running_loop()
        start, sent, tasks = loop.time(), 0, set()
        while True:
            sent += 1
            task = asyncio.create_task(self.request(sent))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(max(0, start + sent / REQUESTS_PER_S - loop.time()))


async def kill_core(deployment):
    core = [host for host in deployment.hosts if host.has_disk]
    for host in core:
        for role in ("control", "entry"):
            deployment.signal(role, host, signal.SIGKILL)
    for host in core:
        for role in ("control", "entry"):
            deployment.process(role, host).wait()
    await asyncio.sleep(BACK_AFTER_S)
    for host in core:
        for role in ("control", "entry"):
            deployment.start(role, host, bootstrap=False)


async def case(record):
    deployment = h.Deployment(record, disks=2, diskless=1, losses=2, bounds=BOUNDS)
    background, engines = [], []
    try:
        deployment.start_all()
        operator = h.Operator(record, deployment.controls())
        for index in range(ENGINES):
            engine = h.Engine(record, f"i-{random.getrandbits(40):010x}", "app",
                              deployment.zones[index % 4], deployment.controls())
            await engine.start()
            engines.append(engine)
        await operator.configure(h.configuration(
            7, [h.route("view", "safe", "app")], [h.service("app")]))
        balancer = h.Balancer(deployment)
        background.append(asyncio.create_task(balancer.run()))
        await h.wait_until("the entries are ready",
                           lambda: all(m == 0 for m in balancer.misses.values()))
        await asyncio.sleep(5)  # the processes have run for contact-ms
        client = Client(record, deployment, balancer)
        background.append(asyncio.create_task(client.run()))
        await asyncio.sleep(3)

        leaving = engines[0]
        leaving.beating.cancel()
        by = await leaving.beat("DELETE")
        gone_at = record.now()
        if by is None:
            raise h.CannotRun("nobody acknowledged that the engine left")
        record.add("unregistered", engine=leaving.name, acknowledged_by=by)
        if h.TROUBLE:
            await kill_core(deployment)
        calm_at = record.now() + BOUNDS["contact-ms"] / 1000  # machines are in touch again
        await asyncio.sleep(max(0, gone_at + LINGER_S - record.now()))
        return verdict(record, client, leaving, gone_at, calm_at)
    finally:
        for task in background:
            task.cancel()
        for engine in engines:
            await engine.exit()
        deployment.stop_all()


def verdict(record, client, leaving, gone_at, calm_at):
    """DRAIN: no request reaches the engine later than drain-ms after its leaving
    was acknowledged, sent on by machines in touch. Only what entries outside the
    core sent on, which ran all the while, is counted, and only from contact-ms
    after the last start of a core process."""
    from_s = max(gone_at + BOUNDS["drain-ms"] / 1000, calm_at if h.TROUBLE else 0)
    runs = [(at, attempt) for at, attempt in leaving.runs if at > gone_at + BOUNDS["drain-ms"] / 1000]
    late = [(at, attempt) for at, attempt in runs
            if at > from_s and not client.entry_of[attempt].has_disk]
    for at, attempt in late:
        record.add("late_run", request=attempt, after_the_acknowledgement=f"{at - gone_at:.3f}",
                   entry=client.entry_of[attempt].index)
    record.add("verdict", late_runs=len(late), later_than_drain_at_any_time=len(runs),
               counted_from=f"{from_s - gone_at:.3f}")
    return not late


h.run_case(FOLDER, case)

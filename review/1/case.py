"""A request crashes each engine that runs it, just after its first event."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import harness as h  # noqa: E402

ENGINES = 9               # as in the site file
DOWN_S = 2.5              # a crashed engine is back "after some seconds"
COMES_AGAIN_S = 4.0       # "such a request comes again"
TIMES = 10
OTHER_REQUESTS_PER_S = 20
EVENTS = 6
EVENT_INTERVAL_S = 0.03
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS_BEFORE_CRASH", "1"))
DEADLY_BODY = b"deadly " * 20
ALLOWED_RETRIES = 3       # rule BUDGET


class Engine(h.Engine):
    """Streams events. A deadly request crashes it; it is back as a new one."""

    crashes = []

    async def answer(self, line, headers, writer):
        raise NotImplementedError  # serve() below answers

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await h.read_head(reader)
                if head is None:
                    return
                body, whole = await h.read_body(reader, head[1])
                if not whole:
                    return
                await self.stream(head[1], body, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stream(self, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") not in (None, self.name):
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n"
                         "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        deadly = body == DEADLY_BODY
        self.runs.append((self.record.now(), attempt))
        self.record.add("run", engine=self.name, request=attempt, deadly=int(deadly),
                        resumed_after=headers.get("last-event-id"))
        await asyncio.sleep(self.work_s)
        if deadly and h.TROUBLE and EVENTS_BEFORE_CRASH == 0:
            return await self.crash()
        writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                      f"X-Response-Seal: {self.name}.{attempt}\r\n"
                      f"X-Instance-Load: 1,0,{self.slots}\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: part {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
            if deadly and h.TROUBLE and number - first + 1 >= EVENTS_BEFORE_CRASH:
                return await self.crash()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def crash(self):
        self.crashes.append(self.record.now())
        self.record.add("crash", engine=self.name)
        self.beating.cancel()
        self.server.close()
        for other in list(self.writers):
            other.transport.abort()
        asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(DOWN_S)
        self.name = f"i-{random.getrandbits(40):010x}"
        self.born = int(h.time.time() * 1000)
        self.sequence = 0
        await self.start()


async def send(record, balancer, deployment, attempt, body):
    host = random.choice(balancer.hosts())
    headers = [("Host", h.HOSTNAME), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "15000"),
               ("Authorization", f"Bearer {h.KEY}"), ("X-Model", "m0"), ("X-Token-Usage", "100,50")]
    record.add("sent", request=attempt, entry=host.index)
    status, _, text = await h.call(deployment.entry(host), "POST", "/chat/x", body, headers, 16)
    record.add("answer", request=attempt, status=status, events=text.count(b"id: "))


async def others(record, balancer, deployment):
    number, tasks = 0, set()
    while True:
        number += 1
        task = asyncio.create_task(
            send(record, balancer, deployment, f"o{number:05d}", b"sound %d" % number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / OTHER_REQUESTS_PER_S)


async def case(record):
    deployment = h.Deployment(record)
    background, engines = [], []
    try:
        deployment.start_all()
        operator = h.Operator(record, deployment.controls())
        for index in range(ENGINES):
            engine = Engine(record, f"i-{random.getrandbits(40):010x}", "llm",
                            deployment.zones[index % 4], deployment.controls())
            await engine.start()
            engines.append(engine)
        await operator.configure(h.configuration(7, [h.route(
            "chat", "streaming", "llm", resumable=True,
            **{"timeout-ms": 15000, "goal-ms": 3000, "gap-target-ms": 1000})], [h.service("llm")]))
        balancer = h.Balancer(deployment)
        background.append(asyncio.create_task(balancer.run()))
        await h.wait_until("the entries are ready",
                           lambda: all(m == 0 for m in balancer.misses.values()))
        await asyncio.sleep(4)  # the processes have run for contact-ms
        background.append(asyncio.create_task(others(record, balancer, deployment)))
        await asyncio.sleep(2)
        for number in range(TIMES):
            background.append(asyncio.create_task(
                send(record, balancer, deployment, f"d{number:05d}", DEADLY_BODY)))
            await asyncio.sleep(COMES_AGAIN_S)
        return verdict(record, engines)
    finally:
        for task in background:
            task.cancel()
        for engine in engines:
            await engine.exit()
        deployment.stop_all()


def verdict(record, engines):
    """BUDGET: later than contact-ms after its third crash, the request reaches
    engines in at most three retries. Counted is what the entries send again
    themselves; the first run of each attempt of the client is no retry here."""
    crashes = sorted(Engine.crashes)
    if len(crashes) < 3:
        record.add("verdict", crashes=len(crashes), retries=0)
        return True
    from_s = crashes[2] + h.BOUNDS["contact-ms"] / 1000
    seen, retries = set(), 0
    for at, attempt in sorted(run for engine in engines for run in engine.runs):
        if not attempt.startswith("d"):
            continue
        if attempt in seen and at > from_s:
            retries += 1
            record.add("late_retry", request=attempt, run_at=f"{at:.3f}")
        seen.add(attempt)
    record.add("verdict", crashes=len(crashes), third_crash_at=f"{crashes[2]:.3f}",
               retries_later_than_contact=retries, allowed=ALLOWED_RETRIES)
    return retries <= ALLOWED_RETRIES


h.run_case(FOLDER, case)

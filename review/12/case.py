"""One heartbeat of another writer for each engine's address."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-3"))
from rig import (TROUBLE, CannotRun, Client, Deployment, Engine, call,
                 configuration, main, now, route, service)

KINDS = {"view": "app", "book": "shop", "list": "shop"}  # kind: service
ENGINES = {"app": 4, "shop": 4}
BEFORE_S = 6.0
AFTER_S = 50.0


class Counts:
    def __init__(self):
        self.lock = threading.Lock()
        self.sent = {kind: 0 for kind in KINDS}
        self.served = {kind: 0 for kind in KINDS}
        self.ended = False

    def share(self, kinds):
        sent = sum(self.sent[kind] for kind in kinds)
        return sum(self.served[kind] for kind in kinds) / max(1, sent)


def send_requests(client, counts, kind):
    turn = 0
    while not counts.ended:
        turn += 1
        status, headers, body, _ = client.send(turn % 3, "GET", f"/{kind}/x")
        good = (status == 200 and body == b"done" and
                any(name.lower() == "x-response-seal" for name in headers))
        with counts.lock:
            counts.sent[kind] += 1
            counts.served[kind] += 1 if good else 0
        time.sleep(0.1)


def run(engine, request, connection):
    engine.record.add("run", id=request.header("X-Attempt-Id"),
                      engine=engine.ident)
    time.sleep(0.03)
    engine.reply(request, connection)
    return True


def other_writer(deployment, engine, number):
    """Another program that registers what listens at the engine's address, with
    an id and a time of start of its own and a service that the configuration
    doesn't name."""
    body = {"service": "billing-batch", "address": engine.address,
            "zone": engine.zone, "version": "7", "slots": 1, "state": "ready",
            "warmup-left-ms": 0, "sequence": 1,
            "born": int(time.time() * 1000)}
    path = f"/api/instances/w-{number}"
    status, _, _ = call(deployment.control()[number % 3], "PUT", path, body)
    deployment.record.add("other writer", call=f"PUT {path}",
                          address=engine.address, status=status)


def case(record):
    deployment = Deployment(record, hosts=3, entries=3)
    counts = Counts()
    try:
        deployment.start_all()
        engines = [Engine(deployment, f"i-{name}-{number}", name, run,
                          zone=deployment.zone(number), slots=6)
                   for name, count in ENGINES.items()
                   for number in range(count)]
        deployment.order("PUT", "/api/config", configuration(
            1, [route(kind, "safe", name, **{"max-attempts": 2})
                for kind, name in KINDS.items()],
            [service(name, **{"warmup-s": 0.0, "warmup-per-s": 0.0})
             for name in ENGINES]))
        deployment.wait_ready()
        time.sleep(4)
        client = Client(deployment)
        for kind in KINDS:
            threading.Thread(target=send_requests,
                             args=(client, counts, kind), daemon=True).start()
        time.sleep(BEFORE_S)
        before = counts.share(KINDS)
        if before < 0.9:
            raise CannotRun(f"only {before:.3f} served before")
        if TROUBLE:
            for number, engine in enumerate(engines):
                if engine.service == "app":
                    other_writer(deployment, engine, number)
        time.sleep(AFTER_S)
        counts.ended = True
        view, every = counts.share(["view"]), counts.share(KINDS)
        for kind in KINDS:
            record.add("count", kind=kind, served=counts.served[kind],
                       of=counts.sent[kind])
        record.add("shares", view=f"{view:.3f}", all=f"{every:.3f}",
                   quarter=f"{every / 4:.3f}")
        return view >= every / 4
    finally:
        counts.ended = True
        deployment.stop()


main(os.path.dirname(os.path.abspath(__file__)), case)

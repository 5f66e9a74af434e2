"""Not one of the five cases: heartbeats of another writer, with a service that
is not named. See REPORT-2.md.

Each carries the id and the address of a running engine, and a service that no
configuration names. The writer sends them every heartbeat-ms. The engines
themselves are sound and go on with their own heartbeats."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import engines as stand_ins  # noqa: E402
import rig  # noqa: E402

ENGINES = 6
OBSERVED_S = 30


def write_for(engine, control, record):
    """The other writer: its heartbeats for the id of the engine."""
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        body = {"service": "fold-archive", "zone": engine.zone, "version": "v1",
                "address": f"127.0.0.1:{engine.server_port}", "slots": 64,
                "state": "ready", "warmup-left-ms": 0, "stage": "both",
                "models": [], "sequence": sequence, "born": born}
        try:
            status = rig.call(control, "PUT", f"/api/instances/{engine.name}", body)[0]
        except OSError as error:
            status = type(error).__name__
        record.line(f"other writer: {engine.name}, service fold-archive, sequence "
                    f"{sequence}, born {born} -> {status}")
        time.sleep(stand_ins.HEARTBEAT_S)


def play(deployment, record):
    engines, clients = stand_ins.start(deployment, record, ENGINES)
    if rig.TROUBLE:
        for engine in engines[:ENGINES]:
            threading.Thread(target=write_for, daemon=True,
                             args=(engine, deployment.seeds[0], record)).start()
    time.sleep(rig.CONTACT_S)
    return clients.watch(OBSERVED_S, 0.05, engines, record)


if __name__ == "__main__":
    sys.exit(rig.run_case(HERE, play))

"""A planned replacement of a core host, then one lost disk.

Three hosts with a disk, one a zone; one loss is to be borne. A successor of the
third host starts at a new address with an empty disk. After catch-up-s the
third host gets SIGTERM and is gone for good. Then another host loses its disk
and comes back at its address with an empty one. What was acknowledged must stay
readable."""
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import rig  # noqa: E402

HOSTS = {"control-a": ("127.0.1.1", "addis-a"), "control-b": ("127.0.1.2", "addis-b"),
         "control-c": ("127.0.1.3", "addis-c")}
SUCCESSOR = ("127.0.1.4", "addis-c")


def play(deployment, record):
    deployment.seeds = [deployment.control_address(ip) for ip, _ in HOSTS.values()]
    for name, (ip, zone) in HOSTS.items():
        deployment.start(name, "control", ip, zone)
    operator = rig.Operator(record, deployment.seeds)
    status, _ = operator.order("PUT", "/api/config", rig.configuration(7), 10)
    if status != 200:
        raise rig.CannotRun("the first configuration was not acknowledged")
    time.sleep(3)

    # The successor, and after catch-up-s the removal of its predecessor.
    deployment.start("control-d", "control", *SUCCESSOR, bootstrap=False)
    time.sleep(rig.CATCH_UP_S + 0.5)
    deployment.signal("control-c", signal.SIGTERM)
    deployment.processes["control-c"].wait()
    record.line("platform: control-c has ended and does not come back")
    operator.addresses = [deployment.control_address(ip) for ip in
                          ("127.0.1.1", "127.0.1.2", SUCCESSOR[0])]
    status, _ = operator.order("PUT", "/api/config", rig.configuration(9), 4)
    if status != 200:
        raise rig.CannotRun("the second configuration was not acknowledged")
    time.sleep(1)

    if rig.TROUBLE:
        deployment.kill("control-b")
        deployment.wipe("control-b")
        time.sleep(0.5)
        deployment.start("control-b", "control", *HOSTS["control-b"], bootstrap=False)

    # All three hosts run and are connected from here on.
    acknowledged = 9
    end = time.monotonic() + 45
    while time.monotonic() < end:
        status, body = operator.order("GET", "/api/config", None, 4)
        if status == 200:
            number = rig.json.loads(body)["version"]
            record.line(f"operator: read back {number}, acknowledged {acknowledged}")
            return rig.HELD if number >= acknowledged else rig.BROKEN
    record.line("operator: the configuration was not readable for 45 s")
    status, _ = operator.order("PUT", "/api/config", rig.configuration(11), 8)
    record.line(f"operator: a new configuration got {status}")
    return rig.BROKEN


if __name__ == "__main__":
    sys.exit(rig.run_case(HERE, play))

"""Runs two builds of Chivefront together: old data read by the new build, and
old and new processes beside each other. Behind scripts/mixed-builds.

Guards against a change of a stored field, a message or a settings key that
the tests of one build cannot see, since they write and read with one program.
"""
import argparse
import json
import os
import re
import signal
import subprocess
import sys
import tempfile

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))
sys.path.insert(0, os.path.join(ROOT, "platform"))

from e2e_node import (Deployment as NodeDeployment, Engine,  # noqa: E402
                      configuration, control_call, is_ready, send_request,
                      test_each_route_type, wait_for)
from deployment import Deployment, streamed_text  # noqa: E402
from processes import Failure, wait_until  # noqa: E402

KEY = "head-office-key"
CATALOGUE = os.path.join(ROOT, "examples", "salins.json")
PROGRAMS = ["chivefront-agent", "chivefront-control", "chivefront-entry",
            "chivefront-node", "chivefrontctl"]


def step(text):
    print(f"== {text}", flush=True)


def expect(what, got, wanted):
    if got != wanted:
        raise Failure(f"{what}: got {got!r}, wanted {wanted!r}")


class MixedDeployment(Deployment):
    """A deployment whose processes can come from different builds."""

    def __init__(self, builds, of_process, **options):
        """builds: name -> folder of programs; of_process: process -> build."""
        super().__init__(ROOT, **options)
        self.builds = builds
        self.of_process = dict(of_process)
        self.default = "new"

    def program(self, name):
        return os.path.join(self.builds[self.default], name)

    def add(self, name, command):
        build = self.of_process.get(name, self.default)
        program = os.path.join(self.builds[build], os.path.basename(command[0]))
        return super().add(name, [program, *command[1:]])

    def restart(self, name, build):
        """Stops one process gracefully and starts it from a build."""
        expect(f"exit code of {name}", self.processes[name].stop(), 0)
        self.of_process[name] = build
        if name in self.controls:
            self.start_control(name)
        elif name in self.entries:
            self.start_entry(name)
        else:
            self.start_agent(next(u for u in self.upstreams
                                  if self.agent_name(u) == name))


def serve(d, mark):
    """One request of each kind; returns what later builds must still know."""
    status, headers, body = d.chat("entry-1", KEY, "small", f"tag {mark}",
                                   {"X-Chivefront-Session": "session-1"})
    expect("unary status", (status, body[:200] if status != 200 else b""),
           (200, b""))
    status, _, body = d.chat("entry-2", KEY, "large", f"draft {mark}", stream=True)
    text, ended, _ = streamed_text(body)
    expect("stream", (status, ended, bool(text)), (200, True, True))
    status, _, booking = d.call("entry-1", "/v1/services/booking/bookings",
                                {"kitchen": 7}, KEY, {"Idempotency-Key": "k-1"})
    expect("booking status", status, 200)
    return {"request": headers["X-Chivefront-Request"],
            "version": headers["X-Chivefront-Version"], "booking": booking}


def check_known(d, before, after):
    """What the ledger and the configuration held is still there."""
    expect("version of the session", after["version"], before["version"])
    expect("repeated booking", after["booking"], before["booking"])
    wait_until(lambda: before["request"] in d.must_ctl(
        "bills", "--request", before["request"]), 10, "the earlier bill is listed")
    done = d.ctl("catalogue", "diff", CATALOGUE)
    expect("catalogue against its file",
           (done.returncode, done.stdout.strip().split("\n")[-1]),
           (0, "no difference"))


def change_configuration(d):
    """A change goes through the group and is in force everywhere."""
    for direction, wanted in (("out", 503), ("in", 200)):
        d.must_ctl(direction, "domain", "riga-c")
        wait_until(lambda: d.chat("entry-2", KEY, "large", "x")[0] == wanted, 20,
                   f"domain {direction} in force")


def check_timeline(d, reader, request):
    """The named build reads the event logs of all processes."""
    files = [os.path.join(d.folder, name) for name in os.listdir(d.folder)
             if name.endswith(".events")]
    d.default = reader
    text = d.must_ctl("timeline", "--request", request, *files)
    d.default = "new"
    places = [text.find(event) for event in (
        "request_received", "dispatched", "dispatch_received",
        "sent_to_upstream", "run_ended", "billed", "answered")]
    if min(places) < 0 or places != sorted(places):
        raise Failure(f"the time line is not in causal order: {text}")


def upgrade_on_data(builds, first, second):
    """All processes of one build, then all of the other on the same data."""
    step(f"all {first}, then all {second} on the data of {first}")
    with MixedDeployment(builds, {}) as d:
        d.default = first
        d.start()
        d.load_catalogue(CATALOGUE)
        before = serve(d, "before")
        expect("graceful stop", d.stop(), [])
        d.default = second
        d.start()
        d.wait_ready()
        after = serve(d, "after")
        check_known(d, before, after)
        change_configuration(d)
        check_timeline(d, second, before["request"])
        check_timeline(d, second, after["request"])
        expect("graceful stop", d.stop(), [])


def mixed_processes(builds, title, of_process):
    """Processes of both builds serve together."""
    step(title)
    with MixedDeployment(builds, of_process) as d:
        d.start()
        d.load_catalogue(CATALOGUE)
        before = serve(d, "mixed")
        check_known(d, before, serve(d, "again"))
        change_configuration(d)
        check_timeline(d, "new", before["request"])
        expect("graceful stop", d.stop(), [])


def rolling_upgrade(builds):
    """One control process after the other is restarted from the new build."""
    step("rolling upgrade of the control group, old to new")
    names = [f"control-{i}" for i in (1, 2, 3)]
    with MixedDeployment(builds, {name: "old" for name in names}) as d:
        d.start()
        d.load_catalogue(CATALOGUE)
        before = serve(d, "old group")
        for name in names:
            d.restart(name, "new")
            d.wait_ready()
            check_known(d, before, serve(d, name))
        change_configuration(d)
        expect("graceful stop", d.stop(), [])


def node_upgrade(builds, first, second):
    """chivefront-node on data of another build, one process after the other."""
    step(f"chivefront-node: {first}, then {second} on its data, logs explained")
    node = {name: os.path.join(folder, "chivefront-node")
            for name, folder in builds.items()}
    with tempfile.TemporaryDirectory() as folder:
        deployment = NodeDeployment(node[first], folder)
        names = [("control", 0), ("control", 1), ("control", 2),
                 ("entry", 0), ("entry", 1)]
        try:
            for role, index in names:
                deployment.start(role, index)
            put = control_call(deployment.control, "PUT", "/api/config",
                                 configuration(7))
            expect("configuration 7", put[0], 200)
            engine = Engine("engine-1", "app", deployment.control)
            wait_node_ready(deployment)
            test_each_route_type(deployment, engine)
            check_explain(builds[second], deployment, "stream-0")
            deployment.program = node[second]
            for role, index in names:
                restart_node(deployment, role, index)
                engine.runs.clear()
                wait_node_ready(deployment)
                test_each_route_type(deployment, engine)
            status, text = control_call(deployment.control, "GET", "/api/config")
            expect("kept configuration", (status, json.loads(text)["version"]),
                   (200, 7))
            put = control_call(deployment.control, "PUT", "/api/config",
                                 configuration(9, extra_route=True))
            expect("configuration 9", put[0], 200)
            wait_for("the new route is in force", lambda: send_request(
                deployment.entry(0), "/added/x", "added")[0] == 200)
            check_explain(builds[second], deployment, "added")
        except BaseException:
            for name in deployment.processes:
                print(f"--- {name}\n{deployment.log(name)[-2000:]}", file=sys.stderr)
            raise
        finally:
            deployment.stop_all()


def wait_node_ready(deployment):
    for index in (0, 1):
        wait_for("an entry is ready", lambda index=index:
                          is_ready(deployment, index), 15)


def restart_node(deployment, role, index):
    process = deployment.processes[f"{role}-{index}"]
    process.send_signal(signal.SIGTERM)
    expect(f"exit code of {role}-{index}", process.wait(timeout=20), 0)
    deployment.start(role, index)


def check_explain(folder, deployment, attempt):
    """chivefrontctl explain of a build reads the logs and names a cause."""
    done = subprocess.run(
        [os.path.join(folder, "chivefrontctl"), "explain", "--request", attempt,
         *[os.path.join(deployment.folder, name + ".log")
           for name in deployment.processes]], capture_output=True, text=True,
        timeout=30)
    if done.returncode != 0 or not re.search(r"^cause: \S", done.stdout, re.M):
        raise Failure(f"explain {attempt}: exit {done.returncode}: "
                      f"{done.stdout[-500:]}{done.stderr[-500:]}")


def folder_of_programs(path):
    """A folder that holds all programs of a build."""
    missing = [name for name in PROGRAMS
               if not os.access(os.path.join(path, name), os.X_OK)]
    if missing:
        raise argparse.ArgumentTypeError(f"{path}: no {', '.join(missing)}")
    return os.path.abspath(path)


def parse(arguments):
    parser = argparse.ArgumentParser(prog="scripts/mixed-builds",
                                     description=__doc__.split("\n\n")[0])
    parser.add_argument("old", type=folder_of_programs,
                        help="folder with the programs of the old build")
    parser.add_argument("new", type=folder_of_programs,
                        help="folder with the programs of the new build")
    return parser.parse_args(arguments)


def main():
    line = parse(sys.argv[1:])
    builds = {"old": line.old, "new": line.new}
    try:
        upgrade_on_data(builds, "old", "new")
        upgrade_on_data(builds, "new", "old")
        rolling_upgrade(builds)
        agents = {"agent-" + name: "old" for name in
                  ("engine-1", "engine-2", "engine-3", "booking-1")}
        entries = {"entry-1": "old", "entry-2": "old"}
        mixed_processes(builds, "one old control process in a new deployment",
                        {"control-1": "old"})
        mixed_processes(builds, "old entries, new agents and control", entries)
        mixed_processes(builds, "old agents, new entries and control", agents)
        node_upgrade(builds, "old", "new")
        node_upgrade(builds, "new", "old")
    except (Failure, AssertionError) as failure:
        print("mixed builds failed:", failure)
        return 1
    print("mixed builds passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())

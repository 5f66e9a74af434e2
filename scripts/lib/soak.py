"""Injects faults into a complete deployment under load; see scripts/soak.

Violations are counted from the results of callers, from the records that fake
upstreams write before they run a request, and from the results of operators'
commands; never from Chivefront's own logs.
"""
import argparse
import collections
import concurrent.futures
import json
import os
import random
import sys
import threading
import time

from callers import Callers
from deployment import Deployment, Upstream
from processes import Failure, wait_until

# New work may still arrive for this long after SIGTERM to an agent. After an
# operator's command has returned with "in force everywhere", none may arrive:
# the check at dispatch prevents it.
NO_NEW_WORK_SECONDS = 2.0
# All processes use the clock of one host; this covers the rounding to ms.
CLOCK_SLACK_SECONDS = 0.005

# Operators' commands run together with a second fault, because they have to be
# safe when a process doesn't get the change.
OPERATOR_FAULTS = {"fault_domain_out", "fault_upstream_out",
                   "fault_version_out", "fault_operator_race"}

# The limits of upstream-rule/small-1 in the example catalogue: 2 requests while
# cold, more after 4 successes, 16 at most. One request more than that ends the
# engine, which the soak counts as a violation.
COLD_OPTIONS = ["--bound", "16", "--cold-bound", "2", "--cold-requests", "4",
                "--token-ms", "4", "--exit-on-overload"]

UPSTREAMS = [
    Upstream("engine-1", "riga-a", "small-1", "small", options=COLD_OPTIONS),
    Upstream("engine-2", "riga-b", "small-1", "small", options=COLD_OPTIONS),
    Upstream("engine-3", "riga-c", "large-1", "large", options=COLD_OPTIONS),
    Upstream("engine-4", "riga-d", "large-1", "large", options=COLD_OPTIONS),
    Upstream("booking-1", "riga-a", service="booking"),
    Upstream("booking-2", "riga-c", service="booking"),
]


class Soak:
    def __init__(self, build, seed, seconds):
        self.rng = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.deployment = Deployment(
            build, upstreams=UPSTREAMS, relayed=True, rating=False,
            entry_options=["--accept-after-term-ms", "1000"])
        self.callers = Callers(self.deployment, seed)
        self.violations = collections.Counter()
        self.examples = {}
        self.faults = collections.Counter()
        self.graceful_stops = []  # (entry, from, to)
        # (upstream names, from, to, reason); no request may start there then.
        self.no_work_periods = []
        self.expected_down = set()
        self.revision = 0

    def record_violation(self, promise, example):
        self.violations[promise] += 1
        self.examples.setdefault(promise, str(example)[:300])

    # --- faults ---------------------------------------------------------

    def kill_and_restart(self, name, start, down):
        self.expected_down.add(name)
        self.deployment.processes[name].kill()
        time.sleep(down)
        start()
        self.expected_down.discard(name)

    def fault_kill_control(self):
        name = self.rng.choice(self.deployment.controls)
        self.kill_and_restart(
            name, lambda: self.deployment.start_control(name), 1.0)

    def fault_freeze_control(self):
        name = self.rng.choice(self.deployment.controls)
        self.freeze(name, 3.0)

    def fault_freeze_entry(self):
        self.freeze(self.rng.choice(self.deployment.entries), 3.0)

    def fault_freeze_agent(self):
        upstream = self.rng.choice(UPSTREAMS)
        self.freeze(self.deployment.agent_name(upstream), 3.0)

    def freeze(self, name, seconds):
        self.deployment.processes[name].freeze()
        time.sleep(seconds)
        self.deployment.processes[name].resume()

    def fault_kill_entry(self):
        name = self.rng.choice(self.deployment.entries)
        self.callers.balancer.ready.discard(name)
        self.kill_and_restart(
            name, lambda: self.deployment.start_entry(name), 0.5)

    def fault_kill_agent(self):
        upstream = self.rng.choice(UPSTREAMS)
        name = self.deployment.agent_name(upstream)
        self.kill_and_restart(
            name, lambda: self.deployment.start_agent(upstream), 0.5)

    def fault_kill_upstream(self):
        upstream = self.rng.choice(UPSTREAMS)
        self.kill_and_restart(
            upstream.name, lambda: self.deployment.start_upstream(upstream),
            0.5)

    def fault_cut_links(self):
        """Cuts or silences the links of one process to all control processes."""
        user = self.rng.choice(self.deployment.entries + [
            self.deployment.agent_name(u) for u in UPSTREAMS])
        mode = self.rng.choice(["cut", "silent"])
        relays = [r for key, r in self.deployment.relays.items()
                  if key.startswith(user + ">")]
        for relay in relays:
            relay.set_mode(mode)
        time.sleep(4.0)
        for relay in relays:
            relay.set_mode("forward")

    def fault_cut_everyone(self):
        """Cuts all entries and agents from control; links between them work."""
        mode = self.rng.choice(["cut", "silent"])
        relays = [r for key, r in self.deployment.relays.items()
                  if not key.startswith("control-")]
        for relay in relays:
            relay.set_mode(mode)
        time.sleep(6.0)
        for relay in relays:
            relay.set_mode("forward")

    def fault_isolate_control(self):
        """Silences all links of a control process to its peers and watchers."""
        name = self.rng.choice(self.deployment.controls)
        relays = [r for key, r in self.deployment.relays.items()
                  if key.endswith(">" + name) or key.startswith(name + ">")]
        for relay in relays:
            relay.set_mode("silent")
        time.sleep(4.0)
        for relay in relays:
            relay.set_mode("forward")

    def fault_silence_connections(self):
        """Silences the open connections of about half of the relays."""
        for relay in self.deployment.relays.values():
            if self.rng.random() < 0.5:
                relay.silence_open_connections()
        time.sleep(2.5)

    def fault_lose_disk(self):
        name = self.rng.choice(self.deployment.controls)
        self.deployment.processes[name].kill()
        folder = os.path.join(self.deployment.folder, name)
        os.rename(folder, folder + f".lost-{time.time():.0f}")
        self.deployment.start_control(name)
        wait_until(self.all_caught_up, 60, "copies restored after a lost disk")

    def all_caught_up(self):
        groups = self.deployment.status().get("groups", [])
        if not groups:
            return False
        for name in self.deployment.controls:
            status, _, body = self.deployment.admin(name, "/status")
            if status != 200:
                return False
            for group in json.loads(body)["groups"]:
                voters = [m for m in group["members"] if m["voter"]]
                if len(voters) != len(self.deployment.controls):
                    return False
                if group["role"] == "leader" and \
                        group["caught_up"] < len(voters):
                    return False
        return True

    def operate(self, *arguments):
        """An operator's command, sent again until it is accepted."""
        wait_until(lambda: self.deployment.ctl(*arguments).returncode == 0, 40,
                   "chivefrontctl " + " ".join(arguments))

    def take_out_for(self, what, identity, names):
        self.operate("out", what, identity)
        start = time.time()
        time.sleep(3.0)
        self.no_work_periods.append(
            (names, start, time.time(), f"{what} {identity}"))
        self.operate("in", what, identity)

    def fault_domain_out(self):
        domain = self.rng.choice(["riga-a", "riga-b", "riga-c", "riga-d"])
        self.take_out_for("domain", domain,
                          [u.name for u in UPSTREAMS if u.domain == domain])

    def fault_upstream_out(self):
        upstream = self.rng.choice(UPSTREAMS)
        self.take_out_for("upstream", upstream.name, [upstream.name])

    def fault_version_out(self):
        version = self.rng.choice(["small-1", "large-1"])
        self.take_out_for("version", version,
                          [u.name for u in UPSTREAMS if u.version == version])

    def fault_drain_agent(self):
        """Sends SIGTERM to an agent, which has to drain and exit with code 0."""
        upstream = self.rng.choice(UPSTREAMS)
        name = self.deployment.agent_name(upstream)
        start = time.time()
        code = self.deployment.processes[name].stop()
        if code != 0:
            self.record_violation("graceful", f"{name} exit code {code}")
        if time.time() - start < NO_NEW_WORK_SECONDS:
            time.sleep(NO_NEW_WORK_SECONDS)
        self.no_work_periods.append(
            ([upstream.name], start + NO_NEW_WORK_SECONDS, time.time(),
             f"leaving {upstream.name}"))
        self.deployment.start_agent(upstream)

    def fault_stop_entry(self):
        name = self.rng.choice(self.deployment.entries)
        start = time.time()
        code = self.deployment.processes[name].stop()
        self.graceful_stops.append((name, start, time.time()))
        if code != 0:
            self.record_violation("graceful", f"{name} exit code {code}")
        self.deployment.start_entry(name)

    def fault_stop_control(self):
        name = self.rng.choice(self.deployment.controls)
        code = self.deployment.processes[name].stop()
        if code != 0:
            self.record_violation("graceful", f"{name} exit code {code}")
        self.deployment.start_control(name)

    def fault_operator_race(self):
        """Two operators change the catalogue at the same revision."""
        revision = self.deployment.status().get("revision")
        if revision is None:
            return
        paths = []
        for number in (1, 2):
            with open("examples/salins.json") as handle:
                entries = json.load(handle)
            entries["team/trial"]["limits"]["concurrency"] = \
                10 + number + self.rng.randint(0, 1000)
            path = os.path.join(self.deployment.folder, f"race-{number}.json")
            with open(path, "w") as handle:
                json.dump(entries, handle)
            paths.append(path)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            codes = sorted(pool.map(lambda path: self.deployment.ctl(
                "catalogue", "apply", path, "--expect",
                str(revision)).returncode, paths))
        if codes == [0, 0]:
            self.record_violation("config", f"both changes accepted at {revision}")

    # --- the run ----------------------------------------------------------

    def run(self):
        self.begin()
        names = sorted(n for n in dir(self) if n.startswith("fault_"))
        disruptions = ["fault_cut_links", "fault_cut_everyone",
                       "fault_isolate_control",
                       "fault_freeze_control", "fault_freeze_entry",
                       "fault_freeze_agent", "fault_silence_connections"]
        end = time.time() + self.seconds
        order = []
        while time.time() < end:
            if not order:
                order = self.rng.sample(names, len(names))
            name = order.pop()
            self.inject(name, self.rng.choice(disruptions)
                        if name in OPERATOR_FAULTS else None)
            self.recover()
        self.finish()

    def run_list(self, faults):
        """Injects the given (fault, second fault or None) in order."""
        self.begin()
        for name, second in faults:
            self.inject("fault_" + name, "fault_" + second if second else None)
            self.recover()
        self.finish()

    def begin(self):
        self.deployment.start()
        self.deployment.load_catalogue("examples/salins.json")
        self.callers.start()

    def recover(self):
        self.deployment.wait_ready(40)
        self.revision = self.check_revision(self.revision)
        self.check_exits()
        time.sleep(0.5)

    def finish(self):
        self.callers.stop()
        wait_until(self.all_caught_up, 60, "all control replicas caught up")
        time.sleep(6)  # agents post the bills that they still hold
        self.check()
        bad = self.deployment.stop()
        if bad:
            self.record_violation("graceful", f"exit codes at the end: {bad}")

    def inject(self, name, second):
        """Runs a fault, and the second one, if given, at the same time."""
        print(f"   {name[6:]}" + (f" with {second[6:]}" if second else ""),
              flush=True)
        self.faults[name[6:]] += 1
        second_thread = None
        if second:
            self.faults[second[6:]] += 1
            second_thread = threading.Thread(target=getattr(self, second))
            second_thread.start()
            time.sleep(self.rng.uniform(0.0, 1.0))
        getattr(self, name)()
        if second_thread:
            second_thread.join()

    def check_revision(self, last):
        revision = self.deployment.status().get("revision", last)
        if revision < last:
            self.record_violation("config", f"revision {revision} after {last}")
        return max(revision, last)

    def check_exits(self):
        for name, process in self.deployment.processes.items():
            if not process.running() and name not in self.expected_down:
                promise = "cold-start" if name.startswith("engine") else "exits"
                self.record_violation(promise,
                                      f"{name} ended: {process.tail()}")
                upstream = next((u for u in UPSTREAMS if u.name == name), None)
                if upstream:
                    self.deployment.start_upstream(upstream)

    # --- checks ------------------------------------------------------------

    def records(self):
        """Upstream name to [(seconds, id)]."""
        result = {}
        for upstream in UPSTREAMS:
            path = os.path.join(self.deployment.folder, upstream.name + ".record")
            rows = []
            if os.path.exists(path):
                with open(path) as handle:
                    for line in handle:
                        when, identity = line.rstrip("\n").split(" ", 1)
                        rows.append((int(when) / 1000, identity))
            result[upstream.name] = rows
        return result

    def check(self):
        records = self.records()
        ran = collections.Counter(identity for rows in records.values()
                                  for _, identity in rows)
        self.check_answers(ran)
        self.check_no_work_periods(records)
        self.check_bills()
        for upstream in UPSTREAMS:
            if upstream.service is None and \
                    self.deployment.history(upstream.name)["exceeded"]:
                self.record_violation("cold-start", upstream.name)

    def check_answers(self, ran):
        sessions = collections.defaultdict(set)
        for result in self.callers.results:
            if result.kind == "forbidden" and (result.status == 200 or
                                               ran[result.request]):
                self.record_violation("allowed", result.__dict__)
            if result.run == "not_run" and result.kind != "booking" and \
                    ran[result.request]:
                self.record_violation("not-run", result.__dict__)
            if result.error.startswith("untyped"):
                self.record_violation("typed-errors", result.__dict__)
            if result.session and result.status == 200 and result.version:
                sessions[(result.team, result.session)].add(result.version)
            if result.kind == "chat" and result.whole and \
                    result.tokens != result.wanted_tokens:
                self.record_violation("whole-answer", result.__dict__)
            if result.cut and any(
                    result.entry == entry and start <= result.ended <= end
                    for entry, start, end in self.graceful_stops):
                self.record_violation("graceful", result.__dict__)
        for session, versions in sessions.items():
            if len(versions) > 1:
                self.record_violation("session", (session, versions))
        self.check_bookings(ran)

    def check_bookings(self, ran):
        answers = collections.defaultdict(list)
        for result in self.callers.results:
            if result.kind == "booking":
                answers[result.key].append(result)
        for key, key_results in answers.items():
            if ran[key] > 1:
                self.record_violation("at-most-once", (key, ran[key]))
            if any(h.status == 200 for h in key_results) and ran[key] == 0:
                self.record_violation("at-most-once",
                                      (key, "answered but never run"))
            if ran[key] and all(h.run == "not_run" for h in key_results):
                self.record_violation("not-run",
                                      (key, [h.error for h in key_results]))

    def check_no_work_periods(self, records):
        for names, start, end, what in self.no_work_periods:
            for name in names:
                late = [identity for when, identity in records[name]
                        if start + CLOCK_SLACK_SECONDS < when < end]
                if late:
                    promise = {"domain": "domain-out", "version": "withdrawn"}
                    self.record_violation(
                        promise.get(what.split()[0], "leaving"),
                        (what, name, late[:3]))

    def check_bills(self):
        done = self.deployment.ctl("--json", "bills", "--limit", "1000000",
                                   seconds=60)
        if done.returncode != 0:
            raise Failure("chivefrontctl bills failed: " + done.stderr)
        lines = json.loads(done.stdout)["lines"]
        per_request = collections.Counter((line["request"], line["run"])
                                          for line in lines)
        for request, count in per_request.items():
            if count > 1:
                self.record_violation("billed-once", (request, count))
        billed = {request for request, _ in per_request}
        for result in self.callers.results:
            if result.kind == "chat" and result.whole and \
                    result.request not in billed:
                self.record_violation("billed-once", ("answered, not billed",
                                                      result.__dict__))

    def report(self):
        results = self.callers.results
        print(f"\nfaults: {dict(self.faults)}")
        kinds = collections.Counter(
            (h.kind, "answered" if h.status == 200 and h.whole else
             h.error.split("(")[0] or "incomplete") for h in results)
        print(f"requests: {len(results)}")
        for (kind, outcome), count in sorted(kinds.items()):
            print(f"   {kind:10} {outcome:24} {count}")
        promises = ["allowed", "withdrawn", "session", "billed-once",
                    "cold-start", "domain-out", "whole-answer", "not-run",
                    "at-most-once", "leaving", "graceful", "config"]
        extra = sorted(set(self.violations) - set(promises))
        print("violations per promise:")
        for promise in promises + extra:
            print(f"   {promise:14} {self.violations[promise]}"
                  f"  {self.examples.get(promise, '')}")
        answered = sum(1 for h in results if h.status == 200 and h.whole)
        if answered < len(results) / 2 or answered == 0:
            print(f"only {answered} of {len(results)} requests were answered: "
                  "the run proves little")
            return 1
        return sum(self.violations.values())


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--minutes", type=float, default=2)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    soak = Soak(arguments.build, arguments.seed, arguments.minutes * 60)
    print(f"soak: seed {arguments.seed}, {arguments.minutes} minutes")
    try:
        soak.run()
        bad = soak.report()
    except Failure as failure:
        soak.report()
        print(f"soak failed: {failure}\nfiles: {soak.deployment.folder}")
        return 1
    finally:
        soak.deployment.kill_all()
    print("soak passed" if bad == 0 else
          f"soak found {bad} violations; files: {soak.deployment.folder}")
    return 0 if bad == 0 else 1


if __name__ == "__main__":
    sys.exit(main())

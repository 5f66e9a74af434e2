"""Runs all measurements and writes their page; see scripts/bench.

The results are stored as JSON in the build folder, so that --render can write
the page again from the same run.
"""
import argparse
import concurrent.futures
import datetime
import json
import os
import shutil
import subprocess
import sys
import time
import traceback

import bench_faults
import bench_load
import bench_page
from bench_sites import SITES

SEED = 20000  # first seed of the loads; each section adds its own offset
POLICY_CASES = ["cascade", "classes", "rollout", "placement", "retries",
                "suspects", "domain", "limiter"]


class Plan:
    """Durations in seconds and repetitions of a full or a quick run."""

    def __init__(self, quick):
        self.sites = SITES[:1] if quick else SITES
        self.seconds = 3 if quick else 8
        self.phase = 2 if quick else 4
        self.domain = [1] if quick else [3, 1]
        self.free = 1 if quick else 2
        self.faults = 1
        self.fault_kinds = 2 if quick else 5
        # A quick run only shows that every section works. Its sections run in
        # parallel, so its figures can't be compared.
        self.workers = 8 if quick else 1
        self.policy_seeds = 1 if quick else 10
        self.cascade_seeds = 1 if quick else 5


def policy(build, plan):
    """Rows of policy-bench; the cases run in parallel."""
    def run(case):
        seeds = plan.cascade_seeds if case == "cascade" else plan.policy_seeds
        done = subprocess.run(
            [os.path.join(build, "bin", "policy-bench"), "--case", case,
             "--first-seed", "1", "--seeds", str(seeds), "--json", "-"],
            capture_output=True, text=True, check=True)
        return json.loads(done.stdout)
    with concurrent.futures.ThreadPoolExecutor(len(POLICY_CASES)) as pool:
        return [row for rows in pool.map(run, POLICY_CASES) for row in rows]


def consensus(build):
    """What consensus_bench prints, and the file system it wrote to."""
    program = os.path.join(build, "chivefront", "consensus", "consensus_bench")
    folder = os.path.join(build, "consensus-bench")
    shutil.rmtree(folder, ignore_errors=True)
    done = subprocess.run([program, folder], capture_output=True, text=True,
                          check=True)
    kind = subprocess.run(["stat", "-f", "-c", "%T", build],
                          capture_output=True, text=True, check=True)
    return {"lines": done.stdout.split("\n")[:-1],
            "file_system": kind.stdout.strip()}


def sections(build, plan):
    """Name and function of each measurement, in the order of the page."""
    first = SITES[0]
    jobs = {f"latency {site.name}": lambda site=site, n=n: bench_load.latency(
        site, build, SEED + 100 * n, plan.seconds)
        for n, site in enumerate(plan.sites)}
    jobs.update({
        f"domain {site.name}": lambda site=site, n=n: bench_load.domain(
            site, build, SEED + 1000 + 100 * n, plan.phase, plan.domain[n])
        for n, site in enumerate(plan.sites)})
    jobs.update({
        "free tier": lambda: bench_load.free_tier(
            first, build, SEED + 2000, plan.phase + 1, plan.free),
        "stalled readers": lambda: bench_faults.stalled_readers(
            first, build, SEED + 3000, plan.phase),
        "faults": lambda: bench_faults.faults(
            first, build, SEED + 4000, plan.faults, plan.fault_kinds),
        "consensus": lambda: consensus(build),
        "policy": lambda: policy(build, plan)})
    return jobs


def measure(build, plan, quick):
    results = {
        "date": datetime.datetime.now(datetime.timezone.utc).strftime(
            "%Y-%m-%d %H:%M UTC"),
        "commit": subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], capture_output=True,
            text=True, check=True).stdout.strip(),
        "command": "scripts/bench" + (" --quick" if quick else ""),
        "cores": os.cpu_count(), "load_before": os.getloadavg()[0],
        "seed": SEED, "cascade_seeds": plan.cascade_seeds,
        "policy_seeds": plan.policy_seeds, "sections": {}, "failed": {}}

    def run(name, job):
        started = time.monotonic()
        try:
            results["sections"][name] = job()
        except Exception as error:  # the other sections still run
            traceback.print_exc()
            results["failed"][name] = repr(error)
        print(f"{name}: {time.monotonic() - started:.0f} s", flush=True)

    with concurrent.futures.ThreadPoolExecutor(plan.workers) as pool:
        for name, job in sections(build, plan).items():
            pool.submit(run, name, job)
    results["load_after"] = os.getloadavg()[0]
    return results


def measure_again(results, name, build, plan):
    """Measures one section again and lists it in the results for the page."""
    results["sections"][name] = sections(build, plan)[name]()
    results["failed"].pop(name, None)
    results.setdefault("again", []).append(name)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--render", help="results to write the page from")
    parser.add_argument("--out", help="page to write")
    parser.add_argument("--only", help="measure this section again and put it "
                        "into the kept results")
    arguments = parser.parse_args()
    print(f"bench: first load seed {SEED}, policy-bench first seed 1")
    results_path = os.path.join(arguments.build, "bench-results.json")
    plan = Plan(arguments.quick)
    if arguments.render or arguments.only:
        with open(arguments.render or results_path) as handle:
            results = json.load(handle)
        if arguments.only:
            measure_again(results, arguments.only, arguments.build, plan)
    else:
        results = measure(arguments.build, plan, arguments.quick)
    if not arguments.render:
        with open(results_path, "w") as handle:
            json.dump(results, handle)
    page = arguments.out or (
        os.path.join(arguments.build, "MEASUREMENTS.md") if arguments.quick
        else "docs/MEASUREMENTS.md")
    bench_page.write(results, page)
    print(f"written: {page}")
    return 1 if results["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())

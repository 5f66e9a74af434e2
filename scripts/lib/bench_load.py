"""Sections of scripts/bench that run loads: latency, domain, free tier."""
import time

import bench_sites

WARM_MS = 6000
WARM_SHARE = 0.9     # of capacity; limits rise only while at least half used
SHARE = 0.4          # of capacity, for latency
DOMAIN_SHARE = 0.7   # of capacity, from the goal in section 3 of design.md
FREE_TIMES = 10      # free load as a multiple of capacity, from that section
FREE_DEADLINE_MS = 2000  # with a longer one queued free work outlasts the run
ADDED_RATE = 60      # requests per second
ADDED_TOKENS = 5     # short, so that the directly called engine has no queue
SWITCH_SECONDS = 1.0


def warm_up(deployment, site, seed):
    """Raises the cold limits by load, so that warm engines are measured."""
    bench_sites.Load(deployment, bench_sites.paying_mixes(site, WARM_SHARE),
               WARM_MS, seed).wait()


def latency(site, build, seed, seconds):
    deployment = bench_sites.start(site, build, bench_sites.lift_team_limits)
    with deployment:
        warm_up(deployment, site, seed)
        mixes = bench_sites.paying_mixes(site, SHARE)
        mixes.append({"name": "service", "caller_key": site.teams[0] + "-key",
                      "rate": 10, "service": site.service, "path": "/list",
                      "method": "GET"})
        before = cpu(deployment)
        rows = bench_sites.Load(deployment, mixes, seconds * 1000,
                                seed + 1).wait()
        used = {part: after - before[part]
                for part, after in cpu(deployment).items()}
        answered = sum(row["answered"] for row in rows)
        result = {"site": site.name, "answered": answered,
                  "per_second": answered / seconds,
                  "errors": bench_sites.errors_of(rows),
                  "per_core": {part: answered / max(value, 0.01)
                               for part, value in used.items()},
                  "kinds": {name: times([r for r in rows if r["name"] == name])
                            for name in ("cheap", "best", "service")}}
        result["added"] = added_latency(deployment, site, seed + 2, seconds)
        return result


def cpu(deployment):
    return {part: bench_sites.cpu_seconds(deployment, part)
            for part in ("entry", "agent")}


def times(rows):
    return {field: {q: bench_sites.weighted(rows, field, q)
                    for q in ("p50", "p99")}
            for field in ("first_token_ms", "total_ms", "between_tokens_ms")}


def added_latency(deployment, site, seed, seconds):
    """Latency over the router minus that of a direct call in the same run."""
    engine = deployment.add("direct", [
        deployment.program("fake-engine"), "--name", "direct", "--model",
        site.cheap, "--engine-version", site.cheap + "-1",
        *bench_sites.engine_options(bench_sites.CHEAP_BATCH)]).start()
    rows = bench_sites.Load(deployment, [bench_sites.mix(
        "cheap", site.teams[0], ADDED_RATE, site.cheap,
        max_tokens=ADDED_TOKENS)], seconds * 1000, seed,
        engine.fields["listen"]).wait()
    routed = times([r for r in rows if r["name"] == "cheap"])
    direct = times([r for r in rows if r["name"] == "cheap/direct"])
    return {"routed": routed, "direct": direct,
            "requests": sum(r["answered"] for r in rows)}


def domain(site, build, seed, seconds, repetitions):
    """Takes out and brings back the last domain, which has fewest engines."""
    results = []
    with bench_sites.start(site, build, bench_sites.lift_team_limits) as deployment:
        warm_up(deployment, site, seed)
        for repetition in range(repetitions):
            results.append(out_and_back(deployment, site,
                                        seed + 10 * repetition, seconds))
    return {"site": site.name, "runs": results}


def out_and_back(deployment, site, seed, seconds):
    """Runs the phases before, out, back and after.

    A phase starts when the previous one has sent all its requests, so phases
    overlap.
    """
    out = site.domains[-1]
    names = [u.name for u in site.upstreams() if u.domain == out]
    command_times, loads = {}, {}
    for number, phase in enumerate(("before", "out", "back", "after")):
        loads[phase] = bench_sites.Load(
            deployment, bench_sites.paying_mixes(site, DOMAIN_SHARE),
            seconds * 1000, seed + number)
        end = time.monotonic() + seconds
        if phase in ("out", "back"):
            time.sleep(SWITCH_SECONDS)
            command_times[phase] = time.time()
            deployment.must_ctl("out" if phase == "out" else "in", "domain",
                                out)
            command_times[phase + " returned"] = time.time()
        time.sleep(max(0, end - time.monotonic()))
    rows = {phase: load.wait() for phase, load in loads.items()}
    late = [t for t in bench_sites.starts_on(deployment, names)
            if command_times["out"] < t < command_times["back"]]
    last = max(late, default=command_times["out"])
    return {
        "errors": {phase: bench_sites.errors_of(r)
                   for phase, r in rows.items()},
        "sent": sum(r["sent"] for phase in rows.values() for r in phase),
        "p99": {phase: bench_sites.weighted(r, "first_token_ms", "p99")
                for phase, r in rows.items()},
        "last_after_start_ms": 1000 * (last - command_times["out"]),
        "last_after_return_ms": 1000 * (last - command_times["out returned"]),
        "command_ms": 1000 * (command_times["out returned"] -
                              command_times["out"])}


def free_tier(site, build, seed, seconds, repetitions):
    """Paying load at half of capacity, without and with the free tier."""
    runs = []
    with bench_sites.start(site, build, bench_sites.lift_team_limits) as deployment:
        warm_up(deployment, site, seed)
        for repetition in range(repetitions):
            one = {}
            for part in ("without", "with"):
                mixes = bench_sites.paying_mixes(site, 0.5)
                if part == "with":
                    mixes.append(bench_sites.mix(
                        "free", site.free_team,
                        FREE_TIMES * site.capacity()[0], site.cheap,
                        deadline_ms=FREE_DEADLINE_MS))
                rows = bench_sites.Load(deployment, mixes, seconds * 1000,
                                  seed + repetition).wait()
                paying = [r for r in rows if r["name"] != "free"]
                free = [r for r in rows if r["name"] == "free"]
                one[part] = {
                    **times(paying), "errors": bench_sites.errors_of(paying),
                    "sent": sum(r["sent"] for r in paying),
                    "free_sent": sum(r["sent"] for r in free),
                    "free_answered": sum(r["answered"] for r in free)}
            runs.append(one)
    return {"site": site.name, "runs": runs}

"""The two deployments that scripts/bench measures, and their load.

Rates are requests per second. Loads run in chivefront-load, one process per
entry, because each entry enforces its own share of the team limits.
"""
import json
import os
import subprocess

from deployment import Deployment, Upstream
from processes import Failure

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Time per token of every upstream, independent of its batch, so that a change
# of latency comes from waiting and not from a slower engine.
TOKEN_MS = 20
ANSWER_TOKENS = 40
CHEAP_BATCH = 16   # "full" of the cheap versions in examples/*.json
BEST_BATCH = 8     # "full" of the best versions


class Site:
    """Layout of one deployment; domains lists the failure domains."""

    def __init__(self, name, catalogue, domains, cheap, best, service, counts,
                 teams, free_team):
        self.name = name
        self.catalogue = catalogue
        self.domains = domains
        self.cheap, self.best, self.service = cheap, best, service
        self.cheap_count, self.best_count, self.service_count = counts
        self.teams = teams
        self.free_team = free_team

    def upstreams(self):
        """Upstreams of each kind, spread evenly over the domains."""
        rows = []
        kinds = [("cheap", self.cheap, self.cheap_count, CHEAP_BATCH),
                 ("best", self.best, self.best_count, BEST_BATCH)]
        for kind, model, count, batch in kinds:
            for number in range(count):
                rows.append(Upstream(
                    f"{kind}-{number + 1}", self._domain(number), model + "-1",
                    model, options=engine_options(batch)))
        for number in range(self.service_count):
            rows.append(Upstream(f"{self.service}-{number + 1}",
                                 self._domain(number), service=self.service))
        return rows

    def _domain(self, number):
        return self.domains[number % len(self.domains)]

    def capacity(self):
        """Requests per second of the cheap and of the best engines."""
        seconds = TOKEN_MS * ANSWER_TOKENS / 1000
        return (self.cheap_count * CHEAP_BATCH / seconds,
                self.best_count * BEST_BATCH / seconds)


SITES = [
    Site("salins", "examples/salins.json",
         ["riga-a", "riga-b", "riga-c", "riga-d"], "small", "large", "booking",
         (6, 4, 4), ["head-office", "riga-centre"], "trial"),
    Site("tesfaye", "examples/tesfaye.json",
         ["addis-a", "addis-b", "addis-c"], "sketch", "pattern", "orders",
         (12, 8, 3), ["workshop", "weddings"], "visitors"),
]


def engine_options(batch, token_ms=TOKEN_MS):
    return ["--batch", str(batch), "--bound", str(4 * batch),
            "--token-ms", str(token_ms), "--token-per-request-us", "0"]


def catalogue_with(site, folder, change):
    """Writes the site's catalogue, changed in place by change(entries)."""
    with open(site.catalogue) as handle:
        entries = json.load(handle)
    change(entries)
    path = os.path.join(folder, "catalogue.json")
    with open(path, "w") as handle:
        json.dump(entries, handle)
    return path


def raise_limits(entries, prefix, **limits):
    for key, entry in entries.items():
        if key.startswith(prefix):
            entry["limits"].update(limits)


def start(site, build, change=None, upstreams=None, entries=2, relayed=False):
    """Starts a deployment of site and waits until it serves requests."""
    deployment = Deployment(build, upstreams=upstreams or site.upstreams(),
                            entries=entries, relayed=relayed, rating=False,
                            domains=site.domains)
    try:
        deployment.start()
        path = site.catalogue
        if change:
            path = catalogue_with(site, deployment.folder, change)
        deployment.load_catalogue(path)
    except BaseException:
        deployment.kill_all()
        raise
    return deployment


def mix(name, team, rate, model, **more):
    return {"name": name, "caller_key": team + "-key", "rate": rate,
            "model": model, "stream": True, "max_tokens": ANSWER_TOKENS, **more}


def paying_mixes(site, share):
    """Paying load of share of the capacity of both kinds of engine.

    One team per kind: chivefront-load keeps quantiles per mix, and a p99 needs
    a mix of a few hundred requests.
    """
    cheap, best = site.capacity()
    return [mix("cheap", site.teams[0], share * cheap, site.cheap),
            mix("best", site.teams[1], share * best, site.best)]


def lift_team_limits(entries):
    """Raises team and model limits, so that only the engines limit the load."""
    raise_limits(entries, "team/", requests_per_second=10000,
                 concurrency=10000, tokens_per_minute=1000000000)
    raise_limits(entries, "model/", concurrency=10000)


class Load:
    """chivefront-load against every entry, each with an equal part."""

    def __init__(self, deployment, mixes, milliseconds, seed, engine=None):
        self.children = []
        entries = deployment.entries
        for number, entry in enumerate(entries):
            stem = os.path.join(deployment.folder, f"load-{seed}-{entry}")
            scenario = {
                "seed": seed * 10 + number, "duration_ms": milliseconds,
                "engine_seed": -1, "mixes": [
                    {**row, "rate": row["rate"] / len(entries)}
                    for row in mixes]}
            with open(stem + ".json", "w") as handle:
                json.dump(scenario, handle)
            command = [deployment.program("chivefront-load"), "--entry",
                       deployment.address(entry, "callers"), "--scenario",
                       stem + ".json", "--result", stem + ".result"]
            if engine:
                command += ["--engine", engine]
            log = open(stem + ".log", "wb")
            self.children.append((subprocess.Popen(
                command, stdout=log, stderr=log), stem, log))

    def wait(self):
        """Waits and returns the result rows of all entries, with violations."""
        rows = []
        for child, stem, log in self.children:
            code = child.wait(timeout=180)
            log.close()
            if code not in (0, 3) or not os.path.exists(stem + ".result"):
                with open(stem + ".log", "rb") as handle:
                    raise Failure("chivefront-load failed: " +
                                  handle.read()[-400:].decode())
            with open(stem + ".result") as handle:
                rows += json.load(handle)["results"]
        return rows


def errors_of(rows):
    """Errors by type over all rows."""
    total = {}
    for row in rows:
        for kind, count in row["errors"].items():
            total[kind] = total.get(kind, 0) + count
    return total


def weighted(rows, field, quantile):
    """Mean over rows of one quantile, weighted by their number of samples.

    chivefront-load keeps quantiles per mix and no samples. The mean over mixes
    that are served alike is close to the quantile of all samples.
    """
    count = sum(row[field]["count"] for row in rows)
    return sum(row[field][quantile] * row[field]["count"]
               for row in rows) / count if count else 0.0


def cpu_seconds(deployment, prefix):
    """CPU time of the running processes whose name starts with prefix."""
    total = 0
    for name, process in deployment.processes.items():
        if name.startswith(prefix) and process.running():
            with open(f"/proc/{process.child.pid}/stat") as handle:
                fields = handle.read().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
    return total / TICKS_PER_SECOND


def resident_kib(process):
    with open(f"/proc/{process.child.pid}/status") as handle:
        for line in handle:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    raise Failure(f"no resident size of {process.name}")


def starts_on(deployment, names):
    """Wall-clock seconds at which the upstreams names started a request."""
    times = []
    for name in names:
        with open(os.path.join(deployment.folder, name + ".record")) as handle:
            times += [int(line.split(" ", 1)[0]) / 1000 for line in handle]
    return sorted(times)

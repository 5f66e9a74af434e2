"""Extrapolates the measured slopes to the size to design for.

Prints every calculation; docs/CAPACITY.md consists of this output only.
"""
import datetime
import json
import os
import subprocess
import sys

# --- The size to design for -------------------------------------------------
NODES = 330
ENGINES = 12000
REQUESTS = 8700            # per second, peak
TOKENS = 3000000           # per second, peak
VERSIONS = 25
REGIONS = 12
DOMAINS = 44
CHANGES = 24000 / 86400    # per second
CPU_BUDGET = 45000         # us/s: 4.5% of a core
MEMORY_BUDGET = 128e6      # bytes
NETWORK_BUDGET = 20000     # bytes/s
HOSTS_BUDGET = 44          # hosts set aside for control
FAILED_HOSTS = 97          # a day
RESTARTS = 3100            # a day

# --- Assumptions ------------------------------------------------------------
ENGINES_PER_AGENT = 8      # an accelerator host commonly holds eight
TEAMS = 1000               # two orders of magnitude above today
SESSION_SHARE = 0.1        # new sessions per request: ten turns on average
CLAIM_SHARE = 0.02         # share of calls that must run at most once
SUBSET = 24                # agents that one entry keeps links to
CONFIG_HOSTS = 5           # keeps a majority after two losses
LEDGER_HOSTS = 3           # per region, in three failure domains
POLLS = 5                  # per second and watcher: kWatchPeriod 200 ms
ANNOUNCEMENTS = 2          # per second: every 500 ms
BATCH = 50                 # bills in one command, when batched
BILL_HOURS = 3             # ledger's retention of bill keys
PIN_DAYS = 7
CLAIM_DAYS = 1


class Page:
    def __init__(self):
        self.lines = []

    def add(self, text=""):
        self.lines.append(text)
        print(text)

    def table(self, head, rows):
        self.add("| " + " | ".join(head) + " |")
        self.add("|" + "---|" * len(head))
        for row in rows:
            self.add("| " + " | ".join(str(cell) for cell in row) + " |")
        self.add()


def amount(value, unit):
    for limit, factor, prefix in ((1e9, 1e9, "G"), (1e6, 1e6, "M"),
                                  (1e3, 1e3, "k")):
        if abs(value) >= limit:
            return f"{value / factor:.2f} {prefix}{unit}"
    return f"{value:.3g} {unit}"


def verdict(value, budget):
    if value <= budget:
        return f"fits, {100 * value / budget:.0f}% of {amount(budget, '')}".strip()
    return f"**does not fit, {value / budget:.1f} times** {amount(budget, '')}".strip()


def measure(build, scale):
    done = subprocess.run(
        [os.path.join(build, "bin", "slopes"), "--json", "--scale", str(scale)],
        capture_output=True, text=True, check=True)
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    return {row["name"]: row for row in rows}


def slope_table(page, slopes):
    page.add("## Measured slopes")
    page.add()
    page.add("Command: `scripts/slopes`, which runs `slopes --json`: three sizes per "
             "slope, a least-squares line, and the largest distance of a point from "
             "the line as a share of that point. Both ends of links run in "
             "one process on a shared machine, so CPU figures vary from run to run.")
    page.add()
    page.table(["slope", "value", "unit", "residual"], [
        (f"`{name}`", f"{row['slope']:.4g}", row["unit"],
         f"{100 * row['residual']:.1f}%") for name, row in slopes.items()])


def entry_role(page, s):
    agents_in_region = ENGINES / REGIONS / ENGINES_PER_AGENT
    poll_cpu = s["watch.poll.cpu"] + s["link.chunk.cpu"]
    rows = [
        ("watch of configuration", f"{POLLS}/s x poll",
         POLLS * s["watch.poll.bytes"], POLLS * poll_cpu, 0,
         "poll with deltas", "built, measured"),
        ("configuration changes",
         f"{CHANGES:.2f}/s x (entry bytes; build of {TEAMS + 4 * VERSIONS} entries)",
         CHANGES * s["watch.change.bytes"],
         CHANGES * s["catalogue.build.cpu"] * (TEAMS + 4 * VERSIONS),
         s["catalogue.memory"] * (TEAMS + 4 * VERSIONS),
         "deltas by revision, snapshot on a gap", "built, measured"),
        ("registry of the region", f"{ENGINES / REGIONS:.0f} upstreams",
         0, 0, s["registry.memory"] * ENGINES / REGIONS,
         "deltas by epoch and sequence; one region per control group", "built; "
         "split by region designed"),
        ("heartbeats", f"{SUBSET} links",
         SUBSET * s["link.idle.bytes"], SUBSET * s["link.idle.cpu"],
         SUBSET * s["link.memory"],
         "links to a subset of the region's agents", "links built, measured; "
         "subset designed"),
        ("bills, batched", f"{REQUESTS / NODES:.1f}/s",
         REQUESTS / NODES * s["ledger.bill.bytes"],
         REQUESTS / NODES * s["link.chunk.cpu"] / BATCH, 0,
         f"up to {BATCH} lines a command (`PostBill.lines`)",
         "command built, measured; batching at the entry designed"),
    ]
    role_table(page, "Entry (330 nodes)", rows, True)
    without = agents_in_region * s["link.idle.bytes"]
    page.add(f"Without the subset an entry keeps {agents_in_region:.0f} links in its "
             f"region: heartbeats alone take {amount(without, 'B/s')}: "
             f"{verdict(without, NETWORK_BUDGET)}; to all agents "
             f"{amount(ENGINES / ENGINES_PER_AGENT * s['link.idle.bytes'], 'B/s')}. "
             "Today's code links to every announced agent, which suits the two "
             "sites (up to 23 agents).")
    page.add()
    frames = TOKENS / NODES
    page.add(f"Answers are not control: {frames:.0f} token frames/s a node x "
             f"{s['link.chunk.cpu']:.2f} us for both ends = "
             f"{frames * s['link.chunk.cpu'] / 1e4:.1f}% of a core and "
             f"{amount(frames * s['link.chunk.bytes'], 'B/s')}, without the HTTP "
             "writes to callers (see docs/MEASUREMENTS.md for the whole path).")
    page.add()


def agent_role(page, s):
    announce = 40 + ENGINES_PER_AGENT * s["registry.snapshot.bytes"]
    entries = NODES / REGIONS * SUBSET / (ENGINES / REGIONS / ENGINES_PER_AGENT)
    rows = [
        ("announcements", f"{ANNOUNCEMENTS}/s x {ENGINES_PER_AGENT} upstreams x "
         f"{LEDGER_HOSTS} control hosts",
         ANNOUNCEMENTS * LEDGER_HOSTS * announce,
         ANNOUNCEMENTS * LEDGER_HOSTS * s["link.chunk.cpu"], 0,
         "soft registry, out of the log", "built, measured"),
        ("watch of configuration", f"{POLLS}/s x poll",
         POLLS * s["watch.poll.bytes"],
         POLLS * (s["watch.poll.cpu"] + s["link.chunk.cpu"]), 0,
         "poll with deltas", "built, measured"),
        ("configuration changes", f"{CHANGES:.2f}/s",
         CHANGES * s["watch.change.bytes"],
         CHANGES * s["catalogue.build.cpu"] * (TEAMS + 4 * VERSIONS),
         s["catalogue.memory"] * (TEAMS + 4 * VERSIONS),
         "deltas by revision", "built, measured"),
        ("heartbeats", f"{entries:.1f} entries + {LEDGER_HOSTS} control hosts",
         (entries + LEDGER_HOSTS) * s["link.idle.bytes"],
         (entries + LEDGER_HOSTS) * s["link.idle.cpu"],
         (entries + LEDGER_HOSTS) * s["link.memory"],
         "subset of entries", "links built; subset designed"),
    ]
    role_table(page, f"Agent ({ENGINES // ENGINES_PER_AGENT} processes)", rows, True)


def region_control(page, s):
    entries = NODES / REGIONS
    agents = ENGINES / REGIONS / ENGINES_PER_AGENT
    watchers = entries + agents
    requests = REQUESTS / REGIONS
    commands = requests * (SESSION_SHARE + 2 * CLAIM_SHARE) + requests / BATCH
    log_bytes = requests * (SESSION_SHARE * s["ledger.pin.bytes"] +
                            2 * CLAIM_SHARE * s["ledger.claim.bytes"] +
                            s["ledger.bill.bytes"])
    apply_cpu = requests * (SESSION_SHARE * s["ledger.pin.cpu"] +
                            2 * CLAIM_SHARE * s["ledger.claim.cpu"] +
                            s["ledger.bill.cpu"])
    bills = requests * BILL_HOURS * 3600
    pins = requests * SESSION_SHARE * PIN_DAYS * 86400
    claims = requests * CLAIM_SHARE * CLAIM_DAYS * 86400
    rows = [
        ("polls of watchers", f"{watchers:.0f} watchers x {POLLS}/s over "
         f"{LEDGER_HOSTS} hosts",
         watchers * POLLS / LEDGER_HOSTS * s["watch.poll.bytes"],
         watchers * POLLS / LEDGER_HOSTS *
         (s["watch.poll.cpu"] + s["link.chunk.cpu"]), 0,
         "any control host answers, freshness relayed with its age",
         "built, measured"),
        ("changes to watchers", f"{CHANGES:.2f}/s x {watchers / LEDGER_HOSTS:.0f}",
         CHANGES * watchers / LEDGER_HOSTS * s["watch.change.bytes"],
         CHANGES * watchers / LEDGER_HOSTS * s["link.chunk.cpu"],
         s["catalogue.memory"] * (TEAMS + 4 * VERSIONS),
         "deltas; region control follows the configuration group as a watcher",
         "watch built; region as relay designed"),
        ("announcements", f"{agents:.0f} agents x {ANNOUNCEMENTS}/s",
         agents * ANNOUNCEMENTS * (40 + ENGINES_PER_AGENT *
                                   s["registry.snapshot.bytes"]),
         agents * ANNOUNCEMENTS * ENGINES_PER_AGENT *
         s["registry.announce.cpu"],
         s["registry.memory"] * ENGINES / REGIONS,
         "soft registry", "built, measured"),
        ("ledger commits at the leader", f"{commands:.0f}/s with bills in batches "
         f"of {BATCH}", log_bytes * 3,
         commands * s["commit.cpu.64"] + apply_cpu, 0,
         "group commit", "built, measured; batching designed"),
        ("bill keys", f"{bills:.3g} for {BILL_HOURS} h", 0, 0,
         bills * s["ledger.bill.memory"], "retention, totals kept",
         "built, measured"),
        ("session pins", f"{pins:.3g} for {PIN_DAYS} days", 0, 0,
         pins * s["ledger.pin.memory"], "retention", "built, measured"),
        ("claims", f"{claims:.3g} for {CLAIM_DAYS} day", 0, 0,
         claims * s["ledger.claim.memory"], "retention", "built, measured"),
    ]
    role_table(page, f"Region control ({REGIONS} regions x {LEDGER_HOSTS} hosts)",
               rows, False)
    memory = sum(row[4] for row in rows)
    page.add(f"These hosts are set aside, so the budget of a node does not bind "
             f"them; memory of one ledger group would be {amount(memory, 'B')}, "
             f"{memory / MEMORY_BUDGET:.0f} times the 128 MB of a node. One group "
             "holds at most 1,000,000 bills and 1,000,000 pins today and refuses "
             f"more, so a region needs {max(bills, pins) / 1e6:.0f} groups by key "
             "hash on its hosts, or shorter retention. **This does not fit today**; "
             "more groups per process are designed, not built.")
    page.add()


def config_control(page, s):
    commits = CHANGES
    relays = REGIONS * LEDGER_HOSTS
    rows = [
        ("commits", f"{commits:.2f}/s", commits * 600 * CONFIG_HOSTS,
         commits * s["commit.cpu.1"], 0, "Raft, one sync per batch",
         "built, measured"),
        ("build of the catalogue", f"{TEAMS + 4 * VERSIONS} entries a change", 0,
         commits * s["catalogue.build.cpu"] * (TEAMS + 4 * VERSIONS),
         s["catalogue.memory"] * (TEAMS + 4 * VERSIONS),
         "whole validation", "built, measured"),
        ("polls of region control", f"{relays} x {POLLS}/s",
         relays * POLLS / CONFIG_HOSTS * s["watch.poll.bytes"],
         relays * POLLS / CONFIG_HOSTS *
         (s["watch.poll.cpu"] + s["link.chunk.cpu"]), 0,
         "watch", "built, measured; as relays designed"),
        ("change ids remembered", "65,536", 0, 0, 65536 * 200,
         "first outcome of a resent change", "built; size estimated"),
    ]
    role_table(page, f"Configuration group ({CONFIG_HOSTS} hosts)", rows, False)


def role_table(page, title, rows, budgeted):
    page.add(f"### {title}")
    page.add()
    page.table(["what", "from", "bytes/s", "CPU us/s", "memory", "mechanism",
                "state"],
               [(what, source, amount(net, "B/s"), f"{cpu:.4g}",
                 amount(memory, "B"), mechanism, state)
                for what, source, net, cpu, memory, mechanism, state in rows])
    net = sum(row[2] for row in rows)
    cpu = sum(row[3] for row in rows)
    memory = sum(row[4] for row in rows)
    if budgeted:
        page.add(f"Sum: {amount(net, 'B/s')} ({verdict(net, NETWORK_BUDGET)}); "
                 f"{cpu / 1e4:.2f}% of a core ({verdict(cpu, CPU_BUDGET)}); "
                 f"{amount(memory, 'B')} ({verdict(memory, MEMORY_BUDGET)}).")
    else:
        page.add(f"Sum: {amount(net, 'B/s')}, {cpu / 1e4:.2f}% of a core, "
                 f"{amount(memory, 'B')}, on hosts that are set aside.")
    page.add()


def propagation(page, s):
    page.add("## In force everywhere within 4 s")
    page.add()
    page.add("The bound is made of: commit (one sync and one round trip between "
             "regions, at most about 300 ms), one poll of the region's control "
             "(200 ms), one poll of the node (200 ms), and, for a node that got "
             "nothing, the end of its freshness lease (1500 ms) which stops new "
             "work. 300 + 200 + 200 = 700 ms for nodes that hear it; a node that "
             "does not hear it has no lease after 300 + 1500 = 1800 ms. Both are "
             "below 4000 ms. The lease and polls are built and tested; the step "
             "over a region's control as relay is designed.")
    page.add()
    page.add("## A region or a failure domain returns")
    page.add()
    agents = ENGINES / DOMAINS / ENGINES_PER_AGENT
    links = agents * (LEDGER_HOSTS + NODES / REGIONS * SUBSET /
                      (ENGINES / REGIONS / ENGINES_PER_AGENT))
    page.add(f"A failure domain of {ENGINES / DOMAINS:.0f} engines has "
             f"{agents:.0f} agents and opens {links:.0f} links: "
             f"{links * s['link.connect.cpu'] / 1000:.1f} ms of CPU at the acceptors "
             "together, spread over up to 1 s by full jitter (built, measured). "
             f"{RESTARTS} restarts a day are {RESTARTS / 86400:.3f}/s; each costs a "
             f"snapshot of {amount((TEAMS + 4 * VERSIONS) * s['catalogue.snapshot.bytes'], 'B')} "
             f"of configuration and {amount(ENGINES / REGIONS * s['registry.snapshot.bytes'], 'B')} "
             "of registry.")
    page.add()


def failures(page):
    hosts = REGIONS * LEDGER_HOSTS + CONFIG_HOSTS
    page.add("## Hosts set aside, and daily failures")
    page.add()
    page.add(f"{REGIONS} x {LEDGER_HOSTS} + {CONFIG_HOSTS} = {hosts} hosts: "
             f"{verdict(hosts, HOSTS_BUDGET)}.")
    page.add()
    share = FAILED_HOSTS / (NODES + ENGINES / ENGINES_PER_AGENT + hosts)
    page.add(f"{FAILED_HOSTS} failures a day over {NODES} entries, "
             f"{ENGINES // ENGINES_PER_AGENT} engine hosts and {hosts} control hosts "
             f"are {share:.3f} a day per host, so {share * hosts:.1f} control hosts a "
             "day.")
    page.add()
    page.table(["role", "spare", "time without it", "why no two losses lose state"], [
        ("entry", "all others", "until its replacement starts; no state",
         "bills and claims are held by the agent until a majority has them"),
        ("agent", "other upstreams of the version", "until it restarts; its "
         "running work is `unknown`", "holds no durable state"),
        ("region control, 3 hosts", "1 host", "from the loss until the new replica "
         "is a voter that holds everything (`repaired`): the copy of the snapshot, "
         "then two membership changes", "a new identity does not vote before it has "
         "caught up (built; seeded histories); a second loss before `repaired` stops "
         "the group and loses nothing"),
        ("configuration group, 5 hosts", "2 hosts", "likewise",
         "two losses at once leave a majority of three"),
        ("failure domain (every other month)", "the region's other domains",
         "until it returns", "replicas of a group stand in different domains"),
    ])
    page.add("Regions cut from each other for an hour: the side without a majority "
             "of the configuration group keeps no freshness lease and refuses new "
             "work after 1.5 s (`not_fresh`, not run); running answers finish. Its "
             "ledger group is within the region and goes on. The price of promises 2, "
             "6, 10 and 12 is therefore an hour without new work in the cut-off "
             "region. A lease per region from a group of its own would keep it "
             "serving, but an accepted change could then not be in force there "
             "within 4 s; this was weighed and left out.")
    page.add()


def main():
    build = sys.argv[1]
    quick = "--quick" in sys.argv
    rows = measure(build, 0.2 if quick else 1.0)
    slopes = {name: row["slope"] for name, row in rows.items()}
    page = Page()
    page.add("# Capacity at the size to design for")
    page.add()
    page.add(f"Written by `scripts/slopes` on {datetime.date.today()}. Size: {NODES} "
             f"nodes, {ENGINES} engines, {REQUESTS} requests/s, {TOKENS} tokens/s, "
             f"{VERSIONS} versions, {REGIONS} regions, {DOMAINS} failure domains, "
             "24,000 changes a day. Budget for control on a node: 4.5% of a core, "
             "128 MB, 20 KB/s; at most 44 hosts set aside.")
    page.add()
    page.add(f"Assumed: {ENGINES_PER_AGENT} engines per agent, {TEAMS} teams, "
             f"{SESSION_SHARE} new sessions and {CLAIM_SHARE} claims per request, "
             f"{SUBSET} agents linked per entry. *Built* means in this repository; "
             "*measured* means that the slope is below; *designed* means neither.")
    page.add()
    slope_table(page, rows)
    page.add("## Extrapolation per role")
    page.add()
    entry_role(page, slopes)
    agent_role(page, slopes)
    region_control(page, slopes)
    config_control(page, slopes)
    propagation(page, slopes)
    failures(page)
    if not quick:
        with open("docs/CAPACITY.md", "w") as handle:
            handle.write("\n".join(page.lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())

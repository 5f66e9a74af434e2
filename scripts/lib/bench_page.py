"""Writes docs/MEASUREMENTS.md and its plots from the results of a run."""
import os

import bench_goals
import bench_load as load
import bench_svg
import bench_sites

QUANTILES = ("p50", "p99")


def table(head, rows):
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    return lines + ["| " + " | ".join(cell(c) for c in row) + " |"
                    for row in rows] + [""]


def cell(value):
    if isinstance(value, float):
        return f"{value:.1f}" if abs(value) < 1000 else f"{value:.0f}"
    return str(value)


def counts(errors):
    return ", ".join(f"{kind} {n}" for kind, n in sorted(errors.items())) \
        or "none"


def pair(row, field):
    return "/".join(cell(row[field][q]) for q in QUANTILES)


def sections_named(sections, start):
    return [value for name, value in sections.items()
            if name.startswith(start)]


def head(results):
    lines = [
        "# Measurements", "",
        "Written by `scripts/bench`; not edited by hand.", "",
        f"- Date: {results['date']}; product commit {results['commit']}; "
        f"command `{results['command']}`.",
        f"- Machine: {results['cores']} cores shared with other work; load "
        f"average {results['load_before']:.1f} before and "
        f"{results['load_after']:.1f} after. All processes on loopback, "
        "without added network delay.",
        f"- Seeds: loads {results['seed']} and up, policy-bench from 1 "
        f"({results['policy_seeds']} seeds; cascade "
        f"{results['cascade_seeds']}).",
        f"- Fake engines take {bench_sites.TOKEN_MS} ms per token at any batch; "
        f"answers have {bench_sites.ANSWER_TOKENS} tokens. Team limits are lifted so "
        "that the engines are what limits.",
        "- Quantiles of several mixes or entries are means weighted by "
        "requests, because chivefront-load keeps quantiles per mix.", ""]
    for name in results.get("again", []):
        lines.append(f"Measured again after the run with `scripts/bench --only "
                     f"\"{name}\"`: {name}.\n")
    for name, reason in results["failed"].items():
        lines.append(f"**Did not run: {name}: {reason}**\n")
    return lines


def latency(sections):
    rows, added, cores = [], [], []
    for one in sections_named(sections, "latency"):
        for kind, figures in one["kinds"].items():
            rows.append([one["site"], kind, pair(figures, "first_token_ms"),
                         pair(figures, "total_ms"),
                         pair(figures, "between_tokens_ms")])
        for field in ("first_token_ms", "total_ms"):
            routed, direct = one["added"]["routed"], one["added"]["direct"]
            added.append([one["site"], field, pair(routed, field),
                          pair(direct, field), *(
                              f"{routed[field][q] - direct[field][q]:.2f}"
                              for q in QUANTILES)])
        cores.append([one["site"], one["per_second"], counts(one["errors"]),
                      one["per_core"]["entry"], one["per_core"]["agent"]])
    return ["## Latency and throughput", "",
            f"Both entries, streamed answers at {load.SHARE:.0%} of the "
            "engines' capacity and 10 service calls/s. p50/p99 in ms.", "",
            *table(["deployment", "kind", "first token", "total",
                    "between tokens"], rows),
            f"Added latency against direct calls of an engine in the same run "
            f"({load.ADDED_RATE} requests/s each, {load.ADDED_TOKENS} tokens), "
            "ms:", "",
            *table(["deployment", "measure", "routed p50/p99",
                    "direct p50/p99", "added p50", "added p99"], added),
            "Requests per second of CPU time, from the processes' CPU time "
            f"during the load (one request streams {bench_sites.ANSWER_TOKENS} "
            "tokens; idle work of the processes is included):", "",
            *table(["deployment", "requests/s", "errors", "entry", "agent"],
                   cores)]


def domain(sections):
    rows = []
    for one in sections_named(sections, "domain"):
        for run in one["runs"]:
            rows.append([one["site"], run["sent"],
                         counts({f"{phase}: {k}": n for phase, errors in
                                 run["errors"].items()
                                 for k, n in errors.items()}),
                         "/".join(cell(run["p99"][p]) for p in
                                  ("before", "out", "back", "after")),
                         run["last_after_start_ms"], run["command_ms"],
                         run["last_after_return_ms"]])
    return ["## A failure domain out and back", "",
            f"Paying load at {load.DOMAIN_SHARE:.0%} of all engines; the last "
            "domain is taken out and brought back. Last new work: from the "
            "engines' own records; negative means before the command "
            "returned. With three domains (tesfaye), two cannot carry 70% of "
            "the whole, so its load does not fit while one is out.", "",
            *table(["deployment", "requests", "paying errors",
                    "first token p99 before/out/back/after, ms",
                    "last new work after start, ms", "command took, ms",
                    "last new work after return, ms"], rows)]


def free(sections):
    rows = []
    for one in sections_named(sections, "free tier"):
        for run in one["runs"]:
            for part in ("without", "with"):
                got = run[part]
                rows.append([part, pair(got, "first_token_ms"),
                             pair(got, "total_ms"), got["sent"],
                             counts(got["errors"]), got["free_sent"],
                             got["free_answered"]])
    return ["## Paying service beside a busy free tier", "",
            "Real processes, salins; paying load at half of capacity; free "
            f"load {load.FREE_TIMES} times the capacity of the cheap engines. "
            "p50/p99 in ms.", "",
            *table(["free tier", "first token", "total", "paying sent",
                    "paying errors", "free sent", "free answered"], rows)]


def readers(sections):
    found = sections.get("stalled readers")
    if not found:
        return []
    rows = [[name, pair(got, "first_token_ms"), pair(got, "total_ms")]
            for name, got in found["others"].items()]
    return ["## Stalled readers", "",
            f"{found['readers']} callers ask for long streams and read "
            f"nothing; {found['streaming']} of them had a status 200. Resident "
            "memory of the entry: "
            f"{found['before_kib'] / 1024:.1f} MiB before, "
            f"{found['during_kib'] / 1024:.1f} MiB at most, that is "
            f"{found['per_reader_kib']:.1f} KiB a reader against a bound of "
            f"64 KiB. Errors of other callers: "
            f"{counts(found['others_errors'])}.", "",
            *table(["stalled readers", "others' first token, ms p50/p99",
                    "others' total, ms p50/p99"], rows)]


def faults(sections):
    rows = [[one["fault"], one["requests"], counts(one["failed"]),
             one["gap_ms"], one["first_ms"], one["last_ms"]]
            for one in sections.get("faults", [])]
    return ["## Faults as callers see them", "",
            "Short paying requests every 20 ms to an entry whose readiness "
            "probe succeeds (probed every 100 ms); what was killed returns "
            "after 2 s, the cut lasts 4 s. Longest gap: between two answers "
            "in a row, over all callers. First and last failure: after the "
            "fault.", "",
            *table(["fault", "requests", "failed", "longest gap, ms",
                    "first failure, ms", "last failure, ms"], rows)]


def consensus(sections):
    found = sections.get("consensus")
    if not found:
        return []
    return ["## Durable state", "",
            "`consensus_bench`: three replicas in one process, real files "
            f"(file system: {found['file_system']}).", "",
            *(f"- {line}" for line in found["lines"]), ""]


def policy(sections):
    rows = []
    for row in sections.get("policy", []):
        goal = ""
        if "goal" in row:
            sign = "<=" if row["goal_kind"] == "at_most" else ">="
            goal = f"{sign} {row['goal']:g}, {row['misses']} of {row['seeds']}"
        rows.append([row["case"], row["variant"], row["measure"],
                     *(f"{row[k]:.4g}" for k in
                       ("mean", "median", "lowest", "highest")), goal])
    return ["## Decisions", "",
            "From `policy-bench`, with models of engines and ratings at the "
            "interface of the decision classes. Baselines are rows of the "
            "same case.", "",
            *table(["case", "variant", "measure", "mean", "median", "lowest",
                    "highest", "goal, seeds that miss it"], rows)]


def not_measured():
    return ["Not measured here: the previous version of Chivefront as a "
            "baseline; unbounded buffers; network delay between domains; "
            "links that go silent instead of breaking; retry amplification and "
            "upstream load limits in real processes (scripts/soak checks the "
            "latter).", ""]


def mean_of(rows, case, measure):
    return [(r["variant"], r["mean"]) for r in rows
            if r["case"] == case and r["measure"] == measure]


def plots(sections, folder):
    """Writes the plots; returns the page's lines that include them."""
    os.makedirs(folder, exist_ok=True)
    decided = sections.get("policy", [])
    drawn = {
        "cascade": ("cost at the quality target / oracle", "ratio",
                    mean_of(decided, "cascade", "cost / oracle"), 1.1),
        "classes": ("paying p99 / p99 without free tier (model)", "ratio",
                    mean_of(decided, "classes", "paying p99 / without free"),
                    1.1),
        "domain": ("first token p99, mean of the runs", "ms", [
            (f"{one['site']} {phase}",
             sum(r["p99"][phase] for r in one["runs"]) / len(one["runs"]))
            for one in sections_named(sections, "domain")
            for phase in ("before", "out", "back", "after")], None),
        "faults": ("longest gap between answers", "ms",
                   [(one["fault"], one["gap_ms"])
                    for one in sections.get("faults", [])], None)}
    lines = ["## Plots", ""]
    for name, (title, unit, rows, bound) in drawn.items():
        if rows:
            bench_svg.bars(os.path.join(folder, name + ".svg"), title, unit,
                           rows, bound)
            lines.append(f"![{title}](plots/{name}.svg)\n")
    return lines


def write(results, page):
    sections = results["sections"]
    lines = head(results) + ["## Goals", ""] + bench_goals.table(sections)
    lines += [""] + not_measured()
    for part in (latency, domain, free, readers, faults, consensus, policy):
        lines += part(sections)
    folder = os.path.join(os.path.dirname(page) or ".", "plots")
    lines += plots(sections, folder)
    with open(page, "w") as handle:
        handle.write("\n".join(lines).rstrip() + "\n")

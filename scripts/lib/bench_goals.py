"""Rows of the goal table of the measurements page.

The goals are those of section 3 of design.md.
"""
from statistics import mean


class Goal:
    """One goal with the figures of the run, one per repetition or seed."""

    def __init__(self, text, bound, values, source, at_most=True):
        self.text, self.bound, self.source = text, bound, source
        self.values = values
        self.at_most = at_most

    def row(self):
        if not self.values:
            return f"| {self.text} | not measured | - | - | {self.source} |"
        # The worst repetition decides, so that a good mean can't hide a miss.
        worst = (max if self.at_most else min)(self.values)
        return (f"| {self.text} | {mean(self.values):.4g} | "
                f"{min(self.values):.4g} to {max(self.values):.4g} | "
                f"{self.verdict(worst)} | {self.source} |")

    def verdict(self, worst):
        met = worst <= self.bound if self.at_most else worst >= self.bound
        mean_value = mean(self.values)
        mean_met = mean_value <= self.bound if self.at_most \
            else mean_value >= self.bound
        if met:
            return "met"
        if not self.bound:
            return "**missed** (worst %.4g, goal 0)" % worst
        factor = worst / self.bound if self.at_most else self.bound / worst
        kind = "met in the mean, **missed** in the worst" if mean_met \
            else "**missed**"
        return f"{kind} by a factor of {factor:.3g}"


def policy_goal(rows, text, case, variant, measure, bound):
    """The row of a goal from policy-bench, with the spread over its seeds."""
    row = next((r for r in rows if (r["case"], r["variant"], r["measure"]) ==
                (case, variant, measure)), None)
    values = [row["lowest"], row["mean"], row["highest"]] if row else []
    goal = Goal(text, bound, values, f"policy-bench {case}: {variant}")
    return goal.row() if row is None else with_mean(goal, row["mean"])


def is_pooled(goal):
    """Whether design.md sets the goal for all roll-outs together."""
    return goal.text.startswith("false stops")


def with_mean(goal, mean_value):
    """The row with the mean over all seeds in place of that of three values."""
    cells = goal.row().split(" | ")
    cells[1] = f"{mean_value:.4g}"
    if is_pooled(goal) and mean_value <= goal.bound:
        cells[3] = "met over all seeds together"
    elif goal.values[2] > goal.bound:
        factor = f"by a factor of {goal.values[2] / goal.bound:.3g}" \
            if goal.bound else "goal 0"
        text = "met in the mean, **missed** in the worst seed" \
            if mean_value <= goal.bound else "**missed**, in the worst seed"
        cells[3] = f"{text} {factor}"
    return " | ".join(cells)


def domain_goals(sections):
    runs = [run for name, result in sections.items()
            if name.startswith("domain") for run in result["runs"]]
    # The larger ratio of the phases in which the domain is out or coming back.
    ratios = [max(r["p99"]["out"], r["p99"]["back"]) /
              (r["p99"]["before"] or 1) for r in runs]
    return [
        Goal("domain out and back: paying errors 0", 0,
             [sum(sum(e.values()) for e in r["errors"].values())
              for r in runs], "real processes").row(),
        Goal("domain out and back: first token p99 at most 1.5 times", 1.5,
             ratios, "real processes").row(),
        Goal("domain out: last new work at most 2000 ms after the command "
             "started", 2000, [r["last_after_start_ms"] for r in runs],
             "real processes").row()]


def free_goals(sections):
    runs = sections.get("free tier", {"runs": []})["runs"]
    ratio = [r["with"]["total_ms"]["p99"] / r["without"]["total_ms"]["p99"]
             for r in runs]
    return [
        Goal("paying p99 with the free tier at 10 times capacity at most 1.1 "
             "times", 1.1, ratio, "real processes").row(),
        Goal("0 paying refusals with that free tier", 0,
             [sum(r["with"]["errors"].values()) for r in runs],
             "real processes").row()]


def reader_goals(sections):
    found = sections.get("stalled readers")
    return [Goal("entry memory at most 64 KiB per stalled reader", 64,
                 [found["per_reader_kib"]]
             if found and found["streaming"] == found["readers"] else [],
                 "real processes").row()]


def policy_goals(rows):
    wanted = [
        ("cost / oracle at most 1.1", "cascade", "thompson", "cost / oracle",
         1.1),
        ("cost / always best at most 0.5", "cascade", "thompson",
         "cost / always best", 0.5),
        ("quality not below target", "cascade", "thompson",
         "target - quality", 0),
        ("paying p99 with free tier, paying load 50%, at most 1.1 times",
         "classes", "classes, paying 50%", "paying p99 / without free", 1.1),
        ("paying p99 with free tier, paying load 70%, at most 1.1 times",
         "classes", "classes, paying 70%", "paying p99 / without free", 1.1),
        ("bad version stopped within 50 exposed (highest of each seed's runs)",
         "rollout", "bad version", "exposed until stopped, highest", 50),
        ("false stops at most 1% (50 good roll-outs a seed)", "rollout",
         "good version", "stopped, share", 0.01),
        *(("first token p99 while a domain is out and back at most 1.5 times",
           "domain", variant, "first token p99, out and back / steady", 1.5)
          for variant in ("70% paying, 4 domains", "70% paying, 3 domains")),
        *(("0 paying refusals while a domain is out and back", "domain",
           variant, "paying refusals", 0)
          for variant in ("70% paying, 4 domains", "70% paying, 3 domains")),
        ("sent beyond capacity 0, load 80%", "placement",
         "expected finish, 80%", "sent beyond capacity", 0),
        ("cold engine that slows: admitted beyond capacity 0", "limiter",
         "cold engine slows", "admitted beyond capacity", 0),
        ("retry amplification at most 1.1, 2 requests/s", "retries",
         "budget, 2/s", "attempts per request", 1.1),
        ("retry amplification at most 1.1, 200 requests/s", "retries",
         "budget, 200/s", "attempts per request", 1.1)]
    return [policy_goal(rows, *one) for one in wanted]


def table(sections):
    head = ["| goal | mean | spread | verdict (by the worst run) | from |",
            "|---|---|---|---|---|"]
    rows = domain_goals(sections) + free_goals(sections) + \
        reader_goals(sections) + policy_goals(sections.get("policy", []))
    missed = sum("**missed**" in row for row in rows)
    return head + rows + ["", f"Missed in the mean or in the worst run: "
                          f"{missed} of {len(rows)} rows."]

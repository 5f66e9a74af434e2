"""Two ideas for records that wait to be posted, each against the variant without.

Retry delays follow the code: the ceiling doubles from 50 ms to 1 s
(chivefront/net/link_establishment.cc); with full jitter a delay is uniform between
zero and the ceiling. Run: python3 scripts/lib/outbox_model.py
"""
import random

FIRST, LONGEST = 50, 1000      # ms
PEERS = 300                    # agents of one failure domain
OUTAGE = 30000                 # ms
BIN = 50                       # ms: one bin is about one commit under load
SEEDS = 200


def attempt_after_outage(rng, jitter):
    """When a peer that lost its link at time 0 first tries after the outage."""
    now, ceiling = 0.0, FIRST
    while now < OUTAGE:
        now += rng.uniform(0, ceiling) if jitter else ceiling
        ceiling = min(2 * ceiling, LONGEST)
    return now


def busiest_bin(seed, jitter):
    """Largest number of peers that return within one bin, and the last one."""
    rng = random.Random(seed)
    times = [attempt_after_outage(rng, jitter) for _ in range(PEERS)]
    bins = {}
    for time in times:
        bins[time // BIN] = bins.get(time // BIN, 0) + 1
    return max(bins.values()), max(times) - OUTAGE


def health_figures():
    """(count, age in s) of unposted records in two situations."""
    burst = [0.5] * 1000         # a burst that is being posted
    stuck = [3600.0]             # one record that nobody posts
    return [(len(ages), max(ages)) for ages in (burst, stuck)]


def main():
    for name, jitter in (("no jitter", False), ("full jitter", True)):
        results = [busiest_bin(seed, jitter) for seed in range(SEEDS)]
        print(f"{name}: busiest {BIN} ms holds "
              f"{sum(r[0] for r in results) / SEEDS:.1f} of {PEERS} peers "
              f"(worst {max(r[0] for r in results)}), last one after "
              f"{max(r[1] for r in results):.0f} ms, {SEEDS} seeds")
    for name, (count, age) in zip(("burst being posted", "one stuck record"),
                                  health_figures()):
        print(f"{name}: {count} records, oldest {age:.1f} s")


if __name__ == "__main__":
    main()

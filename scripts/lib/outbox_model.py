"""Models two choices for the outbox of records that wait to be posted.

1. Full jitter of retry delays, compared with none: how many peers reconnect at
   the same time after an outage. Delays follow chivefront/net/link_establishment.cc:
   the maximum doubles from 50 ms to 1 s, and with full jitter a delay is
   uniform between zero and that maximum.
2. The health of the outbox by number of records or by age of the oldest one.

Run: python3 scripts/lib/outbox_model.py
"""
import random

FIRST_MS, LONGEST_MS = 50, 1000  # maximum of the first and of later delays
PEERS = 300                    # agents of one failure domain
OUTAGE_MS = 30000
BIN_MS = 50                    # about the time of one commit under load
SEEDS = 200


def attempt_after_outage(rng, jitter):
    """Time in ms of the first attempt after the outage.

    The peer lost its link at time 0.
    """
    now, max_delay = 0.0, FIRST_MS
    while now < OUTAGE_MS:
        now += rng.uniform(0, max_delay) if jitter else max_delay
        max_delay = min(2 * max_delay, LONGEST_MS)
    return now


def busiest_bin(seed, jitter):
    """Most peers that reconnect within one bin, and ms until the last one."""
    rng = random.Random(seed)
    times = [attempt_after_outage(rng, jitter) for _ in range(PEERS)]
    bins = {}
    for time in times:
        bins[time // BIN_MS] = bins.get(time // BIN_MS, 0) + 1
    return max(bins.values()), max(times) - OUTAGE_MS


def health_figures():
    """(count, age in s) of unposted records in two situations."""
    burst = [0.5] * 1000         # a burst that is being posted
    stuck = [3600.0]             # one record that nobody posts
    return [(len(ages), max(ages)) for ages in (burst, stuck)]


def main():
    for name, jitter in (("no jitter", False), ("full jitter", True)):
        results = [busiest_bin(seed, jitter) for seed in range(SEEDS)]
        print(f"{name}: busiest {BIN_MS} ms holds "
              f"{sum(r[0] for r in results) / SEEDS:.1f} of {PEERS} peers "
              f"(worst {max(r[0] for r in results)}), last one after "
              f"{max(r[1] for r in results):.0f} ms, {SEEDS} seeds")
    for name, (count, age) in zip(("burst being posted", "one stuck record"),
                                  health_figures()):
        print(f"{name}: {count} records, oldest {age:.1f} s")


if __name__ == "__main__":
    main()

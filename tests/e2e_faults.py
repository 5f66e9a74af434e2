"""A fixed list of faults against real processes under load.

Guards against a promise that holds in the parts' own tests and breaks when a
process is killed, suspended, disconnected, drained or loses its disk. The
checks are those of scripts/soak; none of them depends on how long something
takes.
"""
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
os.chdir(ROOT)

from processes import Failure  # noqa: E402
from soak import Soak  # noqa: E402

SEED = 11
FAULTS = [
    ("kill_control", None),
    ("domain_out", "cut_everyone"),
    ("version_out", "cut_links"),
    ("upstream_out", "isolate_control"),
    ("operator_race", None),
    ("kill_entry", None),
    ("kill_agent", None),
    ("kill_upstream", None),
    ("drain_agent", None),
    ("stop_entry", None),
    ("lose_disk", None),
    ("stop_control", None),
]


def main():
    soak = Soak(sys.argv[1], SEED, 0)
    try:
        soak.run_list(FAULTS)
        violations = soak.report()
    except Failure as failure:
        soak.report()
        print(f"e2e_faults failed: {failure}\nfiles: {soak.deployment.folder}")
        return 1
    finally:
        soak.deployment.kill_all()
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())

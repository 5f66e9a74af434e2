"""Sends SIGTERM repeatedly while processes shut down.

Guards against a process that is killed by a SIGTERM which arrives during its
teardown after a graceful shutdown (seen as exit code -15).
"""
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

from deployment import Deployment  # noqa: E402

ROUNDS = 20


def main():
    bad = []
    with Deployment(sys.argv[1], controls=0, entries=0, rating=False,
                    upstreams=[]) as d:
        for number in range(ROUNDS):
            process = d.add(f"engine-{number}", [
                d.program("fake-engine"), "--name", f"engine-{number}"]).start()
            while process.running():
                process.signal(15)
                time.sleep(0.0005)
            if process.child.returncode != 0:
                bad.append(process.child.returncode)
    print(f"{ROUNDS} rounds, exit codes other than 0: {bad}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())

"""Checks the placement of the control role in deploy/system.toml.

Guards against a control group that is too small for the stated tolerance: on
hosts that may lose two disks at once, one control process a failure domain gave
four voters instead of five, and two lost disks ended the group. Also against a number
of control processes that grows with the hosts of a domain instead of its disks.

Usage: deploy_layout.py BUILD_DIR
"""

import math
import pathlib
import sys
import tomllib

# Layouts by name: hosts of the edge class and those of them with a disk, for
# each failure domain, and the number of hosts that may be lost at once. The
# hosts with a disk come first in a domain.
LAYOUTS = {
    "four small domains": ([(2, 1)] * 4, 1),
    "three small domains": ([(3, 1)] * 3, 1),
    "four large domains": ([(8, 2), (8, 2), (8, 2), (6, 2)], 2),
    "four uneven domains": ([(7, 2), (6, 2), (6, 2), (5, 2)], 2),
    "four uneven small domains": ([(3, 1), (2, 1), (2, 1), (2, 1)], 1),
    "four domains of up to nine": ([(9, 2), (9, 2), (8, 2), (8, 2)], 2),
    "six domains with a disk each": (
        [(6, 1), (7, 1), (5, 1), (5, 1), (6, 1), (6, 1)], 2),
    "six domains of fifty": ([(50, 1)] * 6, 2),
    "three domains of twelve": ([(12, 2)] * 3, 2),
}

# A control process without a disk passes calls on and never votes. One a domain
# keeps a domain's registrations local; more only cost.
MAX_DISKLESS_PER_DOMAIN = 1


def control_hosts(role, hosts):
    """Returns how many hosts of a domain run the role."""
    if "count" in role:
        return min(role["count"], hosts)
    return math.ceil(role.get("share", 1.0) * hosts)


def problems(role, domains, tolerance):
    """Returns what is wrong with the placement, one text per problem."""
    voters = [min(control_hosts(role, hosts), disks) for hosts, disks in domains]
    diskless = [
        max(0, control_hosts(role, hosts) - disks) for hosts, disks in domains
    ]
    wanted = 2 * tolerance + 1
    found = []
    if sum(voters) < wanted:
        found.append(f"{sum(voters)} hosts can vote, {wanted} wanted")
    if len(voters) * tolerance < wanted:
        found.append("one domain would hold a majority")
    idle_disks = sum(disks for _, disks in domains) - sum(voters)
    if idle_disks > 0:
        found.append(f"{idle_disks} hosts with a disk run no control")
    if max(diskless) > MAX_DISKLESS_PER_DOMAIN:
        found.append(f"{max(diskless)} control processes without a disk in a domain")
    return found


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    deployment = tomllib.loads((root / "deploy/system.toml").read_text())
    role = deployment["roles"]["control"]
    failed = False
    for name, (domains, tolerance) in LAYOUTS.items():
        for problem in problems(role, domains, tolerance):
            print(f"{name}: {problem}")
            failed = True
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

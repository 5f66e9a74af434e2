"""Checks that pages and code agree, so that they only change together.

errors: docs/protocol.md lists every error type with its status and outcome.
settings: docs/settings.md equals the help texts of the binaries.
"""
import os
import re
import subprocess
import sys

PROGRAMS = ["chivefront-control", "chivefront-agent", "chivefront-entry",
            "chivefrontctl", "chivefront-load"]
OUTCOMES = {"NotRun": "not_run", "Unknown": "unknown", "Done": "done"}


def check_errors(root):
    with open(os.path.join(root, "chivefront/base/errors.cc")) as handle:
        source = handle.read()
    rows = re.findall(r'\{\s*ErrorKind::\w+,\s*"(\w+)",\s*(\d+),\s*Outcome::(\w+)',
                      source)
    with open(os.path.join(root, "docs/protocol.md")) as handle:
        page = handle.read()
    listed = {name: (status, run) for name, status, run in re.findall(
        r"^\| `(\w+)` \| (\d+) \| (\w+) \|", page, re.M)}
    wanted = {name: (status, OUTCOMES[run]) for name, status, run in rows
              if name != "none"}
    for name in sorted(wanted.keys() | listed.keys()):
        if wanted.get(name) != listed.get(name):
            print(f"{name}: code {wanted.get(name)}, page {listed.get(name)}")
    return wanted == listed and len(wanted) > 10


def settings_page(bin_folder):
    text = ["# Settings", "",
            "Made by `scripts/docs` from the help texts. Every setting of a server",
            "process is also read from the environment variable beside it.", ""]
    for program in PROGRAMS:
        done = subprocess.run([os.path.join(bin_folder, program), "--help"],
                              capture_output=True, text=True, check=True,
                              env={"PATH": os.environ["PATH"]})
        body = "\n".join(line.rstrip() for line in done.stdout.splitlines())
        body = body.replace(bin_folder + "/", "")
        text += [f"## {program}", "", "```", body.strip(), "```", ""]
    return "\n".join(text)


def check_settings(root, bin_folder):
    with open(os.path.join(root, "docs/settings.md")) as handle:
        same = handle.read() == settings_page(bin_folder)
    if not same:
        print("docs/settings.md differs from the help texts: run scripts/docs")
    return same


def main():
    root, bin_folder = sys.argv[2], sys.argv[3]
    if sys.argv[1] == "write":
        with open(os.path.join(root, "docs/settings.md"), "w") as handle:
            handle.write(settings_page(bin_folder))
        return 0
    good = check_errors(root)
    return 0 if check_settings(root, bin_folder) and good else 1


if __name__ == "__main__":
    sys.exit(main())

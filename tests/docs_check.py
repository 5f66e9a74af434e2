"""Checks that pages and code agree, so that they only change together.

errors: docs/protocol.md lists every error type with its status and outcome.
settings: docs/settings.md equals the help texts of the binaries.
names: source files, test programs and test cases that the pages name exist.
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


def source_files(root):
    """Paths below root of the sources that a page may name."""
    for folder in ("bench", "chivefront", "fakes", "platform", "scripts", "tests"):
        for path, _, names in os.walk(os.path.join(root, folder)):
            for name in names:
                yield os.path.relpath(os.path.join(path, name), root)


def test_cases(root, path):
    with open(os.path.join(root, path)) as handle:
        return re.findall(r"BOOST_\w+_TEST_CASE\(\s*(\w+)", handle.read())


def stale_names(text, files, cases):
    """Names in a page that the tree lacks. cases: test program -> its cases."""
    stale = [name for name in re.findall(r"(?<![\w./*])[\w/]+\.(?:cc|h|py|fbs)\b", text)
             if not any(("/" + path).endswith("/" + name) for path in files)]
    # A test program in backquotes, then its cases, which may be cut short.
    for program, tail in re.findall(r"`(\w+_test)`([^`|\n]*)", text):
        if program not in cases:
            stale.append(program)
            continue
        stale += [case for case in re.findall(r"\b(?:[A-Z][a-z]+){2,}\b", tail)
                  if not any(known.startswith(case) for known in cases[program])]
    return stale


def check_names(root):
    files = list(source_files(root))
    cases = {os.path.basename(path)[:-3]: test_cases(root, path)
             for path in files if path.endswith("_test.cc")}
    good = True
    for folder, _, names in os.walk(os.path.join(root, "docs")):
        for name in sorted(names):
            path = os.path.join(folder, name)
            with open(path) as handle:
                stale = stale_names(handle.read(), files, cases)
            for word in stale:
                print(f"{os.path.relpath(path, root)}: {word} is not in the tree")
                good = False
    return good and len(cases) > 10


def main():
    root, bin_folder = sys.argv[2], sys.argv[3]
    if sys.argv[1] == "write":
        with open(os.path.join(root, "docs/settings.md"), "w") as handle:
            handle.write(settings_page(bin_folder))
        return 0
    good = [check_errors(root), check_settings(root, bin_folder), check_names(root)]
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())

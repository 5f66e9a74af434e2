"""Runs clang-tidy in parallel with a cache keyed by the files' content.

The key of a source file covers .clang-tidy and every file of this tree that
the compiler would read for it, so a cached verdict is never stale.
"""
import concurrent.futures
import hashlib
import json
import os
import re
import subprocess
import sys

INCLUDE = re.compile(r'^\s*#include "([^"]+)"', re.M)


def read(path):
    with open(path, "rb") as handle:
        return handle.read()


def closure(path, seen):
    """Adds path, and every header of this tree that it includes, to seen."""
    if path in seen or not os.path.exists(path):
        return
    seen.add(path)
    for name in INCLUDE.findall(read(path).decode("utf-8", "replace")):
        closure(os.path.normpath(name), seen)
        closure(os.path.normpath(os.path.join(os.path.dirname(path), name)), seen)


def key_of(path):
    files = set()
    closure(path, files)
    digest = hashlib.sha256(read(".clang-tidy"))
    for name in sorted(files):
        digest.update(name.encode() + b"\0" + read(name))
    return digest.hexdigest()


def check(build, cache, path):
    marker = os.path.join(cache, key_of(path))
    if os.path.exists(marker):
        return path, 0, ""
    done = subprocess.run(
        ["clang-tidy-14", "--quiet", "-p", build, path],
        stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    if done.returncode == 0:
        open(marker, "w").close()
    return path, done.returncode, done.stdout


def main():
    build, cache, wanted = sys.argv[1], sys.argv[2], sys.argv[3:]
    os.makedirs(cache, exist_ok=True)
    root = os.getcwd()
    with open(os.path.join(build, "compile_commands.json")) as handle:
        known = {os.path.relpath(e["file"], root) for e in json.load(handle)}
    paths = sorted(p for p in (wanted or known) if p in known)
    jobs = int(os.environ.get("LINT_JOBS", "10"))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for path, code, text in pool.map(lambda p: check(build, cache, p), paths):
            if code != 0:
                failed += 1
                print(f"lint: {path}\n{text}")
    print(f"lint: {len(paths)} files, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

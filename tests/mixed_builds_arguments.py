"""The arguments of scripts/mixed-builds.

Guards against a run that takes a folder without programs for a build, and so
would compare the new build with nothing.
"""
import contextlib
import io
import os
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))

import mixed_builds  # noqa: E402


def exit_code(arguments):
    """Code of the argument parser and what it printed; None when accepted."""
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        try:
            mixed_builds.parse(arguments)
        except SystemExit as stop:
            return stop.code, errors.getvalue()
    return None, errors.getvalue()


def main():
    programs = os.path.join(sys.argv[1], "bin")
    with tempfile.TemporaryDirectory() as empty:
        table = [
            ([], 2, "old, new"),
            ([programs], 2, "new"),
            ([programs, empty], 2, "no chivefront-agent"),
            ([empty, programs], 2, "no chivefront-agent"),
            ([programs, os.path.join(empty, "none")], 2, "no chivefront-agent"),
            ([programs, programs, "more"], 2, "unrecognized"),
            ([programs, programs], None, ""),
        ]
        failures = 0
        for arguments, code, text in table:
            got, printed = exit_code(arguments)
            if got != code or text not in printed:
                print(f"{arguments}: exit {got}, wanted {code}: {printed}")
                failures += 1
    print("mixed_builds_arguments", "failed" if failures else "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())

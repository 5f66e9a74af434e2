#!/usr/bin/env bash
# The stand-ins of the cases are in lib/harness.py and run within each script;
# there is nothing to compile. Checks what they need.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed" if sys.version_info < (3, 11) else 0)'
test -x ../target/bin/chivefront-node || { echo "run the build of the deploy file first" >&2; exit 1; }

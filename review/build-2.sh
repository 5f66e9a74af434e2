#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python programs of the cases themselves, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 - "$file" <<'PYTHON'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
PYTHON
done

#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python scripts that need no
# package, so there is nothing to build: their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]/*.py <<'CHECK'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")
CHECK

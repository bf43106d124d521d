#!/bin/sh
# Builds what the cases 6 to 10 start beside the program of the deploy file. The
# stand-ins are scripts, so this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - lib2/*.py [0-9]*/case.py <<'END'
import ast
import sys

assert sys.version_info >= (3, 9), "python3 is too old"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END

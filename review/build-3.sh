#!/bin/sh
# Builds what the cases 11 to 15 start besides the program of the deploy file.
# Their stand-ins are Python scripts, so nothing has to be compiled.
cd "$(dirname "$0")" || exit 1
python3 -m py_compile lib3/stage3.py && rm -rf lib3/__pycache__

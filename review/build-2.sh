#!/bin/sh
# Builds what the cases 6 to 10 start besides the program: stand-ins in Python, which need no more than a check that
# the program's environment can read them. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/*_2.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done

#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They are Python programs that need no
# other packages, so this only compiles them and finds out whether the interpreter is recent enough.
cd "$(dirname "$0")/.." || exit 2
.venv/bin/python -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec .venv/bin/python -m compileall -q review

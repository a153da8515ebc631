"""`python -m lilacdyke.benchlink`: serve the simulator on standard input and output."""

import sys

from .serve import Adapter

if __name__ == '__main__':
    sys.exit(Adapter(sys.stdin.buffer, sys.stdout.buffer, sys.stderr).run())

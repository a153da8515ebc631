"""`python -m lilacdyke.benchlink`: serve the bench's wire on standard input and output."""

import sys

from .serve import Link

if __name__ == '__main__':
    sys.exit(Link(sys.stdin.buffer, sys.stdout.buffer, sys.stderr).run())

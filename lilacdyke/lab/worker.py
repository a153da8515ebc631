"""One run in a process of its own, for trees other than this one: a task as JSON on standard input, its
outcome as JSON on standard output.

Owns nothing else. Must never print anything but that one line.
"""

import json
import sys

from . import runs


def main():
    """Play the task {text, seed, patch}."""
    given = json.load(sys.stdin)
    outcome = runs.task(given['text'], given['seed'], given.get('patch'))
    print(json.dumps(outcome.plain()))


if __name__ == '__main__':
    main()

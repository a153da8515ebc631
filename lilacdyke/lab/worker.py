"""Plays one run of another tree in a separate process: reads a task as JSON from standard input and prints
its outcome as one line of JSON.
"""

import json
import sys

from . import runs


def main():
    """Play the task {text, seed, patch}."""
    given = json.load(sys.stdin)
    outcome = runs.play_task(given['text'], given['seed'], given.get('patch'))
    print(json.dumps(outcome.plain()))


if __name__ == '__main__':
    main()

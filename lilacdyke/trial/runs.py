"""Trials played and judged, void ones again.

Owns what a trial's outcome is, and when a run counts: one during which the machine itself stood still for
longer than STILL is void and played again, at most twice; then it fails and says so. Must never call a run
good that was not judged, nor judge by what processes say of themselves.
"""

import json
import subprocess
import sys
import time

import msgspec

from ..lab.judges import Case, judge, margins
from ..lab.loopback import real
from ..lab.service import figures
from . import draw
from .environment import STILL, play

TRIES = 3
SLACK_MS = 150.0  # of judges' bounds in time, on a machine that does not stand still for longer
LONGEST = 120  # seconds, for the process that plays one


class Verdict(msgspec.Struct, kw_only=True):
    """What came of one trial. broken: [(rule, seconds, text)]; still: how long the machine stood still; void:
    whether it does not count; over: how near each kind of limit was come to, parts of it."""

    seed: int
    mutant: str | None = None
    broken: list[tuple[str, float, str]] = []
    still: float = 0.0
    void: bool = False
    tries: int = 1
    wall: float = 0.0
    figures: dict = {}
    over: dict[str, float] = {}
    kinds: list[str] = []


def once(seed, mutant=None, fit=None):
    """Play and judge one trial in this process: a reactor runs but once. fit: the mutant whose troubles it is
    played with, or the name of a trial of draw.NAMED; None: as the seed draws."""
    begun = time.monotonic()
    given = draw.fitted(seed, fit)
    given = msgspec.structs.replace(
        real(given), rules=msgspec.structs.replace(given.rules, slack_ms=SLACK_MS)
    )
    stage, still = play(given, seed, draw.bends(seed, given), mutant)
    rows = stage.recorder.rows
    found = [(broken.rule, broken.when / 1e6, broken.text) for broken in judge(given, rows)]
    return Verdict(
        seed=seed,
        mutant=mutant,
        broken=found,
        still=still,
        void=still > STILL,
        wall=time.monotonic() - begun,
        figures=figures(given, rows),
        kinds=[event.kind for event in given.events],
        over=margins(Case(given, rows)),
    )


def one(seed, mutant=None, fit=None):
    """One trial in a process of its own, again if it was void; its Verdict."""
    for tries in range(1, TRIES + 1):
        told = subprocess.run(
            [sys.executable, '-m', 'lilacdyke.trial.runs', json.dumps([seed, mutant, fit])],
            capture_output=True,
            timeout=LONGEST,
        )
        if told.returncode:
            why = told.stderr.decode(errors='replace').strip().rsplit('\n', 1)[-1]
            return Verdict(seed=seed, mutant=mutant, broken=[('crashed', 0.0, why[:200])], tries=tries)
        found = msgspec.json.decode(told.stdout.splitlines()[-1], type=Verdict)
        found.tries = tries
        if not found.void:
            break
    if found.void:
        found.broken = [
            *found.broken,
            ('void', 0.0, 'the machine stood still for %.2f s, in %d runs' % (found.still, TRIES)),
        ]
    return found


if __name__ == '__main__':
    print(msgspec.json.encode(once(*json.loads(sys.argv[1]))).decode())

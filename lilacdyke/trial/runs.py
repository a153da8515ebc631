"""Runs trials and checks their histories.

A run during which the machine stalled for longer than MAX_STALL_S is void and repeated, at most twice; then
the trial fails. Must never pass a run that was not checked, nor rely on what processes report about
themselves.
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
from .environment import MAX_STALL_S, play

MAX_ATTEMPTS = 3
SLACK_MS = 150.0  # tolerance of the time bounds that are checked
TIMEOUT_S = 120  # per process that runs a trial


class Verdict(msgspec.Struct, kw_only=True):
    """The result of one trial. broken: [(rule, seconds, text)]; still: longest stall of the machine in
    seconds; void: whether the run does not count; over: highest usage of each kind of limit, relative to the
    limit."""

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


def run_in_process(seed, mutant=None, fit=None):
    """Run and check one trial in this process, which can run no second one: a reactor cannot be restarted.
    fit: a mutant whose faults are injected, or a trial of draw.NAMED; None: as drawn from the seed."""
    begun = time.monotonic()
    scenario = draw.scenario_for(seed, fit)
    scenario = msgspec.structs.replace(
        real(scenario), rules=msgspec.structs.replace(scenario.rules, slack_ms=SLACK_MS)
    )
    stage, still = play(scenario, seed, draw.process_faults(seed, scenario), mutant)
    rows = stage.recorder.rows
    found = [(broken.rule, broken.when / 1e6, broken.text) for broken in judge(scenario, rows)]
    return Verdict(
        seed=seed,
        mutant=mutant,
        broken=found,
        still=still,
        void=still > MAX_STALL_S,
        wall=time.monotonic() - begun,
        figures=figures(scenario, rows),
        kinds=[event.kind for event in scenario.events],
        over=margins(Case(scenario, rows)),
    )


def run_in_subprocess(seed, mutant=None, fit=None):
    """Run one trial in a process of its own, repeating void runs; return its Verdict."""
    for tries in range(1, MAX_ATTEMPTS + 1):
        finished = subprocess.run(
            [sys.executable, '-m', 'lilacdyke.trial.runs', json.dumps([seed, mutant, fit])],
            capture_output=True,
            timeout=TIMEOUT_S,
        )
        if finished.returncode:
            why = finished.stderr.decode(errors='replace').strip().rsplit('\n', 1)[-1]
            return Verdict(seed=seed, mutant=mutant, broken=[('crashed', 0.0, why[:200])], tries=tries)
        found = msgspec.json.decode(finished.stdout.splitlines()[-1], type=Verdict)
        found.tries = tries
        if not found.void:
            break
    if found.void:
        found.broken = [
            *found.broken,
            ('void', 0.0, 'the machine stalled for %.2f s, in %d runs' % (found.still, MAX_ATTEMPTS)),
        ]
    return found


if __name__ == '__main__':
    print(msgspec.json.encode(run_in_process(*json.loads(sys.argv[1]))).decode())

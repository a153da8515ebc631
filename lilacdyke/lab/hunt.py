"""Plays each mutant with successive seeds until a check reports a violation.

The checks do not know that they look at a mutant.
"""

import time
from concurrent.futures import ProcessPoolExecutor, as_completed

from . import runs
from .mutants import MUTANTS


class Detection:
    """How a mutant was detected: the rule and its text, the seed, and the number of runs and seconds."""

    __slots__ = ('rule', 'seed', 'runs', 'seconds', 'text')

    def __init__(self, rule, seed, count, seconds, text):
        self.rule, self.seed, self.runs, self.seconds, self.text = rule, seed, count, seconds, text


def hunt_one(name, seeds):
    """Play one mutant; return how it was detected, or None."""
    mutant, started = MUTANTS[name], time.perf_counter()
    for seed in range(seeds):
        given = mutant.scenario(seed)
        outcome = runs.one(given, seed, mutant.apply, hashed=False)
        if (
            outcome.broken and not runs.one(given, seed, hashed=False).broken
        ):  # the correct node must pass with this seed
            rule, _, text = outcome.broken[0]
            return Detection(rule, seed, seed + 1, time.perf_counter() - started, text)
    return None


def hunt(names, seeds, jobs, on_progress):
    """Play all mutants; return {name: detection or None} of those that were done before any interrupt."""
    detections = {}
    pool = ProcessPoolExecutor(jobs, initializer=runs.ignore_sigint)
    try:
        futures = {pool.submit(hunt_one, name, seeds): name for name in names}
        for done in as_completed(futures):
            detections[futures[done]] = done.result()
            on_progress(len(detections))
    except KeyboardInterrupt:
        runs.let_go(pool)
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
    return {name: detections[name] for name in names if name in detections}

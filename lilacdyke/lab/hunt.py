"""Hunts mutants: each is played with one seed after the other until a judge says that a rule is broken.

Owns the order of seeds and what counts as caught. Must never tell a judge that it looks at a mutant.
"""

import time
from concurrent.futures import ProcessPoolExecutor, as_completed

from . import runs
from .mutants import MUTANTS


class Caught:
    """How a mutant was found: by which rule, with which seed, after how many runs and seconds."""

    __slots__ = ('rule', 'seed', 'runs', 'seconds', 'text')

    def __init__(self, rule, seed, count, seconds, text):
        self.rule, self.seed, self.runs, self.seconds, self.text = rule, seed, count, seconds, text


def one(name, seeds):
    """Hunt one; a Caught or None."""
    mutant, begun = MUTANTS[name], time.perf_counter()
    for seed in range(seeds):
        given = mutant.scenario(seed)
        outcome = runs.one(given, seed, mutant.apply, hashed=False)
        if (
            outcome.broken and not runs.one(given, seed, hashed=False).broken
        ):  # the sound node must pass there
            rule, _, text = outcome.broken[0]
            return Caught(rule, seed, seed + 1, time.perf_counter() - begun, text)
    return None


def hunt(names, seeds, jobs, told):
    """Hunt all; {name: Caught or None}. Those that were done before an interrupt are in it."""
    caught = {}
    pool = ProcessPoolExecutor(jobs, initializer=runs.deaf)
    try:
        futures = {pool.submit(one, name, seeds): name for name in names}
        for done in as_completed(futures):
            caught[futures[done]] = done.result()
            told(len(caught))
    except KeyboardInterrupt:
        runs.let_go(pool)
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
    return {name: caught[name] for name in names if name in caught}

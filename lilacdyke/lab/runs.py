"""Plays and checks scenarios: a single run, or many in a pool of worker processes.

A run that fails does not affect the results of the others.
"""

import gc
import multiprocessing
import os
import signal
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed

from . import environment
from . import scenario as scenarios
from .judges import judge
from .recorder import digest
from .service import figures


class Outcome:
    """The outcome of one run. broken: violations as (rule, microseconds, text); wall: real seconds taken."""

    __slots__ = ('name', 'seed', 'figures', 'broken', 'hash', 'wall', 'rows', 'events')

    def __init__(self, **given):
        for name in self.__slots__:
            setattr(self, name, given.get(name))

    def plain(self):
        """Return the outcome as plain values, without rows."""
        return {name: getattr(self, name) for name in self.__slots__ if name != 'rows'}


def one(scenario, seed=None, patch=None, rows=False, hashed=True, progress=None):
    """Play and check one scenario."""
    seed = scenario.seed if seed is None else seed
    started = time.perf_counter()
    gc.disable()  # a run makes few cycles but many long-lived objects
    try:
        stage = environment.play(scenario, seed, patch, progress)
    finally:
        gc.enable()
    recorded_rows = stage.recorder.rows
    wall = time.perf_counter() - started
    return Outcome(
        name=scenario.name,
        seed=seed,
        figures=figures(scenario, recorded_rows),
        broken=[
            (violation.rule, violation.when, violation.text) for violation in judge(scenario, recorded_rows)
        ],
        hash=digest(recorded_rows) if hashed else '',
        wall=wall,
        rows=recorded_rows if rows else None,
        events=stage.environment.world.done,
    )


def play_task(text, seed, patch):
    """Play one run in a worker. text: the scenario as TOML; patch: (kind, name) of a patch, or None."""
    return one(scenarios.read(text), seed, patch_function(patch), hashed=False)


def patch_function(patch):
    """Return the function that applies a patch, given as ('mutant' or 'baseline', name)."""
    if patch is None:
        return None
    from . import baselines, mutants

    return {'mutant': mutants.MUTANTS, 'baseline': baselines.BASELINES}[patch[0]][patch[1]].apply


def many(tasks, jobs, on_outcome):
    """Play (text, seed, patch) tasks in `jobs` processes; return False if interrupted.

    Calls on_outcome(index, outcome or exception) as each ends.
    """
    if jobs == 1:
        for index, given in enumerate(tasks):
            try:
                on_outcome(index, play_task(*given))
            except KeyboardInterrupt:
                return False
            except Exception as err:
                on_outcome(index, err)
        return True
    pool = ProcessPoolExecutor(jobs, initializer=ignore_sigint)
    try:
        numbers = {pool.submit(play_task, *given): index for index, given in enumerate(tasks)}
        for done in as_completed(numbers):
            try:
                outcome = done.result()
            except Exception as err:
                outcome = err
            on_outcome(numbers[done], outcome)
        return True
    except KeyboardInterrupt:
        let_go(pool)
        return False
    finally:
        pool.shutdown(wait=False, cancel_futures=True)


def let_go(pool):
    """Terminate the workers, with the runs in progress."""
    pool.shutdown(wait=False, cancel_futures=True)
    for process in multiprocessing.active_children():
        process.terminate()


def ignore_sigint():
    """Ignore SIGINT in a worker; the main process terminates the workers on Ctrl-C."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def cores(asked):
    """Return the number of processes: as given, or one per core."""
    return asked or len(os.sched_getaffinity(0)) if sys.platform == 'linux' else asked or os.cpu_count() or 1

"""Runs: one scenario played and judged, and many of them over the machine's cores.

Owns what a run's outcome is, and the pool of workers. Must never let one run's end take the others' results
with it.
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
    """What came of one run. broken: [(rule, microseconds, text)]; wall: seconds that it took here."""

    __slots__ = ('name', 'seed', 'figures', 'broken', 'hash', 'wall', 'rows', 'events')

    def __init__(self, **given):
        for name in self.__slots__:
            setattr(self, name, given.get(name))

    def plain(self):
        """As nested plain values, without rows."""
        return {name: getattr(self, name) for name in self.__slots__ if name != 'rows'}


def one(scenario, seed=None, patch=None, rows=False, hashed=True, progress=None):
    """Play and judge one scenario."""
    seed = scenario.seed if seed is None else seed
    begun = time.perf_counter()
    gc.disable()  # a run makes few cycles, and many objects that stay until its end
    try:
        stage = environment.play(scenario, seed, patch, progress)
    finally:
        gc.enable()
    seen = stage.recorder.rows
    wall = time.perf_counter() - begun
    return Outcome(
        name=scenario.name,
        seed=seed,
        figures=figures(scenario, seen),
        broken=[(found.rule, found.when, found.text) for found in judge(scenario, seen)],
        hash=digest(seen) if hashed else '',
        wall=wall,
        rows=seen if rows else None,
        events=stage.environment.world.done,
    )


def task(text, seed, patch):
    """One run in a worker. text: TOML; patch: (module, name) of a patch to apply, or None."""
    return one(scenarios.read(text), seed, found(patch), hashed=False)


def found(patch):
    """A patch by the name it goes by: ('mutant' or 'baseline', name)."""
    if patch is None:
        return None
    from . import baselines, mutants

    return {'mutant': mutants.MUTANTS, 'baseline': baselines.BASELINES}[patch[0]][patch[1]].apply


def many(tasks, jobs, each):
    """Play (text, seed, patch) tasks on so many processes; each(index, outcome or exception) as they end.
    False if interrupted: what had ended is with the caller already."""
    if jobs == 1:
        for index, given in enumerate(tasks):
            try:
                each(index, task(*given))
            except KeyboardInterrupt:
                return False
            except Exception as err:
                each(index, err)
        return True
    pool = ProcessPoolExecutor(jobs, initializer=deaf)
    try:
        numbers = {pool.submit(task, *given): index for index, given in enumerate(tasks)}
        for done in as_completed(numbers):
            try:
                outcome = done.result()
            except Exception as err:
                outcome = err
            each(numbers[done], outcome)
        return True
    except KeyboardInterrupt:
        let_go(pool)
        return False
    finally:
        pool.shutdown(wait=False, cancel_futures=True)


def let_go(pool):
    """Somebody is waiting for the end: runs under way are dropped."""
    pool.shutdown(wait=False, cancel_futures=True)
    for process in multiprocessing.active_children():
        process.terminate()


def deaf():
    """Ctrl-C is for the process that a person started: it lets the workers go."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def cores(asked):
    """How many processes: as asked, or one for each core."""
    return asked or len(os.sched_getaffinity(0)) if sys.platform == 'linux' else asked or os.cpu_count() or 1

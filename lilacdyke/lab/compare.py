"""Compares: this tree beside an earlier commit or a baseline, on the same scenarios and seeds.

Owns the other tree (made anew in a temporary folder, gone at the end) and the statistics of pairs. Both sides
are played by this tree's lab. Must never write into the repository.
"""

import io
import json
import shutil
import subprocess
import sys
import tarfile
import tempfile
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

from . import scenario as scenarios
from .baselines import BASELINES

ROOT = Path(__file__).resolve().parents[2]
DRAWS = 4_000  # of the bootstrap


class CannotCompare(Exception):
    """There is nothing to compare with; one line says why."""


class Row:
    """What one scenario came to: mean G on either side, the mean difference and its interval, breaches of
    either."""

    __slots__ = ('name', 'pairs', 'here', 'there', 'mean', 'interval', 'broken')

    def __init__(self, name, here, there, broken):
        self.name, self.pairs, self.broken = name, len(here), broken
        count = max(1, self.pairs)
        self.here, self.there = sum(here) / count, sum(there) / count
        self.mean, self.interval = interval([one - other for one, other in zip(here, there)])


def interval(differences):
    """The mean of paired differences and its 95 % bootstrap interval, from a fixed seed."""
    import numpy

    if not differences:
        return 0.0, (0.0, 0.0)
    values = numpy.array(differences)
    drawn = numpy.random.default_rng(1).choice(values, (DRAWS, len(values))).mean(axis=1)
    low, high = numpy.quantile(drawn, (0.025, 0.975))
    return float(values.mean()), (float(low), float(high))


def git(*words):
    """Ask git of this repository; bytes."""
    done = subprocess.run(('git', '-C', str(ROOT)) + words, capture_output=True, check=False)
    if done.returncode:
        raise CannotCompare('git %s: %s' % (words[0], done.stderr.decode().strip().split('\n')[0]))
    return done.stdout


def other_tree(ref, folder):
    """Lay out the package of a commit, with this tree's lab over it; what of it is the commit's own, in
    words."""
    try:
        commit = git('rev-parse', '--verify', '--quiet', ref + '^{commit}').decode().strip()
    except CannotCompare:
        raise CannotCompare(
            'neither a commit nor a baseline: %s; baselines are %s' % (ref, ', '.join(BASELINES))
        ) from None
    with tarfile.open(fileobj=io.BytesIO(git('archive', commit, 'lilacdyke'))) as archive:
        archive.extractall(folder, filter='data')
    made = Path(folder) / 'lilacdyke'
    if not (made / 'net' / 'start_times.py').exists():  # the last of the names that this lab calls
        raise CannotCompare(
            '%s: its node is from before the renames of 2026-12 and cannot be played by this lab' % commit[:8]
        )
    if (made / 'net' / 'system.py').exists():
        what = 'node and module'
        shutil.rmtree(made / 'lab', ignore_errors=True)
        if not (made / 'plan' / 'fleet.py').exists():  # from before planners; the lab knows of them
            shutil.rmtree(made / 'plan', ignore_errors=True)
            shutil.copytree(
                ROOT / 'lilacdyke' / 'plan', made / 'plan', ignore=shutil.ignore_patterns('__pycache__')
            )
    else:
        # Before the lab's seam was there: the commit's decisions, in this tree's node.
        what, kept = 'module alone', {name: (made / name).read_bytes() for name in ('logic.py', 'terms.py')}
        shutil.rmtree(made)
        shutil.copytree(ROOT / 'lilacdyke', made, ignore=shutil.ignore_patterns('__pycache__', 'lab'))
        for name, data in kept.items():
            (made / name).write_bytes(data)
    shutil.copytree(ROOT / 'lilacdyke' / 'lab', made / 'lab', ignore=shutil.ignore_patterns('__pycache__'))
    return '%s (%s)' % (commit[:8], what)


def played(root, text, seed, patch):
    """One run in the tree at that root; its outcome as plain values, or None if it could not be played
    there."""
    done = subprocess.run(
        (sys.executable, '-m', 'lilacdyke.lab.worker'),
        cwd=root,
        capture_output=True,
        check=False,
        input=json.dumps({'text': text, 'seed': seed, 'patch': patch}).encode(),
        start_new_session=True,
    )
    if done.returncode:
        raise CannotCompare('a run there failed: %s' % done.stderr.decode().strip().split('\n')[-1])
    return json.loads(done.stdout)


def compare(given, against, seeds, jobs, told):
    """Play all pairs: (rows, what it was compared with, whether all were played)."""
    with tempfile.TemporaryDirectory() as folder:
        if against in BASELINES:
            there, patch, about = (
                str(ROOT),
                ('baseline', against),
                'baseline %s: %s' % (against, BASELINES[against].about),
            )
        else:
            there, patch, about = folder, None, other_tree(against, folder)
        tasks = {
            (index, seed, side): (root, scenarios.write(scenario), seed, mine)
            for index, scenario in enumerate(given)
            for seed in range(1, seeds + 1)
            for side, root, mine in ((0, str(ROOT), None), (1, there, patch))
        }
        ended, whole = {}, True
        with ThreadPoolExecutor(jobs) as pool:
            numbers = {pool.submit(played, *task): key for key, task in tasks.items()}
            try:
                for done in as_completed(numbers):
                    ended[numbers[done]] = done.result()
                    told(len(ended))
            except KeyboardInterrupt:
                whole = False
                pool.shutdown(wait=False, cancel_futures=True)
    return [row(scenario.name, index, seeds, ended) for index, scenario in enumerate(given)], about, whole


def row(name, index, seeds, ended):
    """The pairs of one scenario that were both played."""
    pairs = [
        (ended[index, seed, 0], ended[index, seed, 1])
        for seed in range(1, seeds + 1)
        if (index, seed, 0) in ended and (index, seed, 1) in ended
    ]
    broken = tuple(sum(bool(pair[side]['broken']) for pair in pairs) for side in (0, 1))
    return Row(
        name, [pair[0]['figures']['G'] for pair in pairs], [pair[1]['figures']['G'] for pair in pairs], broken
    )

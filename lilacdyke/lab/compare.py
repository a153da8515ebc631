"""Compares this tree with an earlier commit or a baseline on the same scenarios and seeds.

The other tree is checked out into a temporary folder and removed at the end; the repository is not written
to. This tree's lab plays both sides.
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
BOOTSTRAP_SAMPLES = 4_000  # bootstrap samples


class CannotCompare(Exception):
    """Raised with a one-line reason if the other side cannot be played."""


class Row:
    """The result of one scenario: mean G of either side, their mean difference with its interval, and runs
    with violations by side."""

    __slots__ = ('name', 'pairs', 'here', 'there', 'mean', 'interval', 'broken')

    def __init__(self, name, here, there, broken):
        self.name, self.pairs, self.broken = name, len(here), broken
        count = max(1, self.pairs)
        self.here, self.there = sum(here) / count, sum(there) / count
        self.mean, self.interval = interval([one - other for one, other in zip(here, there)])


def interval(differences):
    """Return the mean of paired differences and its 95 % bootstrap interval, with a fixed seed."""
    import numpy

    if not differences:
        return 0.0, (0.0, 0.0)
    values = numpy.array(differences)
    samples = numpy.random.default_rng(1).choice(values, (BOOTSTRAP_SAMPLES, len(values))).mean(axis=1)
    low, high = numpy.quantile(samples, (0.025, 0.975))
    return float(values.mean()), (float(low), float(high))


def git(*args):
    """Run git in this repository and return its output as bytes."""
    done = subprocess.run(('git', '-C', str(ROOT)) + args, capture_output=True, check=False)
    if done.returncode:
        raise CannotCompare('git %s: %s' % (args[0], done.stderr.decode().strip().split('\n')[0]))
    return done.stdout


def other_tree(ref, folder):
    """Extract the package of a commit with this tree's lab over it; return the commit and which part of the
    code is the commit's own."""
    try:
        commit = git('rev-parse', '--verify', '--quiet', ref + '^{commit}').decode().strip()
    except CannotCompare:
        raise CannotCompare(
            'neither a commit nor a baseline: %s; baselines are %s' % (ref, ', '.join(BASELINES))
        ) from None
    with tarfile.open(fileobj=io.BytesIO(git('archive', commit, 'lilacdyke'))) as archive:
        archive.extractall(folder, filter='data')
    package = Path(folder) / 'lilacdyke'
    if not (package / 'net' / 'start_times.py').exists():  # the last of the names that this lab calls
        raise CannotCompare(
            '%s: its node is from before the renames of 2026-12 and cannot be played by this lab' % commit[:8]
        )
    if (package / 'net' / 'system.py').exists():
        what = 'node and module'
        shutil.rmtree(package / 'lab', ignore_errors=True)
        if not (package / 'plan' / 'fleet.py').exists():  # from before planners, which the lab imports
            shutil.rmtree(package / 'plan', ignore_errors=True)
            shutil.copytree(
                ROOT / 'lilacdyke' / 'plan', package / 'plan', ignore=shutil.ignore_patterns('__pycache__')
            )
    else:
        # From before net/system.py: the commit's decisions run in this tree's node.
        what, kept = (
            'module alone',
            {name: (package / name).read_bytes() for name in ('logic.py', 'terms.py')},
        )
        shutil.rmtree(package)
        shutil.copytree(ROOT / 'lilacdyke', package, ignore=shutil.ignore_patterns('__pycache__', 'lab'))
        for name, data in kept.items():
            (package / name).write_bytes(data)
    shutil.copytree(ROOT / 'lilacdyke' / 'lab', package / 'lab', ignore=shutil.ignore_patterns('__pycache__'))
    return '%s (%s)' % (commit[:8], what)


def play_in_tree(root, text, seed, patch):
    """Play one run in the tree at `root` and return its outcome as plain values.

    Raise CannotCompare if the run fails there.
    """
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


def compare(given, against, seeds, jobs, on_progress):
    """Play all pairs; return (rows, description of the other side, whether all were played)."""
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
            (index, seed, side): (root, scenarios.write(scenario), seed, side_patch)
            for index, scenario in enumerate(given)
            for seed in range(1, seeds + 1)
            for side, root, side_patch in ((0, str(ROOT), None), (1, there, patch))
        }
        outcomes, complete = {}, True
        with ThreadPoolExecutor(jobs) as pool:
            numbers = {pool.submit(play_in_tree, *task): key for key, task in tasks.items()}
            try:
                for done in as_completed(numbers):
                    outcomes[numbers[done]] = done.result()
                    on_progress(len(outcomes))
            except KeyboardInterrupt:
                complete = False
                pool.shutdown(wait=False, cancel_futures=True)
    return (
        [row(scenario.name, index, seeds, outcomes) for index, scenario in enumerate(given)],
        about,
        complete,
    )


def row(name, index, seeds, outcomes):
    """Return the Row of one scenario, from the pairs of which both runs were played."""
    pairs = [
        (outcomes[index, seed, 0], outcomes[index, seed, 1])
        for seed in range(1, seeds + 1)
        if (index, seed, 0) in outcomes and (index, seed, 1) in outcomes
    ]
    broken = tuple(sum(bool(pair[side]['broken']) for pair in pairs) for side in (0, 1))
    return Row(
        name, [pair[0]['figures']['G'] for pair in pairs], [pair[1]['figures']['G'] for pair in pairs], broken
    )

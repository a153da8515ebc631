"""The command group `lilacdyke trial`: its options, output and exit codes.

Exit codes: 0 success; 1 a violated rule, a void run or a mutant that was not caught; 2 invalid arguments.
"""

import sys
import time
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor, as_completed

import click
import msgspec

from . import draw, runs
from .mutants import NAMES


def run_parallel(tasks, jobs, each):
    """Run (seed, mutant, fit) tasks on `jobs` threads; call each(task, verdict) as each one ends."""
    with ThreadPoolExecutor(jobs) as pool:
        futures = {pool.submit(runs.run_in_subprocess, *task): task for task in tasks}
        for done in as_completed(futures):
            each(futures[done], done.result())


def print_verdict(found):
    """Print a one-line summary of a trial and its first violations."""
    measured = found.figures
    click.echo(
        'seed %d%s: G %.3f, %s; %s; stalled for %.0f ms%s'
        % (
            found.seed,
            ' (%s)' % found.mutant if found.mutant else '',
            measured.get('G', 0.0),
            ', '.join('%d %s' % (count, name) for name, count in measured.get('answers', {}).items()),
            ' '.join('%d %s' % (count, name) for name, count in sorted(Counter(found.kinds).items()))
            or 'no faults',
            1e3 * found.still,
            ', in %d attempts' % found.tries if found.tries > 1 else '',
        )
    )
    for rule, when, text in found.broken[:3]:
        click.echo('broken: %s at %.3f s: %s' % (rule, when, text))


@click.group()
def trial():
    """Run real processes of the program with injected faults, on loopback."""


@trial.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option(
    '--mutant',
    type=click.Choice(NAMES),
    help='Run this mutant of the program, under faults that should expose it.',
)
@click.option(
    '--named', type=click.Choice(list(draw.NAMED)), help='Run a predefined trial instead of a drawn one.'
)
@click.option('--json', 'as_json', is_flag=True)
def run(seed, mutant, named, as_json):
    """Run the trial of a seed and check its history."""
    found = runs.run_in_subprocess(seed, mutant, mutant or named)
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        print_verdict(found)
    sys.exit(1 if found.broken else 0)


@trial.command()
@click.option('--seed', type=int, default=1, show_default=True)
def show_(seed):
    """Print the scenario and the process faults of a seed."""
    from ..lab.scenario import write

    scenario = draw.scenario(seed)
    click.echo(write(scenario))
    for name, process_faults in draw.process_faults(seed, scenario).items():
        click.echo('# %s: %s' % (name, process_faults))


trial.add_command(show_, 'show')


@trial.command()
@click.option('--seeds', type=click.IntRange(1), default=20, show_default=True)
@click.option('--first', type=int, default=1, show_default=True)
@click.option('--jobs', type=click.IntRange(1, 16), default=4, show_default=True)
@click.option(
    '--record', type=click.Path(dir_okay=False), help='Write each verdict to this file as a JSON line.'
)
@click.option('--verdicts', is_flag=True, help='Use fleets with verdicts on servers, and faults of servers.')
def explore(seeds, first, jobs, record, verdicts):
    """Run the trials of a range of seeds and check their histories."""
    begun, broken, tries, over = time.monotonic(), [], Counter(), defaultdict(list)
    file = open(record, 'ab') if record else None

    def each(task, found):
        tries[found.tries] += 1
        for name, value in found.over.items():
            over[name].append(value)
        if file:
            file.write(msgspec.json.encode(found) + b'\n')
        if found.broken:
            broken.append(found)
            print_verdict(found)

    run_parallel(
        [(seed, None, 'watched' if verdicts else None) for seed in range(first, first + seeds)], jobs, each
    )
    for name, values in sorted(over.items()):
        click.echo(
            '%s: median %.3f, most %.3f of the limit, in %d runs'
            % (name, sorted(values)[len(values) // 2], max(values), len(values))
        )
    click.echo(
        '%d trials, %.0f s, %d played again; broken: %s'
        % (
            seeds,
            time.monotonic() - begun,
            seeds - tries[1],
            ', '.join(sorted({rule for found in broken for rule, _, _ in found.broken})) or 'none',
        )
    )
    sys.exit(1 if broken else 0)


@trial.command()
@click.option('--seeds', type=click.IntRange(1), default=1, show_default=True)
@click.option('--first', type=int, default=1, show_default=True)
@click.option('--seconds', type=click.FloatRange(5, 600), default=60.0, show_default=True)
@click.option('--nodes', type=click.IntRange(2, 40), default=16, show_default=True)
@click.option(
    '--jobs', type=click.IntRange(1, 8), default=2, show_default=True, help='Number of concurrent runs.'
)
def soak(seeds, first, seconds, nodes, jobs):
    """Run dozens of real processes with random, overlapping faults of links, processes and system calls."""
    from . import soak as soaking

    failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        tasks = [
            pool.submit(soaking.run_in_subprocess, seed, seconds, nodes)
            for seed in range(first, first + seeds)
        ]
        for task in as_completed(tasks):
            found = task.result()
            failed += bool(found.broken)
            click.echo(
                'seed %d: %s; %d processes, %d of %d served, %d changes kept, stalled for %.0f ms'
                % (
                    found.seed,
                    'BROKEN' if found.broken else 'ok',
                    found.processes,
                    found.served,
                    found.asked,
                    found.kept,
                    1e3 * found.still,
                )
            )
            for rule, when, text in found.broken[:10]:
                click.echo('  %s at %.3f s: %s' % (rule, when, text))
            for fault in found.faults if found.broken else ():
                click.echo('    ' + fault)
    click.echo('%d runs, %d broken' % (seeds, failed))
    sys.exit(1 if failed else 0)


@trial.command()
@click.argument('names', metavar='[MUTANT]...', nargs=-1)
@click.option(
    '--seeds',
    type=click.IntRange(1),
    default=12,
    show_default=True,
    help='Maximum number of seeds per mutant.',
)
@click.option('--jobs', type=click.IntRange(1, 16), default=4, show_default=True)
def mutants(names, seeds, jobs):
    """Check that each mutant is caught in a trial that the unmodified program passes."""
    unknown = [name for name in names if name not in NAMES]
    if unknown:
        click.echo(
            'lilacdyke: no such mutant: %s; there are %s' % (', '.join(unknown), ', '.join(NAMES)), err=True
        )
        sys.exit(2)
    missed = 0
    with ThreadPoolExecutor(jobs) as pool:
        for name, caught in zip(
            names or NAMES, pool.map(lambda name: find_catching_seed(name, seeds), names or NAMES)
        ):
            missed += caught is None
            click.echo(
                '%-24s %s'
                % (name, 'not caught in %d' % seeds if caught is None else '%s, seed %d: %s' % caught)
            )
    click.echo('%d of %d caught' % (len(names or NAMES) - missed, len(names or NAMES)))
    sys.exit(1 if missed else 0)


def find_catching_seed(name, seeds):
    """Return (rule, seed, text) of the first trial that catches a mutant and that the unmodified program
    passes, or None."""
    for seed in range(1, seeds + 1):
        found = [row for row in runs.run_in_subprocess(seed, name, name).broken if row[0] != 'void']
        if found and not runs.run_in_subprocess(seed, None, name).broken:
            return found[0][0], seed, found[0][2][:70]
    return None

"""`lilacdyke trial`: the words on its command line and its exit codes.

Owns what is printed. Exit codes: 0 all well, 1 a rule broken, a void run or a mutant not caught, 2 wrong
words.
"""

import sys
import time
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor, as_completed

import click
import msgspec

from . import draw, runs
from .mutants import NAMES


def parallel(tasks, jobs, each):
    """Play (seed, mutant, fit) tasks, some at a time; each(task, verdict) as they end."""
    with ThreadPoolExecutor(jobs) as pool:
        futures = {pool.submit(runs.one, *task): task for task in tasks}
        for done in as_completed(futures):
            each(futures[done], done.result())


def show(found):
    """One line of one trial."""
    told = found.figures
    click.echo(
        'seed %d%s: G %.3f, %s; %s; stood still for %.0f ms%s'
        % (
            found.seed,
            ' (%s)' % found.mutant if found.mutant else '',
            told.get('G', 0.0),
            ', '.join('%d %s' % (count, name) for name, count in told.get('answers', {}).items()),
            ' '.join('%d %s' % (count, name) for name, count in sorted(Counter(found.kinds).items()))
            or 'no trouble',
            1e3 * found.still,
            ', in %d tries' % found.tries if found.tries > 1 else '',
        )
    )
    for rule, when, text in found.broken[:3]:
        click.echo('broken: %s at %.3f s: %s' % (rule, when, text))


@click.group()
def trial():
    """Real processes of the program with faults between and within them, on loopback."""


@trial.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option(
    '--mutant',
    type=click.Choice(NAMES),
    help='Break the program in this way, under troubles that should show it.',
)
@click.option('--named', type=click.Choice(list(draw.NAMED)), help='One that is set, not drawn.')
@click.option('--json', 'as_json', is_flag=True)
def run(seed, mutant, named, as_json):
    """Play and judge the trial of a seed."""
    found = runs.one(seed, mutant, mutant or named)
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        show(found)
    sys.exit(1 if found.broken else 0)


@trial.command()
@click.option('--seed', type=int, default=1, show_default=True)
def show_(seed):
    """Print what the trial of a seed is made of."""
    from ..lab.scenario import write

    given = draw.scenario(seed)
    click.echo(write(given))
    for name, bends in draw.bends(seed, given).items():
        click.echo('# %s: %s' % (name, bends))


trial.add_command(show_, 'show')


@trial.command()
@click.option('--seeds', type=click.IntRange(1), default=20, show_default=True)
@click.option('--first', type=int, default=1, show_default=True)
@click.option('--jobs', type=click.IntRange(1, 16), default=4, show_default=True)
@click.option('--record', type=click.Path(dir_okay=False), help='Write each verdict there, a JSON line each.')
@click.option('--verdicts', is_flag=True, help='Fleets with verdicts on servers, and the troubles of these.')
def explore(seeds, first, jobs, record, verdicts):
    """Play the trials of so many seeds and judge them."""
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
            show(found)

    parallel(
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
@click.option('--jobs', type=click.IntRange(1, 8), default=2, show_default=True, help='Runs at a time.')
def soak(seeds, first, seconds, nodes, jobs):
    """Dozens of real processes with random, overlapping faults, also of their machines; one run a seed."""
    from . import soak as soaking

    failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        tasks = [pool.submit(soaking.one, seed, seconds, nodes) for seed in range(first, first + seeds)]
        for task in as_completed(tasks):
            found = task.result()
            failed += bool(found.broken)
            click.echo(
                'seed %d: %s; %d processes, %d of %d served, %d changes kept, stood still for %.0f ms'
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
    '--seeds', type=click.IntRange(1), default=12, show_default=True, help='The most that each is tried with.'
)
@click.option('--jobs', type=click.IntRange(1, 16), default=4, show_default=True)
def mutants(names, seeds, jobs):
    """Break the program on purpose: each mutant must be caught by a judge in a trial that the sound program
    passes."""
    unknown = [name for name in names if name not in NAMES]
    if unknown:
        click.echo(
            'lilacdyke: no such mutant: %s; there are %s' % (', '.join(unknown), ', '.join(NAMES)), err=True
        )
        sys.exit(2)
    missed = 0
    with ThreadPoolExecutor(jobs) as pool:
        for name, told in zip(names or NAMES, pool.map(lambda name: hunt(name, seeds), names or NAMES)):
            missed += told is None
            click.echo(
                '%-24s %s' % (name, 'not caught in %d' % seeds if told is None else '%s, seed %d: %s' % told)
            )
    click.echo('%d of %d caught' % (len(names or NAMES) - missed, len(names or NAMES)))
    sys.exit(1 if missed else 0)


def hunt(name, seeds):
    """(rule, seed, what was seen) of the first trial that catches a mutant and that the sound program passes,
    or None."""
    for seed in range(1, seeds + 1):
        found = [row for row in runs.one(seed, name, name).broken if row[0] != 'void']
        if found and not runs.one(seed, None, name).broken:
            return found[0][0], seed, found[0][2][:70]
    return None

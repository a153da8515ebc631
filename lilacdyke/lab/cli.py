"""Command line of `lilacdyke lab`: arguments, output and exit codes.

Exit codes: 0 success, 1 a broken rule or an undetected mutant, 2 invalid arguments or an invalid scenario.
Each command imports its module only when it runs.
"""

import json
import sys
import time

import click

from .scenario import BadScenario, load, shipped_names


def load_scenario(name):
    """Load a scenario by name or path; exit with code 2 and a one-line message if it is invalid."""
    try:
        return load(name)
    except BadScenario as err:
        click.echo('lilacdyke: %s' % err, err=True)
        sys.exit(2)


class Progress:
    """Progress bar on a terminal; silent otherwise."""

    def __init__(self, total, what):
        from rich.console import Console
        from rich.progress import (
            BarColumn,
            MofNCompleteColumn,
            TextColumn,
            TimeElapsedColumn,
        )
        from rich.progress import (
            Progress as Bar,
        )

        self.bar = Bar(
            TextColumn('{task.description}'),
            BarColumn(),
            MofNCompleteColumn(),
            TimeElapsedColumn(),
            console=Console(stderr=True),
            transient=True,
            disable=not sys.stderr.isatty(),
        )
        self.task = self.bar.add_task(what, total=total)

    def __enter__(self):
        self.bar.__enter__()
        return self

    def __exit__(self, *exc_info):
        return self.bar.__exit__(*exc_info)

    def at(self, done, what=None):
        self.bar.update(self.task, completed=done, **({'description': what} if what else {}))


def print_table(title, columns, rows):
    """Print a table."""
    from rich.console import Console
    from rich.table import Table

    output = Table(title=title, title_justify='left', box=None, header_style='bold', pad_edge=False)
    for column in columns:
        output.add_column(column, justify='left' if column == columns[0] else 'right', no_wrap=True)
    for row in rows:
        output.add_row(*[str(cell) for cell in row])
    Console(width=None if sys.stdout.isatty() else 140).print(output)


def print_outcome(outcome):
    """Print the figures and the broken rules of one run."""
    figures = outcome.figures
    print_table(
        '%s, seed %s' % (outcome.name, outcome.seed),
        ('figure', 'value'),
        [
            ('G', '%.3f' % figures['G']),
            ('revenue in goal', '%.3f' % figures['whole']),
            ('worst 10 s', '%.3f' % figures['worst_10s']),
            ('worst profile', '%.3f' % figures['worst_profile']),
            ('transactions', figures['transactions']),
            ('tries', figures['tries']),
            ('hops', figures['hops']),
            *[(name, count) for name, count in figures['outcomes'].items()],
            (
                'p50, p95, p99 ms',
                '%.0f, %.0f, %.0f' % (figures['p50_ms'], figures['p95_ms'], figures['p99_ms']),
            ),
            ('extra work', '%.3f' % figures['extra_work']),
            ('connections', figures['connections']),
        ],
    )
    print_violations(outcome.broken)


def print_violations(broken, most=10):
    """Print up to `most` broken rules."""
    for rule, when, text in broken[:most]:
        click.echo('broken: %s at %.3f s: %s' % (rule, when / 1e6, text))
    if len(broken) > most:
        click.echo('broken: %d more' % (len(broken) - most))


@click.group()
def lab():
    """Run fleets of real nodes against simulated clients and servers, in simulated time or on loopback."""


@lab.command()
def scenarios():
    """List the scenarios that ship with the lab."""
    print_table(None, ('name', 'about'), [(name, load(name).about) for name in shipped_names()])


@lab.command()
@click.argument('name', metavar='SCENARIO')
@click.option('--seed', type=click.IntRange(0), help="Seed; by default the scenario's.")
@click.option(
    '--record',
    type=click.Path(dir_okay=False),
    help='Write the record of the run to this file, as JSON lines.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print one line of JSON instead of a table.')
@click.option('--baseline', help="Run a baseline policy instead of the node's.")
@click.option('--ground', type=click.Choice(['simulated', 'loopback']), default='simulated')
def run(name, seed, record, as_json, baseline, ground):
    """Run one scenario, check it and print its figures."""
    from . import recorder, runs

    chosen = load_scenario(name)
    patch = None
    if baseline:
        from .baselines import BASELINES

        if baseline not in BASELINES:
            click.echo(
                'lilacdyke: no such baseline: %s; available: %s' % (baseline, ', '.join(BASELINES)), err=True
            )
            sys.exit(2)
        patch = BASELINES[baseline].apply
    if ground == 'loopback':
        from . import loopback

        outcome = loopback.one(chosen, seed, rows=bool(record))
    else:
        with Progress(50, name) as bar:
            outcome = runs.one(
                chosen, seed, patch, rows=bool(record), progress=lambda part: bar.at(int(part * 50))
            )
    if record:
        from .scenario import plain

        recorder.save(
            record, {'scenario': plain(chosen), 'seed': outcome.seed, 'ground': ground}, outcome.rows
        )
    if as_json:
        click.echo(json.dumps(outcome.plain()))
    else:
        print_outcome(outcome)
        click.echo(
            '%d transactions in %.1f s, %d per second; record %s; %d rules broken'
            % (
                outcome.figures['transactions'],
                outcome.wall,
                outcome.figures['transactions'] / outcome.wall,
                outcome.hash[:16],
                len({found[0] for found in outcome.broken}),
            )
        )
    sys.exit(1 if outcome.broken else 0)


@lab.command()
@click.option('--seeds', type=click.IntRange(1), default=200, show_default=True)
@click.option('--first', type=click.IntRange(0), default=0, show_default=True, help='The first seed.')
@click.option(
    '--jobs', type=click.IntRange(0), default=0, help='Number of processes; by default one per core.'
)
@click.option(
    '--keep',
    type=click.Path(file_okay=False),
    default='found',
    show_default=True,
    help='Directory for the shrunk failing scenarios.',
)
@click.option(
    '--shrink',
    'tries',
    type=click.IntRange(0),
    default=120,
    show_default=True,
    help='Limit of runs for shrinking a failing scenario.',
)
@click.option('--planners', is_flag=True, help='Draw fleets with planners, limits and their faults.')
@click.option(
    '--verdicts', is_flag=True, help='Draw fleets with planners, verdicts on servers and their faults.'
)
def explore(seeds, first, jobs, keep, tries, planners, verdicts):
    """Run and check random scenarios; shrink those that fail."""
    from . import draw, runs
    from . import explore as exploring

    drawn = draw.watched if verdicts else draw.planned if planners else draw.scenario
    begun = time.perf_counter()
    with Progress(seeds, 'exploring') as bar:
        tally, whole = exploring.explore(
            first,
            seeds,
            runs.cores(jobs),
            lambda tally: bar.at(tally.runs, 'exploring, %d broken' % len(tally.broken)),
            drawn=drawn,
        )
    for seed, text in tally.crashed:
        click.echo('crashed: seed %d: %s' % (seed, text))
    kept = set()
    for seed, broken in tally.broken:
        rule = broken[0][0]
        click.echo('seed %d:' % seed)
        print_violations(broken, 3)
        if tries and whole and rule not in kept:
            kept.add(rule)
            try:
                small, played = exploring.minimal(seed, rule, tries, drawn=drawn)
                click.echo('shrunk in %d runs to %s' % (played, exploring.write(keep, small, rule)))
            except KeyboardInterrupt:
                click.echo('not shrunk: interrupted')
    rules = sorted({found[0] for _, broken in tally.broken for found in broken})
    click.echo(
        '%d runs%s, %d transactions, %.0f s; worst G %.3f (seed %s); broken rules: %s'
        % (
            tally.runs,
            '' if whole else ' (interrupted)',
            tally.transactions,
            time.perf_counter() - begun,
            tally.worst[0],
            tally.worst[1],
            ', '.join(rules) or 'none',
        )
    )
    sys.exit(1 if tally.broken or tally.crashed or not whole else 0)


@lab.command()
@click.argument('names', metavar='[MUTANT]...', nargs=-1)
@click.option(
    '--seeds', type=click.IntRange(1), default=40, show_default=True, help='Limit of seeds for each mutant.'
)
@click.option(
    '--jobs', type=click.IntRange(0), default=0, help='Number of processes; by default one per core.'
)
def mutants(names, seeds, jobs):
    """Run deliberately broken nodes: a rule must detect each mutant."""
    from . import hunt, runs
    from .mutants import MUTANTS

    unknown = [name for name in names if name not in MUTANTS]
    if unknown:
        click.echo(
            'lilacdyke: no such mutant: %s; available: %s' % (', '.join(unknown), ', '.join(MUTANTS)),
            err=True,
        )
        sys.exit(2)
    picked = list(names or MUTANTS)
    begun = time.perf_counter()
    with Progress(len(picked), 'hunting') as bar:
        caught = hunt.hunt(picked, seeds, runs.cores(jobs), bar.at)
    print_table(
        None,
        ('mutant', 'rule', 'seed', 'runs', 'seconds', 'seen'),
        [
            (
                name,
                *(
                    ('not caught', '-', seeds, '-', '')
                    if found is None
                    else (found.rule, found.seed, found.runs, '%.1f' % found.seconds, found.text[:70])
                ),
            )
            for name, found in caught.items()
        ],
    )
    missed = [name for name, found in caught.items() if found is None]
    click.echo(
        '%d of %d mutants caught, %.0f s%s'
        % (
            len(caught) - len(missed),
            len(picked),
            time.perf_counter() - begun,
            '; not caught: %s' % ', '.join(missed) if missed else '',
        )
    )
    sys.exit(1 if missed or len(caught) < len(picked) else 0)


@lab.command()
@click.argument('names', metavar='SCENARIO...', nargs=-1, required=True)
@click.option('--against', required=True, help='Commit of this repository, or a baseline.')
@click.option('--seeds', type=click.IntRange(2), default=8, show_default=True, help='Number of paired runs.')
@click.option(
    '--jobs', type=click.IntRange(0), default=0, help='Number of processes; by default one per core.'
)
def compare(names, against, seeds, jobs):
    """Compare this tree with a commit or a baseline on paired seeds, with a confidence interval."""
    from . import compare as comparing
    from . import runs

    chosen = [load_scenario(name) for name in names]
    try:
        with Progress(2 * seeds * len(chosen), 'comparing') as bar:
            rows, about, whole = comparing.compare(chosen, against, seeds, runs.cores(jobs), bar.at)
    except comparing.CannotCompare as err:
        click.echo('lilacdyke: %s' % err, err=True)
        sys.exit(2)
    print_table(
        'this tree against %s' % about,
        ('scenario', 'pairs', 'here', 'there', 'difference', '95 % interval', 'broken'),
        [
            (
                row.name,
                row.pairs,
                '%.4f' % row.here,
                '%.4f' % row.there,
                '%+.4f' % row.mean,
                '%+.4f to %+.4f' % row.interval,
                '%d, %d' % row.broken,
            )
            for row in rows
        ],
    )
    if not whole:
        click.echo('interrupted: only completed runs are shown')
    sys.exit(1 if any(row.broken[0] for row in rows) or not whole else 0)


@lab.command()
@click.argument('name', metavar='SCENARIO')
@click.argument('field', metavar='FIELD')
@click.argument('values', metavar='VALUE...', nargs=-1, required=True)
@click.option('--seeds', type=click.IntRange(1), default=3, show_default=True)
@click.option(
    '--jobs', type=click.IntRange(0), default=0, help='Number of processes; by default one per core.'
)
@click.option(
    '--record', type=click.Path(dir_okay=False), help='Write the figures to this file, as JSON lines.'
)
def sweep(name, field, values, seeds, jobs, record):
    """Vary one field (nodes, load.rate, slow.share, events.0.size, ...) and print the figures."""
    from . import runs
    from . import sweep as sweeping

    chosen = load_scenario(name)
    try:
        points = sweeping.points(chosen, field, values)
    except BadScenario as err:
        click.echo('lilacdyke: %s' % err, err=True)
        sys.exit(2)
    with Progress(len(points) * seeds, 'sweeping') as bar:
        rows, whole = sweeping.sweep(points, seeds, runs.cores(jobs), bar.at)
    print_table(
        '%s, %s varied' % (name, field),
        (field, 'G', 'worst', 'p99 ms', 'hops a tx', 'extra work', 'a second', 'broken'),
        [
            (
                row['value'],
                '%.3f' % row['G'],
                '%.3f' % row['worst'],
                '%.0f' % row['p99_ms'],
                '%.2f' % row['hops'],
                '%.3f' % row['extra'],
                '%.0f' % row['pace'],
                row['broken'],
            )
            for row in rows
        ],
    )
    if record:
        with open(record, 'w', encoding='utf-8') as file:
            file.writelines(json.dumps(dict(row, scenario=name, field=field)) + '\n' for row in rows)
    sys.exit(1 if any(row['broken'] for row in rows) or not whole else 0)


@lab.command()
@click.argument(
    'records', metavar='RECORD...', nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False)
)
@click.option('--out', type=click.Path(dir_okay=False), default='report.html', show_default=True)
def report(records, out):
    """Write a static HTML page with plots from records of runs."""
    from . import report as reporting

    try:
        reporting.write(out, records)
    except (ValueError, KeyError, OSError) as err:
        click.echo('lilacdyke: %s' % ' '.join(str(err).split()), err=True)
        sys.exit(2)
    click.echo('written: %s' % out)


@lab.command()
@click.option(
    '--every',
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help='Test only every n-th call of a kind.',
)
@click.option(
    '--jobs', type=click.IntRange(0), default=0, help='Number of processes; by default one per core.'
)
def calls(every, jobs):
    """Run a short scenario with each system call of a node failing in turn, and with clock steps."""
    from . import callsweep

    begun = time.perf_counter()
    count, found = callsweep.sweep(every, jobs)
    click.echo('%d points, %d broken, %.0f s' % (count, len(found), time.perf_counter() - begun))
    for point, broken in found[:40]:
        click.echo('  %s: %s' % (point, broken[0]))
    sys.exit(1 if found else 0)


@lab.command()
@click.option(
    '--every',
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help='Test only every n-th prefix of a write.',
)
def files(every):
    """Test the files of a writer and a voter with each call failing, and with a kill at each call."""
    import logging

    from . import filesweep

    logging.disable(logging.WARNING)
    broken = 0
    for scenario in filesweep.SCENARIOS:
        count, found = filesweep.sweep(scenario, every)
        broken += len(found)
        click.echo('%s: %d points, %d broken' % (scenario, count, len(found)))
        for point, wrong in found:
            click.echo('  %s: %s' % (point, wrong))
    sys.exit(1 if broken else 0)


@lab.command()
@click.argument('name', metavar='[SCENARIO]', default='calm')
@click.option(
    '--for', 'seconds', type=click.FloatRange(1), help='Duration in seconds; by default until Ctrl-C.'
)
@click.option(
    '--rate', type=click.FloatRange(0.1, 1000), help="Client requests per second; by default the scenario's."
)
def up(name, seconds, rate):
    """Run real nodes on loopback with discovery, caches, an origin and a light load, until Ctrl-C."""
    from . import loopback

    sys.exit(loopback.up(load_scenario(name), seconds, rate))

"""What verdicts are worth: the same days with none, with verdicts, with planners killed by turns, and one
node that sees all.

Owns the days and the table. Must never compare runs of different seeds.

python -m lilacdyke.lab.gain --nodes 40 --seeds 4 [--days slow,hung]
"""

from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

import click

from . import held, runs
from . import scenario as scenarios
from .judges import Case
from .scenario import Caches, Clients, Event, Kind, Load, Origin, Planning, Profile, Scenario

EVERY = 1.2  # seconds between two planners killed
DAYS = {
    'calm': [],
    'slow': [Event(at_s=2, kind='slow', count=2, for_s=8, size=6)],
    'hung': [Event(at_s=2, kind='hung', count=2, for_s=8)],
    'failing': [Event(at_s=2, kind='garbled', count=2, for_s=8, size=10)],
    'flapping': [Event(at_s=2 + 3 * number, kind='hung', what=[4, 7], for_s=1.5) for number in range(4)],
    'crash': [Event(at_s=2, kind='crash', count=2, for_s=5)],
    'deploy': [Event(at_s=2, kind='deploy', for_s=8, size=5)],
}
FORMS = ('alone', 'verdicts', 'killed', 'one node')


def day(name, form, nodes, rate, length):
    """The scenario of a day in one form."""
    events, planners, span = list(DAYS[name]), 3, 3.0
    if form == 'alone':
        span = 0.0
    elif form == 'one node':
        nodes, planners, span = 1, 0, 0.0
    elif form == 'killed':
        events += [
            Event(at_s=round(0.5 + EVERY * number, 2), kind='kill_planner', what=[number % 3], for_s=0.4)
            for number in range(int((length - 1) / EVERY))
        ]
    return scenarios.check(
        Scenario(
            name='%s-%s' % (name, form.replace(' ', '-')),
            length_s=length,
            nodes=nodes,
            zones=min(nodes, 3),
            kinds=[Kind(count=10, cores=2)],
            caches=Caches(handshake_ms=0.5),
            origin=Origin(cores=24),
            load=Load(rate=rate, keys=2_000),
            clients=Clients(retries=1),
            profiles=[
                Profile(name='read', goal_s=0.5, limit_s=2.0, work_ms=20, share=0.92),
                Profile(
                    name='note',
                    effect='guarded',
                    write=True,
                    goal_s=0.6,
                    limit_s=2.5,
                    work_ms=30,
                    share=0.08,
                    revenue=4,
                ),
            ],
            planning=Planning(planners=planners, lease_s=1.0, span_s=span),
            events=sorted(events, key=lambda event: event.at_s),
        )
    )


def played(task):
    """One run: its figures, what was broken, and of the first trouble's servers: hops that came there
    meanwhile, and when half and all of the forwarders acted on them, seconds from its start; harsh words on
    servers that nothing ailed."""
    name, form, seed, nodes, rate, length = task
    given = day(name, form, nodes, rate, length)
    outcome = runs.one(given, seed, rows=True, hashed=False)
    case = Case(given, outcome.rows)
    bad, first, lost, wrong = defaultdict(list), defaultdict(dict), 0, set()
    names = list(dict.fromkeys(row[2] for row in case.rows_by_kind['server']))
    for kind, what, begin, end in case.faults:
        for number in what if kind in ('slow', 'hung', 'garbled', 'crash') else ():
            bad[names[int(number)]].append((begin, end))
    for row in case.rows_by_kind['hop']:
        lost += any(begin + 500_000 <= row[1] <= end for begin, end in bad.get(row[3], ()))
    for word in held.words(case):
        if word.harsh:
            spell = next(
                (
                    spell
                    for spell in bad.get(word.server, ())
                    if spell[0] <= word.begin <= spell[1] + 4_000_000
                ),
                None,
            )
            if spell is None:
                wrong.add((word.node, word.server))
            else:
                first[word.server, spell[0]].setdefault(word.node, (word.begin - spell[0]) / 1e6)
    acts = [sorted(times.values()) for times in first.values()]
    return dict(
        outcome.figures,
        lost=lost,
        wrong=len(wrong) * 60 / length,
        half=mean(times[nodes // 2] for times in acts if len(times) > nodes // 2)
        if any(len(times) > nodes // 2 for times in acts)
        else None,
        whole_fleet=mean(times[-1] for times in acts if len(times) == nodes)
        if any(len(times) == nodes for times in acts)
        else None,
        broken=sorted({rule for rule, _, _ in outcome.broken}),
    )


@click.command()
@click.option('--nodes', type=click.IntRange(2, 400), default=40, show_default=True)
@click.option('--seeds', type=click.IntRange(1, 100), default=4, show_default=True)
@click.option('--rate', default=600.0, show_default=True)
@click.option('--length', default=15.0, show_default=True)
@click.option('--days', default=','.join(DAYS), show_default=True)
@click.option('--forms', default=','.join(FORMS), show_default=True)
@click.option('--jobs', type=click.IntRange(0), default=0)
def main(nodes, seeds, rate, length, days, forms, jobs):
    """Print, for each day in each form: G, revenue in goal, hops a transaction, hops that came to servers in
    trouble, wrong words a minute, and seconds until half and all forwarders acted on a trouble."""
    days, forms = days.split(','), forms.split(',')
    tasks = [
        (name, form, seed, nodes, rate, length) for name in days for form in forms for seed in range(seeds)
    ]
    with ProcessPoolExecutor(runs.cores(jobs)) as pool:
        found = dict(zip(tasks, pool.map(played, tasks)))
    click.echo(
        '%d nodes, %g a second, %d seeds: G, in goal, hops a transaction, hops to bad servers, wrong words (a forwarder on a server) a minute, until half, until all'
        % (nodes, rate, seeds)
    )
    for name in days:
        for form in forms:
            told = [found[name, form, seed, nodes, rate, length] for seed in range(seeds)]
            times = [
                [figures[field] for figures in told if figures[field] is not None]
                for field in ('half', 'whole_fleet')
            ]
            click.echo(
                '%-9s %-9s %.3f %.3f %.2f %5.0f %4.1f %s'
                % (
                    name,
                    form,
                    *(
                        mean(figures[field] for figures in told)
                        for field in ('G', 'whole', 'hops_per_transaction', 'lost', 'wrong')
                    ),
                    ' '.join('%.2f s' % mean(row) if row else '-' for row in times),
                )
            )
    broken = sorted(
        {
            '%s in %s' % (', '.join(figures['broken']), '/'.join(map(str, task[:3])))
            for task, figures in found.items()
            if figures['broken']
        }
    )
    click.echo('broken rules: %s' % ('; '.join(broken) or 'none'))


if __name__ == '__main__':
    main()

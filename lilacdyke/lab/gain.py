"""Measures the benefit of verdicts: the same scenarios without verdicts, with verdicts, with planners killed
in turn, and with a single node that observes everything.

Only runs of the same seed are compared.

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

KILL_INTERVAL = 1.2  # seconds between kills of planners
SCENARIO_EVENTS = {
    'calm': [],
    'slow': [Event(at_s=2, kind='slow', count=2, for_s=8, size=6)],
    'hung': [Event(at_s=2, kind='hung', count=2, for_s=8)],
    'failing': [Event(at_s=2, kind='garbled', count=2, for_s=8, size=10)],
    'flapping': [Event(at_s=2 + 3 * number, kind='hung', what=[4, 7], for_s=1.5) for number in range(4)],
    'crash': [Event(at_s=2, kind='crash', count=2, for_s=5)],
    'deploy': [Event(at_s=2, kind='deploy', for_s=8, size=5)],
}
VARIANTS = ('alone', 'verdicts', 'killed', 'one node')


def build_scenario(name, form, nodes, rate, length):
    """Return the scenario of a day in one form."""
    events, planners, span = list(SCENARIO_EVENTS[name]), 3, 3.0
    if form == 'alone':
        span = 0.0
    elif form == 'one node':
        nodes, planners, span = 1, 0, 0.0
    elif form == 'killed':
        events += [
            Event(
                at_s=round(0.5 + KILL_INTERVAL * number, 2), kind='kill_planner', what=[number % 3], for_s=0.4
            )
            for number in range(int((length - 1) / KILL_INTERVAL))
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


def play_run(task):
    """Play one run; return its figures and violations, the hops sent to faulty servers, the mean seconds
    from a fault until half and all of the forwarders acted on it, and the rate of restraining verdicts on
    healthy servers."""
    name, form, seed, nodes, rate, length = task
    given = build_scenario(name, form, nodes, rate, length)
    outcome = runs.one(given, seed, rows=True, hashed=False)
    case = Case(given, outcome.rows)
    bad, first, hops_to_faulty, wrong_verdicts = defaultdict(list), defaultdict(dict), 0, set()
    names = list(dict.fromkeys(row[2] for row in case.rows_by_kind['server']))
    for kind, what, begin, end in case.faults:
        for number in what if kind in ('slow', 'hung', 'garbled', 'crash') else ():
            bad[names[int(number)]].append((begin, end))
    for row in case.rows_by_kind['hop']:
        hops_to_faulty += any(begin + 500_000 <= row[1] <= end for begin, end in bad.get(row[3], ()))
    for verdict in held.active_verdicts(case):
        if verdict.is_restraining:
            fault = next(
                (
                    fault
                    for fault in bad.get(verdict.server, ())
                    if fault[0] <= verdict.begin <= fault[1] + 4_000_000
                ),
                None,
            )
            if fault is None:
                wrong_verdicts.add((verdict.node, verdict.server))
            else:
                first[verdict.server, fault[0]].setdefault(verdict.node, (verdict.begin - fault[0]) / 1e6)
    delays = [sorted(times.values()) for times in first.values()]
    return dict(
        outcome.figures,
        lost=hops_to_faulty,
        wrong=len(wrong_verdicts) * 60 / length,
        half=mean(times[nodes // 2] for times in delays if len(times) > nodes // 2)
        if any(len(times) > nodes // 2 for times in delays)
        else None,
        whole_fleet=mean(times[-1] for times in delays if len(times) == nodes)
        if any(len(times) == nodes for times in delays)
        else None,
        broken=sorted({rule for rule, _, _ in outcome.broken}),
    )


@click.command()
@click.option('--nodes', type=click.IntRange(2, 400), default=40, show_default=True)
@click.option('--seeds', type=click.IntRange(1, 100), default=4, show_default=True)
@click.option('--rate', default=600.0, show_default=True)
@click.option('--length', default=15.0, show_default=True)
@click.option('--days', default=','.join(SCENARIO_EVENTS), show_default=True)
@click.option('--forms', default=','.join(VARIANTS), show_default=True)
@click.option('--jobs', type=click.IntRange(0), default=0)
def main(nodes, seeds, rate, length, days, forms, jobs):
    """Print for each day in each form: G, revenue in goal, hops per transaction, hops to faulty servers,
    wrong verdicts per minute, and seconds until half and all forwarders acted on a fault."""
    days, forms = days.split(','), forms.split(',')
    tasks = [
        (name, form, seed, nodes, rate, length) for name in days for form in forms for seed in range(seeds)
    ]
    with ProcessPoolExecutor(runs.cores(jobs)) as pool:
        found = dict(zip(tasks, pool.map(play_run, tasks)))
    click.echo(
        '%d nodes, %g a second, %d seeds: G, in goal, hops a transaction, hops to bad servers, wrong words (a forwarder on a server) a minute, until half, until all'
        % (nodes, rate, seeds)
    )
    for name in days:
        for form in forms:
            results = [found[name, form, seed, nodes, rate, length] for seed in range(seeds)]
            times = [
                [figures[field] for figures in results if figures[field] is not None]
                for field in ('half', 'whole_fleet')
            ]
            click.echo(
                '%-9s %-9s %.3f %.3f %.2f %5.0f %4.1f %s'
                % (
                    name,
                    form,
                    *(
                        mean(figures[field] for figures in results)
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

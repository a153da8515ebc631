"""Figures of fleets with planners, in simulated time: what is served when all ask at one node, and how long a lowered limit takes to hold.

Owns the two measurements and their tables; a run is played and judged as any other. Must never leave a broken rule out.

    python -m lilacdyke.lab.measure demand --nodes 5 --nodes 40
    python -m lilacdyke.lab.measure lowered --seeds 20
    python -m lilacdyke.lab.measure cold --nodes 5 --nodes 25 --nodes 200
"""

import time

import click

from . import environment
from .judges import COLD_CHANCE, Case, cold_spells, judge, windows
from .scenario import (
    Bound,
    Caches,
    Clients,
    Event,
    Kind,
    Load,
    Origin,
    Planning,
    Profile,
    Rules,
    Scenario,
    check,
)

LENGTH, ONE = 16.0, 6.0  # seconds of a run, and when all clients turn to one node


def fleet(nodes, planners, seed, events=(), lease=1.0, rate=None):
    """A fleet that is asked for as much as its one limit lets through, and enough caches for it."""
    rate = rate or max(60.0, 4.0 * nodes)
    return check(
        Scenario(
            name='measure',
            seed=seed,
            length_s=LENGTH,
            nodes=nodes,
            kinds=[Kind(count=8, cores=16)],
            caches=Caches(handshake_ms=0.2, warm_share=1.0),
            origin=Origin(cores=64),
            load=Load(rate=rate, keys=500),
            clients=Clients(retries=0),
            profiles=[Profile(name='read', work_ms=5.0)],
            planning=Planning(planners=planners, lease_s=lease, bounds=[Bound(name='reads', most=rate)]),
            events=list(events),
        )
    )


def played(given, seed):
    """Play and judge: (rows, stage, what was broken)."""
    stage = environment.play(given, seed)
    return stage.recorder.rows, stage, judge(given, stage.recorder.rows)


def served_at_one(rows, since, until):
    """The part of what was asked in a span that was served."""
    asked = {row[2] for row in rows if row[0] == 'ask' and since <= row[1] < until}
    return sum(1 for row in rows if row[0] == 'answer' and row[2] in asked and row[3] == 200) / max(
        1, len(asked)
    )


@click.group()
def main():
    """Measurements of fleets with planners."""


@main.command()
@click.option('--nodes', multiple=True, type=int, default=(5, 40))
@click.option('--seed', default=1, show_default=True)
def demand(nodes, seed):
    """All clients turn to one of the forwarders: the part that is served there, and what the links cost."""
    shift = Event(at_s=ONE, kind='shift', what=[0], for_s=LENGTH)
    kills = [
        Event(at_s=ONE - 4 + 1.5 * number, kind='kill_planner', what=[number % 3], for_s=0.3)
        for number in range(9)
    ]
    for count in nodes:
        for name, planners, events in (
            ('alone', 1, [Event(at_s=0.0, kind='kill_planner', what=[0], for_s=99.0), shift]),
            ('planners', 3, [shift]),
            ('planners killed', 3, [shift, *kills]),
        ):
            begun = time.perf_counter()
            rows, stage, broken = played(fleet(count, planners, seed, events, lease=2.0), seed)
            early, late = (
                served_at_one(rows, (0.6 + ONE + begin) * 1e6, (0.6 + ONE + end) * 1e6)
                for begin, end in ((0, 2), (4, 9))
            )
            digests = sum(
                planner_slot.running.planner_process.counts['digests']
                for planner_slot in stage.planner_slots
                if planner_slot.running
            )
            click.echo(
                '%3d forwarders, %-16s served in the first 2 s %.3f, from 4 to 9 s %.3f; %d digests; broken: %d; %.0f s'
                % (count, name + ':', early, late, digests, len(broken), time.perf_counter() - begun)
            )


@main.command()
@click.option('--seeds', default=20, show_default=True)
@click.option('--lease', default=1.0, show_default=True)
def lowered(seeds, lease):
    """A limit is lowered while all is spent: seconds until servers get no more than the new one, plain and
    with a third of the fleet cut off."""
    for name, more in (
        ('all reached', []),
        (
            'one half cut off from all planners',
            [Event(at_s=ONE - 0.02, kind='part_planner', what=[0, 1, 2], for_s=99.0)],
        ),
    ):
        took, wrong = [], 0
        for seed in range(1, seeds + 1):
            given = fleet(
                6,
                3,
                seed,
                [
                    Event(at_s=0.0, kind='burst', for_s=99.0, size=2.0),
                    Event(at_s=ONE, kind='lower', for_s=99.0, size=6.0),
                    *more,
                ],
                lease,
                300.0,
            )
            rows, _, broken = played(given, seed)
            wrong += len(broken)
            took.append(until_held(Case(given, rows)))
        took.sort()
        click.echo(
            '%s: median %.2f s, most %.2f s, in %d runs with leases of %g s; broken: %d'
            % (name, took[len(took) // 2], took[-1], seeds, lease, wrong)
        )


def until_held(case):
    """From when a limit was lowered until the last half second in which servers got more than it, the burst
    and one each beyond it."""
    (_, at, _, most), first = case.by['limit'][-1], {}
    for row in case.by['hop']:
        first[row[4]] = min(first.get(row[4], row[7]), row[7])
    times = sorted(first.values())
    last, tail = at, 0
    for index, when in enumerate(times):
        while times[tail] <= when - 500_000:
            tail += 1
        if when > at + 500_000 and index - tail + 1 > most * 0.6 + case.scenario.nodes:
            last = when
    return (last - at) / 1e6


@main.command()
@click.option('--nodes', multiple=True, type=int, default=(5, 25, 200))
@click.option('--seeds', default=3, show_default=True)
@click.option(
    '--multiple', default=2.0, show_default=True, help='of what a cold server can do, at which it falls over'
)
def cold(nodes, seeds, multiple):
    """What all nodes together send to cold servers in a window, against the budget N and the chance of 2 x
    root of N + 2; 1 is a fall. Half of a busy fleet is replaced by servers that the list tells. One that
    stands at another's address before it does is no case of this: who has not been told sends to it as to a
    warm one."""
    deploy = Event(at_s=2.5, kind='deploy', count=2, for_s=6.0, size=5.0)
    for count in nodes:
        third = -(-count // 3)
        for name, events in (
            ('even', []),
            ('a burst', [Event(at_s=3.5, kind='burst', for_s=6.0, size=1.6)]),
            (
                'at a third of the nodes, then at another',
                [
                    Event(at_s=1.0, kind='shift', what=list(range(third)), for_s=3.5),
                    Event(at_s=4.6, kind='shift', what=list(range(count - third, count)), for_s=7.0),
                ],
            ),
            (
                'a burst, and seven in ten restarted',
                [
                    Event(at_s=3.5, kind='burst', for_s=6.0, size=1.6),
                    Event(at_s=4.2, kind='kill', count=max(1, 7 * count // 10), for_s=0.5),
                ],
            ),
        ):
            most, budget, wrong = 0.0, 0.0, 0
            for seed in range(1, seeds + 1):
                given = check(
                    Scenario(
                        name='cold',
                        seed=seed,
                        length_s=12.0,
                        nodes=count,
                        kinds=[Kind(count=10, cores=2)],
                        load=Load(rate=900.0, keys=4_000),
                        profiles=[Profile(name='read', work_ms=15.0)],
                        clients=Clients(retries=1),
                        rules=Rules(fall_multiple=multiple, fall_s=1.5, cold_from=0.1, warm_s=8.0),
                        events=[deploy, *events],
                    )
                )
                rows, _, broken = played(given, seed)
                wrong += sum(found.rule == 'pushed' for found in broken)
                for _, came, *spell in cold_spells(Case(given, rows)):
                    for _, load, calls, _, able in windows(came, *spell, given.rules):
                        allowed = multiple * able * calls / load
                        part = calls / (allowed + COLD_CHANCE * (allowed**0.5 + 1))
                        if part > most:
                            most, budget = part, allowed
            click.echo(
                '%3d nodes, %s: %.2f of what makes a fall, at a budget of %.0f; pushed: %d in %d runs'
                % (count, name, most, budget, wrong, seeds)
            )


if __name__ == '__main__':
    main()

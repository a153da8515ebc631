"""Measurements of simulated fleets with planners: service when all clients use one node, the delay of lowered
limits, and the load of cold servers.

Runs are played and checked like any other, and violations are printed with the figures.

    python -m lilacdyke.lab.measure demand --nodes 5 --nodes 40
    python -m lilacdyke.lab.measure lowered --seeds 20
    python -m lilacdyke.lab.measure cold --nodes 5 --nodes 25 --nodes 200
"""

import time

import click

from . import environment
from .judges import COLD_ROOT_FACTOR, Case, cold_periods, judge, load_windows
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

LENGTH_S, SHIFT_AT = 16.0, 6.0  # seconds: length of a run, and when all clients move to one node


def build_scenario(nodes, planners, seed, events=(), lease=1.0, rate=None):
    """Return a scenario whose load equals its only limit, with sufficient cache servers."""
    rate = rate or max(60.0, 4.0 * nodes)
    return check(
        Scenario(
            name='measure',
            seed=seed,
            length_s=LENGTH_S,
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


def play_run(given, seed):
    """Play and check a scenario; return (rows, stage, violations)."""
    stage = environment.play(given, seed)
    return stage.recorder.rows, stage, judge(given, stage.recorder.rows)


def served_share(rows, since, until):
    """Return the share of the requests made in [since, until) that were served."""
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
    """All clients move to one forwarder: print the share served there and the number of digests."""
    shift = Event(at_s=SHIFT_AT, kind='shift', what=[0], for_s=LENGTH_S)
    kills = [
        Event(at_s=SHIFT_AT - 4 + 1.5 * number, kind='kill_planner', what=[number % 3], for_s=0.3)
        for number in range(9)
    ]
    for count in nodes:
        for name, planners, events in (
            ('alone', 1, [Event(at_s=0.0, kind='kill_planner', what=[0], for_s=99.0), shift]),
            ('planners', 3, [shift]),
            ('planners killed', 3, [shift, *kills]),
        ):
            begun = time.perf_counter()
            rows, stage, broken = play_run(build_scenario(count, planners, seed, events, lease=2.0), seed)
            early, late = (
                served_share(rows, (0.6 + SHIFT_AT + begin) * 1e6, (0.6 + SHIFT_AT + end) * 1e6)
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
    """Lower a fully used limit: print the seconds until servers get no more than the new one, with and
    without half of the fleet cut off from the planners."""
    for name, more in (
        ('all reached', []),
        (
            'one half cut off from all planners',
            [Event(at_s=SHIFT_AT - 0.02, kind='part_planner', what=[0, 1, 2], for_s=99.0)],
        ),
    ):
        took, violations = [], 0
        for seed in range(1, seeds + 1):
            given = build_scenario(
                6,
                3,
                seed,
                [
                    Event(at_s=0.0, kind='burst', for_s=99.0, size=2.0),
                    Event(at_s=SHIFT_AT, kind='lower', for_s=99.0, size=6.0),
                    *more,
                ],
                lease,
                300.0,
            )
            rows, _, broken = play_run(given, seed)
            violations += len(broken)
            took.append(seconds_until_held(Case(given, rows)))
        took.sort()
        click.echo(
            '%s: median %.2f s, most %.2f s, in %d runs with leases of %g s; broken: %d'
            % (name, took[len(took) // 2], took[-1], seeds, lease, violations)
        )


def seconds_until_held(case):
    """Return the seconds from the lowering of a limit to the last half second in which servers got more than
    it, with a tolerance of the burst and one request per node."""
    (_, at, _, most), first = case.rows_by_kind['limit'][-1], {}
    for row in case.rows_by_kind['hop']:
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
    '--multiple',
    default=2.0,
    show_default=True,
    help='load at which a cold server fails, as a multiple of its capacity',
)
def cold(nodes, seeds, multiple):
    """Print the largest load of cold servers in a window, as a share of the budget N plus the tolerance
    2 * (sqrt(N) + 1); 1 is an overload. Half of a busy fleet is replaced by servers that discovery announces.
    Servers that take over an address before they are announced are not covered: nodes send to them as if they
    were warm."""
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
            most, budget, violations = 0.0, 0.0, 0
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
                rows, _, broken = play_run(given, seed)
                violations += sum(found.rule == 'pushed' for found in broken)
                for _, came, *spell in cold_periods(Case(given, rows)):
                    for _, load, calls, _, able in load_windows(came, *spell, given.rules):
                        allowed = multiple * able * calls / load
                        part = calls / (allowed + COLD_ROOT_FACTOR * (allowed**0.5 + 1))
                        if part > most:
                            most, budget = part, allowed
            click.echo(
                '%3d nodes, %s: %.2f of what makes a fall, at a budget of %.0f; pushed: %d in %d runs'
                % (count, name, most, budget, violations, seeds)
            )


if __name__ == '__main__':
    main()

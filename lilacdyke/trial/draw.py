"""Draws trials from seeds: a small fleet of real processes, limits, and a timeline of faults.

The drawn sizes must stay within what a CI machine can run.
"""

from random import Random

from msgspec.structs import replace

from ..lab.scenario import (
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

KINDS = {
    'way_cut': 4,
    'way_tear': 2,
    'way_late': 3,
    'way_thin': 2,
    'way_reset': 3,
    'way_refuse': 2,
    'way_replay': 2,
    'starve': 1,
    'kill_planner': 4,
    'stop_planner': 3,
    'part_planner': 2,
    'cut_planner': 2,
    'late_planner': 2,
    'lower': 3,
    'shift': 4,
    'kill': 3,
    'term': 2,
    'standstill': 3,
    'burst': 2,
}
# Only for limits on open requests: limits on rates are measured on arrival at the servers, where delayed
# bytes would arrive as a burst.
SERVER_LINK_KINDS = {'cut': 3, 'delay': 2, 'silence': 1, 'cut_watch': 1}
SIZE_RANGES = {
    'delay': (5, 60),
    'way_cut': (0, 3),
    'way_tear': (0, 3),
    'way_late': (0.1, 3),
    'way_thin': (0, 5),
    'late_planner': (0.1, 3),
    'lower': (1, 8),
    'burst': (1.5, 3),
}
LEASE_S = 0.5
KILL_STEPS = (
    '>plan.ledger:PlannerLedger.record_deposits',
    '>plan.planner:Planner.process_digest',
    '<plan.ledger:PlannerLedger.plan',
)


def scenario(seed, kinds=None, most=5, length=6.0):
    """Return the trial of a seed. kinds: weight of each kind of fault in its timeline."""
    rng = Random('trial/%d' % seed)
    rate = rng.choice([60.0, 100.0])
    bounds = [
        rng.choice(
            [
                Bound(name='reads', most=round(rate * rng.uniform(0.4, 0.8)), profile='read'),
                Bound(name='reads', most=round(rate * rng.uniform(0.4, 0.8))),
                Bound(name='open', most=rng.randint(3, 8), what='open'),
                Bound(name='fetches', most=round(rate * rng.uniform(0.1, 0.3)), what='fetches'),
            ]
        )
    ]
    if rng.random() < 0.4:
        bounds.append(Bound(name='links', most=rng.randint(9, 20), what='links'))
    kinds, events = dict(kinds or KINDS), []
    if bounds[0].what == 'open':
        kinds.update(SERVER_LINK_KINDS)
    names = sorted(kinds)
    for _ in range(rng.randint(2, most)):
        kind = rng.choices(names, [kinds[name] for name in names])[0]
        low, high = SIZE_RANGES.get(kind, (4, 4))
        span = rng.uniform(0.3, 10 * LEASE_S if kind in ('stop_planner', 'standstill') else 3.0)
        events.append(
            Event(
                at_s=round(rng.uniform(0.3, length * 0.7), 2),
                kind=kind,
                count=rng.choice([1, 1, 2]),
                for_s=round(span, 2),
                size=round(rng.uniform(low, high), 2),
            )
        )
    return check(
        Scenario(
            name='trial-%d' % seed,
            seed=seed,
            length_s=length,
            nodes=3,
            zones=2,
            kinds=[Kind(count=3, cores=4)],
            caches=Caches(handshake_ms=0.2),
            origin=Origin(cores=16),
            load=Load(rate=rate, keys=200),
            profiles=[
                Profile(name='read', work_ms=8.0, goal_s=0.75, limit_s=1.5, share=0.9),
                Profile(name='note', effect='guarded', write=True, work_ms=8.0, limit_s=1.5, share=0.1),
            ],
            clients=Clients(retries=1, fresh=0.05, notice_s=0.5),
            rules=Rules(warm_s=5.0),
            planning=Planning(planners=3, lease_s=LEASE_S, seats=3, bounds=bounds),
            events=sorted(events, key=lambda event: event.at_s),
        )
    )


def planner_kills(base):
    """Kill planners a hundred times under constant load; each restarts shortly after without its state."""
    events = [
        Event(at_s=round(0.3 + 0.1 * number, 2), kind='kill_planner', what=[number % 3], for_s=0.05)
        for number in range(100)
    ]
    return replace(
        base,
        length_s=11.0,
        events=events,
        planning=replace(base.planning, bounds=[Bound(name='reads', most=60.0, profile='read')]),
    )


def mixed_link_faults(base):
    """Truncate, throttle, delay, reset, refuse and replay on all links in turn, between planner kills."""
    names = ('way_tear', 'way_thin', 'way_replay', 'way_late', 'way_reset', 'way_refuse', 'kill_planner')
    return replace(
        base,
        length_s=9.0,
        events=[
            Event(
                at_s=round(0.4 + 0.35 * number, 2),
                kind=names[number % len(names)],
                count=3,
                for_s=0.6,
                size=1.5,
            )
            for number in range(20)
        ],
    )


def no_faults(base):
    """Inject no faults, under a limit far above the load: the baseline latency of requests."""
    return replace(
        base,
        length_s=10.0,
        events=[],
        planning=replace(base.planning, bounds=[Bound(name='reads', most=2_000.0)]),
    )


def constant_link_faults(base):
    """Inject link faults all the time, under the same limit: the latency that they add."""
    return replace(mixed_link_faults(base), length_s=10.0, planning=no_faults(base).planning)


# Faults of servers and their links, besides those of planners.
VERDICT_KINDS = {
    'slow': 4,
    'hung': 4,
    'garbled': 2,
    'crash': 2,
    'refuse': 2,
    'cut': 3,
    'delay': 2,
    'suspend': 1,
    'drain': 1,
    'way_cut': 3,
    'way_tear': 1,
    'way_late': 3,
    'way_thin': 1,
    'way_reset': 2,
    'way_replay': 2,
    'kill_planner': 3,
    'stop_planner': 3,
    'part_planner': 2,
    'cut_planner': 2,
    'late_planner': 3,
    'kill': 2,
    'term': 1,
    'standstill': 2,
    'starve': 1,
    'shift': 2,
    'site_cut': 4,
}


def server_verdicts(base):
    """Two sites with verdicts on servers, and mostly faults of servers and links."""
    rng = Random('watched/%d' % base.seed)
    names, events = sorted(VERDICT_KINDS), []
    for _ in range(rng.randint(2, 5)):
        kind = rng.choices(names, [VERDICT_KINDS[name] for name in names])[0]
        low, high = SIZE_RANGES.get(
            kind,
            (0, 3)
            if kind == 'site_cut'
            else (10, 60)
            if kind == 'slow'
            else (10, 10)
            if kind == 'garbled'
            else (4, 4),
        )
        longest = 10 * LEASE_S if kind in ('stop_planner', 'standstill') else 3.0
        events.append(
            Event(
                at_s=round(rng.uniform(0.3, 5.5), 2),
                kind=kind,
                count=rng.choice([1, 1, 2]),
                for_s=round(rng.uniform(0.5, longest), 2),
                size=round(rng.uniform(low, high), 2),
            )
        )
    bounds = [Bound(name='tries', what='tries', most=2.0)] if rng.random() < 0.3 else []
    return replace(
        base,
        length_s=8.0,
        nodes=4,
        kinds=[Kind(count=6, cores=4)],
        load=Load(rate=120.0, keys=300),
        events=sorted(events, key=lambda event: event.at_s),
        planning=replace(base.planning, seats=4, bounds=bounds, span_s=rng.choice([1.2, 1.5, 2.0])),
    )


NAMED = {
    'watched': server_verdicts,
    'kills': planner_kills,
    'absurd': mixed_link_faults,
    'calm': no_faults,
    'links': constant_link_faults,
}


def scenario_for(seed, fit):
    """Return the trial of a seed. fit: a predefined trial, a mutant whose faults it gets, or None."""
    if fit is None:
        return scenario(seed)
    if fit in NAMED:
        return check(NAMED[fit](scenario(seed)))
    from ..lab.mutants import MUTANTS

    return check(MUTANTS[fit].fit(scenario(seed)))


def process_faults(seed, trial_scenario):
    """Return the launcher's faults by process name: clock rates up to 5 % apart, steps of the wall clock, and
    planners that are killed between two operations, such as after recording a deposit and before lending
    it."""
    rng = Random('bends/%d' % seed)
    names = ['n%d' % number for number in range(trial_scenario.nodes)] + [
        'p%d' % number for number in range(trial_scenario.planning.planners)
    ]
    found = {}
    for name in names:
        if rng.random() < 0.4:
            found[name] = {'rate': rng.choice([0.976, 1.024])}  # relative to real time
        if rng.random() < 0.2:
            found.setdefault(name, {})['jumps'] = [[rng.uniform(1, 5), rng.choice([-3600.0, 3600.0, -1.0])]]
        if name[0] == 'p' and rng.random() < 0.25:
            found.setdefault(name, {})['dies'] = {rng.choice(KILL_STEPS): rng.randint(2, 60)}
    return found

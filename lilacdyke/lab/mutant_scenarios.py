"""What mutants are played with where drawn scenarios alone come there too seldom.

Each function makes a drawn scenario fit. Must never know which judge is to catch what.
"""

from msgspec.structs import replace

from .scenario import Bound, Event


def stepped_back(made):
    """The wall clock of all nodes goes back by some seconds, and nothing else is wrong."""
    return replace(made, events=[Event(at_s=1.0, kind='step', what=list(range(made.nodes)), size=-3.0)])


def cannot_connect(made):
    """No connection can be made at any node for two seconds; there is one server, and connections do not rest
    for long."""
    nodes = list(range(made.nodes))
    return replace(
        made,
        length_s=8.0,
        kinds=[replace(made.kinds[0], count=1, cores=4, speed=1.0, connections=600)],
        load=replace(made.load, rate=30.0, write_bytes=100, large_share=0.0),
        caches=replace(made.caches, idle_s=0.2, mode='through', warm_share=1.0),
        events=[Event(at_s=2.0, kind='calls', what=nodes, for_s=2.0, size=1.0)],
    )


def crowd_cold(made):
    """Small fresh servers among busy ones."""
    kind = replace(made.kinds[0], count=6, cores=1, queue=200, connections=4000)
    mean = sum(p.share * p.work_ms for p in made.profiles) / sum(p.share for p in made.profiles) / 1_000
    return replace(
        made,
        kinds=[kind],
        tenants=[],
        load=replace(made.load, rate=round(0.7 * 6 * kind.speed / mean, 1)),
        rules=replace(made.rules, cold_from=0.13, fall_multiple=3.0, fall_s=1.0, warm_s=20.0),
        clients=replace(made.clients, rude=0.0, leave=0.0),
        origin=replace(made.origin, cores=12),
        events=[Event(at_s=1.0, kind='crash', count=2, for_s=0.5)],
    )


def late_repeat(made):
    """Servers that run a write, say nothing for longer than the window, and die."""
    rows = [replace(p, window_s=0.3, group='all') if p.effect == 'guarded' else p for p in made.profiles]
    return replace(
        made,
        profiles=rows,
        caches=replace(made.caches, mode='through'),
        events=[
            Event(at_s=1.0, kind='hung', what=[0, 1], for_s=3.0),
            Event(at_s=1.8, kind='crash', what=[0, 1], for_s=1.0),
        ],
    )


def walking_out(made):
    """Nodes that stand still while clients ask and leave, with so much time that nothing is late."""
    rows = [replace(p, goal_s=4.0, limit_s=6.0) for p in made.profiles]
    return replace(
        made,
        length_s=8.0,
        profiles=rows,
        load=replace(made.load, rate=60.0),
        clients=replace(made.clients, leave=0.5),
        events=[Event(at_s=at, kind='standstill', count=made.nodes, for_s=1.4) for at in (1.0, 4.0)],
    )


def apart(made):
    """Groups by site, and answers that are lost."""
    rows = [replace(p, window_s=2.5, group='zone') if p.effect == 'guarded' else p for p in made.profiles]
    return replace(
        made,
        profiles=rows,
        zones=3,
        caches=replace(made.caches, mode='through'),
        events=[Event(at_s=0.5, kind='halved', count=3, for_s=5.0, size=6.0)],
    )


def unheard(made):
    """Drains while discovery is silent."""
    return replace(
        made,
        length_s=9.0,
        load=replace(made.load, rate=80.0),
        discovery=replace(made.discovery, lag_s=[0.1, 0.2]),
        rules=replace(made.rules, told_s=1.0),
        events=[
            Event(at_s=1.0, kind='silence', count=made.nodes, for_s=4.5),
            Event(at_s=2.0, kind='drain', count=2, for_s=30.0),
        ],
    )


def cold_back(made):
    """The same, called back by staff."""
    return replace(crowd_cold(made), events=[Event(at_s=1.0, kind='suspend', count=2, for_s=1.0)])


def unheard_where_asked(made):
    """The same, where lists are asked for."""
    made = unheard(made)
    return replace(made, discovery=replace(made.discovery, mode='on_request'))


def stumbling(made):
    """Clients that leave while nodes stand still, again and again, for a fifth of a second."""
    made = walking_out(made)
    return replace(
        made,
        load=replace(made.load, rate=200.0),
        events=[
            Event(at_s=0.5 + 0.5 * number, kind='standstill', count=made.nodes, for_s=0.2)
            for number in range(14)
        ],
    )


def long_answers(made):
    """Answers of 150 kB that take longer than their limit to come, from well before it."""
    rows = [replace(p, goal_s=0.4, limit_s=0.8, work_ms=5.0) for p in made.profiles]
    return replace(
        made,
        length_s=6.0,
        profiles=rows,
        tenants=[],
        events=[],
        clients=replace(made.clients, rude=0.0, leave=0.0, slow_read=0.0),
        caches=replace(made.caches, mode='aside', give_ms=900.0),
        load=replace(made.load, rate=30.0, value_bytes=150_000),
    )


def long_answers_untold(made):
    """The same, of no told length: less than 64 KiB of each are here at its limit."""
    made = long_answers(made)
    return replace(made, caches=replace(made.caches, untold=1.0, give_ms=2_400.0))


def long_requests(made):
    """Writes of 150 kB, to servers of which none takes a connection for a while."""
    rows = [replace(p, goal_s=0.3, limit_s=0.6, work_ms=5.0) for p in made.profiles]
    return replace(
        made,
        length_s=8.0,
        profiles=rows,
        tenants=[],
        clients=replace(made.clients, rude=0.0, leave=0.0, slow_read=0.0),
        caches=replace(made.caches, mode='through'),
        load=replace(made.load, rate=40.0, write_bytes=150_000),
        events=[Event(at_s=1.0 + 2.0 * number, kind='deaf', count=99, for_s=1.2) for number in range(3)],
    )


def out_by_hand(made):
    """Servers out by hand for most of a run, among slow ones."""
    return replace(
        made,
        events=[
            Event(at_s=0.5, kind='suspend', count=2, for_s=4.0),
            Event(at_s=0.5, kind='slow', count=2, for_s=4.0, size=6.0),
        ],
    )


def emptied(made):
    """A node emptied for a while, after a burst that leaves many connections resting."""
    return replace(
        made,
        length_s=8.0,
        load=replace(made.load, rate=60.0),
        events=[
            Event(at_s=0.2, kind='burst', for_s=0.8, size=5.0),
            Event(at_s=1.1, kind='away', count=1, for_s=5.0),
        ],
        clients=replace(made.clients, fresh=0.0, rude=0.0),
    )


def declining(made):
    """Servers that turn away all that would wait."""
    kind = replace(made.kinds[0], count=9, cores=1, queue=0)
    return replace(
        made,
        kinds=[kind],
        load=replace(made.load, rate=100.0),
        rules=replace(made.rules, max_hops=3),
        events=[],
    )


def guarded(*events, **more):
    """A fleet of two sites with verdicts, whose traffic shows soon what is bad, and that lasts long enough to
    see its end."""

    def fit(made):
        return replace(
            made,
            length_s=10.0,
            nodes=more.get('nodes', 6),
            zones=2,
            kinds=[replace(made.kinds[0], count=more.get('caches', 10), cores=4, speed=1.0)],
            load=replace(made.load, rate=more.get('rate', 160.0), keys=400),
            caches=replace(made.caches, mode='aside', pause_every_s=0.0),
            origin=replace(made.origin, cores=16, queue=400),
            profiles=[replace(profile, work_ms=8.0, goal_s=0.6) for profile in made.profiles],
            planning=replace(
                made.planning, planners=3, lease_s=0.4, span_s=1.2, bounds=more.get('bounds', [])
            ),
            events=list(events),
        )

    return fit


RATE = 160.0
HUNG = Event(at_s=1.0, kind='hung', what=[3], for_s=3.0)
MANY = Event(at_s=1.0, kind='hung', what=[1, 3, 6, 8], for_s=5.0)
TURNS = [Event(at_s=1.0 + 1.6 * number, kind='hung', what=[3], for_s=0.8) for number in range(5)]


def bounded(what, most, **more):
    """A fleet with one limit of this kind, and little else that could refuse: most is a part of what is
    asked, or a number."""

    def fit(made):
        bound = Bound(name='limit', what=what, most=round(RATE * most) if most < 1 else most)
        if 'floor' in more:
            bound = replace(bound, floor=bound.most * more['floor'])
        return replace(
            made,
            length_s=more.get('length', 8.0),
            nodes=3,
            planning=replace(
                made.planning,
                planners=3,
                seats=more.get('seats', 3),
                lease_s=more.get('lease', 0.4),
                bounds=[bound],
            ),
            kinds=[replace(made.kinds[0], count=4, cores=4)],
            clients=replace(made.clients, retries=2, wait_ms=100.0),
            load=replace(made.load, rate=RATE),
            caches=replace(made.caches, mode='aside'),
            events=more.get('events', made.events),
        )

    return fit


# One node has all that can be lent as clients turn to the others, and to it as well.
TURN = [
    Event(at_s=0.5, kind='shift', what=[0], for_s=5.5),
    Event(at_s=6.0, kind='burst', for_s=3.0, size=3.0),
]
AWAY = [*TURN, Event(at_s=5.95, kind='part_planner', what=[0, 1, 2], for_s=5.0)]
RESTARTS = [*AWAY, Event(at_s=5.96, kind='kill_planner', what=[0, 1, 2], for_s=0.02)]
HANGING = [
    Event(at_s=0.5, kind='shift', what=[0], for_s=7.0),
    Event(at_s=7.0, kind='slow', count=4, for_s=4.0, size=100.0),
    Event(at_s=7.6, kind='shift', what=[1, 2], for_s=4.0),
    Event(at_s=7.6, kind='burst', for_s=2.0, size=3.0),
]
LOWERED = [Event(at_s=1.0, kind='lower', for_s=30.0, size=5.0)]
PLANNED = ('kill_planner', 'cut_planner', 'burst')
DRAINS = ('drain', 'deploy', 'shrink')

"""Scenarios for mutants that random scenarios would trigger too rarely.

Each function adapts a random scenario, without regard to which check is to detect the mutant.
"""

from msgspec.structs import replace

from .scenario import Bound, Event


def step_clocks_back(base):
    """Step the wall clock of all nodes back by 3 s, with no other fault."""
    return replace(base, events=[Event(at_s=1.0, kind='step', what=list(range(base.nodes)), size=-3.0)])


def fail_connects(base):
    """Let all connects of all nodes fail for two seconds, with one server and a short idle timeout."""
    nodes = list(range(base.nodes))
    return replace(
        base,
        length_s=8.0,
        kinds=[replace(base.kinds[0], count=1, cores=4, speed=1.0, connections=600)],
        load=replace(base.load, rate=30.0, write_bytes=100, large_share=0.0),
        caches=replace(base.caches, idle_s=0.2, mode='through', warm_share=1.0),
        events=[Event(at_s=2.0, kind='calls', what=nodes, for_s=2.0, size=1.0)],
    )


def overload_cold_servers(base):
    """Restart small servers in a busy fleet."""
    kind = replace(base.kinds[0], count=6, cores=1, queue=200, connections=4000)
    mean = sum(p.share * p.work_ms for p in base.profiles) / sum(p.share for p in base.profiles) / 1_000
    return replace(
        base,
        kinds=[kind],
        tenants=[],
        load=replace(base.load, rate=round(0.7 * 6 * kind.speed / mean, 1)),
        rules=replace(base.rules, cold_from=0.13, fall_multiple=3.0, fall_s=1.0, warm_s=20.0),
        clients=replace(base.clients, rude=0.0, leave=0.0),
        origin=replace(base.origin, cores=12),
        events=[Event(at_s=1.0, kind='crash', count=2, for_s=0.5)],
    )


def retry_after_window(base):
    """Let servers run writes, hang for longer than the retry window, and crash."""
    rows = [replace(p, window_s=0.3, group='all') if p.effect == 'guarded' else p for p in base.profiles]
    return replace(
        base,
        profiles=rows,
        caches=replace(base.caches, mode='through'),
        events=[
            Event(at_s=1.0, kind='hung', what=[0, 1], for_s=3.0),
            Event(at_s=1.8, kind='crash', what=[0, 1], for_s=1.0),
        ],
    )


def disconnect_during_pauses(base):
    """Pause nodes while clients send requests and disconnect, with limits too long to be exceeded."""
    rows = [replace(p, goal_s=4.0, limit_s=6.0) for p in base.profiles]
    return replace(
        base,
        length_s=8.0,
        profiles=rows,
        load=replace(base.load, rate=60.0),
        clients=replace(base.clients, leave=0.5),
        events=[Event(at_s=at, kind='standstill', count=base.nodes, for_s=1.4) for at in (1.0, 4.0)],
    )


def group_by_site(base):
    """Set deduplication groups by site, and truncate answers."""
    rows = [replace(p, window_s=2.5, group='zone') if p.effect == 'guarded' else p for p in base.profiles]
    return replace(
        base,
        profiles=rows,
        zones=3,
        caches=replace(base.caches, mode='through'),
        events=[Event(at_s=0.5, kind='halved', count=3, for_s=5.0, size=6.0)],
    )


def silence_discovery(base):
    """Drain servers while discovery is silent."""
    return replace(
        base,
        length_s=9.0,
        load=replace(base.load, rate=80.0),
        discovery=replace(base.discovery, lag_s=[0.1, 0.2]),
        rules=replace(base.rules, told_s=1.0),
        events=[
            Event(at_s=1.0, kind='silence', count=base.nodes, for_s=4.5),
            Event(at_s=2.0, kind='drain', count=2, for_s=30.0),
        ],
    )


def resume_cold(base):
    """Suspend small servers in a busy fleet, and resume them cold."""
    return replace(overload_cold_servers(base), events=[Event(at_s=1.0, kind='suspend', count=2, for_s=1.0)])


def silence_discovery_on_request(base):
    """Drain servers while discovery is silent, with lists fetched on request."""
    base = silence_discovery(base)
    return replace(base, discovery=replace(base.discovery, mode='on_request'))


def disconnect_during_short_pauses(base):
    """Pause nodes for 0.2 s every 0.5 s while clients disconnect."""
    base = disconnect_during_pauses(base)
    return replace(
        base,
        load=replace(base.load, rate=200.0),
        events=[
            Event(at_s=0.5 + 0.5 * number, kind='standstill', count=base.nodes, for_s=0.2)
            for number in range(14)
        ],
    )


def long_answers(base):
    """Send answers of 150 kB that start well before the limit and end after it."""
    rows = [replace(p, goal_s=0.4, limit_s=0.8, work_ms=5.0) for p in base.profiles]
    return replace(
        base,
        length_s=6.0,
        profiles=rows,
        tenants=[],
        events=[],
        clients=replace(base.clients, rude=0.0, leave=0.0, slow_read=0.0),
        caches=replace(base.caches, mode='aside', give_ms=900.0),
        load=replace(base.load, rate=30.0, value_bytes=150_000),
    )


def long_answers_without_length(base):
    """The same without a content length; less than 64 KiB of each answer arrive before the limit."""
    base = long_answers(base)
    return replace(base, caches=replace(base.caches, untold=1.0, give_ms=2_400.0))


def long_requests(base):
    """Send writes of 150 kB while no server accepts connections."""
    rows = [replace(p, goal_s=0.3, limit_s=0.6, work_ms=5.0) for p in base.profiles]
    return replace(
        base,
        length_s=8.0,
        profiles=rows,
        tenants=[],
        clients=replace(base.clients, rude=0.0, leave=0.0, slow_read=0.0),
        caches=replace(base.caches, mode='through'),
        load=replace(base.load, rate=40.0, write_bytes=150_000),
        events=[Event(at_s=1.0 + 2.0 * number, kind='deaf', count=99, for_s=1.2) for number in range(3)],
    )


def start_in_outage(base):
    """Kill nodes while discovery is silent; deadlines are short."""
    rows = [replace(p, goal_s=0.12, limit_s=0.3, work_ms=5.0) for p in base.profiles]
    silence = Event(at_s=0.5, kind='silence', what=list(range(base.nodes)), for_s=6.0)
    kills = [
        Event(at_s=1.0 + 1.5 * number, kind='kill', what=[number % base.nodes], for_s=0.5)
        for number in range(3)
    ]
    return replace(
        base,
        length_s=7.0,
        profiles=rows,
        tenants=[],
        clients=replace(base.clients, rude=0.0, leave=0.0, slow_read=0.0, notice_s=2.0),
        load=replace(base.load, rate=100.0),
        events=[silence, *kills],
    )


def all_slots_taken(base):
    """Give nodes few slots, which requests with long deadlines take while servers hang."""
    long = replace(base.profiles[0], goal_s=0.5, limit_s=3.0, work_ms=5.0, share=0.5)
    short = replace(long, name='short', goal_s=0.15, limit_s=0.3)
    return replace(
        base,
        length_s=6.0,
        nodes=1,
        zones=1,
        profiles=[long, short],
        tenants=[],
        clients=replace(base.clients, rude=0.0, leave=0.0, slow_read=0.0, fresh=0.0),
        limits=replace(base.limits, sockets=48),
        load=replace(base.load, rate=60.0),
        events=[Event(at_s=1.0, kind='hung', count=99, for_s=3.0)],
    )


def suspend_servers(base):
    """Suspend servers for most of the run, among slow ones."""
    return replace(
        base,
        events=[
            Event(at_s=0.5, kind='suspend', count=2, for_s=4.0),
            Event(at_s=0.5, kind='slow', count=2, for_s=4.0, size=6.0),
        ],
    )


def drain_node(base):
    """Drain a node after a burst that leaves many idle connections."""
    return replace(
        base,
        length_s=8.0,
        load=replace(base.load, rate=60.0),
        events=[
            Event(at_s=0.2, kind='burst', for_s=0.8, size=5.0),
            Event(at_s=1.1, kind='away', count=1, for_s=5.0),
        ],
        clients=replace(base.clients, fresh=0.0, rude=0.0),
    )


def decline_requests(base):
    """Use servers without a queue, which decline requests when busy."""
    kind = replace(base.kinds[0], count=9, cores=1, queue=0)
    return replace(
        base,
        kinds=[kind],
        load=replace(base.load, rate=100.0),
        rules=replace(base.rules, max_hops=3),
        events=[],
    )


def with_verdicts(*events, **more):
    """Return a function that adapts a scenario to a fleet of two sites with verdicts and these events. Its
    traffic shows faults soon, and the run outlasts them."""

    def adapt(base):
        return replace(
            base,
            length_s=10.0,
            nodes=more.get('nodes', 6),
            zones=2,
            kinds=[replace(base.kinds[0], count=more.get('caches', 10), cores=4, speed=1.0)],
            load=replace(base.load, rate=more.get('rate', 160.0), keys=400),
            caches=replace(base.caches, mode='aside', pause_every_s=0.0),
            origin=replace(base.origin, cores=16, queue=400),
            profiles=[replace(profile, work_ms=8.0, goal_s=0.6) for profile in base.profiles],
            planning=replace(
                base.planning, planners=3, lease_s=0.4, span_s=1.2, bounds=more.get('bounds', [])
            ),
            events=list(events),
        )

    return adapt


RATE = 160.0
HUNG_SERVER = Event(at_s=1.0, kind='hung', what=[3], for_s=3.0)
HUNG_SERVERS = Event(at_s=1.0, kind='hung', what=[1, 3, 6, 8], for_s=5.0)
REPEATED_HANGS = [Event(at_s=1.0 + 1.6 * number, kind='hung', what=[3], for_s=0.8) for number in range(5)]


def with_limit(what, most, **more):
    """Return a function that adapts a scenario to a fleet with one limit of this kind, and few other reasons
    to refuse. most: a share of the load if under 1, else the limit itself."""

    def adapt(base):
        bound = Bound(name='limit', what=what, most=round(RATE * most) if most < 1 else most)
        if 'floor' in more:
            bound = replace(bound, floor=bound.most * more['floor'])
        return replace(
            base,
            length_s=more.get('length', 8.0),
            nodes=3,
            planning=replace(
                base.planning,
                planners=3,
                seats=more.get('seats', 3),
                lease_s=more.get('lease', 0.4),
                bounds=[bound],
            ),
            kinds=[replace(base.kinds[0], count=4, cores=4)],
            clients=replace(base.clients, retries=2, wait_ms=100.0),
            load=replace(base.load, rate=RATE),
            caches=replace(base.caches, mode='aside'),
            events=more.get('events', base.events),
        )

    return adapt


# One node has borrowed all that can be lent when clients move to the other nodes, too.
BORROW_ALL = [
    Event(at_s=0.5, kind='shift', what=[0], for_s=5.5),
    Event(at_s=6.0, kind='burst', for_s=3.0, size=3.0),
]
AWAY = [*BORROW_ALL, Event(at_s=5.95, kind='part_planner', what=[0, 1, 2], for_s=5.0)]
PLANNER_RESTARTS = [*AWAY, Event(at_s=5.96, kind='kill_planner', what=[0, 1, 2], for_s=0.02)]
HANGING_REQUESTS = [
    Event(at_s=0.5, kind='shift', what=[0], for_s=7.0),
    Event(at_s=7.0, kind='slow', count=4, for_s=4.0, size=100.0),
    Event(at_s=7.6, kind='shift', what=[1, 2], for_s=4.0),
    Event(at_s=7.6, kind='burst', for_s=2.0, size=3.0),
]
LOWER_LIMIT = [Event(at_s=1.0, kind='lower', for_s=30.0, size=5.0)]
PLANNER_FAULTS = ('kill_planner', 'cut_planner', 'burst')
DRAIN_FAULTS = ('drain', 'deploy', 'shrink')

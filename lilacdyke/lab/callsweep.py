"""Sweep of system call failures: plays one short scenario of a node repeatedly, each time with the n-th call
of one kind failing, once or for a second, or with the wall clock stepped at its n-th reading.

Similar to SQLite's I/O error tests. A failing run is identified by its point alone. The only violations
excused are those that the failed call causes by its man page.
"""

import errno
from concurrent.futures import ProcessPoolExecutor

import attrs
from msgspec.structs import replace

from . import draw, environment, runs
from .callfaults import ERRNOS, SOCKET_CALLS, CallFault, CallFaults
from .judges import GUARD_PREFIX, judge
from .scenario import Caches, Clients, Event, Kind, Limits, Load, Origin, Rules, Scenario, check

ONCE, ON = 'once', 'on'  # how calls fail: only the n-th, or all from it on for FAIL_FOR
FAIL_FOR = 1_000_000  # microseconds
STEPS_S = (-3_600.0, -3.0, 3.0, 3_600.0)
WALL = 'wall'
NODE = 'n0'
SEED = 1
# Errors that end a connection by the man page: the client is disconnected through no fault of the node. All
# rules on what is sent still apply.
DISCONNECT_ERRNOS = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE))
NEEDED = frozenset(('accept', 'recv', 'send'))  # calls without which no client can be answered
# Microseconds after the failing second in which late answers are excused: the longest limit and a margin.
LATE_TOLERANCE = 1_500_000
SWEPT_CALLS = tuple(call for call in SOCKET_CALLS if call not in ('epoll_ctl', 'epoll_wait', 'close'))


@attrs.frozen
class Point:
    """The number of a call of one kind with its error, or of a reading of the wall clock with its step."""

    call: str
    number: int
    errno: int = 0
    how: str = ONCE
    step_s: float = 0.0


def scenario():
    """Return a scenario with hedges of a slow server, large bodies in both directions, list changes, a drain,
    SIGHUP, and SIGTERM at the end."""
    read, note = draw.profiles('aside', draw.Random('sweep'))[:2]
    made = Scenario(
        name='call-sweep',
        about='one node and three caches for three seconds, for the sweep of calls',
        seed=SEED,
        length_s=2.5,
        nodes=1,
        kinds=[Kind(name='std', count=3, cores=2, queue=40)],
        profiles=[
            replace(read, goal_s=0.4, limit_s=1.2, work_ms=8.0),
            replace(note, goal_s=0.4, limit_s=1.2, work_ms=8.0, group='all', window_s=1.0),
        ],
        caches=Caches(idle_s=0.5, warm_share=0.9, untold=0.5, give_ms=80.0),
        origin=Origin(cores=4, queue=200),
        load=Load(rate=25.0, keys=100, large_share=0.1, large_bytes=150_000, write_bytes=100_000),
        clients=Clients(retries=0, fresh=0.3),
        rules=Rules(drain_grace_ms=400.0),
        limits=Limits(sockets=256),
        events=[
            Event(at_s=0.6, kind='slow', what=[1], for_s=0.8, size=8.0),
            Event(at_s=1.0, kind='drain', what=[2], for_s=3.0),
            Event(at_s=1.3, kind='hup', what=[0]),
        ],
    )
    return check(made)


def inject(point, seen=None):
    """Return a patch that injects a point's fault into a run; `seen`, if given, receives the call counts."""

    def patch(ground_):
        original = ground_.start_node

        def start_node(place, text):
            running = original(place, text)
            calls = running.process.calls = CallFaults(ground_.clock)
            if seen is not None:
                seen.update(calls=calls.made, machine=running.system)
            if point is not None and point.call == WALL:
                running.system.wall_read = step_on_reading(running.reactor, point)
            elif point is not None:
                rule = build_rule(point, ground_.clock)
                calls.add(rule)
                if seen is not None:
                    seen['rule'] = rule
            return running

        ground_.start_node = start_node

    return patch


def step_on_reading(reactor, point):
    """Return a function that steps a process's wall clock at the point's reading."""

    def read(number):
        if number == point.number:
            reactor.step(point.step_s)

    return read


def build_rule(point, clock):
    """Return the rule of a point."""
    if point.how == ONCE:
        return CallFault(point.call, point.errno, first=point.number, count=1)
    return FailingInterval(point, clock)


class FailingInterval(CallFault):
    """A rule that makes calls fail for FAIL_FOR from the n-th on."""

    __slots__ = ('clock',)

    def __init__(self, point, clock):
        super().__init__(point.call, point.errno, first=point.number)
        self.clock = clock

    def meets(self, now):
        if self.seen + 1 == self.first:
            self.until = now + FAIL_FOR
        return super().meets(now)


def is_excused(point, rule, broken):
    """Return whether a violation follows from the failed call itself: it ended connections, or for a second
    no client could be accepted, read from or written to."""
    if broken.rule == 'faults' and GUARD_PREFIX in broken.text and 'late' in broken.text:
        return point.how == ON and point.call in NEEDED
    if broken.rule != 'answered':
        return False
    if 'its connection ended' in broken.text:
        return point.errno in DISCONNECT_ERRNOS
    late = any(words in broken.text for words in ('late', 'never answered', 'while a server gave'))
    recent = rule is not None and rule.until is not None and broken.when <= rule.until + LATE_TOLERANCE
    return late and point.how == ON and point.call in NEEDED and recent


def play(point):
    """Play the scenario with a point's fault; return the violations that are not excused, as text."""
    made, seen = scenario(), {}
    stage = environment.play(made, SEED, inject(point, seen))
    found = judge(made, stage.recorder.rows)
    return [repr(broken) for broken in found if not is_excused(point, seen.get('rule'), broken)]


def count_calls():
    """Return the number of calls by kind, and of wall clock readings, in a run without faults."""
    seen = {}
    environment.play(scenario(), SEED, inject(None, seen))
    found = {call: seen['calls'][call] for call in SWEPT_CALLS if seen['calls'][call]}
    return {**found, WALL: seen['machine'].wall_readings}


def points(every=1):
    """Yield the points of every `every`-th call of each kind."""
    for call, most in count_calls().items():
        for number in range(1, most + 1, every):
            if call == WALL:
                yield from (Point(call, number, step_s=step) for step in STEPS_S)
                continue
            for error in ERRNOS[call]:
                yield Point(call, number, error, ONCE)
                yield Point(call, number, error, ON)


def sweep(every=1, jobs=0):
    """Play all points; return (number of points, [(point, violations)])."""
    given = list(points(every))
    with ProcessPoolExecutor(runs.cores(jobs), initializer=runs.ignore_sigint) as pool:
        found = list(zip(given, pool.map(play, given, chunksize=8), strict=True))
    return len(given), [(point, broken) for point, broken in found if broken]

"""The sweep of calls: one short fixed scenario of a node, again and again, each time with the n-th call of
one kind failing, once or from there on for a second, or with the wall clock stepped at the n-th reading.

Owns the scenario, the points and how a run is judged, in the manner of SQLite's tests of I/O errors. A run
that fails is told by its point alone. Must never excuse more of a run than the connections that a failed call
ends by its own man page.
"""

import errno
from concurrent.futures import ProcessPoolExecutor

import attrs
from msgspec.structs import replace

from . import draw, environment, runs
from .callfaults import ERRNOS, SOCKET_CALLS, CallFault, CallFaults
from .judges import GUARDED, judge
from .scenario import Caches, Clients, Event, Kind, Limits, Load, Origin, Rules, Scenario, check

ONCE, ON = 'once', 'on'  # how a call fails: that one, or all from there on for a second
ON_FOR = 1_000_000  # microseconds
STEPS_S = (-3_600.0, -3.0, 3.0, 3_600.0)
WALL = 'wall'
NODE = 'n0'
SEED = 1
# What ends a connection by its man page, whoever asks: the client sees its connection end, which is no fault
# of the node's. All rules on what is sent hold all the same.
ENDS_CONNECTION = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE))
NEEDED = frozenset(('accept', 'recv', 'send'))  # calls without which nobody can be answered
LATE_AFTER = 1_500_000  # microseconds after such a second, a longest limit and a little, in which that shows
PLAYED = tuple(call for call in SOCKET_CALLS if call not in ('epoll_ctl', 'epoll_wait', 'close'))


@attrs.frozen
class Point:
    """The how-manieth call of a kind, or reading of the wall clock; what it fails with, or is stepped by."""

    call: str
    number: int
    errno: int = 0
    how: str = ONCE
    step_s: float = 0.0


def scenario():
    """Serve, copies to a slow server, large bodies either way, changes of the list, a drain, SIGHUP, and
    SIGTERM at the end."""
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


def bent(point, seen=None):
    """A patch that brings a point about in a run. seen: filled with the counts of calls, if given."""

    def patch(ground_):
        usual = ground_.start_node

        def start_node(place, text):
            running = usual(place, text)
            calls = running.process.calls = CallFaults(ground_.clock)
            if seen is not None:
                seen.update(calls=calls.made, machine=running.system)
            if point is not None and point.call == WALL:
                running.system.wall_read = step_at(running.reactor, point)
            elif point is not None:
                rule = rule_of(point, ground_.clock)
                calls.add(rule)
                if seen is not None:
                    seen['rule'] = rule
            return running

        ground_.start_node = start_node

    return patch


def step_at(reactor, point):
    """What steps a process's wall clock at one reading of it."""

    def read(number):
        if number == point.number:
            reactor.step(point.step_s)

    return read


def rule_of(point, clock):
    """The rule of a point: once, or from the call on for a second."""
    if point.how == ONCE:
        return CallFault(point.call, point.errno, first=point.number, count=1)
    return FromThereOn(point, clock)


class FromThereOn(CallFault):
    """Calls fail for a second from the n-th on."""

    __slots__ = ('clock',)

    def __init__(self, point, clock):
        super().__init__(point.call, point.errno, first=point.number)
        self.clock = clock

    def meets(self, now):
        if self.seen + 1 == self.first:
            self.until = now + ON_FOR
        return super().meets(now)


def excused(point, rule, broken):
    """Whether a breach is what the failed call itself does: it ended connections, or for a second nobody
    could be let in, heard or told anything."""
    if broken.rule == 'faults' and GUARDED in broken.text and 'late' in broken.text:
        return point.how == ON and point.call in NEEDED
    if broken.rule != 'answered':
        return False
    if 'its connection ended' in broken.text:
        return point.errno in ENDS_CONNECTION
    late = any(words in broken.text for words in ('late', 'never answered', 'while a server gave'))
    met = rule is not None and rule.until is not None and broken.when <= rule.until + LATE_AFTER
    return late and point.how == ON and point.call in NEEDED and met


def play(point):
    """Play the scenario with a point's fault; the breaches that nothing excuses, as text."""
    made, seen = scenario(), {}
    stage = environment.play(made, SEED, bent(point, seen))
    found = judge(made, stage.recorder.rows)
    return [repr(broken) for broken in found if not excused(point, seen.get('rule'), broken)]


def counted():
    """How many calls of each kind, and readings of the wall clock, a run without faults makes."""
    seen = {}
    environment.play(scenario(), SEED, bent(None, seen))
    found = {call: seen['calls'][call] for call in PLAYED if seen['calls'][call]}
    return {**found, WALL: seen['machine'].wall_readings}


def points(every=1):
    """All points; every: only each so-manieth call of a kind."""
    for call, most in counted().items():
        for number in range(1, most + 1, every):
            if call == WALL:
                yield from (Point(call, number, step_s=step) for step in STEPS_S)
                continue
            for error in ERRNOS[call]:
                yield Point(call, number, error, ONCE)
                yield Point(call, number, error, ON)


def sweep(every=1, jobs=0):
    """Play all points; (how many, [(point, breaches)])."""
    given = list(points(every))
    with ProcessPoolExecutor(runs.cores(jobs), initializer=runs.deaf) as pool:
        found = list(zip(given, pool.map(play, given, chunksize=8), strict=True))
    return len(given), [(point, broken) for point, broken in found if broken]

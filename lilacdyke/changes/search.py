"""Model checker for replicas: searches small simulated worlds for violated invariants, breadth first and at
random.

A world has one writer, relays and nodes in a tree, clocks whose rates differ by up to a twentieth, and a
network that loses, duplicates and reorders messages. Invariants checked after each step: no replica moves
back, skips a change, applies one in part, or reports a log as fresher than it is; and none reports a position
as complete that one of its children never reached.
"""

import pickle
from fractions import Fraction
from random import Random

from .messages import Position, Sync, pack, unpack
from .replica import Replica
from .writer import Writer

ORIGIN = 'w'
KEYS = {'a': 'text', 'b': 'text'}
TAIL = 3  # short, so that snapshots are frequent
RATES = (Fraction(20, 21), Fraction(1), Fraction(21, 20))
FULL_TREE = (('w', 'r0'), ('w', 'r1'), ('r0', 'n0'), ('r0', 'n1'), ('r1', 'n2'))
SMALL_TREE = (('w', 'r0'), ('r0', 'n0'))
MAX_IN_FLIGHT = 12


class InvariantError(Exception):
    """An invariant does not hold."""


class World:
    """All processes, the network between them, and the expected state."""

    def __init__(self, tree, rates):
        self.tree, self.rates, self.now = tree, dict(rates), 1_000
        self.names = sorted({name for pair in tree for name in pair})
        self.in_flight = []  # (sender, receiver, bytes)
        self.lines = []  # lines of the writer's file
        self.expected = {}  # the configuration that was put
        self.states = {Position(): {}}  # by position: the expected configuration
        self.epoch = 0  # of the holder of the lease, which may be another process
        self.history = []  # (true time, position) of each change and epoch
        self.furthest = {}  # by name: the highest position that it ever had
        self.replicas, self.writer, self.lease_held = {}, None, True
        for name in self.names:
            self.start(name)
        for parent, child in tree:
            self.link(parent, child)

    def clock(self, name):
        """Return the time on a process's clock."""
        return int(self.now * self.rates.get(name, 1)) + 10 * self.names.index(name)

    def true_time(self, name, ticks):
        """Return the latest true time at which a process's clock showed these ticks."""
        return Fraction(ticks + 1 - 10 * self.names.index(name)) / self.rates.get(name, 1)

    # --- steps ------------------------------------------------------------------------------------------

    def start(self, name):
        """Start a process with empty memory. The writer reads its file."""
        is_writer = name == ORIGIN
        # LeaseHeld is a class so that pickle can copy worlds.
        self.replicas[name] = replica = Replica(name, ORIGIN if is_writer else None, LeaseHeld(self), TAIL)
        if is_writer:
            self.epoch += 1
            self.writer = Writer(replica, KEYS, self.lines.append, list(self.lines), self.epoch)
            self.record_head(replica.logs[ORIGIN].position)

    def restart(self, name):
        """Kill and start a process. Its links are lost and opened again."""
        self.in_flight = [each for each in self.in_flight if name not in each[:2]]
        for parent, child in self.tree:
            if name in (parent, child):
                self.unlink(parent, child)
        self.start(name)
        for parent, child in self.tree:
            if name in (parent, child):
                self.link(parent, child)

    def link(self, parent, child):
        """Open a link."""
        self.replicas[parent].linked(self.clock(parent), child, True)
        self.replicas[child].linked(self.clock(child), parent, False)

    def unlink(self, parent, child):
        """Close a link and lose its messages."""
        self.in_flight = [each for each in self.in_flight if set(each[:2]) != {parent, child}]
        self.replicas[parent].unlinked(self.clock(parent), child)
        self.replicas[child].unlinked(self.clock(child), parent)

    def put(self, value):
        """Put a change of two keys if the writer holds its lease."""
        if self.lease_held:
            self.expected = {'a': value, 'b': value}
            change = self.writer.put('config', list(self.expected.items()), self.now)
            self.record_head(Position(self.epoch, change.sequence))
            self.replicas[ORIGIN].schedule_batch(self.clock(ORIGIN))

    def record_head(self, position):
        """Record the expected state at a new position."""
        self.states[position] = dict(self.expected)
        self.history.append((self.now, position))

    def toggle_lease(self):
        """Give the lease to an unreachable process, or give it back to this writer in a new epoch."""
        self.lease_held = not self.lease_held
        if self.lease_held:
            self.restart(ORIGIN)
        else:
            self.epoch += 1
            self.record_head(Position(self.epoch))

    def send_pending(self, name):
        """Send all messages that are due at a process."""
        replica, now = self.replicas[name], self.clock(name)
        while (decision := replica.decide(now)) is not None:
            _, to, message = decision
            self.in_flight.append((name, to, pack(message)[4:]))
        del self.in_flight[:-MAX_IN_FLIGHT]

    def deliver(self, index, duplicate=False):
        """Deliver a message. duplicate: keep it in flight as well."""
        sender, receiver, body = self.in_flight[index] if duplicate else self.in_flight.pop(index)
        replica = self.replicas[receiver]
        before = {origin: log.position for origin, log in replica.logs.items()}
        replica.receive(self.clock(receiver), sender, unpack(body, Sync))
        for origin, position in before.items():
            if replica.logs[origin].position < position:
                raise InvariantError('%s moved back from %s' % (receiver, position))

    # --- invariants -------------------------------------------------------------------------------------

    def check_invariants(self):
        """Check all invariants. Raise InvariantError if one does not hold."""
        for name, replica in self.replicas.items():
            log = replica.logs.get(ORIGIN)
            if log is None:
                continue
            self.check_state(name, replica, log)
            self.check_freshness(name, replica, log)
            self.furthest[name] = max(self.furthest.get(name, Position()), log.position)
        self.check_complete()

    def check_state(self, name, replica, log):
        """Check a replica's state against the expected state, and that its host received every change."""
        if log.position not in self.states:
            raise InvariantError('%s is at %s, a position that the writer never had' % (name, log.position))
        if log.configuration != self.states[log.position]:
            raise InvariantError('%s has %s at %s' % (name, log.configuration, log.position))
        if name != ORIGIN:
            self.check_handled(name, replica)
        replica.unhandled = replica.unhandled[-64:]

    def check_handled(self, name, replica):
        """Check that what a replica passes to its host has no gaps or duplicates."""
        last = None
        for _, changes, snapshot in replica.unhandled:
            if snapshot is not None:
                last = snapshot.position.sequence
            for change in changes:
                if last is not None and change.sequence != last + 1:
                    raise InvariantError('%s passed on change %d after %d' % (name, change.sequence, last))
                last = change.sequence
        if last is not None and last != replica.logs[ORIGIN].position.sequence:
            raise InvariantError(
                '%s passed on changes up to %d and is at %s' % (name, last, replica.logs[ORIGIN].position)
            )

    def check_freshness(self, name, replica, log):
        """Check that a replica lacks nothing older than its reported age."""
        now = self.clock(name)
        age = replica.age(now, ORIGIN)
        if age is None:
            return
        since = self.true_time(name, now - age)
        required = [position for when, position in self.history if when < since - 1]
        if required and log.position < required[-1]:
            raise InvariantError(
                '%s reports an age of %d ticks, but is at %s, before %s'
                % (name, age, log.position, required[-1])
            )

    def check_complete(self):
        """Check that each child once reached the position that its parent reports as complete."""
        for parent, child in self.tree:
            replica = self.replicas[parent]
            neighbour = replica.neighbours.get(child)
            if neighbour is None or ORIGIN not in replica.logs:
                continue
            complete = replica.complete(ORIGIN)
            if complete > self.furthest.get(child, Position()):
                raise InvariantError(
                    '%s reports %s as complete, but %s never reached it' % (parent, complete, child)
                )


class LeaseHeld:
    """Returns whether the writer holds its lease."""

    def __init__(self, world):
        self.world = world

    def __call__(self, now):
        return self.world.lease_held


def draw_rates(tree, rng):
    """Return a random clock rate for each process."""
    return {name: rng.choice(RATES) for name in sorted({name for pair in tree for name in pair})}


# Weights of random steps.
STEPS = {
    'advance': 8,
    'put': 3,
    'speak': 8,
    'deliver': 14,
    'double': 2,
    'lose': 2,
    'restart': 0.6,
    'relink': 0.6,
    'lease': 0.2,
}


def step(world, rng, kind):
    """Take a random step of this kind."""
    if kind == 'advance':
        world.now += rng.choice((1, 50, 900, 2_600, 11_000))
    elif kind == 'put':
        world.put('v%d' % rng.randrange(1 << 20))
    elif kind == 'speak':
        world.send_pending(rng.choice(world.names))
    elif kind in ('deliver', 'double', 'lose') and world.in_flight:
        index = rng.randrange(len(world.in_flight))
        if kind == 'lose':
            world.in_flight.pop(index)
        else:
            world.deliver(index, kind == 'double')
    elif kind == 'restart':
        world.restart(rng.choice(world.names))
    elif kind == 'relink':
        pair = rng.choice(world.tree)
        world.unlink(*pair)
        world.link(*pair)
    elif kind == 'lease':
        world.toggle_lease()


def search_random(seed, steps=400, tree=FULL_TREE):
    """Run random steps in one world and return the number of deliveries. Raise InvariantError if violated."""
    rng = Random('changes/%d' % seed)
    world, delivered = World(tree, draw_rates(tree, rng)), 0
    kinds, weights = list(STEPS), list(STEPS.values())
    for _ in range(steps):
        kind = rng.choices(kinds, weights)[0]
        step(world, rng, kind)
        delivered += kind == 'deliver'
        world.check_invariants()
    return delivered


def successors(world):
    """Return every possible next step, as functions of a copy of this world."""
    found = [lambda copy: setattr(copy, 'now', copy.now + 2_600)]
    if len(world.lines) < 4:
        found.append(lambda copy: copy.put('v%d' % len(copy.lines)))
    found += [lambda copy, name=name: copy.send_pending(name) for name in world.names]
    for index in range(len(world.in_flight)):
        found.append(lambda copy, index=index: copy.deliver(index))
        found.append(lambda copy, index=index: copy.deliver(index, True))
        found.append(lambda copy, index=index: copy.in_flight.pop(index))
    found.append(lambda copy: copy.restart('n0'))
    return found


def search_breadth_first(max_worlds=4_000, tree=SMALL_TREE):
    """Explore the states of a small tree breadth first, up to max_worlds. Return how many were found."""
    first = World(tree, {'n0': RATES[2], 'r0': RATES[0]})
    first.check_invariants()
    seen, frontier = {pickle.dumps(first)}, [first]
    while frontier and len(seen) < max_worlds:
        following = []
        for world in frontier:
            for transition in successors(world):
                copy = pickle.loads(pickle.dumps(world))
                transition(copy)
                copy.check_invariants()
                state = pickle.dumps(copy)
                if state not in seen:
                    seen.add(state)
                    following.append(copy)
            if len(seen) >= max_worlds:
                break
        frontier = following
    return len(seen)

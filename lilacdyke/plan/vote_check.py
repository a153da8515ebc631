"""Model checker for the leases: a small world of voters and seekers whose messages are lost, delayed,
duplicated and reordered, which restart without state (except for a voter's persisted bound), and whose clocks
drift.

In every state at most one seeker may hold the lease, and each lease must have a higher number than the one
before.

python -m lilacdyke.plan.vote_check [--walks N] [--steps N] [--states N] [--seed N]
"""

import pickle
from random import Random

import click

from .leases import Seeker, Voter
from .ledger import DRIFT

LEASE, TASK = 20, 't'
MAX_MESSAGES = 4  # in flight in a searched world


class LeaseViolationError(Exception):
    """Two seekers hold the lease at once, or lease numbers do not rise."""


def fixed_uniform():
    """Stands in for the random source in a searched world, which must be deterministic."""
    return 0.5


def accept_bound(bound):
    return True


class DrawnUniform:
    """The random source of a walked world."""

    def __init__(self, rng):
        self.rng = rng

    def __call__(self):
        return self.rng.random()


class World:
    """Voters and seekers of one task with the messages in flight between them. Each has its own clock."""

    def __init__(self, voters=3, seekers=2, rates=None, voter=Voter, seeker=Seeker, uniform=fixed_uniform):
        (
            self.voter,
            self.seeker,
            self.uniform,
            self.now,
            self.lives,
            self.last_numbers,
            self.leases_granted,
        ) = (
            voter,
            seeker,
            uniform,
            0,
            0,
            [],
            0,
        )
        self.rates = rates or [DRIFT] * (voters + seekers)
        self.offsets = [5 * number for number in range(voters + seekers)]
        self.bounds = [0] * voters
        # The first voters start long ago, so that they need no silence.
        self.voters = [self.new_voter(number, self.clock(number) - 10 * LEASE) for number in range(voters)]
        self.seekers = [self.new_seeker(number) for number in range(seekers)]
        self.messages = []  # (whether to a voter, voter, seeker, message)

    def new_life(self):
        self.lives += 1
        return self.lives

    def clock(self, number):
        return self.offsets[number] + self.now * self.rates[number] // DRIFT

    def seeker_clock(self, number):
        return self.clock(len(self.bounds) + number)

    def new_voter(self, number, now):
        return self.voter(now, self.new_life(), LEASE, accept_bound, self.bounds[number])

    def new_seeker(self, number):
        result = self.seeker(
            self.seeker_clock(number), TASK, self.new_life(), range(len(self.bounds)), LEASE, self.uniform
        )
        result.want(self.seeker_clock(number))
        return result

    # --- steps ------------------------------------------------------------------------------------------

    def tick(self):
        self.now += 1

    def pull(self, number):
        """Carry out the seeker's pending decisions."""
        seeker, now = self.seekers[number], self.seeker_clock(number)
        while decision := seeker.decide(now):
            if decision[0] == 'send':
                self.messages.append((True, decision[1], number, decision[2]))
            elif decision[0] == 'got':
                self.got(decision[1])

    def got(self, number):
        self.leases_granted += 1
        if self.last_numbers and number <= self.last_numbers[-1]:
            raise LeaseViolationError('at %d: number %s after %s' % (self.now, number, self.last_numbers[-1]))
        self.last_numbers = [number]

    def deliver(self, index, duplicate=False):
        """Deliver a message; a duplicate stays in flight and arrives once more."""
        to_voter, number, seeker, message = self.messages[index] if duplicate else self.messages.pop(index)
        if not to_voter:
            self.seekers[seeker].on_answer(self.seeker_clock(seeker), number, message)
            return self.pull(seeker)
        voter = self.voters[number]
        answer, free = voter.on_message(self.clock(number), message)
        self.bounds[number] = voter.bound
        if answer is not None:
            self.messages.append((False, number, seeker, answer))
        for other, waiting in enumerate(self.seekers):
            if waiting.life in free:
                waiting.free(self.seeker_clock(other))

    def lose(self, index):
        del self.messages[index]

    def restart_voter(self, number):
        self.voters[number] = self.new_voter(number, self.clock(number))

    def restart_seeker(self, number):
        self.seekers[number] = self.new_seeker(number)

    def release(self, number):
        """Have a seeker release its lease and request it again."""
        seeker, now = self.seekers[number], self.seeker_clock(number)
        seeker.release(now)
        self.pull(number)
        seeker.want(now)

    # --- invariants -------------------------------------------------------------------------------------

    def check(self):
        """Raise LeaseViolationError if two seekers hold the lease."""
        holding = [
            number for number, seeker in enumerate(self.seekers) if seeker.held(self.seeker_clock(number))
        ]
        if len(holding) > 1:
            raise LeaseViolationError('at %d: %s hold' % (self.now, holding))


def successors(world):
    """Yield all worlds that are one step away."""
    steps = [('tick',)]
    for index in range(len(world.messages)):
        steps += [('deliver', index), ('lose', index)]
        if len(world.messages) < MAX_MESSAGES:
            steps.append(('deliver', index, True))
    steps += [('pull', number) for number in range(len(world.seekers))]
    steps += [('restart_voter', number) for number in range(len(world.voters))]
    steps += [('restart_seeker', number) for number in range(len(world.seekers))]
    steps += [('release', number) for number, seeker in enumerate(world.seekers) if seeker.until is not None]
    state = pickle.dumps(world)
    for name, *given in steps:
        result = pickle.loads(state)
        getattr(result, name)(*given)
        yield result


def with_holder(world):
    """Return the world with the first seeker holding the lease and no message in flight."""
    world.pull(0)
    while world.messages:
        world.deliver(0)
    return world


def search(states, **kinds):
    """Explore all interleavings from a small world with a holder, breadth first, up to this many states.
    Return (states seen, depth explored completely)."""
    first = with_holder(World(**kinds))
    frontier, seen, depth = [first], {pickle.dumps(first)}, 0
    while frontier:
        next_frontier = []
        for world in frontier:
            for result in successors(world):
                result.check()
                state = pickle.dumps(result)
                if state not in seen:
                    seen.add(state)
                    next_frontier.append(result)
                    if len(seen) >= states:
                        return len(seen), depth
        frontier, depth = next_frontier, depth + 1
    return len(seen), depth


def walk(seed, steps, **kinds):
    """Run one long random history of 3 or 5 voters and 2 or 3 seekers. Return (steps, leases granted)."""
    rng = Random(seed)
    voters, seekers = rng.choice((3, 3, 5)), rng.choice((2, 2, 3))
    rates = [DRIFT + rng.choice((-1, 0, 1)) for _ in range(voters + seekers)]
    world = World(voters, seekers, rates, uniform=DrawnUniform(Random(seed)), **kinds)
    in_order_rate, steps_per_tick = (
        rng.choice((0.3, 0.7, 0.95)),
        rng.choice((8, 16, 30)),
    )
    release_rate = rng.choice((0.0, 0.002, 0.04))
    restart_rate, loss_rate = rng.choice((0.0, 0.005, 0.02)), rng.choice((0.0, 0.05, 0.2))
    # (seeker, blocked directions, whether it is also suspended): a partition that lasts for a while. Blocked
    # messages are lost, or delivered after its end.
    isolated, until, delayed = None, 0, False
    for _ in range(steps):
        draw = rng.random()
        if world.now >= until:
            holder = next(
                (number for number, seeker in enumerate(world.seekers) if seeker.until is not None), 0
            )
            isolated = (
                holder if rng.random() < 0.7 else rng.randrange(seekers),
                rng.choice(((True,), (False,), (True, False))),
                rng.random() < 0.3,
            )
            until = world.now + rng.randint(2, rng.choice((LEASE, LEASE, 4 * LEASE)))
            delayed = rng.random() < 0.5
            if rng.random() < 0.25:
                isolated = None
        blocked = [
            isolated is not None and row[2] == isolated[0] and row[0] in isolated[1] for row in world.messages
        ]
        if not delayed and any(blocked):
            world.messages = [row for row, gone in zip(world.messages, blocked) if not gone]
            blocked = [False] * len(world.messages)
        deliverable = [index for index, gone in enumerate(blocked) if not gone]
        if draw < 1 / steps_per_tick:
            world.tick()
            number = rng.randrange(seekers)
            if isolated is None or not isolated[2] or number != isolated[0]:
                world.pull(number)
        elif draw > 1 - restart_rate:
            if rng.random() < 0.6:
                # Restart one voter, or all at once.
                for number in range(voters) if rng.random() < 0.2 else [rng.randrange(voters)]:
                    world.restart_voter(number)
            else:
                world.restart_seeker(rng.randrange(seekers))
        elif draw > 1 - restart_rate - release_rate:
            number = rng.randrange(seekers)
            if world.seekers[number].until is not None:
                world.release(number)
        elif deliverable and rng.random() < 0.85:
            index = deliverable[0] if rng.random() < in_order_rate else rng.choice(deliverable)
            if rng.random() < loss_rate:
                world.lose(index)
            else:
                world.deliver(index, rng.random() < 0.05)
        else:
            number = rng.randrange(seekers)
            if rng.random() < 0.3:
                world.seekers[number].free(world.seeker_clock(number))  # a spurious notification
            if isolated is None or not isolated[2] or number != isolated[0]:
                world.pull(number)
        while len(world.messages) > 120:
            world.lose(0)
        world.check()
    return steps, world.leases_granted


@click.command()
@click.option('--walks', default=1_000, show_default=True)
@click.option('--steps', default=1_500, show_default=True)
@click.option('--states', default=100_000, show_default=True)
@click.option('--seed', default=1, show_default=True)
def main(walks, steps, states, seed):
    """Search a small world exhaustively to some depth, then take random walks."""
    seen, depth = search(states)
    click.echo('3 voters, 2 seekers, 1 task: %d states, complete to depth %d; no violation' % (seen, depth))
    results = [walk(number, steps) for number in range(seed, seed + walks)]
    click.echo(
        '%d walks, %d steps, %d leases: no violation'
        % (walks, sum(row[0] for row in results), sum(row[1] for row in results))
    )


if __name__ == '__main__':
    main()

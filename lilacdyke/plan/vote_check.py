"""A model checker for leases: a small world of voters and seekers, whose messages are lost, late, doubled and
reordered, who restart with nothing (voters but for the bound that they wrote down), and whose clocks run
apart.

Owns the worlds and what must hold in all of their states: no two seekers hold at once, and each lease has a
higher number than all before it. Must never help the leases.

python -m lilacdyke.plan.vote_check [--walks N] [--steps N] [--states N] [--seed N]
"""

import pickle
from random import Random

import click

from .leases import Seeker, Voter
from .ledger import DRIFT

LEASE, TASK = 20, 't'
MOST = 4  # messages under way in a searched world


class TwoHold(Exception):
    """What was promised does not hold; says where."""


def half():
    """Chance of a searched world: always the same."""
    return 0.5


def kept(bound):
    return True


class Drawn:
    """Chance of a walked world."""

    def __init__(self, chance):
        self.chance = chance

    def __call__(self):
        return self.chance.random()


class World:
    """Some voters and seekers of one task, and what is under way between them. Each has a clock of its
    own."""

    def __init__(self, voters=3, seekers=2, rates=None, voter=Voter, seeker=Seeker, chance=half):
        self.voter, self.seeker, self.chance, self.now, self.lives, self.numbers, self.changes = (
            voter,
            seeker,
            chance,
            0,
            0,
            [],
            0,
        )
        self.rates = rates or [DRIFT] * (voters + seekers)
        self.offsets = [5 * number for number in range(voters + seekers)]
        self.bounds = [0] * voters
        # What has always been running owes nothing to a life before it.
        self.voters = [self.new_voter(number, self.clock(number) - 10 * LEASE) for number in range(voters)]
        self.seekers = [self.new_seeker(number) for number in range(seekers)]
        self.bag = []  # (to a voter, number of the voter, number of the seeker, message)

    def life(self):
        self.lives += 1
        return self.lives

    def clock(self, number):
        return self.offsets[number] + self.now * self.rates[number] // DRIFT

    def seeker_clock(self, number):
        return self.clock(len(self.bounds) + number)

    def new_voter(self, number, now):
        return self.voter(now, self.life(), LEASE, kept, self.bounds[number])

    def new_seeker(self, number):
        made = self.seeker(
            self.seeker_clock(number), TASK, self.life(), range(len(self.bounds)), LEASE, self.chance
        )
        made.want(self.seeker_clock(number))
        return made

    # --- steps ------------------------------------------------------------------------------------------

    def tick(self):
        self.now += 1

    def pull(self, number):
        """A seeker does what it has to."""
        seeker, now = self.seekers[number], self.seeker_clock(number)
        while decision := seeker.decide(now):
            if decision[0] == 'send':
                self.bag.append((True, decision[1], number, decision[2]))
            elif decision[0] == 'got':
                self.got(decision[1])

    def got(self, number):
        self.changes += 1
        if self.numbers and number <= self.numbers[-1]:
            raise TwoHold('at %d: number %s after %s' % (self.now, number, self.numbers[-1]))
        self.numbers = [number]

    def deliver(self, index, keep=False):
        """A message comes; keep: and will come once more."""
        to_voter, number, seeker, message = self.bag[index] if keep else self.bag.pop(index)
        if not to_voter:
            self.seekers[seeker].told(self.seeker_clock(seeker), number, message)
            return self.pull(seeker)
        voter = self.voters[number]
        answer, free = voter.told(self.clock(number), message)
        self.bounds[number] = voter.bound
        if answer is not None:
            self.bag.append((False, number, seeker, answer))
        for other, waiting in enumerate(self.seekers):
            if waiting.life in free:
                waiting.free(self.seeker_clock(other))

    def lose(self, index):
        del self.bag[index]

    def restart_voter(self, number):
        self.voters[number] = self.new_voter(number, self.clock(number))

    def restart_seeker(self, number):
        self.seekers[number] = self.new_seeker(number)

    def release(self, number):
        """It gives back what it has, and wants it again later."""
        seeker, now = self.seekers[number], self.seeker_clock(number)
        seeker.release(now)
        self.pull(number)
        seeker.want(now)

    # --- what must hold ---------------------------------------------------------------------------------

    def judge(self):
        holding = [
            number for number, seeker in enumerate(self.seekers) if seeker.held(self.seeker_clock(number))
        ]
        if len(holding) > 1:
            raise TwoHold('at %d: %s hold' % (self.now, holding))


def nexts(world):
    """All worlds one step on."""
    steps = [('tick',)]
    for index in range(len(world.bag)):
        steps += [('deliver', index), ('lose', index)]
        if len(world.bag) < MOST:
            steps.append(('deliver', index, True))
    steps += [('pull', number) for number in range(len(world.seekers))]
    steps += [('restart_voter', number) for number in range(len(world.voters))]
    steps += [('restart_seeker', number) for number in range(len(world.seekers))]
    steps += [('release', number) for number, seeker in enumerate(world.seekers) if seeker.until is not None]
    mark = pickle.dumps(world)
    for name, *given in steps:
        made = pickle.loads(mark)
        getattr(made, name)(*given)
        yield made


def settled(world):
    """The same, with the first seeker holding and nothing under way."""
    world.pull(0)
    while world.bag:
        world.deliver(0)
    return world


def search(states, **kinds):
    """All interleavings of a small world in which one holds, breadth first, up to so many states: (states
    seen, depth reached whole)."""
    first = settled(World(**kinds))
    edge, seen, depth = [first], {pickle.dumps(first)}, 0
    while edge:
        further = []
        for world in edge:
            for made in nexts(world):
                made.judge()
                mark = pickle.dumps(made)
                if mark not in seen:
                    seen.add(mark)
                    further.append(made)
                    if len(seen) >= states:
                        return len(seen), depth
        edge, depth = further, depth + 1
    return len(seen), depth


def walk(seed, steps, **kinds):
    """One long random history: 3 or 5 voters, 2 or 3 seekers; (steps made, leases got in it)."""
    chance = Random(seed)
    voters, seekers = chance.choice((3, 3, 5)), chance.choice((2, 2, 3))
    rates = [DRIFT + chance.choice((-1, 0, 1)) for _ in range(voters + seekers)]
    world = World(voters, seekers, rates, chance=Drawn(Random(seed)), **kinds)
    prompt, hurry = (
        chance.choice((0.3, 0.7, 0.95)),
        chance.choice((8, 16, 30)),
    )  # messages in their turn; steps while time passes once
    generous = chance.choice((0.0, 0.002, 0.04))  # how readily a lease is given back
    trouble, losses = chance.choice((0.0, 0.005, 0.02)), chance.choice((0.0, 0.05, 0.2))
    # For a while a seeker is cut off, one way or both: its messages are lost, or come once that is over; it
    # may stand still besides.
    apart, until, late = None, 0, False
    for made in range(steps):
        drawn = chance.random()
        if world.now >= until:
            holder = next(
                (number for number, seeker in enumerate(world.seekers) if seeker.until is not None), 0
            )
            apart = (
                holder if chance.random() < 0.7 else chance.randrange(seekers),
                chance.choice(((True,), (False,), (True, False))),
                chance.random() < 0.3,
            )
            until = world.now + chance.randint(2, chance.choice((LEASE, LEASE, 4 * LEASE)))
            late = chance.random() < 0.5
            if chance.random() < 0.25:
                apart = None
        cut = [apart is not None and row[2] == apart[0] and row[0] in apart[1] for row in world.bag]
        if not late and any(cut):
            world.bag = [row for row, gone in zip(world.bag, cut) if not gone]
            cut = [False] * len(world.bag)
        there = [index for index, gone in enumerate(cut) if not gone]
        if drawn < 1 / hurry:
            world.tick()
            number = chance.randrange(seekers)
            if apart is None or not apart[2] or number != apart[0]:
                world.pull(number)
        elif drawn > 1 - trouble:
            if chance.random() < 0.6:
                # One, or all at once.
                for number in range(voters) if chance.random() < 0.2 else [chance.randrange(voters)]:
                    world.restart_voter(number)
            else:
                world.restart_seeker(chance.randrange(seekers))
        elif drawn > 1 - trouble - generous:
            number = chance.randrange(seekers)
            if world.seekers[number].until is not None:
                world.release(number)
        elif there and chance.random() < 0.85:
            index = there[0] if chance.random() < prompt else chance.choice(there)
            if chance.random() < losses:
                world.lose(index)
            else:
                world.deliver(index, chance.random() < 0.05)
        else:
            number = chance.randrange(seekers)
            if chance.random() < 0.3:
                world.seekers[number].free(world.seeker_clock(number))  # a hint, which may come at any time
            if apart is None or not apart[2] or number != apart[0]:
                world.pull(number)
        while len(world.bag) > 120:
            world.lose(0)
        world.judge()
    return steps, world.changes


@click.command()
@click.option('--walks', default=1_000, show_default=True)
@click.option('--steps', default=1_500, show_default=True)
@click.option('--states', default=100_000, show_default=True)
@click.option('--seed', default=1, show_default=True)
def main(walks, steps, states, seed):
    """Search a small world whole to some depth, then walk by chance."""
    seen, depth = search(states)
    click.echo(
        '3 voters, 2 seekers, 1 task: %d states, whole to depth %d; no two hold, numbers rise' % (seen, depth)
    )
    made = [walk(number, steps) for number in range(seed, seed + walks)]
    click.echo(
        '%d walks, %d steps, %d leases: the same'
        % (walks, sum(row[0] for row in made), sum(row[1] for row in made))
    )


if __name__ == '__main__':
    main()

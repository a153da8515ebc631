"""A model checker for the ledger: small worlds of forwarders and planners, whose messages are lost, late, doubled and
reordered, whose parts restart, and whose clocks differ.

Owns the worlds and the one thing that must hold in all of their states: for each budget, what all forwarders together may
spend is no more than the whole. Must never help the ledger.

    python -m lilacdyke.plan.check [--walks N] [--steps N] [--states N] [--seed N]
"""

import copy
import pickle
from random import Random

import click

from .ledger import DRIFT, Bank, Purse

OWN, LEASE, GIFT = 12, 4, 12
KEYS = ('a', 'b')
MOST = 4                                # messages under way in a searched world


class Overspent(Exception):
    """The sum does not hold; says where."""


class World:
    """Some purses and banks, and what is under way between them. Each has a clock of its own."""

    def __init__(self, forwarders, planners, rates=None, purse=Purse, bank=Bank):
        self.purse, self.bank, self.lives = purse, bank, 0
        self.offsets = [7 * number for number in range(forwarders + planners)]
        self.rates = rates or [DRIFT] * (forwarders + planners)     # ticks in DRIFT of the world's
        self.now, self.forwarders, self.planners = 0, forwarders, planners
        names = list(range(planners))
        # What has always been running owes nothing to a life before it.
        self.purses = [purse(self.clock(number) - GIFT - 1, self.life(), names, OWN, LEASE, GIFT) for number in range(forwarders)]
        self.banks = [bank(self.life(), LEASE, GIFT) for _ in names]
        self.bag = []                   # (to a bank, number of the purse, number of the bank, message)

    def life(self):
        self.lives += 1
        return self.lives

    def clock(self, number):
        """The reading of one part's own clock."""
        return self.offsets[number] + self.now * self.rates[number] // DRIFT

    def bank_clock(self, number):
        return self.clock(self.forwarders + number)

    # --- steps ------------------------------------------------------------------------------------------

    def tick(self):
        self.now += 1

    def report(self, forwarder, planner, mood):
        """A forwarder sends a digest: in one mood it spares what it lacks in the other."""
        spare, wants = ({KEYS[0]: OWN}, {KEYS[1]: OWN}) if mood else ({KEYS[1]: OWN}, {KEYS[0]: OWN})
        self.bag.append((True, forwarder, planner, self.purses[forwarder].digest(
            self.clock(forwarder), planner, spare, wants)))

    def deliver(self, index, keep):
        """A message comes; keep: and will come once more."""
        to_bank, forwarder, planner, message = self.bag[index] if keep else self.bag.pop(index)
        if not to_bank:
            self.purses[forwarder].planned(self.clock(forwarder), planner, copy.deepcopy(message))
            return
        plan = self.banks[planner].told(self.bank_clock(planner), copy.deepcopy(message))
        if plan is not None:
            self.bag.append((False, forwarder, planner, plan))

    def lose(self, index):
        del self.bag[index]

    def restart_purse(self, number):
        self.purses[number] = self.purse(self.clock(number), self.life(), list(range(self.planners)), OWN, LEASE, GIFT)

    def restart_bank(self, number):
        self.banks[number] = self.bank(self.life(), LEASE, GIFT)

    # --- what must hold ---------------------------------------------------------------------------------

    def judge(self):
        """Guards the whole."""
        for key in KEYS:
            each = [purse.may(self.clock(number), key) for number, purse in enumerate(self.purses)]
            if sum(each) > OWN * self.forwarders or min(each) < 0:
                raise Overspent('at %d: %s of %d may be spent of %s' % (self.now, each, OWN * self.forwarders, key))

    def lent(self):
        """What is borrowed in all: a world in which nothing ever is shows nothing."""
        return sum(purse.borrowed(self.clock(number), key) for number, purse in enumerate(self.purses) for key in KEYS)


def walk(seed, steps, purse=Purse, bank=Bank):
    """One long random history: 3 forwarders, 2 planners; how much was lent in it."""
    chance = Random(seed)
    rates = [DRIFT + chance.choice((-1, 0, 1)) for _ in range(5)]
    world, lent = World(3, 2, rates, purse, bank), 0
    hurry = chance.choice((1, 3, 8))    # how many messages move while time passes once
    for _ in range(steps):
        drawn = chance.random()
        if drawn < 1 / (1 + hurry):
            world.tick()
        elif drawn > 0.985:
            if chance.random() < 0.5:
                world.restart_purse(chance.randrange(3))
            else:
                world.restart_bank(chance.randrange(2))
        elif world.bag and chance.random() < 0.65:
            index = chance.randrange(len(world.bag)) if chance.random() < 0.5 else 0
            if chance.random() < 0.1:
                world.lose(index)
            else:
                world.deliver(index, chance.random() < 0.1)
        else:
            world.report(chance.randrange(3), chance.randrange(2), chance.random() < 0.5)
        if len(world.bag) > 30:
            world.lose(0)
        world.judge()
        lent += world.lent()
    return lent


def primed(forwarders, planners, purse=Purse, bank=Bank):
    """A world in which all have met, gifts bind and something is lent."""
    world = World(forwarders, planners, None, purse, bank)
    for _ in range(2):
        for forwarder in range(forwarders):
            for planner in range(planners):
                world.report(forwarder, planner, forwarder == 0)
                while world.bag:
                    world.deliver(0, False)
    return world


def nexts(world):
    """All worlds one step on."""
    steps = [('tick',)]
    for index in range(len(world.bag)):
        steps += [('deliver', index, False), ('lose', index)]
        if len(world.bag) < MOST:
            steps.append(('deliver', index, True))
    if len(world.bag) < MOST:
        steps += [('report', forwarder, planner, forwarder == 0) for forwarder in range(world.forwarders)
                  for planner in range(world.planners)]
    steps += [('restart_purse', number) for number in range(world.forwarders)]
    steps += [('restart_bank', number) for number in range(world.planners)]
    for name, *given in steps:
        made = pickle.loads(pickle.dumps(world))
        getattr(made, name)(*given)
        yield made


def search(forwarders, planners, states, purse=Purse, bank=Bank):
    """All interleavings of a small world that is under way, breadth first, up to so many states: (states seen, depth reached
    whole, most lent)."""
    first = primed(forwarders, planners, purse, bank)
    edge, seen, depth, lent = [first], {pickle.dumps(first)}, 0, 0
    while edge:
        further = []
        for world in edge:
            for made in nexts(world):
                made.judge()
                lent = max(lent, made.lent())
                mark = pickle.dumps(made)
                if mark not in seen:
                    seen.add(mark)
                    further.append(made)
                    if len(seen) >= states:
                        return len(seen), depth, lent
        edge, depth = further, depth + 1
    return len(seen), depth, lent


@click.command()
@click.option('--walks', default=2_000, show_default=True)
@click.option('--steps', default=400, show_default=True)
@click.option('--states', default=60_000, show_default=True)
@click.option('--seed', default=1, show_default=True)
def main(walks, steps, states, seed):
    """Search small worlds whole, then walk large ones by chance."""
    for forwarders, planners in ((2, 1), (3, 2)):
        seen, depth, lent = search(forwarders, planners, states)
        click.echo('%d forwarders, %d planners: %d states, whole to depth %d, at most %d lent at once' % (
            forwarders, planners, seen, depth, lent))
    lent = sum(walk(number, steps) > 0 for number in range(seed, seed + walks))
    click.echo('%d walks of %d steps, something lent in %d: the sum holds in all' % (walks, steps, lent))


if __name__ == '__main__':
    main()

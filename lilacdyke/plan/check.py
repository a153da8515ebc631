"""A model checker for the ledger: small worlds of forwarders and planners, whose messages are lost, late,
doubled and reordered, whose parts restart, lose their seats and get them again, and whose clocks differ; what
planners have of their own changes.

Owns the worlds and the one thing that must hold in all of their states: for each budget, what all forwarders
together may spend, or have open, is no more than the whole, as it was at the longest a lease and its tail
ago. Must never help the ledger.

python -m lilacdyke.plan.check [--walks N] [--steps N] [--states N] [--seed N]
"""

import copy
import pickle
from random import Random

import click

from .ledger import DRIFT, Bank, Parts, Purse, longer

OWN, LEASE, GIFT, TAIL = 12, 4, 12, 4
POOLS = (6, 2)  # what a planner may have of its own, now more, now less
KEYS = ('a', 'b')  # what is spent by coming, and by being open
TAILS = Parts(b=TAIL)
LONGEST = GIFT + 2 * longer(TAIL)  # that a gift runs
MOST = 4  # messages under way in a searched world


class Overspent(Exception):
    """The sum does not hold; says where."""


class World:
    """Some purses and banks, and what is under way between them. Each has a clock of its own."""

    def __init__(self, forwarders, planners, rates=None, purse=Purse, bank=Bank, pools=POOLS, keep=0):
        self.purse, self.bank, self.lives, self.choice, self.keep = purse, bank, 0, pools, keep
        self.seats = Parts(dict.fromkeys(KEYS, OWN))
        self.open = [
            {KEYS[1]: []} for _ in range(forwarders)
        ]  # until when each that is open may be, by its clock
        self.pools = [[(0, pools[0])] for _ in range(planners)]  # since when each had what of its own
        self.offsets = [7 * number for number in range(forwarders + planners)]
        self.rates = rates or [DRIFT] * (forwarders + planners)  # ticks in DRIFT of the world's
        self.now, self.forwarders, self.planners = 0, forwarders, planners
        names = list(range(planners))
        # What has always been running owes nothing to a life before it.
        self.purses = [
            purse(self.clock(number) - LONGEST - 1, self.life(), names, self.seats, LEASE, GIFT, TAILS)
            for number in range(forwarders)
        ]
        self.banks = [self.new_bank(number, self.bank_clock(number) - LONGEST) for number in names]
        self.bag = []  # (to a bank, number of the purse, number of the bank, message)

    def life(self):
        self.lives += 1
        return self.lives

    def clock(self, number):
        """The reading of one part's own clock."""
        return self.offsets[number] + self.now * self.rates[number] // DRIFT

    def bank_clock(self, number):
        return self.clock(self.forwarders + number)

    def new_bank(self, number, now):
        made = self.bank(
            self.life(), LEASE, GIFT, now, Parts(dict.fromkeys(KEYS, self.pools[number][-1][1])), TAILS
        )
        made.keep = self.keep
        return made

    # --- steps ------------------------------------------------------------------------------------------

    def tick(self):
        self.now += 1
        for number, open_ in enumerate(self.open):
            now = self.clock(number)
            for key in open_:
                open_[key] = [until for until in open_[key] if now < until]

    def begin(self, number, key=KEYS[1]):
        """Open as many as may be."""
        while len(self.open[number][key]) < self.purses[number].may(self.clock(number), key):
            self.open[number][key].append(self.clock(number) + TAIL)

    def change(self, number):
        """What a planner has of its own is more, or less, from now on."""
        pool = self.choice[self.pools[number][-1][1] == self.choice[0]]
        self.pools[number].append((self.now, pool))
        self.banks[number].endow(Parts(dict.fromkeys(KEYS, pool)))

    def seat(self, number):
        """A process without a seat gets it."""
        if not self.purses[number].own:
            self.purses[number].seated(self.clock(number), self.seats, self.seats, True)

    def report(self, forwarder, planner, mood):
        """A forwarder sends a digest: in one mood it spares what it lacks in the other."""
        spare, wants = ({KEYS[0]: OWN}, {KEYS[1]: 3 * OWN}) if mood else ({KEYS[1]: OWN}, {KEYS[0]: 3 * OWN})
        used = {key: len(open_) for key, open_ in self.open[forwarder].items() if open_}
        self.bag.append(
            (
                True,
                forwarder,
                planner,
                self.purses[forwarder].digest(self.clock(forwarder), planner, spare, wants, used),
            )
        )

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

    def restart_purse(self, number, seated=True):
        """It starts with nothing; the seat is its at once, or somebody else's still."""
        self.open[number] = {KEYS[1]: []}
        self.purses[number] = self.purse(
            self.clock(number),
            self.life(),
            list(range(self.planners)),
            self.seats if seated else Parts(),
            LEASE,
            GIFT,
            TAILS,
        )

    def restart_bank(self, number):
        self.banks[number] = self.new_bank(number, self.bank_clock(number))

    # --- what must hold ---------------------------------------------------------------------------------

    def whole(self):
        """What there is of each budget: what planners had of their own counts until all they can have lent
        has run out."""
        since = self.now - longer(longer(LEASE) + longer(TAIL)) - 1
        return OWN * self.forwarders + sum(
            max(
                pool
                for index, (_, pool) in enumerate(had)
                if index + 1 == len(had) or had[index + 1][0] >= since
            )
            for had in self.pools
        )

    def judge(self):
        """Guards the whole."""
        whole = self.whole()
        for key in KEYS:
            each = [
                max(purse.may(self.clock(number), key), len(self.open[number].get(key, ())))
                for number, purse in enumerate(self.purses)
            ]
            least = min(purse.may(self.clock(number), key) for number, purse in enumerate(self.purses))
            if sum(each) > whole or least < 0:
                raise Overspent('at %d: %s of %d may be spent of %s' % (self.now, each, whole, key))

    def lent(self):
        """What is borrowed in all: a world in which nothing ever is shows nothing."""
        return sum(
            purse.borrowed(self.clock(number), key)
            for number, purse in enumerate(self.purses)
            for key in KEYS
        )


def walk(seed, steps, purse=Purse, bank=Bank):
    """One long random history: 3 forwarders, 1 or 2 planners; how much was lent in it."""
    chance = Random(seed)
    rates = [DRIFT + chance.choice((-1, 0, 1)) for _ in range(5)]
    pools, planners = chance.choice(((0, 0), POOLS)), chance.choice((1, 2))
    world, lent = World(3, planners, rates, purse, bank, pools, chance.choice((0, 2))), 0
    prompt = chance.choice((0.2, 0.5, 0.9))  # how many messages come in their turn
    busy = chance.choice((0.85, 0.7))  # how much is opened
    steady = chance.random() < 0.5  # what planners have of their own stays as it is
    still = chance.random() < 0.4  # nobody restarts, and moods last: what is lent is lent for long
    hurry = chance.choice((1, 3, 8))  # how many messages move while time passes once
    for _ in range(steps):
        drawn = chance.random()
        if drawn < 1 / (1 + hurry):
            world.tick()
        elif drawn > 0.985 and not still:
            if chance.random() < 0.5:
                world.restart_purse(chance.randrange(3), chance.random() < 0.7)
            else:
                world.restart_bank(chance.randrange(planners))
        elif drawn > 0.975:
            world.seat(chance.randrange(3))
        elif drawn > 0.97 and not steady:
            world.change(chance.randrange(planners))
        elif drawn > busy:
            world.begin(chance.randrange(3))
        elif world.bag and chance.random() < 0.65:
            index = chance.randrange(len(world.bag)) if chance.random() > prompt else 0
            if chance.random() < 0.1:
                world.lose(index)
            else:
                world.deliver(index, chance.random() < 0.1)
        else:
            forwarder = chance.randrange(3)
            world.report(
                forwarder,
                chance.randrange(planners),
                chance.random() < 0.5 if not still else (forwarder + world.now // 20) % 2,
            )
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
        steps += [
            ('report', forwarder, planner, forwarder == 0)
            for forwarder in range(world.forwarders)
            for planner in range(world.planners)
        ]
    steps += [('restart_purse', number) for number in range(world.forwarders)]
    steps += [('begin', 1)] if world.forwarders > 1 else []
    steps += [('restart_bank', number) for number in range(world.planners)]
    for name, *given in steps:
        made = pickle.loads(pickle.dumps(world))
        getattr(made, name)(*given)
        yield made


def search(forwarders, planners, states, purse=Purse, bank=Bank):
    """All interleavings of a small world that is under way, breadth first, up to so many states: (states
    seen, depth reached whole, most lent)."""
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
        click.echo(
            '%d forwarders, %d planners: %d states, whole to depth %d, at most %d lent at once'
            % (forwarders, planners, seen, depth, lent)
        )
    lent = sum(walk(number, steps) > 0 for number in range(seed, seed + walks))
    click.echo(
        '%d walks of %d steps, something lent in %d: the sum holds in all, what is open too'
        % (walks, steps, lent)
    )


if __name__ == '__main__':
    main()

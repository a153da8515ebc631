"""Model checker for the ledger: small worlds of forwarders and planners whose messages are lost, delayed,
duplicated and reordered, which restart, lose their seats and regain them, and whose clocks drift. The
planners' own shares change as well.

In every state and for each budget, what all forwarders together may spend or have open must not exceed the
total budget, as it was at any time back to one lease and its tail ago.

python -m lilacdyke.plan.check [--walks N] [--steps N] [--states N] [--seed N]
"""

import copy
import pickle
from random import Random

import click

from .ledger import DRIFT, Budgets, ForwarderLedger, PlannerLedger, max_elapsed

OWN, LEASE, GIFT_SPAN, TAIL = 12, 4, 12, 4
POOLS = (6, 2)  # the two sizes that a planner's own share may have
KEYS = ('a', 'b')  # a budget of arrivals and one of open requests
TAILS = Budgets(b=TAIL)
LONGEST_GIFT = GIFT_SPAN + 2 * max_elapsed(TAIL)
MAX_MESSAGES = 4  # in flight in a searched world


class OverspentError(Exception):
    """More may be spent than the total budget."""


class World:
    """Ledgers of forwarders and planners with the messages in flight between them. Each has its own clock."""

    def __init__(
        self,
        forwarders,
        planners,
        rates=None,
        forwarder_ledger=ForwarderLedger,
        planner_ledger=PlannerLedger,
        pools=POOLS,
        keep=0,
    ):
        self.forwarder_ledger, self.planner_ledger, self.lives, self.pool_sizes, self.keep = (
            forwarder_ledger,
            planner_ledger,
            0,
            pools,
            keep,
        )
        self.seats = Budgets(dict.fromkeys(KEYS, OWN))
        # By forwarder and key: when each open request ends, by the forwarder's clock.
        self.open = [{KEYS[1]: []} for _ in range(forwarders)]
        # By planner: the history of its own share as (since, share).
        self.pools = [[(0, pools[0])] for _ in range(planners)]
        self.offsets = [7 * number for number in range(forwarders + planners)]
        self.rates = rates or [DRIFT] * (forwarders + planners)  # ticks per DRIFT ticks of the world
        self.now, self.forwarders, self.planners = 0, forwarders, planners
        names = list(range(planners))
        # The first parts start long ago, so that no lease of a previous life is outstanding.
        self.forwarder_ledgers = [
            forwarder_ledger(
                self.clock(number) - LONGEST_GIFT - 1, self.life(), names, self.seats, LEASE, GIFT_SPAN, TAILS
            )
            for number in range(forwarders)
        ]
        self.planner_ledgers = [
            self.new_planner_ledger(number, self.planner_clock(number) - LONGEST_GIFT) for number in names
        ]
        self.messages = []  # (whether to a planner's ledger, forwarder's number, planner's number, message)

    def life(self):
        self.lives += 1
        return self.lives

    def clock(self, number):
        """Return the time by one part's own clock."""
        return self.offsets[number] + self.now * self.rates[number] // DRIFT

    def planner_clock(self, number):
        return self.clock(self.forwarders + number)

    def new_planner_ledger(self, number, now):
        result = self.planner_ledger(
            self.life(), LEASE, GIFT_SPAN, now, Budgets(dict.fromkeys(KEYS, self.pools[number][-1][1])), TAILS
        )
        result.keep = self.keep
        return result

    # --- steps ------------------------------------------------------------------------------------------

    def tick(self):
        self.now += 1
        for number, open_ in enumerate(self.open):
            now = self.clock(number)
            for key in open_:
                open_[key] = [until for until in open_[key] if now < until]

    def begin(self, number, key=KEYS[1]):
        """Open as many requests as the forwarder's ledger allows."""
        while len(self.open[number][key]) < self.forwarder_ledgers[number].spendable(self.clock(number), key):
            self.open[number][key].append(self.clock(number) + TAIL)

    def change(self, number):
        """Switch a planner's own share to its other size."""
        pool = self.pool_sizes[self.pools[number][-1][1] == self.pool_sizes[0]]
        self.pools[number].append((self.now, pool))
        self.planner_ledgers[number].set_own_budget(Budgets(dict.fromkeys(KEYS, pool)))

    def seat(self, number):
        """Give a process without a seat its seat."""
        if not self.forwarder_ledgers[number].own:
            self.forwarder_ledgers[number].set_seat_budget(self.clock(number), self.seats, self.seats, True)

    def report(self, forwarder, planner, surplus):
        """Have a forwarder send a digest that offers one budget, by `surplus`, and asks for the other."""
        spare, wants = (
            ({KEYS[0]: OWN}, {KEYS[1]: 3 * OWN}) if surplus else ({KEYS[1]: OWN}, {KEYS[0]: 3 * OWN})
        )
        used = {key: len(open_) for key, open_ in self.open[forwarder].items() if open_}
        self.messages.append(
            (
                True,
                forwarder,
                planner,
                self.forwarder_ledgers[forwarder].digest(self.clock(forwarder), planner, spare, wants, used),
            )
        )

    def deliver(self, index, duplicate):
        """Deliver a message; a duplicate stays in flight and arrives once more."""
        to_planner_ledger, forwarder, planner, message = (
            self.messages[index] if duplicate else self.messages.pop(index)
        )
        if not to_planner_ledger:
            self.forwarder_ledgers[forwarder].apply_plan(
                self.clock(forwarder), planner, copy.deepcopy(message)
            )
            return
        plan = self.planner_ledgers[planner].process_digest(
            self.planner_clock(planner), copy.deepcopy(message)
        )
        if plan is not None:
            self.messages.append((False, forwarder, planner, plan))

    def lose(self, index):
        del self.messages[index]

    def restart_forwarder_ledger(self, number, seated=True):
        """Restart a forwarder without state; its seat is its own at once, or still another process's."""
        self.open[number] = {KEYS[1]: []}
        self.forwarder_ledgers[number] = self.forwarder_ledger(
            self.clock(number),
            self.life(),
            list(range(self.planners)),
            self.seats if seated else Budgets(),
            LEASE,
            GIFT_SPAN,
            TAILS,
        )

    def restart_planner_ledger(self, number):
        self.planner_ledgers[number] = self.new_planner_ledger(number, self.planner_clock(number))

    # --- invariants -------------------------------------------------------------------------------------

    def total(self):
        """Return the size of each budget. A planner's former share counts until all leases granted from it
        must have expired."""
        since = self.now - max_elapsed(max_elapsed(LEASE) + max_elapsed(TAIL)) - 1
        return OWN * self.forwarders + sum(
            max(
                pool
                for index, (_, pool) in enumerate(had)
                if index + 1 == len(had) or had[index + 1][0] >= since
            )
            for had in self.pools
        )

    def judge(self):
        """Raise OverspentError if some budget is exceeded."""
        total = self.total()
        for key in KEYS:
            each = [
                max(forwarder_ledger.spendable(self.clock(number), key), len(self.open[number].get(key, ())))
                for number, forwarder_ledger in enumerate(self.forwarder_ledgers)
            ]
            least = min(
                forwarder_ledger.spendable(self.clock(number), key)
                for number, forwarder_ledger in enumerate(self.forwarder_ledgers)
            )
            if sum(each) > total or least < 0:
                raise OverspentError('at %d: %s of %d may be spent of %s' % (self.now, each, total, key))

    def lent(self):
        """Return how much is leased in all; a world in which this is always 0 proves nothing."""
        return sum(
            forwarder_ledger.leased(self.clock(number), key)
            for number, forwarder_ledger in enumerate(self.forwarder_ledgers)
            for key in KEYS
        )


def walk(seed, steps, forwarder_ledger=ForwarderLedger, planner_ledger=PlannerLedger):
    """Run one long random history of 3 forwarders and 1 or 2 planners. Return how much was lent in it."""
    rng = Random(seed)
    rates = [DRIFT + rng.choice((-1, 0, 1)) for _ in range(5)]
    pools, planners = rng.choice(((0, 0), POOLS)), rng.choice((1, 2))
    world, lent = World(3, planners, rates, forwarder_ledger, planner_ledger, pools, rng.choice((0, 2))), 0
    in_order_rate = rng.choice((0.2, 0.5, 0.9))
    open_above = rng.choice((0.85, 0.7))
    steady = rng.random() < 0.5  # the planners' own shares never change
    quiet = rng.random() < 0.4  # no restarts and rare changes of demand, so that loans last
    steps_per_tick = rng.choice((1, 3, 8))
    for _ in range(steps):
        draw = rng.random()
        if draw < 1 / (1 + steps_per_tick):
            world.tick()
        elif draw > 0.985 and not quiet:
            if rng.random() < 0.5:
                world.restart_forwarder_ledger(rng.randrange(3), rng.random() < 0.7)
            else:
                world.restart_planner_ledger(rng.randrange(planners))
        elif draw > 0.975:
            world.seat(rng.randrange(3))
        elif draw > 0.97 and not steady:
            world.change(rng.randrange(planners))
        elif draw > open_above:
            world.begin(rng.randrange(3))
        elif world.messages and rng.random() < 0.65:
            index = rng.randrange(len(world.messages)) if rng.random() > in_order_rate else 0
            if rng.random() < 0.1:
                world.lose(index)
            else:
                world.deliver(index, rng.random() < 0.1)
        else:
            forwarder = rng.randrange(3)
            world.report(
                forwarder,
                rng.randrange(planners),
                rng.random() < 0.5 if not quiet else (forwarder + world.now // 20) % 2,
            )
        if len(world.messages) > 30:
            world.lose(0)
        world.judge()
        lent += world.lent()
    return lent


def warmed_up(forwarders, planners, forwarder_ledger=ForwarderLedger, planner_ledger=PlannerLedger):
    """Return a world in which all parts are in contact, gifts are binding and something is lent."""
    world = World(forwarders, planners, None, forwarder_ledger, planner_ledger)
    for _ in range(2):
        for forwarder in range(forwarders):
            for planner in range(planners):
                world.report(forwarder, planner, forwarder == 0)
                while world.messages:
                    world.deliver(0, False)
    return world


def successors(world):
    """Yield all worlds that are one step away."""
    steps = [('tick',)]
    for index in range(len(world.messages)):
        steps += [('deliver', index, False), ('lose', index)]
        if len(world.messages) < MAX_MESSAGES:
            steps.append(('deliver', index, True))
    if len(world.messages) < MAX_MESSAGES:
        steps += [
            ('report', forwarder, planner, forwarder == 0)
            for forwarder in range(world.forwarders)
            for planner in range(world.planners)
        ]
    steps += [('restart_forwarder_ledger', number) for number in range(world.forwarders)]
    steps += [('begin', 1)] if world.forwarders > 1 else []
    steps += [('restart_planner_ledger', number) for number in range(world.planners)]
    for name, *given in steps:
        result = pickle.loads(pickle.dumps(world))
        getattr(result, name)(*given)
        yield result


def search(forwarders, planners, states, forwarder_ledger=ForwarderLedger, planner_ledger=PlannerLedger):
    """Explore all interleavings from a warmed-up small world, breadth first, up to this many states. Return
    (states seen, depth explored completely, most that was lent at once)."""
    first = warmed_up(forwarders, planners, forwarder_ledger, planner_ledger)
    frontier, seen, depth, lent = [first], {pickle.dumps(first)}, 0, 0
    while frontier:
        next_frontier = []
        for world in frontier:
            for result in successors(world):
                result.judge()
                lent = max(lent, result.lent())
                state = pickle.dumps(result)
                if state not in seen:
                    seen.add(state)
                    next_frontier.append(result)
                    if len(seen) >= states:
                        return len(seen), depth, lent
        frontier, depth = next_frontier, depth + 1
    return len(seen), depth, lent


@click.command()
@click.option('--walks', default=2_000, show_default=True)
@click.option('--steps', default=400, show_default=True)
@click.option('--states', default=60_000, show_default=True)
@click.option('--seed', default=1, show_default=True)
def main(walks, steps, states, seed):
    """Search small worlds exhaustively to some depth, then take random walks in larger ones."""
    for forwarders, planners in ((2, 1), (3, 2)):
        seen, depth, lent = search(forwarders, planners, states)
        click.echo(
            '%d forwarders, %d planners: %d states, complete to depth %d, at most %d lent at once'
            % (forwarders, planners, seen, depth, lent)
        )
    lent = sum(walk(number, steps) > 0 for number in range(seed, seed + walks))
    click.echo('%d walks of %d steps, something lent in %d: no budget exceeded in any' % (walks, steps, lent))


if __name__ == '__main__':
    main()

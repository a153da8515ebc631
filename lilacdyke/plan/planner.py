"""A planner's decisions: what it lends, by which limits, and when not. Without I/O.

Owns the bank, the edition of the limits that it goes by, and what forwarders tell of the other planners. Must
never lend of its own without news of most planners: a planner that is cut off from the rest does not hear
that operators have lowered a limit.

How long an older limit can act. Operators change the file at most planners, the last of them at T. A planner
that lends by an older edition has, not longer than its `window` ago, been told by a forwarder of answers of
most planners; one of these has the new edition, and has answered that forwarder with it if the digest was
sent after T. So from T and the window on nobody lends by the older one, and a lease and its tail later
nothing is spent by it.
"""

from .frames import ROWS
from .ledger import Bank, longer, shorter
from .verdicts import Sight

WINDOW = 2  # leases for which news of another planner counts


class Planner:
    """One planner, from its start to its end."""

    def __init__(self, now, life, fleet, index):
        self.fleet, self.index = fleet, index
        self.edition, self.mosts = fleet.edition, fleet.mosts()
        self.window = WINDOW * fleet.lease
        self.bank = Bank(life, fleet.lease, fleet.gift, now, None, fleet.tails(), fleet.units())
        self.sight = None if fleet.span is None else Sight(fleet.span)
        self.heard = {}  # by another planner's name: when it last answered somebody, at the latest

    # --- inputs -----------------------------------------------------------------------------------------

    def reread(self, fleet):
        """The file has changed. Why it cannot be taken, or None. Seats, planners, floors and times are for
        the next start."""
        kept = [(limit.name, limit.what, limit.profile, limit.grains()[1]) for limit in fleet.limit]
        if kept != [(limit.name, limit.what, limit.profile, limit.grains()[1]) for limit in self.fleet.limit]:
            return 'limit: another name, kind or floor is for the next start'
        if fleet.edition <= self.edition:
            return 'edition: %d is not above %d' % (fleet.edition, self.edition)
        self.edition, self.mosts = fleet.edition, fleet.mosts()
        return None

    def told(self, now, digest):
        """A digest has come: the plan that answers it, or None."""
        self.hear(digest['edition'], digest['mosts'])
        self.hear_of_others(now, digest)
        self.bank.endow(
            self.fleet.planner_parts(self.index, self.mosts if self.backed(now) else self.floors())
        )
        plan = self.bank.told(now, digest)
        if plan is None:
            return None
        return dict(plan, edition=self.edition, mosts=self.mosts, verdicts=self.seen(now, digest))

    def seen(self, now, digest):
        """Take evidence in; the verdicts that its forwarder is told."""
        if self.sight is None or digest['site'] is None:
            return []
        left = self.left(now, digest)
        if left is not None and digest['seat'] is not None:
            self.sight.told(
                left,
                digest['seat'],
                digest['site'],
                digest['forwarder'],
                digest['seq'],
                {(name, started): row for name, started, *row in digest['seen']},
            )
        return self.sight.rows_for(now, digest['site'], {tuple(server) for server in digest['doubts']})

    def tell(self, now):
        """For staff: what is held on servers, and who has said something of late."""
        if self.sight is None:
            return {'verdicts': [], 'witnesses': []}
        return {
            'verdicts': [
                [*verdict.plain(now)[:-1], verdict.site] for verdict in self.sight.now_held(now).values()
            ][:ROWS],
            'witnesses': [
                [seat, witness.site, witness.life, len(witness.rows)]
                for seat, witness in self.sight.witnesses.items()
                if witness.life
            ][:ROWS],
        }

    def left(self, now, digest):
        """When a digest left at the earliest, by this clock, or None: not before our plan that it echoes, and
        the time that that was held. Guards against a digest that lay somewhere."""
        if digest['life'] != self.bank.life or digest['stamp'] is None or digest['stamp'] > now:
            return None
        return min(now, digest['stamp'] + shorter(digest['held']))

    def hear_of_others(self, now, digest):
        """When others answered: not later than this digest left."""
        left = self.left(now, digest)
        if left is None:
            return
        for row in self.fleet.planner:
            if row.name in digest['heard']:
                when = left - longer(digest['heard'][row.name])
                self.heard[row.name] = max(self.heard.get(row.name, when), when)

    def hear(self, edition, mosts):
        """Limits that another told. Of two that go by one number the lower ones count: guards against a
        number given twice."""
        if not self.fleet.fits(mosts):
            return
        if edition > self.edition:
            self.edition, self.mosts = edition, mosts
        elif edition == self.edition:
            self.mosts = {name: min(most, mosts[name]) for name, most in self.mosts.items()}

    # --- what follows -----------------------------------------------------------------------------------

    def backed(self, now):
        """Whether most planners, this one among them, are known to have answered lately."""
        mine = self.fleet.planner[self.index].name
        known = 1 + sum(now <= when + self.window for name, when in self.heard.items() if name != mine)
        return 2 * known > len(self.fleet.planner)

    def floors(self):
        """Limits at which planners own nothing."""
        return {limit.name: limit.grains()[1] for limit in self.fleet.limit}

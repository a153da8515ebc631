"""What this forwarder may spend of the fleet's limits right now, and what it spends: the part that comes
under the module's gate.

Owns the counts of what is open and the buckets of what comes. Must never let anything pass that the module
would not: it only refuses. Asked by the module (`admits`, `allows`), told by the node what came of it
(`done`, `sent`, `linked`).
"""

from ..values import SECOND
from .ledger import DRIFT
from .limits import GRAIN, SERVERS

BURST = 10  # a bucket holds a tenth of a second
FINE = SECOND * (DRIFT + 1)  # of a grain: a bucket loses nothing by being looked at often
MOST_KEYS = 4_096  # that are kept count of; servers that were not asked for the longest are forgotten


class Spent:
    """What is spent of one key."""

    __slots__ = ('key', 'tokens', 'dated', 'open', 'peak', 'asked', 'refused', 'before', 'since')

    def __init__(self, key, now):
        # Tokens are FINE parts of grains. An empty bucket: what a life before spent is not known.
        self.key, self.tokens, self.dated = key, 0, now
        self.open = self.peak = 0  # now, and the most since the last look
        self.asked = self.refused = self.before = 0  # since the last look; the demand found then, in grains
        self.since = now

    def fill(self, now, may):
        """Tokens come by the clock, which may be fast."""
        span = max(0, now - self.dated)
        self.dated = now
        self.tokens = min(max(GRAIN, may // BURST) * FINE, self.tokens + may * span * DRIFT)

    def demand(self, now, at_once):
        """The grains that would have been needed lately: the more of the last two spells, since the last look
        and before."""
        span = max(1, now - self.since)
        lately = (
            self.peak + self.refused if at_once else (self.asked + self.refused) * SECOND / span
        ) * GRAIN
        found, self.before = max(int(lately), self.before), int(lately)
        self.asked = self.refused = 0
        self.peak, self.since = self.open, now
        return found


class Shares:
    """The parts in force at one forwarder."""

    def __init__(self, now, fleet, purse, profiles):
        self.purse, self.spent = purse, {}
        self.limits = {
            what: [limit for limit in fleet.limit if limit.what == what]
            for what in ('requests', 'fetches', 'cold', 'tries', 'open', 'links')
        }
        self.out = lambda now, server: (
            False
        )  # whether the fleet holds that a server does not answer; the view's to say
        self.may_try = (
            None  # where the fleet has tasks: whether this forwarder is one that tries such servers
        )
        self.at_once = {limit.name for limit in fleet.limit if limit.at_once}
        self.names = [limit.name for limit in fleet.limit if limit.what not in SERVERS]
        # The limits that a request of a class falls under.
        self.of = {
            profile: [
                limit
                for limit in self.limits['requests'] + self.limits['open']
                if limit.profile in (None, profile.name)
            ]
            for profile in profiles
        }
        for name in self.names:
            self.book(now, name)

    def book(self, now, key):
        """What is spent of a key."""
        found = self.spent.get(key)
        if found is None:
            if len(self.spent) >= MOST_KEYS:
                self.forget()
            found = self.spent[key] = Spent(key, now)
        return found

    def forget(self):
        """Guards against keys of servers that are long gone: one of which nothing is open makes way."""
        for key, spent in list(self.spent.items()):
            if ':' in key and not spent.open:
                del self.spent[key]
                return

    def room(self, now, limit, spent):
        """Whether one more may be spent."""
        may = self.purse.may(now, spent.key)
        if limit.at_once:
            good = (spent.open + 1) * GRAIN <= may
        else:
            spent.fill(now, may)
            good = spent.tokens >= GRAIN * FINE
        spent.refused += not good
        return good

    # --- asked by the module ----------------------------------------------------------------------------

    def admits(self, now, profile):
        """None if a request of this class may be taken; else the status by which it is refused. It is counted
        if it may."""
        rows = [(limit, self.book(now, limit.name)) for limit in self.of[profile]]
        for limit, spent in rows:
            if not self.room(now, limit, spent):
                return limit.answer
        for limit, spent in rows:
            self.spend(limit, spent)
        return None

    def allows(self, now, server, cold):
        """Whether a hop may go to a server. cold: whether that is cold."""
        if self.may_try is not None and self.out(now, server) and not self.may_try():
            return False
        return all(self.room(now, limit, self.book(now, key)) for limit, key in self.keys(now, server, cold))

    @staticmethod
    def spend(limit, spent):
        """One more."""
        if limit.at_once:
            spent.open += 1
            spent.peak = max(spent.peak, spent.open)
        else:
            spent.asked += 1
            spent.tokens -= GRAIN * FINE

    def keys(self, now, server, cold):
        """The limits that a hop to a server falls under, with their keys."""
        if server.origin:
            return [(limit, limit.name) for limit in self.limits['fetches']]
        found = [*self.limits['cold']] if cold else []
        if self.limits['tries'] and self.out(now, server):
            found += self.limits['tries']
        return [(limit, '%s:%s' % (limit.name, server.name)) for limit in found]

    def links(self, now, server):
        """Whether one more connection may be opened there."""
        return all(
            self.room(now, limit, self.book(now, '%s:%s' % (limit.name, server.name)))
            for limit in self.limits['links']
        )

    # --- told by the node -------------------------------------------------------------------------------

    def done(self, profile):
        """A request that was admitted has its final answer, or needs none, and no hop of it is out."""
        for limit in self.of[profile]:
            if limit.at_once:
                self.spent[limit.name].open -= 1

    def sent(self, now, server, cold):
        """A hop has gone out."""
        for limit, key in self.keys(now, server, cold):
            self.spend(limit, self.book(now, key))

    def linked(self, now, server, more):
        """So many more connections are there."""
        for limit in self.limits['links']:
            spent = self.book(now, '%s:%s' % (limit.name, server.name))
            spent.open += more
            spent.peak = max(spent.peak, spent.open)

    def over(self, now, server):
        """How many connections to a server are more than this forwarder may have now."""
        return max(
            (
                -(self.purse.may(now, spent.key) // GRAIN) + spent.open
                for limit in self.limits['links']
                if (spent := self.spent.get('%s:%s' % (limit.name, server.name)))
            ),
            default=0,
        )

    # --- for the digest ---------------------------------------------------------------------------------

    def used(self):
        """What is open, in grains by key."""
        return {
            key: spent.open * GRAIN
            for key, spent in self.spent.items()
            if spent.open and key.partition(':')[0] in self.at_once
        }

    def needs(self, now, servers):
        """(spare, wants): grains by key that this forwarder can do without, and that it lacks. servers: names
        of those that are cold, of each of which a part can be spared too."""
        spare, wants = {}, {}
        keys = dict.fromkeys(self.names)
        for limit in self.limits['cold']:
            keys.update(dict.fromkeys('%s:%s' % (limit.name, name) for name in servers))
        keys.update(dict.fromkeys(self.spent))
        for key in list(keys)[:MOST_KEYS]:
            at_once = key.partition(':')[0] in self.at_once
            own, demand = self.purse.own[key], self.book(now, key).demand(now, at_once)
            spare[key] = max(0, own - demand * 3 // 2)
            lacks = demand * 5 // 4 - (own - self.purse.given(now, key))
            if lacks > 0:
                wants[key] = -(-lacks // GRAIN) * GRAIN if at_once else lacks
        return {key: amount for key, amount in spare.items() if amount}, wants

"""Enforcement of the fleet's limits at one forwarder.

Owns the counts of what is open and the token buckets of rates. It only refuses: it must never let anything
pass that the router would not. The router asks it (`admit`, `allows`); the node reports results (`done`,
`sent`, `linked`).
"""

from ..values import SECOND
from .ledger import DRIFT
from .limits import GRAINS_PER_UNIT, PER_SERVER

BURSTS_PER_SECOND = 10  # a bucket holds 1/BURSTS_PER_SECOND seconds of its rate
TOKENS_PER_GRAIN = SECOND * (DRIFT + 1)  # resolution of buckets: frequent refills lose nothing by rounding
MAX_KEYS = 4_096  # counters at most; those of servers without open connections are evicted first


class Usage:
    """Usage of one limit, or of one limit at one server."""

    __slots__ = (
        'key',
        'tokens',
        'dated',
        'open',
        'peak',
        'admitted',
        'refused',
        'previous_demand',
        'window_start',
    )

    def __init__(self, key, now):
        # The bucket starts empty, since the usage of an earlier life is unknown.
        self.key, self.tokens, self.dated = key, 0, now
        self.open = self.peak = 0  # now, and the maximum in this window
        self.admitted = self.refused = self.previous_demand = 0  # demand of the previous window in grains
        self.window_start = now

    def fill(self, now, budget):
        """Refill the bucket, at a rate low enough for a clock that runs fast."""
        elapsed = max(0, now - self.dated)
        self.dated = now
        self.tokens = min(
            max(GRAINS_PER_UNIT, budget // BURSTS_PER_SECOND) * TOKENS_PER_GRAIN,
            self.tokens + budget * elapsed * DRIFT,
        )

    def demand(self, now, concurrent):
        """Return the recent demand in grains, the greater of the current and the previous window, and start a
        new window."""
        elapsed = max(1, now - self.window_start)
        current_demand = (
            self.peak + self.refused if concurrent else (self.admitted + self.refused) * SECOND / elapsed
        ) * GRAINS_PER_UNIT
        demand, self.previous_demand = max(int(current_demand), self.previous_demand), int(current_demand)
        self.admitted = self.refused = 0
        self.peak, self.window_start = self.open, now
        return demand


class FleetLimits:
    """The limits that apply at one forwarder, and their usage."""

    def __init__(self, now, fleet, forwarder_ledger, profiles):
        self.forwarder_ledger, self.spent = forwarder_ledger, {}
        self.limits = {
            what: [limit for limit in fleet.limit if limit.what == what]
            for what in ('requests', 'fetches', 'cold', 'tries', 'open', 'links')
        }
        self.is_down = lambda now, server: False  # whether the fleet considers a server down; set by the view
        self.is_canary = None  # with task leases: whether this forwarder may probe such servers
        self.concurrent = {limit.name for limit in fleet.limit if limit.concurrent}
        self.global_names = [limit.name for limit in fleet.limit if limit.what not in PER_SERVER]
        # The limits that apply to requests of a class.
        self.limits_of = {
            profile: [
                limit
                for limit in self.limits['requests'] + self.limits['open']
                if limit.profile in (None, profile.name)
            ]
            for profile in profiles
        }
        for name in self.global_names:
            self.usage(now, name)

    def usage(self, now, key):
        """Return the usage of a key."""
        entry = self.spent.get(key)
        if entry is None:
            if len(self.spent) >= MAX_KEYS:
                self.evict()
            entry = self.spent[key] = Usage(key, now)
        return entry

    def evict(self):
        """Drop the oldest usage of a server at which nothing is open."""
        for key, spent in list(self.spent.items()):
            if ':' in key and not spent.open:
                del self.spent[key]
                return

    def has_room(self, now, limit, spent):
        """Return whether one more fits into the budget, and count a refusal."""
        budget = self.forwarder_ledger.spendable(now, spent.key)
        if limit.concurrent:
            allowed = (spent.open + 1) * GRAINS_PER_UNIT <= budget
        else:
            spent.fill(now, budget)
            allowed = spent.tokens >= GRAINS_PER_UNIT * TOKENS_PER_GRAIN
        spent.refused += not allowed
        return allowed

    # --- called by the router ----------------------------------------------------------------------------

    def admit(self, now, profile):
        """Admit a request of this class and count it. Return None, or the status with which it is refused."""
        rows = [(limit, self.usage(now, limit.name)) for limit in self.limits_of[profile]]
        for limit, spent in rows:
            if not self.has_room(now, limit, spent):
                return limit.answer
        for limit, spent in rows:
            self.spend(limit, spent)
        return None

    def allows(self, now, server, cold):
        """Return whether a hop may go to a server. cold: whether that server is cold."""
        if self.is_canary is not None and self.is_down(now, server) and not self.is_canary():
            return False
        return all(
            self.has_room(now, limit, self.usage(now, key)) for limit, key in self.keys(now, server, cold)
        )

    @staticmethod
    def spend(limit, spent):
        """Count one more."""
        if limit.concurrent:
            spent.open += 1
            spent.peak = max(spent.peak, spent.open)
        else:
            spent.admitted += 1
            spent.tokens -= GRAINS_PER_UNIT * TOKENS_PER_GRAIN

    def keys(self, now, server, cold):
        """Return the limits that apply to a hop to a server, with their keys."""
        if server.origin:
            return [(limit, limit.name) for limit in self.limits['fetches']]
        found = [*self.limits['cold']] if cold else []
        if self.limits['tries'] and self.is_down(now, server):
            found += self.limits['tries']
        return [(limit, '%s:%s' % (limit.name, server.name)) for limit in found]

    def links(self, now, server):
        """Return whether one more connection to a server may be opened."""
        return all(
            self.has_room(now, limit, self.usage(now, '%s:%s' % (limit.name, server.name)))
            for limit in self.limits['links']
        )

    # --- called by the node ------------------------------------------------------------------------------

    def done(self, profile):
        """Record the end of an admitted request, once none of its hops is in flight."""
        for limit in self.limits_of[profile]:
            if limit.concurrent:
                self.spent[limit.name].open -= 1

    def sent(self, now, server, cold):
        """Record a hop that was sent."""
        for limit, key in self.keys(now, server, cold):
            self.spend(limit, self.usage(now, key))

    def linked(self, now, server, more):
        """Record a change in the number of connections to a server."""
        for limit in self.limits['links']:
            spent = self.usage(now, '%s:%s' % (limit.name, server.name))
            spent.open += more
            spent.peak = max(spent.peak, spent.open)

    def over(self, now, server):
        """Return how many connections to a server exceed the current budget."""
        return max(
            (
                -(self.forwarder_ledger.spendable(now, spent.key) // GRAINS_PER_UNIT) + spent.open
                for limit in self.limits['links']
                if (spent := self.spent.get('%s:%s' % (limit.name, server.name)))
            ),
            default=0,
        )

    # --- for the digest ---------------------------------------------------------------------------------

    def used(self):
        """Return what is open, in grains by key."""
        return {
            key: spent.open * GRAINS_PER_UNIT
            for key, spent in self.spent.items()
            if spent.open and key.partition(':')[0] in self.concurrent
        }

    def needs(self, now, servers):
        """Return (spare, wants): grains by key that this forwarder can do without, and that it lacks.

        servers: names of cold servers, whose unused budgets can be spared too.
        """
        spare, wants = {}, {}
        keys = dict.fromkeys(self.global_names)
        for limit in self.limits['cold']:
            keys.update(dict.fromkeys('%s:%s' % (limit.name, name) for name in servers))
        keys.update(dict.fromkeys(self.spent))
        for key in list(keys)[:MAX_KEYS]:
            concurrent = key.partition(':')[0] in self.concurrent
            own, demand = self.forwarder_ledger.own[key], self.usage(now, key).demand(now, concurrent)
            spare[key] = max(0, own - demand * 3 // 2)
            shortfall = demand * 5 // 4 - (own - self.forwarder_ledger.deposited(now, key))
            if shortfall > 0:
                wants[key] = -(-shortfall // GRAINS_PER_UNIT) * GRAINS_PER_UNIT if concurrent else shortfall
        return {key: amount for key, amount in spare.items() if amount}, wants

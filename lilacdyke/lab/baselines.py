"""Baseline policies for comparison: random, least in flight, round robin, rendezvous hashing without hedging.

Each patches only the router's choice of a server for the length of a run; admission, the server list and
answers are unchanged.
"""

from ..logic import Router


class Baseline:
    """A baseline policy as a patch of a run."""

    def __init__(self, about, choose=None, hedging=True):
        self.about, self.choose, self.hedging = about, choose, hedging

    def apply(self, environment):
        """Patch the router for the run."""
        if self.choose is not None:
            environment.put(Router, 'choose_cache', self.choose)
        if not self.hedging:
            original = Router.take

            def take(router, *args):
                tx = original(router, *args)
                tx.hedgeable = False
                return tx

            environment.put(Router, 'take', take)


def eligible(router, now, tx):
    """Return the caches that may get the transaction: ready, not tried, and with cold budget left."""
    tried = [hop.server for hop in tx.hops]
    return [
        server
        for server in router.caches
        if server.state == 'ready' and server not in tried and router.cold_budget_allows(now, server)
    ]


def choose_random(router, now, tx):
    """Choose at random."""
    servers = eligible(router, now, tx)
    return servers[int(router.uniform() * len(servers))] if servers else None


def choose_least_in_flight(router, now, tx):
    """Choose the cache with the fewest hops of this node in flight."""
    servers = eligible(router, now, tx)
    return min(servers, key=lambda server: (server.out, router.uniform())) if servers else None


def choose_round_robin(router, now, tx):
    """Choose the caches in turn."""
    servers = eligible(router, now, tx)
    router.round_robin_index = getattr(router, 'round_robin_index', -1) + 1
    return servers[router.round_robin_index % len(servers)] if servers else None


def choose_first_ranked(router, now, tx):
    """Choose the key's first cache by rendezvous hashing, whatever its load."""
    return next(
        iter([server for server in router.ranked(now, tx) if server in eligible(router, now, tx)]), None
    )


BASELINES = {
    'random': Baseline('a random cache, no hedging', choose_random, hedging=False),
    'least': Baseline(
        'the cache with the fewest hops of this node in flight, no hedging',
        choose_least_in_flight,
        hedging=False,
    ),
    'turn': Baseline('round robin, no hedging', choose_round_robin, hedging=False),
    'rendezvous': Baseline(
        "the key's first cache by rendezvous hashing, no hedging", choose_first_ranked, hedging=False
    ),
    'no-copies': Baseline('as built, without hedging', hedging=False),
}

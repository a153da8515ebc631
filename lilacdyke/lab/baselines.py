"""Plain policies to compare with: random choice, least in flight, round robin, rendezvous without copies.

Owns patches of the module's choice, for comparison only: no node is ever run so. The gate, the list and the
answers stay as they are.
"""

from ..logic import Router


class Baseline:
    """A plain policy as a patch of a run."""

    def __init__(self, about, pick=None, copies=True):
        self.about, self.pick, self.copies = about, pick, copies

    def apply(self, environment):
        """Put it in place for the run."""
        if self.pick is not None:
            environment.put(Router, 'choose_cache', self.pick)
        if not self.copies:
            usual = Router.take

            def take(router, *given):
                tx = usual(router, *given)
                tx.hedgeable = False
                return tx

            environment.put(Router, 'take', take)


def able(router, now, tx):
    """The caches that may get it: ready, not tried, warm enough for one more."""
    tried = [hop.server for hop in tx.hops]
    return [
        server
        for server in router.caches
        if server.state == 'ready' and server not in tried and router.cold_budget_allows(now, server)
    ]


def at_random(router, now, tx):
    """Any."""
    servers = able(router, now, tx)
    return servers[int(router.uniform() * len(servers))] if servers else None


def least(router, now, tx):
    """The one with the fewest of this node's hops out."""
    servers = able(router, now, tx)
    return min(servers, key=lambda server: (server.out, router.uniform())) if servers else None


def in_turn(router, now, tx):
    """One after the other."""
    servers = able(router, now, tx)
    router.turn_of = getattr(router, 'turn_of', -1) + 1
    return servers[router.turn_of % len(servers)] if servers else None


def first_ranked(router, now, tx):
    """The key's first by rendezvous, whatever its load."""
    return next(iter([server for server in router.ranked(now, tx) if server in able(router, now, tx)]), None)


BASELINES = {
    'random': Baseline('any cache by chance, no copies', at_random, copies=False),
    'least': Baseline('the cache with the fewest hops of this node out, no copies', least, copies=False),
    'turn': Baseline('one cache after the other, no copies', in_turn, copies=False),
    'rendezvous': Baseline("the key's first cache by rendezvous, no copies", first_ranked, copies=False),
    'no-copies': Baseline('as built, without copies', copies=False),
}

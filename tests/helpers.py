"""What the tests build their states from."""

from lilacdyke.logic import Hop, Router, Server
from lilacdyke.terms import IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT, Profile, SiteTerms

READ, KEPT, ONCE = range(3)


def terms(**other):
    """A site with one profile of each kind; times in tenths of a millisecond."""
    given = dict(
        profiles=[Profile('read', IDEMPOTENT, 'all', 0, 5000, 0),
                  Profile('kept', JOURNALLED, 'all', 4000, 5000, 0),
                  Profile('once', NON_IDEMPOTENT, 'all', 0, 5000, 0)],
        tenants=[], nodes=2, zone=0, aside=False, watched=False, may_copy=True, may_cancel=True, max_hops=5,
        max_return=0, ask_within=100_000, fall_multiple=3, fall_window=10_000, cold_from=0.2,
        warm_up=100_000, tick=10, open_price=0, keep_price=0)
    given.update(other)
    return SiteTerms(**given)


def router(caches=3, origin=False, seed=1, **other):
    """A router that knows so many warm caches, as in router.caches, and maybe an origin."""
    made = Router(terms(aside=origin, **other), seed, 0)
    for number in range(caches):
        enlist(made, 'c%d' % number)
    if origin:
        enlist(made, 'o', origin=True)
    made.relist()
    return made


def enlist(made, name, origin=False, started=None, state='ready', zone=0):
    """Put one server on the router's list."""
    server = Server(name, origin)
    made.list_entry(0, server, state, 1, started, zone, 0)
    made.relist()
    return server


def taken(made, row=READ, key='k', now=0, limit=20_000, write=False):
    """A transaction just taken, with nothing decided yet."""
    return made.take(now, row, 0, key, limit, write)


def out(made, tx, server, sent=0, copy=False):
    """A hop of the transaction that is out at a server."""
    hop = Hop(tx, server, sent, copy)
    tx.hops.append(hop)
    tx.out += 1
    server.out += 1
    made.total_out += 0 if server.origin else 1
    return hop


def ended(made, tx, server, how, sent=0, ran=True):
    """A hop of the transaction that has ended."""
    hop = out(made, tx, server, sent)
    hop.out, hop.ran = False, ran
    tx.out -= 1
    server.out -= 1
    made.total_out -= 0 if server.origin else 1
    return hop

"""The gate that every send passes: hops, transactions, the rules of sending and the budgets.

Limits leased from the fleet are applied here and nowhere else. The gate chooses no server, and no budget
extends another.
"""

from .known import MIN_SHARE, ServerTable
from .terms import IDEMPOTENT, JOURNALLED

OVERLOAD_RATIO = 0.25  # failure_ratio() from which a node sheds load


class Hop:
    """One attempt of a transaction at a server."""

    __slots__ = ('tx', 'server', 'index', 'sent', 'out', 'copy', 'ran', 'failed', 'dropped', 'weight', 'how')

    def __init__(self, tx, server, now, copy):
        self.tx, self.server, self.sent, self.copy = tx, server, now, copy
        self.index = len(tx.hops)
        # Its weight in the in-flight counts: 0 while the body is still arriving.
        self.weight = 0 if tx.limit is None else 1
        self.out, self.ran, self.failed, self.dropped = True, True, False, False  # ran: may have run
        self.how = None  # its ending


class Tx:
    """A transaction that this node has accepted."""

    __slots__ = (
        'ref',
        'profile',
        'key',
        'key_hash',
        'taken',
        'limit',
        'write',
        'read',
        'hops',
        'out',
        'done',
        'rank',
        'next_send_at',
        'hedge_delay',
        'missed',
        'held',
        'retry_cache',
        'hedged',
        'queued',
        'hedgeable',
        'spent',
        'key_seen',
        'refused',
        'why',
    )

    def __init__(self, profile, key, key_hash, now, limit, write):
        self.ref = None  # the host's reference
        self.profile, self.key, self.key_hash = profile, key, key_hash
        self.taken, self.limit, self.write = now, limit, write  # limit None: the body is still arriving
        # A read may be hedged, timed out and retried; a request too large to buffer may not.
        self.read = profile.effect == IDEMPOTENT and not write and limit is not None
        self.key_seen = False  # the key was read through this node lately
        self.spent = False  # the body was streamed to a server and cannot be sent again
        self.hops, self.out, self.done = [], 0, False
        self.rank = None  # caches in rendezvous order, computed on demand
        self.next_send_at, self.hedge_delay = None, 0  # time of the next copy, delay before it
        self.missed = None  # the first cache that lacked the key
        self.held = False  # waits for another transaction's fetch, or for capacity at the origin
        self.retry_cache = None  # cache to retry after another transaction's fetch
        self.hedged, self.queued, self.refused = False, False, None  # refused: the fleet's limit is exceeded
        self.why = None  # reason for giving up, for the host's log


class Gate(ServerTable):
    """Decides whether a hop may be sent, by the rules and the budgets."""

    def __init__(self, terms, seed):
        super().__init__(terms, seed)
        self.fleet_limits = None  # this node's leases from the fleet (plan/shares.py); None: no limit
        self.handed = False  # whether the node's next process has taken over the cold budgets
        self.awaiting_first_list = False  # until discovery has sent a list, or is not waited for any longer
        self.retry_budget = 1.0

    def accepts_read(self, now, tx, server, drawn):
        """Return whether a server should get one more read, given a random number in [0, 1).

        This keeps many nodes with one hop each from overloading a server together. The probability falls as
        the expected wait exceeds a third of the goal, down to MIN_SHARE at two thirds; for the origin, later
        answers are accepted the more revenue they still earn. A node that often hears from each cache relies
        on the in-flight limit instead, except in an overload behind the caches."""
        if self.gets_hops_often and self.failure_ratio() < OVERLOAD_RATIO and not server.origin:
            return True
        slope = 3 - tx.profile.late_revenue if server.origin else 3
        excess = slope * self.expected_wait(now, server) / (self.goal if server.origin else tx.profile.goal)
        return drawn < max(MIN_SHARE, 2 - excess)

    def pay_for_retry(self, now, tx):
        """Take a further hop from the retry budget; return whether it may be sent. Prevents retry storms.

        A retry after an error is free unless the node sheds load. A retry after a hop that did not run is
        free as well, but its probability falls as failure_ratio() grows. A read that leaves its home cache
        probably misses, and is retried only if the origin accepts it."""
        if not tx.hops or tx.missed:
            return True
        if tx.read and self.origin and not self.accepts_read(now, tx, self.origin, self.uniform()):
            return False
        if not tx.hops[-1].ran:
            return self.uniform() >= 2 * (self.failure_ratio() - OVERLOAD_RATIO)
        cost = 0 if tx.hops[-1].failed and self.failure_ratio() < OVERLOAD_RATIO else 1
        if self.retry_budget < cost:
            return False
        self.retry_budget -= cost
        return True

    def late(self, waited):
        """Return whether the node lags so far behind that a request that waited so long is rejected: all
        its answers would be late."""
        return 2 * waited > self.goal

    def first_list_due(self, tx):
        """Return the time until which a transaction may wait for discovery's first list.

        It is not late then, and half of its time is left for a retry elsewhere."""
        wait = self.goal if tx.limit is None else min(self.goal, tx.limit - tx.taken)
        return tx.taken + wait // 2

    def hold_until(self, tx):
        """Return the time until which a transaction may be held without a hop."""
        return min(tx.limit, tx.taken + tx.profile.goal)

    @staticmethod
    def over(now, tx):
        """Return whether the limit has passed; there is none while the body is arriving."""
        return tx.limit is not None and now >= tx.limit

    def cold_budget_allows(self, now, server):
        """Return whether a server may get one more hop despite being cold.

        The rate of a cold cache is the peak rate of warm caches, scaled by weight and age, times half of the
        multiple that the whole fleet must stay under. What caches answer counts, not what they are sent,
        which in an overload is mostly retries. The rate may be far below one hop per window, so credit
        accumulates from a random start."""
        warmth = self.capacity_factor(now, server)
        if self.fleet_limits and not self.fleet_limits.allows(now, server, warmth < 1):
            return False
        if server.origin or warmth == 1:
            return True
        rate = max(
            1 / self.terms.nodes, self.peak_warm_rate * server.weight * warmth * self.terms.fall_multiple / 2
        )
        gained = 0 if self.handed else rate * (now - server.credit_updated) / self.terms.overload_window
        server.cold_credit, server.credit_updated = min(max(1, rate / 2), server.cold_credit + gained), now
        return server.cold_credit >= 1

    def permitted(self, now, tx, server):
        """Return whether the rules allow one more hop of this transaction to this server."""
        if self.awaiting_first_list:
            return False  # servers of the remembered list may have begun to drain
        if tx.done or self.over(now, tx) or len(tx.hops) >= self.terms.max_hops or server.state != 'ready':
            return False
        if tx.spent or not self.cold_budget_allows(now, server) or tx.out and not tx.hedgeable:
            return False
        ran = [hop for hop in tx.hops if hop.ran]
        if not ran or tx.profile.effect == IDEMPOTENT:
            return True
        if tx.profile.effect != JOURNALLED or now >= ran[0].sent + tx.profile.window - self.terms.tick:
            return False
        group = tx.profile.group  # servers of one group drop repeats of each other's transactions
        return group == 'all' or all(getattr(hop.server, group) == getattr(server, group) for hop in ran)

    def send(self, now, tx, server, copy):
        """Send a hop if permitted; return the decision, or None. All hops are sent here."""
        if not self.permitted(now, tx, server):
            return None
        hop = Hop(tx, server, now, copy)
        tx.hops.append(hop)
        tx.out += 1
        self.adjust_in_flight(server, hop.weight)
        server.cold_credit -= 1
        bounded = tx.read and not server.origin and self.failure_ratio() >= OVERLOAD_RATIO
        return 'send', hop, max(1, self.hold_until(tx) - now) if bounded else None

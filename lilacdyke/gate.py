"""The gate that every send passes, and the budgets under it; what the fleet lends comes in here alone. Owns
hops, transactions, the four rules. Must never choose a server, nor let one budget loosen another."""

from .known import FLOOR, Known
from .terms import IDEMPOTENT, JOURNALLED

STRAIN = 0.25  # share of hops ending late or badly from which a jam is fought


class Hop:
    """One attempt of a transaction at a server."""

    __slots__ = ('tx', 'server', 'index', 'sent', 'out', 'copy', 'ran', 'failed', 'dropped', 'weight', 'how')

    def __init__(self, tx, server, now, copy):
        self.tx, self.server, self.sent, self.copy = tx, server, now, copy
        self.index = len(tx.hops)
        self.weight = 0 if tx.limit is None else 1  # of the server's hops out; 0: its body still comes
        self.out, self.ran, self.failed, self.dropped = True, True, False, False  # ran: may have
        self.how = None  # its ending, once it has one


class Tx:
    """A transaction that this node has taken."""

    __slots__ = (
        'ref',
        'profile',
        'key',
        'mark',
        'taken',
        'limit',
        'write',
        'read',
        'hops',
        'out',
        'done',
        'rank',
        'next',
        'delay',
        'missed',
        'held',
        'again',
        'copied',
        'queued',
        'twice',
        'spent',
        'known',
        'refused',
        'why',
    )

    def __init__(self, profile, key, mark, now, limit, write):
        self.ref = None  # the host's own mark
        self.profile, self.key, self.mark = profile, key, mark
        self.taken, self.limit, self.write = now, limit, write  # limit None: its body still comes
        # May be out twice, cut and sent anew; what is too large to be held may not.
        self.read = profile.effect == IDEMPOTENT and not write and limit is not None
        self.known = False  # its key was read here lately
        self.spent = False  # its body has gone to a server and is not held
        self.hops, self.out, self.done = [], 0, False
        self.rank = None  # caches by rendezvous rank, once needed
        self.next, self.delay = None, 0  # when something more may be sent; the present copy delay
        self.missed = None  # the first cache that lacked the key
        self.held = False  # waits for another's fetch, or for a place to fetch
        self.again = None  # the cache to ask again after another's fetch
        self.copied, self.queued, self.refused = False, False, None  # refused: over a limit of the fleet
        self.why = None  # why it was given up, for the host's log


class Gate(Known):
    """What may be sent, by the rules and by the budgets."""

    def __init__(self, terms, seed):
        super().__init__(terms, seed)
        self.shares = None  # what the fleet lets this node spend (plan/shares.py); None: no limit
        self.handed = False  # whether another process of this node has its cold budgets
        self.copies_left = 1.0

    def welcome(self, now, tx, server, drawn):
        """Whether one more read should go there, by a number drawn for it. Guards against many nodes with a
        hop each, whose sum jams a server: as the expected wait passes a third of the goal they send ever
        less, a trickle at two thirds; at the origin later, the more a late answer is worth. Where a node
        hears often the bound does, save in a jam behind the caches, as of their origin."""
        if self.often and self.strain() < STRAIN and not server.origin:
            return True
        worth = 3 - tx.profile.late_revenue if server.origin else 3
        part = worth * self.expected(now, server) / (self.goal if server.origin else tx.profile.goal)
        return drawn < max(FLOOR, 2 - part)

    def afford(self, now, tx):
        """Take a further hop, after one that may have run, out of the budget: guards against a retry storm.
        After an error it is free, without strain; from a full cache the fewer go on the more strain there is.
        A read away from its home likely misses: it goes on only as far as the origin bears that."""
        if not tx.hops or tx.missed:
            return True
        if tx.read and self.origin and not self.welcome(now, tx, self.origin, self.chance()):
            return False
        if not tx.hops[-1].ran:
            return self.chance() >= 2 * (self.strain() - STRAIN)
        price = 0 if tx.hops[-1].failed and self.strain() < STRAIN else 1
        if self.copies_left < price:
            return False
        self.copies_left -= price
        return True

    def late(self, waited):
        """Whether what waited so long at the door is turned away: the node is behind, all would be late."""
        return 2 * waited > self.goal

    def patience(self, tx):
        """Until when a transaction may be held with nothing sent."""
        return min(tx.limit, tx.taken + tx.profile.goal)

    @staticmethod
    def over(now, tx):
        """Whether its time is up; it has none while its body comes."""
        return tx.limit is not None and now >= tx.limit

    def cold_room(self, now, server):
        """Whether one more may go to a server that may be cold: of what warm caches of its size serve (sent
        are retries, in an overload), cut by age, this node's part at half of the multiple that all must stay
        under. A part may be far under one hop a window: so credit gathers from a start drawn by chance."""
        part = self.presence(now, server)
        if self.shares and not self.shares.allows(now, server, part < 1):
            return False
        if server.origin or part == 1:
            return True
        rate = max(1 / self.terms.nodes, self.usual * server.weight * part * self.terms.fall_multiple / 2)
        gained = 0 if self.handed else rate * (now - server.dated) / self.terms.fall_window
        server.credit, server.dated = min(max(1, rate / 2), server.credit + gained), now
        return server.credit >= 1

    def permitted(self, now, tx, server):
        """The four rules, for one more hop of this transaction to this server."""
        if tx.done or self.over(now, tx) or len(tx.hops) >= self.terms.max_hops or server.state != 'ready':
            return False
        if tx.spent or not self.cold_room(now, server) or tx.out and not tx.twice:
            return False
        ran = [hop for hop in tx.hops if hop.ran]
        if not ran or tx.profile.effect == IDEMPOTENT:
            return True
        if tx.profile.effect != JOURNALLED or now >= ran[0].sent + tx.profile.window - self.terms.tick:
            return False
        group = tx.profile.group  # within it servers drop each other's repeats
        return group == 'all' or all(getattr(hop.server, group) == getattr(server, group) for hop in ran)

    def send(self, now, tx, server, copy):
        """The one place that sends."""
        if not self.permitted(now, tx, server):
            return None
        hop = Hop(tx, server, now, copy)
        tx.hops.append(hop)
        tx.out += 1
        self.count_out(server, hop.weight)
        server.credit -= 1
        cut = tx.read and not server.origin and self.strain() >= STRAIN
        return 'send', hop, max(1, self.patience(tx) - now) if cut else None

"""A check, while the node runs, that its decisions as carried out keep the rules.

Owns what it counts: it looks at each attempt as its first byte leaves, at each final answer, and at each
client connection that this side closes, and keeps books of its own. A violation is counted in the figures and
logged with the request's id. Must never change what the node does, nor raise into it.
"""

from collections import deque
from functools import wraps

from ..terms import IDEMPOTENT, JOURNALLED
from ..values import SECOND
from .logs import LOG

NEVER_RAN = frozenset(('refused', 'unreachable', 'unsent', 'missing'))  # endings that prove it
SLACK = SECOND // 20  # that the rules allow each limit on sockets
LATE = SECOND // 2  # beyond its limit a request has its answer within so long
SPARE = 3  # attempts at a cold server beyond its budget that chance may bring about
MOST_SERVERS = 8_192  # that books are kept of


def unraised(check):
    """A check whose own faults end in the log, once, and in a count."""

    @wraps(check)
    def called(self, *given):
        try:
            check(self, *given)
        except Exception:
            self.count('guard_faults')
            LOG.exception('guard failed')

    return called


class Guard:
    """The books of one node. now(): its clock, in ticks; count(name): one more of these in the figures;
    is_open(active): whether the node owes that request an answer."""

    def __init__(self, now, count, is_open, router, stop_within):
        self.now, self.count, self.is_open = now, count, is_open
        self.router, self.stop_within = router, stop_within
        self.told = {}  # by server: when the list first said that it takes nothing new
        self.starts = {}  # by server: when attempts left for it lately, while it is cold

    def violated(self, rule, active, **fields):
        """One more violation."""
        self.count('violated_' + rule)
        LOG.error(
            'invariant violated: %s' % rule,
            extra={'fields': {'request': active.name.decode('latin-1'), **fields}},
        )

    @unraised
    def listed(self, servers):
        """A list, or changes to one, is in force."""
        now = self.now()
        for server in servers:
            if server.told == 'ready' and server.state != 'gone':
                self.told.pop(server.name, None)
            elif len(self.told) < MOST_SERVERS:
                self.told.setdefault(server.name, now)

    @unraised
    def leaves(self, active, hop):
        """An attempt's first byte is to leave now."""
        now = self.now()
        if not self.is_open(active):
            self.violated('sent_after_end', active, server=hop.server.name)
        elif hop.tx.limit is not None and now > hop.tx.limit + SLACK:
            self.violated('sent_after_limit', active, server=hop.server.name)
        if self.may_repeat(now, active, hop):
            self.violated('second_effect', active, server=hop.server.name)
        active.left.append((now, hop))
        told = self.told.get(hop.server.name)
        if told is not None and now > told + self.stop_within + SLACK:
            self.violated('sent_to_drained', active, server=hop.server.name, after_ms=(now - told) // 10)
        if hop.server.started is not None and not hop.server.origin:
            self.check_start(now, active, hop.server)

    @staticmethod
    def may_repeat(now, active, hop):
        """Whether this attempt may have an effect a second time."""
        profile = hop.tx.profile
        if profile.effect == IDEMPOTENT:
            return False
        ran = [(at, other) for at, other in active.left if other.out or other.how not in NEVER_RAN]
        if not ran:
            return False
        if profile.effect != JOURNALLED or now > ran[0][0] + profile.window + SLACK:
            return True
        group = profile.group
        return group != 'all' and any(
            getattr(other.server, group) != getattr(hop.server, group) for _, other in ran
        )

    def check_start(self, now, active, server):
        """Slow start: attempts at a cold server in one window stay under this node's part of what all
        together may send."""
        router, terms = self.router, self.router.terms
        part = router.presence(now, server)
        if part >= 1:
            self.starts.pop(server.name, None)
            return
        times = self.starts.setdefault(server.name, deque())
        times.append(now)
        while times[0] <= now - terms.fall_window:
            times.popleft()
        most = router.usual * server.weight * part * terms.fall_multiple + SPARE
        if len(times) > most:
            self.violated('slow_start', active, server=server.name, sent=len(times), most=round(most, 1))
            times.clear()
        if len(self.starts) > MOST_SERVERS:
            self.starts.clear()

    @unraised
    def answers(self, active):
        """A final answer is given now."""
        if not self.is_open(active):
            self.violated('answered_twice', active)
        elif active.tx.limit is not None and self.now() > active.tx.limit + LATE:
            late = self.now() - active.tx.limit
            self.violated('answered_late', active, late_ms=late // 10)

    @unraised
    def closes(self, active, why):
        """This side closes a client's connection that is owed an answer."""
        self.violated('closed_unanswered', active, why=why)

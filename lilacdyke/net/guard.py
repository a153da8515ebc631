"""Runtime checks that the node keeps its invariants.

The guard looks at each attempt when its first byte is sent, at each final answer, and at each client
connection that this side closes, and keeps its own records of them. A violation is counted and logged with
the request's id. The guard never changes what the node does and never raises into it.
"""

from collections import deque
from functools import wraps

from ..terms import IDEMPOTENT, JOURNALLED
from ..values import SECOND
from .logs import LOG

NEVER_RAN = frozenset(
    ('refused', 'unreachable', 'unsent', 'missing')
)  # endings that prove that an attempt did not run
TOLERANCE = SECOND // 20  # ticks by which any limit may be missed
ANSWER_TOLERANCE = SECOND // 2  # ticks by which an answer may miss its request's limit
EXTRA_ATTEMPTS = 3  # attempts at a cold server beyond its budget that randomness may cause
MAX_SERVERS = 8_192  # limit on the records kept


def never_raises(check):
    """Decorate a check so that its exceptions are logged and counted instead of raised."""

    @wraps(check)
    def wrapped(self, *args):
        try:
            check(self, *args)
        except Exception:
            self.count('guard_faults')
            LOG.exception('guard failed')

    return wrapped


class Guard:
    """The checks of one node.

    now(): its clock, in ticks; count(name): increments a counter; is_open(active): whether the node still
    owes the request an answer.
    """

    def __init__(self, now, count, is_open, router, stop_sending_timeout):
        self.now, self.count, self.is_open = now, count, is_open
        self.router, self.stop_sending_timeout = router, stop_sending_timeout
        self.not_ready_since = {}  # by server: when the list first said that it takes no new requests
        self.cold_sends = {}  # by server: times of recent attempts, while it is cold

    def violated(self, rule, active, **fields):
        """Count and log a violation."""
        self.count('violated_' + rule)
        LOG.error(
            'invariant violated: %s' % rule,
            extra={'fields': {'request': active.name.decode('latin-1'), **fields}},
        )

    @never_raises
    def update_servers(self, servers):
        """Record since when servers are not ready, after a list or a change to it."""
        now = self.now()
        for server in servers:
            if server.listed_state == 'ready' and server.state != 'gone':
                self.not_ready_since.pop(server.name, None)
            elif len(self.not_ready_since) < MAX_SERVERS:
                self.not_ready_since.setdefault(server.name, now)

    @never_raises
    def check_send(self, active, hop):
        """Check an attempt whose first byte is about to be sent."""
        now = self.now()
        if not self.is_open(active):
            self.violated('sent_after_end', active, server=hop.server.name)
        elif hop.tx.limit is not None and now > hop.tx.limit + TOLERANCE:
            self.violated('sent_after_limit', active, server=hop.server.name)
        if self.may_duplicate_effect(now, active, hop):
            self.violated('second_effect', active, server=hop.server.name)
        active.sent_hops.append((now, hop))
        since = self.not_ready_since.get(hop.server.name)
        if since is not None and now > since + self.stop_sending_timeout + TOLERANCE:
            self.violated('sent_to_drained', active, server=hop.server.name, after_ms=(now - since) // 10)
        if hop.server.started is not None and not hop.server.origin:
            self.check_slow_start(now, active, hop.server)

    @staticmethod
    def may_duplicate_effect(now, active, hop):
        """Return whether this attempt could cause the request's effect a second time."""
        profile = hop.tx.profile
        if profile.effect == IDEMPOTENT:
            return False
        ran_earlier = [
            (at, other) for at, other in active.sent_hops if other.out or other.how not in NEVER_RAN
        ]
        if not ran_earlier:
            return False
        if profile.effect != JOURNALLED or now > ran_earlier[0][0] + profile.window + TOLERANCE:
            return True
        group = profile.group
        return group != 'all' and any(
            getattr(other.server, group) != getattr(hop.server, group) for _, other in ran_earlier
        )

    def check_slow_start(self, now, active, server):
        """Check that attempts at a cold server in one window stay below this node's share of its limit."""
        router, terms = self.router, self.router.terms
        warmth = router.capacity_factor(now, server)
        if warmth >= 1:
            self.cold_sends.pop(server.name, None)
            return
        times = self.cold_sends.setdefault(server.name, deque())
        times.append(now)
        while times[0] <= now - terms.overload_window:
            times.popleft()
        limit = router.peak_warm_rate * server.weight * warmth * terms.fall_multiple + EXTRA_ATTEMPTS
        if len(times) > limit:
            self.violated('slow_start', active, server=server.name, sent=len(times), most=round(limit, 1))
            times.clear()
        if len(self.cold_sends) > MAX_SERVERS:
            self.cold_sends.clear()

    @never_raises
    def check_answer(self, active):
        """Check a final answer that is about to be sent."""
        if not self.is_open(active):
            self.violated('answered_twice', active)
        elif active.tx.limit is not None and self.now() > active.tx.limit + ANSWER_TOLERANCE:
            overrun = self.now() - active.tx.limit
            self.violated('answered_late', active, late_ms=overrun // 10)

    @never_raises
    def report_close(self, active, why):
        """Report that this side closes a client's connection that is still owed an answer."""
        self.violated('closed_unanswered', active, why=why)

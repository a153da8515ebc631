"""The end of a node after SIGTERM: its drain, with the limits that SIGKILL sets, and its exit.

Everything continues for a while, as clients still arrive. Then idle connections are closed, and the listening
socket once no client is expected any more.
"""

from .logs import log_event

# Times are in ticks of 0.1 ms.
ARRIVAL_GRACE = 5_000  # new clients stop arriving within this time after SIGTERM
MAX_DRAIN = 30_000  # SIGKILL may follow SIGTERM a little later than this
SETTLED_IDLE = 2_500  # a client idle for this long is unlikely to send a request while its connection closes
STEP_INTERVAL = ARRIVAL_GRACE // 20
EXIT_DELAY = ARRIVAL_GRACE // 5  # for clients that stay beyond the last answer


class Shutdown:
    """The drain of a node."""

    def __init__(self, node):
        self.node = node
        self.began = None  # time of SIGTERM
        self.last = None  # when all requests have to be answered

    def begin(self, signum):
        """Begin the drain."""
        node = self.node
        if not node.successor_listens:
            node.listener.disable_deferred_accept()
        log_event(
            'draining',
            signal=signum,
            open=len(node.active_requests),
            clients=len(node.listener.table),
            succeeded=node.successor_accepts,
        )
        if node.handover:
            node.handover.end()
        self.began = node.clock()
        self.last = self.began + min(node.listener.longest_limit, MAX_DRAIN) + ARRIVAL_GRACE
        for active in node.active_requests:
            self.cap_deadline(active)
        node.deadlines.at(self.last, node.listener.abort_streaming, 0)
        node.deadlines.at(self.began + ARRIVAL_GRACE, self.step, 0)

    def cap_deadline(self, active):
        """Cap a request's limit at the end of the drain, as SIGKILL does not wait for the longest limits."""
        node, tx = self.node, active.tx
        if self.last and tx.limit is not None and tx.limit > self.last:
            tx.limit = self.last
            node.router.set_timer(tx.limit, tx)
            node.deadlines.at(tx.limit, node.limit_due, active.number)

    def step(self, _):
        """Close idle connections, and exit once no client is left or the drain's time is over."""
        now = self.node.clock()
        self.close_idle(now)
        if self.may_stop_listening(now):
            self.node.listener.stop_listening()
        if self.is_complete() or now >= self.last + EXIT_DELAY:
            self.node.stop()
        else:
            self.node.deadlines.at(now + STEP_INTERVAL, self.step, 0)

    def close_idle(self, now):
        """Close idle connections.

        With a successor no new clients arrive here, so first close only connections that have been idle for
        long: a request is unlikely to cross their close.
        """
        settles = self.node.successor_accepts and now < self.began + 4 * ARRIVAL_GRACE
        self.node.listener.close_idle(SETTLED_IDLE if settles else 0)

    @property
    def shares_socket(self):
        """Whether another process needs this one's listening socket until the exit.

        Nobody else would accept if a successor became unresponsive.
        """
        return self.node.successor_listens or self.node.keeps_listening

    def may_stop_listening(self, now):
        """Return whether the listening socket may be closed."""
        if now >= self.last - ARRIVAL_GRACE:
            return True
        return not self.shares_socket and self.node.listener.no_clients_expected(self.began + ARRIVAL_GRACE)

    def is_complete(self):
        """Return whether no client is left and none can arrive that only this process would accept."""
        if len(self.node.listener.table):
            return False
        return self.node.listener.shut or self.node.successor_listens and not self.node.keeps_listening

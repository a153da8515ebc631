"""Connects a replica to its neighbours: dials parents, accepts children, and carries out its decisions.

Owns the links and the clock. Never queues messages for a neighbour, and holds at most MAX_LINKS links.
"""

from collections import Counter

from ..net.logs import log_event, log_warning
from ..net.sockets import connect
from ..net.tables import Deadlines
from ..values import SECOND, InvalidValueError
from .link import Listener, ParentLink
from .messages import PutAnswer, PutRequest, Status, StatusRequest, TakeBackRequest
from .replica import HEARTBEAT_INTERVAL

IDLE_TIMEOUT = 4 * HEARTBEAT_INTERVAL
DIAL_TIMEOUT = 2 * SECOND
BACKOFF_MIN, BACKOFF_MAX = SECOND // 4, 4 * SECOND
MAX_LINKS = 4_096
IDLE_CHECK_INTERVAL = SECOND // 2
HELLO_TIMEOUT = 5 * SECOND


class Host:
    """Runs the replica of one process.

    random: function that returns a uniform random number in [0, 1). parents: (name, address) of each process
    to dial, in order of preference. on_changes(origin, changes, snapshot): called with what was applied.
    node_rate(name): maximum changes per second sent to this child, or None for no limit.
    """

    def __init__(
        self,
        reactor,
        elapsed,
        random,
        replica,
        installation,
        parents=(),
        on_changes=lambda *_: None,
        node_rate=None,
    ):
        self.reactor, self.elapsed, self.random = reactor, elapsed, random
        self.replica, self.name, self.installation = replica, replica.name, installation
        self.parents, self.on_changes, self.node_rate = list(parents), on_changes, node_rate
        self.clock_origin = elapsed() - 1
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.counts = Counter()
        # links by name of neighbour; accepted connections that have not sent Hello
        self.links, self.unidentified = {}, []
        # next_parent: index of the parent to dial, modulo their number
        self.parent_link, self.dial_failures, self.next_parent = None, 0, 0
        self.wake_at, self.settling, self.port, self.writer = None, False, None, None
        self.wall_ms = None  # set beside writer: function that returns Unix time in milliseconds

    def clock(self):
        """Return the ticks of this process's own clock."""
        return int((self.elapsed() - self.clock_origin) * SECOND)

    def start(self):
        """Dial the first parent and start checking for idle links."""
        if self.parents:
            self.dial(0)
        self.end_idle_links(0)

    def listen(self, host, port):
        """Accept connections of children and operators."""
        self.port = self.reactor.listenTCP(port, Listener(self), backlog=1024, interface=host)

    # --- parent -------------------------------------------------------------------------------------------

    def dial(self, _):
        """Dial the next parent."""
        name, endpoint = self.parents[self.next_parent % len(self.parents)]
        link = self.parent_link = ParentLink(self, name)
        connect(self.reactor, endpoint, link).addCallbacks(self.parent_linked, lambda _: self.link_lost(link))
        self.deadlines.at(self.clock() + DIAL_TIMEOUT, self.dial_timed_out, link)

    def dial_timed_out(self, link):
        """Cancel a dial to a machine that does not answer."""
        if self.parent_link is link and link.transport is None:
            link.up.cancel()

    def parent_linked(self, link):
        """Register the link to the parent."""
        self.links[link.peer] = link
        self.replica.linked(self.clock(), link.peer, False)
        log_event('linked', above=link.peer)
        self.settle()

    def schedule_redial(self):
        """Schedule a dial to the next parent, with exponential backoff and jitter."""
        self.parent_link, self.next_parent = None, self.next_parent + 1
        wait = min(BACKOFF_MAX, BACKOFF_MIN << min(8, self.dial_failures))
        self.dial_failures += 1
        self.deadlines.at(self.clock() + int(wait * (0.5 + self.random())), self.dial, 0)

    # --- children -----------------------------------------------------------------------------------------

    def accepted(self, link):
        """Register a new connection, or close it if there are too many links."""
        if len(self.links) + len(self.unidentified) >= MAX_LINKS:
            self.counts['crowded_out'] += 1
            link.close()
        else:
            self.unidentified.append(link)

    def child_linked(self, link):
        """Register the link to a child, and close an older link of the same name."""
        self.unidentified.remove(link)
        older = self.links.get(link.peer)
        if older is not None:
            older.close()
        self.links[link.peer] = link
        rate = self.node_rate(link.peer) if self.node_rate else None
        self.replica.linked(self.clock(), link.peer, True, rate)
        self.settle()

    def link_lost(self, link):
        """Unregister a link that has closed or failed to connect."""
        if link in self.unidentified:
            self.unidentified.remove(link)
        if link.peer is not None and self.links.get(link.peer) is link:
            del self.links[link.peer]
            self.replica.unlinked(self.clock(), link.peer)
        if link is self.parent_link:
            self.schedule_redial()

    def end_idle_links(self, _):
        """Close links that have been idle for too long."""
        now = self.clock()
        for link in list(self.links.values()):
            if now >= link.last_received + IDLE_TIMEOUT:
                log_warning('link given up', peer=link.peer, why='silent')
                link.close()
        for link in [link for link in self.unidentified if now >= link.last_received + HELLO_TIMEOUT]:
            link.close()
        self.deadlines.at(now + IDLE_CHECK_INTERVAL, self.end_idle_links, 0)

    def set_blocked(self, link, is_blocked):
        """Note whether data sent on a link still waits in the send buffer."""
        if link.peer is not None and self.links.get(link.peer) is link:
            self.replica.set_blocked(link.peer, is_blocked)
            self.settle()

    # --- messages -----------------------------------------------------------------------------------------

    def receive_sync(self, link, sync):
        """Apply a message of a neighbour. One on a link that has been replaced is ignored."""
        if self.links.get(link.peer) is not link:
            return
        if link is self.parent_link:
            self.dial_failures = 0
        self.replica.receive(self.clock(), link.peer, sync)
        if self.replica.unhandled:
            self.replica.schedule_batch(self.clock())
        self.settle()

    def handle_request(self, request):
        """Return the answer to an operator's request."""
        if isinstance(request, StatusRequest):
            return self.status()
        if self.writer is None:
            return PutAnswer(refused='%s writes no log' % self.name)
        try:
            change = self.apply_request(request)
        except InvalidValueError as err:
            return PutAnswer(refused=str(err))
        return PutAnswer(self.replica.log(self.replica.origin).position if change else None)

    def apply_request(self, request):
        """Put a change, or take one back, and return the new change. Raise InvalidValueError if it is
        refused."""
        if not self.replica.holds_lease(self.clock()):
            raise InvalidValueError('%s does not hold the lease' % self.name)
        if isinstance(request, PutRequest):
            items = [(item.key, item.value) for item in request.items]
            change = self.writer.put(request.kind, items, self.wall_ms())
        else:
            assert isinstance(request, TakeBackRequest)
            change = self.writer.take_back(request.sequence, self.wall_ms())
        self.replica.schedule_batch(self.clock())
        self.settle()
        return change

    def status(self):
        """Return the status of this replica and its descendants."""
        replica, now = self.replica, self.clock()
        ages = {origin: replica.age(now, origin) for origin in replica.logs}
        return Status(
            name=self.name,
            positions={origin: log.position for origin, log in replica.logs.items()},
            complete={origin: replica.complete(origin) for origin in replica.logs},
            ages={origin: age for origin, age in ages.items() if age is not None},
            behind=replica.behind(),
            below=replica.count_descendants(),
            configuration={
                key: text for log in replica.logs.values() for key, text in log.configuration.items()
            },
        )

    # --- decisions ------------------------------------------------------------------------------------------

    def settle(self):
        """Pass on what was applied, then carry out the replica's decisions until there are none."""
        if self.settling:
            return
        self.settling = True
        try:
            unhandled, self.replica.unhandled = self.replica.unhandled, []
            for origin, changes, snapshot in unhandled:
                self.on_changes(origin, changes, snapshot)
            while (decision := self.replica.decide(self.clock())) is not None:
                _, name, message = decision
                self.links[name].send(message)
            self.schedule_wake()
        finally:
            self.settling = False

    def schedule_wake(self):
        """Schedule the next call of settle()."""
        when = self.replica.next_wake()
        if when is not None and (self.wake_at is None or when < self.wake_at):
            self.wake_at = when
            self.deadlines.at(when, self.wake_up, when)

    def wake_up(self, when):
        if self.wake_at == when:
            self.wake_at = None
        self.settle()

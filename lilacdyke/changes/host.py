"""A replica with its links: dials those above, takes those below, and pulls the replica's decisions.

Owns the links and the clock. Must never queue for a neighbour, nor hold more links than it was given room
for.
"""

from collections import Counter

from ..net.logs import say, warn
from ..net.sockets import connect
from ..net.tables import Deadlines
from ..values import SECOND, BadLine
from .link import LinkAbove, Listener
from .messages import PutAnswer, PutRequest, Status, StatusRequest, TakeBackRequest
from .replica import HEARTBEAT_EVERY

SILENT_AFTER = 4 * HEARTBEAT_EVERY  # without a byte a link is given up
DIAL_WITHIN = 2 * SECOND
BACKOFF_FIRST, BACKOFF_LONGEST = SECOND // 4, 4 * SECOND  # between dials, doubled each time and drawn
MOST_LINKS = 4_096
LOOK_EVERY = SECOND // 2
UNNAMED_FOR = 5 * SECOND  # a connection below that has not said who it is


class Host:
    """One process's replica. above: (name, address) of those to dial, the first wanted first; handle(origin,
    changes, snapshot): called with what was taken in."""

    def __init__(
        self,
        reactor,
        elapsed,
        chance,
        replica,
        installation,
        above=(),
        handle=lambda *_: None,
        node_rate=None,
    ):
        self.reactor, self.elapsed, self.chance = reactor, elapsed, chance
        self.replica, self.name, self.installation = replica, replica.name, installation
        self.above, self.handle, self.node_rate = list(above), handle, node_rate
        self.zero = elapsed() - 1
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.counts = Counter()
        self.links, self.unnamed = {}, []  # by neighbour; connections below that have not said who they are
        # the link above; dials that failed; which of those above
        self.up, self.failures, self.turn = None, 0, 0
        self.woken, self.pulling, self.port, self.writer = None, False, None, None
        self.put_at = None  # where there is a writer: the time of day, in milliseconds

    def clock(self):
        """Ticks of this process's own clock."""
        return int((self.elapsed() - self.zero) * SECOND)

    def begin(self):
        """Dial, and look at links from now on."""
        if self.above:
            self.dial(0)
        self.look(0)

    def listen(self, host, port):
        """Take those below."""
        self.port = self.reactor.listenTCP(port, Listener(self), backlog=1024, interface=host)

    # --- links above --------------------------------------------------------------------------------------

    def dial(self, _):
        """Open a link to the next of those above."""
        name, where = self.above[self.turn % len(self.above)]
        link = self.up = LinkAbove(self, name)
        connect(self.reactor, where, link).addCallbacks(self.linked_above, lambda _: self.link_lost(link))
        self.deadlines.at(self.clock() + DIAL_WITHIN, self.not_up, link)

    def not_up(self, link):
        """Guards against a machine that says nothing."""
        if self.up is link and link.transport is None:
            link.up.cancel()

    def linked_above(self, link):
        """The link above is there."""
        self.links[link.peer] = link
        self.replica.linked(self.clock(), link.peer, False)
        say('linked', above=link.peer)
        self.settle()

    def dial_again(self):
        """The link above has ended: the next of those above, after a wait that grows and is drawn. Guards
        against a herd at a relay that comes back."""
        self.up, self.turn = None, self.turn + 1
        wait = min(BACKOFF_LONGEST, BACKOFF_FIRST << min(8, self.failures))
        self.failures += 1
        self.deadlines.at(self.clock() + int(wait * (0.5 + self.chance())), self.dial, 0)

    # --- links below --------------------------------------------------------------------------------------

    def accepted(self, link):
        """Somebody has connected."""
        if len(self.links) + len(self.unnamed) >= MOST_LINKS:
            self.counts['crowded_out'] += 1
            link.end()
        else:
            self.unnamed.append(link)

    def linked_below(self, link):
        """It has said who it is; an older link of the same name is a process that is gone."""
        self.unnamed.remove(link)
        older = self.links.get(link.peer)
        if older is not None:
            older.end()
        self.links[link.peer] = link
        rate = self.node_rate(link.peer) if self.node_rate else None
        self.replica.linked(self.clock(), link.peer, True, rate)
        self.settle()

    def link_lost(self, link):
        """A link has ended, or did not come up."""
        if link in self.unnamed:
            self.unnamed.remove(link)
        if link.peer is not None and self.links.get(link.peer) is link:
            del self.links[link.peer]
            self.replica.unlinked(self.clock(), link.peer)
        if link is self.up:
            self.dial_again()

    def look(self, _):
        """End links that have said nothing for long."""
        now = self.clock()
        for link in list(self.links.values()):
            if now >= link.heard + SILENT_AFTER:
                warn('link given up', peer=link.peer, why='silent')
                link.end()
        for link in [link for link in self.unnamed if now >= link.heard + UNNAMED_FOR]:
            link.end()
        self.deadlines.at(now + LOOK_EVERY, self.look, 0)

    def blocked(self, link, whether):
        """What was sent on a link lies with the system, or has left."""
        if link.peer is not None and self.links.get(link.peer) is link:
            self.replica.blocked(link.peer, whether)
            self.settle()

    # --- messages -----------------------------------------------------------------------------------------

    def told(self, link, sync):
        """A neighbour's message."""
        if self.links.get(link.peer) is not link:
            return
        if link is self.up:
            self.failures = 0
        self.replica.told(self.clock(), link.peer, sync)
        if self.replica.taken:
            self.replica.changed(self.clock())
        self.settle()

    def asked(self, request):
        """What staff are told."""
        if isinstance(request, StatusRequest):
            return self.status()
        if self.writer is None:
            return PutAnswer(refused='%s writes no log' % self.name)
        try:
            change = self.carried_out(request)
        except BadLine as err:
            return PutAnswer(refused=str(err))
        return PutAnswer(self.replica.log(self.replica.origin).position if change else None)

    def carried_out(self, request):
        """Put a change, or take one back; the change."""
        if not self.replica.holds(self.clock()):
            raise BadLine('%s does not hold the lease' % self.name)
        if isinstance(request, PutRequest):
            items = [(item.key, item.value) for item in request.items]
            change = self.writer.put(request.kind, items, self.put_at())
        else:
            assert isinstance(request, TakeBackRequest)
            change = self.writer.take_back(request.sequence, self.put_at())
        self.replica.changed(self.clock())
        self.settle()
        return change

    def status(self):
        """How far this replica is, and all below it."""
        replica, now = self.replica, self.clock()
        ages = {origin: replica.age(now, origin) for origin in replica.logs}
        return Status(
            name=self.name,
            positions={origin: log.position for origin, log in replica.logs.items()},
            complete={origin: replica.complete(origin) for origin in replica.logs},
            ages={origin: age for origin, age in ages.items() if age is not None},
            behind=replica.behind(),
            below=replica.below(),
            configuration={
                key: text for log in replica.logs.values() for key, text in log.configuration.items()
            },
        )

    # --- what follows ---------------------------------------------------------------------------------------

    def settle(self):
        """Hand on what was taken in, and carry out the replica's decisions until there are none."""
        if self.pulling:
            return
        self.pulling = True
        try:
            taken, self.replica.taken = self.replica.taken, []
            for origin, changes, snapshot in taken:
                self.handle(origin, changes, snapshot)
            while (decision := self.replica.decide(self.clock())) is not None:
                _, name, message = decision
                self.links[name].say(message)
            self.wake()
        finally:
            self.pulling = False

    def wake(self):
        """Let the replica look again when it has something to do."""
        when = self.replica.next_look()
        if when is not None and (self.woken is None or when < self.woken):
            self.woken = when
            self.deadlines.at(when, self.wake_due, when)

    def wake_due(self, when):
        if self.woken == when:
            self.woken = None
        self.settle()

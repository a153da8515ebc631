"""A replica of all change logs, and what it tells its neighbours. Without I/O.

Writers, relays and nodes are all replicas: a writer has a log of its own, a relay neighbours above and below,
a node one neighbour above. Inputs only update what is known; the host pulls `decide(now)` until it gives
None, and carries out what it says. Nothing is queued for a neighbour: what it lacks is read off the log as it
is sent, so a slow one costs nothing and one that is too far behind is given a snapshot.

How fresh a log is, by this replica's own clock: a neighbour's message that echoes a stamp of ours was sent
after that stamp, and says how old its own log was then. With all that the neighbour has, ours lacks nothing
older than the stamp less that age, whatever the network held up. Clocks run within a twentieth of each other
(`ledger.longer`).
"""

from collections import Counter
from heapq import heappop, heappush

from ..plan.ledger import longer
from ..values import SECOND
from .log import SPAN_CHANGES, ChangeLog
from .messages import MOST_NAMES, MOST_ORIGINS, Position, Sync

BATCH_EVERY = SECOND // 4  # between two messages to a neighbour while there are changes
HEARTBEAT_EVERY = SECOND  # while there are none
FORGET_AFTER = 60 * SECOND  # a neighbour below that has gone counts as behind for so long


class Neighbour:
    """What is known of one neighbour. below: whether it reports here, what it and those below it have."""

    __slots__ = (
        'name',
        'below',
        'positions',
        'sent',
        'sent_at',
        'heard',
        'next',
        'complete',
        'behind',
        'count',
        'linked',
        'blocked',
        'gone',
        'rate',
    )

    def __init__(self, name, below, rate):
        self.name, self.below = name, below
        self.positions = {}  # by origin, as it said
        self.sent, self.sent_at = (
            {},
            0,
        )  # by origin, how far it will be once it has what was sent; since our stamp
        self.heard = None  # its newest stamp
        self.next = 0  # when it is told something again
        self.complete, self.behind, self.count = {}, [], 0  # of it and all below it
        self.linked, self.gone = False, 0
        self.blocked = False  # whether the system holds something that was sent and has not left
        self.rate = rate  # changes a second that it is sent at the most; None: as many as there are


class Replica:
    """One replica. origin: of the log that this one writes, None for most; holds(now): whether its writer's
    lease is held, so that nobody writes that log but this one."""

    def __init__(self, name, origin=None, holds=lambda now: True, tail=None):
        self.name, self.origin, self.holds = name, origin, holds
        self.logs, self.tail = {}, tail
        self.fresh = {}  # by origin: since when nothing is known to be lacking, by this clock
        self.neighbours = {}
        # (when, neighbour's name): who is told something then, unless sooner
        self.due, self.forget_at = [], 0
        self.counts = Counter()
        self.taken = []  # (origin, changes, snapshot or None) that the host has not handled yet
        if origin is not None:
            self.log(origin)

    def log(self, origin):
        """The log of an origin, made where there is none yet."""
        if origin not in self.logs:
            self.logs[origin] = ChangeLog() if self.tail is None else ChangeLog(self.tail)
        return self.logs[origin]

    # --- inputs -----------------------------------------------------------------------------------------

    def linked(self, now, name, below, rate=None):
        """A link to a neighbour is there."""
        neighbour = self.neighbours.get(name)
        if neighbour is None:
            neighbour = self.neighbours[name] = Neighbour(name, below, rate)
        neighbour.linked, neighbour.blocked, neighbour.heard = True, False, None
        neighbour.positions, neighbour.sent = {}, {}
        self.tell_at(neighbour, now)

    def unlinked(self, now, name):
        """It has ended."""
        neighbour = self.neighbours[name]
        neighbour.linked, neighbour.gone = False, now

    def blocked(self, name, whether):
        """What was sent to a neighbour lies with the system still, or has left. Guards against one that does
        not read."""
        neighbour = self.neighbours.get(name)
        if neighbour is not None:
            neighbour.blocked = whether
            self.tell_at(neighbour, neighbour.next)

    def told(self, now, name, sync):
        """A neighbour's message."""
        neighbour = self.neighbours[name]
        if neighbour.heard is not None and sync.stamp < neighbour.heard:
            self.counts['late'] += (
                1  # an older one says nothing that is still true of it, but its changes count
            )
        else:
            self.note(neighbour, sync)
        for origin, snapshot in sync.snapshots.items():
            if origin != self.origin and self.known(origin) and self.log(origin).take_snapshot(snapshot):
                self.counts['snapshots'] += 1
                self.taken.append((origin, [], snapshot))
        for origin, span in sync.spans.items():
            if origin != self.origin and self.known(origin):
                self.take_span(origin, span)
        self.hear_freshness(sync)
        if sync.spans or sync.snapshots:
            self.tell_by(neighbour, now + BATCH_EVERY)  # what was taken is acknowledged soon

    def known(self, origin):
        """Whether there is a log for it, or room for one more."""
        return origin in self.logs or len(self.logs) < MOST_ORIGINS

    def note(self, neighbour, sync):
        """Where a neighbour is."""
        neighbour.heard = sync.stamp
        neighbour.positions = sync.positions
        if sync.echo is not None and sync.echo >= neighbour.sent_at:
            neighbour.sent = {}  # it has heard all that was sent: what it lacks still was lost
        neighbour.complete, neighbour.behind, neighbour.count = sync.complete, sync.behind, sync.below

    def take_span(self, origin, span):
        """Changes of one origin."""
        taken = self.log(origin).take_span(span)
        self.counts['doubled'] += len(span.changes) - len(taken)
        if taken:
            self.counts['taken'] += len(taken)
            self.taken.append((origin, taken, None))

    def hear_freshness(self, sync):
        """How old a neighbour's logs were, as far as ours have all that it has."""
        if sync.echo is None:
            return
        for origin, age in sync.ages.items():
            theirs = sync.positions.get(origin)
            if origin == self.origin or theirs is None or not self.has_all(origin, theirs):
                continue
            since = sync.echo - longer(age)
            self.fresh[origin] = max(self.fresh.get(origin, since), since)

    def has_all(self, origin, position):
        """Whether our log is as far as that."""
        return self.log(origin).position >= position

    def put(self, change):
        """The next change of our own log."""
        self.log(self.origin).append(change)
        self.taken.append((self.origin, [change], None))

    # --- what follows -----------------------------------------------------------------------------------

    def age(self, now, origin):
        """Our log of an origin lacks nothing that is older; None: not known."""
        if origin == self.origin:
            return 0 if self.holds(now) else None
        since = self.fresh.get(origin)
        return None if since is None else max(0, now - since)

    def complete(self, origin):
        """What this replica and all below it have at the least."""
        found = self.log(origin).position
        for neighbour in self.children():
            found = min(found, neighbour.complete.get(origin, Position()))
        return found

    def children(self):
        """Neighbours below, those that have gone lately among them."""
        return [neighbour for neighbour in self.neighbours.values() if neighbour.below]

    def behind(self):
        """Who below has not all that this replica has, by name."""
        found = []
        for neighbour in self.children():
            found += neighbour.behind
            mine = any(
                neighbour.positions.get(origin, Position()) < log.position
                for origin, log in self.logs.items()
            )
            if not neighbour.linked or mine:
                found.append(neighbour.name)
        return found[:MOST_NAMES]

    def below(self):
        """How many replicas are below."""
        return sum(1 + neighbour.count for neighbour in self.children())

    def tell_at(self, neighbour, when):
        """A neighbour is told something then."""
        neighbour.next = when
        heappush(self.due, (when, neighbour.name))

    def tell_by(self, neighbour, when):
        """The same, unless that is so sooner."""
        if when < neighbour.next:
            self.tell_at(neighbour, when)

    def first_due(self):
        """Whom something is told next, or None. What was put off, or waits for a link, is passed over."""
        while self.due:
            when, name = self.due[0]
            neighbour = self.neighbours.get(name)
            if (
                neighbour is not None
                and neighbour.linked
                and not neighbour.blocked
                and neighbour.next == when
            ):
                return neighbour
            heappop(self.due)
        return None

    def decide(self, now):
        """The next thing to do: ('send', neighbour, message), or None."""
        self.forget(now)
        neighbour = self.first_due()
        if neighbour is None or now < neighbour.next:
            return None
        heappop(self.due)
        return 'send', neighbour.name, self.message(now, neighbour)

    def next_look(self):
        """When there may be something to do, or None."""
        neighbour = self.first_due()
        return None if neighbour is None else neighbour.next

    def forget(self, now):
        """Neighbours below that have been gone for long."""
        if now < self.forget_at:
            return
        self.forget_at = now + HEARTBEAT_EVERY
        for name, neighbour in list(self.neighbours.items()):
            if not neighbour.linked and now >= neighbour.gone + FORGET_AFTER:
                del self.neighbours[name]

    def message(self, now, neighbour):
        """What a neighbour is told now."""
        spans, snapshots = {}, {}
        if neighbour.heard is not None:
            self.gather(neighbour, spans, snapshots)
        if spans or snapshots:
            neighbour.sent_at = now
        self.tell_at(neighbour, now + (BATCH_EVERY if spans or snapshots else HEARTBEAT_EVERY))
        ages = {origin: self.age(now, origin) for origin in self.logs}
        return Sync(
            name=self.name,
            stamp=now,
            echo=neighbour.heard,
            positions={origin: log.position for origin, log in self.logs.items()},
            ages={origin: age for origin, age in ages.items() if age is not None},
            spans=spans,
            snapshots=snapshots,
            **({} if neighbour.below else self.report()),
        )

    def report(self):
        """What a neighbour above is told of this replica and all below it."""
        return {
            'complete': {origin: self.complete(origin) for origin in self.logs},
            'behind': self.behind(),
            'below': self.below(),
        }

    def gather(self, neighbour, spans, snapshots):
        """What a neighbour lacks."""
        left = SPAN_CHANGES if neighbour.rate is None else max(1, neighbour.rate * BATCH_EVERY // SECOND)
        for origin, log in self.logs.items():
            theirs = max(neighbour.positions.get(origin, Position()), neighbour.sent.get(origin, Position()))
            if theirs >= log.position or not left:
                continue
            span = log.span_after(theirs, left)
            if span is None:
                snapshots[origin] = log.snapshot(with_history=neighbour.rate is None)
                neighbour.sent[origin] = log.position
            else:
                spans[origin] = span
                left -= len(span.changes)
                neighbour.sent[origin] = Position(span.epoch, span.changes[-1].sequence)

    def changed(self, now):
        """There is something new: neighbours that have rested are told at the next batch."""
        for neighbour in self.neighbours.values():
            self.tell_by(neighbour, now + BATCH_EVERY)

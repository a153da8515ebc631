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
from .log import MAX_SPAN_CHANGES, ChangeLog
from .messages import MAX_BEHIND_NAMES, MAX_ORIGINS, Position, Sync

BATCH_INTERVAL = SECOND // 4  # between two messages to a neighbour while there are changes
HEARTBEAT_INTERVAL = SECOND  # while there are none
NEIGHBOUR_RETENTION = 60 * SECOND  # a neighbour below that has gone counts as behind for so long


class Neighbour:
    """What is known of one neighbour. below: whether it reports here, what it and those below it have."""

    __slots__ = (
        'name',
        'is_child',
        'positions',
        'sent',
        'sent_at',
        'last_stamp',
        'next_send',
        'complete',
        'behind',
        'descendants',
        'linked',
        'blocked',
        'unlinked_at',
        'rate',
    )

    def __init__(self, name, is_child, rate):
        self.name, self.is_child = name, is_child
        self.positions = {}  # by origin, as it said
        self.sent, self.sent_at = (
            {},
            0,
        )  # by origin, how far it will be once it has what was sent; since our stamp
        self.last_stamp = None  # its newest stamp
        self.next_send = 0  # when it is told something again
        self.complete, self.behind, self.descendants = {}, [], 0  # of it and all below it
        self.linked, self.unlinked_at = False, 0
        self.blocked = False  # whether the system holds something that was sent and has not left
        self.rate = rate  # changes a second that it is sent at the most; None: as many as there are


class Replica:
    """One replica. origin: of the log that this one writes, None for most; holds(now): whether its writer's
    lease is held, so that nobody writes that log but this one."""

    def __init__(self, name, origin=None, holds_lease=lambda now: True, tail=None):
        self.name, self.origin, self.holds_lease = name, origin, holds_lease
        self.logs, self.tail = {}, tail
        self.fresh_since = {}  # by origin: since when nothing is known to be lacking, by this clock
        self.neighbours = {}
        # (when, neighbour's name): who is told something then, unless sooner
        self.send_schedule, self.next_cleanup = [], 0
        self.counts = Counter()
        self.unhandled = []  # (origin, changes, snapshot or None) that the host has not handled yet
        if origin is not None:
            self.log(origin)

    def log(self, origin):
        """The log of an origin, made where there is none yet."""
        if origin not in self.logs:
            self.logs[origin] = ChangeLog() if self.tail is None else ChangeLog(self.tail)
        return self.logs[origin]

    # --- inputs -----------------------------------------------------------------------------------------

    def linked(self, now, name, is_child, rate=None):
        """A link to a neighbour is there."""
        neighbour = self.neighbours.get(name)
        if neighbour is None:
            neighbour = self.neighbours[name] = Neighbour(name, is_child, rate)
        neighbour.linked, neighbour.blocked, neighbour.last_stamp = True, False, None
        neighbour.positions, neighbour.sent = {}, {}
        self.schedule_send(neighbour, now)

    def unlinked(self, now, name):
        """It has ended."""
        neighbour = self.neighbours[name]
        neighbour.linked, neighbour.unlinked_at = False, now

    def blocked(self, name, is_blocked):
        """What was sent to a neighbour lies with the system still, or has left. Guards against one that does
        not read."""
        neighbour = self.neighbours.get(name)
        if neighbour is not None:
            neighbour.blocked = is_blocked
            self.schedule_send(neighbour, neighbour.next_send)

    def receive(self, now, name, sync):
        """A neighbour's message."""
        neighbour = self.neighbours[name]
        if neighbour.last_stamp is not None and sync.stamp < neighbour.last_stamp:
            self.counts['late'] += (
                1  # an older one says nothing that is still true of it, but its changes count
            )
        else:
            self.update_neighbour(neighbour, sync)
        for origin, snapshot in sync.snapshots.items():
            if (
                origin != self.origin
                and self.accepts_origin(origin)
                and self.log(origin).apply_snapshot(snapshot)
            ):
                self.counts['snapshots'] += 1
                self.unhandled.append((origin, [], snapshot))
        for origin, span in sync.spans.items():
            if origin != self.origin and self.accepts_origin(origin):
                self.apply_span(origin, span)
        self.update_freshness(sync)
        if sync.spans or sync.snapshots:
            self.schedule_send_by(neighbour, now + BATCH_INTERVAL)  # what was taken is acknowledged soon

    def accepts_origin(self, origin):
        """Whether there is a log for it, or room for one more."""
        return origin in self.logs or len(self.logs) < MAX_ORIGINS

    def update_neighbour(self, neighbour, sync):
        """Where a neighbour is."""
        neighbour.last_stamp = sync.stamp
        neighbour.positions = sync.positions
        if sync.echo is not None and sync.echo >= neighbour.sent_at:
            neighbour.sent = {}  # it has heard all that was sent: what it lacks still was lost
        neighbour.complete, neighbour.behind, neighbour.descendants = sync.complete, sync.behind, sync.below

    def apply_span(self, origin, span):
        """Changes of one origin."""
        applied = self.log(origin).apply_span(span)
        self.counts['doubled'] += len(span.changes) - len(applied)
        if applied:
            self.counts['taken'] += len(applied)
            self.unhandled.append((origin, applied, None))

    def update_freshness(self, sync):
        """How old a neighbour's logs were, as far as ours have all that it has."""
        if sync.echo is None:
            return
        for origin, age in sync.ages.items():
            theirs = sync.positions.get(origin)
            if origin == self.origin or theirs is None or not self.has_reached(origin, theirs):
                continue
            since = sync.echo - longer(age)
            self.fresh_since[origin] = max(self.fresh_since.get(origin, since), since)

    def has_reached(self, origin, position):
        """Whether our log is as far as that."""
        return self.log(origin).position >= position

    def put(self, change):
        """The next change of our own log."""
        self.log(self.origin).append(change)
        self.unhandled.append((self.origin, [change], None))

    # --- what follows -----------------------------------------------------------------------------------

    def age(self, now, origin):
        """Our log of an origin lacks nothing that is older; None: not known."""
        if origin == self.origin:
            return 0 if self.holds_lease(now) else None
        since = self.fresh_since.get(origin)
        return None if since is None else max(0, now - since)

    def complete(self, origin):
        """What this replica and all below it have at the least."""
        found = self.log(origin).position
        for neighbour in self.children():
            found = min(found, neighbour.complete.get(origin, Position()))
        return found

    def children(self):
        """Neighbours below, those that have gone lately among them."""
        return [neighbour for neighbour in self.neighbours.values() if neighbour.is_child]

    def behind(self):
        """Who below has not all that this replica has, by name."""
        found = []
        for neighbour in self.children():
            found += neighbour.behind
            is_behind = any(
                neighbour.positions.get(origin, Position()) < log.position
                for origin, log in self.logs.items()
            )
            if not neighbour.linked or is_behind:
                found.append(neighbour.name)
        return found[:MAX_BEHIND_NAMES]

    def count_descendants(self):
        """How many replicas are below."""
        return sum(1 + neighbour.descendants for neighbour in self.children())

    def schedule_send(self, neighbour, when):
        """A neighbour is told something then."""
        neighbour.next_send = when
        heappush(self.send_schedule, (when, neighbour.name))

    def schedule_send_by(self, neighbour, when):
        """The same, unless that is so sooner."""
        if when < neighbour.next_send:
            self.schedule_send(neighbour, when)

    def next_due(self):
        """Whom something is told next, or None. What was put off, or waits for a link, is passed over."""
        while self.send_schedule:
            when, name = self.send_schedule[0]
            neighbour = self.neighbours.get(name)
            if (
                neighbour is not None
                and neighbour.linked
                and not neighbour.blocked
                and neighbour.next_send == when
            ):
                return neighbour
            heappop(self.send_schedule)
        return None

    def decide(self, now):
        """The next thing to do: ('send', neighbour, message), or None."""
        self.drop_stale_neighbours(now)
        neighbour = self.next_due()
        if neighbour is None or now < neighbour.next_send:
            return None
        heappop(self.send_schedule)
        return 'send', neighbour.name, self.build_sync(now, neighbour)

    def next_wake(self):
        """When there may be something to do, or None."""
        neighbour = self.next_due()
        return None if neighbour is None else neighbour.next_send

    def drop_stale_neighbours(self, now):
        """Neighbours below that have been gone for long."""
        if now < self.next_cleanup:
            return
        self.next_cleanup = now + HEARTBEAT_INTERVAL
        for name, neighbour in list(self.neighbours.items()):
            if not neighbour.linked and now >= neighbour.unlinked_at + NEIGHBOUR_RETENTION:
                del self.neighbours[name]

    def build_sync(self, now, neighbour):
        """What a neighbour is told now."""
        spans, snapshots = {}, {}
        if neighbour.last_stamp is not None:
            self.collect_missing(neighbour, spans, snapshots)
        if spans or snapshots:
            neighbour.sent_at = now
        self.schedule_send(neighbour, now + (BATCH_INTERVAL if spans or snapshots else HEARTBEAT_INTERVAL))
        ages = {origin: self.age(now, origin) for origin in self.logs}
        return Sync(
            name=self.name,
            stamp=now,
            echo=neighbour.last_stamp,
            positions={origin: log.position for origin, log in self.logs.items()},
            ages={origin: age for origin, age in ages.items() if age is not None},
            spans=spans,
            snapshots=snapshots,
            **({} if neighbour.is_child else self.report()),
        )

    def report(self):
        """What a neighbour above is told of this replica and all below it."""
        return {
            'complete': {origin: self.complete(origin) for origin in self.logs},
            'behind': self.behind(),
            'below': self.count_descendants(),
        }

    def collect_missing(self, neighbour, spans, snapshots):
        """What a neighbour lacks."""
        budget = (
            MAX_SPAN_CHANGES if neighbour.rate is None else max(1, neighbour.rate * BATCH_INTERVAL // SECOND)
        )
        for origin, log in self.logs.items():
            theirs = max(neighbour.positions.get(origin, Position()), neighbour.sent.get(origin, Position()))
            if theirs >= log.position or not budget:
                continue
            span = log.span_after(theirs, budget)
            if span is None:
                snapshots[origin] = log.snapshot(with_history=neighbour.rate is None)
                neighbour.sent[origin] = log.position
            else:
                spans[origin] = span
                budget -= len(span.changes)
                neighbour.sent[origin] = Position(span.epoch, span.changes[-1].sequence)

    def schedule_batch(self, now):
        """There is something new: neighbours that have rested are told at the next batch."""
        for neighbour in self.neighbours.values():
            self.schedule_send_by(neighbour, now + BATCH_INTERVAL)

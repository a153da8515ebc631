"""A replica of all change logs, and the messages that it sends to its neighbours. Without I/O.

Writers, relays and nodes are all replicas, in a tree: a writer has a log of its own and no parent, a relay
has a parent and children, a node has a parent only. Inputs update the state; the host calls `decide(now)`
until it returns None, and carries out each decision. Nothing is queued for a neighbour: what it lacks is
read from the log at each send, so a slow neighbour takes no memory; one too far behind gets a snapshot.

Freshness is measured on this replica's own clock. A neighbour's message that echoes one of our stamps was
sent after that stamp, and states the age of the neighbour's log at that time. Once our log has everything
that the neighbour's has, it lacks nothing older than the stamp minus that age, however long the network took.
Clock rates may differ by a twentieth (`ledger.max_elapsed`).
"""

from collections import Counter
from heapq import heappop, heappush

from ..plan.ledger import max_elapsed
from ..values import SECOND
from .log import MAX_SPAN_CHANGES, ChangeLog
from .messages import MAX_BEHIND_NAMES, MAX_ORIGINS, Position, Sync

BATCH_INTERVAL = SECOND // 4  # between messages to a neighbour while there are changes
HEARTBEAT_INTERVAL = SECOND  # between messages to a neighbour otherwise
NEIGHBOUR_RETENTION = 60 * SECOND  # how long an unlinked child counts as behind


class Neighbour:
    """State of one neighbour. is_child: whether it reports the state of its descendants here."""

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
        self.positions = {}  # by origin, as last received
        # by origin: its position once it has received everything sent; stamp of the last message with changes
        self.sent, self.sent_at = {}, 0
        self.last_stamp = None  # the newest received on this link
        self.next_send = 0
        self.complete, self.behind, self.descendants = {}, [], 0  # of its subtree
        self.linked, self.unlinked_at = False, 0
        self.blocked = False  # whether the send buffer is full
        self.rate = rate  # maximum changes per second sent to it; None: no limit


class Replica:
    """A replica of all logs.

    origin: the log that this replica writes, or None. holds_lease(now): whether it holds the writer's lease,
    which excludes other writers of that log. tail: how many changes of each log are kept to pass on.
    """

    def __init__(self, name, origin=None, holds_lease=lambda now: True, tail=None):
        self.name, self.origin, self.holds_lease = name, origin, holds_lease
        self.logs, self.tail = {}, tail
        self.fresh_since = {}  # by origin: time on this clock before which the log is known to be complete
        self.neighbours = {}
        # heap of (time, neighbour's name); entries that differ from next_send are obsolete
        self.send_schedule, self.next_cleanup = [], 0
        self.counts = Counter()
        self.unhandled = []  # (origin, changes, snapshot or None) that the host has not passed on yet
        if origin is not None:
            self.log(origin)

    def log(self, origin):
        """Return the log of an origin, created if there is none."""
        if origin not in self.logs:
            self.logs[origin] = ChangeLog() if self.tail is None else ChangeLog(self.tail)
        return self.logs[origin]

    # --- inputs -----------------------------------------------------------------------------------------

    def linked(self, now, name, is_child, rate=None):
        """Note that a neighbour is linked, and send to it at once."""
        neighbour = self.neighbours.get(name)
        if neighbour is None:
            neighbour = self.neighbours[name] = Neighbour(name, is_child, rate)
        neighbour.linked, neighbour.blocked, neighbour.last_stamp = True, False, None
        neighbour.positions, neighbour.sent = {}, {}
        self.schedule_send(neighbour, now)

    def unlinked(self, now, name):
        """Note that a neighbour's link has closed."""
        neighbour = self.neighbours[name]
        neighbour.linked, neighbour.unlinked_at = False, now

    def set_blocked(self, name, is_blocked):
        """Note whether a neighbour's send buffer is full. Nothing is sent while it is."""
        neighbour = self.neighbours.get(name)
        if neighbour is not None:
            neighbour.blocked = is_blocked
            self.schedule_send(neighbour, neighbour.next_send)

    def receive(self, now, name, sync):
        """Handle a neighbour's message."""
        neighbour = self.neighbours[name]
        if neighbour.last_stamp is not None and sync.stamp < neighbour.last_stamp:
            self.counts['late'] += 1  # its state is outdated; its changes still apply
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
            self.schedule_send_by(neighbour, now + BATCH_INTERVAL)  # acknowledges them

    def accepts_origin(self, origin):
        """Return whether this origin has a log, or there is room for one more."""
        return origin in self.logs or len(self.logs) < MAX_ORIGINS

    def update_neighbour(self, neighbour, sync):
        """Update the state of a neighbour from its message."""
        neighbour.last_stamp = sync.stamp
        neighbour.positions = sync.positions
        if sync.echo is not None and sync.echo >= neighbour.sent_at:
            neighbour.sent = {}  # what it still lacks was lost
        neighbour.complete, neighbour.behind, neighbour.descendants = sync.complete, sync.behind, sync.below

    def apply_span(self, origin, span):
        """Apply changes of one origin."""
        applied = self.log(origin).apply_span(span)
        self.counts['doubled'] += len(span.changes) - len(applied)
        if applied:
            self.counts['taken'] += len(applied)
            self.unhandled.append((origin, applied, None))

    def update_freshness(self, sync):
        """Update the freshness of each log that has reached the neighbour's position."""
        if sync.echo is None:
            return
        for origin, age in sync.ages.items():
            theirs = sync.positions.get(origin)
            if origin == self.origin or theirs is None or not self.has_reached(origin, theirs):
                continue
            since = sync.echo - max_elapsed(age)
            self.fresh_since[origin] = max(self.fresh_since.get(origin, since), since)

    def has_reached(self, origin, position):
        """Return whether our log has reached this position."""
        return self.log(origin).position >= position

    def put(self, change):
        """Append the next change to our own log."""
        self.log(self.origin).append(change)
        self.unhandled.append((self.origin, [change], None))

    # --- state and decisions ----------------------------------------------------------------------------

    def age(self, now, origin):
        """Return the age in ticks beyond which our log lacks nothing, or None if it is unknown."""
        if origin == self.origin:
            return 0 if self.holds_lease(now) else None
        since = self.fresh_since.get(origin)
        return None if since is None else max(0, now - since)

    def complete(self, origin):
        """Return the lowest position of this replica and its descendants."""
        found = self.log(origin).position
        for neighbour in self.children():
            found = min(found, neighbour.complete.get(origin, Position()))
        return found

    def children(self):
        """Return the children, including those unlinked lately."""
        return [neighbour for neighbour in self.neighbours.values() if neighbour.is_child]

    def behind(self):
        """Return the names of descendants that lag behind this replica."""
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
        """Return the number of descendants."""
        return sum(1 + neighbour.descendants for neighbour in self.children())

    def schedule_send(self, neighbour, when):
        """Schedule the next message to a neighbour."""
        neighbour.next_send = when
        heappush(self.send_schedule, (when, neighbour.name))

    def schedule_send_by(self, neighbour, when):
        """Schedule the next message no later than this."""
        if when < neighbour.next_send:
            self.schedule_send(neighbour, when)

    def next_due(self):
        """Return the neighbour to send to next, or None. Drop entries that are obsolete or cannot be sent."""
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
        """Return the next decision: ('send', neighbour's name, message), or None."""
        self.drop_stale_neighbours(now)
        neighbour = self.next_due()
        if neighbour is None or now < neighbour.next_send:
            return None
        heappop(self.send_schedule)
        return 'send', neighbour.name, self.build_sync(now, neighbour)

    def next_wake(self):
        """Return the time of the next decision, or None."""
        neighbour = self.next_due()
        return None if neighbour is None else neighbour.next_send

    def drop_stale_neighbours(self, now):
        """Forget neighbours that have been unlinked for long."""
        if now < self.next_cleanup:
            return
        self.next_cleanup = now + HEARTBEAT_INTERVAL
        for name, neighbour in list(self.neighbours.items()):
            if not neighbour.linked and now >= neighbour.unlinked_at + NEIGHBOUR_RETENTION:
                del self.neighbours[name]

    def build_sync(self, now, neighbour):
        """Build the message to a neighbour, and schedule the next one."""
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
        """Return the fields of a message to the parent that describe this subtree."""
        return {
            'complete': {origin: self.complete(origin) for origin in self.logs},
            'behind': self.behind(),
            'below': self.count_descendants(),
        }

    def collect_missing(self, neighbour, spans, snapshots):
        """Collect what a neighbour lacks, within its rate limit."""
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
        """Schedule a message to each neighbour within a batch interval, because there are new changes."""
        for neighbour in self.neighbours.values():
            self.schedule_send_by(neighbour, now + BATCH_INTERVAL)

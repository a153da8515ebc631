"""One log of changes as a replica has it: what it comes to, and a bounded tail to pass on. Without I/O.

A position never goes back, no change is taken in twice, and none is left out but by a snapshot, which says
so. A new epoch begins with a snapshot: changes that only the writer before had sent out may not be in it.
"""

from collections import deque
from itertools import islice

from .messages import Position, Snapshot, Span

CONFIGURATION, PURGE = 'config', 'purge'
KINDS = (CONFIGURATION, PURGE)
DEFAULT_TAIL_CHANGES = 32_768  # ten minutes of 55 a second
MAX_SPAN_CHANGES = 1_024  # of one message
MAX_SPAN_BYTES = 256 << 10  # of keys and values in one message, unless a single change has more


class ChangeLog:
    """One origin's changes. tail: how many of the latest are kept to pass on."""

    def __init__(self, tail=DEFAULT_TAIL_CHANGES):
        self.position = Position()
        self.configuration = {}  # by key: the value in force
        self.purged_before = 0  # of a snapshot: purges up to then are not known one by one
        self.newest = 0  # when the latest change was made, Unix time in milliseconds
        self.skipped = 0  # changes of a kind that this version does not know
        self.tail = deque(maxlen=tail)  # the latest changes of this epoch, the oldest first
        self.tail_after = 0  # the sequence before the first of them

    # --- taking in --------------------------------------------------------------------------------------

    def apply_span(self, span):
        """Take in what is new of a span; the changes that were. A gap, or another epoch, gives nothing."""
        if span.epoch != self.position.epoch or span.after > self.position.sequence:
            return []
        new_changes = [change for change in span.changes if change.sequence > self.position.sequence]
        applied = []
        for change in new_changes:
            if change.sequence != self.position.sequence + 1:
                break
            self.append(change)
            applied.append(change)
        return applied

    def append(self, change):
        """The next change."""
        self.position = Position(self.position.epoch, change.sequence)
        self.newest = max(self.newest, change.at)
        if len(self.tail) == self.tail.maxlen:
            self.tail_after += 1
        self.tail.append(change)
        if change.kind == CONFIGURATION:
            self.configuration.update({item.key: item.value for item in change.items})
        elif change.kind not in KINDS:
            self.skipped += 1

    def apply_snapshot(self, snapshot):
        """Take in a snapshot that is further on. Whether it was."""
        if snapshot.position <= self.position:
            return False
        self.position = snapshot.position
        self.configuration = dict(snapshot.configuration)
        self.purged_before = max(self.purged_before, snapshot.purged_before)
        self.newest = max(self.newest, snapshot.purged_before)
        self.tail.clear()
        self.tail_after = snapshot.position.sequence
        self.load_history(snapshot)
        return True

    def load_history(self, snapshot):
        """The latest changes that a snapshot already has in it, to pass on one by one."""
        history = snapshot.history
        if history is None or history.epoch != snapshot.position.epoch:
            return
        sequences = range(history.after + 1, snapshot.position.sequence + 1)
        if [change.sequence for change in history.changes] == list(sequences):
            changes = history.changes[-self.tail.maxlen :]
            self.tail.extend(changes)
            self.tail_after = snapshot.position.sequence - len(changes)

    def begin_epoch(self, epoch):
        """A writer's time begins: what follows is of this epoch. Whether it is a later one."""
        return self.apply_snapshot(Snapshot(Position(epoch), self.configuration, self.newest))

    # --- passing on -------------------------------------------------------------------------------------

    def span_after(self, position, max_changes=MAX_SPAN_CHANGES):
        """What follows a position, so many changes at the most; None if the tail does not reach back to
        it."""
        if position.epoch != self.position.epoch or not self.covers(position.sequence):
            return None
        first, size, changes = position.sequence - self.tail_after, 0, []
        for change in islice(self.tail, first, first + max_changes):
            size += sum(len(item.key) + len(item.value) for item in change.items)
            if changes and size > MAX_SPAN_BYTES:
                break
            changes.append(change)
        return Span(position.epoch, position.sequence, changes)

    def covers(self, sequence):
        """Whether the tail has all that follows a sequence."""
        return self.tail_after <= sequence <= self.position.sequence

    def snapshot(self, with_history=False):
        """All that it comes to; for a relay with the latest changes, so that it can pass them on one by
        one."""
        history = self.history() if with_history else None
        return Snapshot(
            self.position, dict(self.configuration), max(self.newest, self.purged_before), history
        )

    def history(self):
        """The latest changes, as many as one message bears."""
        after = max(self.tail_after, self.position.sequence - MAX_SPAN_CHANGES)
        size = sum(len(item.key) + len(item.value) for change in self.tail for item in change.items)
        if size > MAX_SPAN_BYTES:
            return None
        return self.span_after(Position(self.position.epoch, after))

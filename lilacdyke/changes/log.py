"""A replica's copy of one change log: its accumulated state, and a bounded tail to pass on. Without I/O.

A position never moves back, no change is applied twice, and none is skipped except by a snapshot. A new epoch
begins with a snapshot, which may lack changes that only the previous writer had sent.
"""

from collections import deque
from itertools import islice

from .messages import Position, Snapshot, Span

CONFIGURATION, PURGE = 'config', 'purge'
KINDS = (CONFIGURATION, PURGE)
DEFAULT_TAIL_CHANGES = 32_768  # ten minutes at 55 changes per second
MAX_SPAN_CHANGES = 1_024  # in one message
MAX_SPAN_BYTES = 256 << 10  # keys and values in one message, unless a single change has more


class ChangeLog:
    """The changes of one origin. tail: how many of the latest changes are kept to pass on."""

    def __init__(self, tail=DEFAULT_TAIL_CHANGES):
        self.position = Position()
        self.configuration = {}  # by key: the value in force, which may be empty
        self.purged_before = 0  # Unix time in milliseconds; a snapshot left out the purges up to then
        self.newest = 0  # Unix time of the latest change in milliseconds
        self.skipped = 0  # changes of unknown kinds
        self.tail = deque(maxlen=tail)  # the latest changes of this epoch, oldest first
        self.tail_after = 0  # sequence before the first change of the tail

    # --- applying ---------------------------------------------------------------------------------------

    def apply_span(self, span):
        """Apply the new changes of a span, up to a gap, and return them. Ignore a span of another epoch."""
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
        """Append the next change."""
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
        """Apply a snapshot if it is ahead of this log. Return whether it was."""
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
        """Fill the tail from a snapshot's history, unless the history has gaps."""
        history = snapshot.history
        if history is None or history.epoch != snapshot.position.epoch:
            return
        sequences = range(history.after + 1, snapshot.position.sequence + 1)
        if [change.sequence for change in history.changes] == list(sequences):
            changes = history.changes[-self.tail.maxlen :]
            self.tail.extend(changes)
            self.tail_after = snapshot.position.sequence - len(changes)

    def begin_epoch(self, epoch):
        """Begin a writer's epoch. Return whether it is later than the present one."""
        return self.apply_snapshot(Snapshot(Position(epoch), self.configuration, self.newest))

    # --- passing on -------------------------------------------------------------------------------------

    def span_after(self, position, max_changes=MAX_SPAN_CHANGES):
        """Return the next changes after a position, or None if the tail does not reach back to it."""
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
        """Return whether the tail has every change after this sequence."""
        return self.tail_after <= sequence <= self.position.sequence

    def snapshot(self, with_history=False):
        """Return the accumulated state; for a relay with the latest changes, so that it can pass them on."""
        history = self.history() if with_history else None
        return Snapshot(
            self.position, dict(self.configuration), max(self.newest, self.purged_before), history
        )

    def history(self):
        """Return the latest changes as a Span, or None if they exceed one message."""
        after = max(self.tail_after, self.position.sequence - MAX_SPAN_CHANGES)
        size = sum(len(item.key) + len(item.value) for change in self.tail for item in change.items)
        if size > MAX_SPAN_BYTES:
            return None
        return self.span_after(Position(self.position.epoch, after))

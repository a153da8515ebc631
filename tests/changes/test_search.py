"""Model checking of replicas: the invariants hold, and every mutant violates one."""

import unittest
from unittest import mock

from lilacdyke.changes import log as logs
from lilacdyke.changes import replica as replicas
from lilacdyke.changes import search
from lilacdyke.changes.log import ChangeLog
from lilacdyke.changes.messages import Position, Snapshot
from lilacdyke.changes.replica import Replica
from lilacdyke.changes.writer import Writer

RANDOM_WORLDS, STATES = 40, 1_500
MAX_SEEDS = 120  # random worlds within which a mutant must be found


def accepts_gaps(self, span):
    """Apply changes after a gap."""
    fresh = [change for change in span.changes if change.sequence > self.position.sequence]
    for change in fresh if span.epoch == self.position.epoch else []:
        self.append(change)
    return fresh


def accepts_any_epoch(self, span):
    """Apply changes of another epoch."""
    fresh = [change for change in span.changes if change.sequence == self.position.sequence + 1]
    for change in fresh:
        self.append(change)
    return fresh


def applies_twice(self, span):
    """Apply changes again."""
    if span.epoch != self.position.epoch or span.after > self.position.sequence:
        return []
    for change in span.changes:
        self.append(change)
    return list(span.changes)


def applies_older_snapshots(self, snapshot):
    """Apply a snapshot that is behind the log."""
    if snapshot.position.epoch < self.position.epoch:
        return False
    self.position, self.configuration = snapshot.position, dict(snapshot.configuration)
    self.tail.clear()
    self.tail_after = snapshot.position.sequence
    return True


def applies_half(self, change):
    """Set only the first key of a change."""
    real_append(self, change)
    for item in change.items[1:]:
        self.configuration[item.key] = 'older'


def keeps_old_keys(self, snapshot):
    """Keep the old values beside those of a snapshot."""
    kept = dict(self.configuration)
    taken = real_apply_snapshot(self, snapshot)
    if taken:
        self.configuration = {**self.configuration, **kept}
    return taken


def persists_late(self, kind, items, at):
    """Send a change before it is stored, at the next put."""
    kept, self.append_record = self.append_record, self.late.append
    change = real_put(self, kind, items, at)
    self.append_record = kept
    for line in self.late[:-1]:
        kept(line)
    del self.late[:-1]
    return change


def fresh_despite_gaps(self, origin, position):
    return True


def fresh_since_arrival(self, sync):
    """Count from the arrival of a message instead of the stamp that it echoes."""
    if sync.echo is not None:
        real_update_freshness(self, sync)
        for origin in sync.ages:
            if origin in self.fresh_since and self.has_reached(origin, sync.positions[origin]):
                self.fresh_since[origin] = max(self.fresh_since[origin], self.latest - sync.ages[origin])


def records_time(self, now, name, sync):
    self.latest = now
    real_receive(self, now, name, sync)


def ignores_relay_age(self, sync):
    """Ignore the age of a relay's log."""
    for origin in sync.ages if sync.echo is not None else ():
        if origin != self.origin and self.has_reached(origin, sync.positions[origin]):
            self.fresh_since[origin] = max(self.fresh_since.get(origin, sync.echo), sync.echo)


def fresh_without_a_lease(self, now, origin):
    """Report a writer's log as fresh without its lease."""
    return 0 if origin == self.origin else real_age(self, now, origin)


def own_position_as_complete(self, origin):
    return self.log(origin).position


def snapshot_ahead_of_state(self, with_history=False):
    """Make a snapshot with a position ahead of its state."""
    return Snapshot(
        Position(self.position.epoch, self.position.sequence + 1), dict(self.configuration), self.newest
    )


def unbounded_tail(self, sequence):
    """Treat the tail as reaching back to any sequence."""
    return sequence <= self.position.sequence


def newest_changes_first(self, position, max_changes=logs.MAX_SPAN_CHANGES):
    """Send the newest change only."""
    span = real_span_after(self, position, max_changes)
    if span is None or len(span.changes) < 2:
        return span
    return type(span)(span.epoch, span.changes[-2].sequence, span.changes[-1:])


real_append, real_apply_snapshot, real_put = ChangeLog.append, ChangeLog.apply_snapshot, Writer.put
real_update_freshness, real_receive, real_age = Replica.update_freshness, Replica.receive, Replica.age
real_span_after = ChangeLog.span_after

MUTANTS = {
    'accepts gaps': [
        (ChangeLog, 'apply_span', accepts_gaps),
        (ChangeLog, 'span_after', newest_changes_first),
    ],
    'accepts any epoch': [(ChangeLog, 'apply_span', accepts_any_epoch)],
    'applies a span twice': [(ChangeLog, 'apply_span', applies_twice)],
    'applies older snapshots': [(ChangeLog, 'apply_snapshot', applies_older_snapshots)],
    'applies half a change': [(ChangeLog, 'append', applies_half)],
    'keeps old keys beside a snapshot': [(ChangeLog, 'apply_snapshot', keeps_old_keys)],
    'stores a change late': [(Writer, 'put', persists_late)],
    'fresh despite gaps': [(Replica, 'has_reached', fresh_despite_gaps)],
    'fresh since arrival': [
        (Replica, 'update_freshness', fresh_since_arrival),
        (Replica, 'receive', records_time),
    ],
    "ignores a relay's age": [(Replica, 'update_freshness', ignores_relay_age)],
    'fresh without a lease': [(Replica, 'age', fresh_without_a_lease)],
    'ignores clock drift': [(replicas, 'max_elapsed', lambda span: span)],
    'complete without children': [(Replica, 'complete', own_position_as_complete)],
    'snapshot ahead of its state': [(ChangeLog, 'snapshot', snapshot_ahead_of_state)],
    'unbounded tail': [(ChangeLog, 'covers', unbounded_tail)],
}


def first_violation(patches):
    """Return the first violation or error with these patches, or None."""
    Writer.late = []
    patchers = [mock.patch.object(owner, name, form) for owner, name, form in patches]
    for patcher in patchers:
        patcher.start()
    try:
        for seed in range(MAX_SEEDS):
            try:
                search.search_random(seed)
            except Exception as err:  # a mutant may also raise another error
                return err
    finally:
        for patcher in patchers:
            patcher.stop()
    return None


class Search(unittest.TestCase):
    def test_invariants_hold_in_random_worlds(self):
        self.assertGreater(
            sum(search.search_random(seed) for seed in range(RANDOM_WORLDS)), 10 * RANDOM_WORLDS
        )

    def test_invariants_hold_breadth_first(self):
        self.assertGreaterEqual(search.search_breadth_first(STATES), STATES)

    def test_random_search_is_deterministic(self):
        self.assertEqual(search.search_random(7), search.search_random(7))

    def test_each_mutant_is_found(self):
        for name, patches in MUTANTS.items():
            with self.subTest(name=name):
                self.assertIsInstance(first_violation(patches), Exception)

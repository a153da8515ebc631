"""Worlds of replicas: every promise holds in those searched, and each broken form is found."""

import unittest
from unittest import mock

from lilacdyke.changes import log as logs
from lilacdyke.changes import replica as replicas
from lilacdyke.changes import search
from lilacdyke.changes.log import ChangeLog
from lilacdyke.changes.messages import Position, Snapshot
from lilacdyke.changes.replica import Replica
from lilacdyke.changes.writer import Writer

WORLDS, LOOKED_AT = 40, 1_500
TRIED = 120  # worlds by chance that a broken form must be found within


def accepts_gaps(self, span):
    """Takes in changes that do not follow."""
    fresh = [change for change in span.changes if change.sequence > self.position.sequence]
    for change in fresh if span.epoch == self.position.epoch else []:
        self.append(change)
    return fresh


def accepts_any_epoch(self, span):
    """Takes an epoch's changes behind another's."""
    fresh = [change for change in span.changes if change.sequence == self.position.sequence + 1]
    for change in fresh:
        self.append(change)
    return fresh


def takes_twice(self, span):
    """Takes in what it has already."""
    if span.epoch != self.position.epoch or span.after > self.position.sequence:
        return []
    for change in span.changes:
        self.append(change)
    return list(span.changes)


def takes_older_snapshots(self, snapshot):
    """Goes back to a snapshot that it is beyond."""
    if snapshot.position.epoch < self.position.epoch:
        return False
    self.position, self.configuration = snapshot.position, dict(snapshot.configuration)
    self.tail.clear()
    self.tail_after = snapshot.position.sequence
    return True


def takes_half(self, change):
    """Sets the first key of a change only."""
    usual_append(self, change)
    for item in change.items[1:]:
        self.configuration[item.key] = 'older'


def keeps_old_keys(self, snapshot):
    """Leaves its own values in force beside a snapshot's."""
    kept = dict(self.configuration)
    taken = usual_take_snapshot(self, snapshot)
    if taken:
        self.configuration = {**self.configuration, **kept}
    return taken


def writes_down_late(self, kind, items, at):
    """Sends a change out before it is written down, which the next one's put does."""
    kept, self.keep = self.keep, self.late.append
    change = usual_put(self, kind, items, at)
    self.keep = kept
    for line in self.late[:-1]:
        kept(line)
    del self.late[:-1]
    return change


def fresh_whatever_it_lacks(self, origin, position):
    return True


def fresh_when_heard(self, sync):
    """Counts from when a message came, not from the stamp that it echoes."""
    if sync.echo is not None:
        usual_hear(self, sync)
        for origin in sync.ages:
            if origin in self.fresh and self.has_all(origin, sync.positions[origin]):
                self.fresh[origin] = max(self.fresh[origin], self.latest - sync.ages[origin])


def notes_time(self, now, name, sync):
    self.latest = now
    usual_told(self, now, name, sync)


def age_not_counted(self, sync):
    """Takes what comes from a relay for as fresh as the writer's."""
    for origin in sync.ages if sync.echo is not None else ():
        if origin != self.origin and self.has_all(origin, sync.positions[origin]):
            self.fresh[origin] = max(self.fresh.get(origin, sync.echo), sync.echo)


def fresh_without_a_lease(self, now, origin):
    """A writer that is fenced off takes its log for the newest."""
    return 0 if origin == self.origin else usual_age(self, now, origin)


def own_position_is_complete(self, origin):
    return self.log(origin).position


def snapshot_of_the_past(self, with_history=False):
    """Says that it is further on than it is."""
    return Snapshot(
        Position(self.position.epoch, self.position.sequence + 1), dict(self.configuration), self.newest
    )


def tail_without_end(self, sequence):
    """Takes its tail to reach back to any sequence."""
    return sequence <= self.position.sequence


def tail_from_the_wrong_end(self, position, most=logs.SPAN_CHANGES):
    """Gives the newest changes first."""
    span = usual_span(self, position, most)
    if span is None or len(span.changes) < 2:
        return span
    return type(span)(span.epoch, span.changes[-2].sequence, span.changes[-1:])


usual_append, usual_take_snapshot, usual_put = ChangeLog.append, ChangeLog.take_snapshot, Writer.put
usual_hear, usual_told, usual_age = Replica.hear_freshness, Replica.told, Replica.age
usual_span = ChangeLog.span_after

BROKEN_FORMS = {
    'accepts gaps': [
        (ChangeLog, 'take_span', accepts_gaps),
        (ChangeLog, 'span_after', tail_from_the_wrong_end),
    ],
    'accepts any epoch': [(ChangeLog, 'take_span', accepts_any_epoch)],
    'takes in twice': [(ChangeLog, 'take_span', takes_twice)],
    'takes older snapshots': [(ChangeLog, 'take_snapshot', takes_older_snapshots)],
    'takes half a change': [(ChangeLog, 'append', takes_half)],
    'keeps old keys beside a snapshot': [(ChangeLog, 'take_snapshot', keeps_old_keys)],
    'a writer that writes down late': [(Writer, 'put', writes_down_late)],
    'fresh whatever it lacks': [(Replica, 'has_all', fresh_whatever_it_lacks)],
    'fresh from when it was heard': [
        (Replica, 'hear_freshness', fresh_when_heard),
        (Replica, 'told', notes_time),
    ],
    "a relay's age not counted": [(Replica, 'hear_freshness', age_not_counted)],
    'a fenced writer is fresh': [(Replica, 'age', fresh_without_a_lease)],
    'drift of clocks not counted': [(replicas, 'longer', lambda span: span)],
    'complete here is complete': [(Replica, 'complete', own_position_is_complete)],
    'a snapshot further on than its state': [(ChangeLog, 'snapshot', snapshot_of_the_past)],
    'a tail without an end': [(ChangeLog, 'reaches', tail_without_end)],
}


def found(patches):
    """The first broken promise with these patches, or None."""
    Writer.late = []
    with_patches = [mock.patch.object(owner, name, form) for owner, name, form in patches]
    for patch in with_patches:
        patch.start()
    try:
        for seed in range(TRIED):
            try:
                search.by_chance(seed)
            except Exception as err:  # a broken form may also end in a fault
                return err
    finally:
        for patch in with_patches:
            patch.stop()
    return None


class Search(unittest.TestCase):
    def test_no_promise_is_broken_by_chance(self):
        self.assertGreater(sum(search.by_chance(seed) for seed in range(WORLDS)), 10 * WORLDS)

    def test_nor_breadth_first(self):
        self.assertGreaterEqual(search.breadth_first(LOOKED_AT), LOOKED_AT)

    def test_the_same_seed_is_the_same_world(self):
        self.assertEqual(search.by_chance(7), search.by_chance(7))

    def test_each_broken_form_is_found(self):
        for name, patches in BROKEN_FORMS.items():
            with self.subTest(name=name):
                self.assertIsInstance(found(patches), Exception)

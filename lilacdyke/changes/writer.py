"""The writer of one log: what may be put, under which number, and how a change is taken back. Without I/O.

A change is written down for good before it is in the log, so that nobody has one that its writer does not
know after a restart. Every start of a writer is an epoch of its own, above all that were written down.
"""

from typing import Literal

import msgspec

from ..values import BadLine
from .log import CONFIGURATION, KINDS, PURGE
from .messages import Change, Item, Position, Snapshot

MAX_CONFIGURATION_BYTES = (
    512 << 10
)  # bytes of all keys and values together, so that a snapshot is one message
MAX_CHANGE_BYTES = 64 << 10  # bytes of one change
MAX_REVERSIBLE = 1_024  # changes that can be taken back


class RefusedError(BadLine):
    """A change that cannot be put. Says why in one line that names the key."""


class NotKeptError(RefusedError):
    """A change that could not be written down."""


class Begun(msgspec.Struct, frozen=True, tag='epoch'):
    """A line of the writer's file: an epoch begins."""

    epoch: int


class Put(msgspec.Struct, frozen=True, tag='put'):
    """A line of the writer's file: a change."""

    change: Change


class Compacted(msgspec.Struct, frozen=True, tag='kept'):
    """A line of the writer's file that stands for all before it."""

    epoch: int
    configuration: dict[str, str]
    newest: int


Line = Begun | Put | Compacted
KeyType = Literal['number', 'text', 'flag']


def is_valid(value, kind):
    """Whether a value is of a key's type."""
    if kind == 'number':
        try:
            return float(value) == float(value)
        except ValueError:
            return False
    return kind == 'text' or value in ('true', 'false')


class Writer:
    """The writer of a replica's own log. keys: the configuration's keys with their types; keep(line): write a
    line down for good; lines: those that lives before this one wrote."""

    def __init__(self, replica, keys, keep, lines=(), epoch=None):
        self.replica, self.keys, self.keep = replica, keys, keep
        self.log = replica.log(replica.origin)
        self.replaced = {}  # by sequence: the values that a change of the configuration replaced
        last = self.replay(lines)
        self.epoch = last + 1 if epoch is None else epoch
        if self.epoch <= last:
            raise RefusedError('epoch: %d is not above %d' % (self.epoch, last))
        keep(Begun(self.epoch))
        self.log.begin_epoch(self.epoch)

    def replay(self, lines):
        """What lives before wrote; the last epoch."""
        last = 0
        for line in lines:
            if isinstance(line, Begun):
                last = max(last, line.epoch)
                self.log.begin_epoch(line.epoch)
            elif isinstance(line, Compacted):
                last = max(last, line.epoch)
                self.log.apply_snapshot(Snapshot(Position(line.epoch), line.configuration, line.newest))
            else:
                self.record_replaced(line.change)
                self.log.append(line.change)
        return last

    def record_replaced(self, change):
        """Note what a change of the configuration, which is not in the log yet, replaces."""
        if change.kind == CONFIGURATION:
            values = self.log.configuration
            self.replaced[change.sequence] = [
                Item(item.key, values.get(item.key, '')) for item in change.items
            ]
            while len(self.replaced) > MAX_REVERSIBLE:
                del self.replaced[next(iter(self.replaced))]

    def put(self, kind, items, at):
        """Put a change; it, or a RefusedError. at: Unix time in milliseconds."""
        items = [Item(key, value) for key, value in items]
        self.check(kind, items)
        # By a clock that was stepped back a change would count as older than those before it.
        change = Change(self.log.position.sequence + 1, kind, items, max(at, self.log.newest))
        self.keep(Put(change))
        self.record_replaced(change)
        self.replica.put(change)
        return change

    def take_back(self, sequence, at):
        """Put what a change of the configuration replaced, as a new change, where no later one has set its
        keys."""
        if sequence not in self.replaced:
            raise RefusedError('sequence: %d is no change that can be taken back' % sequence)
        items = self.replaced[sequence]
        for item in items:
            later = [
                other
                for other, items_of_other in self.replaced.items()
                if other > sequence and item.key in keys_of(items_of_other)
            ]
            if later:
                raise RefusedError('%s: change %d has set it since' % (item.key, later[-1]))
        return self.put(CONFIGURATION, [(item.key, item.value) for item in items], at)

    def check(self, kind, items):
        """Refuse what cannot be put."""
        if kind not in KINDS:
            raise RefusedError('%s: no such kind' % kind)
        if not items:
            raise RefusedError('%s: no keys' % kind)
        if len(keys_of(items)) < len(items):
            raise RefusedError('%s: a key twice' % kind)
        if sum(len(item.key) + len(item.value) for item in items) > MAX_CHANGE_BYTES:
            raise RefusedError('%s: over %d bytes' % (items[0].key, MAX_CHANGE_BYTES))
        for item in items:
            if kind == PURGE and item.value:
                raise RefusedError('%s: a purge has no value' % item.key)
            if kind == CONFIGURATION:
                self.check_key(item)
        self.check_size(kind, items)

    def check_key(self, item):
        """Refuse a key that there is not, or a value that is none of it. An empty one takes the key out."""
        if item.key not in self.keys:
            raise RefusedError('%s: no such key' % item.key)
        if item.value and not is_valid(item.value, self.keys[item.key]):
            raise RefusedError('%s: no %s: %.60s' % (item.key, self.keys[item.key], item.value))

    def check_size(self, kind, items):
        """Refuse what would make the configuration too large for one message."""
        merged = {**self.log.configuration, **{item.key: item.value for item in items}}
        size = sum(len(key) + len(value) for key, value in merged.items())
        if kind == CONFIGURATION and size > MAX_CONFIGURATION_BYTES:
            raise RefusedError('%s: the configuration would have %d bytes' % (items[0].key, size))


def keys_of(items):
    """The keys that items set."""
    return {item.key for item in items}

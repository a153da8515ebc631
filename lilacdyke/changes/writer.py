"""The writer of one log: validates, numbers and takes back changes. Without I/O.

A change is stored before it enters the log, so that no replica has a change that its writer has lost after a
restart. Every start of a writer begins a new epoch, above all stored ones.
"""

from typing import Literal

import msgspec

from ..values import InvalidValueError
from .log import CONFIGURATION, KINDS, PURGE
from .messages import Change, Item, Position, Snapshot

MAX_CONFIGURATION_BYTES = 512 << 10  # all keys and values, to fit a snapshot in a message
MAX_CHANGE_BYTES = 64 << 10
MAX_REVERSIBLE = 1_024  # number of changes that can be taken back


class RefusedError(InvalidValueError):
    """A change is refused. The message is one line that names the key."""


class NotStoredError(RefusedError):
    """A change could not be stored."""


class EpochBegun(msgspec.Struct, frozen=True, tag='epoch'):
    """A line of the writer's file: the start of an epoch."""

    epoch: int


class ChangePut(msgspec.Struct, frozen=True, tag='put'):
    """A line of the writer's file: a change."""

    change: Change


class Compacted(msgspec.Struct, frozen=True, tag='kept'):
    """A line of the writer's file: the state that replaces all earlier lines."""

    epoch: int
    configuration: dict[str, str]
    newest: int


Line = EpochBegun | ChangePut | Compacted
KeyType = Literal['number', 'text', 'flag']


def is_valid(value, kind):
    """Return whether a value has this type (a KeyType)."""
    if kind == 'number':
        try:
            return float(value) == float(value)
        except ValueError:
            return False
    return kind == 'text' or value in ('true', 'false')


class Writer:
    """The writer of a replica's own log.

    keys: the type of each configuration key. append_record(line): stores a line durably. lines: those stored
    before this start. epoch: the epoch to begin; by default the next.
    """

    def __init__(self, replica, keys, append_record, lines=(), epoch=None):
        self.replica, self.keys, self.append_record = replica, keys, append_record
        self.log = replica.log(replica.origin)
        self.replaced = {}  # by sequence: items with the values that a configuration change replaced
        last = self.replay(lines)
        self.epoch = last + 1 if epoch is None else epoch
        if self.epoch <= last:
            raise RefusedError('epoch: %d is not above %d' % (self.epoch, last))
        append_record(EpochBegun(self.epoch))
        self.log.begin_epoch(self.epoch)

    def replay(self, lines):
        """Apply the stored lines to the log, and return the last epoch."""
        last = 0
        for line in lines:
            if isinstance(line, EpochBegun):
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
        """Record the values that a configuration change replaces, before it is appended to the log."""
        if change.kind == CONFIGURATION:
            values = self.log.configuration
            self.replaced[change.sequence] = [
                Item(item.key, values.get(item.key, '')) for item in change.items
            ]
            while len(self.replaced) > MAX_REVERSIBLE:
                del self.replaced[next(iter(self.replaced))]

    def put(self, kind, items, at):
        """Put a change and return it. Raise RefusedError if it is invalid. at: Unix time in milliseconds."""
        items = [Item(key, value) for key, value in items]
        self.check(kind, items)
        # The clock may have been stepped back: a change is never older than those before it.
        change = Change(self.log.position.sequence + 1, kind, items, max(at, self.log.newest))
        self.append_record(ChangePut(change))
        self.record_replaced(change)
        self.replica.put(change)
        return change

    def take_back(self, sequence, at):
        """Restore the values that a configuration change replaced, as a new change.

        Raise RefusedError if a later change has set one of its keys.
        """
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
        """Raise RefusedError if a change is invalid."""
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
        """Raise RefusedError if a key is unknown or its value invalid. An empty value unsets the key."""
        if item.key not in self.keys:
            raise RefusedError('%s: no such key' % item.key)
        if item.value and not is_valid(item.value, self.keys[item.key]):
            raise RefusedError('%s: no %s: %.60s' % (item.key, self.keys[item.key], item.value))

    def check_size(self, kind, items):
        """Raise RefusedError if the configuration would become too large for one message."""
        merged = {**self.log.configuration, **{item.key: item.value for item in items}}
        size = sum(len(key) + len(value) for key, value in merged.items())
        if kind == CONFIGURATION and size > MAX_CONFIGURATION_BYTES:
            raise RefusedError('%s: the configuration would have %d bytes' % (items[0].key, size))


def keys_of(items):
    """Return the keys that items set."""
    return {item.key for item in items}

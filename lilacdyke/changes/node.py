"""A node's replica of the change logs, and the record of what it received.

A node has one link, to a relay. When its logs become staler than the limit it logs that, and keeps using the
configuration that it has.
"""

from collections import OrderedDict

from ..decode import parse_address
from ..net.logs import log_event, log_warning
from ..values import SECOND
from .host import Host
from .log import CONFIGURATION, PURGE
from .replica import Replica

AGE_CHECK_INTERVAL = SECOND
STATS_INTERVAL = 10 * SECOND
MAX_PURGES = 4_096


class Record:
    """The configuration in force, and the latest purges with their times (Unix time in milliseconds)."""

    def __init__(self):
        self.configuration, self.purges, self.purged_before = {}, OrderedDict(), 0
        self.counts = {CONFIGURATION: 0, PURGE: 0, 'unknown': 0, 'snapshots': 0}

    def __call__(self, origin, changes, snapshot):
        """Apply changes of one origin in order, or a snapshot that replaces them."""
        if snapshot is not None:
            self.configuration[origin] = dict(snapshot.configuration)
            self.purged_before = max(self.purged_before, snapshot.purged_before)
            self.counts['snapshots'] += 1
        for change in changes:
            self.apply(origin, change)

    def apply(self, origin, change):
        """Apply one change."""
        if change.kind == CONFIGURATION:
            values = self.configuration.setdefault(origin, {})
            values.update({item.key: item.value for item in change.items})
        elif change.kind == PURGE:
            for item in change.items:
                self.purges[item.key] = change.at
                self.purges.move_to_end(item.key)
            while len(self.purges) > MAX_PURGES:
                self.purges.popitem(last=False)
        self.counts[change.kind if change.kind in self.counts else 'unknown'] += 1


class NodeChanges:
    """A node's replica. Its rank selects the relay of the changes file that it dials first."""

    def __init__(self, reactor, elapsed, random, name, rank, settings, record=None):
        relays = [(process.name, parse_address(process.address)) for process in settings.relays]
        first = rank % max(1, len(relays))
        self.record = record or Record()
        self.replica = Replica(name, tail=1)  # a node has no children
        self.host = Host(
            reactor,
            elapsed,
            random,
            self.replica,
            settings.installation,
            relays[first:] + relays[:first],
            self.record,
        )
        self.max_age = int(settings.stale_after_s * SECOND)
        self.stale = None  # result of the last check

    def start(self):
        """Dial a relay, and start checking the age and logging counts."""
        self.host.start()
        self.check_age(0)
        self.log_counts(0)

    def age(self):
        """Return the age in ticks beyond which no log lacks anything, or None if it is unknown."""
        now = self.host.clock()
        ages = [self.replica.age(now, origin) for origin in self.replica.logs]
        return None if not ages or None in ages else max(ages)

    def check_age(self, _):
        """Log when the logs become stale or fresh."""
        age = self.age()
        stale = age is None or age > self.max_age
        if stale != self.stale:
            self.stale = stale
            (log_warning if stale else log_event)(
                'changes stale' if stale else 'changes fresh', age_ms=None if age is None else age // 10
            )
        self.host.deadlines.at(self.host.clock() + AGE_CHECK_INTERVAL, self.check_age, 0)

    def log_counts(self, _):
        """Log the counts."""
        age = self.age()
        log_event(
            'changes',
            age_ms=None if age is None else age // 10,
            above=self.host.parent_link.peer if self.host.parent_link else None,
            positions={name: tuple(self._position(log)) for name, log in self.replica.logs.items()},
            **self.record.counts,
            **self.host.counts,
        )
        self.host.deadlines.at(self.host.clock() + STATS_INTERVAL, self.log_counts, 0)

    @staticmethod
    def _position(log):
        return log.position.epoch, log.position.sequence

"""When servers started, by the node's clock.

Owns how the Unix times in lists become the node's. Guards against a wall clock that was stepped before this
node started: what a list tells as new cannot have started later than now, nor long before the list last said
otherwise. Must never make a server older than the list does.
"""

from ..values import SECOND
from .discovery import started

NEWS_LAG = 5 * SECOND  # so long before the last word of discovery a start may lie that it tells only now


class StartTimes:
    """Starts of servers. offset: the node's clock less Unix time, in ticks, as read once at its start."""

    def __init__(self, offset):
        self.offset = offset
        self.known = {}  # by name: (as the list has it, by the node's clock)

    def of(self, entry, now, last_word):
        """A server's start by the node's clock, the same for as long as the list says the same; None: long
        ago. last_word: when discovery was last heard before this; None: never."""
        if not entry.started:
            self.known.pop(entry.name, None)
            return None
        held = self.known.get(entry.name)
        if held is not None and held[0] == entry.started:
            return held[1]
        when = min(now, started(entry, self.offset))
        if last_word is not None:
            when = max(when, min(now, last_word - NEWS_LAG))
        self.known[entry.name] = (entry.started, when)
        return when

    def current(self, entry):
        """What `of` gave for this entry last, or would give for one that it has not had."""
        held = self.known.get(entry.name)
        return held[1] if held is not None and held[0] == entry.started else started(entry, self.offset)

    def inherited(self, name, when):
        """Another process of this node has told when a server started."""
        if name in self.known and when is not None:
            self.known[name] = (self.known[name][0], when)

    def forget(self, name):
        """The server is gone for good."""
        self.known.pop(name, None)

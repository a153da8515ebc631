"""Start times of servers, converted from the Unix time of discovery's lists to the node's clock.

The wall clock may have been wrong when the node started. So a start time is never in the future, and a start
that is news in a list is not much older than the previous list. A server never gets older than its list says.
"""

from ..values import SECOND
from .discovery import started

MAX_REPORT_DELAY = (
    5 * SECOND
)  # a start that is news in a list is at most this much older than the previous list


class StartTimes:
    """Start times of servers by name.

    offset: the node's clock minus Unix time, in ticks, read once when the node starts.
    """

    def __init__(self, offset):
        self.offset = offset
        self.known = {}  # by name: (start as in the list, start by the node's clock)

    def start_of(self, entry, now, last_line_at):
        """Return a server's start by the node's clock, or None if it started long ago.

        The result stays the same while the list's value does. last_line_at: when discovery was last heard
        from before this list; None: never.
        """
        if not entry.started:
            self.known.pop(entry.name, None)
            return None
        cached = self.known.get(entry.name)
        if cached is not None and cached[0] == entry.started:
            return cached[1]
        when = min(now, started(entry, self.offset))
        if last_line_at is not None:
            when = max(when, min(now, last_line_at - MAX_REPORT_DELAY))
        self.known[entry.name] = (entry.started, when)
        return when

    def current(self, entry):
        """Return the start that `of` last gave for this entry, or the converted start if there is none."""
        cached = self.known.get(entry.name)
        return cached[1] if cached is not None and cached[0] == entry.started else started(entry, self.offset)

    def adopt(self, name, when):
        """Replace a known server's start by the one that another process of this node has recorded."""
        if name in self.known and when is not None:
            self.known[name] = (self.known[name][0], when)

    def forget(self, name):
        """Remove a server that is gone for good."""
        self.known.pop(name, None)

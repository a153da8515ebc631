"""Log lines on single requests, attempts and connections, for finding out what became of one of them.

Owns the bound on how many are written. Off unless the command line asks for them. Must never be needed by
what the node does, nor raise into it.
"""

from ..values import SECOND
from .logs import say

BURST_SECONDS = 1  # so many seconds' worth of lines may come at once


class EventLog:
    """Writes at most `rate` lines a second (0: none) by the node's monotonic clock; how many were left out
    stands in the next one that is written."""

    __slots__ = ('clock', 'rate', 'credit', 'filled', 'omitted')

    def __init__(self, clock, rate=0):
        self.clock, self.rate = clock, rate
        self.credit, self.filled, self.omitted = rate * BURST_SECONDS, clock(), 0

    def say(self, event, request=None, **fields):
        """One line. request: the client's `Req-Id` as bytes, or None where there is none."""
        if not self.rate:
            return
        now = self.clock()
        gained = max(0, now - self.filled) * self.rate / SECOND
        self.credit, self.filled = min(self.rate * BURST_SECONDS, self.credit + gained), now
        if self.credit < 1:
            self.omitted += 1
            return
        self.credit -= 1
        if request is not None:
            fields = {'request': request.decode('latin-1'), **fields}
        if self.omitted:
            fields['omitted'], self.omitted = self.omitted, 0
        say(event, **fields)

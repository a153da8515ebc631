"""Discrete-event simulation: one heap of scheduled calls and the seeded random sources.

Events run by time, and in the order of scheduling at the same time. For reproducible runs, nothing here
depends on a real clock, on object addresses or hashes, or on an unseeded random source.
"""

from heapq import heappop, heappush
from random import Random

MICRO = 1_000_000


class World:
    """Seeded event loop. Times are whole microseconds since its start."""

    __slots__ = ('now', 'heap', 'sequence', 'seed', 'done', 'current_reactor')

    def __init__(self, seed):
        self.now, self.heap, self.sequence, self.seed, self.done = 0, [], 0, seed, 0
        self.current_reactor = None  # the reactor that is running

    def random_source(self, name):
        """Return a separate random source for each name, so that a draw by one component does not affect
        the others."""
        return Random('%s/%s' % (self.seed, name))

    def at(self, when, call, *args):
        """Schedule a call at `when`, or now if that has passed. Return an entry for cancel()."""
        self.sequence += 1
        entry = [when if when > self.now else self.now, self.sequence, call, args]
        heappush(self.heap, entry)
        return entry

    def later(self, wait, call, *args):
        """Schedule a call in `wait` microseconds."""
        return self.at(self.now + wait, call, *args)

    @staticmethod
    def cancel(entry):
        """Cancel a scheduled call."""
        entry[2] = None

    def run(self, until):
        """Run all events up to `until` and advance the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, call, args = heappop(heap)
            if call is not None:
                self.now = when
                self.done += 1
                call(*args)
        self.now = max(self.now, until)

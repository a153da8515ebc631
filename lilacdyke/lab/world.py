"""Simulated time: one heap of what happens when, and the only sources of chance.

Owns the order of events: by time, and at one time by when they were asked for. Must never look at a real
clock, at an object's address or hash, or draw from a source that is not seeded by name.
"""

from heapq import heappop, heappush
from random import Random

MICRO = 1_000_000


class World:
    """A seeded event loop. Times are whole microseconds since its start."""

    __slots__ = ('now', 'heap', 'sequence', 'seed', 'done', 'current_reactor')

    def __init__(self, seed):
        self.now, self.heap, self.sequence, self.seed, self.done = 0, [], 0, seed, 0
        self.current_reactor = None  # whose turn it is

    def chance(self, name):
        """A source of random numbers of its own for each name, so that one more draw in a part moves no other
        part."""
        return Random('%s/%s' % (self.seed, name))

    def at(self, when, call, *args):
        """Call then, not before now; what cancel() takes."""
        self.sequence += 1
        entry = [when if when > self.now else self.now, self.sequence, call, args]
        heappush(self.heap, entry)
        return entry

    def later(self, wait, call, *args):
        """Call after so many microseconds."""
        return self.at(self.now + wait, call, *args)

    @staticmethod
    def cancel(entry):
        """What was to be called is not."""
        entry[2] = None

    def run(self, until):
        """Let time pass until then."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, call, args = heappop(heap)
            if call is not None:
                self.now = when
                self.done += 1
                call(*args)
        self.now = max(self.now, until)

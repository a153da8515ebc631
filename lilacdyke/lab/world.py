"""Simulated time: one heap of what happens when, and the only sources of chance.

Owns the order of events: by time, and at one time by when they were asked for. Must never look at a real
clock, at an object's address or hash, or draw from a source that is not seeded by name.
"""

from heapq import heappop, heappush
from random import Random

MICRO = 1_000_000


class World:
    """A seeded event loop. Times are whole microseconds since its start."""

    __slots__ = ('now', 'heap', 'turn', 'seed', 'done', 'current')

    def __init__(self, seed):
        self.now, self.heap, self.turn, self.seed, self.done = 0, [], 0, seed, 0
        self.current = None  # whose turn it is

    def chance(self, name):
        """A source of random numbers of its own for each name, so that one more draw in a part moves no other
        part."""
        return Random('%s/%s' % (self.seed, name))

    def at(self, when, call, *given):
        """Call then, not before now; what cancel() takes."""
        self.turn += 1
        entry = [when if when > self.now else self.now, self.turn, call, given]
        heappush(self.heap, entry)
        return entry

    def later(self, wait, call, *given):
        """Call after so many microseconds."""
        return self.at(self.now + wait, call, *given)

    @staticmethod
    def cancel(entry):
        """What was to be called is not."""
        entry[2] = None

    def run(self, until):
        """Let time pass until then."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            when, _, call, given = heappop(heap)
            if call is not None:
                self.now = when
                self.done += 1
                call(*given)
        self.now = max(self.now, until)

"""A slot table whose handles are never reused, and a heap of deadlines on a single reactor timer.

A handle is a number that combines the slot's index with its generation, so a late event finds nothing rather
than the slot's next occupant.
"""

from heapq import heappop, heappush

from .logs import LOG

STALL_TICKS = 100  # a timer that fires this late means that the process or its machine was paused
INDEX_BITS = 20  # low bits of a number: the slot; the bits above: its generation


class SlotTable:
    """Objects by handle numbers that are never reused."""

    __slots__ = ('rows', 'generations', 'free')

    def __init__(self):
        self.rows, self.generations, self.free = [], [], []

    def add(self, item):
        """Put an object into a free slot and return its number."""
        if not self.free:
            self.free.append(len(self.rows))
            self.rows.append(None)
            self.generations.append(0)
        index = self.free.pop()
        self.rows[index] = item
        return self.generations[index] << INDEX_BITS | index

    def get(self, number):
        """Return the object with this number, or None if it has been removed."""
        index = number & (1 << INDEX_BITS) - 1
        return self.rows[index] if self.generations[index] == number >> INDEX_BITS else None

    def remove(self, number):
        """Remove the object with this number, if it is still here, and free its slot."""
        if self.get(number) is not None:
            index = number & (1 << INDEX_BITS) - 1
            self.rows[index] = None
            self.generations[index] += 1
            self.free.append(index)

    def __len__(self):
        return len(self.rows) - len(self.free)

    def __iter__(self):
        """Iterate over a snapshot of the objects; the table may change meanwhile."""
        return iter([row for row in self.rows if row is not None])


class Deadlines:
    """Callbacks in order of time, on one reactor timer.

    Deadlines are not cancelled: a callback whose object is gone does not find its number in the table, and
    others check the time again.
    """

    __slots__ = ('clock', 'later', 'heap', 'sequence', 'timer', 'due', 'deferred')

    def __init__(self, clock, later):
        self.clock, self.later = clock, later  # current time in ticks; the reactor's callLater
        self.heap, self.sequence = [], 0
        self.timer, self.due, self.deferred = None, None, False

    def at(self, when, call, number):
        """Schedule call(number) at this time, in ticks."""
        self.sequence += 1
        heappush(self.heap, (when, self.sequence, call, number))
        self.arm()

    def arm(self):
        """Set the timer to the earliest deadline, unless it already fires by then."""
        if not self.heap or self.timer and self.due <= self.heap[0][0]:
            return
        if self.timer:
            self.timer.cancel()
        self.due = self.heap[0][0]
        self.timer = self.later(max(0, self.due - self.clock()) / 10_000, self.fire)

    def fire(self):
        """Run the callbacks that are due, and log the exceptions they raise.

        Deadlines that they add for now run in the reactor's next turn.
        """
        now = self.clock()
        if now > self.due + STALL_TICKS and not self.deferred:
            # After a pause, read the sockets for one turn first: answers that came in time may be unread.
            self.deferred, self.timer = True, self.later(0, self.fire)
            return
        self.timer, self.deferred = None, False
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heappop(self.heap)[2:])
        for call, number in due:
            try:
                call(number)
            except Exception:
                LOG.exception('deadline failed')
        self.arm()

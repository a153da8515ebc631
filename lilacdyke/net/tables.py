"""Numbered slots for what lives a while, and the node's one ordered structure of deadlines.

Owns which number means what: a number is given out once, so an event that comes late finds nothing
instead of the slot's next holder. Owns the one timer that the reactor holds for the node. Must never know
what a slot holds or what a deadline is for.
"""

from heapq import heappop, heappush

from .logs import LOG

LATE = 100  # a timer this late says that the machine stood still
INDEX = 20  # bits of a number that tell the slot; the rest tells its age


class Table:
    """Objects by numbers that never come back."""

    __slots__ = ('rows', 'ages', 'free')

    def __init__(self):
        self.rows, self.ages, self.free = [], [], []

    def add(self, what):
        """Put it into a free slot; its number."""
        if not self.free:
            self.free.append(len(self.rows))
            self.rows.append(None)
            self.ages.append(0)
        index = self.free.pop()
        self.rows[index] = what
        return self.ages[index] << INDEX | index

    def get(self, number):
        """What has this number, or None once that is gone."""
        index = number & (1 << INDEX) - 1
        return self.rows[index] if self.ages[index] == number >> INDEX else None

    def remove(self, number):
        """Free the slot; the number then means nothing."""
        if self.get(number) is not None:
            index = number & (1 << INDEX) - 1
            self.rows[index] = None
            self.ages[index] += 1
            self.free.append(index)

    def __len__(self):
        return len(self.rows) - len(self.free)

    def __iter__(self):
        """All that is held now; the table may change meanwhile."""
        return iter([row for row in self.rows if row is not None])


class Deadlines:
    """What is to be done when, in order of time, on one timer. Nothing is taken back: a deadline that has
    lost its sense finds its number gone, or whoever it reminds looks at the time."""

    __slots__ = ('clock', 'later', 'heap', 'turn', 'timer', 'due', 'stalled')

    def __init__(self, clock, later):
        self.clock, self.later = clock, later  # the present time; the reactor's callLater
        self.heap, self.turn = [], 0
        self.timer, self.due, self.stalled = None, None, False

    def at(self, when, call, number):
        """Call with this number at that time."""
        self.turn += 1
        heappush(self.heap, (when, self.turn, call, number))
        self.arm()

    def arm(self):
        """See to it that the timer is no later than the first deadline."""
        if not self.heap or self.timer and self.due <= self.heap[0][0]:
            return
        if self.timer:
            self.timer.cancel()
        self.due = self.heap[0][0]
        self.timer = self.later(max(0, self.due - self.clock()) / 10_000, self.fire)

    def fire(self):
        """All that is due; a fault in one does not keep the others from their time, and what they add for now
        waits for the reactor's next turn."""
        now = self.clock()
        if now > self.due + LATE and not self.stalled:
            # Guards against calling late what lies unread: after a standstill sockets come first, for one
            # turn.
            self.stalled, self.timer = True, self.later(0, self.fire)
            return
        self.timer, self.stalled = None, False
        due = []
        while self.heap and self.heap[0][0] <= now:
            due.append(heappop(self.heap)[2:])
        for call, number in due:
            try:
                call(number)
            except Exception:
                LOG.exception('deadline failed')
        self.arm()

"""Connections accepted beyond the budget while all slots for clients are taken.

The system goes on accepting connections then, and how long the requests on them have waited is known only
once the node accepts them too. The system's queue is in order of arrival, so it is enough to hold the first
one unread: until a slot is free, when it is served, or until it has waited for too long, when it is refused
and the next one is looked at.
"""

from ..values import SECOND
from .sockets import nothing_unread, time_unread

MAX_OVERFLOW = 8  # connections beyond the budget, out of the descriptors that are reserved for other uses
MAX_QUEUE_TIME = SECOND // 4  # ticks that a request waits for a slot


class Overflow:
    """The connection that waits for a slot, and those that are refused for want of one."""

    def __init__(self, listener):
        self.listener = listener
        self.waiting = None  # the client connection that waits for a slot, unread
        self.open = 0  # connections beyond the budget, the waiting one included

    def admit(self, client):
        """Hold a connection that was accepted beyond the budget, unless there is one already."""
        client.over_budget = True
        self.open += 1
        if not self.waiting:
            self.waiting = client
            client.transport.pauseProducing()

    def forget(self, client):
        """Forget a connection that has ended."""
        self.open -= client.over_budget
        if self.waiting is client:
            self.waiting = None

    def serve_waiting(self):
        """Serve the waiting connection if there is a slot for it now."""
        if self.waiting and self.has_slot(self.waiting):
            self.read(self.waiting)

    def has_slot(self, client):
        """Return whether a connection has a slot. One beyond the budget gets one if there is one now."""
        if client.over_budget and self.listener.slots_taken() < self.listener.budget:
            client.over_budget = False
            self.open -= 1
        return not client.over_budget

    def step(self):
        """Refuse what has waited for too long, and look at the next connection in the system's queue."""
        for _ in range(MAX_OVERFLOW):
            if self.waiting and not self.is_overdue(self.waiting):
                return
            if self.waiting:
                self.read(self.waiting)
            if not (self.has_room() and self.listener.accepts() and self.listener.accept_one()):
                return

    def has_room(self):
        """Return whether one more connection may be accepted beyond the budget."""
        return self.open < MAX_OVERFLOW

    def is_overdue(self, client):
        """Return whether a connection's request has waited for too long."""
        waited = time_unread(client.transport)
        return waited >= MAX_QUEUE_TIME or self.listener.node.router.late(waited)

    def read(self, client):
        """Read a connection's request, which is refused while the connection is beyond the budget."""
        self.waiting = None
        client.transport.resumeProducing()

    def refuse(self, client):
        """Refuse the request of a connection beyond the budget, and close that as soon as possible."""
        client.keep_alive = False
        client.reply(self.listener.refusal())
        if not client.discards_body and nothing_unread(client.transport):
            client.finish_close()

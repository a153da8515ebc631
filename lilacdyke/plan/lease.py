"""One process's lease for one task: the connections to all voters and the Seeker that uses them.

Never blocks, and checks the clock whenever it is asked whether the lease is held.

    lease = Lease(reactor, deadlines, clock, fleet, 'name', uniform, got, lost)
    lease.acquire(); lease.held(); lease.number; lease.release()

got(number) is called when the lease is acquired. lost(number) is called before another process can acquire
it, provided that this process is running at that time. A process may be suspended between check and action,
so a resource must reject a number lower than one that it has seen (a fencing token).
"""

import os

from ..net.sockets import Outgoing, connect
from . import limits
from .frames import FREE, SEEK, VOTE
from .leases import Seeker
from .link import FrameProtocol

BACKOFF_PARTS = 32  # reconnection backoff doubles from 2 / BACKOFF_PARTS of a lease up to one lease


class ToVoter(FrameProtocol, Outgoing):
    """The connection to one voter."""

    handlers = {VOTE: 'voted', FREE: 'free'}

    def __init__(self, lease, name):
        super().__init__()
        self.lease, self.name = lease, name

    def voted(self, answer):
        self.lease.voted(self.name, answer)

    def free(self, fields):
        self.lease.free(fields['task'])

    def count_bad_frame(self):
        """Count nothing; the caller logs the frame and closes the connection."""

    def connectionLost(self, reason=None):
        self.ended = True
        self.lease.link_lost(self)


class Lease:
    """The lease, as described above. fleet: the settings of the fleet file, with its tasks."""

    def __init__(self, reactor, deadlines, clock, fleet, task, uniform, got, lost):
        self.reactor, self.deadlines, self.clock, self.uniform, self.do_got, self.do_lost = (
            reactor,
            deadlines,
            clock,
            uniform,
            got,
            lost,
        )
        self.span = fleet.task_lease
        self.addresses = {
            row.name: limits.address(row.address) for row in fleet.planner if row.name in fleet.voters
        }
        self.seeker = Seeker(
            clock(), task, '%s-%s' % (task, os.urandom(8).hex()), fleet.voters, self.span, uniform
        )
        self.links, self.failures, self.deciding = {}, dict.fromkeys(self.addresses, 0), False
        for name in self.addresses:
            self.dial(name)

    # --- interface --------------------------------------------------------------------------------------

    def acquire(self):
        """Start to acquire the lease."""
        self.seeker.want(self.clock())
        self.run_decisions()

    def held(self):
        """Return whether this process holds the lease now."""
        return self.seeker.held(self.clock())

    def left(self):
        """Return the remaining ticks of the lease; 0 or less if it is not held."""
        return 0 if self.seeker.until is None else self.seeker.until - self.clock()

    @property
    def number(self):
        """The number of the current lease, or of the last one held; None before the first."""
        return self.seeker.number

    def release(self):
        """Give the lease up; it counts as not held at once."""
        self.seeker.release(self.clock())
        self.run_decisions()

    # --- links ------------------------------------------------------------------------------------------

    def dial(self, name):
        link = self.links[name] = ToVoter(self, name)
        connect(self.reactor, self.addresses[name], link).addCallbacks(
            self.link_up, lambda _: self.link_lost(link)
        )
        self.deadlines.at(self.clock() + self.span, self.not_up, link)

    def not_up(self, link):
        """Cancel a connection attempt that the voter's host does not answer."""
        if self.links.get(link.name) is link and link.transport is None:
            link.up.cancel()

    def link_up(self, link):
        self.failures[link.name] = 0
        self.free(self.seeker.task)  # retry at once: one more voter may accept

    def link_lost(self, link):
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self.failures[link.name] = min(5, self.failures[link.name] + 1)
            wait = min(self.span, (self.span << self.failures[link.name]) // BACKOFF_PARTS)
            self.deadlines.at(self.clock() + int(wait * (0.5 + self.uniform())), self.dial, link.name)

    def voted(self, name, answer):
        self.seeker.on_answer(self.clock(), name, answer)
        self.run_decisions()

    def free(self, task):
        if task == self.seeker.task:
            self.seeker.free(self.clock())
            self.run_decisions()

    # --- decisions --------------------------------------------------------------------------------------

    def run_decisions(self):
        """Carry out all pending decisions of the seeker."""
        if self.deciding:
            return  # the outer call continues the loop
        self.deciding = True
        try:
            while decision := self.seeker.decide(self.clock()):
                getattr(self, 'do_' + decision[0])(*decision[1:])
        finally:
            self.deciding = False

    def do_send(self, voter, message):
        link = self.links.get(voter)
        if link is not None and link.transport is not None:
            link.say(SEEK, message)

    def do_wake(self, when):
        self.deadlines.at(when, self.woken, 0)

    def woken(self, _):
        self.run_decisions()

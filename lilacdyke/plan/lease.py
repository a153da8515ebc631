"""One process's lease for one task: links to all voters, and the seeker that they are for.

Owns those links. Must never hold anything up, nor say that it holds without looking at the time.

    lease = Lease(reactor, deadlines, clock, fleet, 'name', chance, got, lost)
    lease.acquire(); lease.held(); lease.number; lease.release()

got(number) is called once it holds; lost(number) before anybody else can, by the promise of leases.py, if this process runs at that time. Between look and
act a process may stand still: who is acted on must refuse a number lower than one it has seen.
"""

import os

from ..net.sockets import Outgoing, connect
from . import limits
from .frames import FREE, SEEK, VOTE
from .leases import Seeker
from .link import Speaker

FIRST = 32  # waits between dials begin at this part of a lease, and end at one


class ToVoter(Speaker, Outgoing):
    """The link to one voter."""

    heard = {VOTE: 'voted', FREE: 'free'}

    def __init__(self, lease, name):
        super().__init__()
        self.lease, self.name = lease, name

    def voted(self, answer):
        self.lease.voted(self.name, answer)

    def free(self, fields):
        self.lease.free(fields['task'])

    def count_bad(self):
        """It is logged, and the link ends."""

    def connectionLost(self, reason=None):
        self.ended = True
        self.lease.link_lost(self)


class Lease:
    """See above. fleet: the fleet file, with tasks."""

    def __init__(self, reactor, deadlines, clock, fleet, task, chance, got, lost):
        self.reactor, self.deadlines, self.clock, self.chance, self.do_got, self.do_lost = (
            reactor,
            deadlines,
            clock,
            chance,
            got,
            lost,
        )
        self.span = fleet.task_lease
        self.addresses = {
            row.name: limits.address(row.address) for row in fleet.planner if row.name in fleet.voters
        }
        self.seeker = Seeker(
            clock(), task, '%s-%s' % (task, os.urandom(8).hex()), fleet.voters, self.span, chance
        )
        self.links, self.failures, self.pulling = {}, dict.fromkeys(self.addresses, 0), False
        for name in self.addresses:
            self.dial(name)

    # --- for who holds ----------------------------------------------------------------------------------

    def acquire(self):
        """It is wanted from now on."""
        self.seeker.want(self.clock())
        self.settle()

    def held(self):
        """Whether this process holds it now."""
        return self.seeker.held(self.clock())

    def left(self):
        """Ticks for which it is held yet; 0 or less: not."""
        return 0 if self.seeker.until is None else self.seeker.until - self.clock()

    @property
    def number(self):
        """The number of the lease that it has, or had last; None: none yet."""
        return self.seeker.number

    def release(self):
        """Give it back: nothing is held from here on."""
        self.seeker.release(self.clock())
        self.settle()

    # --- links ------------------------------------------------------------------------------------------

    def dial(self, name):
        link = self.links[name] = ToVoter(self, name)
        connect(self.reactor, self.addresses[name], link).addCallbacks(
            self.link_up, lambda _: self.link_lost(link)
        )
        self.deadlines.at(self.clock() + self.span, self.not_up, link)

    def not_up(self, link):
        """Guards against a voter whose machine says nothing."""
        if self.links.get(link.name) is link and link.transport is None:
            link.up.cancel()

    def link_up(self, link):
        self.failures[link.name] = 0
        self.free(self.seeker.task)  # one more who may say yes

    def link_lost(self, link):
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self.failures[link.name] = min(5, self.failures[link.name] + 1)
            wait = min(self.span, (self.span << self.failures[link.name]) // FIRST)
            self.deadlines.at(self.clock() + int(wait * (0.5 + self.chance())), self.dial, link.name)

    def voted(self, name, answer):
        self.seeker.told(self.clock(), name, answer)
        self.settle()

    def free(self, task):
        if task == self.seeker.task:
            self.seeker.free(self.clock())
            self.settle()

    # --- decisions --------------------------------------------------------------------------------------

    def settle(self):
        """Pull what there is to do."""
        if self.pulling:
            return  # the pull that this came out of goes on
        self.pulling = True
        try:
            while decision := self.seeker.decide(self.clock()):
                getattr(self, 'do_' + decision[0])(*decision[1:])
        finally:
            self.pulling = False

    def do_send(self, voter, message):
        link = self.links.get(voter)
        if link is not None and link.transport is not None:
            link.say(SEEK, message)

    def do_wake(self, when):
        self.deadlines.at(when, self.woken, 0)

    def woken(self, _):
        self.settle()

"""A process that seeks a task again and again, and acts on the trial's resource while it holds: the lease is
the program's own (plan/lease.py).

Owns the acts. Must never act without having looked, nor look again between that and the bytes of the act:
that gap is what the trial is about.
"""

import os
import sys
from random import Random

from twisted.internet.protocol import ClientFactory, Protocol

from ..net.logs import configure
from ..net.sockets import Reactor
from ..net.system import System
from ..net.tables import Deadlines
from ..plan import limits
from ..plan.lease import Lease
from ..values import SECOND
from .launch import History

ACT = SECOND // 500  # how long an act takes
ACTS = 6  # at the most, before it gives the lease back
LONG = 300  # acts of one that holds on


class ToResource(Protocol):
    """One line out for an act's begin and its end; one back: yes or no."""

    def __init__(self, worker):
        self.worker, self.rest = worker, b''

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.worker.resource = self

    def dataReceived(self, data):
        *lines, self.rest = (self.rest + data).split(b'\n')
        for line in lines:
            self.worker.answered(line == b'yes')

    def connectionLost(self, reason=None):
        self.worker.resource = None


class Worker(ClientFactory):
    """Seek, act, give back, seek."""

    noisy = False

    def __init__(self, reactor, fleet, name, history, keeps):
        self.reactor, self.name, self.history, self.resource, self.keeps = reactor, name, history, None, keeps
        self.zero, self.uniform = System.elapsed() - 1, Random(os.urandom(8)).random
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.left, self.acting = 0, False
        self.lease = Lease(
            reactor, self.deadlines, self.clock, fleet, 'job', self.uniform, self.got, self.lost
        )
        self.lease.acquire()

    def clock(self):
        return int((System.elapsed() - self.zero) * SECOND)

    def buildProtocol(self, addr):
        return ToResource(self)

    def got(self, number):
        self.history.tell('got', number=number, until=self.lease.left())
        self.left = LONG if self.uniform() < self.keeps else 1 + int(ACTS * self.uniform())
        self.act(0)

    def lost(self, number):
        self.history.tell('lost', number=number)

    def act(self, _):
        """Look, then act."""
        if self.acting or not self.lease.held():
            return
        if self.left <= 0 or self.resource is None:
            self.lease.release()
            self.deadlines.at(
                self.clock() + int(SECOND // 100 * self.uniform()), lambda _: self.lease.acquire(), 0
            )
            return
        self.left, self.acting = self.left - (self.keeps <= 1), True
        self.looked()
        self.resource.transport.write(b'begin %d %s\n' % (self.lease.number, self.name.encode()))

    def looked(self):
        """A step of the trial's: a process may be stopped here, between look and act."""

    def answered(self, yes):
        """The resource took the act, or did not."""
        if yes:
            self.deadlines.at(self.clock() + ACT, self.acted, 0)
        else:
            self.acting = False
            self.deadlines.at(self.clock() + ACT, self.act, 0)

    def acted(self, _):
        self.acting = False
        if self.resource is not None:
            self.resource.transport.write(b'end %d %s\n' % (self.lease.number, self.name.encode()))
        self.act(0)


def main(path, name, host, port, history, keeps):
    """Go on until it is killed. keeps: the chance of holding on for long; over 1: until it is lost."""
    configure('error')
    reactor = Reactor()
    worker = Worker(reactor, limits.read(path), name, History(history), float(keeps))
    reactor.connectTCP(host, int(port), worker, timeout=5)
    reactor.run(installSignalHandlers=False)
    sys.exit(0)

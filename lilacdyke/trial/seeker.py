"""A process that repeatedly acquires the lease of a task and acts on the trial's resource while it holds it.

The lease is the program's own (plan/lease.py). Each act must follow a check of the lease, with no second
check before its bytes are written: the trial tests what happens in between.
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

ACT_TICKS = SECOND // 500
MAX_ACTS = 6  # before the lease is released
LONG_HOLD_ACTS = 300


class ResourceClient(Protocol):
    """The connection to the resource: a line for the begin and end of each act, answered by yes or no."""

    def __init__(self, worker):
        self.worker, self.rest = worker, b''

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.worker.resource = self

    def dataReceived(self, data):
        *lines, self.rest = (self.rest + data).split(b'\n')
        for line in lines:
            self.worker.on_answer(line == b'yes')

    def connectionLost(self, reason=None):
        self.worker.resource = None


class Worker(ClientFactory):
    """Acquires the lease, acts, releases it, and starts over."""

    noisy = False

    def __init__(self, reactor, fleet, name, history, keep_probability):
        self.reactor, self.name, self.history, self.resource, self.keep_probability = (
            reactor,
            name,
            history,
            None,
            keep_probability,
        )
        self.zero, self.uniform = System.elapsed() - 1, Random(os.urandom(8)).random
        self.deadlines = Deadlines(self.clock, reactor.callLater)
        self.acts_left, self.acting = 0, False
        self.lease = Lease(
            reactor, self.deadlines, self.clock, fleet, 'job', self.uniform, self.on_got, self.on_lost
        )
        self.lease.acquire()

    def clock(self):
        return int((System.elapsed() - self.zero) * SECOND)

    def buildProtocol(self, addr):
        return ResourceClient(self)

    def on_got(self, number):
        self.history.record('got', number=number, until=self.lease.left())
        self.acts_left = (
            LONG_HOLD_ACTS if self.uniform() < self.keep_probability else 1 + int(MAX_ACTS * self.uniform())
        )
        self.act(0)

    def on_lost(self, number):
        self.history.record('lost', number=number)

    def act(self, _):
        """Check the lease, then begin an act."""
        if self.acting or not self.lease.held():
            return
        if self.acts_left <= 0 or self.resource is None:
            self.lease.release()
            self.deadlines.at(
                self.clock() + int(SECOND // 100 * self.uniform()), lambda _: self.lease.acquire(), 0
            )
            return
        self.acts_left, self.acting = self.acts_left - (self.keep_probability <= 1), True
        self.before_act()
        self.resource.transport.write(b'begin %d %s\n' % (self.lease.number, self.name.encode()))

    def before_act(self):
        """Do nothing: the launcher may stop the process here, between the check and the act."""

    def on_answer(self, yes):
        """Handle the resource's answer: whether it accepted the act."""
        if yes:
            self.deadlines.at(self.clock() + ACT_TICKS, self.end_act, 0)
        else:
            self.acting = False
            self.deadlines.at(self.clock() + ACT_TICKS, self.act, 0)

    def end_act(self, _):
        self.acting = False
        if self.resource is not None:
            self.resource.transport.write(b'end %d %s\n' % (self.lease.number, self.name.encode()))
        self.act(0)


def main(path, name, host, port, history, keep_probability):
    """Run until killed. keep_probability: probability of holding the lease for long; above 1: until it is
    lost."""
    configure('error')
    reactor = Reactor()
    worker = Worker(reactor, limits.read(path), name, History(history), float(keep_probability))
    reactor.connectTCP(host, int(port), worker, timeout=5)
    reactor.run(installSignalHandlers=False)
    sys.exit(0)

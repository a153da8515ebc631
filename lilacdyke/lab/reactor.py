"""What Twisted's reactor offers, over the simulated network and in simulated time: one for each simulated
process.

Owns the turns of a process: what is due, then what its sockets tell, each turn costing it time. Twisted's own
transports and ports run on it; only the sockets beneath are others. Must never let a call block, or run out
of turn.
"""

from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT

from twisted.internet import tcp
from twisted.internet.posixbase import PosixReactorBase, _PollLikeMixin

from ..net import transports
from ..net.sockets import AnswersFirst
from ..net.transports import OpenedConnection, PatientReactor
from .world import MICRO

TURN, EVENT = 20, 12  # microseconds that a turn costs, and each event in it
ALWAYS = EPOLLERR | EPOLLHUP


class Poller:
    """epoll over simulated sockets: level-triggered, in the order in which they became ready."""

    __slots__ = ('reactor', 'interest', 'hot')

    def __init__(self, reactor):
        self.reactor, self.interest, self.hot = reactor, {}, {}

    def watch(self, made, fd, mask):
        """What to look for on one; 0: nothing any more."""
        if mask:
            self.interest[fd] = mask
            made.poller = self
            if made.events() & (mask | ALWAYS):
                self.stir(made)
        elif self.interest.pop(fd, None):
            self.hot.pop(fd, None)
            made.poller = None

    def stir(self, made):
        if made.fd not in self.hot:
            self.hot[made.fd] = made
            self.reactor.wake()

    def poll(self, timeout, most):
        """What is ready, as epoll gives it. Who is not ready is forgotten until stirred."""
        ready, hot = [], self.hot
        for fd, made in list(hot.items()):
            mask = made.events() & (self.interest.get(fd, 0) | ALWAYS)
            if mask:
                ready.append((fd, mask))
            else:
                del hot[fd]
        return ready


class Opened(OpenedConnection):
    """A connection from here, on a simulated socket."""

    def createInternetSocket(self):
        return self.connector.reactor.process.socket()


class Connector(tcp.Connector):
    def _makeTransport(self):
        return Opened(self.host, self.port, self.bindAddress, self, self.reactor)


class Port(transports.Port):
    """A listening port on a simulated socket."""

    def createInternetSocket(self):
        return self.reactor.process.socket()


class SimDescriptors(PosixReactorBase, _PollLikeMixin):
    """Which simulated descriptors a process looks at."""

    def _update(self, selectable):
        fd = selectable.fileno()
        mask = (EPOLLIN if fd in self._reads else 0) | (EPOLLOUT if fd in self._writes else 0)
        made = self.process.open.get(fd)
        if made is not None:
            self._poller.watch(made, fd, mask)
        else:
            self._poller.interest.pop(fd, None)
            self._poller.hot.pop(fd, None)
        if mask:
            self._selectables[fd] = selectable
        else:
            self._selectables.pop(fd, None)

    def _put(self, held, selectable):
        fd = selectable.fileno()
        if fd not in held:
            held.add(fd)
            self._update(selectable)

    def _drop(self, held, selectable):
        fd = selectable.fileno()
        if fd in held:
            held.discard(fd)
            self._update(selectable)

    def addReader(self, selectable):
        self._put(self._reads, selectable)

    def addWriter(self, selectable):
        self._put(self._writes, selectable)

    def removeReader(self, selectable):
        self._drop(self._reads, selectable)

    def removeWriter(self, selectable):
        self._drop(self._writes, selectable)

    def removeAll(self):
        gone = list(self._selectables.values())
        for selectable in gone:
            self.removeReader(selectable)
            self.removeWriter(selectable)
        return gone

    def getReaders(self):
        return [self._selectables[fd] for fd in sorted(self._reads)]

    def getWriters(self):
        return [self._selectables[fd] for fd in sorted(self._writes)]


class SimReactor(AnswersFirst, PatientReactor, SimDescriptors):
    """A process's own. clock: (offset, rate) of its monotonic clock against the world's."""

    _POLL_DISCONNECTED, _POLL_IN, _POLL_OUT = ALWAYS, EPOLLIN, EPOLLOUT

    def __init__(self, world, process, ended=lambda: None, cost=(TURN, EVENT), raised=None):
        self.world, self.process, self.ended = world, process, ended
        self.raised = raised  # told of what a turn raises, as a real reactor logs it and goes on
        self.offset, self.rate, self.anchor = 0, 1.0, 0  # the clock's reading at the anchor, and its rate
        self.cost, self.busy, self.frozen, self.alive = cost, 0, 0, True
        self._poller, self._selectables, self._reads, self._writes = Poller(self), {}, set(), set()
        self.pending, self.inside = None, False
        self.ahead = 0.0  # seconds by which the machine's wall clock was stepped
        super().__init__()

    def installWaker(self):
        """Nobody wakes it from another thread."""

    def wakeUp(self):
        self.wake()

    # --- time -------------------------------------------------------------------------------------------

    def monotonic(self):
        """The process's monotonic clock."""
        return (self.offset + (self.world.now - self.anchor) * self.rate) / MICRO

    seconds = monotonic  # by which timers are set

    def step(self, seconds):
        """The machine's wall clock is ahead by so much more from now on."""
        self.ahead += seconds
        self.wake()

    def drift(self, rate):
        """The clock runs at another rate from now on."""
        self.offset, self.anchor, self.rate = int(self.monotonic() * MICRO), self.world.now, rate
        self.wake()

    def callLater(self, delay, call, *given, **named):
        made = super().callLater(max(0, delay), call, *given, **named)
        if not self.inside:
            self.wake(made.time)
        return made

    def _moveCallLaterSooner(self, call):
        super()._moveCallLaterSooner(call)
        self.wake(call.time)

    # --- turns ------------------------------------------------------------------------------------------

    def wake(self, at=None):
        """See to a turn: at once, or when the process's clock shows that."""
        if not self.alive or self.inside:
            return
        now = self.world.now
        when = now if at is None else max(now, now + int((at - self.seconds()) * MICRO / self.rate) + 1)
        when = max(when, self.busy, self.frozen)
        if self.pending is None or when < self.pending[0]:
            if self.pending is not None:
                self.world.cancel(self.pending)
            self.pending = self.world.at(when, self.turn)

    def turn(self):
        """Once round the loop."""
        self.pending = None
        if not self.alive:
            return
        if self.world.now < self.frozen:
            self.wake()
            return
        self.inside, events, self.world.current = True, len(self._poller.hot), self
        try:
            self.runUntilCurrent()
            self.doPoll(0)
        except Exception as err:
            if self.raised is None:
                raise
            self.raised('raised: %s: %s' % (type(err).__name__, err))
        finally:
            self.inside, self.world.current = False, None
        self.busy = self.world.now + self.cost[0] + self.cost[1] * events
        if not self.alive:
            return
        self._insertNewDelayedCalls()
        if self.threadCallQueue or self._poller.hot:
            self.wake()
        elif self._pendingTimedCalls:
            self.wake(self._pendingTimedCalls[0].time)

    def freeze(self, until):
        """The process stands still until then; the system beneath it does not."""
        self.frozen = until
        if self.pending is not None:
            self.world.cancel(self.pending)
            self.pending = None
        self.wake()

    def stop(self):
        """The program ends by itself."""
        if self.alive:
            self.ended()
            self.kill()

    def kill(self):
        """The process is gone."""
        self.alive = False
        self.process.die()

    # --- TCP --------------------------------------------------------------------------------------------

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        made = Connector(host, port, factory, timeout, bindAddress, self)
        made.connect()
        return made

    def listenTCP(self, port, factory, backlog=50, interface=''):
        made = Port(port, factory, backlog, interface, self)
        made.startListening()
        return made

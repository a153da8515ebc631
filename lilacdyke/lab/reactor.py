"""Twisted reactor over the simulated network and in simulated time, one for each simulated process.

Each iteration runs due timers, then socket events, and costs the process simulated time. Twisted's own
transports and ports run on it; only the sockets are simulated.
"""

from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT

from twisted.internet import tcp
from twisted.internet.posixbase import PosixReactorBase, _PollLikeMixin

from ..net import transports
from ..net.sockets import PrioritizedEvents
from ..net.transports import OpenedConnection, RetryingReactor
from .world import MICRO

TURN_US, EVENT_US = 20, 12  # cost of an iteration, and of each event in it
ERROR_EVENTS = EPOLLERR | EPOLLHUP


class Poller:
    """Level-triggered epoll over simulated sockets; events come in the order of readiness."""

    __slots__ = ('reactor', 'interest', 'candidates')

    def __init__(self, reactor):
        self.reactor, self.interest, self.candidates = reactor, {}, {}

    def watch(self, sock, fd, mask):
        """Set the events of interest for a socket; 0 removes it."""
        if mask:
            self.interest[fd] = mask
            sock.poller = self
            if sock.events() & (mask | ERROR_EVENTS):
                self.mark_ready(sock)
        elif self.interest.pop(fd, None):
            self.candidates.pop(fd, None)
            sock.poller = None

    def mark_ready(self, sock):
        if sock.fd not in self.candidates:
            self.candidates[sock.fd] = sock
            self.reactor.wake()

    def poll(self, timeout, maxevents):
        """Return the ready (descriptor, events) pairs. Sockets that are not ready wait for the next
        mark_ready()."""
        ready, candidates = [], self.candidates
        for fd, sock in list(candidates.items()):
            mask = sock.events() & (self.interest.get(fd, 0) | ERROR_EVENTS)
            if mask:
                ready.append((fd, mask))
            else:
                del candidates[fd]
        return ready


class SimConnection(OpenedConnection):
    """Client connection on a simulated socket."""

    def createInternetSocket(self):
        return self.connector.reactor.process.socket()


class Connector(tcp.Connector):
    def _makeTransport(self):
        return SimConnection(self.host, self.port, self.bindAddress, self, self.reactor)


class Port(transports.Port):
    """Listening port on a simulated socket."""

    def createInternetSocket(self):
        return self.reactor.process.socket()


class SimDescriptors(PosixReactorBase, _PollLikeMixin):
    """Reader and writer registration of simulated descriptors."""

    def _update(self, selectable):
        fd = selectable.fileno()
        mask = (EPOLLIN if fd in self._reads else 0) | (EPOLLOUT if fd in self._writes else 0)
        sock = self.process.open.get(fd)
        if sock is not None:
            self._poller.watch(sock, fd, mask)
        else:
            self._poller.interest.pop(fd, None)
            self._poller.candidates.pop(fd, None)
        if mask:
            self._selectables[fd] = selectable
        else:
            self._selectables.pop(fd, None)

    def _add_interest(self, fds, selectable):
        fd = selectable.fileno()
        if fd not in fds:
            fds.add(fd)
            self._update(selectable)

    def _remove_interest(self, fds, selectable):
        fd = selectable.fileno()
        if fd in fds:
            fds.discard(fd)
            self._update(selectable)

    def addReader(self, selectable):
        self._add_interest(self._reads, selectable)

    def addWriter(self, selectable):
        self._add_interest(self._writes, selectable)

    def removeReader(self, selectable):
        self._remove_interest(self._reads, selectable)

    def removeWriter(self, selectable):
        self._remove_interest(self._writes, selectable)

    def removeAll(self):
        removed = list(self._selectables.values())
        for selectable in removed:
            self.removeReader(selectable)
            self.removeWriter(selectable)
        return removed

    def getReaders(self):
        return [self._selectables[fd] for fd in sorted(self._reads)]

    def getWriters(self):
        return [self._selectables[fd] for fd in sorted(self._writes)]


class SimReactor(PrioritizedEvents, RetryingReactor, SimDescriptors):
    """Reactor of one simulated process, with a monotonic clock of its own offset and rate."""

    _POLL_DISCONNECTED, _POLL_IN, _POLL_OUT = ERROR_EVENTS, EPOLLIN, EPOLLOUT

    def __init__(self, world, process, on_exit=lambda: None, cost=(TURN_US, EVENT_US), on_error=None):
        self.world, self.process, self.on_exit = world, process, on_exit
        self.on_error = on_error  # called with the text of an unhandled exception, which a real reactor logs
        self.offset, self.rate, self.clock_base = 0, 1.0, 0  # the clock's reading at clock_base, and its rate
        self.cost, self.busy_until, self.frozen_until, self.alive = cost, 0, 0, True
        self._poller, self._selectables, self._reads, self._writes = Poller(self), {}, set(), set()
        self.next_turn, self.in_turn = None, False
        self.ahead = 0.0  # seconds by which the wall clock was stepped
        super().__init__()

    def installWaker(self):
        """Do nothing: no other thread wakes this reactor."""

    def wakeUp(self):
        self.wake()

    # --- time -------------------------------------------------------------------------------------------

    def monotonic(self):
        """Return the process's monotonic time in seconds."""
        return (self.offset + (self.world.now - self.clock_base) * self.rate) / MICRO

    seconds = monotonic  # the clock of timers

    def step(self, seconds):
        """Step the machine's wall clock forward by `seconds`, which may be negative."""
        self.ahead += seconds
        self.wake()

    def drift(self, rate):
        """Change the rate of the monotonic clock."""
        self.offset, self.clock_base, self.rate = int(self.monotonic() * MICRO), self.world.now, rate
        self.wake()

    def callLater(self, delay, call, *args, **kwargs):
        call_entry = super().callLater(max(0, delay), call, *args, **kwargs)
        if not self.in_turn:
            self.wake(call_entry.time)
        return call_entry

    def _moveCallLaterSooner(self, call):
        super()._moveCallLaterSooner(call)
        self.wake(call.time)

    # --- iterations -------------------------------------------------------------------------------------

    def wake(self, at=None):
        """Schedule an iteration: now, or when the process's clock reaches `at` seconds."""
        if not self.alive or self.in_turn:
            return
        now = self.world.now
        when = now if at is None else max(now, now + int((at - self.seconds()) * MICRO / self.rate) + 1)
        when = max(when, self.busy_until, self.frozen_until)
        if self.next_turn is None or when < self.next_turn[0]:
            if self.next_turn is not None:
                self.world.cancel(self.next_turn)
            self.next_turn = self.world.at(when, self.turn)

    def turn(self):
        """Run one iteration of the event loop."""
        self.next_turn = None
        if not self.alive:
            return
        if self.world.now < self.frozen_until:
            self.wake()
            return
        self.in_turn, events, self.world.current_reactor = True, len(self._poller.candidates), self
        try:
            self.runUntilCurrent()
            self.doPoll(0)
        except Exception as err:
            if self.on_error is None:
                raise
            self.on_error('raised: %s: %s' % (type(err).__name__, err))
        finally:
            self.in_turn, self.world.current_reactor = False, None
        self.busy_until = self.world.now + self.cost[0] + self.cost[1] * events
        if not self.alive:
            return
        self._insertNewDelayedCalls()
        if self.threadCallQueue or self._poller.candidates:
            self.wake()
        elif self._pendingTimedCalls:
            self.wake(self._pendingTimedCalls[0].time)

    def freeze(self, until):
        """Suspend the process until the given time; its sockets still receive data."""
        self.frozen_until = until
        if self.next_turn is not None:
            self.world.cancel(self.next_turn)
            self.next_turn = None
        self.wake()

    def stop(self):
        """End the process normally."""
        if self.alive:
            self.on_exit()
            self.kill()

    def kill(self):
        """End the process at once."""
        self.alive = False
        self.process.close_all()

    # --- TCP --------------------------------------------------------------------------------------------

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = Connector(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def listenTCP(self, port, factory, backlog=50, interface=''):
        listening_port = Port(port, factory, backlog, interface, self)
        listening_port.startListening()
        return listening_port

"""What the node asks of connections beneath its protocols.

Owns the few calls that go past Twisted's transports, how a connection is opened, who is let in, and in which
order what came is read. Must never know what a message says, or decide: whether somebody has waited for too
long is the module's word.
"""

import socket
from contextlib import suppress
from errno import EAGAIN
from struct import error, unpack_from
from time import monotonic, sleep

from twisted.internet.defer import Deferred
from twisted.internet.epollreactor import EPollReactor  # noqa: TID251
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.tcp import Client

from .local_errors import ACCEPT_GONE, MOVING, NO_DESCRIPTOR, NO_MEMORY, name_of
from .transports import Connector, PatientEpoll, PatientReactor, Port

LAST_RECEIVED_OFFSET = 52  # where tcp_info tells when bytes last came, in bytes
LISTEN_TRIES, LISTEN_PAUSE_SECONDS = 20, 0.05  # while the machine has no memory or descriptor for a start
CLOSED = (7, 8)  # states that it tells first: all is over, or the other side has closed


class AnswersFirst:
    """The order of a reactor's turn: operators first, as they wait for a second at most; then what servers
    answer is read before what clients ask, as work that is nearly done must not wait for more of it."""

    def doPoll(self, timeout):
        try:
            ready = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        except InterruptedError:
            return
        for turn in self.by_priority(ready):
            for fd, event in turn:
                selectable = self._selectables.get(fd)
                if selectable is not None:
                    self._doReadOrWrite(selectable, fd, event)

    def by_priority(self, ready):
        """What is ready: operators', servers', the rest."""
        turns = [], [], []
        for fd, event in ready:
            selectable = self._selectables.get(fd)
            turns[0 if urgent(selectable) else 1 if isinstance(selectable, Client) else 2].append((fd, event))
        return turns

    doIteration = doPoll


def urgent(selectable):
    """Whether a connection, or a listening socket, is one that comes before all others."""
    return getattr(
        getattr(selectable, 'protocol', None) or getattr(selectable, 'factory', None), 'urgent', False
    )


class Reactor(AnswersFirst, PatientReactor, EPollReactor):
    """Twisted's own on epoll, with that order. It also spares each event the logging context that nobody here
    uses; what an event raises is caught and logged below this.

    Guards against a wall clock that is stepped: Twisted sets its timers by Unix time, and with a step back
    all of them would be late by the step."""

    seconds = staticmethod(monotonic)
    shared = False  # whether another process of this node may listen at the same address

    def __init__(self):
        super().__init__()
        self._poller = PatientEpoll(
            self._poller, self.callLater, lambda call, number: self.call_failed(call, number)
        )

    def listenTCP(self, port, factory, backlog=50, interface=''):
        """Listen; with nothing shut down at the end, as another process may hold the same socket. Guards
        against a start that fails because the machine has no memory or descriptors for a moment."""
        for tries_left in reversed(range(LISTEN_TRIES)):
            made = Port(port, factory, backlog, interface, self)
            made._reusePort, made._shouldShutdown = self.shared, False
            try:
                made.startListening()
                return made
            except CannotListenError as err:
                number = getattr(err.socketError, 'errno', None)
                if number not in NO_DESCRIPTOR | NO_MEMORY or not tries_left:
                    raise
                self.call_failed('listen', number)
                sleep(LISTEN_PAUSE_SECONDS)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        made = Connector(host, port, factory, timeout, bindAddress, self)
        made.connect()
        return made

    def adoptStreamPort(self, descriptor, family, factory):
        """Listen at a socket that another process gave."""
        made = Port._fromListeningDescriptor(self, descriptor, family, factory)
        made.startListening()
        return made


class Outgoing(Protocol):
    """One end of a connection that this side opens."""

    up = None  # fires once the connection is up, or will not come up

    def makeConnection(self, transport):
        super().makeConnection(transport)
        self.up.callback(self)


class Dial(ClientFactory):
    """Opens one connection, for a protocol that is there already."""

    noisy = False

    def __init__(self, made):
        self.made, self.connector = made, None
        made.up = Deferred(lambda _: self.connector.disconnect())

    def buildProtocol(self, addr):
        return self.made

    def clientConnectionFailed(self, connector, reason):
        if not self.made.up.called:  # else it was given up, which ends it in this way too
            self.made.up.errback(reason)


def connect(reactor, address, protocol):
    """Open a connection for this protocol; its Deferred. How long that may take is the caller's to see to."""
    dial = Dial(protocol)
    dial.connector = reactor.connectTCP(*address, dial, timeout=None)
    return protocol.up


def quiet(transport):
    """Whether nothing lies unread on a connection, not even its end. Guards against a hop sent on one that
    has ended, and against closing on a request that has come."""
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class Door:
    """A listening socket that lets in only who is still to be served. Guards against a queue of connections
    that feeds on itself: those that have waited for too long, or have gone, would cost as much as those in
    time, and make them late too. Here one costs a few calls to the system."""

    MOST = 32  # turned away in a row, until other sockets have their turn
    LOOK = 16_384  # bytes looked at of what lies unread on one

    def __init__(self, listening, late, whole, answer, crowded, call_failed):
        self.listening, self.late, self.whole, self.answer = listening, late, whole, answer
        self.crowded, self.call_failed = crowded, call_failed

    def __getattr__(self, name):
        return getattr(self.listening, name)

    def accept(self):
        """The next connection to be served, as a socket's own accept gives it."""
        for _ in range(self.MOST):
            try:
                came, address = self.listening.accept()
            except BlockingIOError:
                raise
            except OSError as err:
                self.failed(err.errno)
                if err.errno in ACCEPT_GONE:
                    continue
                raise BlockingIOError(EAGAIN, name_of(err.errno)) from None
            state, waited = tcp_info(came)
            if state in CLOSED:
                came.close()  # nobody is there any more
            elif not self.late(waited) or not self.reject(came):
                return came, address
        raise BlockingIOError(EAGAIN, 'others first')

    def failed(self, number):
        """A call for the next connection failed. Guards against what Twisted does without a descriptor: it
        accepts all that wait and closes them; and against asking again at once, for as long as that lasts."""
        self.call_failed('accept', number)
        if number not in ACCEPT_GONE:
            self.crowded(number in NO_DESCRIPTOR)

    def reject(self, came):
        """Answer, if a request lies there whole and nothing more: closing on anything unread, or on what is
        still to come, would take the answer back. Whether it was turned away; else it is let in, also where
        the answer cannot be sent now: closing would leave the request without one."""
        try:
            if not self.whole(came.recv(self.LOOK, socket.MSG_PEEK | socket.MSG_DONTWAIT)):
                return False
            if not self.sent(came, b''.join(self.answer())):
                return False
        except BlockingIOError:
            return False  # nothing lies there yet
        except OSError as err:
            if err.errno in MOVING:
                return False  # this machine cannot look now
        with suppress(OSError):
            came.recv(self.LOOK, socket.MSG_DONTWAIT)
        came.close()
        return True

    def sent(self, came, answer):
        """Send an answer: whether any of it left. The rest of one of which the system took only a part
        follows at once, as long as it takes some. Raises OSError where the other side has gone."""
        left = answer
        for _ in range(len(answer)):
            try:
                left = left[came.send(left, socket.MSG_DONTWAIT) :]
            except OSError as err:
                if err.errno not in MOVING and err.errno != EAGAIN:
                    raise
                self.call_failed('send', err.errno)
                if len(left) == len(answer):
                    return False
            if not left:
                break
        return True


def tcp_info(handle):
    """A connection's state, and how long ago the system took the last bytes that came on it, as Linux tells
    that to the millisecond."""
    try:
        told = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED_OFFSET + 4)
        return told[0], unpack_from('=I', told, LAST_RECEIVED_OFFSET)[0] * 10
    except (OSError, AttributeError, error):
        return 0, 0


def guard(port, late, whole, answer, crowded, call_failed):
    """Put a Door before a port, and let the system keep a new connection to itself until its first bytes
    come, or for a second. whole(bytes): whether they are one request. crowded(no_descriptor) is called if the
    next cannot be had now, call_failed(call, errno) for each call that fails. Guards against connections by
    the hundreds that say nothing: they take no place."""
    try:
        port.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
    except OSError as err:
        call_failed('setsockopt', err.errno)  # it serves without that
    port.socket = Door(port.socket, late, whole, answer, crowded, call_failed)


def no_delay(transport):
    """Have small writes leave at once; a connection that cannot is used all the same."""
    with suppress(OSError, AttributeError):  # the latter: a transport of tests, without a socket
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def left(transport):
    """Whether the other side has closed, or reset, a connection, though that may lie unread: behind bytes, or
    while nobody reads. One that only ended its sending looks the same and is taken for gone."""
    return tcp_info(transport.getHandle())[0] in CLOSED


def waiting(transport):
    """Whether the transport still holds bytes that the system has not taken."""
    return len(transport.dataBuffer) > transport.offset or bool(transport._tempDataBuffer)


def buffered_bytes(transport):
    """How many bytes the transport holds that the system has not taken."""
    return len(transport.dataBuffer) - transport.offset + sum(map(len, transport._tempDataBuffer))


def push(transport, data):
    """Send at once, past the transport's buffer, which must hold nothing; how many bytes the system took.
    What a connection has come to is left for the transport to find."""
    try:
        return transport.getHandle().send(data)
    except OSError:
        return 0


def unread_for(transport):
    """How long what came last on a connection has lain unread. Guards against a node that stood still: the
    client's limit has run meanwhile."""
    return tcp_info(transport.getHandle())[1]

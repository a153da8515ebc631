"""Socket-level operations beneath Twisted's transports.

Contains the reactor with its event order, outgoing connections, the filter on accepted connections, and
direct socket calls (TCP_INFO, MSG_PEEK, immediate sends). Knows nothing of message contents; whether a
request has waited too long is decided by the caller.
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

from .local_errors import ACCEPT_GONE, NO_DESCRIPTOR, NO_MEMORY, RETRIED_IO_ERRNOS, errno_name
from .transports import AcceptedConnection, Connector, PatientEpoll, Port, RetryingReactor

LAST_RECEIVED_OFFSET = 52  # byte offset of tcpi_last_data_recv in struct tcp_info
LISTEN_TRIES, LISTEN_PAUSE_SECONDS = 20, 0.05  # retries while out of memory or descriptors
CLOSED_STATES = (7, 8)  # TCP_CLOSE, TCP_CLOSE_WAIT


class PrioritizedEvents:
    """Reactor mixin that sets the order of events in one iteration: operator connections, then servers,
    then clients. Operators wait for a second at most. Finishing requests in progress takes precedence over
    accepting new ones.
    """

    turn_began = None  # when the last poll returned
    longest_turn = 0  # seconds between two polls, at most; reset by whoever reads it

    def doPoll(self, timeout):
        if self.turn_began is not None:
            self.longest_turn = max(self.longest_turn, self.seconds() - self.turn_began)
        try:
            ready = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        except InterruptedError:
            return
        finally:
            self.turn_began = self.seconds()
        for turn in self.by_priority(ready):
            for fd, event in turn:
                selectable = self._selectables.get(fd)
                if selectable is not None:
                    self._doReadOrWrite(selectable, fd, event)

    def by_priority(self, ready):
        """Group ready events: operator connections, servers, all others."""
        turns = [], [], []
        for fd, event in ready:
            selectable = self._selectables.get(fd)
            turns[0 if urgent(selectable) else 1 if isinstance(selectable, Client) else 2].append((fd, event))
        return turns

    doIteration = doPoll


def urgent(selectable):
    """Return whether a connection or listening socket is handled before all others."""
    return getattr(
        getattr(selectable, 'protocol', None) or getattr(selectable, 'factory', None), 'urgent', False
    )


class Reactor(PrioritizedEvents, RetryingReactor, EPollReactor):
    """Epoll reactor with prioritized events and timers on the monotonic clock.

    Twisted's own timers follow Unix time and would be late after the wall clock is stepped back. Events
    run without Twisted's logging context; exceptions are caught and logged by the protocols.
    """

    seconds = staticmethod(monotonic)
    shared = False  # whether other processes may listen at the same address (SO_REUSEPORT)

    def __init__(self):
        super().__init__()
        self._poller = PatientEpoll(
            self._poller, self.callLater, lambda call, number: self.call_failed(call, number)
        )

    def listenTCP(self, port, factory, backlog=50, interface=''):
        """Listen, retrying while the machine is out of memory or descriptors, so that a start does not fail
        because of a moment's shortage.

        Sockets are not shut down on close, as another process may share them.
        """
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
        """Listen on a socket received from another process."""
        made = Port._fromListeningDescriptor(self, descriptor, family, factory)
        made.startListening()
        return made


class Outgoing(Protocol):
    """Protocol of an outgoing connection."""

    up = None  # Deferred that fires once the connection is established or has failed

    def makeConnection(self, transport):
        super().makeConnection(transport)
        self.up.callback(self)


class SingleConnectionFactory(ClientFactory):
    """Factory that connects a single, existing protocol instance."""

    noisy = False

    def __init__(self, instance):
        self.instance, self.connector = instance, None
        instance.up = Deferred(lambda _: self.connector.disconnect())

    def buildProtocol(self, addr):
        return self.instance

    def clientConnectionFailed(self, connector, reason):
        if not self.instance.up.called:  # already fired if the attempt was cancelled
            self.instance.up.errback(reason)


def connect(reactor, address, protocol):
    """Connect a protocol to an address and return its Deferred. The caller enforces the timeout."""
    dial = SingleConnectionFactory(protocol)
    dial.connector = reactor.connectTCP(*address, dial, timeout=None)
    return protocol.up


def nothing_unread(transport):
    """Return whether a connection has nothing unread, not even its end.

    Guards against sending on a connection that has ended, and against closing one on which a request
    has arrived.
    """
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError as err:
        record_error(transport, err)
    return False


def record_error(transport, err):
    """Record a connection's error for its transport, unless it is transient.

    Linux reports an error such as ECONNRESET once: after a call that was not the transport's own, its next
    read would return no data, as at an orderly end.
    """
    if err.errno not in RETRIED_IO_ERRNOS and not isinstance(err, BlockingIOError):
        transport.connection_error = err.errno


class AcceptFilter:
    """Listening socket that drops or refuses connections that are not worth serving.

    Guards against a backlog that feeds on itself: serving requests that have waited too long costs as
    much as serving those in time, and delays them as well. Here such a connection costs a few system
    calls.
    """

    MAX_REJECTED = 32  # connections refused in a row before other sockets are served
    PEEK_BYTES = 16_384  # unread bytes inspected on a connection
    BEHIND = 100  # ticks that a connection has waited from which the queue counts as long

    def __init__(self, listening, late, whole, answer, crowded, call_failed, fault=lambda data: None):
        self.listening, self.late, self.whole, self.answer = listening, late, whole, answer
        self.crowded, self.call_failed, self.fault = crowded, call_failed, fault

    def __getattr__(self, name):
        return getattr(self.listening, name)

    def accept(self):
        """Return the next connection to be served, as socket.accept() does."""
        for _ in range(self.MAX_REJECTED):
            try:
                came, address = self.listening.accept()
            except BlockingIOError:
                raise
            except OSError as err:
                self.failed(err.errno)
                if err.errno in ACCEPT_GONE:
                    continue
                raise BlockingIOError(EAGAIN, errno_name(err.errno)) from None
            state, waited = tcp_info(came)
            if state in CLOSED_STATES:
                came.close()  # the client is gone
            elif not self.is_rejected(came, waited):
                return came, address
        raise BlockingIOError(EAGAIN, 'accept limit reached')

    def failed(self, number):
        """Handle a failed accept.

        Twisted would accept and close all waiting connections when out of descriptors; instead the caller
        pauses accepting, as the call would fail again at once for as long as that lasts.
        """
        self.call_failed('accept', number)
        if number not in ACCEPT_GONE:
            self.crowded(number in NO_DESCRIPTOR)

    def is_rejected(self, came, waited):
        """Return whether a connection was refused: its request has waited too long, or the queue is long and
        its request is unsound.
        """
        if self.late(waited):
            return self.reject(came, lambda data: b''.join(self.answer()) if self.whole(data) else None)
        return waited >= self.BEHIND and self.reject(came, self.fault)

    def reject(self, came, answer_to):
        """Refuse a connection if exactly one whole request lies unread on it; closing with anything
        else unread, or still to come, would reset the connection and lose the answer. Return whether it
        was refused; otherwise it is accepted, also if the answer cannot be sent now.

        answer_to(data): the answer to what lies unread, or None.
        """
        try:
            answer = answer_to(came.recv(self.PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            if not answer or not self.sent(came, answer):
                return False
        except BlockingIOError:
            return False  # nothing received yet
        except OSError as err:
            if err.errno in RETRIED_IO_ERRNOS:
                return False  # transient local failure
        with suppress(OSError):
            came.recv(self.PEEK_BYTES, socket.MSG_DONTWAIT)
        came.close()
        return True

    def sent(self, came, answer):
        """Send an answer and return whether any of it was sent.

        The remainder of a partial send follows immediately while the system accepts more. Raise OSError
        if the peer is gone.
        """
        left = answer
        for _ in range(len(answer)):
            try:
                left = left[came.send(left, socket.MSG_DONTWAIT) :]
            except OSError as err:
                if err.errno not in RETRIED_IO_ERRNOS and err.errno != EAGAIN:
                    raise
                self.call_failed('send', err.errno)
                if len(left) == len(answer):
                    return False
            if not left:
                break
        return True


def tcp_info(handle):
    """Return a connection's TCP state and the time since its last bytes were received, in ticks with a
    resolution of a millisecond.
    """
    try:
        told = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED_OFFSET + 4)
        return told[0], unpack_from('=I', told, LAST_RECEIVED_OFFSET)[0] * 10
    except (OSError, AttributeError, error):
        return 0, 0


def guard(port, late, whole, answer, crowded, call_failed, fault=lambda data: None):
    """Put an AcceptFilter in front of a port, and defer accepting each connection until its first bytes or
    for a second (TCP_DEFER_ACCEPT), so that silent connections take no slot. whole(data): whether it is
    exactly one request; crowded(no_descriptor): called if the next connection cannot be accepted now;
    call_failed(call, errno): called for each failed call; fault(data): the answer to an unsound request, or
    None.
    """
    try:
        port.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
    except OSError as err:
        call_failed('setsockopt', err.errno)  # optional
    port.socket = AcceptFilter(port.socket, late, whole, answer, crowded, call_failed, fault)


def no_delay(transport):
    """Disable Nagle's algorithm; a failure is ignored."""
    with suppress(OSError, AttributeError):  # AttributeError: a test transport without a socket
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def peer_closed(transport):
    """Return whether the peer has closed or reset the connection, even if that lies unread.

    A peer that has only shut down its sending side looks the same and counts as gone.
    """
    return tcp_info(transport.getHandle())[0] in CLOSED_STATES


def waiting(transport):
    """Return whether the transport holds bytes not yet passed to the system."""
    return len(transport.dataBuffer) > transport.offset or bool(transport._tempDataBuffer)


def buffered_bytes(transport):
    """Return the number of bytes in the transport that are not yet passed to the system."""
    return len(transport.dataBuffer) - transport.offset + sum(map(len, transport._tempDataBuffer))


def close_now(transport):
    """Close a connection in this turn of the event loop, or once what its transport holds has been sent."""
    if isinstance(transport, AcceptedConnection) and not waiting(transport):
        transport.close_now()
    else:
        transport.loseConnection()


def send_now(transport, data):
    """Send immediately, bypassing the transport's buffer, which must be empty; return the number of
    bytes sent. The transport learns of an error at its next read or write.
    """
    try:
        return transport.getHandle().send(data)
    except OSError as err:
        record_error(transport, err)
        return 0


def flush(transport):
    """Pass what the transport has buffered to the system, as far as the system accepts it now.

    Errors are left for the transport to discover.
    """
    if waiting(transport):
        transport.doWrite()


def time_unread(transport):
    """Return how long the last bytes received on a connection have been unread, in ticks.

    The client's limit includes this time, for instance while the process was stopped.
    """
    return tcp_info(transport.getHandle())[1]

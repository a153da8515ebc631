"""Twisted TCP transports and epoll wrapper that retry calls after transient local failures.

When a call fails with an errno that indicates a lack of local resources, the connection is kept and the
call is retried after a short delay. Twisted itself would close the connection, or treat EAGAIN from
connect(2) as a connection in progress.
"""

import os
from errno import EALREADY, EINPROGRESS, EISCONN, ENOENT, EWOULDBLOCK
from socket import SO_ERROR, SOL_SOCKET

from twisted.internet import tcp
from twisted.internet.error import getConnectError
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python.failure import Failure

from .local_errors import RETRIED_EPOLL_ERRNOS, RETRIED_IO_ERRNOS

RETRY_SECONDS = 0.005  # delay before a failed call is retried


class PatientTransport:
    """Transport that retries reads and writes that fail with a transient local errno."""

    connection_error = None  # errno of the connection that another call than a read here has received

    def doRead(self):
        """Read as Twisted does, but retry later on a transient local errno.

        The end of the data is an orderly end only if no call has received an error of the connection.
        """
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as err:
            if err.errno == EWOULDBLOCK:
                return None
            if err.errno not in RETRIED_IO_ERRNOS:
                return CONNECTION_LOST
            self.reactor.call_failed('recv', err.errno)
            self.reactor.read_later(self)
            return None
        if not data and self.connection_error is not None:
            return CONNECTION_LOST
        return self._dataReceived(data)

    def writeSomeData(self, data):
        """Write as Twisted does, but retry later on a transient local errno; return the number of bytes
        written.
        """
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as err:
            if err.errno == EWOULDBLOCK:
                return 0
            if err.errno not in RETRIED_IO_ERRNOS:
                return CONNECTION_LOST
            self.reactor.call_failed('send', err.errno)
            self.reactor.write_later(self)
            return 0


class OpenedConnection(PatientTransport, tcp.Client):
    """Outgoing connection."""

    def doConnect(self):
        """Start connecting, or check the result.

        Unlike Twisted, treats EAGAIN as a failure: no local port is free, and no event will follow for
        this socket.
        """
        self.doWrite = self.doRead = self.doConnect
        if not hasattr(self, 'connector'):
            return  # cancelled before the first attempt
        try:
            number = self.socket.getsockopt(SOL_SOCKET, SO_ERROR) or self.socket.connect_ex(self.realAddress)
        except OSError as err:
            number = err.errno
        if number in (EINPROGRESS, EALREADY):
            self.startReading()
            self.startWriting()
        elif number not in (0, EISCONN):
            self.failIfNotConnected(getConnectError((number, os.strerror(number))))
        else:
            del self.doWrite, self.doRead
            self.stopReading()
            self.stopWriting()
            self._connectDone()


class AcceptedConnection(PatientTransport, tcp.Server):
    """Incoming connection."""

    def close_now(self):
        """Close in this turn of the event loop.

        Twisted closes in a later one, and what arrives meanwhile is reset unread. For empty transports only.
        """
        if not self.disconnected:
            self.connectionLost(Failure(CONNECTION_DONE))


class Connector(tcp.Connector):
    """Connector that creates OpenedConnection transports."""

    def _makeTransport(self):
        return OpenedConnection(self.host, self.port, self.bindAddress, self, self.reactor)


class Port(tcp.Port):
    """Listening socket that creates AcceptedConnection transports."""

    transport = AcceptedConnection

    def stopListening(self):
        """Close the socket at once.

        Twisted closes it an iteration later, and the connections that arrive meanwhile are reset.
        """
        self.disconnecting = True
        self.stopReading()
        self.socket.close()
        self.connectionLost(Failure(CONNECTION_DONE))

    loseConnection = stopListening


class RetryingReactor:
    """Reactor mixin, placed before Twisted's class, that lets a transport defer its next read or write."""

    held_reads = held_writes = frozenset()  # transports with a deferred read, write

    def call_failed(self, call, number):
        """Report a call that failed with a local errno; replaced by the owner of the reactor."""

    def read_later(self, transport):
        """Retry a read after a delay, unless the transport stops reading in the meantime."""
        super().removeReader(transport)
        self.held_reads |= {transport}
        self.callLater(RETRY_SECONDS, self.read_again, transport)

    def read_again(self, transport):
        if transport in self.held_reads:
            self.addReader(transport)

    def write_later(self, transport):
        """Retry a write after a delay, unless the transport stops writing in the meantime."""
        super().removeWriter(transport)
        self.held_writes |= {transport}
        self.callLater(RETRY_SECONDS, self.write_again, transport)

    def write_again(self, transport):
        if transport in self.held_writes:
            self.addWriter(transport)

    def addReader(self, reader):
        self.held_reads -= {reader}
        super().addReader(reader)

    def addWriter(self, writer):
        self.held_writes -= {writer}
        super().addWriter(writer)

    def removeReader(self, reader):
        self.held_reads -= {reader}
        super().removeReader(reader)

    def removeWriter(self, writer):
        self.held_writes -= {writer}
        super().removeWriter(writer)


class PatientEpoll:
    """Epoll object that retries interest changes which fail for lack of memory.

    call_failed(call, errno) is called for each failure; later(seconds, call, *args) schedules a retry.
    """

    def __init__(self, epoll, later, call_failed):
        self.epoll, self.later, self.call_failed = epoll, later, call_failed
        self.pending = {}  # interest still to be set, by descriptor; None: unregister
        self.poll, self.close, self.fileno = epoll.poll, epoll.close, epoll.fileno

    def register(self, descriptor, events):
        self.set(descriptor, events, self.epoll.register)

    def modify(self, descriptor, events):
        self.set(descriptor, events, self.epoll.modify)

    def unregister(self, descriptor):
        self.set(descriptor, None, lambda number, _: self.epoll.unregister(number))

    def set(self, descriptor, events, call):
        """Apply an interest change with this call, or replace the pending one for the descriptor."""
        if descriptor in self.pending:
            self.pending[descriptor] = events
            self.apply_pending(descriptor)
            return
        try:
            call(descriptor, events)
        except OSError as err:
            self.failed(descriptor, events, err)

    def failed(self, descriptor, events, err):
        """Schedule a retry of an interest change, or raise the error if it is not transient."""
        if err.errno not in RETRIED_EPOLL_ERRNOS:
            raise err
        self.call_failed('epoll_ctl', err.errno)
        if descriptor not in self.pending:
            self.later(RETRY_SECONDS, self.again, descriptor)
        self.pending[descriptor] = events

    def again(self, descriptor):
        """Retry the pending change of a descriptor."""
        if descriptor in self.pending:
            self.apply_pending(descriptor)
            if descriptor in self.pending:
                self.later(RETRY_SECONDS, self.again, descriptor)

    def apply_pending(self, descriptor):
        """Bring the kernel's interest in a descriptor up to date.

        The descriptor may or may not be registered: the kernel drops it when it is closed.
        """
        events = self.pending[descriptor]
        try:
            if events is None:
                self.epoll.unregister(descriptor)
            else:
                self.modify_or_register(descriptor, events)
        except OSError as err:
            if events is not None or err.errno != ENOENT:
                self.failed(descriptor, events, err)
                return
        del self.pending[descriptor]

    def modify_or_register(self, descriptor, events):
        try:
            self.epoll.modify(descriptor, events)
        except OSError as err:
            if err.errno != ENOENT:
                raise
            self.epoll.register(descriptor, events)

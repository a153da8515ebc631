"""Twisted's TCP transports and epoll, for a machine whose calls fail for a moment.

Owns what is done with an errno that tells of this machine: the connection stays as it is and the call is made
again a little later. Twisted itself ends the connection, or takes EAGAIN of connect(2) for one that is coming
up. Must never know what a connection carries.
"""

import os
from errno import EALREADY, EINPROGRESS, EISCONN, ENOENT, EWOULDBLOCK
from socket import SO_ERROR, SOL_SOCKET

from twisted.internet import tcp
from twisted.internet.error import getConnectError
from twisted.internet.main import CONNECTION_LOST

from .local_errors import MOVING, RETRIED_EPOLL_ERRNOS

RETRY_SECONDS = 0.005  # until a call that failed is made again


class PatientTransport:
    """A connection on which a read or a write that fails for want of memory is made again."""

    def doRead(self):
        """As Twisted's own, but for those errnos."""
        try:
            data = self.socket.recv(self.bufferSize)
        except OSError as err:
            if err.errno == EWOULDBLOCK:
                return None
            if err.errno not in MOVING:
                return CONNECTION_LOST
            self.reactor.call_failed('recv', err.errno)
            self.reactor.read_later(self)
            return None
        return self._dataReceived(data)

    def writeSomeData(self, data):
        """As Twisted's own, but for those errnos: how many bytes were taken."""
        try:
            return self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except OSError as err:
            if err.errno == EWOULDBLOCK:
                return 0
            if err.errno not in MOVING:
                return CONNECTION_LOST
            self.reactor.call_failed('send', err.errno)
            self.reactor.write_later(self)
            return 0


class OpenedConnection(PatientTransport, tcp.Client):
    """A connection that this side opens."""

    def doConnect(self):
        """Begin to connect, or see what came of it. As Twisted's own, but that EAGAIN is a failure: no local
        port is free, and no event will tell of the connection."""
        self.doWrite = self.doRead = self.doConnect
        if not hasattr(self, 'connector'):
            return  # it was given up before it began
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
    """A connection that the other side opened."""


class Connector(tcp.Connector):
    """Makes connections of that kind."""

    def _makeTransport(self):
        return OpenedConnection(self.host, self.port, self.bindAddress, self, self.reactor)


class Port(tcp.Port):
    """A listening socket whose connections are of that kind."""

    transport = AcceptedConnection


class PatientReactor:
    """A reactor on which a transport may ask for its next read or write to wait a little. Mixed in before
    Twisted's."""

    held_reads = held_writes = frozenset()  # transports whose next read, write waits

    def call_failed(self, call, number):
        """A call failed with an errno that tells of this machine. Whoever counts such replaces this."""

    def read_later(self, transport):
        """Read again a little later, unless the transport stops reading meanwhile."""
        super().removeReader(transport)
        self.held_reads |= {transport}
        self.callLater(RETRY_SECONDS, self.read_again, transport)

    def read_again(self, transport):
        if transport in self.held_reads:
            self.addReader(transport)

    def write_later(self, transport):
        """Write again a little later, unless the transport stops writing meanwhile."""
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
    """An epoll whose interest in a descriptor is set a little later where the system has no memory for that
    now. call_failed(call, errno) is told; later(seconds, call) calls then."""

    def __init__(self, epoll, later, call_failed):
        self.epoll, self.later, self.call_failed = epoll, later, call_failed
        self.pending = {}  # by descriptor: the interest that could not be set; None: none at all
        self.poll, self.close, self.fileno = epoll.poll, epoll.close, epoll.fileno

    def register(self, descriptor, events):
        self.set(descriptor, events, self.epoll.register)

    def modify(self, descriptor, events):
        self.set(descriptor, events, self.epoll.modify)

    def unregister(self, descriptor):
        self.set(descriptor, None, lambda number, _: self.epoll.unregister(number))

    def set(self, descriptor, events, call):
        """Set this interest, by this call, unless an earlier one is still to be made up for."""
        if descriptor in self.pending:
            self.pending[descriptor] = events
            self.apply_pending(descriptor)
            return
        try:
            call(descriptor, events)
        except OSError as err:
            self.failed(descriptor, events, err)

    def failed(self, descriptor, events, err):
        """Raise what is no want of memory."""
        if err.errno not in RETRIED_EPOLL_ERRNOS:
            raise err
        self.call_failed('epoll_ctl', err.errno)
        if descriptor not in self.pending:
            self.later(RETRY_SECONDS, self.again, descriptor)
        self.pending[descriptor] = events

    def again(self, descriptor):
        """The wait is over."""
        if descriptor in self.pending:
            self.apply_pending(descriptor)
            if descriptor in self.pending:
                self.later(RETRY_SECONDS, self.again, descriptor)

    def apply_pending(self, descriptor):
        """Have the kernel's interest in a descriptor be what it should. Whether it knows the descriptor is
        not known: one that was closed meanwhile it does not."""
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

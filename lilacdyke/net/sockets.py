"""What the node asks of connections beneath its protocols.

Owns the few calls that go past Twisted's transports, and how an address becomes an endpoint. Must never read
what a protocol is to read, keep state, or know whose connection it is.
"""

import socket
from struct import error, unpack_from

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint, connectProtocol

LAST_RECEIVED = 52                      # where tcp_info tells when bytes last came, in bytes


def connect(reactor, address, protocol):
    """Open a connection for this protocol; its Deferred. How long that may take is the caller's to see to."""
    kind = TCP6ClientEndpoint if ':' in address[0] else TCP4ClientEndpoint
    return connectProtocol(kind(reactor, *address, timeout=None), protocol)


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


def defer_accept(port):
    """Let the system keep a new connection to itself until its first bytes come, or for a second. Guards against
    connections by the hundreds that say nothing: they take no place from those that ask."""
    try:
        port.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
    except (OSError, AttributeError):
        return


def waiting(transport):
    """Whether the transport still holds bytes that the system has not taken."""
    return len(transport.dataBuffer) > transport.offset or bool(transport._tempDataBuffer)


def push(transport, data):
    """Send at once, past the transport's buffer, which must hold nothing; how many bytes the system took. What a
    connection has come to is left for the transport to find."""
    try:
        return transport.getHandle().send(data)
    except OSError:
        return 0


def unread_for(transport):
    """How long ago the system took the last bytes that came on a connection, as Linux tells it to the
    millisecond. Guards against a node that stood still: the client's limit has run meanwhile."""
    try:
        told = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED + 4)
        return unpack_from('=I', told, LAST_RECEIVED)[0] * 10
    except (OSError, AttributeError, error):
        return 0

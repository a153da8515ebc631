"""Links between replicas, and staff's connections, as Twisted protocols.

Owns the bytes: frames in, frames out. A link that reads nothing is not written to; bytes out of form end that
link and nothing else. Must never decide: that is replica.py's.
"""

from twisted.internet.protocol import Factory, Protocol

from ..net.logs import LOG, warn
from ..net.sockets import Outgoing, no_delay
from .messages import (
    BadFrameError,
    Hello,
    PutRequest,
    StatusRequest,
    Sync,
    TakeBackRequest,
    frame_reader,
    pack,
    unpack,
)

SEND_BUFFER_BYTES = 65_536  # bytes with the transport from which nothing more is sent


class Link(Protocol):
    """One end of a link. host: see host.py."""

    def __init__(self, host):
        self.host, self.frames, self.closed = host, frame_reader(), False
        self.peer = None  # the neighbour's name, once it is known
        self.last_received = host.clock()  # when something last came

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.bufferSize = SEND_BUFFER_BYTES
        self.transport.registerProducer(self, True)

    def dataReceived(self, data):
        self.last_received = self.host.clock()
        self.host.counts['bytes_in'] += len(data)
        try:
            for body in self.frames.feed(data):
                if not self.closed:
                    self.message_received(unpack(body))
        except BadFrameError as err:
            self.host.counts['bad_frames'] += 1
            peer = self.transport.getPeer()
            warn('link ended', peer=self.peer or '%s:%d' % (peer.host, peer.port), reason=err)
            self.close()
        except Exception:
            LOG.exception('fault')
            self.close()

    def message_received(self, message):
        """A message has come."""
        if isinstance(message, Sync) and self.peer is not None:
            self.host.receive_sync(self, message)
        else:
            raise BadFrameError('a message that is not expected here: %s' % type(message).__name__)

    def send(self, message):
        """Send a message."""
        if not self.closed:
            data = pack(message)
            self.host.counts['bytes_out'] += len(data)
            self.host.counts['messages_out'] += 1
            self.transport.write(data)

    def close(self):
        """Nothing more is said or heard."""
        if not self.closed:
            self.closed = True
            if self.transport:
                self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self.closed = True
        self.host.link_lost(self)

    # --- as the transport's producer ----------------------------------------------------------------------

    def pauseProducing(self):
        self.host.blocked(self, True)

    def resumeProducing(self):
        self.host.blocked(self, False)

    def stopProducing(self):
        """The connection has ended: connectionLost tells."""


class ParentLink(Link, Outgoing):
    """The end that dialled."""

    def __init__(self, host, peer):
        super().__init__(host)
        self.peer = peer

    def connectionMade(self):
        super().connectionMade()
        self.send(Hello(self.host.name, self.host.installation))


class ChildLink(Link):
    """The end that was dialled: a neighbour's, or a connection of staff's."""

    def connectionMade(self):
        super().connectionMade()
        self.host.accepted(self)

    def message_received(self, message):
        if isinstance(message, Hello) and self.peer is None:
            self.hello_received(message)
        elif isinstance(message, (StatusRequest, PutRequest, TakeBackRequest)) and self.peer is None:
            self.send(self.host.handle_request(message))
        else:
            super().message_received(message)

    def hello_received(self, hello):
        """Who is below."""
        if hello.installation != self.host.installation:
            raise BadFrameError(
                'installation: %s here, %s there' % (self.host.installation, hello.installation)
            )
        self.peer = hello.name
        self.host.child_linked(self)


class Listener(Factory):
    """The listening side of a host."""

    noisy = False

    def __init__(self, host):
        self.host = host

    def buildProtocol(self, addr):
        return ChildLink(self.host)

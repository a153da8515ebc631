"""Links between replicas, and operators' connections, as Twisted protocols.

Reads and writes frames. A link whose peer does not read is not written to, and a malformed frame closes only
its own link. Decisions are made in replica.py.
"""

from twisted.internet.protocol import Factory, Protocol

from ..net.logs import LOG, log_warning
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

SEND_BUFFER_BYTES = 65_536  # of the transport; nothing is sent while it is full


class Link(Protocol):
    """One end of a link. host: a Host."""

    def __init__(self, host):
        self.host, self.frames, self.closed = host, frame_reader(), False
        self.peer = None  # the neighbour's name, or None before its Hello
        self.last_received = host.clock()

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
            log_warning('link ended', peer=self.peer or '%s:%d' % (peer.host, peer.port), reason=err)
            self.close()
        except Exception:
            LOG.exception('fault')
            self.close()

    def message_received(self, message):
        """Handle a message. Raise BadFrameError if it is not expected on this link."""
        if isinstance(message, Sync) and self.peer is not None:
            self.host.receive_sync(self, message)
        else:
            raise BadFrameError('unexpected message: %s' % type(message).__name__)

    def send(self, message):
        """Send a message, unless the link is closed."""
        if not self.closed:
            data = pack(message)
            self.host.counts['bytes_out'] += len(data)
            self.host.counts['messages_out'] += 1
            self.transport.write(data)

    def close(self):
        """Abort the connection."""
        if not self.closed:
            self.closed = True
            if self.transport:
                self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self.closed = True
        self.host.link_lost(self)

    # --- producer of the transport ------------------------------------------------------------------------

    def pauseProducing(self):
        self.host.set_blocked(self, True)

    def resumeProducing(self):
        self.host.set_blocked(self, False)

    def stopProducing(self):
        """Do nothing: connectionLost() follows."""


class ParentLink(Link, Outgoing):
    """The dialling end of a link, to a parent."""

    def __init__(self, host, peer):
        super().__init__(host)
        self.peer = peer

    def connectionMade(self):
        super().connectionMade()
        self.send(Hello(self.host.name, self.host.installation))


class ChildLink(Link):
    """The accepting end of a link to a child, or of an operator's connection."""

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
        """Register the child. Raise BadFrameError if it belongs to another installation."""
        if hello.installation != self.host.installation:
            raise BadFrameError(
                'installation: %s here, %s there' % (self.host.installation, hello.installation)
            )
        self.peer = hello.name
        self.host.child_linked(self)


class Listener(Factory):
    """Creates a link for each connection that a host accepts."""

    noisy = False

    def __init__(self, host):
        self.host = host

    def buildProtocol(self, addr):
        return ChildLink(self.host)

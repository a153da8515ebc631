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

BUFFERED = 65_536  # bytes with the transport from which nothing more is sent


class Link(Protocol):
    """One end of a link. host: see host.py."""

    def __init__(self, host):
        self.host, self.frames, self.ended = host, frame_reader(), False
        self.peer = None  # the neighbour's name, once it is known
        self.heard = host.clock()  # when something last came

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.bufferSize = BUFFERED
        self.transport.registerProducer(self, True)

    def dataReceived(self, data):
        self.heard = self.host.clock()
        self.host.counts['bytes_in'] += len(data)
        try:
            for body in self.frames.feed(data):
                if not self.ended:
                    self.took(unpack(body))
        except BadFrameError as err:
            self.host.counts['bad_frames'] += 1
            peer = self.transport.getPeer()
            warn('link ended', peer=self.peer or '%s:%d' % (peer.host, peer.port), reason=err)
            self.end()
        except Exception:
            LOG.exception('fault')
            self.end()

    def took(self, message):
        """A message has come."""
        if isinstance(message, Sync) and self.peer is not None:
            self.host.told(self, message)
        else:
            raise BadFrameError('a message that is not expected here: %s' % type(message).__name__)

    def say(self, message):
        """Send a message."""
        if not self.ended:
            data = pack(message)
            self.host.counts['bytes_out'] += len(data)
            self.host.counts['messages_out'] += 1
            self.transport.write(data)

    def end(self):
        """Nothing more is said or heard."""
        if not self.ended:
            self.ended = True
            if self.transport:
                self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self.ended = True
        self.host.link_lost(self)

    # --- as the transport's producer ----------------------------------------------------------------------

    def pauseProducing(self):
        self.host.blocked(self, True)

    def resumeProducing(self):
        self.host.blocked(self, False)

    def stopProducing(self):
        """The connection has ended: connectionLost tells."""


class LinkAbove(Link, Outgoing):
    """The end that dialled."""

    def __init__(self, host, peer):
        super().__init__(host)
        self.peer = peer

    def connectionMade(self):
        super().connectionMade()
        self.say(Hello(self.host.name, self.host.installation))


class LinkBelow(Link):
    """The end that was dialled: a neighbour's, or a connection of staff's."""

    def connectionMade(self):
        super().connectionMade()
        self.host.accepted(self)

    def took(self, message):
        if isinstance(message, Hello) and self.peer is None:
            self.greeted(message)
        elif isinstance(message, (StatusRequest, PutRequest, TakeBackRequest)) and self.peer is None:
            self.say(self.host.asked(message))
        else:
            super().took(message)

    def greeted(self, hello):
        """Who is below."""
        if hello.installation != self.host.installation:
            raise BadFrameError(
                'installation: %s here, %s there' % (self.host.installation, hello.installation)
            )
        self.peer = hello.name
        self.host.linked_below(self)


class Listener(Factory):
    """The listening side of a host."""

    noisy = False

    def __init__(self, host):
        self.host = host

    def buildProtocol(self, addr):
        return LinkBelow(self.host)

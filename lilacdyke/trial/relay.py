"""A relay on a link between two real processes: bytes through, each direction with troubles of its own.

Owns both ends of each connection that it carries, and what it holds back. Must never change, drop or reorder
bytes that it lets through, nor hold more than STORE of a direction: then it reads no more, as a full pipe
would.
"""

from collections import deque

from twisted.internet.protocol import ClientFactory, Factory, Protocol

STORE = 262_144  # bytes held back in one direction of one connection
KEPT = 4_096  # of an ended connection, to be told again

UP, DOWN = 0, 1


class Way:
    """One direction of a link, for all its connections."""

    __slots__ = ('cut', 'late', 'jitter', 'pace', 'torn')

    def __init__(self):
        self.heal()

    def heal(self):
        """As it was."""
        self.cut = False  # nothing passes, and nobody is told
        self.late, self.jitter = 0, 0  # microseconds that bytes take, and up to so many more
        self.pace = None  # bytes a second
        self.torn = None  # bytes that still pass; then it is cut


class End(Protocol):
    """One end of a carried connection; what it hears goes out at the other."""

    def __init__(self, relay, way):
        self.relay, self.way, self.other, self.up = relay, way, None, False
        self.held, self.size = deque(), 0  # what was heard and has not passed; None: its end
        self.free, self.timer, self.seen = 0, None, bytearray()

    def connectionMade(self):
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.relay.opened(self)

    def dataReceived(self, data):
        if len(self.seen) < KEPT:
            self.seen += data[: KEPT - len(self.seen)]
        self.hold(data)

    def hold(self, data):
        """Bytes, or the end, wait for their turn."""
        way, now = self.relay.ways[self.way], self.relay.clock()
        due = now + way.late + int(way.jitter * self.relay.rng.random())
        if way.pace and data:
            due = max(due, self.free) + int(len(data) * 1e6 / way.pace)
        self.free = due = max(self.free, due)
        self.held.append((due, data))
        self.size += len(data or b'')
        if self.size > STORE and self.up:
            self.transport.pauseProducing()
        self.pass_on()

    def pass_on(self):
        """Let through what may go."""
        way, now = self.relay.ways[self.way], self.relay.clock()
        while self.held and not way.cut and self.other is not None and self.other.up:
            due, data = self.held[0]
            if due > now:
                if self.timer is None:
                    self.timer = self.relay.later(due - now, self.timed)
                return
            self.held.popleft()
            if data is None:
                self.other.transport.loseConnection()
                return
            self.size -= len(data)
            if way.torn is not None and len(data) > way.torn:
                self.held.appendleft((due, data[way.torn :]))
                self.size += len(data) - way.torn
                data, way.cut, way.torn = data[: way.torn], True, None
            elif way.torn is not None:
                way.torn -= len(data)
            self.other.transport.write(data)
        if self.size <= STORE and self.up:
            self.transport.resumeProducing()

    def timed(self):
        self.timer = None
        self.pass_on()

    def connectionLost(self, reason=None):
        self.up = False
        self.relay.closed(self)
        if self.other is not None:
            self.hold(None)


class Onward(ClientFactory):
    noisy = False

    def __init__(self, end):
        self.end = end

    def buildProtocol(self, addr):
        return self.end

    def clientConnectionFailed(self, connector, reason):
        self.end.relay.ways[DOWN].cut or self.end.other.transport.abortConnection()


class Relay(Factory):
    """One link: from its own address to another."""

    noisy = False

    def __init__(self, environment, name, here, there, bind=None):
        self.environment, self.name, self.here, self.there, self.bind = environment, name, here, there, bind
        self.clock, self.later, self.rng = (
            environment.clock,
            environment.later,
            environment.random_source('relay ' + name),
        )
        self.ways, self.ends, self.port = (Way(), Way()), {}, None
        self.old = None  # what an ended connection carried upwards first; told again to the next, if so asked
        self.tells_old = False

    def open(self):
        if self.port is None:
            self.port = self.environment.reactor.listenTCP(self.here[1], self, 256, self.here[0])

    def refuse(self):
        """Nobody listens; what is open stays."""
        if self.port is not None:
            port, self.port = self.port, None
            port.stopListening()

    def buildProtocol(self, addr):
        asked = End(self, UP)
        asked.other = End(self, DOWN)
        asked.other.other = asked
        self.environment.reactor.connectTCP(
            *self.there, Onward(asked.other), timeout=5, bindAddress=self.bind
        )
        return asked

    def opened(self, end):
        self.ends[end] = None
        if end.way == DOWN:
            if self.tells_old and self.old:
                end.transport.write(self.old)
            end.other.pass_on()

    def closed(self, end):
        self.ends.pop(end, None)
        if end.way == UP and end.seen:
            self.old = bytes(end.seen)

    def reset(self):
        """All connections are reset, for both sides."""
        for end in list(self.ends):
            end.other = None
            end.transport.abortConnection()

    def heal(self):
        """All is well again: what was held goes on, in order."""
        self.tells_old = False
        for way in self.ways:
            way.heal()
        self.open()
        for end in list(self.ends):
            end.pass_on()

    def moved(self):
        """A way has changed."""
        for end in list(self.ends):
            end.pass_on()

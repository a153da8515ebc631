"""A TCP relay between two real processes, with faults for each direction.

Must never change, drop or reorder the bytes that it forwards. Holds back at most about MAX_HELD_BYTES per
direction; beyond that it stops reading.
"""

from collections import deque

from twisted.internet.protocol import ClientFactory, Factory, Protocol

MAX_HELD_BYTES = 262_144  # per direction of a connection
RECORDED_BYTES = 4_096  # per ended connection, for replays

UP, DOWN = 0, 1


class Direction:
    """The faults of one direction of a link, for all its connections."""

    __slots__ = ('cut', 'delay', 'jitter', 'bytes_per_s', 'cut_after')

    def __init__(self):
        self.heal()

    def heal(self):
        """Clear all faults."""
        self.cut = False  # bytes are held back silently
        self.delay, self.jitter = 0, 0  # microseconds; the jitter is an upper bound
        self.bytes_per_s = None  # None: unlimited
        self.cut_after = None  # bytes that still pass before a cut, or None


class RelayEnd(Protocol):
    """One end of a relayed connection; the bytes that it receives are sent by the other end."""

    def __init__(self, relay, direction):
        self.relay, self.direction, self.other, self.up = relay, direction, None, False
        self.queue, self.size = deque(), 0  # (due, bytes), or (due, None) for the end of the stream
        self.free, self.timer, self.recorded = 0, None, bytearray()

    def connectionMade(self):
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.relay.opened(self)

    def dataReceived(self, data):
        if len(self.recorded) < RECORDED_BYTES:
            self.recorded += data[: RECORDED_BYTES - len(self.recorded)]
        self.hold(data)

    def hold(self, data):
        """Queue bytes, or None for the end of the stream."""
        direction, now = self.relay.directions[self.direction], self.relay.clock()
        due = now + direction.delay + int(direction.jitter * self.relay.rng.random())
        if direction.bytes_per_s and data:
            due = max(due, self.free) + int(len(data) * 1e6 / direction.bytes_per_s)
        self.free = due = max(self.free, due)
        self.queue.append((due, data))
        self.size += len(data or b'')
        if self.size > MAX_HELD_BYTES and self.up:
            self.transport.pauseProducing()
        self.forward()

    def forward(self):
        """Forward what is due."""
        direction, now = self.relay.directions[self.direction], self.relay.clock()
        while self.queue and not direction.cut and self.other is not None and self.other.up:
            due, data = self.queue[0]
            if due > now:
                if self.timer is None:
                    self.timer = self.relay.later(due - now, self.on_timer)
                return
            self.queue.popleft()
            if data is None:
                self.other.transport.loseConnection()
                return
            self.size -= len(data)
            if direction.cut_after is not None and len(data) > direction.cut_after:
                self.queue.appendleft((due, data[direction.cut_after :]))
                self.size += len(data) - direction.cut_after
                data, direction.cut, direction.cut_after = data[: direction.cut_after], True, None
            elif direction.cut_after is not None:
                direction.cut_after -= len(data)
            self.other.transport.write(data)
        if self.size <= MAX_HELD_BYTES and self.up:
            self.transport.resumeProducing()

    def on_timer(self):
        self.timer = None
        self.forward()

    def connectionLost(self, reason=None):
        self.up = False
        self.relay.closed(self)
        if self.other is not None:
            self.hold(None)


class OutboundFactory(ClientFactory):
    noisy = False

    def __init__(self, end):
        self.end = end

    def buildProtocol(self, addr):
        return self.end

    def clientConnectionFailed(self, connector, reason):
        self.end.relay.directions[DOWN].cut or self.end.other.transport.abortConnection()


class Relay(Factory):
    """One link: listens at one address and connects to another."""

    noisy = False

    def __init__(self, environment, name, listen_address, target, bind=None):
        self.environment, self.name, self.listen_address, self.target, self.bind = (
            environment,
            name,
            listen_address,
            target,
            bind,
        )
        self.clock, self.later, self.rng = (
            environment.clock,
            environment.later,
            environment.random_source('relay ' + name),
        )
        self.directions, self.ends, self.port = (Direction(), Direction()), {}, None
        # The first upstream bytes of an ended connection, sent to the next one if `replays` is set.
        self.replay_bytes = None
        self.replays = False

    def open(self):
        if self.port is None:
            self.port = self.environment.reactor.listenTCP(
                self.listen_address[1], self, 256, self.listen_address[0]
            )

    def refuse(self):
        """Stop listening; open connections stay."""
        if self.port is not None:
            port, self.port = self.port, None
            port.stopListening()

    def buildProtocol(self, addr):
        asked = RelayEnd(self, UP)
        asked.other = RelayEnd(self, DOWN)
        asked.other.other = asked
        self.environment.reactor.connectTCP(
            *self.target, OutboundFactory(asked.other), timeout=5, bindAddress=self.bind
        )
        return asked

    def opened(self, end):
        self.ends[end] = None
        if end.direction == DOWN:
            if self.replays and self.replay_bytes:
                end.transport.write(self.replay_bytes)
            end.other.forward()

    def closed(self, end):
        self.ends.pop(end, None)
        if end.direction == UP and end.recorded:
            self.replay_bytes = bytes(end.recorded)

    def reset(self):
        """Reset all connections, on both sides."""
        for end in list(self.ends):
            end.other = None
            end.transport.abortConnection()

    def heal(self):
        """Clear all faults, listen again and forward what was held back, in order."""
        self.replays = False
        for direction in self.directions:
            direction.heal()
        self.open()
        for end in list(self.ends):
            end.forward()

    def flush(self):
        """Forward what is due after a change of the faults."""
        for end in list(self.ends):
            end.forward()

"""Clients: their connections, requests and answers.

Owns each client's connection and which request is being answered on it. Must never decide about a
transaction, end a connection that owes an answer, or let bad input raise out of it.
"""

from twisted.internet.protocol import Factory, Protocol

from . import http
from .http import BadMessage, Reader
from .logs import LOG
from .sockets import quiet, unread_for
from .tables import Table
from ..values import BadLine, down, number

LINGER = 10_000                         # for a client to read a last answer and close by itself
RESTED = 1_000                          # an idle client may be closed to make room after this
HALFWAY = 5_000                         # a client with half a request may, once nobody is accepted any more
NEARLY = 2                              # descriptors before the last one: idle clients begin to make way
HELD = 2 * http.MAX_BODY                # read ahead of the answer that is owed; then the client is paused


class Client(Protocol):
    """One client's connection. It is idle, or it reads a request, or a request on it is being answered."""

    def __init__(self, front):
        self.front, self.reader = front, Reader(http.REQUEST)
        self.number = self.errand = None        # errand: what the node makes of the present request
        self.since = 0                  # when the present request's first byte came, or idleness began
        self.lasting, self.ending = True, False

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.front.opened(self)

    def dataReceived(self, data):
        if self.ending:
            return
        if not self.reader.begun and not self.errand:
            self.begin()
        self.reader.feed(data)
        self.advance()
        if self.errand and len(self.reader.buffer) > HELD:
            self.transport.pauseProducing()

    def hurry(self, allowed):
        """Part of a request has been here for longer than is allowed, with nothing owed for it yet: no more."""
        if not self.errand and not self.ending and self.reader.begun \
                and self.front.clock() >= self.since + allowed:
            self.refuse(408, 'the request did not come')

    def begin(self):
        """The first byte of a request is here: its time runs from when it came. The whole must follow in time."""
        self.since = self.front.clock() - unread_for(self.transport)
        self.front.busy(self)
        self.front.deadlines.at(self.since + self.front.slowest, self.front.head_due, self.number)

    def advance(self):
        """Handle what is here, one request after the other."""
        while not self.errand and not self.ending:
            try:
                message = self.reader.take()
            except BadMessage as err:
                self.front.node.count('malformed')
                self.refuse(err.status, str(err))
                return
            if message is None:
                self.hint()
                if not self.reader.begun:
                    self.front.idle(self)
                return
            self.lasting = message.lasting
            self.handle(message)

    def handle(self, message):
        """A whole request. Guards against a fault of our own, which must not cost the client its answer."""
        try:
            self.front.requested(self, message)
        except Exception:
            LOG.exception('fault')
            if self.errand:
                self.front.node.forget(self.errand)
            self.refuse(500, 'a fault in the node')

    def hint(self):
        """A client that asks whether to send its body is told to."""
        message = self.reader.message
        asks = message and message.fields.pop(b'expect', b'').lower() == b'100-continue'
        if asks and not self.reader.buffer:
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def refuse(self, status, text):
        """The request cannot be read: what follows it cannot either."""
        self.lasting = False
        self.reply(http.answer(status, False, text + '\n'))

    def reply(self, pieces):
        """The one answer to the present request; pieces were written for a connection that lasts as told."""
        self.errand = None
        self.transport.writeSequence(pieces)
        if not self.lasting:
            self.end()
        elif self.reader.begun:
            self.begin()
            self.front.again(self)      # in a turn of its own: many small requests may stand here
        else:
            self.front.idle(self)
        self.transport.resumeProducing()

    def end(self):
        """Close once the last answer is written. The client is let close first, for a while: ending with
        bytes unread would reset the connection, and with it the answer."""
        self.parting()
        self.transport.loseWriteConnection()

    def part(self):
        """Close between requests. One that crosses this is reset unread, and the client sends it anew."""
        self.parting()
        self.transport.loseConnection()

    def parting(self):
        """Nothing more is read from it; it has a while to close."""
        self.ending = True
        self.front.busy(self)
        self.front.deadlines.at(self.front.clock() + LINGER, self.front.linger_due, self.number)

    def connectionLost(self, reason=None):
        errand, self.errand = self.errand, None
        self.ending = True
        self.front.closed(self)
        if errand:
            self.front.node.client_gone(errand)


class Front(Factory):
    """The listening side, within its budget of descriptors."""

    noisy = False

    def __init__(self, node, deadlines, clock, terms, budget):
        self.node, self.deadlines, self.clock = node, deadlines, clock
        self.terms, self.table, self.budget = terms, Table(), budget
        self.slowest = max(profile.hard for profile in terms.profiles)
        self.profiles = {p.name.encode(): row for row, p in enumerate(terms.profiles)}
        self.tenants = {t.name.encode(): row for row, t in enumerate(terms.tenants)}
        self.resting = {}               # idle clients by number, the longest idle first
        self.port, self.full, self.shut = None, False, False
        self.came = 0                   # when the last client connected

    def listen(self, reactor, host, port):
        """Accept clients from now on."""
        self.port = reactor.listenTCP(port, self, backlog=1024, interface=host)
        self.port.numberAccepts = 1

    def buildProtocol(self, addr):
        self.port.numberAccepts = 0     # keeps it at one a turn: more at once could overrun the budget
        return Client(self)

    def opened(self, client):
        """A client has connected. Guards against running out: idle clients make way, or nobody is accepted
        until one has gone; they wait in the system's queue and lose nothing."""
        client.number = self.table.add(client)
        self.came = self.clock()
        self.idle(client)
        if len(self.table) >= self.budget - NEARLY:
            self.make_room()
        self.see_to_room()

    def make_room(self, _=0):
        """The longest idle clients go, if they have been idle for a while and no request of theirs lies unread;
        where nobody is accepted any more, so do those that hold a place with half a request."""
        now, places = self.clock(), self.budget // 16 if self.full else 1
        for client in list(self.resting.values()):
            if not places or now < client.since + RESTED:
                break
            if quiet(client.transport):
                client.part()
                places -= 1
        if self.full:
            for client in self.table:
                client.hurry(HALFWAY)
            self.deadlines.at(now + RESTED // 10, self.make_room, 0)

    def see_to_room(self):
        """Accept while there is room."""
        full = len(self.table) >= self.budget
        if full != self.full and not self.shut:
            self.full = full
            (self.port.stopReading if full else self.port.startReading)()
            if full:
                self.deadlines.at(self.clock() + RESTED // 10, self.make_room, 0)

    def shut_door(self):
        """Accept nobody any more."""
        if not self.shut:
            self.shut = True
            self.port.stopListening()

    def idle(self, client):
        """Nothing is owed on it."""
        client.since = self.clock()
        self.resting[client.number] = client

    def busy(self, client):
        """A request has begun, or the connection ends."""
        self.resting.pop(client.number, None)

    def closed(self, client):
        """A client's connection has ended."""
        self.busy(client)
        self.table.remove(client.number)
        self.see_to_room()

    def again(self, client):
        """More was sent behind the request just answered: read it in a turn of its own."""
        self.deadlines.at(self.clock(), self.read_on, client.number)

    def read_on(self, number_):
        client = self.table.get(number_)
        if client:
            client.advance()

    def head_due(self, number_):
        """Guards against clients that send half a request and vanish."""
        client = self.table.get(number_)
        if client:
            client.hurry(self.slowest)

    def linger_due(self, number_):
        """Guards against clients that never close."""
        client = self.table.get(number_)
        if client:
            client.transport.abortConnection()

    def close_idle(self):
        """Ask clients between requests to go."""
        for client in list(self.resting.values()):
            if quiet(client.transport):
                client.part()

    def requested(self, client, message):
        """A whole request: to the node, or answered here."""
        method, target, _ = message.parts
        path = target.partition(b'?')[0]
        if path == b'/ready':
            status, text = (200, 'ready\n') if self.node.ready() else (503, 'not ready\n')
            client.reply(http.answer(status, self.stay(client), text))
            return
        parts = path.split(b'/')
        row = self.profiles.get(parts[1]) if len(parts) > 1 and not parts[0] else None
        if row is None:
            client.reply(http.answer(404, self.stay(client), 'no such path\n'))
        elif method not in (b'GET', b'PUT'):
            client.reply(http.answer(405, self.stay(client), 'GET or PUT\n', 'Allow: GET, PUT\r\n'))
        else:
            self.transact(client, message, row, parts[2:])

    def transact(self, client, message, row, parts):
        """A request of a profile: the node takes it."""
        told = message.field(b'req-deadline')
        owner = message.field(b'req-owner')
        try:
            wait = hard = self.terms.profiles[row].hard
            if told is not None:
                wait = min(hard, down(number(told.decode('latin-1'))))
        except BadLine:
            wait = -1
        tenant = self.tenants.get(owner) if owner else 0
        if wait < 0 or tenant is None or not message.field(b'req-id') or not message.field(b'host'):
            self.node.count('malformed')
            client.refuse(400, 'Host, Req-Id, Req-Deadline or Req-Owner out of form')
            return
        key = parts[-1].decode('latin-1') if parts and parts[-1] else None
        self.node.take(client, message, row, tenant, key, client.since + wait)

    def stay(self, client):
        """Whether the connection is kept after this answer: others may wait for its place."""
        client.lasting = client.lasting and not self.full and not self.node.leaving()
        return client.lasting

"""Clients: their connections, requests and answers.

Owns each client's connection and which request is being answered on it. Must never decide about a
transaction, end a connection that owes an answer, or let bad input raise out of it.
"""

import socket
from socket import AF_INET, AF_INET6

from twisted.internet.protocol import Factory, Protocol

from ..values import SECOND, BadLine, down, number
from . import http
from .flow import STALLED, Flow
from .http import MAX_BODY, BadMessage, Reader
from .logs import LOG
from .sockets import guard, left, push, quiet, unread_for, waiting
from .tables import Table

# Where a client's connection stands: nothing has come on it yet; nothing is owed on it; part of a request is
# here; a request is being answered; it has had its last answer and may close.
# or a large answer is on its way.
FRESH, RESTING, HALF, ASKED, PARTING, STREAMING = 'fresh', 'resting', 'half', 'asked', 'parting', 'streaming'
# How long it may stand there; while over half of the places are taken; and while nobody is accepted any more. In the order
# in which they make way.
STAYS = {
    FRESH: (15_000, 500, 500),
    PARTING: (10_000, 1_000, 1_000),
    HALF: (24_000, 24_000, 5_000),
    STREAMING: (100_000, 100_000, 100_000),
    RESTING: (25_000, 1_000, 1_000),
}
CALM, BUSY, FULL = range(3)
PACED = (HALF, STREAMING)  # bytes that come or go give them time
SLOW = 16_384  # bytes of a body that give a client a second more for the rest of it
LOOK = 1_000  # between two looks at who has stayed for too long; a tenth while full
AMPLE = 0.5  # part of the budget from which a new connection has an idle one make way
QUIET = 2_500  # nobody has come for so long: nobody is on the way
NEARLY = 2  # places left when a connection is not kept after its answer
WRONG = 4  # requests for what does not exist, until a client's connection ends
HELD = 2 * http.MAX_BODY  # read ahead of the answer that is owed; then the client is paused


class Client(Protocol):
    """One client's connection."""

    def __init__(self, listener):
        self.listener, self.reader = listener, Reader(http.REQUEST)
        self.number = self.active = None  # active: what the node makes of the present request
        self.phase = None  # one of those above, None once the connection has ended
        self.since = 0  # when its phase began; for a request, when its first byte came
        self.came = 0  # when the last bytes read came to this machine
        self.lasting, self.answered = True, False
        self.wrong, self.dropped = 0, 0  # requests for nothing there is; bytes read since the last answer
        self.flows = None  # the request whose large body still comes
        self.link = None  # the connection that it goes to, once there is one
        self.flow, self.source = None, None  # a large answer on its way, and where it comes from
        self.until = None  # the limit of the request whose large answer is on its way
        self.skips = False  # the rest of a large body is read and forgotten
        self.spared = False  # whether the look at who has stayed too long has let it be, as bytes lay unread
        self.held, self.timed = (
            False,
            False,
        )  # whether this side keeps a large body unread; whether a deadline hangs for that

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.listener.opened(self)

    def dataReceived(self, data):
        if self.phase == PARTING:
            self.drop(data)
            return
        if self.phase == HALF:
            self.paced(len(data))
        self.came = self.listener.clock() - unread_for(self.transport)
        if self.phase in (FRESH, RESTING):
            if self.listener.too_late(self.came, data):
                self.reply(self.listener.refusal(True))
                return
            self.begin()
        self.reader.feed(data)
        if self.flows:
            self.upload()
        else:
            self.advance()
        if (self.active or self.flow) and not self.flows and len(self.reader.buffer) > HELD:
            self.transport.pauseProducing()

    def paced(self, count):
        """Bytes of a request have come. Those of a body give the rest of it time. Guards against one that sends as
        little as keeps it here."""
        if self.reader.message:
            self.since = min(self.listener.clock(), self.since + count * SECOND // SLOW)

    # --- a large request ----------------------------------------------------------------------------------

    def upload(self):
        """More of a large body: on to the server, or held and not read on until a connection carries it."""
        reader, message = self.reader, self.flows
        try:
            if not self.link:
                if not reader.whole and len(message.body) + len(reader.buffer) > MAX_BODY:
                    self.pause()
                return
            data, whole = reader.piece(), reader.whole
        except BadMessage as err:
            self.listener.node.count('malformed')
            self.give_up_upload()
            self.refuse(err.status, str(err))
            return
        link = self.link
        if whole:
            self.flows = self.link = None
            reader.reset()
            self.listener.put(self, ASKED)
        link.body(data, whole)
        if whole and self.active:
            self.listener.node.body_came(self.active, self.came)

    def carried(self, link):
        """A connection carries the large request: its body goes there from here on, and nowhere else."""
        self.link = link
        self.listener.node.body_spent(self.active)
        self.moved()
        self.go_on()
        self.listener.again(self)

    def put_down(self, link):
        """The hop that carried the large request has ended."""
        if self.link is link:
            self.link = None

    def give_up_upload(self):
        """The large request will not come whole: nothing that was sent of it ran."""
        active, self.active = self.active, None
        if active:
            self.listener.node.client_gone(active)

    def left(self):
        """Whether it has gone, though nobody has read that yet."""
        return self.phase is None or left(self.transport)

    def see_off(self):
        """It was found to have gone: its request is not sent on."""
        self.give_up_upload()
        self.transport.abortConnection()

    def moved(self):
        """Bytes may go on again: it was not the client, or is not any more, that was slow."""
        now = self.listener.clock()
        self.since = now if self.phase == STREAMING else max(self.since, now - STAYS[HALF][0] // 2)

    def pause(self):
        """Nothing more is read for now. Its last byte may lie unread all the same, so its time runs."""
        self.transport.pauseProducing()
        self.held = True
        if not self.timed:
            self.timed = True
            self.listener.deadlines.at(self.time_up(), self.listener.held_due, self.number)

    def time_up(self):
        """When its limit is, should the bytes that came last be the last of its request."""
        return self.listener.clock() - unread_for(self.transport) + (self.active.wait if self.active else 0)

    def last_byte_missing(self):
        """Whether the last byte of a large request that is held has surely not come: some of a body of told length is missing, and
        nothing lies unread. Any unread byte may have closed the system's window, behind which the client's system holds the rest."""
        reader = self.reader
        return not reader.chunks and reader.need > len(reader.buffer) and quiet(self.transport)

    def go_on(self):
        self.held = False
        self.transport.resumeProducing()

    # --- a large answer -----------------------------------------------------------------------------------

    def stream(self, answer, minor):
        """A large answer begins; its body follows as it comes."""
        self.active, self.answered, self.source = None, True, answer.source
        chunks = minor == b'1'
        self.lasting = self.lasting and (chunks or answer.length is not None)
        self.listener.put(self, STREAMING)
        self.transport.write(http.relayed_head(answer, self.lasting, chunks))
        self.flow = Flow(self.source, self.transport, chunks and answer.length is None, self.moved)
        self.source.sink = self
        self.source.stream()

    def more(self, data):
        """A piece of it."""
        self.since = self.listener.clock()
        self.flow.pass_on(data)

    def whole(self):
        """That was all."""
        flow, self.flow, self.source = self.flow, None, None
        self.replied(flow.end())

    def broken_off(self):
        """It will not be whole, and the client must not take it for that."""
        flow, self.flow, self.source = self.flow, None, None
        flow.stop()
        self.listener.node.count('broken_off')
        self.transport.abortConnection()

    # --- its time -----------------------------------------------------------------------------------------

    def drop(self, data):
        """Nothing more is read. Guards against one that goes on sending: the system holds the rest, unread, at
        no cost, and the answer that was written still reaches it."""
        self.dropped += len(data)
        if self.skips and self.dropped <= http.MAX_FLOW:
            self.paced(len(data))  # it may read its answer only once all is sent
        elif self.dropped > HELD:
            self.transport.pauseProducing()

    def overdue(self):
        """It has stood where it is for too long. Whether it makes way."""
        if self.phase == PARTING:
            if self.skips and self.listener.clock() < self.since + STAYS[HALF][0]:
                return False  # it still sends, slowly, and may read its answer only then
            if waiting(self.transport) and self.listener.clock() < self.since + STAYS[STREAMING][0]:
                return False  # its answer has not left yet
            self.leave()
        elif self.phase == STREAMING:
            if self.until is not None and self.flow and not self.flow.paused:
                return False  # it is the server that gives no more: stream_due sees to that
            self.listener.node.count('not_read')
            self.transport.abortConnection()
        elif self.phase == HALF:
            if self.held and self.stalls() or self.spare():
                return False
            self.give_up_upload()
            self.refuse(408, 'the request did not come')
        elif quiet(self.transport):
            self.part()
        else:
            return False
        return True

    def leave(self):
        """Close behind its last answer, of which the system sends on what it still holds. A reset would take that back."""
        if waiting(self.transport):
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def spare(self):
        """Whether more of its request lies unread, and will be read in this turn: once a request, as one that drips may always have
        something there."""
        spared, self.spared = self.spared, True
        return not spared and not quiet(self.transport)

    def stalls(self):
        """While this side reads no more of its body: whether that is not for too long."""
        return self.listener.clock() < self.since + STAYS[STREAMING][0]

    def begin(self):
        """The first byte of a request is here: its time runs from when it came."""
        self.spared = False
        self.listener.put(self, ASKED, self.came)

    def advance(self):
        """Handle what is here, one request after the other."""
        while not self.active and not self.flow and self.phase not in (PARTING, None):
            try:
                message = self.reader.take()
            except BadMessage as err:
                self.listener.node.count('malformed')
                self.refuse(err.status, str(err))
                return
            if message is None and self.reader.large:
                self.hint()
                self.take_large(self.reader.message)
                return
            if message is None:
                self.hint()
                if self.answered and not self.reader.begun:
                    self.listener.put(self, RESTING)
                else:
                    self.listener.put(self, HALF, self.since)
                return
            self.lasting = message.lasting
            self.handle(message)

    def take_large(self, message):
        """A request whose body is passed on as it comes, from its head on."""
        self.lasting = message.lasting
        self.flows, message.source = message, self
        self.handle(message)
        if self.active:
            self.listener.put(self, HALF, self.since)
            self.upload()

    def handle(self, message):
        """A whole request. Guards against a fault of our own, which must not cost the client its answer."""
        self.listener.put(self, ASKED, self.since)
        try:
            self.listener.requested(self, message)
        except Exception:
            LOG.exception('fault')
            if self.active:
                self.listener.node.forget(self.active)
            if self.phase == STREAMING:
                self.broken_off()
            else:
                self.refuse(500, 'a fault in the node')

    def hint(self):
        """A client that asks whether to send its body is told to."""
        if self.reader.hint():
            self.transport.write(http.CONTINUE)

    def refuse(self, status, text):
        """The request cannot be read: what follows it cannot either."""
        self.lasting = False
        self.reply(http.answer(status, False, text + '\n'))

    def reply(self, pieces):
        """The one answer to the present request; pieces were written for a connection that lasts as told."""
        self.active, self.answered = None, True
        data = b''.join(pieces)
        if not waiting(self.transport):
            data = data[push(self.transport, data) :]
        self.replied(data)

    def replied(self, data):
        """The rest of the answer, and what follows it."""
        if data:
            self.transport.write(data)
        if self.flows:
            # Its body still comes: closing on it would take the answer back.
            self.flows, self.link, self.skips, self.lasting = None, None, True, False
        if not self.lasting:
            self.end()
        elif self.reader.begun:
            self.came = self.listener.clock()
            self.begin()
            self.listener.again(self)  # in a turn of its own: many small requests may stand here
        else:
            self.listener.put(self, RESTING)
        self.transport.resumeProducing()

    def end(self):
        """Close once the last answer is written. The client is let close first, for a while: ending with
        bytes unread would reset the connection, and with it the answer."""
        self.listener.put(self, PARTING)
        self.transport.loseWriteConnection()

    def part(self):
        """Close between requests. One that crosses this is reset unread, and the client sends it anew."""
        self.listener.put(self, PARTING)
        self.listener.parted = self.listener.clock()
        self.transport.loseConnection()

    def connectionLost(self, reason=None):
        active, self.active = self.active, None
        source, self.source = self.source, None
        self.listener.closed(self)
        if source:
            source.drop()
        if active:
            self.listener.node.client_gone(active)


class Listener(Factory):
    """The listening side, within its budget of descriptors."""

    noisy = False

    def __init__(self, node, deadlines, clock, terms, budget):
        self.node, self.deadlines, self.clock = node, deadlines, clock
        self.terms, self.table, self.budget = terms, Table(), budget
        self.slowest = max(profile.hard for profile in terms.profiles)
        self.profiles = {p.name.encode(): row for row, p in enumerate(terms.profiles)}
        self.tenants = {t.name.encode() for t in terms.tenants}
        self.phases = {phase: {} for phase in (*STAYS, ASKED)}  # the longest there first
        self.port, self.full, self.shut = None, False, False
        self.yielded = False  # another process of this node accepts
        self.came, self.met = 0, 0  # when the last client connected; how many have
        self.parted = 0  # when one that rested was last asked to go

    def listen(self, reactor, host, port, given=None):
        """Accept clients from now on, at an address or at a listening socket that another process gave."""
        if given is None:
            self.port = reactor.listenTCP(port, self, backlog=1024, interface=host)
        else:
            self.port = reactor.adoptStreamPort(given, AF_INET6 if ':' in host else AF_INET, self)
        self.port.numberAccepts = 1
        guard(self.port, self.node.router.late, http.one_read, self.refusal, self.crowded)
        self.see_to_door()
        self.look()

    def buildProtocol(self, addr):
        self.port.numberAccepts = 0  # keeps it at one a turn: more at once could overrun the budget
        return Client(self)

    def too_late(self, came, data):
        """Whether these bytes, a whole request by their look, have waited for too long. Guards against a node that
        cannot keep up: reading what it can only refuse would cost it most of what serving does."""
        return self.node.router.late(self.clock() - came) and http.one_read(data)

    def refusal(self, lasting=False):
        """What one is told whose request has waited at the door for too long."""
        self.node.count('turned_away')
        return self.node.refusal(lasting and not self.node.leaving(), self.node.router.hint)

    def put(self, client, phase, since=None):
        """A client's connection stands elsewhere from now, or from the time given, on."""
        if client.phase != phase:
            if client.phase:
                del self.phases[client.phase][client.number]
            self.phases[phase][client.number] = client
            client.phase = phase
        client.since = self.clock() if since is None else since

    def opened(self, client):
        """A client has connected. Guards against clients that ask once and keep their connection, which leaves others,
        or a load balancer before the node, none to ask on: well before places run out the longest idle makes way. If
        all are taken nobody is accepted until one has gone; they wait in the system's queue and lose nothing."""
        client.number = self.table.add(client)
        self.came, self.met = self.clock(), self.met + 1
        self.put(client, FRESH)
        if len(self.table) > self.budget * AMPLE:
            self.make_room(1, BUSY)
        self.see_to_room()

    def look(self, _=0):
        """Who has stayed for too long goes."""
        self.make_room(self.budget, CALM)
        self.deadlines.at(self.clock() + LOOK, self.look, 0)

    def press(self, _=0):
        """The same, sooner and some at a time, while nobody is accepted."""
        if self.full:
            self.make_room(max(1, self.budget // 16), FULL)
            self.deadlines.at(self.clock() + LOOK // 10, self.press, 0)

    def make_room(self, places, need):
        """Those that have been in their phase for too long go, but none that has a request unread; those that may
        ask again go last, until there are so many places. Guards against clients that say nothing, send half a
        request, or never close."""
        now, freed = self.clock(), 0
        for phase, stays in STAYS.items():
            for client in list(self.phases[phase].values()):
                if now < client.since + stays[need] or phase == RESTING and freed >= places:
                    if phase in PACED:
                        continue  # these are not in the order of their times
                    break
                freed += client.overdue()

    def see_to_room(self):
        """Accept while there is room."""
        full = len(self.table) >= self.budget
        if full != self.full and not self.shut:
            self.full = full
            self.see_to_door()
            if full:
                self.deadlines.at(self.clock() + LOOK // 10, self.press, 0)

    def see_to_door(self):
        """Look at who waits at the door, or leave them there."""
        if not self.shut:
            closed = self.full or self.yielded or not self.node.began()
            (self.port.stopReading if closed else self.port.startReading)()

    def crowded(self):
        """No descriptor is left for who waits at the door, though the budget has one: something else holds them. Guards
        against clients that wait there until their time is up while idle connections hold descriptors; and against
        asking again and again: they are accepted once one is free, or a moment later."""
        self.node.count('no_descriptor')
        self.node.caches.make_way()
        self.make_room(1, FULL)
        self.port.stopReading()
        self.deadlines.at(self.clock() + LOOK // 100, self.uncrowded, 0)

    def uncrowded(self, _):
        self.see_to_door()

    def show_all(self):
        """The node is to exit: the system shows connections at the door from now on before they have said anything. Guards
        against one that is closed, with what it then says, because nobody saw it."""
        self.port.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 0)

    def nobody_comes(self, until):
        """Whether the door may be shut: nobody has come for a while, counted from this time at the latest, and nobody waits
        there. Whose request crossed the end of a connection that rested comes again, and finds the door open."""
        if self.clock() < max(min(self.came, until), self.parted) + QUIET:
            return False
        if not (self.full or self.shut or self.yielded):
            met, self.port.numberAccepts = self.met, 1
            self.port.doRead()
            return self.met == met
        return True

    def shut_door(self):
        """Accept nobody any more."""
        if not self.shut:
            self.shut = True
            self.port.stopListening()

    def closed(self, client):
        """A client's connection has ended."""
        del self.phases[client.phase][client.number]
        client.phase = None
        self.table.remove(client.number)
        self.see_to_room()

    def again(self, client):
        """More was sent behind the request just answered: read it in a turn of its own."""
        self.deadlines.at(self.clock(), self.read_on, client.number)

    def stream_due(self, number_):
        """The time of a large answer is up, whose first bytes came in time. Guards against one of which no more comes: its client can
        tell that it is not whole. What its server still gives goes on, as cutting it off would lose it."""
        client = self.table.get(number_)
        if client and client.flow and client.until is not None and self.clock() >= client.until:
            silent = not client.flow.paused and self.clock() >= client.since + STALLED
            if silent and quiet(client.source.transport):
                self.cut_off(client)
            else:
                self.deadlines.at(max(self.clock() + LOOK, client.since + STALLED), self.stream_due, number_)

    def break_off(self, _):
        """The process ends soon after: what is on its way is broken off, as an exit would look like its end."""
        for client in list(self.phases[STREAMING].values()):
            if client.flow:
                self.cut_off(client)

    @staticmethod
    def cut_off(client):
        """Give up a large answer."""
        source, client.source = client.source, None
        source.drop()
        client.broken_off()

    def held_due(self, number_):
        """Guards against a large request whose last byte came while a server, or a connection to one, kept its body waiting: its client
        has a limit like any other."""
        client = self.table.get(number_)
        if client is None:
            return
        client.timed = False
        if client.held and client.flows and client.active:
            due = self.clock() + LOOK if client.last_byte_missing() else client.time_up()
            if self.clock() >= due:
                self.node.time_up(client.active)
            else:
                client.timed = True
                self.deadlines.at(due, self.held_due, number_)

    def read_on(self, number_):
        client = self.table.get(number_)
        if client and client.flows:
            client.upload()
        elif client:
            client.advance()

    def close_idle(self, rested=0):
        """Ask clients to go that have been between requests for so long; one that has just come has its request on the way."""
        now = self.clock()
        for phase, least in ((FRESH, max(rested, QUIET)), (RESTING, rested)):
            for client in list(self.phases[phase].values()):
                if client.since <= now - least:
                    client.overdue()

    def requested(self, client, message):
        """A whole request: to the node, or answered here."""
        method, path = message.parts[0], message.path
        if path == b'/ready':
            status, text = (200, 'ready\n') if self.node.ready() else (503, 'not ready\n')
            client.reply(http.answer(status, self.stay(client), text))
            return
        parts = path.split(b'/')
        row = self.profiles.get(parts[1]) if len(parts) > 1 and not parts[0] else None
        if row is None or method not in (b'GET', b'PUT'):
            # Guards against one that asks for the same again as soon as it is turned away.
            client.wrong += 1
            client.lasting = client.lasting and client.wrong < WRONG
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
        if (
            wait < 0
            or owner
            and owner not in self.tenants
            or not message.field(b'req-id')
            or not message.field(b'host')
        ):
            self.node.count('malformed')
            client.refuse(400, 'Host, Req-Id, Req-Deadline or Req-Owner out of form')
            return
        if message.field(b'req-id') in self.node.ids:
            # Guards against a second effect under one id; the first goes on.
            self.node.count('malformed')
            client.refuse(409, 'this Req-Id is open')
            return
        key = parts[-1].decode('latin-1') if parts and parts[-1] else None
        self.node.take(client, message, row, key, wait, client.came)

    def stay(self, client):
        """Whether the connection is kept after this answer: others may wait for its place."""
        crowded = len(self.phases[ASKED]) >= self.budget - NEARLY
        client.lasting = client.lasting and not crowded and not self.node.leaving() and not client.flows
        return client.lasting

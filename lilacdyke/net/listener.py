"""The listening side: who is let in, within its budget of descriptors, and which requests the node takes.

Owns the listening socket, the slots of clients' connections and the deadlines of these. Must never decide
about a transaction, or end a connection that owes an answer.
"""

import socket
from socket import AF_INET, AF_INET6

from twisted.internet.protocol import Factory

from ..values import BadLine, down, number
from . import http
from .client import ClientConnection
from .phases import ASKED, BUSY, CHECK_INTERVAL_FULL, FRESH, FULL, LOOK, NORMAL, STREAMING, Phases
from .sockets import guard
from .tables import Table

EVICTION_SHARE = 0.5  # part of the budget from which a new connection has an idle one make way
QUIET = 2_500  # ticks for which nobody has come, after which nobody is on the way
RESERVED_SLOTS = 2  # places left when a connection is not kept after its answer
MAX_BAD_REQUESTS = 4  # requests for what does not exist, until a client's connection ends


class Listener(Factory):
    """The listening side, within its budget of descriptors."""

    noisy = False

    def __init__(self, node, deadlines, clock, terms, budget, events):
        self.node, self.deadlines, self.clock = node, deadlines, clock
        self.terms, self.table, self.budget = terms, Table(), budget
        self.events = events  # lines on single connections (events.py)
        self.slowest = max(profile.hard for profile in terms.profiles)
        self.profiles = {p.name.encode(): row for row, p in enumerate(terms.profiles)}
        self.tenants = {t.name.encode() for t in terms.tenants}
        self.phases = Phases(clock)
        self.port, self.full, self.shut = None, False, False
        self.yielded = False  # another process of this node accepts
        self.came, self.met = 0, 0  # when the last client connected; how many have
        self.idle_closed_at = 0  # when one that rested was last asked to go

    def listen(self, reactor, host, port, given=None):
        """Accept clients from now on, at an address or at a listening socket that another process gave."""
        if given is None:
            self.port = reactor.listenTCP(port, self, backlog=1024, interface=host)
        else:
            self.port = reactor.adoptStreamPort(given, AF_INET6 if ':' in host else AF_INET, self)
        self.port.numberAccepts = 1
        guard(
            self.port, self.node.router.late, http.one_read, self.refusal, self.crowded, self.node.call_failed
        )
        self.see_to_door()
        self.evict_overdue()

    def buildProtocol(self, addr):
        self.port.numberAccepts = 0  # keeps it at one a turn: more at once could overrun the budget
        return ClientConnection(self)

    def too_late(self, came, data):
        """Whether these bytes, a whole request by their look, have waited for too long. Guards against a node
        that cannot keep up: reading what it can only refuse would cost it most of what serving does."""
        return self.node.router.late(self.clock() - came) and http.one_read(data)

    def refusal(self, lasting=False):
        """What one is told whose request has waited at the door for too long."""
        self.node.count('turned_away')
        self.events.say('request refused', why='waited too long at the door')
        return self.node.refusal(lasting and not self.node.leaving(), self.node.router.hint)

    def put(self, client, phase, since=None):
        """A client's connection stands elsewhere from now, or from the time given, on."""
        self.phases.put(client, phase, self.clock() if since is None else since)

    def opened(self, client):
        """A client has connected. Guards against clients that ask once and keep their connection, which
        leaves others, or a load balancer before the node, none to ask on: well before places run out the
        longest idle makes way. If all are taken nobody is accepted until one has gone; they wait in the
        system's queue and lose nothing."""
        client.number = self.table.add(client)
        self.came, self.met = self.clock(), self.met + 1
        self.put(client, FRESH)
        if len(self.table) > self.budget * EVICTION_SHARE:
            self.phases.make_room(1, BUSY)
        self.see_to_room()

    def evict_overdue(self, _=0):
        """Who has stayed for too long goes."""
        self.phases.make_room(self.budget, NORMAL)
        self.deadlines.at(self.clock() + LOOK, self.evict_overdue, 0)

    def evict_while_full(self, _=0):
        """The same, sooner and some at a time, while nobody is accepted."""
        if self.full:
            self.phases.make_room(max(1, self.budget // 16), FULL)
            self.deadlines.at(self.clock() + CHECK_INTERVAL_FULL, self.evict_while_full, 0)

    def see_to_room(self):
        """Accept while there is room."""
        full = len(self.table) >= self.budget
        if full != self.full and not self.shut:
            self.full = full
            self.see_to_door()
            if full:
                self.deadlines.at(self.clock() + CHECK_INTERVAL_FULL, self.evict_while_full, 0)

    def see_to_door(self):
        """Look at who waits at the door, or leave them there."""
        if not self.shut:
            closed = self.full or self.yielded or not self.node.began()
            (self.port.stopReading if closed else self.port.startReading)()

    def crowded(self, no_descriptor):
        """Who waits at the door cannot be accepted now. Without a descriptor, though the budget has one,
        something else holds them: guards against clients that wait until their time is up while idle
        connections hold descriptors. Guards also against asking again and again: they are accepted a moment
        later."""
        if no_descriptor:
            self.node.count('no_descriptor')
            self.node.caches.evict_idle()
            self.phases.make_room(1, FULL)
        self.port.stopReading()
        self.deadlines.at(self.clock() + CHECK_INTERVAL_FULL // 10, self.retry_accepting, 0)

    def retry_accepting(self, _):
        self.see_to_door()

    def show_all(self):
        """The node is to exit: the system shows connections at the door from now on before they have said
        anything. Guards against one that is closed, with what it then says, because nobody saw it."""
        try:
            self.port.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 0)
        except OSError as err:
            self.node.call_failed('setsockopt', err.errno)

    def nobody_comes(self, until):
        """Whether the door may be shut: nobody has come for a while, counted from this time at the latest,
        and nobody waits there. Whose request crossed the end of a connection that rested comes again, and
        finds the door open."""
        if self.clock() < max(min(self.came, until), self.idle_closed_at) + QUIET:
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
        self.phases.remove(client)
        self.table.remove(client.number)
        self.see_to_room()

    def again(self, client):
        """More was sent behind the request just answered: read it in a turn of its own."""
        self.deadlines.at(self.clock(), self.read_on, client.number)

    def read_on(self, number_):
        """Read what stands behind the last answer."""
        client = self.table.get(number_)
        if client:
            client.read_on()

    def download_due(self, number_):
        """The deadline of a large answer."""
        client = self.table.get(number_)
        if client and client.download:
            client.download.due()

    def upload_due(self, number_):
        """The deadline of a large request whose body is held."""
        client = self.table.get(number_)
        if client and client.upload:
            client.upload.due()

    def break_off(self, _):
        """The process ends soon after: what is on its way is broken off, as an exit would look like its
        end."""
        for client in self.phases.listed(STREAMING):
            if client.download:
                client.download.cut_off()

    def close_idle(self, rested=0):
        """Ask clients to go that have been between requests for so long; one that has just come has its
        request on the way."""
        now = self.clock()
        self.phases.close_idle(now - max(rested, QUIET), now - rested)

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
            client.bad_requests += 1
            client.lasting = client.lasting and client.bad_requests < MAX_BAD_REQUESTS
        if row is None:
            client.reply(http.answer(404, self.stay(client), 'no such path\n'))
        elif method not in (b'GET', b'PUT'):
            client.reply(http.answer(405, self.stay(client), 'GET or PUT\n', 'Allow: GET, PUT\r\n'))
        else:
            self.start_transaction(client, message, row, parts[2:])

    def start_transaction(self, client, message, row, parts):
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
        crowded = self.phases.count(ASKED) >= self.budget - RESERVED_SLOTS
        client.lasting = client.lasting and not crowded and not self.node.leaving() and not client.upload
        return client.lasting

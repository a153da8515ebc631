"""Connections to cache servers and the hops on them.

Owns each connection to a cache server or the origin from its dialling to its end, and what a hop's ending
was: it alone knows whether a hop's last byte left. Must never send a hop a second time, choose a server,
or pass on an answer that is not whole.
"""

from collections import deque
from errno import ECONNREFUSED

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone

from .flow import PIECE, STALL_TIMEOUT, Flow
from .http import ANSWER, BadMessage, Reader, request
from .local_errors import NO_DESCRIPTOR, connecting_errno, local_errno
from .sockets import Outgoing, buffered_bytes, connect, no_delay, push, quiet
from .tables import Table

KEPT = 0.6  # of the server's idle time, until an idle connection is closed
SETTLE_TIME = 100  # after an answer, until its connection is trusted with the next hop
# Ticks until the first and the longest wait for the next try after a connection that this machine could not
# make; a hop waits for that for so small a part of its time, and no longer than so many, as what gathers
# meanwhile comes to the server at once.
MIN_REDIAL_DELAY, MAX_REDIAL_DELAY, HOLD_DIVISOR, MAX_HOLD = 50, 500, 8, 2_500
CROWDED = 3 * SETTLE_TIME  # how long a connection rests where a server has no place for more
NOTES = {b'hit': 1, b'miss': 2, b'pending': 3}


def ending(answer):
    """What an answer says of the hop, in the module's words."""
    status = answer.parts[1]
    if status == b'200':
        return 'committed'
    if status == b'404':
        return 'missing'
    if status in (b'503', b'504') and answer.field(b'srv-declined') == b'1':
        return 'refused'
    return 'rejected' if status.startswith(b'4') else 'error'


def reason_text(failure):
    """Why a connection ended or never came up, as Twisted's failure tells it."""
    return 'unknown' if failure is None else '%s: %s' % (failure.type.__name__, failure.value)


class Exchange:
    """One hop under way: the client's request, until when it is waited for, and where it is."""

    __slots__ = (
        'pool',
        'message',
        'until',
        'wanted',
        'leave_by',
        'link',
        'done',
        'in_part',
        'held_until',
        'leaves',
    )

    def __init__(self, pool, message, until, wanted, leave_by, leaves):
        self.pool, self.message, self.until = pool, message, until
        self.in_part = None  # called with each piece of an answer whose length is not told, while it is held
        self.wanted, self.leave_by = (
            wanted,
            leave_by,
        )  # whether it may still leave; when it has to have left, None: at any time
        self.leaves = leaves  # called as its first byte is to leave
        self.link = None  # the connection, once there is one
        self.held_until = None  # while this machine cannot connect: until when it waits for that
        self.done = Deferred()  # fires once, with (ending, answer or None)

    def cut(self, how):
        """It is not waited for any more, unless it has ended: its connection ends, which tells the server
        so."""
        if self.done.called:
            return
        if self.link:
            self.link.give_up()
        else:
            self.pool.waiting.remove(self)
            if self.held_until is not None:
                how = 'unsent'  # no server was asked: this machine could not
        self.complete(how)

    @property
    def whole(self):
        """Whether its last byte has left."""
        return bool(self.link) and self.link.left

    @property
    def unread(self):
        """Whether something that its server said, or its end, lies unread."""
        return self.link is not None and not quiet(self.link.transport)

    def complete(self, how, answer=None):
        """The one ending."""
        self.link = None
        self.done.callback((how, answer))


class Link(Outgoing):
    """One connection to a cache server; it carries one hop at a time."""

    def __init__(self, pool):
        self.pool, self.reader, self.address = pool, Reader(ANSWER), pool.address
        self.sink = None  # the client that a large answer goes to as it comes
        self.flow = None  # a large request on its way
        self.exchange, self.unsent = None, b''  # unsent: what of the hop has not gone to the system
        self.left = True  # whether the hop's last byte has gone there
        self.number, self.idle_until, self.deadline_at = None, None, 0  # timed: when its deadline is; 0: none
        self.ready_at = 0  # when it may carry the next hop
        self.used = False  # whether it has carried one
        self.buffered_at_send = 0  # bytes of the hop given to the transport before the system took any
        self.closed_for = None  # why this side closed it; None: it did not
        self.first_piece, self.last_piece = None, 0  # of a held answer of no told length: when they came

    def connectionMade(self):
        no_delay(self.transport)

    def carry(self, exchange):
        """Send a hop: at once, or what the system does not take as a pull producer, which is asked for more
        once all that it wrote has left."""
        self.exchange, exchange.link = exchange, self
        exchange.leaves()
        self.first_piece = None
        source = exchange.message.source
        data = b''.join(request(exchange.message, max(1, exchange.until - self.pool.caches.clock())))
        if source:
            self.left, self.buffered_at_send = False, len(data)
            self.transport.write(data)
            self.flow = Flow(source, self.transport, exchange.message.length is None, source.progressed)
            source.attach(self)
            return
        self.unsent = data[push(self.transport, data) :]
        self.left = not self.unsent
        self.buffered_at_send = len(data) if len(self.unsent) == len(data) else 0
        if self.unsent:
            self.transport.registerProducer(self, False)

    @property
    def begun(self):
        """Whether any byte of the hop that it carries has left."""
        return not self.buffered_at_send or buffered_bytes(self.transport) < self.buffered_at_send

    def body(self, data, whole):
        """More of a large request, and whether that was all. Its last byte has left once the system has
        all."""
        if not whole:
            self.flow.pass_on(data)
            return
        self.unsent = self.flow.framed(data) + self.flow.end()
        self.flow = None
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        if self.unsent:
            self.unsent, data = b'', self.unsent
            self.transport.write(data)
        else:
            self.left = True
            self.transport.unregisterProducer()

    def stopProducing(self):
        """The connection has ended: connectionLost tells."""

    def dataReceived(self, data):
        if not self.exchange and not self.sink:
            self.close('bytes that nobody asked for')
            return
        try:
            self.reader.feed(data)
            if self.sink:
                self.stream()
            else:
                self.read()
        except BadMessage as err:
            self.pool.caches.broken(self.pool.server, err)
            if self.sink:
                self.cut_off()
            else:
                self.finish('spoilt')
            self.close('answer out of form')

    def read(self):
        """The answer, if it is here, or the beginning of a large one."""
        answer = self.reader.take()
        while answer and answer.parts[1][0:1] == b'1':  # only a word before the answer
            answer = self.reader.take()
        if answer:
            self.answered(answer)
        elif self.reader.large:
            self.begin(self.reader.message)
        elif self.holds_part:
            self.last_piece = self.pool.caches.clock()
            if self.first_piece is None:
                self.first_piece = self.last_piece
            if self.exchange.in_part:
                self.exchange.in_part()

    @property
    def holds_part(self):
        """Whether the beginning of a good answer is held of which nobody can tell yet whether it will be a
        large one. One that comes before its request has left is of no use."""
        message = self.reader.message
        return (
            self.exchange is not None
            and self.left
            and message is not None
            and message.length is None
            and ending(message) == 'committed'
        )

    def still_gives(self, now, spread):
        """Whether an answer that is held in part goes on coming: its pieces, from the first to the last, took
        so long, and its server has gone silent only lately, or what it gave lies unread."""
        if not self.holds_part or self.last_piece - self.first_piece < spread:
            return False
        return now < self.last_piece + STALL_TIMEOUT or not quiet(self.transport)

    def pass_on_part(self):
        """Treat the answer that is held in part as a large one: it goes on as it comes."""
        self.begin(self.reader.message)

    def answered(self, answer):
        """All of an answer is here."""
        kept, how = self.left and answer.lasting and not self.reader.has_input, ending(answer)
        if how == 'refused' and not answer.lasting and not self.used:
            self.pool.declined()
        self.used = True
        if kept:
            self.pool.release(self)
        self.finish(how, answer)
        if not kept:
            self.close('the answer was its last')

    def begin(self, answer):
        """A large answer begins: it ends the hop, and if the client waits for it flows on from here."""
        how = ending(answer)
        if how == 'committed':
            answer.source = self
            self.transport.bufferSize = PIECE
        self.finish(how, answer)
        if not self.sink:
            self.close('nobody reads the large answer')

    def stream(self):
        """What has come of a large answer goes on."""
        data, whole = self.reader.piece(), self.reader.whole
        sink, lasting = self.sink, self.reader.message.lasting
        if whole:
            self.sink = None
            self.reader.reset()
        sink.write_body(data)
        if whole:
            sink.finish_body()
            if self.left and lasting and not self.reader.has_input:
                self.transport.resumeProducing()
                self.pool.release(self)
            else:
                self.close('the answer was its last')

    def cut_off(self):
        """A large answer will not be whole: its client is shown that."""
        sink, self.sink = self.sink, None
        sink.abort()

    def pause(self):
        """The client takes no more for now."""
        self.transport.pauseProducing()

    def resume(self):
        """It does again."""
        self.transport.resumeProducing()

    def drop(self):
        """Nobody reads the large answer any more."""
        self.sink = None
        self.close('nobody reads the large answer')

    def detach(self):
        """Nothing is carried any more; the hop that was."""
        if self.flow:
            self.flow.stop()
            self.flow = None
        exchange, self.exchange = self.exchange, None
        if exchange and exchange.message.source:
            exchange.message.source.detach(self)
        return exchange

    def finish(self, how, answer=None):
        """End the hop that is on it."""
        self.detach().complete(how, answer)

    def ended(self):
        """An orderly end: an answer that lasted until then is whole."""
        answer = self.reader.end() if self.left else None
        if answer and self.sink:
            sink, self.sink = self.sink, None
            sink.finish_body()
        elif answer and self.exchange:
            self.finish(ending(answer), answer)

    def give_up(self):
        """The hop is not waited for."""
        self.detach()
        self.close('attempt not waited for')

    def close(self, why):
        """End the connection at once; what was not sent is not. Its place counts as free from here on, as
        another hop may wait for that: the descriptor itself goes within a turn of the reactor. why: for the
        log."""
        self.closed_for = self.closed_for or why
        self.pool.forget(self)
        if self.left:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self.pool.forget(self)
        self.pool.caches.events.say(
            'server connection closed',
            server=self.pool.server.name,
            why=self.closed_for or 'other side: %s' % reason_text(reason),
        )
        if reason is not None and reason.check(ConnectionDone):
            self.ended()
        if self.sink:
            self.cut_off()
        if self.exchange:
            # Only a last byte that never left proves that the hop never ran.
            self.finish('lost' if self.left else 'unreachable')


class Pool:
    """The connections to one server."""

    __slots__ = (
        *('caches', 'server', 'address', 'resting', 'waiting', 'dials', 'refused', 'crowded', 'links'),
        *('backoff', 'redial_at'),
    )

    def __init__(self, caches, server, address):
        self.caches, self.server, self.address = caches, server, address
        self.resting = []  # idle connections, the latest used last
        self.waiting = deque()  # hops that wait for one
        self.dials = 0  # connections that are being opened
        self.links = 0  # connections, those being opened among them
        self.crowded = 0  # until when it counts as having no place for more connections
        self.backoff = 0  # until the next try to connect after one that this machine could not make
        self.redial_at = None  # when that is; None: it can connect, as far as is known
        self.refused = False  # whether nobody listened there lately, so that its process had ended

    def send(self, exchange):
        """Carry a hop on an idle connection, or open one for it."""
        now = self.caches.clock()
        if not exchange.wanted():
            exchange.complete('unsent')
            return
        for link in self.resting[::-1]:
            if link.ready_at <= now and self.claim(link):
                link.carry(exchange)
                return
        if not self.caches.room() or not self.may_dial() and not self.links:
            exchange.complete('unsent')
            return
        self.waiting.append(exchange)
        if self.redial_at is not None:
            self.hold(exchange)
        elif self.may_dial():
            self.dial()  # else the first that comes free is the one to wait for

    def may_dial(self):
        """Whether the fleet's limit on connections to this server lets this node open one more."""
        shares = self.caches.shares
        return shares is None or shares.links(self.caches.clock(), self.server)

    def count(self, more):
        """So many connections more are there."""
        self.links += more
        if self.caches.shares is not None:
            self.caches.shares.linked(self.caches.clock(), self.server, more)

    def declined(self):
        """A new connection was turned away at its first hop, and closed: the server has no place for more.
        Guards against places that lie idle at one node while others are turned away."""
        self.crowded = self.caches.clock() + self.caches.keep

    def dial(self):
        """Open a connection, within the time that the site allows."""
        self.dials += 1
        self.count(1)
        caches = self.caches
        link = Link(self)
        link.number = caches.table.add(link)
        opening = connect(caches.reactor, self.address, link)
        number = caches.dialling.add(opening)
        caches.deadlines.at(caches.clock() + caches.within, caches.dial_due, number)
        opening.addCallbacks(self.dialled, self.failed, (number,), None, (number, link))
        opening.addErrback(caches.fault)

    def dialled(self, link, number):
        """A connection is up: it is the first waiting hop's."""
        self.dials -= 1
        self.caches.dialling.remove(number)
        self.connect_recovered()
        if self.refused:
            # Guards against pushing over a fresh process, cold, of which the list tells only seconds later.
            self.refused = False
            self.caches.returned(self.server)
        if link.address != self.address:
            link.close(
                'server moved'
            )  # the server moved while it came up: this is not the way there any more
            self.drop_waiter('unsent')
        else:
            self.offer(link)

    def offer(self, link):
        """A connection for the hop that has waited longest and may still leave; else it rests. Guards against
        what happened while hops waited: the server began to drain, the client left, a repeat's time is up."""
        while self.waiting:
            exchange = self.waiting.popleft()
            late = exchange.leave_by is not None and self.caches.clock() > exchange.leave_by
            if self.server.state == 'ready' and not late and exchange.wanted():
                link.carry(exchange)
                return
            exchange.complete('unsent')
        self.release(link)

    def drop_waiter(self, how):
        """A connection that was to come will not: unless others come, the hop that has waited longest has
        none to wait for."""
        if len(self.waiting) > self.dials:
            self.waiting.popleft().complete(how)

    def failed(self, failure, number, link):
        """No connection: a hop has none to wait for, unless it was served meanwhile."""
        self.dials -= 1
        self.caches.dialling.remove(number)
        self.forget(link)
        error = connecting_errno(failure)
        self.caches.events.say(
            'connect failed', server=self.server.name, why=reason_text(failure), errno=error
        )
        if error in NO_DESCRIPTOR:
            # Clients at the door need one as well: what waited here would keep them out.
            self.caches.call_failed('connect', error)
            self.drop_waiter('unsent')
            return
        if local_errno(failure) is not None:
            self.cannot_connect(error)
            return
        self.connect_recovered()
        self.refused = self.refused or error == ECONNREFUSED
        self.drop_waiter('unreachable')

    # --- a machine that cannot connect --------------------------------------------------------------------

    def cannot_connect(self, error):
        """A call on this machine failed, which tells nothing of the server: hops go on waiting, and the next
        try comes soon, and ever later while that goes on. Guards against servers set aside, and reads
        refused, for what ends by itself."""
        self.caches.call_failed('connect', error)
        for exchange in self.waiting:
            self.hold(exchange)
        if self.redial_at is None:
            self.redial_later()

    def redial_later(self):
        """Set the time of the next try."""
        self.backoff = min(MAX_REDIAL_DELAY, 2 * self.backoff or MIN_REDIAL_DELAY)
        self.redial_at = self.caches.clock() + self.backoff
        self.caches.deadlines.at(self.redial_at, self.caches.redial_due, self.caches.redials.add(self))

    def hold(self, exchange):
        """A hop waits until this machine can connect, for a part of its time: the rest is for other servers,
        and for an answer in time."""
        if exchange.held_until is None:
            now = self.caches.clock()
            exchange.held_until = now + min(MAX_HOLD, max(0, exchange.until - now) // HOLD_DIVISOR)

    def redial(self):
        """Try again for the hops that still wait, with one connection until it is known that others can be
        made."""
        now = self.caches.clock()
        for exchange in [exchange for exchange in self.waiting if now >= exchange.held_until]:
            if exchange in self.waiting:  # what the end of one brings about may have ended another
                exchange.cut('unsent')
        self.redial_at = None
        if len(self.waiting) <= self.dials:
            return
        if self.may_dial() and self.caches.room():
            self.dial()
        else:
            self.redial_later()

    def connect_recovered(self):
        """A try to connect got as far as the other machine: the hops that waited for that have theirs now,
        but the first, which is served, or failed, by the one that this is about."""
        if not self.backoff:
            return
        self.backoff = 0
        for _ in range(len(self.waiting) - self.dials - 1):
            if self.may_dial() and self.caches.room():
                self.dial()

    def release(self, link):
        """A connection is free. Guards against servers that close one right after an answer, or send more
        than the answer: that shows within a moment, and a hop sent meanwhile would be lost to it."""
        if self.server.state != 'ready' or link.address != self.address:
            link.close('server takes nothing new')
            return
        link.ready_at = self.caches.clock() + SETTLE_TIME
        self.resting.append(link)
        self.caches.keep_idle(link)
        if self.waiting:
            self.caches.deadlines.at(link.ready_at, self.caches.settled_due, link.number)

    def serve_waiting(self, link):
        """A connection that came free may carry the hop that has waited longest for one."""
        if self.waiting and self.claim(link):
            self.offer(link)

    def claim(self, link):
        """Take a connection out of those that are idle; whether it is of use still."""
        self.remove_idle(link)
        if quiet(link.transport):
            return True
        link.close('ended while idle')
        return False

    def remove_idle(self, link):
        """It is not idle any more."""
        self.resting.remove(link)
        self.caches.resting.pop(link.number)

    def forget(self, link):
        """A connection ends or never came up: nothing more is sent on it, and its place is free."""
        if link.number in self.caches.resting:
            self.remove_idle(link)
        if self.caches.table.get(link.number) is link:
            self.count(-1)
        self.caches.table.remove(link.number)

    def close_idle(self):
        """End the connections that carry nothing."""
        for link in self.resting[:]:
            link.close('server takes nothing new')


class Caches:
    """All connections to servers, within a budget of descriptors."""

    def __init__(
        self, reactor, deadlines, clock, place, budget, broken, fault, returned, events, call_failed
    ):
        self.reactor, self.deadlines, self.clock = reactor, deadlines, clock
        self.within, self.keep = place.connect_within, int(place.idle * KEPT)
        self.budget = budget
        self.broken, self.fault = broken, fault  # told of answers out of form, and of faults in here
        self.returned = returned  # told of a server that takes connections again, after it refused some
        self.pools, self.table, self.dialling = {}, Table(), Table()
        self.redials = Table()  # pools that try again to connect later
        self.resting = {}  # idle connections by number, the longest idle first
        self.call_failed = call_failed  # told of calls that this machine could not make
        self.events = events  # lines on single connections (events.py)
        self.shares = None  # what the fleet lets this node spend, where there is one

    @property
    def open(self):
        """How many connections there are, those being opened among them."""
        return len(self.table)

    def listed(self, server, address):
        """A list names a server and where it is."""
        pool = self.pools.get(server)
        if pool is None:
            self.pools[server] = Pool(self, server, address)
        elif pool.address != address:
            pool.address = address
            pool.close_idle()

    def forget(self, server):
        """A server is gone for good."""
        self.pools.pop(server).close_idle()

    def tidy(self):
        """Connections to servers that want nothing new are not kept."""
        for pool in self.pools.values():
            if pool.server.state != 'ready':
                pool.close_idle()
        for link in self.table:
            # Guards against a hop whose first byte this machine cannot send now, and would once the grace is
            # over.
            if link.pool.server.state != 'ready' and link.exchange and not link.begun:
                link.exchange.cut('unsent')

    def send(self, server, message, until, wanted, repeat, leaves=bool):
        """Start a hop; its Exchange. wanted() tells whether it may still leave, leaves() is called as its
        first byte does; a repeat leaves within the time that a connection may take to come up, which the rule
        on repeats sets aside for it."""
        exchange = Exchange(
            self.pools[server],
            message,
            until,
            wanted,
            self.clock() + self.within if repeat else None,
            leaves,
        )
        exchange.pool.send(exchange)
        return exchange

    def room(self):
        """Whether one more connection may be opened; the longest idle one makes way."""
        if self.open >= self.budget:
            self.evict_idle()
        return self.open < self.budget

    def shrink(self, spare):
        """Another process of this node has the rest: what is idle goes, and little more is opened."""
        for link in list(self.resting.values()):
            link.close('another process has its place')
        self.budget = self.open + spare

    def trim(self, over):
        """Close idle connections of which there are too many: over(server) tells how many."""
        for pool in self.pools.values():
            for link in pool.resting[: max(0, over(pool.server))]:
                link.close('too many idle')

    def evict_idle(self):
        """The longest idle connection goes, if there is one."""
        if self.resting:
            next(iter(self.resting.values())).close('made way')

    def keep_idle(self, link):
        """Note an idle connection and until when it is kept: well before the server ends it, and hardly at
        all where others find no place."""
        self.resting[link.number] = link
        now = self.clock()
        link.idle_until = now + (CROWDED if now < link.pool.crowded else self.keep)
        self.time(link)

    def time(self, link):
        """Hang up its deadline; one a connection, however often it is used meanwhile, and another where it is
        to go sooner."""
        if not link.deadline_at or link.idle_until < link.deadline_at:
            link.deadline_at = link.idle_until
            self.deadlines.at(link.idle_until, self.idle_due, link.number)

    def idle_due(self, number):
        """A connection may have lain idle long enough."""
        link = self.table.get(number)
        if link is None:
            return
        if link.deadline_at <= self.clock():
            link.deadline_at = 0
        if number in self.resting:
            if self.clock() >= link.idle_until:
                link.close('idle')
            else:
                self.time(link)

    def settled_due(self, number):
        """Hops waited when this connection came free."""
        if number in self.resting:
            link = self.table.get(number)
            link.pool.serve_waiting(link)

    def redial_due(self, number):
        """The wait after a failed call of this machine is over."""
        pool = self.redials.get(number)
        self.redials.remove(number)
        pool.redial()

    def dial_due(self, number):
        """Guards against a server that vanished: its connections never come up."""
        opening = self.dialling.get(number)
        if opening is not None:
            opening.cancel()

"""Connections to cache servers and the hops carried on them.

Holds each connection to a cache server or the origin from dialling to its end, and determines how each
hop ended, including whether its last byte was sent. Does not retry hops or choose servers, and never
passes on an incomplete answer as a complete one.
"""

from collections import deque
from errno import ECONNREFUSED

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone

from .flow import PIECE_SIZE, STALL_TIMEOUT, Flow
from .http import ANSWER, BadMessage, Reader, request
from .local_errors import NO_DESCRIPTOR, connecting_errno, local_errno
from .sockets import Outgoing, buffered_bytes, connect, no_delay, nothing_unread, send_now
from .tables import SlotTable

IDLE_FRACTION = 0.6  # fraction of the server's idle timeout after which idle connections are closed
SETTLE_TIME = 100  # ticks after an answer before its connection carries the next hop
# After a local failure to connect: shortest and longest backoff in ticks. A hop waits for 1/HOLD_DIVISOR of
# its remaining time and at most MAX_HOLD ticks, as all hops that wait reach the server at once.
MIN_REDIAL_DELAY, MAX_REDIAL_DELAY, HOLD_DIVISOR, MAX_HOLD = 50, 500, 8, 2_500
SHORT_IDLE_TIME = 3 * SETTLE_TIME  # ticks an idle connection is kept while the server has no free slots
MAX_PIECE_GAP = 1_000  # ticks since its last piece for which an answer counts as arriving
CACHE_STATUSES = {b'hit': 1, b'miss': 2, b'pending': 3}


def ending(answer):
    """Return the hop's ending, in the router's terms, that an answer indicates."""
    status = answer.parts[1]
    if status == b'200':
        return 'committed'
    if status == b'404':
        return 'missing'
    if status in (b'503', b'504') and answer.field(b'srv-declined') == b'1':
        return 'refused'
    return 'rejected' if status.startswith(b'4') else 'error'


def reason_text(failure):
    """Describe a Twisted failure that ended or prevented a connection."""
    return 'unknown' if failure is None else '%s: %s' % (failure.type.__name__, failure.value)


class Exchange:
    """One hop in progress: the client's request, its limit, and the connection that carries it."""

    __slots__ = (
        'pool',
        'message',
        'until',
        'wanted',
        'leave_by',
        'link',
        'done',
        'on_partial',
        'held_until',
        'leaves',
    )

    def __init__(self, pool, message, until, wanted, leave_by, leaves):
        self.pool, self.message, self.until = pool, message, until
        self.on_partial = None  # called for each piece of a buffered answer of unknown length
        # wanted(): whether it may still be sent; leave_by: latest time for that, or None
        self.wanted, self.leave_by = wanted, leave_by
        self.leaves = leaves  # called when its first byte is sent
        self.link = None  # the connection that carries it
        self.held_until = None  # latest time to wait after a local failure to connect
        self.done = Deferred()  # fires once with (ending, answer or None)

    def cut(self, how):
        """Stop waiting for the hop, unless it has ended.

        Closing its connection tells the server.
        """
        if self.done.called:
            return
        if self.link:
            self.link.give_up()
        else:
            self.pool.waiting.remove(self)
            if self.held_until is not None:
                how = 'unsent'  # due to a local failure, nothing was sent
        self.complete(how)

    @property
    def whole(self):
        """Whether the request's last byte has been sent."""
        return bool(self.link) and self.link.all_sent

    @property
    def unread(self):
        """Whether data from the server, or the connection's end, lies unread."""
        return self.link is not None and not nothing_unread(self.link.transport)

    def complete(self, how, answer=None):
        """End the hop; called once."""
        self.link = None
        self.done.callback((how, answer))


class Link(Outgoing):
    """Connection to a cache server, which carries one hop at a time."""

    def __init__(self, pool):
        self.pool, self.reader, self.address = pool, Reader(ANSWER), pool.address
        self.sink = None  # client that receives a streamed answer
        self.flow = None  # large request being streamed
        self.exchange, self.unsent = None, b''  # unsent: bytes not yet accepted by the system
        self.all_sent = True  # whether the system has accepted the hop's last byte
        # deadline_at: scheduled idle deadline; 0: none
        self.number, self.idle_until, self.deadline_at = None, None, 0
        self.ready_at = 0  # earliest time of the next hop
        self.used = False  # whether it has carried a hop
        self.buffered_at_send = 0  # bytes of the hop buffered when nothing was sent yet; 0: some were sent
        self.closed_for = None  # why this side closed it; None: it did not close it
        self.first_piece, self.last_piece = None, 0  # times of the pieces of a buffered answer

    def connectionMade(self):
        no_delay(self.transport)

    def carry(self, exchange):
        """Send a hop.

        What the system does not accept at once is written as a pull producer, which is asked for more
        once everything written has left.
        """
        self.exchange, exchange.link = exchange, self
        exchange.leaves()
        self.first_piece = None
        source = exchange.message.source
        data = b''.join(request(exchange.message, max(1, exchange.until - self.pool.caches.clock())))
        if source:
            self.all_sent, self.buffered_at_send = False, len(data)
            self.transport.write(data)
            self.flow = Flow(source, self.transport, exchange.message.length is None, source.progressed)
            source.attach(self)
            return
        self.unsent = data[send_now(self.transport, data) :]
        self.all_sent = not self.unsent
        self.buffered_at_send = len(data) if len(self.unsent) == len(data) else 0
        if self.unsent:
            self.transport.registerProducer(self, False)

    @property
    def begun(self):
        """Whether any byte of the current hop has been sent."""
        return not self.buffered_at_send or buffered_bytes(self.transport) < self.buffered_at_send

    def body(self, data, whole):
        """Send more of a large request; whole: whether this is the last piece.

        The last byte counts as sent once the system has accepted it.
        """
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
            self.all_sent = True
            self.transport.unregisterProducer()

    def stopProducing(self):
        """Called when the connection ends; handled in connectionLost."""

    def dataReceived(self, data):
        if not self.exchange and not self.sink:
            self.close('unsolicited data')
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
                self.abort_both()
            else:
                self.finish('spoilt')
            self.close('answer out of form')

    def read(self):
        """Handle a complete answer, or the beginning of a large one."""
        answer = self.reader.take()
        while answer and answer.parts[1][0:1] == b'1':  # interim answers
            answer = self.reader.take()
        if answer:
            self.answered(answer)
        elif self.reader.large:
            self.begin(self.reader.message)
        elif self.reader.message:
            self.last_piece = self.pool.caches.clock()
            if self.first_piece is None:
                self.first_piece = self.last_piece
            if self.has_partial_answer and self.exchange.on_partial:
                self.exchange.on_partial()

    @property
    def has_partial_answer(self):
        """Whether a partial 200 answer of unknown length is buffered, which may still become a large
        one. An answer that precedes the end of its request does not count.
        """
        message = self.reader.message
        return (
            self.exchange is not None
            and self.all_sent
            and message is not None
            and message.length is None
            and ending(message) == 'committed'
        )

    def still_receiving(self, now, spread):
        """Return whether a partial answer is still being received: its pieces have spanned at least
        `spread` ticks, and the server has sent something recently or has data unread.
        """
        if not self.has_partial_answer or self.last_piece - self.first_piece < spread:
            return False
        return now < self.last_piece + STALL_TIMEOUT or not nothing_unread(self.transport)

    def is_arriving(self, now):
        """Return whether a partial answer has a recent piece, or more of it unread."""
        if not self.has_partial_answer:
            return False
        return now < self.last_piece + MAX_PIECE_GAP or not nothing_unread(self.transport)

    def stream_partial_answer(self):
        """Start streaming the partial answer as a large one."""
        self.begin(self.reader.message)

    def answered(self, answer):
        """Handle a complete answer."""
        kept, how = self.all_sent and answer.keep_alive and not self.reader.has_input, ending(answer)
        if how == 'refused' and not answer.keep_alive and not self.used:
            self.pool.declined()
        self.used = True
        if kept:
            self.pool.release(self)
        self.finish(how, answer)
        if not kept:
            self.close('closed after answer')

    def begin(self, answer):
        """Handle the beginning of a large answer: the hop ends, and the body is streamed if a client
        waits for it.
        """
        how = ending(answer)
        if how == 'committed':
            answer.source = self
            self.transport.bufferSize = PIECE_SIZE
        self.finish(how, answer)
        if not self.sink:
            self.close('streamed answer not wanted')

    def stream(self):
        """Forward received data of a large answer."""
        data, whole = self.reader.piece(), self.reader.whole
        sink, keep_alive = self.sink, self.reader.message.keep_alive
        if whole:
            self.sink = None
            self.reader.reset()
        sink.write_body(data)
        if whole:
            sink.finish_body()
            if self.all_sent and keep_alive and not self.reader.has_input:
                self.transport.resumeProducing()
                self.pool.release(self)
            else:
                self.close('closed after answer')

    def abort_both(self):
        """Abort a large answer that will not be completed."""
        sink, self.sink = self.sink, None
        sink.abort()

    def pause(self):
        """Pause reading while the client accepts no more data."""
        self.transport.pauseProducing()

    def resume(self):
        """Resume reading."""
        self.transport.resumeProducing()

    def drop(self):
        """Close the connection when nobody reads the large answer any more."""
        self.sink = None
        self.close('streamed answer not wanted')

    def detach(self):
        """Detach and return the current hop."""
        if self.flow:
            self.flow.stop()
            self.flow = None
        exchange, self.exchange = self.exchange, None
        if exchange and exchange.message.source:
            exchange.message.source.detach(self)
        return exchange

    def finish(self, how, answer=None):
        """End the current hop."""
        self.detach().complete(how, answer)

    def ended(self):
        """Handle an orderly end of the connection, which completes an answer delimited by it."""
        answer = self.reader.end() if self.all_sent else None
        if answer and self.sink:
            sink, self.sink = self.sink, None
            sink.finish_body()
        elif answer and self.exchange:
            self.finish(ending(answer), answer)

    def give_up(self):
        """Close the connection of a hop that is no longer waited for."""
        self.detach()
        self.close('attempt cancelled')

    def close(self, why):
        """Close the connection immediately, dropping unsent data.

        Its slot is free at once, as another hop may wait for it, although the descriptor is closed in a
        later reactor iteration. why: for the log.
        """
        self.closed_for = self.closed_for or why
        self.pool.forget(self)
        if self.all_sent:
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
            self.abort_both()
        if self.exchange:
            # The hop surely did not run only if its last byte was not sent.
            self.finish('lost' if self.all_sent else 'unreachable')


class Pool:
    """Connections to one server."""

    __slots__ = (
        *('caches', 'server', 'address', 'idle_links', 'waiting', 'dials', 'refused', 'short_until', 'links'),
        *('backoff', 'redial_at'),
    )

    def __init__(self, caches, server, address):
        self.caches, self.server, self.address = caches, server, address
        self.idle_links = []  # idle connections, most recently used last
        self.waiting = deque()  # hops that wait for a connection
        self.dials = 0  # connections being opened
        self.links = 0  # all connections, including those being opened
        self.short_until = 0  # until when the server counts as short of connection slots
        self.backoff = 0  # backoff in ticks after local failures; 0: none
        self.redial_at = None  # time of the next attempt after a local failure; None: not scheduled
        self.refused = False  # whether an attempt was refused since, so that the server's process had ended

    def send(self, exchange):
        """Carry a hop on an idle connection, or open a new one for it."""
        now = self.caches.clock()
        if not exchange.wanted():
            exchange.complete('unsent')
            return
        for link in self.idle_links[::-1]:
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
            self.dial()  # otherwise the hop waits for the first connection released

    def may_dial(self):
        """Return whether the fleet's limit on connections to this server permits another one."""
        fleet_limits = self.caches.fleet_limits
        return fleet_limits is None or fleet_limits.links(self.caches.clock(), self.server)

    def count(self, more):
        """Adjust the number of connections."""
        self.links += more
        if self.caches.fleet_limits is not None:
            self.caches.fleet_limits.linked(self.caches.clock(), self.server, more)

    def declined(self):
        """Handle a new connection that was refused and closed at its first hop: the server has no
        capacity for more connections. Idle ones are then closed early, so that other nodes can use
        their slots.
        """
        self.short_until = self.caches.clock() + self.caches.idle_ticks

    def dial(self):
        """Open a connection, within the site's connect timeout."""
        self.dials += 1
        self.count(1)
        caches = self.caches
        link = Link(self)
        link.number = caches.table.add(link)
        opening = connect(caches.reactor, self.address, link)
        number = caches.dialling.add(opening)
        caches.deadlines.at(caches.clock() + caches.connect_timeout, caches.dial_due, number)
        opening.addCallbacks(self.connection_up, self.failed, (number,), None, (number, link))
        opening.addErrback(caches.fault)

    def connection_up(self, link, number):
        """Assign an established connection to the first waiting hop."""
        self.dials -= 1
        self.caches.dialling.remove(number)
        self.connect_recovered()
        if self.refused:
            # A restarted server is cold, and its list entry follows only seconds later.
            self.refused = False
            self.caches.returned(self.server)
        if link.address != self.address:
            link.close('server address changed')
            self.drop_waiter('unsent')
        else:
            self.offer(link)

    def offer(self, link):
        """Give a connection to the hop that has waited longest and may still be sent, or keep it idle.

        While hops wait, the server may start to drain, the client may leave, or a retry's window may
        end.
        """
        while self.waiting:
            exchange = self.waiting.popleft()
            late = exchange.leave_by is not None and self.caches.clock() > exchange.leave_by
            if self.server.state == 'ready' and not late and exchange.wanted():
                link.carry(exchange)
                return
            exchange.complete('unsent')
        self.release(link)

    def drop_waiter(self, how):
        """End the hop that has waited longest, if there are more waiting hops than connections being
        opened.
        """
        if len(self.waiting) > self.dials:
            self.waiting.popleft().complete(how)

    def failed(self, failure, number, link):
        """Handle a failed connection attempt."""
        self.dials -= 1
        self.caches.dialling.remove(number)
        self.forget(link)
        error = connecting_errno(failure)
        self.caches.events.say(
            'connect failed', server=self.server.name, why=reason_text(failure), errno=error
        )
        if error in NO_DESCRIPTOR:
            # Clients that wait to be accepted need descriptors as well.
            self.caches.call_failed('connect', error)
            self.drop_waiter('unsent')
            return
        if local_errno(failure) is not None:
            self.cannot_connect(error)
            return
        self.connect_recovered()
        self.refused = self.refused or error == ECONNREFUSED
        self.drop_waiter('unreachable')

    # Local failures to connect

    def cannot_connect(self, error):
        """Handle a local failure, which says nothing about the server: hops keep waiting, and
        connecting is retried with exponential backoff. Guards against marking servers as failed, and
        refusing reads, because of a transient local condition.
        """
        self.caches.call_failed('connect', error)
        for exchange in self.waiting:
            self.hold(exchange)
        if self.redial_at is None:
            self.redial_later()

    def redial_later(self):
        """Schedule the next connection attempt."""
        self.backoff = min(MAX_REDIAL_DELAY, 2 * self.backoff or MIN_REDIAL_DELAY)
        self.redial_at = self.caches.clock() + self.backoff
        self.caches.deadlines.at(self.redial_at, self.caches.redial_due, self.caches.redials.add(self))

    def hold(self, exchange):
        """Let a hop wait for a fraction of its time until the machine can connect.

        The rest is left for other servers and for a timely answer.
        """
        if exchange.held_until is None:
            now = self.caches.clock()
            exchange.held_until = now + min(MAX_HOLD, max(0, exchange.until - now) // HOLD_DIVISOR)

    def redial(self):
        """Retry for the hops that still wait, with a single connection until one succeeds."""
        now = self.caches.clock()
        for exchange in [exchange for exchange in self.waiting if now >= exchange.held_until]:
            if exchange in self.waiting:  # ending one hop may have ended others
                exchange.cut('unsent')
        self.redial_at = None
        if len(self.waiting) <= self.dials:
            return
        if self.may_dial() and self.caches.room():
            self.dial()
        else:
            self.redial_later()

    def connect_recovered(self):
        """Open connections for the other waiting hops once an attempt has reached the network.

        The first hop is handled by the caller.
        """
        if not self.backoff:
            return
        self.backoff = 0
        for _ in range(len(self.waiting) - self.dials - 1):
            if self.may_dial() and self.caches.room():
                self.dial()

    def release(self, link):
        """Keep a connection idle after its hop.

        It is reused only after a short delay: a server may close the connection right after an answer,
        or send excess data, and a hop sent meanwhile would be lost.
        """
        if self.server.state != 'ready' or link.address != self.address:
            link.close('server not ready')
            return
        link.ready_at = self.caches.clock() + SETTLE_TIME
        self.idle_links.append(link)
        self.caches.keep_idle(link)
        if self.waiting:
            self.caches.deadlines.at(link.ready_at, self.caches.settled_due, link.number)

    def serve_waiting(self, link):
        """Give a released connection to the hop that has waited longest."""
        if self.waiting and self.claim(link):
            self.offer(link)

    def claim(self, link):
        """Take a connection out of the idle ones; return whether it is still usable."""
        self.remove_idle(link)
        if nothing_unread(link.transport):
            return True
        link.close('ended by server while idle')
        return False

    def remove_idle(self, link):
        """Remove a connection from the idle ones."""
        self.idle_links.remove(link)
        self.caches.idle_links.pop(link.number)

    def forget(self, link):
        """Unregister a connection that ends or was never established; its slot is free."""
        if link.number in self.caches.idle_links:
            self.remove_idle(link)
        if self.caches.table.get(link.number) is link:
            self.count(-1)
        self.caches.table.remove(link.number)

    def close_idle(self):
        """Close the idle connections."""
        for link in self.idle_links[:]:
            link.close('server not ready')


class Caches:
    """All connections to servers, within a budget of descriptors."""

    def __init__(
        self, reactor, deadlines, clock, config, budget, broken, fault, returned, events, call_failed
    ):
        self.reactor, self.deadlines, self.clock = reactor, deadlines, clock
        self.connect_timeout, self.idle_ticks = config.connect_within, int(config.idle * IDLE_FRACTION)
        self.budget = budget
        self.broken, self.fault = broken, fault  # called for malformed answers and for internal errors
        self.returned = returned  # called for a server that accepts connections again after refusing them
        self.pools, self.table, self.dialling = {}, SlotTable(), SlotTable()
        self.redials = SlotTable()  # pools with a scheduled attempt to connect
        self.idle_links = {}  # idle connections by number, longest idle first
        self.call_failed = call_failed  # called for local failures
        self.events = events  # log of individual connections (events.py)
        self.fleet_limits = None  # this node's share of the fleet's limits; None: no fleet

    @property
    def open(self):
        """Number of connections, including those being opened."""
        return len(self.table)

    def listed(self, server, address):
        """Register a server, or update its address."""
        pool = self.pools.get(server)
        if pool is None:
            self.pools[server] = Pool(self, server, address)
        elif pool.address != address:
            pool.address = address
            pool.close_idle()

    def forget(self, server):
        """Unregister a server that is gone for good."""
        self.pools.pop(server).close_idle()

    def tidy(self):
        """Close idle connections to servers that are not ready, and cancel hops to them of which
        nothing has been sent.
        """
        for pool in self.pools.values():
            if pool.server.state != 'ready':
                pool.close_idle()
        for link in self.table:
            # Such a hop's first byte could be sent after the grace period has ended.
            if link.pool.server.state != 'ready' and link.exchange and not link.begun:
                link.exchange.cut('unsent')

    def send(self, server, message, until, wanted, repeat, leaves=bool):
        """Start a hop and return its Exchange.

        wanted(): whether it may still be sent; leaves(): called when its first byte is sent. A retry
        has to be sent within the connect timeout, which the retry window reserves for it.
        """
        exchange = Exchange(
            self.pools[server],
            message,
            until,
            wanted,
            self.clock() + self.connect_timeout if repeat else None,
            leaves,
        )
        exchange.pool.send(exchange)
        return exchange

    def room(self):
        """Return whether another connection may be opened, closing the longest idle one if necessary."""
        if self.open >= self.budget:
            self.evict_idle()
        return self.open < self.budget

    def shrink(self, spare):
        """Close idle connections and limit the budget to the open ones plus `spare`: another process of
        this node uses the rest.
        """
        for link in list(self.idle_links.values()):
            link.close('budget handed to another process')
        self.budget = self.open + spare

    def trim(self, over):
        """Close excess idle connections; over(server) returns their number."""
        for pool in self.pools.values():
            for link in pool.idle_links[: max(0, over(pool.server))]:
                link.close('too many idle connections')

    def evict_idle(self):
        """Close the connection that has been idle longest, if any."""
        if self.idle_links:
            next(iter(self.idle_links.values())).close('evicted to free a descriptor')

    def keep_idle(self, link):
        """Register an idle connection.

        It is closed well before the server's idle timeout, and much sooner if the server is short of
        slots.
        """
        self.idle_links[link.number] = link
        now = self.clock()
        link.idle_until = now + (SHORT_IDLE_TIME if now < link.pool.short_until else self.idle_ticks)
        self.schedule_idle_check(link)

    def schedule_idle_check(self, link):
        """Schedule the deadline of an idle connection: one per connection however often it is reused,
        and another if it has to be closed sooner.
        """
        if not link.deadline_at or link.idle_until < link.deadline_at:
            link.deadline_at = link.idle_until
            self.deadlines.at(link.idle_until, self.idle_due, link.number)

    def idle_due(self, number):
        """Deadline of an idle connection."""
        link = self.table.get(number)
        if link is None:
            return
        if link.deadline_at <= self.clock():
            link.deadline_at = 0
        if number in self.idle_links:
            if self.clock() >= link.idle_until:
                link.close('idle')
            else:
                self.schedule_idle_check(link)

    def settled_due(self, number):
        """Serve waiting hops once a released connection may be reused."""
        if number in self.idle_links:
            link = self.table.get(number)
            link.pool.serve_waiting(link)

    def redial_due(self, number):
        """Retry connecting after a local failure."""
        pool = self.redials.get(number)
        self.redials.remove(number)
        pool.redial()

    def dial_due(self, number):
        """Cancel a connection attempt that has timed out."""
        opening = self.dialling.get(number)
        if opening is not None:
            opening.cancel()

"""Connections to cache servers, one hop at a time on each.

A Link sends a hop's request and reads its answer, or streams either; it determines how the hop ended,
including whether its last byte was sent. Never passes on an incomplete answer as a complete one.
"""

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone

from .flow import PIECE_SIZE, STALL_TIMEOUT, Flow
from .http import ANSWER, TINY_CHUNKS_READ_SIZE, BadMessage, Reader, request
from .sockets import Outgoing, buffered_bytes, no_delay, nothing_unread, send_now

LONG_PART = 4_096  # bytes of an answer of unknown length from which it is likely to be a large one
MAX_PIECE_GAP = 1_000  # ticks since its last piece for which an answer counts as arriving


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
        'why',
    )

    def __init__(self, pool, message, until, wanted, leave_by, leaves):
        self.pool, self.message, self.until = pool, message, until
        self.on_partial = None  # called for each piece of a buffered answer of unknown length
        # wanted(): whether it may still be sent; leave_by: latest time for that, or None
        self.wanted, self.leave_by = wanted, leave_by
        self.leaves = leaves  # called when its first byte is sent
        self.link = None  # the connection that carries it
        self.why = None  # why this side ended it; None: it did not
        self.held_until = None  # latest time to wait after a local failure to connect
        self.done = Deferred()  # fires once with (ending, answer or None)

    def cut(self, how, why):
        """Stop waiting for the hop, unless it has ended. why: for the log.

        Closing its connection tells the server.
        """
        if self.done.called:
            return
        self.why = why
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

    def release(self):
        """Drop the request's bytes and the reference to its owner, once the hop has ended."""
        self.message = self.on_partial = None


class Link(Outgoing):
    """Connection to a cache server, which carries one hop at a time."""

    def __init__(self, pool):
        self.pool, self.reader, self.process = pool, Reader(ANSWER), pool.process
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
        self.charged = 0  # bytes charged to the memory budget

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.bufferSize = PIECE_SIZE

    def held_bytes(self):
        """Return the bytes that are held for this connection."""
        return sum(self.holdings())

    def holdings(self):
        """Return the bytes held as (input, messages, output)."""
        message = self.reader.message
        output = buffered_bytes(self.transport) if self.transport else 0  # none while it is being opened
        return len(self.reader.buffer), message.size if message else 0, output

    def update_memory(self):
        """Charge the memory budget, unless this connection has ended."""
        if self.pool.caches.table.get(self.number) is self:
            self.pool.caches.memory.update(self)

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
        if self.reader.has_tiny_chunks:
            self.transport.bufferSize = TINY_CHUNKS_READ_SIZE
        self.update_memory()

    def read(self):
        """Handle a complete answer, or the beginning of a large one."""
        answer = self.reader.take()
        while answer and answer.parts[1][0:1] == b'1':  # interim answers
            answer = self.reader.take()
        if answer:
            self.answered(answer)
        elif self.reader.large or self.must_stream():
            self.begin(self.reader.message)
        elif self.reader.message:
            self.last_piece = self.pool.caches.clock()
            if self.first_piece is None:
                self.first_piece = self.last_piece
            if self.has_partial_answer and self.exchange.on_partial:
                self.exchange.on_partial()

    def must_stream(self):
        """Return whether an answer in part has to be streamed for want of memory, though it is not large."""
        message = self.reader.message
        return (
            message is not None
            and self.all_sent
            and ending(message) == 'committed'
            and self.pool.caches.memory.must_wait(self)
        )

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
        return self.is_alive(now)

    def holds_long_part(self, now, age):
        """Return whether so much of a partial answer has come, `age` ticks ago or more, that it is likely to
        be a large one, and its server has not stalled.
        """
        return (
            self.has_partial_answer
            and len(self.reader.message.body) >= LONG_PART
            and now >= self.first_piece + age
            and self.is_alive(now)
        )

    def is_alive(self, now):
        """Return whether the server has sent something recently, or has data unread."""
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
            self.transport.bufferSize = self.pool.caches.memory.piece_size
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

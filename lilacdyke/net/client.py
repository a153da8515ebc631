"""Client connections: parsing of requests and writing of answers.

Tracks which request is being read or answered on each connection. Malformed input never raises out of
it. Large bodies are handled in bodies.py, time limits of phases in phases.py.
"""

from twisted.internet.protocol import Protocol

from ..values import SECOND
from . import http
from .bodies import Upload, begin_download
from .http import BadMessage, Reader
from .logs import LOG, log_warning
from .phases import ASKED, CLOSING, FRESH, IDLE, RECEIVING, STREAMING
from .sockets import buffered_bytes, close_now, no_delay, peer_closed, send_now, time_unread, waiting

MIN_BODY_RATE = 16_384  # bytes per second; each byte received extends the time for the rest
MAX_READ_AHEAD = http.MAX_BODY  # bytes of pipelined input; then reading is paused
OK = b'HTTP/1.1 200 '
READ_SIZE = 16_384  # bytes read in a turn of the event loop


class ClientConnection(Protocol):
    """Connection from a client."""

    def __init__(self, listener):
        self.listener, self.reader = listener, Reader(http.REQUEST)
        self.number = None  # slot in the listener's table
        self.active = None  # the node's record of the current request
        self.phase = None  # see phases.py; None: the connection has ended
        self.since = 0  # start of the phase; for a request, when its first byte was received
        self.received_at = 0  # when the last bytes read were received by the system
        self.keep_alive = True  # whether the connection stays open after this request
        self.answered = False  # whether any answer was sent
        self.bad_requests = 0  # requests with unknown paths or methods
        self.upload = None  # large request whose body is being received
        self.download = None  # large answer being sent
        self.discards_body = False  # whether the rest of a large body is read and discarded
        self.discarded = 0  # bytes discarded since the last answer
        self.reprieved = False  # whether this request was granted a reprieve (phases.py)
        self.over_budget = False  # whether it has no slot, so that its requests are refused
        self.closed_for = None  # why this side closes the connection; None: it does not
        self.read_scheduled = False  # whether input that was received earlier is read in a later turn
        self.input_paused = False  # whether reading is paused as too much input is held
        self.flushing = False  # whether the next request waits until the client has accepted the last answer
        self.charged = 0  # bytes charged to the memory budget
        self.requests = self.refusals = 0  # requests read; those refused or answered with an error

    # Transport events

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.bufferSize = READ_SIZE
        self.listener.opened(self)

    def dataReceived(self, data):
        if self.phase == CLOSING:
            self.discard(data)
            return
        if self.phase == RECEIVING:
            self.extend_deadline(len(data))
        self.received_at = self.listener.clock() - time_unread(self.transport)
        if self.phase in (FRESH, IDLE):
            if self.listener.too_late(self.received_at, data):
                self.reply(self.listener.refusal(True))
                return
            self.begin()
        self.reader.feed(data)
        if not self.read_scheduled:
            self.read_on()
        self.update_reading()

    def connectionLost(self, reason=None):
        active, self.active = self.active, None
        download, self.download = self.download, None
        self.listener.events.say(
            'client connection closed',
            active and active.name,
            phase=self.phase,
            why=self.closed_for or 'other side',
            requests=self.requests,
            refusals=self.refusals,
            held=self.charged,
        )
        self.listener.node.figures.connection_ended(self)
        self.listener.closed(self)
        self.reader.discard_input()  # transport and protocol refer to each other and are freed much later
        if download:
            download.source.drop()
        if active:
            if self.closed_for:
                self.listener.node.guard.report_close(active, self.closed_for)
            self.listener.node.client_gone(active)

    def extend_deadline(self, count):
        """Extend the time for a request's body by the bytes received.

        Guards against clients that trickle data to hold a slot.
        """
        if self.reader.message:
            self.since = min(self.listener.clock(), self.since + count * SECOND // MIN_BODY_RATE)

    def discard(self, data):
        """Discard input after the last answer, up to a bound.

        Beyond it reading stops: the system keeps the rest unread, and the answer still reaches the
        client.
        """
        self.discarded += len(data)
        if self.discards_body and self.discarded <= http.MAX_STREAMED_BODY:
            self.extend_deadline(len(data))  # the client may read its answer only after sending everything
        elif self.discarded > MAX_READ_AHEAD:
            self.transport.pauseProducing()

    # Reading

    @property
    def busy(self):
        """Whether the next request has to wait."""
        return bool(self.active or self.download or self.flushing or self.read_scheduled)

    def update_reading(self):
        """Pause reading while more than the bound is held, or all connections together hold too much.

        Guards against a client that sends faster than it is answered, and against many that stop half way.
        """
        if self.phase is None:
            return  # the connection has ended, and is charged nothing any more
        memory = self.listener.memory
        memory.update(self)
        if self.reader.has_tiny_chunks:
            self.transport.bufferSize = http.TINY_CHUNKS_READ_SIZE
        if self.upload or self.phase == CLOSING:
            return  # bodies.py and discard() decide
        if self.busy and len(self.reader.buffer) > MAX_READ_AHEAD:
            self.input_paused = True
            self.transport.pauseProducing()
        elif not self.busy and memory.must_wait(self):
            self.transport.pauseProducing()
            memory.pause(self)

    def resume_reading(self):
        """Resume reading, unless the input held is still to be processed, or there is no memory for more."""
        if self.upload or self in self.listener.memory.paused:
            return
        if len(self.reader.buffer) <= MAX_READ_AHEAD:
            self.input_paused = False
            self.transport.resumeProducing()

    def memory_available(self):
        """Resume reading that was paused for want of memory."""
        if self.phase is not None:
            self.resume_reading()

    def held_bytes(self):
        """Return the bytes that are held for this connection."""
        return sum(self.holdings())

    def holdings(self):
        """Return the bytes held as (input, messages, output)."""
        message = self.active.message if self.active else self.reader.message
        return len(self.reader.buffer), message.size if message else 0, buffered_bytes(self.transport)

    # Requests

    def begin(self):
        """Start the time of a request, from when its first bytes were received."""
        self.reprieved = False
        self.listener.put(self, ASKED, self.received_at)

    def read_on(self):
        """Process received data: successive requests, or more of a large body."""
        try:
            if self.upload:
                self.upload.body_received()
            else:
                self.advance()
        except BadMessage as err:
            self.listener.node.count('malformed')
            self.cancel_request()
            self.refuse(err.status, str(err))

    def advance(self):
        """Process the next complete request, or the head of a large one.

        One at a time: what follows is read in a later turn. Raise BadMessage on malformed input.
        """
        if self.busy or self.closed_for or self.phase in (CLOSING, None):
            return
        message = self.reader.take()
        if message is None:
            self.hint()
            if not self.reader.large:
                self.wait_for_more()
                return
            message = self.reader.message
            self.upload = message.source = Upload(self, message)
        self.requests += 1
        self.keep_alive = message.keep_alive
        self.handle(message)
        if self.upload:
            self.begin_upload()

    def wait_for_more(self):
        """Set the phase while no complete request has been received."""
        if self.answered and not self.reader.has_input:
            self.listener.put(self, IDLE)
        else:
            self.listener.put(self, RECEIVING, self.since)

    def begin_upload(self):
        """Start forwarding the body of a large request that the node has accepted."""
        if self.active:
            self.listener.put(self, RECEIVING, self.since)
            self.upload.body_received()

    def handle(self, message):
        """Pass a request to the listener. An internal fault is logged and answered with 500."""
        self.listener.put(self, ASKED, self.since)
        try:
            self.listener.requested(self, message)
        except Exception:
            LOG.exception('fault')
            if self.active:
                self.listener.node.forget(self.active)
            if self.phase == STREAMING:
                self.download.abort()
            else:
                self.refuse(500, 'a fault in the node')

    def hint(self):
        """Answer `Expect: 100-continue`."""
        if self.reader.expects_continue():
            self.transport.write(http.CONTINUE)

    def cancel_request(self):
        """Cancel the current request, of which not everything will be received."""
        active, self.active = self.active, None
        if active:
            self.listener.node.client_gone(active)

    # Answers

    def refuse(self, status, text):
        """Answer with an error and close: what follows a malformed request cannot be read."""
        self.keep_alive, self.closed_for = False, '%d: %s' % (status, text)
        self.reply(http.answer(status, False, text + '\n'))

    def reply(self, pieces):
        """Answer the current request.

        The pieces were written for the current value of `keep_alive`.
        """
        self.active, self.answered = None, True
        data = b''.join(pieces)
        self.refusals += not data.startswith(OK)
        if not waiting(self.transport):
            data = data[send_now(self.transport, data) :]
        self.finish_reply(data)

    def stream(self, answer, minor, until):
        """Answer with a body that is still being received.

        until: limit of the request, in ticks.
        """
        self.active, self.answered = None, True
        begin_download(self, answer, minor, until)

    def finish_reply(self, data):
        """Write the rest of the answer and continue with what follows it."""
        if data:
            self.transport.write(data)
        if self.upload:
            # The body is still being received: closing now would reset the connection and lose the answer.
            self.upload, self.discards_body, self.keep_alive = None, True, False
        if not self.keep_alive:
            self.close_after_reply()
        elif waiting(self.transport):
            self.flushing = True
            self.listener.put(self, STREAMING)
            self.transport.registerProducer(self, False)
        else:
            self.continue_reading()
        self.listener.memory.update(self)

    def resumeProducing(self):
        """Called when the transport is empty: continue once the last answer has left."""
        if not waiting(self.transport):
            self.flushing = False
            self.transport.unregisterProducer()
            self.continue_reading()
            self.listener.memory.update(self)

    def stopProducing(self):
        """Called when the connection ends; handled in connectionLost."""

    def continue_reading(self):
        """Continue with what follows the last answer, in a later turn: many requests may be pipelined."""
        if self.reader.has_input:
            self.received_at = self.listener.clock()
            self.begin()
            self.read_scheduled = True
            self.listener.schedule_read(self)
        else:
            self.listener.put(self, IDLE)
        self.resume_reading()

    # Closing

    def peer_gone(self):
        """Return whether the client has gone, even if that lies unread.

        It cannot be seen while `input_paused`: behind a full receive window the end does not arrive.
        """
        return self.phase is None or peer_closed(self.transport)

    def drop_disconnected(self):
        """Drop a client that has gone, together with its request."""
        self.closed_for = 'client disconnected'
        self.cancel_request()
        self.transport.abortConnection()

    def close_after_reply(self):
        """Close after the last answer.

        The client may close first for a while, as closing with bytes unread would reset the connection
        and lose the answer.
        """
        self.closed_for = self.closed_for or 'closed after answer'
        self.listener.put(self, CLOSING)
        self.reader.discard_input()  # what follows the last answer is not read
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def close_unused(self):
        """Close between requests.

        A request that crosses this is reset unread, and the client sends it again.
        """
        self.closed_for = 'idle'
        self.listener.put(self, CLOSING)
        self.listener.idle_closed_at = self.listener.clock()
        close_now(self.transport)

    def give_up_memory(self):
        """End an incomplete request or an answer that is not read, for want of memory."""
        self.listener.node.count('ended_for_memory')
        log_warning('client ended for memory', phase=self.phase, held=self.charged, requests=self.requests)
        if self.phase == RECEIVING:
            self.cancel_request()
            self.refuse(503, 'no memory for the rest of this request')
        else:
            self.closed_for = 'no memory for an answer that is not read'
            self.transport.abortConnection()

    def finish_close(self):
        """Close once the transport is empty; the system still sends what it has buffered.

        Abort if the transport holds data that the client does not read.
        """
        if waiting(self.transport):
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

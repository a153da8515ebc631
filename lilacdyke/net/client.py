"""One client's connection: requests out of its bytes, one answer to each.

Owns which request is being read or answered on it. Must never decide about a transaction, or let bad input
raise out of it. Large bodies are in bodies.py, how long a connection may stay in a phase in phases.py.
"""

from twisted.internet.protocol import Protocol

from ..values import SECOND
from . import http
from .bodies import Upload, begin_download
from .http import BadMessage, Reader
from .logs import LOG
from .phases import ASKED, CLOSING, FRESH, IDLE, RECEIVING, STREAMING
from .sockets import left, no_delay, push, unread_for, waiting

MIN_BODY_RATE = 16_384  # bytes of a body that give a client a second more for the rest of it
MAX_READ_AHEAD = 2 * http.MAX_BODY  # bytes read ahead of the answer that is owed; then the client is paused


class ClientConnection(Protocol):
    """One client's connection."""

    def __init__(self, listener):
        self.listener, self.reader = listener, Reader(http.REQUEST)
        self.number = None  # its slot at the listener
        self.active = None  # what the node makes of the present request
        self.phase = None  # see phases.py; None once the connection has ended
        self.since = 0  # when its phase began; for a request, when its first byte came
        self.came = 0  # when the last bytes read came to this machine
        self.lasting = True  # whether it carries another request
        self.answered = False  # whether it has had an answer
        self.bad_requests = 0  # requests for what does not exist
        self.upload = None  # a large request whose body still comes
        self.download = None  # a large answer on its way
        self.discards_body = False  # the rest of a large body is read and forgotten
        self.discarded = 0  # bytes read and forgotten since the last answer
        self.spared = False  # whether it has been let be, overdue, as bytes lay unread
        self.closed_for = None  # why this side closes it; None: it does not

    # --- bytes come -------------------------------------------------------------------------------------

    def connectionMade(self):
        no_delay(self.transport)
        self.listener.opened(self)

    def dataReceived(self, data):
        if self.phase == CLOSING:
            self.discard(data)
            return
        if self.phase == RECEIVING:
            self.extend_deadline(len(data))
        self.came = self.listener.clock() - unread_for(self.transport)
        if self.phase in (FRESH, IDLE):
            if self.listener.too_late(self.came, data):
                self.reply(self.listener.refusal(True))
                return
            self.begin()
        self.reader.feed(data)
        self.read_on()
        if (self.active or self.download) and not self.upload and len(self.reader.buffer) > MAX_READ_AHEAD:
            self.transport.pauseProducing()

    def connectionLost(self, reason=None):
        active, self.active = self.active, None
        download, self.download = self.download, None
        self.listener.events.say(
            'client connection closed',
            active and active.name,
            phase=self.phase,
            why=self.closed_for or 'other side',
        )
        self.listener.closed(self)
        if download:
            download.source.drop()
        if active:
            if self.closed_for:
                self.listener.node.guard.closes(active, self.closed_for)
            self.listener.node.client_gone(active)

    def extend_deadline(self, count):
        """Bytes of a request have come. Those of a body give the rest of it time. Guards against one that
        sends as little as keeps it here."""
        if self.reader.message:
            self.since = min(self.listener.clock(), self.since + count * SECOND // MIN_BODY_RATE)

    def discard(self, data):
        """Nothing more is read. Guards against one that goes on sending: the system holds the rest, unread,
        at no cost, and the answer that was written still reaches it."""
        self.discarded += len(data)
        if self.discards_body and self.discarded <= http.MAX_STREAMED_BODY:
            self.extend_deadline(len(data))  # it may read its answer only once all is sent
        elif self.discarded > MAX_READ_AHEAD:
            self.transport.pauseProducing()

    # --- requests ---------------------------------------------------------------------------------------

    def begin(self):
        """The first byte of a request is here: its time runs from when it came."""
        self.spared = False
        self.listener.put(self, ASKED, self.came)

    def read_on(self):
        """Handle what is here, one request after the other, or more of a large body."""
        try:
            if self.upload:
                self.upload.body_came()
            else:
                self.advance()
        except BadMessage as err:
            self.listener.node.count('malformed')
            self.cancel_request()
            self.refuse(err.status, str(err))

    def advance(self):
        """Handle whole requests and the head of a large one. Raises BadMessage."""
        while not self.active and not self.download and self.phase not in (CLOSING, None):
            message = self.reader.take()
            if message is None:
                self.hint()
                if not self.reader.large:
                    self.wait_for_more()
                    return
                message = self.reader.message
                self.upload = message.source = Upload(self, message)
            self.lasting = message.lasting
            self.handle(message)
            if self.upload:
                self.begin_upload()
                return

    def wait_for_more(self):
        """Nothing whole is here."""
        if self.answered and not self.reader.has_input:
            self.listener.put(self, IDLE)
        else:
            self.listener.put(self, RECEIVING, self.since)

    def begin_upload(self):
        """The node has taken a large request, whose body is passed on as it comes."""
        if self.active:
            self.listener.put(self, RECEIVING, self.since)
            self.upload.body_came()

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
                self.download.abort()
            else:
                self.refuse(500, 'a fault in the node')

    def hint(self):
        """A client that asks whether to send its body is told to."""
        if self.reader.hint():
            self.transport.write(http.CONTINUE)

    def cancel_request(self):
        """The present request will not come whole: nothing that was sent of it ran."""
        active, self.active = self.active, None
        if active:
            self.listener.node.client_gone(active)

    # --- answers ----------------------------------------------------------------------------------------

    def refuse(self, status, text):
        """The request cannot be read: what follows it cannot either."""
        self.lasting, self.closed_for = False, '%d: %s' % (status, text)
        self.reply(http.answer(status, False, text + '\n'))

    def reply(self, pieces):
        """The one answer to the present request; pieces were written for a connection that lasts as told."""
        self.active, self.answered = None, True
        data = b''.join(pieces)
        if not waiting(self.transport):
            data = data[push(self.transport, data) :]
        self.finish_reply(data)

    def stream(self, answer, minor, until):
        """The same, of which only the beginning is here. until: the limit of its request, in ticks."""
        self.active, self.answered = None, True
        begin_download(self, answer, minor, until)

    def finish_reply(self, data):
        """The rest of the answer, and what follows it."""
        if data:
            self.transport.write(data)
        if self.upload:
            # Its body still comes: closing on it would take the answer back.
            self.upload, self.discards_body, self.lasting = None, True, False
        if not self.lasting:
            self.close_after_reply()
        elif self.reader.has_input:
            self.came = self.listener.clock()
            self.begin()
            self.listener.again(self)  # in a turn of its own: many small requests may stand here
        else:
            self.listener.put(self, IDLE)
        self.transport.resumeProducing()

    # --- its end ----------------------------------------------------------------------------------------

    def left(self):
        """Whether the client has gone, though nobody has read that yet."""
        return self.phase is None or left(self.transport)

    def see_off(self):
        """The client was found to have gone: its request is not sent on."""
        self.closed_for = 'client had gone'
        self.cancel_request()
        self.transport.abortConnection()

    def close_after_reply(self):
        """Close once the last answer is written. The client is let close first, for a while: ending with
        bytes unread would reset the connection, and with it the answer."""
        self.closed_for = self.closed_for or 'the answer was its last'
        self.listener.put(self, CLOSING)
        self.transport.loseWriteConnection()

    def close_unused(self):
        """Close between requests. One that crosses this is reset unread, and the client sends it anew."""
        self.closed_for = 'idle'
        self.listener.put(self, CLOSING)
        self.listener.idle_closed_at = self.listener.clock()
        self.transport.loseConnection()

    def finish_close(self):
        """Close behind its last answer, of which the system sends on what it still holds. A reset would take
        that back."""
        if waiting(self.transport):
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

"""Large bodies of one client: a request's on its way to a server, an answer's on its way to the client.

Owns what is under way and its deadline. A request's time runs once its last byte may have come; an
answer that its server still gives is never broken off. Must never hold more than the transports and one read
of a body.
"""

from . import http
from .flow import STALL_TIMEOUT, Flow
from .phases import ASKED, LOOK, MAX_BODY_PAUSE, STREAMING
from .sockets import quiet, unread_for


class Upload:
    """A large request: the source of its body for the connection that carries it."""

    def __init__(self, client, message):
        self.client, self.message = client, message
        self.link = None  # the connection to a server that the body goes to, once there is one
        self.reading_paused = False  # whether this side keeps the body unread
        self.paused_since = 0  # when this side last stopped reading it
        self.deadline_set = False  # whether a deadline is set for a held body

    def body_came(self):
        """More of the body is here: on to the server, or held and not read on until a connection carries it.
        Raises BadMessage."""
        reader = self.client.reader
        if not self.link:
            if not reader.whole and len(self.message.body) + len(reader.buffer) > http.MAX_BODY:
                self.pause()
            return
        data, whole, link = reader.piece(), reader.whole, self.link
        client = self.client
        if whole:
            self.link = client.upload = None
            reader.reset()
            client.listener.put(client, ASKED)
        link.body(data, whole)
        if whole and client.active:
            client.listener.node.body_came(client.active, client.came)

    def attach(self, link):
        """A connection carries the request: its body goes there from here on, and nowhere else."""
        self.link = link
        self.client.listener.node.body_spent(self.client.active)
        self.progressed()
        self.resume()
        self.client.listener.again(self.client)

    def detach(self, link):
        """The attempt that carried it has ended."""
        if self.link is link:
            self.link = None

    def progressed(self):
        """The server takes more again: it was not the client that was slow."""
        client = self.client
        client.since = max(client.since, client.listener.clock() - MAX_BODY_PAUSE // 2)

    def pause(self):
        """Nothing more is read for now. Its last byte may lie unread all the same, so its time runs."""
        self.client.transport.pauseProducing()
        self.reading_paused, self.paused_since = True, self.client.listener.clock()
        if not self.deadline_set:
            self.set_deadline(self.time_up())

    def resume(self):
        """Read on."""
        self.reading_paused = False
        self.client.transport.resumeProducing()

    def set_deadline(self, when):
        """Look at a held body at that time."""
        self.deadline_set = True
        self.client.listener.deadlines.at(when, self.client.listener.upload_due, self.client.number)

    def time_up(self):
        """When its limit is, should the bytes that came last be the last of its request."""
        client = self.client
        wait = client.active.wait if client.active else 0
        # What comes while nothing is read had been written before: a full window lets it in late.
        came = min(self.paused_since, client.listener.clock() - unread_for(client.transport))
        return came + wait

    def due(self):
        """Guards against a request whose last byte came while a server, or a connection to one, kept its body
        waiting: its client has a limit like any other."""
        self.deadline_set = False
        client = self.client
        if not self.reading_paused or not client.active:
            return
        now = client.listener.clock()
        when = self.time_up()
        if now >= when:
            client.listener.node.time_up(client.active)
        else:
            self.set_deadline(when)


class Download:
    """A large answer: the sink of what its server gives."""

    def __init__(self, client, answer, in_chunks, until):
        self.client, self.source = client, answer.source
        self.until = until  # the limit of its request; None: it has none yet
        self.flow = Flow(self.source, client.transport, in_chunks, self.progressed)
        self.source.sink = self

    def begin(self):
        """Pass on what is here, and set the deadline."""
        if self.until is not None:
            self.set_deadline(self.until)
        self.source.stream()

    def set_deadline(self, when):
        """Look at whether it still comes at that time."""
        self.client.listener.deadlines.at(when, self.client.listener.download_due, self.client.number)

    def progressed(self):
        """The client takes more again."""
        self.client.since = self.client.listener.clock()

    def write_body(self, data):
        """A piece of it."""
        self.progressed()
        self.flow.pass_on(data)

    def finish_body(self):
        """That was all."""
        self.client.download = None
        self.client.finish_reply(self.flow.end())

    def abort(self):
        """It will not be whole, and the client must not take it for that."""
        self.client.download = None
        self.flow.stop()
        self.client.listener.node.count('broken_off')
        self.client.closed_for = 'answer broken off'
        self.client.transport.abortConnection()

    def cut_off(self):
        """Nothing more is waited for: its server is told so, and its client."""
        self.source.drop()
        self.abort()

    def due(self):
        """Its time is up, and its first bytes came in time. Guards against one of which no more comes: its
        client can tell that it is not whole. What its server still gives goes on, as cutting it off would
        lose it."""
        now, since = self.client.listener.clock(), self.client.since
        if self.until is None or now < self.until:
            return
        silent = not self.flow.paused and now >= since + STALL_TIMEOUT
        if silent and quiet(self.source.transport):
            self.cut_off()
        else:
            self.set_deadline(max(now + LOOK, since + STALL_TIMEOUT))


def begin_download(client, answer, minor, until):
    """Send the head of a large answer to a client of HTTP/1.minor; its body follows as it comes."""
    in_chunks = minor == b'1'
    client.lasting = client.lasting and (in_chunks or answer.length is not None)
    client.listener.put(client, STREAMING)
    client.transport.write(http.relayed_head(answer, client.lasting, in_chunks))
    client.download = Download(client, answer, in_chunks and answer.length is None, until)
    client.download.begin()

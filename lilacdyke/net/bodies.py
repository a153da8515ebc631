"""Streaming of large request and answer bodies for a client connection.

Holds the transfers in progress and their deadlines. A request's time runs from when its last byte may
have been received; an answer is never aborted while its server is still sending. Buffers no more than
the transports do, plus one read of a body.
"""

from . import http
from .flow import STALL_TIMEOUT, Flow
from .phases import ASKED, LOOK, MAX_BODY_PAUSE, STREAMING
from .sockets import flush, nothing_unread, time_unread

# Bytes that the buffers of both systems may hold of a body: tcp_wmem and tcp_rmem of Linux (tcp(7)).
MAX_IN_TRANSIT = 10 << 20


class Upload:
    """Large request: source of its body for the connection that carries it."""

    def __init__(self, client, message):
        self.client, self.message = client, message
        self.link = None  # connection to the server that receives the body; None: not assigned yet
        self.reading_paused = False  # whether the body is left unread
        self.paused_since = self.resumed_at = 0  # when reading was last paused, and resumed
        # When the client may have written its last byte; grows while this side waits for the client.
        self.written_at = None
        self.deadline_set = False  # whether a check of the paused body is scheduled

    def body_received(self):
        """Handle received body data: forward it to the server, or pause reading until a connection
        carries the request. Raise BadMessage if the body is malformed.
        """
        reader = self.client.reader
        if not self.link:
            if not reader.whole and len(self.message.body) + len(reader.buffer) > self.most_held():
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
            client.listener.node.body_received(client.active, self.last_byte_at())

    def most_held(self):
        """Return how many bytes of the body are held until a connection carries the request."""
        memory = self.client.listener.memory
        return memory.piece_size if memory.exhausted else http.MAX_BODY

    def attach(self, link):
        """Attach the connection that carries the request; the body goes to it and to no other from here
        on.
        """
        self.link = link
        self.client.listener.node.body_sent(self.client.active)
        self.progressed()
        self.resume()
        self.client.listener.schedule_read(self.client)

    def detach(self, link):
        """Detach the connection when its attempt ends."""
        if self.link is link:
            self.link = None

    def progressed(self):
        """Called when the server accepts data again: the delay was not the client's."""
        client = self.client
        client.since = max(client.since, client.listener.clock() - MAX_BODY_PAUSE // 2)

    def pause(self):
        """Pause reading from the client.

        The last byte of the body may already lie unread, so the request's time runs.
        """
        self.client.transport.pauseProducing()
        if not self.reading_paused:
            self.reading_paused, self.paused_since = True, self.client.listener.clock()
            self.record_pause(self.paused_since)
        if not self.deadline_set:
            self.set_deadline(self.body_timed_out())

    def record_pause(self, now):
        """Record since when the client may have written its last byte.

        Guards against a request's time that starts anew with each pause, while all of its body has long been
        written and lies in the buffers of both systems.
        """
        if self.written_at is not None:
            self.written_at += now - self.resumed_at
        elif self.client.reader.remaining <= MAX_IN_TRANSIT:
            self.written_at = now

    def resume(self):
        """Resume reading from the client."""
        if self.reading_paused:
            self.reading_paused, self.resumed_at = False, self.client.listener.clock()
        self.client.transport.resumeProducing()

    def set_deadline(self, when):
        """Schedule a check of the paused body."""
        self.deadline_set = True
        self.client.listener.deadlines.at(when, self.client.listener.upload_due, self.client.number)

    def body_timed_out(self):
        """Return when the request's limit ends, assuming that the last bytes received complete it."""
        client = self.client
        wait = client.active.wait if client.active else 0
        written_at = self.paused_since if self.written_at is None else self.written_at
        # Bytes that arrive while reading is paused were sent earlier and delayed by a full receive window.
        return min(written_at, client.listener.clock() - time_unread(client.transport)) + wait

    def last_byte_at(self):
        """Return when the client has written the last byte, which has been read now."""
        received_at = self.client.received_at
        if self.written_at is None:
            return received_at
        unpaused = 0 if self.reading_paused else self.client.listener.clock() - self.resumed_at
        return min(received_at, self.written_at + unpaused)

    def due(self):
        """End the request if its limit has passed while reading was paused.

        Guards against clients that wait beyond their limit because a server, or a connection to one,
        holds up their body.
        """
        self.deadline_set = False
        client = self.client
        if not self.reading_paused or not client.active:
            return
        now = client.listener.clock()
        when = self.body_timed_out()
        if now >= when:
            client.listener.node.body_timed_out(client.active)
        else:
            self.set_deadline(when)


class Download:
    """Large answer: sink for the body that its server sends."""

    def __init__(self, client, answer, in_chunks, until):
        self.client, self.source = client, answer.source
        self.until = until  # limit of the request; None: none yet
        self.flow = Flow(
            self.source, client.transport, in_chunks, self.progressed, client.listener.memory.piece_size
        )
        self.source.sink = self

    def begin(self):
        """Set the deadline and start forwarding."""
        if self.until is not None:
            self.set_deadline(self.until)
        self.source.stream()

    def set_deadline(self, when):
        """Schedule a check of whether the answer is still being sent."""
        self.client.listener.deadlines.at(when, self.client.listener.download_due, self.client.number)

    def progressed(self):
        """Called when the client accepts data again."""
        self.client.since = self.client.listener.clock()

    def write_body(self, data):
        """Forward a piece of the body."""
        self.progressed()
        self.flow.pass_on(data)
        self.client.listener.memory.update(self.client)

    def finish_body(self):
        """Finish the answer after the last piece of the body."""
        self.client.download = None
        self.client.finish_reply(self.flow.end())

    def abort(self):
        """Abort the client's connection, so that the client sees that the answer is incomplete.

        What the transport has buffered is sent first. Guards against a connection that ends with no byte of
        the answer: it looks like one closed while idle, and the client would send its request once more.
        """
        self.client.download = None
        self.flow.stop()
        flush(self.client.transport)
        self.client.listener.node.count('broken_off')
        self.client.closed_for = 'streamed answer aborted'
        self.client.transport.abortConnection()

    def abort_both(self):
        """Drop the server's connection and abort the client's."""
        self.source.drop()
        self.abort()

    def due(self):
        """Check an answer whose limit has passed.

        It is aborted if the server has stalled, so that the client sees that it is incomplete; an
        answer that is still being sent continues.
        """
        now, since = self.client.listener.clock(), self.client.since
        if self.until is None or now < self.until:
            return
        silent = not self.flow.paused and now >= since + STALL_TIMEOUT
        if silent and nothing_unread(self.source.transport):
            self.abort_both()
        else:
            self.set_deadline(max(now + LOOK, since + STALL_TIMEOUT))


def begin_download(client, answer, minor, until):
    """Send the head of a large answer to a client of HTTP/1.minor; the body is forwarded as it arrives.

    The head and the first piece are passed to the system at once: the attempt counts as committed from here
    on, so the client has to receive them whatever the server does next.
    """
    in_chunks = minor == b'1'
    client.keep_alive = client.keep_alive and (in_chunks or answer.length is not None)
    client.listener.put(client, STREAMING)
    client.transport.write(http.relayed_head(answer, client.keep_alive, in_chunks))
    client.download = Download(client, answer, in_chunks and answer.length is None, until)
    client.download.begin()
    flush(client.transport)

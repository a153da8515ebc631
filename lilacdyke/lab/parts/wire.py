"""HTTP/1.1 as the stand-ins speak it: requests in, answers out, and the other way round.

Owns a reader of its own, apart from the node's: a fault in one must not hide in the other. Must never be
lenient where the protocol page is strict, nor decide what is answered.
"""

from zlib import crc32

from twisted.internet.protocol import Protocol

LARGE_BODY = 65_536  # bytes of an answer from which its first ones are timed


class MalformedMessage(Exception):
    """Bytes that are no message."""


class Parser:
    """Messages out of a stream: (first line's words, fields, body) each, fields by lower-case name."""

    __slots__ = ('buffer', 'head', 'body_length', 'scanned', 'chunks')

    def __init__(self):
        self.buffer, self.head, self.body_length, self.scanned = bytearray(), None, 0, 0
        self.chunks = None  # the data of a chunked body so far

    def feed(self, data):
        self.buffer += data

    def next_message(self):
        """The next one, or None."""
        if self.head is None:
            end = self.buffer.find(b'\r\n\r\n', max(0, self.scanned - 3))
            self.scanned = len(self.buffer)
            if end < 0:
                if len(self.buffer) > 65_536:
                    raise MalformedMessage('endless head')
                return None
            self.head = self.parse(bytes(self.buffer[:end]))
            del self.buffer[: end + 4]
            self.scanned = 0
            self.frame(self.head[1])
        body = self.fixed_body() if self.chunks is None else self.chunked_body()
        if body is None:
            return None
        (start_line, fields), self.head, self.chunks = self.head, None, None
        return start_line, fields, body

    def frame(self, fields):
        """How long the body is."""
        length, coding = fields.get('content-length', '0'), fields.get('transfer-encoding')
        if not length.isdigit() or coding not in (None, 'chunked') or coding and 'content-length' in fields:
            raise MalformedMessage('length')
        self.body_length = int(length)
        if coding:
            self.chunks = bytearray()

    def fixed_body(self):
        """The body, if all of it is here."""
        if len(self.buffer) < self.body_length:
            return None
        body = bytes(self.buffer[: self.body_length])
        del self.buffer[: self.body_length]
        return body

    def chunked_body(self):
        """The same of a body in chunks, which nobody here ends with a trailer."""
        while (end := self.buffer.find(b'\r\n')) >= 0:
            try:
                size = int(self.buffer[:end], 16)
            except ValueError:
                raise MalformedMessage('chunk size') from None
            if len(self.buffer) < end + 2 + size + 2:
                return None
            if self.buffer[end + 2 + size : end + 4 + size] != b'\r\n':
                raise MalformedMessage('chunk end')
            self.chunks += self.buffer[end + 2 : end + 2 + size]
            del self.buffer[: end + 4 + size]
            if not size:
                return bytes(self.chunks)
        return None

    @property
    def begun_large(self):
        """Whether the beginning of a message is here that is large, or may be."""
        return self.head is not None and (self.body_length > LARGE_BODY or self.chunks is not None)

    @staticmethod
    def parse(head):
        first, *rest = head.decode('latin-1').split('\r\n')
        start_line, fields = first.split(' ', 2), {}
        if len(start_line) < 3:
            raise MalformedMessage('first line %r' % first[:80])
        for line in rest:
            name, colon, value = line.partition(':')
            if not colon or not name or name != name.strip():
                raise MalformedMessage('line %r' % line[:80])
            fields[name.lower()] = value.strip()
        return start_line, fields


class HttpConnection(Protocol):
    """A connection's end that reads messages: a subclass has message(words, fields, body), and bad(err)."""

    def __init__(self):
        self.parser, self.begun, self.up = Parser(), None, False

    def clock(self):
        """Microseconds of the run."""
        raise NotImplementedError

    def connectionMade(self):
        self.up = True
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        if self.begun is None:
            self.begun = self.clock()  # of the message that these bytes belong to
        parser = self.parser
        parser.feed(data)
        try:
            while True:
                got = parser.next_message()
                if got is None:
                    break
                begun, self.begun = self.begun, self.clock() if parser.buffer else None
                self.on_message(begun, *got)
        except MalformedMessage as err:
            self.on_malformed(err)
        if not parser.buffer and parser.head is None:
            self.begun = None

    def connectionLost(self, reason=None):
        self.up = False
        self.on_close()

    def on_close(self):
        """The connection is over."""

    def on_malformed(self, err):
        self.transport.abortConnection()

    def put(self, data):
        """Write, if there is somebody to write to."""
        if self.up:
            self.transport.write(data)


def answer(status, body=b'', headers=''):
    """An answer's bytes."""
    return ('HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n' % (status, headers, len(body))).encode() + body


def chunked_answer(body, headers, size):
    """A good answer in chunks of a size."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return (
        b'HTTP/1.1 200 X\r\n%sTransfer-Encoding: chunked\r\n\r\n' % headers.encode()
        + b''.join(b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces)
        + b'0\r\n\r\n'
    )


def close_delimited_answer(body, headers):
    """A good answer that lasts until the connection ends."""
    return b'HTTP/1.1 200 X\r\n%sConnection: close\r\n\r\n' % headers.encode() + body


def request(method, path, fields, body=b''):
    """A request's bytes."""
    lines = ''.join('%s: %s\r\n' % pair for pair in fields)
    if body or method != 'GET':
        lines += 'Content-Length: %d\r\n' % len(body)
    return ('%s %s HTTP/1.1\r\n%s\r\n' % (method, path, lines)).encode() + body


def digest(body):
    """What tells bodies apart in a record."""
    return '%08x%x' % (crc32(body), len(body))

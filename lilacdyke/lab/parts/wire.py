"""HTTP/1.1 of the simulated clients and servers: parsing, framing and connections.

The parser is independent of the node's, so that a fault in one is not hidden by the same fault in the other.
It is as strict as the node's protocol.
"""

from zlib import crc32

from twisted.internet.protocol import Protocol

LARGE_BODY = 65_536  # bytes; for larger answers the arrival of the first byte is recorded


class MalformedMessage(Exception):
    """Raised for data that is not an HTTP/1.1 message."""


class Parser:
    """Splits a stream into messages: (words of the start line, fields by lower-case name, body)."""

    __slots__ = ('buffer', 'head', 'body_length', 'scanned', 'chunks')

    def __init__(self):
        self.buffer, self.head, self.body_length, self.scanned = bytearray(), None, 0, 0
        self.chunks = None  # data of a chunked body so far, or None

    def feed(self, data):
        self.buffer += data

    def next_message(self):
        """Return the next complete message, or None."""
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
        """Determine the framing of the body."""
        length, coding = fields.get('content-length', '0'), fields.get('transfer-encoding')
        if not length.isdigit() or coding not in (None, 'chunked') or coding and 'content-length' in fields:
            raise MalformedMessage('length')
        self.body_length = int(length)
        if coding:
            self.chunks = bytearray()

    def fixed_body(self):
        """Return a body of known length, or None if it is incomplete."""
        if len(self.buffer) < self.body_length:
            return None
        body = bytes(self.buffer[: self.body_length])
        del self.buffer[: self.body_length]
        return body

    def chunked_body(self):
        """Return a chunked body, or None if it is incomplete. Trailers are not supported."""
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
        """Return whether a message has begun that is large or of unknown length."""
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
    """Base of connections that read messages; subclasses define on_message()."""

    def __init__(self):
        self.parser, self.begun, self.up = Parser(), None, False

    def clock(self):
        """Return the time of the run in microseconds."""
        raise NotImplementedError

    def connectionMade(self):
        self.up = True
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data):
        if self.begun is None:
            self.begun = self.clock()  # arrival of the first byte of the current message
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
        """Handle the end of the connection."""

    def on_malformed(self, err):
        self.transport.abortConnection()

    def put(self, data):
        """Write data if the connection is open."""
        if self.up:
            self.transport.write(data)


def answer(status, body=b'', headers=''):
    """Return the bytes of an answer with Content-Length."""
    return ('HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n' % (status, headers, len(body))).encode() + body


def chunked_answer(body, headers, size):
    """Return the bytes of a chunked 200 answer."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return (
        b'HTTP/1.1 200 X\r\n%sTransfer-Encoding: chunked\r\n\r\n' % headers.encode()
        + b''.join(b'%x\r\n%s\r\n' % (len(piece), piece) for piece in pieces)
        + b'0\r\n\r\n'
    )


def close_delimited_answer(body, headers):
    """Return the bytes of a 200 answer whose body ends with the connection."""
    return b'HTTP/1.1 200 X\r\n%sConnection: close\r\n\r\n' % headers.encode() + body


def request(method, path, fields, body=b''):
    """Return the bytes of a request."""
    lines = ''.join('%s: %s\r\n' % pair for pair in fields)
    if body or method != 'GET':
        lines += 'Content-Length: %d\r\n' % len(body)
    return ('%s %s HTTP/1.1\r\n%s\r\n' % (method, path, lines)).encode() + body


def digest(body):
    """Return a checksum that identifies a body in a record."""
    return '%08x%x' % (crc32(body), len(body))

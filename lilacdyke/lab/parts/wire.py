"""HTTP/1.1 as the stand-ins speak it: requests in, answers out, and the other way round.

Owns a reader of its own, apart from the node's: a fault in one must not hide in the other. Must never be lenient where
the protocol page is strict, nor decide what is answered.
"""

from zlib import crc32

from twisted.internet.protocol import Protocol


class Malformed(Exception):
    """Bytes that are no message."""


class Parser:
    """Messages out of a stream: (first line's words, fields, body) each, fields by lower-case name."""

    __slots__ = ('buffer', 'head', 'need', 'scanned')

    def __init__(self):
        self.buffer, self.head, self.need, self.scanned = bytearray(), None, 0, 0

    def feed(self, data):
        self.buffer += data

    def take(self):
        """The next one, or None; for a chunked one see Lines."""
        if self.head is None:
            end = self.buffer.find(b'\r\n\r\n', max(0, self.scanned - 3))
            self.scanned = len(self.buffer)
            if end < 0:
                if len(self.buffer) > 65_536:
                    raise Malformed('endless head')
                return None
            self.head = self.parse(bytes(self.buffer[:end]))
            del self.buffer[:end + 4]
            self.scanned = 0
            length = self.head[1].get('content-length', '0')
            if not length.isdigit():
                raise Malformed('length')
            self.need = int(length)
        if len(self.buffer) < self.need:
            return None
        body = bytes(self.buffer[:self.need])
        del self.buffer[:self.need]
        (words, fields), self.head = self.head, None
        return words, fields, body

    @staticmethod
    def parse(head):
        first, *rest = head.decode('latin-1').split('\r\n')
        words, fields = first.split(' ', 2), {}
        if len(words) < 3:
            raise Malformed('first line %r' % first[:80])
        for line in rest:
            name, colon, value = line.partition(':')
            if not colon or not name or name != name.strip():
                raise Malformed('line %r' % line[:80])
            fields[name.lower()] = value.strip()
        return words, fields


class Talker(Protocol):
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
            self.begun = self.clock()           # of the message that these bytes belong to
        parser = self.parser
        parser.feed(data)
        try:
            while True:
                got = parser.take()
                if got is None:
                    break
                begun, self.begun = self.begun, self.clock() if parser.buffer else None
                self.message(begun, *got)
        except Malformed as err:
            self.bad(err)
        if not parser.buffer and parser.head is None:
            self.begun = None

    def connectionLost(self, reason=None):
        self.up = False
        self.ended()

    def ended(self):
        """The connection is over."""

    def bad(self, err):
        self.transport.abortConnection()

    def put(self, data):
        """Write, if there is somebody to write to."""
        if self.up:
            self.transport.write(data)


def answer(status, body=b'', more=''):
    """An answer's bytes."""
    return ('HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n' % (status, more, len(body))).encode() + body


def request(method, path, fields, body=b''):
    """A request's bytes."""
    lines = ''.join('%s: %s\r\n' % pair for pair in fields)
    if body or method != 'GET':
        lines += 'Content-Length: %d\r\n' % len(body)
    return ('%s %s HTTP/1.1\r\n%s\r\n' % (method, path, lines)).encode() + body


def digest(body):
    """What tells bodies apart in a record."""
    return '%08x%x' % (crc32(body), len(body))

"""HTTP/1.1 message parsing and serialization, independent of sockets.

Reads requests and answers incrementally from a byte stream, enforces size limits and framing rules, and
selects the header lines that are forwarded to the next hop. Heads are matched in place in the buffer
and forwarded as slices. Malformed input raises BadMessage with the status to send to a client.
"""

import re

MAX_HEAD, MAX_BODY, MAX_LINE = 16_384, 65_536, 1_024  # larger bodies are streamed
MAX_STREAMED_BODY = 32 << 20
REQUEST = re.compile(rb'([A-Za-z]+) ([!-~]+) HTTP/1\.([01])\r\n')
ANSWER = re.compile(rb'HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\r\n\0]*)?\r\n')
FIELD_FORM = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*\r\n"
FIELD = re.compile(FIELD_FORM)
FIELDS = re.compile(rb'(?:' + FIELD_FORM + rb')*+')
SIZE = re.compile(rb'([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n\0]*)?\r\n')
BODYLESS_STATUS = re.compile(rb'1|204|304')  # statuses without a body
DIGITS = re.compile(rb'[0-9]{1,12}\Z')
# Header fields that apply to one connection only, or that each hop writes itself.
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'transfer-encoding',
        b'te',
        b'trailer',
        b'upgrade',
        b'expect',
        b'content-length',
        b'req-deadline',
    )
)
SINGLE_VALUED = frozenset(
    (b'host', b'req-id', b'req-deadline', b'req-owner', b'idempotency-key', b'srv-declined')
)
# Header fields that are read here; of all others only the form is checked.
READ_FIELDS = HOP_BY_HOP | SINGLE_VALUED | {b'srv-cache'}
LINE_STARTS = [(name, b'\n' + name + b':') for name in sorted(READ_FIELDS)]
BODY_HEADER = re.compile(rb'(?i)\n(?:content-length|transfer-encoding)[ \t]*:')  # announces a body
LENGTH_HEADER = re.compile(rb'(?i)\ncontent-length:[ \t]*([0-9]{1,12})[ \t]*\r\n')
ORIGIN_PREFIX = re.compile(rb'(?i:https?)://[^/?#]*')
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    409: 'Conflict',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class BadMessage(Exception):
    """Raised for a message that cannot be parsed; status is the answer for a client that sent it."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status


class Message:
    """Request or answer: the parts of its first line, the header fields that are read here, and its body.

    Of other fields only the head's bytes are kept, so that a message takes little more memory than its bytes.
    """

    __slots__ = (
        'head',
        'target_end',
        'fields_begin',
        'parts',
        'fields',
        'hop_by_hop',
        'body',
        'length',
        'source',
    )

    def __init__(self, head, first):
        self.head = head
        self.parts = first.groups()
        self.target_end = first.end(2)  # offset of the end of the request target, or of the status code
        self.fields_begin = first.end()
        self.fields = {}
        self.hop_by_hop = []  # spans in the head of the lines that apply to this connection only
        self.body = b''
        self.length = 0  # of the body; None: unknown
        self.source = None  # what a streamed body is read from; None: the body is buffered

    def field(self, name):
        """Return the value of a header field, or None."""
        return self.fields.get(name)

    def tokens(self, name):
        """Return the comma-separated tokens of a header field in lower case."""
        value = self.fields.get(name)
        return {word.strip().lower() for word in value.split(b',')} - {b''} if value else frozenset()

    @property
    def path(self):
        """The request target without scheme, authority and query."""
        target = self.parts[1]
        if not target.startswith(b'/'):
            target = ORIGIN_PREFIX.sub(b'', target, 1) or b'/'
        return target.partition(b'?')[0]

    @property
    def keep_alive(self):
        """Whether the connection stays open after this message."""
        words = self.tokens(b'connection')
        minor = self.parts[2] if len(self.parts) == 3 else self.parts[0]
        return b'close' not in words and (minor == b'1' or b'keep-alive' in words)

    @property
    def size(self):
        """Bytes that it holds."""
        return len(self.head) + len(self.body)

    def forwarded_lines(self):
        """Return the header lines to forward to the next hop, as the fewest possible slices of the
        head.
        """
        slices, at = [], self.fields_begin
        for begin, end in sorted(self.hop_by_hop + self.listed_lines()):
            if begin > at:
                slices.append(self.head[at:begin])
            at = max(at, end)
        end = len(self.head) - len(b'\r\n')
        if at < end:
            slices.append(self.head[at:end])
        return slices

    def listed_lines(self):
        """Return the spans of the lines whose fields the Connection field lists."""
        listed = self.tokens(b'connection')
        if not listed - {b'close', b'keep-alive'}:
            return []
        spans = (line.span() for line in FIELD.finditer(self.head, self.fields_begin))
        return [(begin, end) for begin, end in spans if self.field_name(begin) in listed]

    def field_name(self, begin):
        """Return the name of the header field whose line begins here, in lower case."""
        return self.head[begin : self.head.index(b':', begin)].lower()


def read_head(buffer, end, first):
    """Parse the message head in buffer[:end], which includes the closing empty line."""
    begun = first.match(buffer, 0, end)
    if not begun:
        raise BadMessage(400, 'first line out of form')
    message = Message(bytes(memoryview(buffer)[:end]), begun)
    if FIELDS.match(message.head, begun.end()).end() != end - len(b'\r\n'):
        raise BadMessage(400, 'header line out of form')
    add_fields(message)
    return message


def add_fields(message):
    """Add the header fields that are read here to a message."""
    head = message.head
    lowered = head.lower()
    for name, start in LINE_STARTS:
        at = lowered.find(start, message.fields_begin - 1)
        while at >= 0:
            end = head.index(b'\r\n', at + 1)
            if name in HOP_BY_HOP:
                message.hop_by_hop.append((at + 1, end + 2))
            add_field(message.fields, name, head[at + len(start) : end].strip(b' \t'))
            at = lowered.find(start, end)


def add_field(fields, name, value):
    """Add one header field: a further value of a list, or a repetition of the only value."""
    if name not in fields:
        fields[name] = value
    elif name not in SINGLE_VALUED:
        fields[name] += b', ' + value
    elif fields[name] != value:
        raise BadMessage(400, 'header field twice')


def is_single_read(data):
    """Return whether the bytes look like exactly one GET request without a body."""
    return (
        data.startswith(b'GET ') and data.find(b'\r\n\r\n') == len(data) - 4 and not BODY_HEADER.search(data)
    )


def single_request(data):
    """Return the message if the bytes are exactly one request that is whole, or None.

    Raise BadMessage if they cannot be read as a request.
    """
    reader = Reader(REQUEST)
    reader.feed(data)
    message = reader.take()
    return None if reader.has_input else message


def is_single_request(data):
    """Return whether the bytes look like exactly one GET or PUT request that is whole."""
    if not data.startswith(b'PUT '):
        return is_single_read(data)
    end = data.find(b'\r\n\r\n') + 4
    framings = BODY_HEADER.findall(data, 0, end)
    length = LENGTH_HEADER.search(data, 0, end)
    return end > 3 and len(framings) == 1 and bool(length) and len(data) == end + int(length[1])


MANY_CHUNKS, TINY_CHUNK = 256, 64  # chunks; mean bytes of each
TINY_CHUNKS_READ_SIZE = 2_048  # bytes read in a turn of the event loop of a body in tiny chunks


class Chunks:
    """Decoder for a chunked body."""

    __slots__ = ('left', 'size', 'count', 'max_size', 'trailer', 'ended')

    def __init__(self, max_size):
        # left: bytes of this chunk with its line end; size: bytes so far
        self.left, self.size, self.max_size = 0, 0, max_size
        self.count = 0  # chunks so far
        self.trailer, self.ended = 0, False

    @property
    def are_tiny(self):
        """Whether the body comes in so many small chunks that decoding it takes long."""
        return self.count >= MANY_CHUNKS and self.size < self.count * TINY_CHUNK

    def read(self, buffer):
        """Consume what is available in the buffer and return the decoded data."""
        data = bytearray()
        while not self.ended:
            if self.left > 2:
                piece = buffer[: self.left - 2]
                data += piece
                del buffer[: len(piece)]
                self.left -= len(piece)
                if self.left > 2:
                    break
            if self.left:
                if len(buffer) < 2 and b'\r\n'.startswith(buffer):
                    break
                if not buffer.startswith(b'\r\n'):
                    raise BadMessage(400, 'chunk without its end')
                del buffer[:2]
                self.left = 0
            if not self.next_chunk(buffer):
                break
        return data

    def next_chunk(self, buffer):
        """Read a chunk size or trailer line; return False if the line is incomplete."""
        end = buffer.find(b'\n') + 1
        if (end or len(buffer)) > MAX_LINE:
            raise BadMessage(400, 'chunk line too long')
        if not end:
            return False
        if self.trailer:
            self.trailer += end
            if self.trailer > MAX_HEAD or not (FIELD.fullmatch(buffer, 0, end) or buffer[:end] == b'\r\n'):
                raise BadMessage(400, 'trailer out of form')
            self.ended = end == 2
        else:
            line = SIZE.fullmatch(buffer, 0, end)
            if not line:
                raise BadMessage(400, 'chunk size out of form')
            size = int(line[1], 16)
            self.size, self.count = self.size + size, self.count + 1
            if self.max_size is not None and self.size > self.max_size:
                raise BadMessage(413, 'body too large')
            self.left, self.trailer = (size + 2, 0) if size else (0, 1)
        del buffer[:end]
        return True


class Reader:
    """Incremental parser for one direction of a connection.

    Call feed() with received bytes, then take() until it returns None.
    """

    __slots__ = ('first', 'max_size', 'buffer', 'scanned', 'message', 'remaining', 'chunks', 'until_close')

    def __init__(self, first, max_size=MAX_STREAMED_BODY):
        self.first, self.max_size = first, max_size  # first: pattern of the first line, REQUEST or ANSWER
        self.buffer = bytearray()
        self.reset()

    def reset(self):
        self.scanned, self.message, self.remaining, self.chunks = 0, None, 0, None
        self.until_close = False  # whether the body extends to the end of the connection

    def discard_input(self):
        """Discard the input held; the current message keeps its head."""
        self.buffer = bytearray()
        if self.message:
            self.message.body = b''

    @property
    def has_input(self):
        """Whether part of a message has been received."""
        return self.message is not None or bool(self.buffer)

    @property
    def large(self):
        """Whether the current message's body is too large to be buffered whole."""
        return self.message is not None and max(self.remaining, len(self.message.body)) > MAX_BODY

    @property
    def has_tiny_chunks(self):
        """Whether the current body comes in so many small chunks that little of it should be read a turn."""
        return self.chunks is not None and self.chunks.are_tiny

    @property
    def whole(self):
        """Whether the whole current body has been consumed."""
        return self.chunks.ended if self.chunks else not self.remaining and not self.until_close

    def piece(self):
        """Consume and return the available part of a streamed body."""
        message = self.message
        data, message.body = bytes(message.body), b''
        if self.chunks:
            data += self.chunks.read(self.buffer)
        elif self.until_close:
            data += self.buffer
            self.count(len(self.buffer))
            self.buffer.clear()
        elif self.remaining:
            data += bytes(memoryview(self.buffer)[: self.remaining])
            del self.buffer[: self.remaining]
            self.remaining -= len(data)
        return data

    def count(self, more):
        """Count bytes of a body of unknown length; raise BadMessage if it exceeds max_size."""
        self.remaining -= more
        if -self.remaining > self.max_size:
            raise BadMessage(413, 'body too large')

    def end(self):
        """Handle an orderly end of the connection: return the message whose body was delimited by it,
        or None.
        """
        if not self.until_close:
            return None
        message = self.message
        self.reset()
        return message

    def expects_continue(self):
        """Return whether the sender waits for 100 Continue; true at most once per message."""
        asks = self.message and self.message.fields.pop(b'expect', b'').lower() == b'100-continue'
        return bool(asks and not self.buffer)

    def feed(self, data):
        self.buffer += data

    def take(self):
        """Return the next complete message, or None."""
        if self.message is None and not self.take_head():
            return None
        message = self.message
        if self.chunks:
            message.body += self.chunks.read(self.buffer)
            if not self.chunks.ended:
                return None
        elif self.until_close:
            message.body += self.buffer
            self.count(len(self.buffer))
            self.buffer.clear()
            return None
        else:
            if len(self.buffer) < self.remaining:
                return None
            message.body = bytes(memoryview(self.buffer)[: self.remaining])
            del self.buffer[: self.remaining]
        self.reset()
        return message

    def take_head(self):
        """Parse the head once it is complete; return the message without its body, or None."""
        while self.buffer[:2] == b'\r\n' and self.first is REQUEST:
            del self.buffer[:2]  # empty lines before a request are ignored (RFC 9112, 2.2)
        end = self.buffer.find(b'\r\n\r\n', max(0, self.scanned - 3)) + 4
        self.scanned = len(self.buffer)
        if (end if end > 3 else self.scanned) > MAX_HEAD:
            raise BadMessage(431, 'head too large')
        if end <= 3:
            return None
        self.message = read_head(self.buffer, end, self.first)
        del self.buffer[:end]
        self.frame(self.message)
        return self.message

    def frame(self, message):
        """Determine the body's framing; conflicting or ambiguous framing is rejected."""
        length, coding = message.field(b'content-length'), message.field(b'transfer-encoding')
        if length is not None and coding is not None:
            raise BadMessage(400, 'two framings')
        if coding is not None:
            if coding.lower() != b'chunked':
                raise BadMessage(400, 'unknown transfer coding')
            self.chunks = Chunks(self.max_size)
            message.body, message.length = bytearray(), None
            return
        if self.first is ANSWER and BODYLESS_STATUS.match(message.parts[1]):
            return
        if length is None:
            if self.first is ANSWER:
                self.until_close, message.body, message.length = True, bytearray(), None
            return
        lengths = {part.strip() for part in length.split(b',')}
        if len(lengths) != 1 or not DIGITS.match(length := lengths.pop()):
            raise BadMessage(400, 'length out of form')
        if int(length) > self.max_size:
            raise BadMessage(413, 'body too large')
        self.remaining = message.length = int(length)


def request(message, wait):
    """Return the pieces of a client's request as sent to a cache server that is waited for this long
    (tenths of a millisecond).
    """
    tail = b'Req-Deadline: %d.%04d\r\n' % divmod(wait, 10_000)
    if message.source:
        tail += framing(message)
        return [
            message.head[: message.target_end],
            b' HTTP/1.1\r\n',
            *message.forwarded_lines(),
            tail + b'\r\n',
        ]
    if message.body or message.parts[0] != b'GET':
        tail += b'Content-Length: %d\r\n' % len(message.body)
    return [
        message.head[: message.target_end],
        b' HTTP/1.1\r\n',
        *message.forwarded_lines(),
        tail + b'\r\n',
        bytes(message.body),
    ]


def relayed(message, keep_alive):
    """Return the pieces of a cache server's 200 answer as sent to the client."""
    tail = b'Content-Length: %d\r\n' % len(message.body)
    if not keep_alive:
        tail += b'Connection: close\r\n'
    return [b'HTTP/1.1 200 OK\r\n', *message.forwarded_lines(), tail + b'\r\n', bytes(message.body)]


def framing(message):
    """Return the header line that describes the framing of a streamed body."""
    return CHUNKED if message.length is None else b'Content-Length: %d\r\n' % message.length


def relayed_head(message, keep_alive, chunks):
    """Return the head of a cache server's 200 answer with a streamed body; chunks: whether the client
    accepts chunked framing.
    """
    tail = framing(message) if chunks or message.length is not None else b''
    if not keep_alive:
        tail += b'Connection: close\r\n'
    return b''.join([b'HTTP/1.1 200 OK\r\n', *message.forwarded_lines(), tail + b'\r\n'])


def answer(status, keep_alive, text='', more=''):
    """Return the pieces of an answer generated by the node itself."""
    body = text.encode()
    return [
        (
            'HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%s%s\r\n'
            % (status, REASONS[status], len(body), more, '' if keep_alive else 'Connection: close\r\n')
        ).encode(),
        body,
    ]

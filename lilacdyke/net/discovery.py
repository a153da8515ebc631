"""The watch on discovery: the list of servers and its changes.

Owns the one connection to discovery, the version that the node holds, and the waits between tries. Must
never guess at a line it cannot read, drop the list that the node has, or ask in a hurry.
"""

import json
import re

from ..decode import address, find
from ..values import STATES, BadLine, up
from .http import ANSWER, BadMessage, Chunks, Reader
from .local_errors import local_errno
from .logs import LOG, warn
from .sockets import Outgoing, connect, no_delay
from .tables import Table

# What is told late adds up: a watch that hangs, one wait, one call that is answered at once. The sum stays
# under the 6 s after which a change counts as told (docs/architecture.md).
SILENCE_TIMEOUT = 30_000  # a watch has a line every 2 s; with no byte for so long it is dead
PARTIAL_LINE_TIMEOUT = 35_000  # nor may bytes go on coming for longer with no whole line among them
HEAD_TIMEOUT = (
    10_000  # for its head, where lists are pushed: the agent is on this machine and answers at once
)
QUEUED_HEAD_TIMEOUT = (
    30_000  # where they are asked for: calls wait their turn, and one given up was all for nothing
)
# Backoff between tries: the first and the longest, as parts of the time in which sends to a server that
# drains have to cease. Guards against such sends as discovery comes back: what the agent has counts as told
# from then on, watch or none. Doubles.
BACKOFF = 0.25, 0.625
MIN_BACKOFF = (
    100  # and the shortest, however soon sends have to cease; none is longer than a call may take to answer
)
# Where it turned the call away it has too many: backoff doubles from a quarter of this on. Guards against a
# retry storm, in which a whole fleet that asks again at once keeps it shut for all.
THROTTLED_BACKOFF, THROTTLED_STATUSES = 30_000, (b'503', b'429')
MIN_REDIAL_DELAY, MAX_REDIAL_DELAY = 50, 1_000  # ticks until the next try where a call of this machine failed
WORDS = {state: word for word, state in STATES.items()}
MAX_LIST = 4 << 20  # one list on the watch, in bytes
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')  # a string in a list, which hides what is in it


class Entry:
    """What a line says of one server."""

    __slots__ = ('name', 'address', 'zone', 'kind', 'cell', 'state', 'weight', 'started')

    def __init__(self, row):
        self.name = find(row, 'instanceId', str)
        self.address = address(find(row, 'hostPort', str))
        self.zone = find(row, 'zone', str)
        self.kind = find(row, 'machineType', str)
        self.cell = find(row, 'cell', int)
        self.state = STATES.get(find(row, 'lifecycle', str))
        self.weight = find(row, 'weight', (int, float))
        self.started = find(row, 'startedAtMs', (int, float))
        if self.state is None or not self.name or not 0 <= self.weight < 1e9 or not 0 <= self.started < 1e15:
            raise BadLine('entry out of form: %r' % row)

    def row(self):
        """The entry as discovery words it."""
        host, port = self.address
        return {
            'instanceId': self.name,
            'hostPort': ('[%s]:%d' if ':' in host else '%s:%d') % (host, port),
            'zone': self.zone,
            'machineType': self.kind,
            'cell': self.cell,
            'lifecycle': WORDS[self.state],
            'weight': self.weight,
            'startedAtMs': self.started,
        }


def read_list(tree):
    """A list or changes to one: (version, whether it is whole, entries)."""
    rows = find(tree, 'instances', list)
    return find(tree, 'generation', int), find(tree, 'reset', bool), [Entry(row) for row in rows]


def nesting_change(line):
    """How many braces and brackets a line opens and does not close."""
    return line.count(b'{') + line.count(b'[') - line.count(b'}') - line.count(b']')


class Watch(Outgoing):
    """One watch, from its request to its end."""

    def __init__(self, discovery):
        self.discovery, self.reader = discovery, Reader(ANSWER)
        self.number, self.chunks, self.line = None, None, bytearray()
        self.open, self.depth = bytearray(), 0  # what is here of an indented list; how deep it stands
        self.throttled = False  # whether discovery has too many callers

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.write(self.discovery.request())

    def dataReceived(self, data):
        if self.discovery.watch is not self:
            return
        try:
            self.reader.feed(data)
            if self.chunks or self.head():
                self.discovery.heard = self.discovery.clock()
                self.line += self.chunks.read(self.reader.buffer)
                self.lines()
        except (BadMessage, BadLine, ValueError, RecursionError) as err:
            self.discovery.lost(self, 'not read: %s' % err)
        except Exception:
            LOG.exception('fault')
            self.discovery.lost(self, 'fault')

    def head(self):
        """Read the head; whether the lines begin."""
        message = self.reader.take_head()
        if message is None:
            return False
        self.throttled = message.parts[1] in THROTTLED_STATUSES
        if message.parts[1] != b'200' or not self.reader.chunks:
            raise BadMessage(400, 'no watch: %s' % message.parts[1].decode())
        self.chunks = Chunks(None)
        return True

    def lines(self):
        """Hand on each whole line; an empty one says that nothing has changed."""
        while (end := self.line.find(b'\n')) >= 0:
            line = bytes(self.line[:end]).strip()
            del self.line[: end + 1]
            if not line and self.open:
                raise BadLine(
                    'a list that is not whole'
                )  # an empty line has its own sense: nothing has changed
            if line and (whole := self.assemble_list(line)):
                self.discovery.apply_list(read_list(json.loads(whole)))
            if not self.open:
                self.discovery.whole = self.discovery.last_word = self.discovery.heard
        if len(self.line) + len(self.open) > MAX_LIST:
            raise BadLine('line too long')
        if self.chunks.ended:
            self.discovery.lost(self, 'ended')

    def assemble_list(self, line):
        """The list that ends with this line, which may be one of many if it comes indented; None while it is
        not all here."""
        if self.open or nesting_change(line):
            self.depth += nesting_change(TEXT.sub(b'', line))
        self.open += line + b' '
        if self.depth > 0:
            return None
        whole, self.open, self.depth = self.open, bytearray(), 0
        return whole

    def connectionLost(self, reason=None):
        self.discovery.lost(self, 'connection lost')


class Discovery:
    """Keeps a watch open, and the version up to which the node has been told."""

    def __init__(self, reactor, deadlines, clock, place, chance, node):
        self.reactor, self.deadlines, self.clock = reactor, deadlines, clock
        self.where, self.chance, self.table = place.discovery, chance, Table()
        self.node = node
        self.pushed = not place.terms.watched  # else the module says when to ask; again it is asked here
        self.backoff, self.max_backoff = (
            max(MIN_BACKOFF, min(HEAD_TIMEOUT, int(place.stop_within * part))) for part in BACKOFF
        )
        self.within = HEAD_TIMEOUT if self.pushed else QUEUED_HEAD_TIMEOUT
        self.version, self.failures, self.throttled = (
            None,
            0,
            0,
        )  # failures: in a row; turned_away: how many of them so
        self.watch, self.opening = None, None
        self.heard, self.whole = (
            0,
            0,
        )  # when the watch last said something; when its last whole line came, or it was opened
        self.attempt = 0  # one more with each watch: a retry that another overtook is void
        self.backing_off = False  # whether a retry is due
        self.last_word = None  # when a whole line last came; None: never
        self.redials = 0  # calls of this machine that failed in a row

    def close(self):
        """End the watch, if there is one: whatever still comes of it finds that it is not the present one."""
        watch, self.watch = self.watch, None
        if watch is None:
            return
        self.table.remove(watch.number)
        if watch.transport:
            watch.transport.abortConnection()
        else:
            self.opening.cancel()

    def move(self, where):
        """Discovery is elsewhere: watch there at once, from the version that is held. Whether it was news."""
        if where == self.where:
            return False
        self.close()
        self.where, self.failures, self.throttled = where, 0, 0
        if self.attempt:  # else the start opens it
            self.open()
        return True

    def request(self):
        """The head that asks for all that came after what the node holds."""
        index = '' if self.version is None else '&index=%d' % self.version
        return (
            'GET /v1/endpoints?stream=1%s HTTP/1.1\r\nHost: %s\r\n\r\n' % (index, '%s:%d' % self.where)
        ).encode()

    def retry(self, attempt):
        """The wait after a watch is over."""
        if attempt == self.attempt:
            self.open()

    def ask(self):
        """The module wants a watch: unless one is lost and its retry due, whose wait spares a discovery that
        many call."""
        if not self.backing_off:
            self.open()

    def open(self):
        """Start a watch unless there is one."""
        if self.watch:
            return
        self.attempt, self.backing_off = self.attempt + 1, False
        self.watch = Watch(self)
        self.heard = self.whole = self.clock()
        self.watch.number = self.table.add(self.watch)
        self.opening = connect(self.reactor, self.where, self.watch)
        watch = self.watch
        self.opening.addErrback(self.not_connected, watch)
        self.deadlines.at(self.heard + self.within, self.silent, watch.number)

    def not_connected(self, failure, watch):
        """A connection did not come up. Where a call of this machine failed nobody was asked: that is tried
        again soon and tells nothing of discovery, so that a node that starts goes on waiting for its word."""
        number = local_errno(failure)
        if number is None or self.watch is not watch:
            self.lost(watch, 'no connection')
            return
        self.node.call_failed('connect', number)
        self.close()
        self.redials += 1
        wait = min(MAX_REDIAL_DELAY, MIN_REDIAL_DELAY << min(self.redials, 8))
        self.backing_off = True
        self.deadlines.at(self.clock() + wait, self.retry, self.attempt)

    def silent(self, number):
        """Guards against a peer that vanished without a word, while connecting as later, and one that
        trickles."""
        watch = self.table.get(number)
        if watch is None:
            return
        due = (
            min(self.heard + SILENCE_TIMEOUT, self.whole + PARTIAL_LINE_TIMEOUT)
            if watch.chunks
            else self.heard + self.within
        )
        if self.clock() >= due:
            self.lost(watch, 'silent')
        else:
            self.deadlines.at(due, self.silent, number)

    def apply_list(self, lines):
        """A line was read: the node learns it at once."""
        self.redials = 0
        self.node.listed(*lines[1:])
        self.version, self.failures, self.throttled = lines[0], 0, 0

    def lost(self, watch, why):
        """The watch has ended; try again, ever later, with the list kept."""
        if self.watch is not watch:
            return
        self.close()
        self.failures += 1
        warn('watch lost', why=why, failures=self.failures, version=self.version)
        self.node.list_lost()
        self.throttled += watch.throttled
        wait = min(self.max_backoff, self.backoff << min(self.failures - 1, 8))
        if watch.throttled:
            wait = min(THROTTLED_BACKOFF, THROTTLED_BACKOFF // 8 << min(self.throttled, 8))
        self.backing_off = True
        self.deadlines.at(self.clock() + int(wait * (0.5 + self.chance() / 2)), self.retry, self.attempt)


def started(entry, offset):
    """A server's start on the module's clock, where offset is that clock less Unix time; None: long ago."""
    return up(entry.started / 1000) + offset if entry.started else None

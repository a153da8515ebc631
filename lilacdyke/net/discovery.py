"""Watch on service discovery: the list of servers and its changes.

Keeps one connection to discovery, the version that the node has seen, and the backoff between attempts.
Lines that cannot be parsed end the watch; the last list is kept while discovery is unavailable.
"""

import json
import re

from ..decode import get_setting, parse_address
from ..values import STATES, InvalidValueError, to_ticks_ceil
from .http import ANSWER, BadMessage, Chunks, Reader
from .local_errors import local_errno
from .logs import LOG, log_warning
from .sockets import Outgoing, connect, no_delay
from .tables import SlotTable

# Timeouts in ticks. A hanging watch, one backoff and one prompt call together have to stay below the 6 s
# after which a change counts as announced (docs/architecture.md).
SILENCE_TIMEOUT = 30_000  # without any byte; a heartbeat comes every 2 s
PARTIAL_LINE_TIMEOUT = 35_000  # with bytes but without a complete line
HEAD_TIMEOUT = 10_000  # for the head, in pushed mode: the local agent answers at once
QUEUED_HEAD_TIMEOUT = 30_000  # for the head otherwise: discovery queues calls, and giving up loses the place
# First and longest backoff, as fractions of the time within which sends to a draining server have to stop;
# doubles in between. Guards against such sends after discovery has recovered, as the agent's list is binding
# from then on, with or without a watch.
BACKOFF = 0.25, 0.625
MIN_BACKOFF = 100  # lower bound of the backoff; HEAD_TIMEOUT is the upper bound
# Longest backoff after a call that discovery rejected for load; doubles from a quarter of this. Guards
# against a retry storm in which the whole fleet keeps discovery overloaded.
THROTTLED_BACKOFF, THROTTLED_STATUSES = 30_000, (b'503', b'429')
MIN_REDIAL_DELAY, MAX_REDIAL_DELAY = 50, 1_000  # ticks until the next attempt after a local failure
WORDS = {state: word for word, state in STATES.items()}
MAX_LIST = 4 << 20  # bytes of a list
MAX_LISTS_A_TURN = 8  # lists and changes applied before other connections are read
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')  # a JSON string, whose contents do not nest


class Entry:
    """One server as listed by discovery."""

    __slots__ = ('name', 'address', 'zone', 'kind', 'cell', 'state', 'weight', 'started')

    def __init__(self, row):
        self.name = get_setting(row, 'instanceId', str)
        self.address = parse_address(get_setting(row, 'hostPort', str))
        self.zone = get_setting(row, 'zone', str)
        self.kind = get_setting(row, 'machineType', str)
        self.cell = get_setting(row, 'cell', int)
        self.state = STATES.get(get_setting(row, 'lifecycle', str))
        self.weight = get_setting(row, 'weight', (int, float))
        self.started = get_setting(row, 'startedAtMs', (int, float))
        if self.state is None or not self.name or not 0 <= self.weight < 1e9 or not 0 <= self.started < 1e15:
            raise InvalidValueError('malformed entry: %r' % row)

    def row(self):
        """Return the entry in discovery's format."""
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
    """Parse a list or a set of changes: (version, whether it is a complete list, entries)."""
    rows = get_setting(tree, 'instances', list)
    return (
        get_setting(tree, 'generation', int),
        get_setting(tree, 'reset', bool),
        [Entry(row) for row in rows],
    )


def nesting_change(line):
    """Return how many more braces and brackets a line opens than it closes."""
    return line.count(b'{') + line.count(b'[') - line.count(b'}') - line.count(b']')


class Watch(Outgoing):
    """A single watch connection."""

    def __init__(self, discovery):
        self.discovery, self.reader = discovery, Reader(ANSWER)
        self.number, self.chunks, self.line = None, None, bytearray()
        # partial_list: received part of an indented list; depth: its nesting
        self.partial_list, self.depth = bytearray(), 0
        self.throttled = False  # whether discovery rejected the call for load
        self.reads_later = False  # whether more lines are processed in a later turn

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.write(self.discovery.request())

    def dataReceived(self, data):
        if self.discovery.watch is not self:
            return
        try:
            self.reader.feed(data)
            if self.chunks or self.read_head():
                self.discovery.last_received = self.discovery.clock()
                self.line += self.chunks.read(self.reader.buffer)
                if not self.reads_later:
                    self.process_lines()
        except (BadMessage, InvalidValueError, ValueError, RecursionError) as err:
            self.discovery.lost(self, 'invalid answer: %s' % err)
        except Exception:
            LOG.exception('fault')
            self.discovery.lost(self, 'fault')

    def read_head(self):
        """Parse the head of the answer; return whether the stream of lines begins."""
        message = self.reader.take_head()
        if message is None:
            return False
        self.throttled = message.parts[1] in THROTTLED_STATUSES
        if message.parts[1] != b'200' or not self.reader.chunks:
            raise BadMessage(400, 'watch refused with status %s' % message.parts[1].decode())
        self.chunks = Chunks(None)
        return True

    def process_lines(self):
        """Process complete lines, until a few lists have been applied in this turn of the event loop.

        Guards against a flood of changes, each of which costs time by the number of servers.
        """
        applied = 0
        while applied < MAX_LISTS_A_TURN and (end := self.line.find(b'\n')) >= 0:
            line = bytes(self.line[:end]).strip()
            del self.line[: end + 1]
            applied += self.process_line(line)
        if len(self.line) + len(self.partial_list) > MAX_LIST:
            raise InvalidValueError('line too long')
        if b'\n' in self.line:
            self.discovery.read_on_later(self)
        elif self.chunks.ended:
            self.discovery.lost(self, 'ended')

    def process_line(self, line):
        """Process a complete line; an empty one is a heartbeat. Return whether a list was applied."""
        if not line and self.partial_list:
            # An empty line is a heartbeat and cannot be part of a list.
            raise InvalidValueError('incomplete list')
        whole = self.assemble_list(line) if line else None
        if whole:
            self.discovery.apply_list(read_list(json.loads(whole)))
        if not self.partial_list:
            self.discovery.last_complete = self.discovery.last_line_at = self.discovery.last_received
        return bool(whole)

    def assemble_list(self, line):
        """Return the complete list that ends with this line, or None.

        An indented list spans several lines.
        """
        if self.partial_list or nesting_change(line):
            self.depth += nesting_change(TEXT.sub(b'', line))
        self.partial_list += line + b' '
        if self.depth > 0:
            return None
        whole, self.partial_list, self.depth = self.partial_list, bytearray(), 0
        return whole

    def connectionLost(self, reason=None):
        self.discovery.lost(self, 'connection lost')


class Discovery:
    """Keeps a watch open, and tracks the version that the node has been given."""

    def __init__(self, reactor, deadlines, clock, config, uniform, node):
        self.reactor, self.deadlines, self.clock = reactor, deadlines, clock
        self.target, self.uniform, self.table = config.discovery, uniform, SlotTable()
        self.node = node
        # If not set, the router decides when to open a watch; retries are made here in either mode.
        self.pushed = not config.terms.list_on_request
        self.backoff, self.max_backoff = (
            max(MIN_BACKOFF, min(HEAD_TIMEOUT, int(config.stop_sending_timeout * part))) for part in BACKOFF
        )
        self.head_timeout = HEAD_TIMEOUT if self.pushed else QUEUED_HEAD_TIMEOUT
        # failures: consecutive; throttled: those rejected for load
        self.version, self.failures, self.throttled = None, 0, 0
        self.watch, self.opening = None, None
        # Times of the last bytes, and of the last complete line (or of opening).
        self.last_received, self.last_complete = 0, 0
        self.attempt = 0  # number of watches opened; a retry scheduled for an earlier one is void
        self.backing_off = False  # whether a retry is scheduled
        self.last_line_at = None  # time of the last complete line; None: never
        self.redials = 0  # consecutive local failures

    def close(self):
        """Close the watch, if any; its later events are ignored."""
        watch, self.watch = self.watch, None
        if watch is None:
            return
        self.table.remove(watch.number)
        if watch.transport:
            watch.transport.abortConnection()
        else:
            self.opening.cancel()

    def move(self, target):
        """Switch to another address immediately, from the current version.

        Return whether the address changed.
        """
        if target == self.target:
            return False
        self.close()
        self.target, self.failures, self.throttled = target, 0, 0
        if self.attempt:  # before the first watch, startup opens it
            self.open()
        return True

    def request(self):
        """Return the request head that asks for changes since the current version."""
        index = '' if self.version is None else '&index=%d' % self.version
        return (
            'GET /v1/endpoints?stream=1%s HTTP/1.1\r\nHost: %s\r\n\r\n' % (index, '%s:%d' % self.target)
        ).encode()

    def retry(self, attempt):
        """Reopen the watch after the backoff, unless another attempt has started since."""
        if attempt == self.attempt:
            self.open()

    def ask(self):
        """Open a watch on behalf of the router, unless a retry is pending: its backoff protects a
        discovery service under load.
        """
        if not self.backing_off:
            self.open()

    def open(self):
        """Open a watch unless there is one."""
        if self.watch:
            return
        self.attempt, self.backing_off = self.attempt + 1, False
        self.watch = Watch(self)
        self.last_received = self.last_complete = self.clock()
        self.watch.number = self.table.add(self.watch)
        self.opening = connect(self.reactor, self.target, self.watch)
        watch = self.watch
        self.opening.addErrback(self.not_connected, watch)
        self.deadlines.at(self.last_received + self.head_timeout, self.silent, watch.number)

    def not_connected(self, failure, watch):
        """Handle a failed connection attempt.

        A local failure is retried soon and does not count as a failure of discovery, so that a starting
        node keeps waiting for its first list.
        """
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
        """Close a watch without progress.

        Guards against a peer that vanished, during or after connecting, and against one that trickles
        bytes.
        """
        watch = self.table.get(number)
        if watch is None:
            return
        due = (
            min(self.last_received + SILENCE_TIMEOUT, self.last_complete + PARTIAL_LINE_TIMEOUT)
            if watch.chunks
            else self.last_received + self.head_timeout
        )
        if self.clock() >= due:
            self.lost(watch, 'silent')
        else:
            self.deadlines.at(due, self.silent, number)

    def read_on_later(self, watch):
        """Pause a watch, and process more of its lines in a later turn of the event loop."""
        watch.reads_later = True
        watch.transport.pauseProducing()
        self.deadlines.at(self.clock(), self.read_on, watch.number)

    def read_on(self, number):
        """Process more lines that were received earlier."""
        watch = self.table.get(number)
        if watch is not None:
            watch.reads_later = False
            watch.transport.resumeProducing()
            watch.dataReceived(b'')

    def apply_list(self, lines):
        """Pass a list or change to the node."""
        self.redials = 0
        self.node.listed(*lines[1:])
        self.version, self.failures, self.throttled = lines[0], 0, 0

    def lost(self, watch, why):
        """Handle the end of a watch: keep the list and retry with exponential backoff."""
        if self.watch is not watch:
            return
        self.close()
        self.failures += 1
        log_warning('watch lost', why=why, failures=self.failures, version=self.version)
        self.node.list_lost()
        self.throttled += watch.throttled
        wait = min(self.max_backoff, self.backoff << min(self.failures - 1, 8))
        if watch.throttled:
            wait = min(THROTTLED_BACKOFF, THROTTLED_BACKOFF // 8 << min(self.throttled, 8))
        self.backing_off = True
        self.deadlines.at(self.clock() + int(wait * (0.5 + self.uniform() / 2)), self.retry, self.attempt)


def started(entry, offset):
    """Return a server's start on the router's clock, or None if it started long ago.

    offset: that clock minus Unix time.
    """
    return to_ticks_ceil(entry.started / 1000) + offset if entry.started else None

"""The link between two processes of one node while the second takes over from the first.

The old process (predecessor) listens on a Unix socket in the private folder, and the new one (successor)
connects to it. Every wait for the peer has a timeout, and a line that cannot be read ends the link.
succession.py decides which process accepts clients.

Each line is a JSON object. The predecessor begins with `{"v": 1, ...}` and its listening socket as a
descriptor. Then either side sends `{"call": [verb, name], "n": N}` and answers `{"done": N}`; the successor
sends `{"serves": true}`, and `{"serves": false}` once it drains; the predecessor `{"holds": descriptors}`. If
the predecessor's first line has `"beats": true`, the successor sends heartbeats, `{"beat": true}`, as long as
it listens. If that line has `"ran"`, digests of ids that must not run again, the successor sends
`{"reads_ids": true}`, and from then on each tells the other of further ones: `{"ran": [digest, ...]}`.
"""

import json
import os
import stat
from zlib import crc32

from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from zope.interface import implementer

from ..values import SECOND, InvalidValueError
from .logs import LOG, log_event, log_warning
from .recent_ids import valid_digests
from .sockets import buffered_bytes
from .succession import SERVING, UNRESPONSIVE, Succession

VERSION = 1
PREFIX = 'lilacdyke-%08x-'  # of socket names: a checksum of the node's identity; the process id follows
# Times are in ticks of 0.1 ms.
SEARCH_TIMEOUT = 10_000  # for finding a predecessor and receiving its state
CALL_TIMEOUT = 4_000
REPORT_INTERVAL = 1_000  # between two reports of held descriptors
HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT = 250, 1_000
MAX_LINE = 4 << 20  # bytes
MAX_BACKLOG = 1 << 18  # bytes that a peer has not read, from which it is told of no further ids
MAX_CANDIDATES = 8  # sockets to try; a node that was killed repeatedly leaves stale ones
MAX_PATH = 100  # bytes; below the limit of a Unix socket's address
STAT_START_INDEX = 19  # of the start time among the fields of /proc/PID/stat that follow the name
CALLS = ('suspend', 'resume', 'empty', 'activate')


def process_start(pid):
    """Return when a process started, in the kernel's clock ticks since boot; -1 if there is no such process.

    A file's modification time would not do, as the wall clock may be stepped between two starts.
    """
    try:
        with open('/proc/%d/stat' % int(pid), encoding='utf-8', errors='replace') as file:
            return int(file.read().rpartition(')')[2].split()[STAT_START_INDEX])
    except (OSError, ValueError, IndexError):
        return -1


@implementer(IFileDescriptorReceiver)
class Link(Protocol):
    """One end of the link."""

    urgent = True

    def __init__(self, handover, peer_is_predecessor):
        self.handover, self.peer_is_predecessor = handover, peer_is_predecessor
        self.buffer, self.fd, self.last_call, self.closed = bytearray(), None, 0, False
        self.pending = {}  # callbacks of calls without a reply yet, by call number
        self.shares_ids = False  # whether the peer reads digests of ids

    def fileDescriptorReceived(self, descriptor):
        if self.fd is not None:
            os.close(descriptor)
        else:
            self.fd = descriptor

    def connectionMade(self):
        if not self.peer_is_predecessor:
            self.handover.successor_connected(self)

    def dataReceived(self, data):
        self.buffer += data
        try:
            while not self.closed and (end := self.buffer.find(b'\n')) >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[: end + 1]
                self.line_received(json.loads(line))
            if len(self.buffer) > MAX_LINE:
                raise InvalidValueError('line too long')
        except (InvalidValueError, ValueError, RecursionError) as err:
            log_warning('hand-over not read', reason=err)
            self.abort()
        except Exception:
            LOG.exception('fault')
            self.abort()

    def line_received(self, line):
        """Handle one line. Raise InvalidValueError if it is not known, as from a peer of another version."""
        if not isinstance(line, dict):
            raise InvalidValueError('no object')
        handlers = {**(FROM_PREDECESSOR if self.peer_is_predecessor else FROM_SUCCESSOR), **FROM_EITHER}
        key = next((key for key in handlers if key in line), None)
        if key is None:
            raise InvalidValueError('unknown line')
        handlers[key](self, line)

    def state_received(self, line):
        self.handover.state_received(self, line)

    def serves_received(self, line):
        if line['serves']:
            self.handover.successor_serving()
        else:
            self.handover.successor_leaving()

    def heartbeat_received(self, _):
        self.handover.heartbeat_received()

    def reader_of_ids_received(self, _):
        """The successor reads digests of ids."""
        self.shares_ids = True
        self.send(ran=self.handover.node.recent_ids.export())

    def descriptors_received(self, line):
        if not isinstance(line['holds'], int):
            raise InvalidValueError('holds: no number')
        self.handover.descriptors_reported(line['holds'])

    def ids_received(self, line):
        self.handover.node.recent_ids.add(valid_digests(line['ran']))

    def call_received(self, line):
        call = line['call']
        if not isinstance(call, list) or not call or call[0] not in CALLS:
            raise InvalidValueError('unknown call')
        self.handover.node.perform(*call)
        self.send(done=line.get('n'))

    def reply_received(self, line):
        self.pending.pop(line['done'], bool)()

    def send(self, **line):
        """Send a line, if the link is still up."""
        if self.transport and not self.closed:
            self.transport.write(json.dumps(line).encode() + b'\n')

    def share_ids(self, digests):
        """Tell the peer of ids that must not run again, unless it does not read what it is sent."""
        if self.shares_ids and not self.closed and buffered_bytes(self.transport) < MAX_BACKLOG:
            self.send(ran=digests)

    def call(self, verb, name, done):
        """Make a call at the other process; done() runs on its reply, on a timeout or when the link ends."""
        self.last_call += 1
        self.pending[self.last_call] = done
        self.send(call=[verb, name], n=self.last_call)
        self.handover.deadlines.at(self.handover.clock() + CALL_TIMEOUT, self.call_timed_out, self.last_call)

    def call_timed_out(self, number):
        """Complete a call without a reply, so that operators get their answer within a second."""
        if number in self.pending:
            log_warning('call not confirmed by the other process', call=number)
            self.pending.pop(number)()

    def abort(self):
        """Abort the link."""
        if self.transport:
            self.transport.abortConnection()

    def connectionLost(self, reason=None):
        if self.closed:
            return
        self.closed = True
        if self.fd is not None:
            os.close(self.fd)
        for done in list(self.pending.values()):
            done()
        self.pending.clear()
        self.handover.link_lost(self)


# Methods of Link by the key that tells a line's kind.
FROM_PREDECESSOR = {'v': Link.state_received, 'holds': Link.descriptors_received}
FROM_SUCCESSOR = {
    'serves': Link.serves_received,
    'beat': Link.heartbeat_received,
    'reads_ids': Link.reader_of_ids_received,
}
FROM_EITHER = {'call': Link.call_received, 'done': Link.reply_received, 'ran': Link.ids_received}


class PredecessorFactory(ClientFactory):
    """Connects to one candidate predecessor."""

    noisy = False

    def __init__(self, handover):
        self.handover = handover

    def buildProtocol(self, addr):
        self.handover.predecessor = Link(self.handover, True)
        return self.handover.predecessor

    def clientConnectionFailed(self, connector, reason):
        self.handover.try_next()


class SuccessorFactory(Factory):
    """Accepts links from successors."""

    noisy, urgent = False, True

    def __init__(self, handover):
        self.handover = handover

    def buildProtocol(self, addr):
        return Link(self.handover, False)


class Handover:
    """The links of this process to its predecessor and its successor."""

    def __init__(self, node, reactor, deadlines, clock, folder, limit, spare):
        self.node, self.reactor, self.deadlines, self.clock = node, reactor, deadlines, clock
        self.socket_prefix = PREFIX % crc32(repr((node.config.name, node.config.listen)).encode())
        self.folder, self.folder_fd = folder, None  # folder_fd: opened only if the path is long
        self.succession = Succession(limit, spare)
        self.predecessor, self.successor, self.port = None, None, None
        self.candidates, self.start_node = (
            [],
            None,
        )  # sockets still to try; the callback that continues the start
        self.sends_heartbeats, self.last_heartbeat = False, None  # to the predecessor; from the successor

    # --- finding a predecessor --------------------------------------------------------------------------

    def find_predecessor(self, start_node):
        """Look for a predecessor; call start_node with its state and listening socket, or with None twice."""
        self.start_node = start_node
        try:
            found = [name for name in os.listdir(self.folder) if name.startswith(self.socket_prefix)]
            found = [name for name in found if self.is_socket(name)]
        except OSError as err:
            log_warning('cannot list the private folder', reason=err)
            found = []
        found.sort(key=lambda name: (process_start(name.removeprefix(self.socket_prefix)), name))
        self.candidates = found[-MAX_CANDIDATES:]  # the latest process is tried first
        self.deadlines.at(self.clock() + SEARCH_TIMEOUT, self.search_timed_out, 0)
        self.try_next()

    def is_socket(self, name):
        """Return whether a name in the private folder is that of a socket."""
        return stat.S_ISSOCK(os.stat(os.path.join(self.folder, name)).st_mode)

    def try_next(self):
        """Connect to the next candidate; without one, start without a predecessor."""
        self.predecessor = None
        if not self.start_node:
            return
        if self.candidates:
            self.reactor.connectUNIX(
                self.socket_path(self.candidates.pop()),
                PredecessorFactory(self),
                timeout=SEARCH_TIMEOUT / SECOND,
            )
        else:
            self.finish_search(None, None)

    def search_timed_out(self, _):
        """Start without a predecessor, as the one that was tried hangs or is another program."""
        if self.start_node:
            log_warning('no hand-over', why='silent')
            predecessor, self.predecessor = self.predecessor, None
            if predecessor:
                predecessor.abort()
            self.finish_search(None, None)

    def state_received(self, link, state):
        """Handle the predecessor's first line."""
        if not self.start_node or link is not self.predecessor:
            raise InvalidValueError('unexpected state')
        if state['v'] != VERSION or link.fd is None:
            log_warning('no hand-over', why='version %s' % state['v'])
            self.predecessor = None
            link.abort()
            self.try_next()
            return
        holds = state.get('holds')
        self.succession.predecessor_reported(holds if isinstance(holds, int) else 0)
        self.sends_heartbeats = state.get('beats') is True
        fd, link.fd = link.fd, None
        if 'ran' in state:
            link.shares_ids = True
            link.send(reads_ids=True)
        self.finish_search(state, fd)
        os.close(fd)  # the reactor has its own duplicate

    def finish_search(self, state, fd):
        """Continue the start, with or without a predecessor's state."""
        start_node, self.start_node = self.start_node, None
        start_node(state, fd)

    def announce_serving(self):
        """Tell the predecessor that this process serves clients, and listen for a successor."""
        if self.predecessor:
            self.send_heartbeat(0)  # first, so that the predecessor watches heartbeats from the start
            self.predecessor.send(serves=True)
        name = '%s%d' % (self.socket_prefix, os.getpid())
        try:
            if os.path.exists(os.path.join(self.folder, name)):
                os.unlink(os.path.join(self.folder, name))  # left by a killed process with the same id
            self.port = self.reactor.listenUNIX(
                self.socket_path(name), SuccessorFactory(self), backlog=8, mode=0o600
            )
        except Exception as err:  # the node still serves, but cannot hand over
            log_warning('no hand-over possible', reason=err)

    @property
    def has_other_process(self):
        """Whether another process of this node runs."""
        return bool(self.predecessor or self.successor)

    def share_ids(self, digests):
        """Tell the other processes of this node of ids that must not run again."""
        for link in (self.predecessor, self.successor):
            if link:
                link.share_ids(digests)

    def end(self):
        """This process drains: the predecessor, if there is one, has to accept clients again."""
        self.succession.end()
        if self.predecessor:
            self.predecessor.send(serves=False)

    def send_heartbeat(self, _):
        """Send the predecessor a heartbeat now and at every interval, while this process listens.

        A predecessor of an older version accepts clients again once heartbeats are overdue.
        """
        if self.predecessor and self.sends_heartbeats and not self.node.listener.shut:
            self.predecessor.send(beat=True)
            self.deadlines.at(self.clock() + HEARTBEAT_INTERVAL, self.send_heartbeat, 0)

    # --- input from the links ---------------------------------------------------------------------------

    def successor_connected(self, link):
        """Give a new process this one's state and listening socket."""
        fd = self.node.listening_fd()
        if fd is None or not self.succession.successor_connected():
            link.transport.loseConnection()
            return
        self.successor = link
        log_event('successor connected', pid=os.getpid())
        link.transport.sendFileDescriptor(fd)
        link.send(v=VERSION, holds=self.node.holds(), beats=True, **self.node.export_state())

    def successor_serving(self):
        """The successor accepts clients; this process drains."""
        self.succession.successor_serving()
        log_event(
            'successor serving', open=len(self.node.active_requests), clients=len(self.node.listener.table)
        )
        self.report_descriptors(0)
        self.watch_successor(0)

    def successor_leaving(self):
        """The successor drains; this process accepts clients again."""
        self.succession.successor_leaving()
        log_event('successor leaving', open=len(self.node.active_requests))
        self.node.update_shares()

    def heartbeat_received(self):
        """The successor is alive; if it was unresponsive, it takes the clients again."""
        self.last_heartbeat = self.clock()
        if self.succession.successor == UNRESPONSIVE:
            self.succession.successor_serving()
            log_event('successor responsive again')
            self.node.update_shares()

    def watch_successor(self, _):
        """Accept clients again while the heartbeats of a successor that serves are overdue.

        A successor of an older version, which sends none, is not watched.
        """
        if self.successor and self.last_heartbeat is not None:
            if (
                self.clock() > self.last_heartbeat + HEARTBEAT_TIMEOUT
                and self.succession.successor == SERVING
            ):
                self.succession.successor_unresponsive()
                log_warning('successor unresponsive', for_ms=(self.clock() - self.last_heartbeat) // 10)
                self.node.update_shares()
            self.deadlines.at(self.clock() + HEARTBEAT_INTERVAL, self.watch_successor, 0)

    def report_descriptors(self, _):
        """Tell the successor how many descriptors this process still holds, now and at every interval."""
        if self.successor:
            self.node.update_shares()
            self.successor.send(holds=self.node.holds())
            self.deadlines.at(self.clock() + REPORT_INTERVAL, self.report_descriptors, 0)

    def descriptors_reported(self, holds):
        """The predecessor has reported how many descriptors it holds."""
        self.succession.predecessor_reported(holds)
        self.node.update_shares()

    def link_lost(self, link):
        """A link has ended."""
        if link is self.predecessor:
            if self.start_node:
                self.try_next()
                return
            self.predecessor = None
            self.succession.predecessor_gone()
            log_event('predecessor gone')
        elif link is self.successor:
            self.successor = self.last_heartbeat = None
            self.succession.successor_gone()
            log_event('successor gone', accepting=self.succession.accepting)
        else:
            return
        self.node.update_shares()

    # --- calls ------------------------------------------------------------------------------------------

    def call_others(self, verb, name, done):
        """Make a call at the other processes of the node; done() runs once all have replied or timed out."""
        links = [link for link in (self.predecessor, self.successor) if link]
        outstanding = [len(links)]

        def one_done():
            outstanding[0] -= 1
            if outstanding[0] <= 0:
                done()

        if not links:
            done()
        for link in links:
            link.call(verb, name, one_done)

    def socket_path(self, name):
        """Return the path of a socket, through a descriptor if it is too long for a Unix socket."""
        path = os.path.join(self.folder, name)
        if len(path.encode()) <= MAX_PATH:
            return path
        if self.folder_fd is None:
            self.folder_fd = os.open(self.folder, os.O_PATH | os.O_DIRECTORY)
        return '/proc/self/fd/%d/%s' % (self.folder_fd, name)

"""The link between two processes of one node while the second takes over from the first.

Owns the socket in the private folder, its name, and the lines on it. Must never wait for a peer that says
nothing, act on a line that it cannot read, or decide who takes clients: that is succession.py's.

Lines are JSON objects, one each. The elder begins with `{"v": 1, ...}` and its listening socket as a
descriptor; then either side sends `{"call": [verb, name], "n": N}` and answers `{"done": N}`; the heir sends
`{"serves": true}`, the elder `{"holds": descriptors}`. To an elder that began with `"beats": true` the heir
sends `{"beat": true}` from then on, and does not stop.
"""

import json
import os
import stat
from zlib import crc32

from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from zope.interface import implementer

from ..values import SECOND, BadLine
from .logs import LOG, say, warn
from .succession import SERVES, SILENT, Succession

VERSION = 1
PREFIX = 'lilacdyke-%08x-'  # of the sockets' names: whose, and then the process
ANSWERS = 10_000  # within this an elder has given what it has
BINDS = 4_000  # within this the other has said that a call binds it
TELLS = 1_000  # between two words on what is held
BEATS, QUIET = 250, 1_000  # between two beats of an heir; after which it counts as standing still
MOST = 4 << 20  # the longest line
MOST_ASKED = 8  # sockets that are asked; a node killed again and again leaves stale ones
PATH_MOST = 100  # the longest path that a Unix socket may have, with some to spare
STAT_START = 19  # the place of a process's start in /proc/PID/stat, behind its name
CALLS = ('suspend', 'resume', 'empty', 'activate')


def started_at(process):
    """When a process of this number started, in the machine's ticks since it was booted; -1 where there is
    none. A file's time would be the wall clock's, which may have been stepped between two processes."""
    try:
        with open('/proc/%d/stat' % int(process), encoding='utf-8', errors='replace') as file:
            return int(file.read().rpartition(')')[2].split()[STAT_START])
    except (OSError, ValueError, IndexError):
        return -1


@implementer(IFileDescriptorReceiver)
class Link(Protocol):
    """One end of the link."""

    urgent = True

    def __init__(self, kin, elder):
        self.kin, self.elder = kin, elder  # elder: whether the other side is it
        self.buffer, self.fd, self.sent, self.over = bytearray(), None, 0, False
        self.waits = {}  # calls that the other side has not answered, by number: what is then done

    def fileDescriptorReceived(self, descriptor):
        if self.fd is not None:
            os.close(descriptor)
        else:
            self.fd = descriptor

    def connectionMade(self):
        if not self.elder:
            self.kin.heir_came(self)

    def dataReceived(self, data):
        self.buffer += data
        try:
            while not self.over and (end := self.buffer.find(b'\n')) >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[: end + 1]
                self.told(json.loads(line))
            if len(self.buffer) > MOST:
                raise BadLine('line too long')
        except (BadLine, ValueError, RecursionError) as err:
            warn('hand-over not read', reason=err)
            self.end()
        except Exception:
            LOG.exception('fault')
            self.end()

    def told(self, line):
        """One line. Guards against a peer of another version: what it says that is not known ends the
        link."""
        if not isinstance(line, dict):
            raise BadLine('no object')
        if 'v' in line and self.elder:
            self.kin.given(self, line)
        elif 'serves' in line and not self.elder:
            self.kin.heir_serves()
        elif 'beat' in line and not self.elder:
            self.kin.heir_beats()
        elif 'holds' in line and self.elder and isinstance(line['holds'], int):
            self.kin.elder_holds(line['holds'])
        elif (
            'call' in line
            and isinstance(line['call'], list)
            and line['call'][:1]
            and line['call'][0] in CALLS
        ):
            self.kin.node.bound(*line['call'])
            self.say(done=line.get('n'))
        elif 'done' in line:
            self.waits.pop(line['done'], bool)()
        else:
            raise BadLine('unknown line')

    def say(self, **line):
        """Send a line."""
        if self.transport and not self.over:
            self.transport.write(json.dumps(line).encode() + b'\n')

    def call(self, verb, name, done):
        """Have a call bind the other side; done() once it says so, or after a while, or when it ends."""
        self.sent += 1
        self.waits[self.sent] = done
        self.say(call=[verb, name], n=self.sent)
        self.kin.deadlines.at(self.kin.clock() + BINDS, self.unanswered, self.sent)

    def unanswered(self, number):
        """Guards against one that hangs: operators have their answer within a second all the same."""
        if number in self.waits:
            warn('call not confirmed by the other process', call=number)
            self.waits.pop(number)()

    def end(self):
        """Nothing more is said or heard."""
        if self.transport:
            self.transport.abortConnection()

    def connectionLost(self, reason=None):
        if self.over:
            return
        self.over = True
        if self.fd is not None:
            os.close(self.fd)
        for done in list(self.waits.values()):
            done()
        self.waits.clear()
        self.kin.lost(self)


class Ask(ClientFactory):
    """Asks one elder."""

    noisy = False

    def __init__(self, kin):
        self.kin = kin

    def buildProtocol(self, addr):
        self.kin.elder = Link(self.kin, True)
        return self.kin.elder

    def clientConnectionFailed(self, connector, reason):
        self.kin.next_elder()


class Listen(Factory):
    """Is asked by heirs."""

    noisy, urgent = False, True

    def __init__(self, kin):
        self.kin = kin

    def buildProtocol(self, addr):
        return Link(self.kin, False)


class Kin:
    """This process's links to the one before it and the one after it."""

    def __init__(self, node, reactor, deadlines, clock, folder, limit, spare):
        self.node, self.reactor, self.deadlines, self.clock = node, reactor, deadlines, clock
        self.prefix = PREFIX % crc32(repr((node.place.name, node.place.listen)).encode())
        self.folder, self.held = folder, None  # held: a descriptor of the folder, if its path is long
        self.succession = Succession(limit, spare)
        self.elder, self.heir, self.port = None, None, None
        self.names, self.begin = [], None  # sockets still to be asked; what the start goes on with
        self.beats, self.heard = (
            False,
            None,
        )  # whether the elder wants beats; when the heir was last heard to beat

    # --- the start --------------------------------------------------------------------------------------

    def ask(self, begin):
        """Look for an elder; begin(what it gave, its listening socket), or begin(None, None) where there is
        none."""
        self.begin = begin
        try:
            found = [name for name in os.listdir(self.folder) if name.startswith(self.prefix)]
            found = [name for name in found if self.is_socket(name)]
        except OSError as err:
            warn('no look into the private folder', reason=err)
            found = []
        found.sort(key=lambda name: (started_at(name.removeprefix(self.prefix)), name))
        self.names = found[-MOST_ASKED:]  # the latest process is asked first
        self.deadlines.at(self.clock() + ANSWERS, self.silent, 0)
        self.next_elder()

    def is_socket(self, name):
        """Whether a name in the private folder is a socket's."""
        return stat.S_ISSOCK(os.stat(os.path.join(self.folder, name)).st_mode)

    def next_elder(self):
        """Ask the next, if there is one."""
        self.elder = None
        if not self.begin:
            return
        if self.names:
            self.reactor.connectUNIX(self.short(self.names.pop()), Ask(self), timeout=ANSWERS / SECOND)
        else:
            self.decided(None, None)

    def silent(self, _):
        """Guards against an elder that hangs, or is none of ours: the start goes on without it."""
        if self.begin:
            warn('no hand-over', why='silent')
            elder, self.elder = self.elder, None
            if elder:
                elder.end()
            self.decided(None, None)

    def given(self, link, told):
        """What the elder gives."""
        if not self.begin or link is not self.elder:
            raise BadLine('not asked for')
        if told['v'] != VERSION or link.fd is None:
            warn('no hand-over', why='version %s' % told['v'])
            self.elder = None
            link.end()
            self.next_elder()
            return
        holds = told.get('holds')
        self.succession.elder_told(holds if isinstance(holds, int) else 0)
        self.beats = told.get('beats') is True
        fd, link.fd = link.fd, None
        self.decided(told, fd)
        os.close(fd)  # the reactor has its own by now

    def decided(self, told, fd):
        """The start goes on."""
        begin, self.begin = self.begin, None
        begin(told, fd)

    def serves(self):
        """This process takes clients now, and may be asked by an heir."""
        if self.elder:
            self.beat(0)  # before the word that it answers for
            self.elder.say(serves=True)
        name = '%s%d' % (self.prefix, os.getpid())
        try:
            if os.path.exists(os.path.join(self.folder, name)):
                os.unlink(os.path.join(self.folder, name))  # of one with this number that was killed
            self.port = self.reactor.listenUNIX(self.short(name), Listen(self), backlog=8, mode=0o600)
        except Exception as err:  # the node serves without it; an upgrade is then a plain start
            warn('no hand-over possible', reason=err)

    def beat(self, _):
        """Tell the elder, again and again, that this process does not stand still."""
        if self.elder and self.beats:
            self.elder.say(beat=True)
            self.deadlines.at(self.clock() + BEATS, self.beat, 0)

    # --- what the others say ----------------------------------------------------------------------------

    def heir_came(self, link):
        """One that starts asks: it gets all that binds this process, and its queue."""
        fd = self.node.door_fd()
        if fd is None or not self.succession.heir_came():
            link.transport.loseConnection()
            return
        self.heir = link
        say('heir came', pid=os.getpid())
        link.transport.sendFileDescriptor(fd)
        link.say(v=VERSION, holds=self.node.holds(), beats=True, **self.node.legacy())

    def heir_serves(self):
        """The heir takes clients; this process empties itself."""
        self.succession.heir_serves()
        say('heir serves', open=len(self.node.active_requests), clients=len(self.node.listener.table))
        self.tell_holds(0)
        self.watch_heir(0)

    def heir_beats(self):
        """It goes on."""
        self.heard = self.clock()
        if self.succession.heir == SILENT:
            self.succession.heir_serves()
            say('heir goes on')
            self.node.share_out()

    def watch_heir(self, _):
        """Take clients again while an heir that serves stands still. One of an older version, which never
        beats, is not watched."""
        if self.heir and self.heard is not None:
            if self.clock() > self.heard + QUIET and self.succession.heir == SERVES:
                self.succession.heir_silent()
                warn('heir stands still', for_ms=(self.clock() - self.heard) // 10)
                self.node.share_out()
            self.deadlines.at(self.clock() + BEATS, self.watch_heir, 0)

    def tell_holds(self, _):
        """Tell the heir what it may not hold yet."""
        if self.heir:
            self.node.share_out()
            self.heir.say(holds=self.node.holds())
            self.deadlines.at(self.clock() + TELLS, self.tell_holds, 0)

    def elder_holds(self, holds):
        """The elder has let go of some."""
        self.succession.elder_told(holds)
        self.node.share_out()

    def lost(self, link):
        """A link has ended."""
        if link is self.elder:
            if self.begin:
                self.next_elder()
                return
            self.elder = None
            self.succession.elder_gone()
            say('elder gone')
        elif link is self.heir:
            self.heir = self.heard = None
            self.succession.heir_gone()
            say('heir gone', accepting=self.succession.accepting)
        else:
            return
        self.node.share_out()

    # --- calls ------------------------------------------------------------------------------------------

    def bind(self, verb, name, done):
        """Have a call bind the others; done() once it does."""
        links = [link for link in (self.elder, self.heir) if link]
        left = [len(links)]

        def one():
            left[0] -= 1
            if left[0] <= 0:
                done()

        if not links:
            done()
        for link in links:
            link.call(verb, name, one)

    def short(self, name):
        """The path of a socket. Guards against a private folder whose path is too long for a Unix socket's
        address."""
        path = os.path.join(self.folder, name)
        if len(path.encode()) <= PATH_MOST:
            return path
        if self.held is None:
            self.held = os.open(self.folder, os.O_PATH | os.O_DIRECTORY)
        return '/proc/self/fd/%d/%s' % (self.held, name)

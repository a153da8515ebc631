"""The operators' door: a second address on which staff call, one call to a connection.

Owns who calls there, for how long, and the form of calls and answers. Must never keep a quick caller out for
a slow one, touch a client's connection, or decide: each call is one of the node's, and its word is passed on.
"""

from urllib.parse import unquote

from twisted.internet.protocol import Factory, Protocol

from . import http
from .http import BadMessage, Reader
from .logs import LOG
from .sockets import no_delay
from .tables import Table

MOST = 12  # callers at once; the longest there makes way for the next
STAYS = 50_000  # until a caller that has not finished its call is told to go
PARTS = 10_000  # until one that has its answer and does not close is cut
CALLS = {
    (b'v1', b'readyz'): 'can_serve',
    (b'v1', b'node', b'drain'): 'empty',
    (b'v1', b'node', b'activate'): 'activate',
}
HANDS = {b'suspend': 'suspend', b'resume': 'resume'}
# What a caller is told on a yes; on a no, with its status.
WORDS = {
    'can_serve': ('ready', 503, 'not ready'),
    'empty': ('clients are sent away', 503, 'not now'),
    'activate': ('clients may come', 503, 'not now'),
    'suspend': ('out', 404, 'no such cache server'),
    'resume': ('in use', 404, 'no such cache server'),
}


class Caller(Protocol):
    """One caller's connection."""

    urgent = True  # read before all else in a turn of the reactor

    def __init__(self, desk):
        self.desk, self.reader = desk, Reader(http.REQUEST)
        self.number, self.asked, self.answered = None, False, False

    def connectionMade(self):
        no_delay(self.transport)
        self.desk.opened(self)

    def dataReceived(self, data):
        if self.asked or self.answered:
            return  # one call to a connection: what follows it is not read
        try:
            self.reader.feed(data)
            message = self.reader.take()
            if message:
                self.asked = True
                self.desk.called(message, self.reply)
            elif self.reader.hint():
                self.transport.write(http.CONTINUE)
        except BadMessage as err:
            self.reply(err.status, str(err))
        except Exception:
            LOG.exception('fault')
            self.reply(500, 'a fault in the node')

    def reply(self, status, text, more=''):
        """The one answer."""
        if not self.answered and self.number is not None:
            self.answered = True
            self.desk.line.pop(self.number, None)  # it has what it came for, and keeps nobody out
            self.transport.write(b''.join(http.answer(status, False, text + '\n', more)))
            self.transport.loseWriteConnection()
            self.desk.deadlines.at(self.desk.clock() + PARTS, self.desk.cut, self.number)

    def overdue(self):
        """It has not finished its call for too long, or others wait for its place."""
        self.reply(408, 'the call did not come')
        self.transport.loseConnection()

    def connectionLost(self, reason=None):
        self.desk.closed(self)
        self.number = None


class Desk(Factory):
    """The listening side, and what each path means."""

    noisy, urgent = False, True

    def __init__(self, node, deadlines, clock):
        self.node, self.deadlines, self.clock = node, deadlines, clock
        self.table, self.port = Table(), None
        self.line = {}  # callers by number, the longest there first

    @property
    def holds(self):
        """Descriptors that are held here."""
        return 1 + len(self.table)

    def listen(self, reactor, host, port):
        """Take calls from now on."""
        self.port = reactor.listenTCP(port, self, backlog=64, interface=host)

    def buildProtocol(self, addr):
        return Caller(self)

    def opened(self, caller):
        """Somebody calls. Guards against callers that say nothing: they are few, and make way."""
        if len(self.line) >= MOST:
            next(iter(self.line.values())).overdue()
        caller.number = self.table.add(caller)
        self.line[caller.number] = caller
        self.deadlines.at(self.clock() + STAYS, self.late, caller.number)

    def closed(self, caller):
        """A caller has gone."""
        self.line.pop(caller.number, None)
        self.table.remove(caller.number)

    def late(self, number):
        """A caller is here for too long."""
        caller = self.table.get(number)
        if caller:
            caller.overdue()

    def cut(self, number):
        """One that has its answer still holds its connection."""
        caller = self.table.get(number)
        if caller:
            caller.transport.abortConnection()

    def called(self, message, reply):
        """A whole call: to the node, and its word back."""
        method, path = message.parts[0], message.path.split(b'/')[1:]
        call, allowed, name = CALLS.get(tuple(path)), b'POST', None
        if path[:2] == [b'v1', b'cache-servers'] and len(path) == 4:
            call, name = HANDS.get(path[3]), unquote(path[2].decode('latin-1'))
        if call == 'can_serve':
            allowed = b'GET'
        if not self.node.began():
            reply(503, 'not ready')
        elif not call:
            reply(404, 'no such call')
        elif method != allowed:
            reply(405, '%s only' % allowed.decode(), 'Allow: %s\r\n' % allowed.decode())
        else:
            self.tell(call, name, reply)

    def tell(self, verb, name, reply):
        """A call to the node. A yes to what changes something is given once it binds the other process of
        this node too, if there is one."""
        yes, status, no = WORDS[verb]
        if not self.node.bound(verb, name):
            reply(status, no)
        elif self.node.kin and verb != 'can_serve':
            self.node.kin.bind(verb, name, lambda: reply(200, yes))
        else:
            reply(200, yes)

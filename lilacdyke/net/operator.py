"""HTTP server for operators, on an address of its own: one call per connection.

Slow callers never keep quick ones out. Each call is passed on to a method of the node, which decides.
"""

from urllib.parse import unquote

from twisted.internet.protocol import Factory, Protocol

from . import http
from .http import BadMessage, Reader
from .logs import LOG
from .sockets import no_delay
from .tables import SlotTable

# Times are in ticks of 0.1 ms.
MAX_CALLERS = 12  # without an answer at once; the oldest is closed when another connects
CALL_TIMEOUT = 50_000  # for a caller to complete its call
CLOSE_TIMEOUT = 10_000  # for a caller to close after its answer
MAX_CALL_BODY = 4_096  # bytes; calls need none
MAX_CONNECTIONS = 32  # with those that were answered and do not close; the oldest makes way for another
READ_SIZE = 8_192  # bytes read in a turn of the event loop, as these connections come before all others
METHODS = {
    (b'v1', b'readyz'): 'can_serve',
    (b'v1', b'node', b'drain'): 'empty',
    (b'v1', b'node', b'activate'): 'activate',
}
SERVER_METHODS = {b'suspend': 'suspend', b'resume': 'resume'}
# By method: the text of a success; the status and text of a failure.
ANSWERS = {
    'can_serve': ('ready', 503, 'not ready'),
    'empty': ('clients are sent away', 503, 'not now'),
    'activate': ('clients may come', 503, 'not now'),
    'suspend': ('out', 404, 'no such cache server'),
    'resume': ('in use', 404, 'no such cache server'),
}


class OperatorConnection(Protocol):
    """An operator's connection."""

    urgent = True  # the reactor reads it before ordinary connections

    def __init__(self, server):
        self.server, self.reader = server, Reader(http.REQUEST, MAX_CALL_BODY)
        self.number, self.received, self.answered = None, False, False

    def connectionMade(self):
        no_delay(self.transport)
        self.transport.bufferSize = READ_SIZE
        self.server.opened(self)

    def dataReceived(self, data):
        if self.received or self.answered:
            return  # only the first call of a connection is read
        try:
            self.reader.feed(data)
            message = self.reader.take()
            if message:
                self.received = True
                self.server.called(message, self.reply)
            elif self.reader.expects_continue():
                self.transport.write(http.CONTINUE)
        except BadMessage as err:
            self.reply(err.status, str(err))
        except Exception:
            LOG.exception('fault')
            self.reply(500, 'a fault in the node')

    def reply(self, status, text, more=''):
        """Send the answer, unless one was sent or the connection is closed."""
        if not self.answered and self.number is not None:
            self.answered = True
            self.server.waiting.pop(self.number, None)
            self.transport.write(b''.join(http.answer(status, False, text + '\n', more)))
            self.transport.loseWriteConnection()
            self.server.deadlines.at(self.server.clock() + CLOSE_TIMEOUT, self.server.abort, self.number)

    def overdue(self):
        """Refuse a call that is overdue or has to make way for another."""
        self.reply(408, 'the call did not come')
        self.transport.loseConnection()

    def connectionLost(self, reason=None):
        self.server.closed(self)
        self.number = None


class OperatorServer(Factory):
    """The listening side, which maps paths to methods of the node."""

    noisy, urgent = False, True

    def __init__(self, node, deadlines, clock):
        self.node, self.deadlines, self.clock = node, deadlines, clock
        self.table, self.port = SlotTable(), None
        # Connections by number, oldest first: those without an answer, and all.
        self.waiting, self.open = {}, {}

    @property
    def holds(self):
        """The number of descriptors in use here."""
        return 1 + len(self.table)

    def listen(self, reactor, host, port):
        """Start to accept calls."""
        self.port = reactor.listenTCP(port, self, backlog=64, interface=host)
        self.port.numberAccepts = 1

    def buildProtocol(self, addr):
        self.port.numberAccepts = 0  # one a turn of the event loop: clients wait meanwhile
        return OperatorConnection(self)

    def opened(self, caller):
        """Register a connection; if there are too many, the oldest has to make way.

        Guards against callers that connect and say nothing.
        """
        if len(self.waiting) >= MAX_CALLERS:
            next(iter(self.waiting.values())).overdue()
        if len(self.open) >= MAX_CONNECTIONS:
            next(iter(self.open.values())).transport.abortConnection()
        caller.number = self.table.add(caller)
        self.waiting[caller.number] = self.open[caller.number] = caller
        self.deadlines.at(self.clock() + CALL_TIMEOUT, self.timed_out, caller.number)

    def closed(self, caller):
        """Remove a closed connection."""
        self.waiting.pop(caller.number, None)
        self.open.pop(caller.number, None)
        self.table.remove(caller.number)

    def timed_out(self, number):
        """Close a connection whose call has not arrived in time."""
        caller = self.table.get(number)
        if caller:
            caller.overdue()

    def abort(self, number):
        """Abort a connection that was not closed after its answer."""
        caller = self.table.get(number)
        if caller:
            caller.transport.abortConnection()

    def called(self, message, reply):
        """Handle a complete call."""
        verb, path = message.parts[0], message.path.split(b'/')[1:]
        method, allowed, name = METHODS.get(tuple(path)), b'POST', None
        if path[:2] == [b'v1', b'cache-servers'] and len(path) == 4:
            method, name = SERVER_METHODS.get(path[3]), unquote(path[2].decode('latin-1'))
        if method == 'can_serve':
            allowed = b'GET'
        if not self.node.began():
            reply(503, 'not ready')
        elif not method:
            reply(404, 'no such call')
        elif verb != allowed:
            reply(405, '%s only' % allowed.decode(), 'Allow: %s\r\n' % allowed.decode())
        else:
            self.call_node(method, name, reply)

    def call_node(self, method, name, reply):
        """Call a method of the node and answer.

        The success of a change is confirmed once the other processes of this node have made it too.
        """
        success, status, failure = ANSWERS[method]
        if not self.node.perform(method, name):
            reply(status, failure)
        elif self.node.handover and method != 'can_serve':
            self.node.handover.call_others(method, name, lambda: reply(200, success))
        else:
            reply(200, success)

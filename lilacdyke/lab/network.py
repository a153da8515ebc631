"""A simulated network of machines: TCP sockets with bounded buffers, accept queues, resets and cuts.

Owns what a kernel owns: descriptors, buffers, accept queues, the order of bytes, and how long they travel.
Its sockets answer the calls that Twisted's transports and net/sockets.py make of real ones, so both run
unchanged above it. Must never look into the bytes, nor know which machine is a node.
"""

import socket
from collections import deque
from errno import (
    EADDRINUSE,
    EAGAIN,
    ECONNREFUSED,
    ECONNRESET,
    EINPROGRESS,
    EISCONN,
    EMFILE,
    ENOTCONN,
    EPIPE,
    ETIMEDOUT,
)
from select import EPOLLERR, EPOLLHUP, EPOLLIN, EPOLLOUT
from struct import pack

WINDOW = 262_144  # bytes that a direction holds, sent and not yet read
SYN_WAITS = (
    1_000_000,
    2_000_000,
    4_000_000,
    8_000_000,
)  # until an unanswered connect asks again, microseconds
DEFERRED = 1_000_000  # what TCP_DEFER_ACCEPT keeps a silent connection from its queue
ESTABLISHED, CLOSED, CLOSE_WAIT = 1, 7, 8  # as tcp_info tells


class Socket:
    """One end of a connection, or one that listens. The calls are those of a real one that does not block."""

    __slots__ = (
        'net',
        'process',
        'fd',
        'local',
        'remote',
        'peer',
        'state',
        'inbox',
        'unread',
        'eof',
        'reset',
        'error',
        'fin_sent',
        'outstanding',
        'arrives',
        'heard',
        'linger',
        'poller',
        'backlog',
        'queue',
        'pending',
        'defer',
        'dead',
        'listener',
        'asked',
        'snapped',
    )

    def __init__(self, net, process):
        self.net, self.process, self.fd = net, process, -1
        self.local = self.remote = self.peer = self.poller = self.listener = None
        self.state = 'new'  # new, listening, connecting, open, failed, closed
        self.inbox, self.unread = deque(), 0
        self.eof = self.reset = self.fin_sent = self.linger = self.dead = self.defer = False
        self.error, self.outstanding, self.arrives, self.heard, self.asked = 0, 0, 0, 0, 0
        self.snapped = False  # whether a fault is resetting it: nothing more leaves, no end either
        self.backlog, self.queue, self.pending = 0, None, 0

    # --- calls ------------------------------------------------------------------------------------------

    def fileno(self):
        return self.fd

    def setblocking(self, flag):
        """It never blocks."""

    def size_for(self, call):
        """The most bytes that a call may move; None: all. Raises the OSError that it fails with, if any."""
        calls = self.process.calls
        if calls is None:
            return None
        rule = calls.check(call)
        if rule is not None and rule.errno:
            raise OSError(rule.errno, 'injected')
        return None if rule is None else rule.size

    def setsockopt(self, level, option, value):
        self.size_for('setsockopt')
        if level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            self.linger = True  # Twisted asks for that only to reset
        elif level == socket.IPPROTO_TCP and option == socket.TCP_DEFER_ACCEPT:
            self.defer = bool(value)

    def getsockopt(self, level, option, size=0):
        if level == socket.SOL_SOCKET and option == socket.SO_ERROR:
            return self.failed_with()
        self.size_for('getsockopt')
        if level == socket.IPPROTO_TCP and option == socket.TCP_INFO:
            state = CLOSED if self.reset else CLOSE_WAIT if self.eof else ESTABLISHED
            waited = (self.net.world.now - self.heard) // 1_000
            return pack('=B51xI', state, min(waited, 0xFFFFFFFF))[:size]
        return 0

    def failed_with(self):
        """What became of connecting, as SO_ERROR tells: an errno, or 0."""
        try:
            self.size_for('connected')
        except OSError as err:
            self.state = 'failed'
            return err.errno
        error, self.error = self.error, 0
        return error

    def bind(self, address):
        if address[1] and address in self.net.listeners:
            raise OSError(EADDRINUSE, 'address in use')
        self.local = address if address[1] else (address[0], self.net.port())

    def listen(self, backlog):
        if self.local in self.net.listeners:
            raise OSError(EADDRINUSE, 'address in use')
        self.backlog, self.queue, self.state = backlog, deque(), 'listening'
        self.net.listeners[self.local] = self

    def getsockname(self):
        return self.local or ('0.0.0.0', 0)

    def getpeername(self):
        return self.remote

    def accept(self):
        """The next connection; EMFILE with no descriptor left, as a real one has it."""
        if not self.queue:
            raise BlockingIOError(EAGAIN, 'nobody')
        self.size_for('accept')
        if self.process.full():
            raise OSError(EMFILE, 'too many open files')
        came = self.queue.popleft()
        came.listener = None
        self.process.give(came)
        return came, came.remote

    def connect_ex(self, address):
        if self.state == 'connecting':
            return EINPROGRESS
        if self.state == 'open':
            return EISCONN
        if self.state == 'failed':
            return self.error or ECONNREFUSED
        try:
            self.size_for('connect')
        except OSError as err:
            return err.errno
        self.remote, self.state = address, 'connecting'
        if self.local is None:
            self.local = (self.process.address, self.net.port())
        self.net.ask(self)
        return EINPROGRESS

    def send(self, data, flags=0):
        """As much as the window has room for; EAGAIN when it has none."""
        if self.reset or self.fin_sent:
            raise OSError(EPIPE if self.fin_sent else ECONNRESET, 'connection is over')
        if self.state != 'open':
            raise OSError(ENOTCONN, 'not connected')
        size = self.size_for('send')
        room = min(WINDOW - self.outstanding, self.net.allowed(self), WINDOW if size is None else size)
        if room <= 0:
            raise BlockingIOError(EAGAIN, 'full')
        data = bytes(data[:room])
        self.outstanding += len(data)
        self.net.carry(self, data)
        return len(data)

    def recv(self, count, flags=0):
        if not self.inbox:
            if self.reset:
                raise ConnectionResetError(ECONNRESET, 'reset')
            if self.eof:
                return b''
            raise BlockingIOError(EAGAIN, 'nothing')
        size = self.size_for('recv')
        count = count if size is None else min(count, size)
        first = self.inbox[0]
        if flags & socket.MSG_PEEK:
            return bytes(first[:count])
        if len(first) <= count:
            self.inbox.popleft()
            while self.inbox and len(first) + len(self.inbox[0]) <= count:
                first += self.inbox.popleft()
        else:
            self.inbox[0], first = first[count:], first[:count]
        self.unread -= len(first)
        peer = self.peer
        if peer is not None:
            was = peer.outstanding
            peer.outstanding -= len(first)
            if was >= WINDOW:
                peer.poke()
        return first

    def shutdown(self, how):
        if self.state != 'open' or self.reset:
            raise OSError(ENOTCONN, 'not connected')
        self.size_for('shutdown')
        if how >= 1 and not self.fin_sent:
            self.fin_sent = True
            self.net.carry(self, None)

    def close(self):
        """Give the descriptor back. Bytes unread, or a linger of nothing, reset the connection, as on
        Linux."""
        if self.dead:
            return
        self.dead = True
        self.process.take_back(self)
        if self.state == 'listening':
            del self.net.listeners[self.local]
            for waiting in self.queue:
                waiting.abandon()
            self.queue.clear()
        elif self.state == 'open' and not self.reset:
            if self.linger or self.inbox:
                self.net.break_off(self)
            elif not self.fin_sent:
                self.fin_sent = True
                self.net.carry(self, None)
        self.state = 'closed'

    # --- the kernel's side ------------------------------------------------------------------------------

    def abandon(self):
        """Nobody accepts it any more."""
        self.dead = True
        self.net.break_off(self)
        self.state = 'closed'

    def events(self):
        """What epoll would tell."""
        if self.state == 'listening':
            return EPOLLIN if self.queue else 0
        if self.state == 'failed' or self.reset:
            return EPOLLIN | EPOLLOUT | EPOLLERR | EPOLLHUP
        if self.state != 'open':
            return 0
        mask = EPOLLIN if self.inbox or self.eof else 0
        if self.outstanding < WINDOW:
            mask |= EPOLLOUT
        if self.eof and self.fin_sent:
            mask |= EPOLLHUP
        return mask

    def poke(self):
        """Something has changed: who polls it looks."""
        if self.poller is not None:
            self.poller.stir(self)

    def arrived(self, data):
        """Bytes, or the other side's end, have come."""
        if self.reset or self.state == 'closed' and data is None:
            return
        if self.dead or self.eof:
            self.net.break_off(self)
            return
        if data is None:
            self.eof = True
        else:
            self.inbox.append(data)
            self.unread += len(data)
            self.heard = self.net.world.now
        if self.listener is not None and self.pending:
            self.listener.enqueue(self)
        self.poke()

    def broken(self):
        """The other side has reset it; what was unread is gone."""
        if not self.reset:
            self.reset = True
            self.inbox.clear()
            self.unread = 0
            if self.listener is not None and self.pending:
                self.listener.enqueue(self)
            self.poke()

    def enqueue(self, came):
        """A connection is ready to be accepted."""
        if came.pending and not self.dead:
            came.pending = 0
            self.queue.append(came)
            self.poke()

    def late(self, came):
        """It said nothing for the time that the system waits."""
        if came.pending:
            self.enqueue(came)

    def fail(self, error):
        """The connection does not come up."""
        if self.state == 'connecting':
            self.state, self.error = 'failed', error
            self.poke()


class Process:
    """Who holds descriptors on a machine."""

    __slots__ = ('net', 'name', 'address', 'limit', 'open', 'most', 'calls')

    def __init__(self, net, name, address, limit=1 << 30):
        self.net, self.name, self.address, self.limit = net, name, address, limit
        self.open, self.most = {}, 0  # by descriptor, the oldest first
        self.calls = None  # its calls that fail, where some do (callfaults.py)

    def full(self):
        return len(self.open) >= self.limit

    def socket(self):
        """A new one, with a descriptor."""
        if self.calls is not None:
            self.calls.raise_for('socket')
        if self.full():
            raise OSError(EMFILE, 'too many open files')
        return self.give(Socket(self.net, self))

    def give(self, made):
        made.process, made.fd = self, self.net.descriptor()
        self.open[made.fd] = made
        self.most = max(self.most, len(self.open))
        return made

    def take_back(self, made):
        self.open.pop(made.fd, None)
        made.poller = None

    def die(self):
        """The process ends: its connections are closed by the system, those with bytes unread by a reset."""
        for held in list(self.open.values()):
            held.close()


class Network:
    """Which bytes travel from where to where, for how long, and which do not."""

    def __init__(self, world, delay):
        self.world, self.delay = world, delay  # delay(from, to): microseconds between two addresses
        self.listeners, self.ports, self.numbers = {}, 20_000, 1_000_000
        self.cuts = {}  # by number: addresses that are cut off from all others
        self.apart = {}  # by number: (an address, those it is cut off from)
        self.names = {}  # by machine and name: who holds it
        self.down = set()  # addresses of machines that are gone without a word
        self.held = []  # what a cut keeps back: (socket, data)
        self.stuck = {}  # processes whose sends the system takes only so much of at a time: bytes
        self.resets = {}  # by address: (chance of a reset a send, its source of chance)
        self.deaf = set()  # addresses whose accept queue is full

    def port(self):
        self.ports += 1
        return self.ports

    def descriptor(self):
        self.numbers += 1
        return self.numbers

    def passes(self, here, there):
        """Whether bytes get from one address to another now."""
        if here in self.down or there in self.down:
            return False
        for one, others in self.apart.values():
            if here == one and there in others or there == one and here in others:
                return False
        return not self.cuts or all((here in apart) == (there in apart) for apart in self.cuts.values())

    def allowed(self, sender):
        """How much the system takes of one send."""
        return self.stuck.get(sender.process, WINDOW) if self.stuck else WINDOW

    # --- connecting -------------------------------------------------------------------------------------

    def ask(self, asking):
        """A connect leaves, for the first time or again."""
        wait = self.delay(asking.local[0], asking.remote[0])
        self.world.later(wait, self.asked, asking)

    def asked(self, asking):
        """It comes where it should. Guards against a full queue as a real one does: it is not answered."""
        if asking.dead:
            return
        here, there = asking.local[0], asking.remote[0]
        if not self.passes(here, there):
            self.again(asking)
            return
        listener = self.listeners.get(asking.remote)
        back = self.delay(there, here)
        if listener is None:
            self.world.later(back, asking.fail, ECONNREFUSED)
        elif len(listener.queue) > listener.backlog or there in self.deaf:
            self.again(asking)
        else:
            self.accept(asking, listener, back)

    def again(self, asking):
        if asking.asked >= len(SYN_WAITS):
            asking.fail(ETIMEDOUT)
            return
        self.world.later(SYN_WAITS[asking.asked], self.ask, asking)
        asking.asked += 1

    def accept(self, asking, listener, back):
        """The system accepts; the program may do so later."""
        came = Socket(self, listener.process)
        came.local, came.remote, came.state = asking.remote, asking.local, 'open'
        came.peer, asking.peer = asking, came
        came.heard, came.listener, came.pending = self.world.now, listener, 1
        came.arrives = self.world.now + back  # nothing that it sends comes before its word that it is up
        if listener.defer:
            self.world.later(DEFERRED, listener.late, came)
        else:
            listener.enqueue(came)
        self.world.later(back, self.up, asking)

    def up(self, asking):
        if asking.dead:
            self.break_off(asking)
        elif asking.state == 'connecting':
            asking.state, asking.heard = 'open', self.world.now
            asking.poke()

    # --- bytes ------------------------------------------------------------------------------------------

    def carry(self, sender, data):
        """Bytes, or an end (None), leave; on one connection nothing overtakes."""
        if sender.snapped:
            return
        here, there = sender.local[0], sender.remote[0]
        if data and self.resets:
            chance = self.resets.get(there) or self.resets.get(here)
            if chance and chance[1].random() < chance[0]:
                data = data[: chance[1].randrange(len(data) + 1)]
                if data:
                    self.ship(sender, data, here, there)
                sender.snapped = True
                self.world.later(0, self.snap, sender)
                return
        self.ship(sender, data, here, there)

    def ship(self, sender, data, here, there):
        sender.arrives = max(sender.arrives, self.world.now + self.delay(here, there))
        self.world.at(sender.arrives, self.deliver, sender, data)

    def snap(self, sender):
        """A fault resets the connection for both."""
        self.break_off(sender)
        self.world.later(self.delay(sender.remote[0], sender.local[0]), sender.broken)

    def deliver(self, sender, data):
        if not self.passes(sender.local[0], sender.remote[0]):
            self.held.append((sender, data))
        elif sender.peer is not None:
            sender.peer.arrived(data)

    def break_off(self, sender):
        """A reset travels to the other side, behind what was sent."""
        sender.state = 'closed' if sender.dead else sender.state
        if sender.peer is not None:
            sender.arrives = max(
                sender.arrives, self.world.now + self.delay(sender.local[0], sender.remote[0])
            )
            self.world.at(sender.arrives, self.deliver_reset, sender)

    def deliver_reset(self, sender):
        if self.passes(sender.local[0], sender.remote[0]):
            sender.peer.broken()
        else:
            self.held.append((sender, b''))

    # --- faults -----------------------------------------------------------------------------------------

    def cut(self, number, addresses):
        """These are cut off from all others, without a word."""
        self.cuts[number] = frozenset(addresses)

    def mend(self, number):
        """The cut is over: what it kept back arrives now, in order."""
        self.cuts.pop(number, None)
        self.release()

    def vanish(self, address):
        """A machine is gone without a word; what it held is lost."""
        self.down.add(address)

    def restore(self, address):
        """It is back, and knows nothing of its old connections."""
        self.down.discard(address)
        self.release()

    def release(self):
        held, self.held = self.held, []
        for sender, data in held:
            if data == b'':
                self.deliver_reset(sender)
            else:
                self.deliver(sender, data)

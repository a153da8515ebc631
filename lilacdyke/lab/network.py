"""Simulated network of machines: TCP sockets with bounded buffers, accept queues, resets and partitions.

Models what a kernel provides: descriptors, buffers, accept queues, byte order and delays. The sockets
implement the calls that Twisted's transports and net/sockets.py make, so both run on them unchanged. The
network never looks at the data and does not know which machine is a node.
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

WINDOW = 262_144  # bytes per direction that are sent and not yet read
SYN_RETRY_US = (
    1_000_000,
    2_000_000,
    4_000_000,
    8_000_000,
)  # delays before a SYN is sent again
DEFER_ACCEPT_US = 1_000_000  # how long TCP_DEFER_ACCEPT holds a silent connection
ESTABLISHED, CLOSED, CLOSE_WAIT = 1, 7, 8  # states in tcp_info


class Socket:
    """End of a connection, or a listening socket, with the interface of a non-blocking socket."""

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
        'last_arrival',
        'last_received',
        'linger',
        'poller',
        'backlog',
        'queue',
        'awaiting_accept',
        'defer',
        'is_closed',
        'listener',
        'syn_retries',
        'resetting',
        'error_reported',
    )

    def __init__(self, net, process):
        self.net, self.process, self.fd = net, process, -1
        self.local = self.remote = self.peer = self.poller = self.listener = None
        self.state = 'new'  # new, listening, connecting, open, failed, closed
        self.inbox, self.unread = deque(), 0
        self.eof = self.reset = self.fin_sent = self.linger = self.is_closed = self.defer = False
        self.error, self.outstanding, self.last_arrival, self.last_received, self.syn_retries = 0, 0, 0, 0, 0
        self.resetting = False  # an injected reset is under way: nothing more is sent, not even a FIN
        self.error_reported = False  # whether a call has received the error of a reset
        self.backlog, self.queue, self.awaiting_accept = 0, None, 0

    # --- socket calls -----------------------------------------------------------------------------------

    def fileno(self):
        return self.fd

    def setblocking(self, flag):
        """Ignored: the socket never blocks."""

    def check_call(self, call):
        """Return the most bytes that a call may transfer, or None for no limit. Raise an injected OSError, if
        any."""
        calls = self.process.calls
        if calls is None:
            return None
        rule = calls.check(call)
        if rule is not None and rule.errno:
            raise OSError(rule.errno, 'injected')
        return None if rule is None else rule.size

    def setsockopt(self, level, option, value):
        self.check_call('setsockopt')
        if level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            self.linger = True  # Twisted sets it only to reset the connection
        elif level == socket.IPPROTO_TCP and option == socket.TCP_DEFER_ACCEPT:
            self.defer = bool(value)

    def getsockopt(self, level, option, size=0):
        if level == socket.SOL_SOCKET and option == socket.SO_ERROR:
            return self.connect_error()
        self.check_call('getsockopt')
        if level == socket.IPPROTO_TCP and option == socket.TCP_INFO:
            state = CLOSED if self.reset else CLOSE_WAIT if self.eof else ESTABLISHED
            waited = (self.net.world.now - self.last_received) // 1_000
            return pack('=B51xI', state, min(waited, 0xFFFFFFFF))[:size]
        return 0

    def connect_error(self):
        """Return and clear the pending error for SO_ERROR: an errno, or 0."""
        try:
            self.check_call('connected')
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
        """Return the next connection. Raise EMFILE at the descriptor limit, as the kernel does."""
        if not self.queue:
            raise BlockingIOError(EAGAIN, 'no connection is waiting')
        self.check_call('accept')
        if self.process.at_limit():
            raise OSError(EMFILE, 'too many open files')
        accepted = self.queue.popleft()
        accepted.listener = None
        self.process.register(accepted)
        return accepted, accepted.remote

    def connect_ex(self, address):
        if self.state == 'connecting':
            return EINPROGRESS
        if self.state == 'open':
            return EISCONN
        if self.state == 'failed':
            return self.error or ECONNREFUSED
        try:
            self.check_call('connect')
        except OSError as err:
            return err.errno
        self.remote, self.state = address, 'connecting'
        if self.local is None:
            self.local = (self.process.address, self.net.port())
        self.net.send_syn(self)
        return EINPROGRESS

    def send(self, data, flags=0):
        """Send as much as fits into the window. Raise EAGAIN if it is full."""
        if self.reset or self.fin_sent:
            raise OSError(
                EPIPE if self.fin_sent or not self.take_error() else ECONNRESET, 'connection is closed'
            )
        if self.state != 'open':
            raise OSError(ENOTCONN, 'not connected')
        size = self.check_call('send')
        room = min(WINDOW - self.outstanding, self.net.send_limit(self), WINDOW if size is None else size)
        if room <= 0:
            raise BlockingIOError(EAGAIN, 'the send window is full')
        data = bytes(data[:room])
        self.outstanding += len(data)
        self.net.transmit(self, data)
        return len(data)

    def take_error(self):
        """Return whether the error of a reset is still to be reported; Linux reports it once."""
        reported, self.error_reported = self.error_reported, True
        return not reported

    def recv(self, count, flags=0):
        if not self.inbox:
            if self.reset and self.take_error():
                raise ConnectionResetError(ECONNRESET, 'reset')
            if self.reset or self.eof:
                return b''
            raise BlockingIOError(EAGAIN, 'no data')
        size = self.check_call('recv')
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
            outstanding_before = peer.outstanding
            peer.outstanding -= len(first)
            if outstanding_before >= WINDOW:
                peer.notify_poller()
        return first

    def shutdown(self, how):
        if self.state != 'open' or self.reset:
            raise OSError(ENOTCONN, 'not connected')
        self.check_call('shutdown')
        if how >= 1 and not self.fin_sent:
            self.fin_sent = True
            self.net.transmit(self, None)

    def close(self):
        """Release the descriptor. Unread data or a zero linger time resets the connection, as on Linux."""
        if self.is_closed:
            return
        self.is_closed = True
        self.process.unregister(self)
        if self.state == 'listening':
            del self.net.listeners[self.local]
            for waiting in self.queue:
                waiting.drop_unaccepted()
            self.queue.clear()
        elif self.state == 'open' and not self.reset:
            if self.linger or self.inbox:
                self.net.send_reset(self)
            elif not self.fin_sent:
                self.fin_sent = True
                self.net.transmit(self, None)
        self.state = 'closed'

    # --- kernel side ------------------------------------------------------------------------------------

    def drop_unaccepted(self):
        """Reset a connection whose listener closed before accepting it."""
        self.is_closed = True
        self.net.send_reset(self)
        self.state = 'closed'

    def events(self):
        """Return the event mask that epoll would report."""
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

    def notify_poller(self):
        """Tell the poller that the state has changed."""
        if self.poller is not None:
            self.poller.mark_ready(self)

    def on_data(self, data):
        """Receive data from the peer, or its FIN (None)."""
        if self.reset or self.state == 'closed' and data is None:
            return
        if self.is_closed or self.eof:
            self.net.send_reset(self)
            return
        if data is None:
            self.eof = True
        else:
            self.inbox.append(data)
            self.unread += len(data)
            self.last_received = self.net.world.now
        if self.listener is not None and self.awaiting_accept:
            self.listener.enqueue(self)
        self.notify_poller()

    def on_reset(self):
        """Receive a reset; unread data is lost."""
        if not self.reset:
            self.reset = True
            self.inbox.clear()
            self.unread = 0
            if self.listener is not None and self.awaiting_accept:
                self.listener.enqueue(self)
            self.notify_poller()

    def enqueue(self, accepted):
        """Queue a connection for accept."""
        if accepted.awaiting_accept and not self.is_closed:
            accepted.awaiting_accept = 0
            self.queue.append(accepted)
            self.notify_poller()

    def defer_expired(self, accepted):
        """Queue a connection that was still silent when TCP_DEFER_ACCEPT ran out."""
        if accepted.awaiting_accept:
            self.enqueue(accepted)

    def fail(self, error):
        """Fail a connect in progress."""
        if self.state == 'connecting':
            self.state, self.error = 'failed', error
            self.notify_poller()


class Process:
    """Process on a machine, with its descriptors."""

    __slots__ = ('net', 'name', 'address', 'limit', 'open', 'peak_open', 'calls')

    def __init__(self, net, name, address, limit=1 << 30):
        self.net, self.name, self.address, self.limit = net, name, address, limit
        self.open, self.peak_open = {}, 0  # by descriptor, oldest first
        self.calls = None  # injected call faults, if any (callfaults.py)

    def at_limit(self):
        return len(self.open) >= self.limit

    def socket(self):
        """Create a socket."""
        if self.calls is not None:
            self.calls.raise_for('socket')
        if self.at_limit():
            raise OSError(EMFILE, 'too many open files')
        return self.register(Socket(self.net, self))

    def register(self, sock):
        sock.process, sock.fd = self, self.net.descriptor()
        self.open[sock.fd] = sock
        self.peak_open = max(self.peak_open, len(self.open))
        return sock

    def unregister(self, sock):
        self.open.pop(sock.fd, None)
        sock.poller = None

    def close_all(self):
        """Close all sockets, as the kernel does when the process ends."""
        for sock in list(self.open.values()):
            sock.close()


class Network:
    """Delivers data between addresses with delays and injected faults."""

    def __init__(self, world, delay):
        self.world, self.delay = world, delay  # delay(from, to): microseconds
        self.listeners, self.last_port, self.last_fd = {}, 20_000, 1_000_000
        self.cuts = {}  # by id: addresses partitioned from all others
        self.apart = {}  # by id: (address, addresses it cannot reach)
        self.held_names = {}  # (address, name) -> reactor of the holding process
        self.down = set()  # addresses of machines that have vanished
        self.held_back = []  # undelivered during a partition: (socket, data)
        self.stuck = {}  # process -> the most bytes that one send takes
        self.resets = {}  # by address: (probability of a reset per send, random source)
        self.deaf = set()  # addresses whose accept queue is full

    def port(self):
        self.last_port += 1
        return self.last_port

    def descriptor(self):
        self.last_fd += 1
        return self.last_fd

    def can_reach(self, here, there):
        """Return whether data can be delivered between two addresses now."""
        if here in self.down or there in self.down:
            return False
        for one, others in self.apart.values():
            if here == one and there in others or there == one and here in others:
                return False
        return not self.cuts or all((here in apart) == (there in apart) for apart in self.cuts.values())

    def send_limit(self, sender):
        """Return the most bytes that one send takes."""
        return self.stuck.get(sender.process, WINDOW) if self.stuck else WINDOW

    # --- connecting -------------------------------------------------------------------------------------

    def send_syn(self, connecting):
        """Send a SYN, for the first time or again."""
        wait = self.delay(connecting.local[0], connecting.remote[0])
        self.world.later(wait, self.receive_syn, connecting)

    def receive_syn(self, connecting):
        """Receive a SYN. It is dropped if the accept queue is full, as on Linux."""
        if connecting.is_closed:
            return
        here, there = connecting.local[0], connecting.remote[0]
        if not self.can_reach(here, there):
            self.retry_syn(connecting)
            return
        listener = self.listeners.get(connecting.remote)
        return_delay = self.delay(there, here)
        if listener is None:
            self.world.later(return_delay, connecting.fail, ECONNREFUSED)
        elif len(listener.queue) > listener.backlog or there in self.deaf:
            self.retry_syn(connecting)
        else:
            self.establish(connecting, listener, return_delay)

    def retry_syn(self, connecting):
        if connecting.syn_retries >= len(SYN_RETRY_US):
            connecting.fail(ETIMEDOUT)
            return
        self.world.later(SYN_RETRY_US[connecting.syn_retries], self.send_syn, connecting)
        connecting.syn_retries += 1

    def establish(self, connecting, listener, return_delay):
        """Complete the handshake on the server side; the program may accept later."""
        accepted = Socket(self, listener.process)
        accepted.local, accepted.remote, accepted.state = connecting.remote, connecting.local, 'open'
        accepted.peer, connecting.peer = connecting, accepted
        accepted.last_received, accepted.listener, accepted.awaiting_accept = self.world.now, listener, 1
        accepted.last_arrival = self.world.now + return_delay  # no data overtakes the SYN-ACK
        if listener.defer:
            self.world.later(DEFER_ACCEPT_US, listener.defer_expired, accepted)
        else:
            listener.enqueue(accepted)
        self.world.later(return_delay, self.receive_syn_ack, connecting)

    def receive_syn_ack(self, connecting):
        if connecting.is_closed:
            self.send_reset(connecting)
        elif connecting.state == 'connecting':
            connecting.state, connecting.last_received = 'open', self.world.now
            connecting.notify_poller()

    # --- data -------------------------------------------------------------------------------------------

    def transmit(self, sender, data):
        """Send data or a FIN (None); the order within a connection is kept."""
        if sender.resetting:
            return
        here, there = sender.local[0], sender.remote[0]
        if data and self.resets:
            fault = self.resets.get(there) or self.resets.get(here)
            if fault and fault[1].random() < fault[0]:
                data = data[: fault[1].randrange(len(data) + 1)]
                if data:
                    self.schedule_delivery(sender, data, here, there)
                sender.resetting = True
                self.world.later(0, self.reset_both, sender)
                return
        self.schedule_delivery(sender, data, here, there)

    def schedule_delivery(self, sender, data, here, there):
        sender.last_arrival = max(sender.last_arrival, self.world.now + self.delay(here, there))
        self.world.at(sender.last_arrival, self.deliver, sender, data)

    def reset_both(self, sender):
        """Inject a reset at both ends."""
        self.send_reset(sender)
        self.world.later(self.delay(sender.remote[0], sender.local[0]), sender.on_reset)

    def deliver(self, sender, data):
        if not self.can_reach(sender.local[0], sender.remote[0]):
            self.held_back.append((sender, data))
        elif sender.peer is not None:
            sender.peer.on_data(data)

    def send_reset(self, sender):
        """Send a reset to the peer, behind the data sent before."""
        sender.state = 'closed' if sender.is_closed else sender.state
        if sender.peer is not None:
            sender.last_arrival = max(
                sender.last_arrival, self.world.now + self.delay(sender.local[0], sender.remote[0])
            )
            self.world.at(sender.last_arrival, self.deliver_reset, sender)

    def deliver_reset(self, sender):
        if self.can_reach(sender.local[0], sender.remote[0]):
            sender.peer.on_reset()
        else:
            self.held_back.append((sender, b''))

    # --- faults -----------------------------------------------------------------------------------------

    def cut(self, number, addresses):
        """Partition these addresses from all others: SYNs are dropped, data is held back."""
        self.cuts[number] = frozenset(addresses)

    def end_cut(self, number):
        """End a partition and deliver what it held back, in order."""
        self.cuts.pop(number, None)
        self.release()

    def vanish(self, address):
        """Make a machine unreachable."""
        self.down.add(address)

    def restore(self, address):
        """Make a machine reachable again."""
        self.down.discard(address)
        self.release()

    def release(self):
        held_back, self.held_back = self.held_back, []
        for sender, data in held_back:
            if data == b'':
                self.deliver_reset(sender)
            else:
                self.deliver(sender, data)

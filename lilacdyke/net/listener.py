"""Listening socket, admission of clients within the descriptor budget, and routing of requests.

Holds the listening socket, the slots of client connections and their deadlines. Makes no decisions
about transactions, and never closes a connection on which an answer is due.
"""

import socket
from socket import AF_INET, AF_INET6
from typing import NamedTuple

from twisted.internet.protocol import Factory

from ..values import InvalidValueError, number, to_ticks_floor
from . import http
from .client import ClientConnection
from .http import BadMessage
from .logs import log_warning
from .overflow import Overflow
from .phases import ASKED, BUSY, CHECK_INTERVAL_FULL, FRESH, FULL, LOOK, NORMAL, STREAMING, Phases
from .sockets import guard
from .tables import SlotTable

EVICTION_SHARE = 0.5  # share of the budget in use from which each new connection evicts an idle one
QUIET_PERIOD = 2_500  # ticks without a new connection after which none is expected
RESERVED_SLOTS = 2  # free slots at which connections are closed after their answer
MAX_LAST_ACCEPTS = 16  # connections accepted right before the listening socket is closed
MAX_UNREAD_CHECK = 1_024  # bytes of a request that is checked before its connection is let in
MAX_BAD_REQUESTS = 4  # unknown paths or methods per connection before it is closed


class Fault(NamedTuple):
    """Why a request cannot be served: the status, text and further header lines of the answer."""

    status: int
    text: str
    more: str = ''


class Listener(Factory):
    """Factory of client connections, within a budget of descriptors."""

    noisy = False

    def __init__(self, node, deadlines, clock, terms, budget, events, memory):
        self.node, self.deadlines, self.clock = node, deadlines, clock
        self.memory = memory  # budget for what connections hold (memory.py)
        memory.resume = self.schedule_resume
        self.terms, self.table, self.budget = terms, SlotTable(), budget
        self.events = events  # log of individual connections (events.py)
        self.longest_limit = max(profile.hard_limit for profile in terms.profiles)
        self.profiles = {p.name.encode(): row for row, p in enumerate(terms.profiles)}
        self.tenants = {t.name.encode() for t in terms.tenants}
        self.phases = Phases(clock)
        self.port, self.full, self.shut = None, False, False
        self.overflow = Overflow(self)
        self.accepting_elsewhere = False  # whether another process of this node accepts connections
        self.last_connected, self.connections = 0, 0  # time of the last connection; number of connections
        self.idle_closed_at = 0  # when an idle connection was last closed

    def listen(self, reactor, host, port, given=None):
        """Start accepting clients at an address, or on a listening socket received from another
        process.
        """
        if given is None:
            self.port = reactor.listenTCP(port, self, backlog=1024, interface=host)
        else:
            self.port = reactor.adoptStreamPort(given, AF_INET6 if ':' in host else AF_INET, self)
        self.port.numberAccepts = 1
        guard(
            self.port,
            self.node.router.late,
            http.is_single_request,
            self.refusal,
            self.crowded,
            self.node.call_failed,
            self.fault_unread,
        )
        self.update_accepting()
        self.evict_overdue()

    def buildProtocol(self, addr):
        self.port.numberAccepts = 0  # keeps Twisted at one accept an iteration: more could exceed the budget
        return ClientConnection(self)

    def too_late(self, came, data):
        """Return whether the bytes look like one whole request that has waited too long.

        Guards against overload, in which parsing requests that can only be refused costs most of what
        serving them does.
        """
        return self.node.router.late(self.clock() - came) and http.is_single_request(data)

    def refusal(self, keep_alive=False):
        """Return the answer for a request that has waited too long before it was accepted."""
        self.node.count('turned_away')
        self.events.say('request refused', why='waited too long before accept')
        return self.node.refusal(keep_alive and not self.node.leaving(), self.node.router.retry_delay)

    def put(self, client, phase, since=None):
        """Move a client's connection to a phase, now or since the given time."""
        self.phases.put(client, phase, self.clock() if since is None else since)

    def opened(self, client):
        """Register a new connection.

        Well before slots run out, the longest idle one is closed, so that clients or a load balancer
        that keep connections open do not exhaust them. Once all slots are taken connections wait in the
        system's queue, and the first of them beyond the budget.
        """
        client.number = self.table.add(client)
        self.last_connected, self.connections = self.clock(), self.connections + 1
        self.put(client, FRESH)
        if self.slots_taken() > self.budget:
            self.overflow.admit(client)
        if len(self.table) > self.budget * EVICTION_SHARE:
            self.phases.make_room(1, BUSY)
        self.check_slots()

    def evict_overdue(self, _=0):
        """Close overdue connections periodically."""
        self.phases.make_room(self.budget, NORMAL)
        if self.memory.paused or self.memory.exhausted:
            self.review_memory()
        self.deadlines.at(self.clock() + LOOK, self.evict_overdue, 0)

    def review_memory(self):
        """Charge all connections anew, as output leaves without an event, and end some that hold too much."""
        for holder in (*self.table, *self.node.caches.table):
            self.memory.update(holder)
        if self.memory.overdrawn:
            self.phases.free_memory(self.memory)

    def evict_while_full(self, _=0):
        """Close overdue connections, more often and a few at a time, while all slots are taken."""
        if self.full:
            self.phases.make_room(max(1, self.budget // 16), FULL)
            self.check_queue()
            self.deadlines.at(self.clock() + CHECK_INTERVAL_FULL, self.evict_while_full, 0)

    def slots_taken(self):
        """Return the number of connections without those beyond the budget."""
        return len(self.table) - self.overflow.open

    def check_slots(self):
        """Stop accepting when all slots are taken, and resume when one is free.

        To be called after a connection has opened or closed, and after a change of the budget.
        """
        self.overflow.serve_waiting()
        full = self.slots_taken() >= self.budget
        if full != self.full and not self.shut:
            self.full = full
            self.update_accepting()
            if full:
                self.deadlines.at(self.clock() + CHECK_INTERVAL_FULL, self.evict_while_full, 0)

    def update_accepting(self):
        """Start or stop reading from the listening socket."""
        if not self.shut:
            reads = self.accepts() and not self.full
            (self.port.startReading if reads else self.port.stopReading)()

    def crowded(self, no_descriptor):
        """Handle a failed accept by pausing for a moment.

        Without a descriptor, although the budget allows one, idle connections are closed as well, so
        that clients do not time out in the queue.
        """
        if no_descriptor:
            self.node.count('no_descriptor')
            self.node.caches.evict_idle()
            self.phases.make_room(1, FULL)
        self.port.stopReading()
        self.deadlines.at(self.clock() + CHECK_INTERVAL_FULL // 10, self.retry_accepting, 0)

    def retry_accepting(self, _):
        self.update_accepting()

    def disable_deferred_accept(self):
        """Disable TCP_DEFER_ACCEPT before the exit, so that connections are seen before their first
        bytes. Guards against closing the socket on one that nobody has seen.
        """
        try:
            self.port.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 0)
        except OSError as err:
            self.node.call_failed('setsockopt', err.errno)

    def no_clients_expected(self, until):
        """Return whether the listening socket may be closed: no connection has arrived for a while
        (counted from `until` at the latest) and none is queued. Also waits for clients that reconnect
        because their request crossed the end of an idle connection.
        """
        if self.clock() < max(min(self.last_connected, until), self.idle_closed_at) + QUIET_PERIOD:
            return False
        if not self.accepts():
            return True
        if self.full and (self.overflow.waiting or not self.overflow.has_room()):
            return False
        return not self.accept_one()

    def accepts(self):
        """Return whether this process takes connections from the system's queue."""
        return not (self.shut or self.accepting_elsewhere)

    def accept_one(self):
        """Accept one connection if one is queued; return whether it was."""
        before, self.port.numberAccepts = self.connections, 1
        self.port.doRead()
        return self.connections > before

    def stop_listening(self):
        """Close the listening socket, right after a last look into its queue, which would be reset."""
        if self.shut:
            return
        self.port.stopReading()
        slots = self.budget - self.slots_taken()
        if self.accepts() and slots > 0:
            self.port.numberAccepts = min(MAX_LAST_ACCEPTS, slots)
            self.port.doRead()
        self.shut = True
        self.port.stopListening()

    def closed(self, client):
        """Unregister a connection that has ended."""
        self.memory.release(client)
        self.phases.remove(client)
        self.table.remove(client.number)
        self.overflow.forget(client)
        self.check_slots()
        if client.over_budget:
            self.deadlines.at(self.clock(), self.check_queue, 0)

    def check_queue(self, _=0):
        """While all slots are taken, see to the connections in the system's queue."""
        if self.full:
            self.overflow.step()

    def schedule_read(self, client):
        """Schedule reading of pipelined requests in a later reactor iteration."""
        self.deadlines.at(self.clock(), self.read_on, client.number)

    def read_on(self, number_):
        """Continue with input received behind the last answer."""
        client = self.table.get(number_)
        if client:
            client.read_scheduled = False
            client.read_on()
            client.update_reading()
            client.resume_reading()

    def schedule_resume(self):
        """Schedule resuming the connections whose reading was paused for want of memory."""
        self.deadlines.at(self.clock(), self.resume_paused, 0)

    def resume_paused(self, _):
        """Resume reading where it was paused for want of memory."""
        for holder in self.memory.take_paused():
            holder.memory_available()

    def download_due(self, number_):
        """Deadline of a large answer."""
        client = self.table.get(number_)
        if client and client.download:
            client.download.due()

    def upload_due(self, number_):
        """Deadline of a large request whose body is paused."""
        client = self.table.get(number_)
        if client and client.upload:
            client.upload.due()

    def abort_streaming(self, _=0):
        """Abort the answers being streamed, shortly before the process exits: an exit would look like
        the orderly end of their bodies. Return whether there was one.
        """
        streaming = [client for client in self.phases.listed(STREAMING) if client.download]
        for client in streaming:
            client.download.abort_both()
        return bool(streaming)

    def close_idle(self, rested=0):
        """Close connections that have been without a request for this long, in ticks.

        New connections get more time, as their first request may be on its way.
        """
        now = self.clock()
        self.phases.close_idle(now - max(rested, QUIET_PERIOD), now - rested)

    def requested(self, client, message):
        """Route a complete request: answer it here, or pass it to the node."""
        if message.path == b'/ready':
            status, text = (200, 'ready\n') if self.node.ready() else (503, 'not ready\n')
            client.reply(http.answer(status, self.stay(client), text))
            return
        fault = self.find_fault(message)
        if fault is None:
            self.start_transaction(client, message)
        elif fault.status in (404, 405):
            # Guards against a client that repeats a bad request as soon as it is refused.
            client.bad_requests += 1
            client.keep_alive = client.keep_alive and client.bad_requests < MAX_BAD_REQUESTS
            client.reply(http.answer(fault.status, self.stay(client), fault.text + '\n', fault.more))
        else:
            self.node.count('malformed')
            client.refuse(fault.status, fault.text)

    def find_fault(self, message):
        """Return the Fault of a request that cannot be served, or None."""
        if self.profile_row(message) is None:
            return Fault(404, 'no such path')
        if message.parts[0] not in (b'GET', b'PUT'):
            return Fault(405, 'GET or PUT', 'Allow: GET, PUT\r\n')
        name, owner = message.field(b'req-id'), message.field(b'req-owner')
        sound = name and message.field(b'host') and (not owner or owner in self.tenants)
        if not sound or self.wait_of(message) < 0:
            return Fault(400, 'Host, Req-Id, Req-Deadline or Req-Owner out of form')
        if self.node.is_known_id(name):
            # Guards against executing one id twice; the first request continues.
            return Fault(409, 'this Req-Id is open')
        return None

    def fault_unread(self, data):
        """Return the answer to a new connection's unread bytes if they are one unsound request, or None.

        Guards against a flood of unsound requests on ever new connections, behind which others wait: here
        each costs a few system calls.
        """
        if len(data) > MAX_UNREAD_CHECK:
            return None
        try:
            message = http.single_request(data)
            if message is None or message.path == b'/ready':
                return None
            fault = self.find_fault(message)
        except BadMessage as err:
            fault = Fault(err.status, str(err))
        if fault is None:
            return None
        self.node.count('malformed_unread')
        return b''.join(http.answer(fault.status, False, fault.text + '\n', fault.more))

    def profile_row(self, message):
        """Return the number of the profile that a request's path names, or None."""
        parts = message.path.split(b'/')
        return self.profiles.get(parts[1]) if len(parts) > 1 and not parts[0] else None

    def wait_of(self, message):
        """Return how long a request's client waits, in ticks; below 0 if that is malformed."""
        told, hard = message.field(b'req-deadline'), self.terms.profiles[self.profile_row(message)].hard_limit
        try:
            return hard if told is None else min(hard, to_ticks_floor(number(told.decode('latin-1'))))
        except InvalidValueError:
            return -1

    def start_transaction(self, client, message):
        """Pass a sound request to the node, if there is room for it."""
        if not self.overflow.has_slot(client):
            self.overflow.refuse(client)
            return
        if not self.memory.admits(client):
            self.refuse_for_memory(client, message)
            return
        last = message.path.rpartition(b'/')[2] if message.path.count(b'/') > 1 else b''
        key = last.decode('latin-1') or None
        self.node.take(
            client, message, self.profile_row(message), key, self.wait_of(message), client.received_at
        )

    def refuse_for_memory(self, client, message):
        """Refuse a request at once that there is no memory for. It has not been sent to any server."""
        self.node.count('refused_memory')
        self.events.say('request refused', message.field(b'req-id'), why='no memory')
        log_warning('request refused for memory', held=self.memory.total, of=self.memory.shared)
        client.reply(self.node.refusal(self.stay(client), self.node.router.retry_delay))

    def stay(self, client):
        """Return whether the connection is kept open after this answer; it is closed when slots are
        scarce.
        """
        crowded = self.phases.count(ASKED) >= self.budget - RESERVED_SLOTS
        client.keep_alive = (
            client.keep_alive
            and not crowded
            and not self.node.leaving()
            and not client.upload
            and not client.over_budget
        )
        return client.keep_alive

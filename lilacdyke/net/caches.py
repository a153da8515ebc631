"""Pools of connections to cache servers.

Holds each connection to a cache server or the origin from dialling to its end, and assigns hops to them.
Does not retry hops or choose servers.
"""

from collections import deque
from errno import ECONNREFUSED
from typing import NamedTuple

from .links import Exchange, Link, reason_text
from .local_errors import NO_DESCRIPTOR, connecting_errno, local_errno
from .sockets import connect, nothing_unread
from .tables import SlotTable

IDLE_FRACTION = 0.6  # fraction of the server's idle timeout after which idle connections are closed
SETTLE_TIME = 100  # ticks after an answer before its connection carries the next hop
# After a local failure to connect: shortest and longest backoff in ticks. A hop waits for 1/HOLD_DIVISOR of
# its remaining time and at most MAX_HOLD ticks, as all hops that wait reach the server at once.
MIN_REDIAL_DELAY, MAX_REDIAL_DELAY, HOLD_DIVISOR, MAX_HOLD = 50, 500, 8, 2_500
SHORT_IDLE_TIME = 3 * SETTLE_TIME  # ticks an idle connection is kept while the server has no free slots
CACHE_STATUSES = {b'hit': 1, b'miss': 2, b'pending': 3}


class ServerProcess(NamedTuple):
    """A process of a server as the list describes it."""

    address: tuple  # IP address and port
    started: float  # Unix time in milliseconds; 0: long ago


class Pool:
    """Connections to one server."""

    __slots__ = (
        *('caches', 'server', 'process', 'idle_links', 'waiting', 'dials', 'refused', 'short_until', 'links'),
        *('backoff', 'redial_at'),
    )

    def __init__(self, caches, server, process):
        self.caches, self.server = caches, server
        self.process = process  # the server's process, as the list has it
        self.idle_links = []  # idle connections, most recently used last
        self.waiting = deque()  # hops that wait for a connection
        self.dials = 0  # connections being opened
        self.links = 0  # all connections, including those being opened
        self.short_until = 0  # until when the server counts as short of connection slots
        self.backoff = 0  # backoff in ticks after local failures; 0: none
        self.redial_at = None  # time of the next attempt after a local failure; None: not scheduled
        self.refused = False  # whether an attempt was refused since, so that the server's process had ended

    def send(self, exchange):
        """Carry a hop on an idle connection, or open a new one for it."""
        now = self.caches.clock()
        if not exchange.wanted():
            exchange.complete('unsent')
            return
        for link in self.idle_links[::-1]:
            if link.ready_at <= now and self.claim(link):
                link.carry(exchange)
                return
        if not self.caches.room() or not self.may_dial() and not self.links:
            exchange.complete('unsent')
            return
        self.waiting.append(exchange)
        if self.redial_at is not None:
            self.hold(exchange)
        elif self.may_dial():
            self.dial()  # otherwise the hop waits for the first connection released

    def may_dial(self):
        """Return whether the fleet's limit on connections to this server permits another one."""
        fleet_limits = self.caches.fleet_limits
        return fleet_limits is None or fleet_limits.links(self.caches.clock(), self.server)

    def count(self, more):
        """Adjust the number of connections."""
        self.links += more
        if self.caches.fleet_limits is not None:
            self.caches.fleet_limits.linked(self.caches.clock(), self.server, more)

    def declined(self):
        """Handle a new connection that was refused and closed at its first hop: the server has no
        capacity for more connections. Idle ones are then closed early, so that other nodes can use
        their slots.
        """
        self.short_until = self.caches.clock() + self.caches.idle_ticks

    def dial(self):
        """Open a connection, within the site's connect timeout."""
        self.dials += 1
        self.count(1)
        caches = self.caches
        link = Link(self)
        link.number = caches.table.add(link)
        opening = connect(caches.reactor, self.process.address, link)
        number = caches.dialling.add(opening)
        caches.deadlines.at(caches.clock() + caches.connect_timeout, caches.dial_due, number)
        opening.addCallbacks(self.connection_up, self.failed, (number,), None, (number, link))
        opening.addErrback(caches.fault)

    def connection_up(self, link, number):
        """Assign an established connection to the first waiting hop."""
        self.dials -= 1
        self.caches.dialling.remove(number)
        self.connect_recovered()
        if self.refused:
            # A restarted server is cold, and its list entry follows only seconds later: until then it would
            # get more than it can do.
            self.refused = False
            self.caches.returned(self.server)
        if link.process != self.process:
            link.close('server has moved or was restarted')
            self.drop_waiter('unsent')
        else:
            self.offer(link)

    def offer(self, link):
        """Give a connection to the hop that has waited longest and may still be sent, or keep it idle.

        While hops wait, the server may start to drain, the client may leave, or a retry's window may
        end.
        """
        while self.waiting:
            exchange = self.waiting.popleft()
            late = exchange.leave_by is not None and self.caches.clock() > exchange.leave_by
            if self.server.state == 'ready' and not late and exchange.wanted():
                link.carry(exchange)
                return
            exchange.complete('unsent')
        self.release(link)

    def drop_waiter(self, how):
        """End the hop that has waited longest, if there are more waiting hops than connections being
        opened.
        """
        if len(self.waiting) > self.dials:
            self.waiting.popleft().complete(how)

    def failed(self, failure, number, link):
        """Handle a failed connection attempt."""
        self.dials -= 1
        self.caches.dialling.remove(number)
        self.forget(link)
        error = connecting_errno(failure)
        self.caches.events.say(
            'connect failed', server=self.server.name, why=reason_text(failure), errno=error
        )
        if error in NO_DESCRIPTOR:
            # Clients that wait to be accepted need descriptors as well.
            self.caches.call_failed('connect', error)
            self.drop_waiter('unsent')
            return
        if local_errno(failure) is not None:
            self.cannot_connect(error)
            return
        self.connect_recovered()
        self.refused = self.refused or error == ECONNREFUSED
        self.drop_waiter('unreachable')

    # Local failures to connect

    def cannot_connect(self, error):
        """Handle a local failure, which says nothing about the server: hops keep waiting, and
        connecting is retried with exponential backoff. Guards against marking servers as failed, and
        refusing reads, because of a transient local condition.
        """
        self.caches.call_failed('connect', error)
        for exchange in self.waiting:
            self.hold(exchange)
        if self.redial_at is None:
            self.redial_later()

    def redial_later(self):
        """Schedule the next connection attempt."""
        self.backoff = min(MAX_REDIAL_DELAY, 2 * self.backoff or MIN_REDIAL_DELAY)
        self.redial_at = self.caches.clock() + self.backoff
        self.caches.deadlines.at(self.redial_at, self.caches.redial_due, self.caches.redials.add(self))

    def hold(self, exchange):
        """Let a hop wait for a fraction of its time until the machine can connect.

        The rest is left for other servers and for a timely answer.
        """
        if exchange.held_until is None:
            now = self.caches.clock()
            exchange.held_until = now + min(MAX_HOLD, max(0, exchange.until - now) // HOLD_DIVISOR)

    def redial(self):
        """Retry for the hops that still wait, with a single connection until one succeeds."""
        now = self.caches.clock()
        for exchange in [exchange for exchange in self.waiting if now >= exchange.held_until]:
            if exchange in self.waiting:  # ending one hop may have ended others
                exchange.cut('unsent', 'machine cannot connect')
        self.redial_at = None
        if len(self.waiting) <= self.dials:
            return
        if self.may_dial() and self.caches.room():
            self.dial()
        else:
            self.redial_later()

    def connect_recovered(self):
        """Open connections for the other waiting hops once an attempt has reached the network.

        The first hop is handled by the caller.
        """
        if not self.backoff:
            return
        self.backoff = 0
        for _ in range(len(self.waiting) - self.dials - 1):
            if self.may_dial() and self.caches.room():
                self.dial()

    def release(self, link):
        """Keep a connection idle after its hop.

        It is reused only after a short delay: a server may close the connection right after an answer,
        or send excess data, and a hop sent meanwhile would be lost.
        """
        if self.server.state != 'ready' or link.process != self.process:
            link.close('server not ready')
            return
        link.ready_at = self.caches.clock() + SETTLE_TIME
        self.idle_links.append(link)
        self.caches.keep_idle(link)
        if self.waiting:
            self.caches.deadlines.at(link.ready_at, self.caches.settled_due, link.number)

    def serve_waiting(self, link):
        """Give a released connection to the hop that has waited longest."""
        if self.waiting and self.claim(link):
            self.offer(link)

    def claim(self, link):
        """Take a connection out of the idle ones; return whether it is still usable."""
        self.remove_idle(link)
        if nothing_unread(link.transport):
            return True
        link.close('ended by server while idle')
        return False

    def remove_idle(self, link):
        """Remove a connection from the idle ones."""
        self.idle_links.remove(link)
        self.caches.idle_links.pop(link.number)

    def forget(self, link):
        """Unregister a connection that ends or was never established; its slot is free."""
        if link.number in self.caches.idle_links:
            self.remove_idle(link)
        if self.caches.table.get(link.number) is link:
            self.count(-1)
            self.caches.memory.release(link)
        self.caches.table.remove(link.number)

    def close_idle(self):
        """Close the idle connections."""
        for link in self.idle_links[:]:
            link.close('server not ready')


class Caches:
    """All connections to servers, within a budget of descriptors."""

    def __init__(
        self, reactor, deadlines, clock, config, budget, broken, fault, returned, events, call_failed, memory
    ):
        self.reactor, self.deadlines, self.clock = reactor, deadlines, clock
        self.connect_timeout, self.idle_ticks = config.connect_within, int(config.idle * IDLE_FRACTION)
        self.budget = budget
        self.broken, self.fault = broken, fault  # called for malformed answers and for internal errors
        self.returned = returned  # called for a server that accepts connections again after refusing them
        self.pools, self.table, self.dialling = {}, SlotTable(), SlotTable()
        self.redials = SlotTable()  # pools with a scheduled attempt to connect
        self.idle_links = {}  # idle connections by number, longest idle first
        self.call_failed = call_failed  # called for local failures
        self.memory = memory  # budget for what connections hold (memory.py)
        self.events = events  # log of individual connections (events.py)
        self.fleet_limits = None  # this node's share of the fleet's limits; None: no fleet

    @property
    def open(self):
        """Number of connections, including those being opened."""
        return len(self.table)

    def listed(self, server, address, started=0):
        """Register a server, or update its address and start. started: as in the list; 0: long ago.

        Connections to its earlier process carry no further hop.
        """
        pool = self.pools.get(server)
        if pool is None:
            self.pools[server] = Pool(self, server, ServerProcess(address, started))
            return
        process = ServerProcess(address, started or pool.process.started)
        if process != pool.process:
            pool.process = process
            pool.close_idle()

    def forget(self, server):
        """Unregister a server that is gone for good."""
        self.pools.pop(server).close_idle()

    def tidy(self):
        """Close idle connections to servers that are not ready, and cancel hops to them of which
        nothing has been sent.
        """
        for pool in self.pools.values():
            if pool.server.state != 'ready':
                pool.close_idle()
        for link in self.table:
            # Such a hop's first byte could be sent after the grace period has ended.
            if link.pool.server.state != 'ready' and link.exchange and not link.begun:
                link.exchange.cut('unsent', 'server not ready')

    def send(self, server, message, until, wanted, repeat, leaves=bool):
        """Start a hop and return its Exchange.

        wanted(): whether it may still be sent; leaves(): called when its first byte is sent. A retry
        has to be sent within the connect timeout, which the retry window reserves for it.
        """
        exchange = Exchange(
            self.pools[server],
            message,
            until,
            wanted,
            self.clock() + self.connect_timeout if repeat else None,
            leaves,
        )
        exchange.pool.send(exchange)
        return exchange

    def room(self):
        """Return whether another connection may be opened, closing the longest idle one if necessary."""
        if self.open >= self.budget:
            self.evict_idle()
        return self.open < self.budget

    def shrink(self, spare):
        """Close idle connections and limit the budget to the open ones plus `spare`: another process of
        this node uses the rest.
        """
        for link in list(self.idle_links.values()):
            link.close('budget handed to another process')
        self.budget = self.open + spare

    def trim(self, over):
        """Close excess idle connections; over(server) returns their number."""
        for pool in self.pools.values():
            for link in pool.idle_links[: max(0, over(pool.server))]:
                link.close('too many idle connections')

    def evict_idle(self):
        """Close the connection that has been idle longest, if any."""
        if self.idle_links:
            next(iter(self.idle_links.values())).close('evicted to free a descriptor')

    def keep_idle(self, link):
        """Register an idle connection.

        It is closed well before the server's idle timeout, and much sooner if the server is short of
        slots.
        """
        self.idle_links[link.number] = link
        now = self.clock()
        link.idle_until = now + (SHORT_IDLE_TIME if now < link.pool.short_until else self.idle_ticks)
        self.schedule_idle_check(link)

    def schedule_idle_check(self, link):
        """Schedule the deadline of an idle connection: one per connection however often it is reused,
        and another if it has to be closed sooner.
        """
        if not link.deadline_at or link.idle_until < link.deadline_at:
            link.deadline_at = link.idle_until
            self.deadlines.at(link.idle_until, self.idle_due, link.number)

    def idle_due(self, number):
        """Deadline of an idle connection."""
        link = self.table.get(number)
        if link is None:
            return
        if link.deadline_at <= self.clock():
            link.deadline_at = 0
        if number in self.idle_links:
            if self.clock() >= link.idle_until:
                link.close('idle')
            else:
                self.schedule_idle_check(link)

    def settled_due(self, number):
        """Serve waiting hops once a released connection may be reused."""
        if number in self.idle_links:
            link = self.table.get(number)
            link.pool.serve_waiting(link)

    def redial_due(self, number):
        """Retry connecting after a local failure."""
        pool = self.redials.get(number)
        self.redials.remove(number)
        pool.redial()

    def dial_due(self, number):
        """Cancel a connection attempt that has timed out.

        Guards against a server that has vanished: connections to it are never established.
        """
        opening = self.dialling.get(number)
        if opening is not None:
            opening.cancel()

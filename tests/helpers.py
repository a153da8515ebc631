"""Builders for the states and objects that tests start from."""

import json
from zlib import crc32

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from lilacdyke.decode import parse_config
from lilacdyke.logic import Hop, Router, Server
from lilacdyke.net.node import Node
from lilacdyke.net.system import System
from lilacdyke.terms import IDEMPOTENT, JOURNALLED, NON_IDEMPOTENT, Profile, SiteTerms

READ, KEPT, ONCE = range(3)


def terms(**other):
    """Return the terms of a site with one profile of each kind; times in tenths of a millisecond."""
    given = dict(
        profiles=[
            Profile('read', IDEMPOTENT, 'all', 0, 5000, 0),
            Profile('kept', JOURNALLED, 'all', 4000, 5000, 0),
            Profile('once', NON_IDEMPOTENT, 'all', 0, 5000, 0),
        ],
        tenants=[],
        nodes=2,
        zone=0,
        cache_aside=False,
        list_on_request=False,
        may_hedge=True,
        may_cancel=True,
        max_hops=5,
        max_retry_after=0,
        list_request_within=100_000,
        fall_multiple=3,
        overload_window=10_000,
        cold_from=0.2,
        warm_up_time=100_000,
        tick=10,
        cross_zone_fee=0,
        waste_fee=0,
    )
    given.update(other)
    return SiteTerms(**given)


def router(caches=3, origin=False, seed=1, **other):
    """Return a router with this many warm caches, and an origin if asked for."""
    made = Router(terms(cache_aside=origin, **other), seed, 0)
    for number in range(caches):
        add_server(made, 'c%d' % number)
    if origin:
        add_server(made, 'o', origin=True)
    made.rebuild_ready()
    return made


def add_server(made, name, origin=False, started=None, state='ready', zone=0):
    """Add a server to the router's list."""
    server = Server(name, origin)
    made.list_entry(0, server, state, 1, started, zone, 0)
    made.rebuild_ready()
    return server


def taken(made, row=READ, key='k', now=0, limit=20_000, write=False):
    """Return a transaction that was just accepted, with nothing decided yet."""
    return made.take(now, row, key, limit, write, now)


def out(made, tx, server, sent=0, copy=False):
    """Add a hop of the transaction that is in flight at a server."""
    hop = Hop(tx, server, sent, copy)
    tx.hops.append(hop)
    tx.out += 1
    server.out += 1
    made.total_out += 0 if server.origin else 1
    return hop


def ended(made, tx, server, how, sent=0, ran=True):
    """Add a hop of the transaction that has ended."""
    hop = out(made, tx, server, sent)
    hop.out, hop.ran = False, ran
    tx.out -= 1
    server.out -= 1
    made.total_out -= 0 if server.origin else 1
    return hop


# Nodes on in-memory transports

SETTINGS = {
    'balancers': 2,
    'rank': 0,
    'zone': 0,
    'tickS': 0.005,
    'kindOfService': 'cache',
    'membershipMode': 'pushed',
    'kinds': ['std', 'origin'],
    'profiles': [
        {
            'name': 'read',
            'effect': 'free',
            'group': 'all',
            'repeatWindowS': 1,
            'serviceGoalS': 0.5,
            'lateRevenue': 0.0,
            'hardLimitS': 2.0,
        },
        {
            'name': 'once',
            'effect': 'single_shot',
            'group': 'all',
            'repeatWindowS': 1,
            'serviceGoalS': 0.5,
            'lateRevenue': 0.0,
            'hardLimitS': 2.0,
        },
    ],
    'fees': {
        'handshake': 0.0,
        'connection': 0.0,
        'crossZone': 0.01,
        'waste': 0.05,
        'probe': 0.0,
        'peer': 0.0,
    },
    'tenants': [],
    'dcs': ['a', 'b'],
    'stats': {'how': 'off', 'fields': []},
    'familyInfo': {'mode': 'aside', 'originKind': 1},
    'limits': {
        'retryAfter': True,
        'mayDuplicate': True,
        'cancel': True,
        'maxHops': 5,
        'maxRetryAfterS': 1.0,
        'connIdleS': 15.0,
        'connectTimeoutS': 0.25,
        'probing': True,
        'peers': False,
    },
    'safety': {
        'stopSendingWithinS': 0.4,
        'askWithinS': 10.0,
        'fallMultiple': 4.0,
        'overloadForS': 1.5,
        'coldFrom': 0.13,
        'warmUpS': 24.0,
    },
}


def changed_settings(**other):
    """Return the settings with some values, or entries of tables, replaced."""
    return {
        **SETTINGS,
        **{
            key: {**SETTINGS[key], **value} if isinstance(value, dict) else value
            for key, value in other.items()
        },
    }


def entry(name, kind='std', state='SERVING', **other):
    """Return one server as listed by discovery."""
    row = {
        'instanceId': name,
        'hostPort': '127.0.0.1:%d' % (8000 + crc32(name.encode()) % 50_000),  # one server an address
        'zone': 'a',
        'machineType': kind,
        'cell': 0,
        'lifecycle': state,
        'weight': 1.0,
        'startedAtMs': 0,
    }
    row.update(other)
    return row


def page(**other):
    """Return a node's page as text."""
    given = {
        'name': 'n0',
        'listen': '127.0.0.1:9000',
        'discovery': '127.0.0.1:8500',
        'seed': '8c1f',
        'limits': {'cores': 1.0, 'memory_mb': 192, 'sockets': 1024},
        'settings': SETTINGS,
        'known': {'generation': 4, 'reset': True, 'instances': [entry('c0'), entry('o', 'origin')]},
    }
    given.update(other)
    return json.dumps(given)


class Wire(StringTransport):
    """In-memory transport that records what is written and may have data unread."""

    unread, aborted, half_closed, age, stuck = None, False, False, 0, False
    state, closed = 1, False
    dataBuffer, offset, _tempDataBuffer = b'', 0, ()

    def setTcpNoDelay(self, on):
        """Does nothing."""

    def getHandle(self):
        return self

    def getsockopt(self, level, option, size):
        """Return a struct tcp_info with this state and time since the last bytes (`age`, milliseconds)."""
        return bytes([self.state]) + bytes(51) + self.age.to_bytes(4, 'little')

    def close(self):
        self.closed = True

    def send(self, data, flags=0):
        """Accept everything, or nothing while the connection is stuck."""
        if self.stuck:
            raise BlockingIOError
        self.write(data)
        return len(data)

    def recv(self, count, flags):
        if self.unread is None:
            raise BlockingIOError
        return self.unread[:count]

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        if not streaming:
            producer.resumeProducing()

    def flush(self):
        """Let everything written be sent."""
        if self.producer:
            self.producer.resumeProducing()

    def loseWriteConnection(self):
        self.half_closed = True

    def abortConnection(self):
        self.aborted = True

    @property
    def ended(self):
        return self.aborted or self.disconnecting or self.half_closed


class Port:
    """Listening port without connections."""

    def __init__(self, *given, **named):
        self.socket = self

    def setsockopt(self, *given):
        """Does nothing."""

    stopReading = startReading = stopListening = doRead = lambda self: None


class Machine(System):
    """The local system with the reactor's clocks."""

    def __init__(self, reactor):
        self.elapsed = reactor.seconds
        self.wall = lambda: 1_700_000_000.0 + reactor.seconds()
        self.resident_kb = lambda: 0  # whatever the process of the tests uses


def unstarted_node(**other):
    """Return a node on a reactor of its own, which is also its clock; not started."""
    reactor = MemoryReactorClock()
    reactor.listenTCP = Port
    return Node(parse_config(page(**other)), reactor, Machine(reactor))


def starting(**other):
    """Return a started node that has not received a list yet."""
    made = unstarted_node(**other)
    made.start()
    return made


def node(**other):
    """Return a node that serves."""
    made = starting(**other)
    made.serve()
    return made


def client(made):
    """Connect a client to the node: (protocol, wire)."""
    protocol, wire = made.listener.buildProtocol(None), Wire()
    protocol.makeConnection(wire)
    return protocol, wire


def connection_up(made, which=-1, stuck=False):
    """Establish a connection that the node opens, and return its wire."""
    wire = Wire()
    wire.stuck = stuck
    wire.protocol = made.reactor.tcpClients[which][2].buildProtocol(None)
    wire.protocol.makeConnection(wire)
    return wire


def refused(made, which=-1):
    """Refuse a connection that the node opens."""
    made.reactor.tcpClients[which][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))


def asked(made, text='GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n\r\n'):
    """Return the wire of a client that has sent a request with an unused id."""
    protocol, wire = client(made)
    text = text.replace('%d', str(made.counts['taken'] + 7))
    protocol.dataReceived(text.encode())
    wire.protocol = protocol
    return wire


def sent(made, *given):
    """Return (client's wire, cache's wire) of a request that has been sent to a cache."""
    return asked(made, *given), connection_up(made)


def lost(wire):
    """End the connection."""
    wire.protocol.connectionLost(Failure(ConnectionDone()))


def said(status=200, body='abc', more=''):
    """Return a cache server's answer."""
    return ('HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s' % (status, len(body), more, body)).encode()

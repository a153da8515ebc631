"""Resets by servers that the node finds out about by other calls than a read.

The system reports a socket's error once. The node runs on its real reactor, one iteration at a time, so that
each test decides which of two events comes first.
"""

import time

from lilacdyke.decode import parse_config
from lilacdyke.net.node import Node
from lilacdyke.net.sockets import Reactor, nothing_unread, send_now, tcp_info

from .crossings import PATIENCE, Stand
from .helpers import Port, asked, entry, page
from .test_net import Quiet, status

CLOSED = 7  # TCP_CLOSE, after a reset
PART = b'x' * 1_000  # of an answer that the end of its connection delimits
LARGE_PART = b'x' * 30_000
STALLED = 30_000  # ticks, longer than a server may be silent


class Resets(Quiet):
    """A node with one cache and an origin on real sockets; its clients are in-memory transports."""

    def setUp(self):
        super().setUp()
        self.servers = {name: Stand() for name in ('c0', 'o')}
        self.reactor = Reactor()
        self.reactor.listenTCP = Port
        kinds = {'c0': 'std', 'o': 'origin'}
        rows = [entry(name, kinds[name], hostPort=stand.address) for name, stand in self.servers.items()]
        known = {'generation': 4, 'reset': True, 'instances': rows}
        self.node = Node(parse_config(page(known=known)), self.reactor)
        self.node.start()
        self.node.serve()

    def tearDown(self):
        self.reactor.disconnectAll()
        self.iterate_until(lambda: not self.node.caches.open)
        for stand in self.servers.values():
            stand.socket.close()
            for line in stand.lines:
                line.close()
        super().tearDown()

    def iterate_until(self, done):
        """Run iterations of the reactor until done() is true."""
        end = time.monotonic() + PATIENCE
        while not done():
            self.assertLess(time.monotonic(), end)
            self.reactor.iterate(0.01)

    def begin_answer(self, method='GET', version=1, part=PART):
        """Have a request sent and part of its answer, which has no length, read by the node. Return the
        client's wire, the server's connection and the node's attempt.
        """
        path = '/once/k' if method == 'PUT' else '/read/k'
        text = '%s %s HTTP/1.%d\r\nHost: x\r\nReq-Id: %%d\r\n\r\n' % (method, path, version)
        wire = asked(self.node, text)
        attempt = next(iter(self.node.attempts))
        self.iterate_until(lambda: attempt.exchange.link and attempt.exchange.whole)
        hop = self.servers['o' if method == 'PUT' else 'c0'].take()
        hop.request()
        hop.say(b'HTTP/1.1 200 OK\r\n\r\n' + part)
        link = attempt.exchange.link
        self.iterate_until(lambda: link.reader.message and link.reader.remaining == -len(part))
        return wire, hop, attempt

    def reset(self, hop, link):
        """Reset the server's connection, and wait until this machine has received that."""
        hop.reset()
        end = time.monotonic() + PATIENCE
        while tcp_info(link.transport.getHandle())[0] != CLOSED:
            self.assertLess(time.monotonic(), end)
            time.sleep(0.001)

    def check_not_whole(self, wire, link):
        """Check that what the client got, once the connection's end was read, is no whole 200 answer."""
        self.iterate_until(lambda: link.transport.disconnected)
        self.iterate_until(lambda: wire.value())
        if status(wire) == 200:
            self.assertTrue(wire.aborted)
            self.assertFalse(wire.value().endswith(b'0\r\n\r\n'))

    def test_reset_found_at_limit_is_no_end_of_answer(self):
        """Guards against part of an answer that is served as the whole, as a reset came just as the request's
        time was over: the check for unread data took the error, and the read saw an orderly end."""
        for method in ('GET', 'PUT'):
            for due in ('limit_due', 'attempt_limit_due'):
                with self.subTest(method=method, due=due):
                    wire, hop, attempt = self.begin_answer(method)
                    active, link = attempt.active, attempt.exchange.link
                    self.reset(hop, link)
                    active.tx.limit = self.node.clock()
                    number = (active if due == 'limit_due' else attempt).number
                    self.reactor.callLater(0, getattr(self.node, due), number)  # as from its timer
                    self.check_not_whole(wire, link)
                    self.assertIn(status(wire), (502, 503, 504))

    def test_reset_found_as_partial_answer_stalls_is_no_end_of_answer(self):
        """Guards against the same where the check is for more of an answer that has stalled."""
        wire, hop, attempt = self.begin_answer('PUT')
        link = attempt.exchange.link
        link.first_piece, link.last_piece = link.first_piece - 2 * STALLED, link.last_piece - STALLED
        self.reset(hop, link)
        self.node.partial_answers.relay_due(attempt.number)
        self.check_not_whole(wire, link)

    def test_reset_found_while_streaming_is_no_end_of_answer(self):
        """Guards against the same where an answer is streamed beyond its limit."""
        for version in (1, 0):
            with self.subTest(version=version):
                wire, hop, attempt = self.begin_answer('PUT', version, LARGE_PART)
                link = attempt.exchange.link
                link.stream_partial_answer()
                download = wire.protocol.download
                self.reset(hop, link)
                download.until = self.node.clock() - STALLED
                wire.protocol.since = download.until
                download.due()
                self.check_not_whole(wire, link)
                self.assertTrue(wire.aborted)

    def test_error_taken_by_other_call_is_an_error_at_the_read(self):
        """Guards against any call on a socket that hides a reset from the read."""
        for call in (nothing_unread, lambda transport: send_now(transport, b'x')):
            _, hop, attempt = self.begin_answer('PUT')
            link = attempt.exchange.link
            self.reset(hop, link)
            call(link.transport)
            self.iterate_until(lambda link=link: link.transport.disconnected)
            self.assertEqual(self.node.counts['hops_committed'], 0)

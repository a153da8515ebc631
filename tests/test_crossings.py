"""Two events that meet: each crossing of docs/design/crossings.md that needs sockets, forced on the very program."""

import os
import select
import signal
import time

from .crossings import HEAD, PATIENCE, Crossing, Line, Stand, chunk, told
from .helpers import entry


class Leaving(Crossing):
    """Clients that leave while their request waits."""

    names = ('c0', 'c1', 'o')

    def leave_unread(self, go):
        """On a connection that is kept, a request and its client's end lie unread together."""
        gone, stays = self.client(), self.client()
        for line, name in ((gone, 'a'), (stays, 'b')):
            self.ask(line, name)
            hop = self.next_hop(())
            hop.request()
            hop.answer()
            line.answered()
        self.stop()
        self.ask(gone, 'gone')
        go(gone)
        self.ask(stays, 'stays')
        self.go_on()
        self.seen_so_far()
        self.assertEqual(self.finish(), ['a', 'b', 'stays'])

    def test_by_an_orderly_end_that_lies_unread_behind_the_request(self):
        self.leave_unread(Line.close)

    def test_by_a_reset_behind_the_request(self):
        self.leave_unread(Line.reset)

    def test_a_retry_is_due_as_its_client_leaves(self):
        client, hops, number = self.client(), {}, 0
        while len(hops) < 2:            # a connection rests at either cache
            number += 1
            self.ask(client, 'w%d' % number, path='/read/%d' % number)
            hop = self.next_hop(hops.values())
            hop.request()
            hop.answer()
            client.answered()
            hops[hop.socket.getsockname()] = hop
        self.ask(client, 'gone')
        hop = self.next_hop(hops.values())
        self.assertEqual(hop.request(), 'gone')
        self.stop()
        hop.answer(503, b'', b'Srv-Declined: 1\r\n')
        client.close()
        self.go_on()
        self.seen_so_far()
        self.assertEqual(self.finish().count('gone'), 1)

    def next_hop(self, lines):
        """The connection to either cache on which a request comes, one of these or a new one."""
        stands = {self.servers[name].socket: self.servers[name] for name in ('c0', 'c1')}
        known = {line.socket: line for line in lines}
        ready = select.select([*stands, *known], [], [], PATIENCE)[0][0]
        return known[ready] if ready in known else stands[ready].take()

    def test_one_that_ended_its_sending_alone_counts_as_gone_and_its_hop_is_ended(self):
        client = self.client()
        self.ask(client, 'half')
        hop = self.next_hop(())
        hop.request()
        client.socket.shutdown(1)
        self.assertTrue(hop.ended())
        self.assertEqual(client.answered(), (None, b''))


class Waiting(Crossing):
    """Hops that wait for a connection, which comes up late."""

    held, limits = ('c0',), {'connectTimeoutS': 10.0, 'cancel': False}

    def come_up(self):
        """The connection comes up, and the next request is the first that the server ever has."""
        self.servers['c0'].let()
        self.ask(self.client(), 'next')
        line = self.servers['c0'].take()
        self.assertEqual(line.request(), 'next')
        line.answer()
        return self.finish()

    def test_their_client_leaves_where_nothing_may_be_cancelled(self):
        client = self.client()
        self.ask(client, 'gone')
        self.seen_so_far()
        client.close()
        self.seen_so_far()
        self.assertEqual(self.come_up(), ['next'])

    def test_their_client_leaves_while_the_node_stands_still(self):
        client = self.client()
        self.ask(client, 'gone')
        self.seen_so_far()
        self.stop()
        client.close()
        self.servers['c0'].let()
        line = self.servers['c0'].take()        # it is up: that, and the end, lie there as the node goes on
        self.go_on()
        self.ask(self.client(), 'next')
        self.assertEqual(line.request() or self.servers['c0'].take().request(), 'next')
        self.assertEqual(self.finish(), ['next'])

    def test_the_server_moves(self):
        self.ask(self.client(), 'moved')
        self.seen_so_far()
        self.servers['new'] = Stand()
        self.watch.say(chunk(told(6, entry('c0', hostPort=self.servers['new'].address), reset=False)))
        self.until('list')
        self.servers['c0'].let()
        self.assertTrue(self.servers['c0'].take().ended())
        self.ask(self.client(), 'next')
        line = self.servers['new'].take()
        self.assertEqual(line.request(), 'next')
        line.answer()
        self.finish()
        self.assertEqual(self.servers['c0'].all_seen(), [])

    def test_the_server_begins_to_drain(self):
        self.ask(self.client(), 'late')
        self.seen_so_far()
        self.watch.say(chunk(told(6, self.row('c0', lifecycle='DRAINING'), reset=False)))
        self.until('list')
        self.servers['c0'].let()
        self.assertTrue(self.servers['c0'].take().ended())
        self.assertEqual(self.finish(), [])


class Bodies(Crossing):
    """A large request whose body waits, unread, for a connection."""

    held, limits = ('o',), {'connectTimeoutS': 10.0}

    def test_its_client_leaves_behind_bytes_that_nobody_reads(self):
        client = self.client()
        self.ask(client, 'gone', 'PUT', '/once/k', b'x' * 100_000)
        self.seen_so_far()
        client.close()
        self.seen_so_far()
        self.servers['o'].let()
        self.ask(self.client(), 'next', 'PUT', '/once/k', b'hi')
        name = None
        while name is None:             # a connection without a request is no send
            name = self.servers['o'].take().request()
        self.assertEqual(name, 'next')
        self.assertEqual(self.finish(), ['next'])

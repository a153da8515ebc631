"""Pairs of concurrent events that need real sockets (docs/design/crossings.md), forced on a running
node.
"""

import os
import resource
import select
import signal
import socket
import threading
import time

from .crossings import HEAD, PATIENCE, Crossing, Line, Stand, chunk, told
from .helpers import entry


class Leaving(Crossing):
    """Clients that disconnect while their request waits."""

    names = ('c0', 'c1', 'o')

    def leave_unread(self, go):
        """A request and its client's end lie unread together on a persistent connection."""
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
        self.resume()
        self.seen_so_far()
        self.assertEqual(self.finish(), ['a', 'b', 'stays'])

    def test_client_end_unread_behind_request(self):
        self.leave_unread(Line.close)

    def test_client_reset_behind_request(self):
        self.leave_unread(Line.reset)

    def test_retry_due_as_client_leaves(self):
        client, hops, number = self.client(), {}, 0
        while len(hops) < 2:  # until both caches have an idle connection
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
        self.resume()
        self.seen_so_far()
        self.assertEqual(self.finish().count('gone'), 1)

    def next_hop(self, lines):
        """Return the next connection with a request: one of `lines`, or a new one to either cache."""
        stands = {self.servers[name].socket: self.servers[name] for name in ('c0', 'c1')}
        known = {line.socket: line for line in lines}
        ready = select.select([*stands, *known], [], [], PATIENCE)[0][0]
        return known[ready] if ready in known else stands[ready].take()

    def test_half_closed_client_counts_as_gone(self):
        client = self.client()
        self.ask(client, 'half')
        hop = self.next_hop(())
        hop.request()
        client.socket.shutdown(1)
        self.assertTrue(hop.ended())
        self.assertEqual(client.answered(), (None, b''))


class Waiting(Crossing):
    """Hops that wait for a connection that is established late."""

    held, limits = ('c0',), {'connectTimeoutS': 10.0, 'cancel': False}

    def come_up(self):
        """Let the connection come up; the next request has to be the first that the server sees."""
        self.servers['c0'].let()
        self.ask(self.client(), 'next')
        line = self.servers['c0'].take()
        self.assertEqual(line.request(), 'next')
        line.answer()
        return self.finish()

    def test_client_leaves_without_cancellation(self):
        client = self.client()
        self.ask(client, 'gone')
        self.seen_so_far()
        client.close()
        self.seen_so_far()
        self.assertEqual(self.come_up(), ['next'])

    def test_client_leaves_while_node_is_stopped(self):
        client = self.client()
        self.ask(client, 'gone')
        self.seen_so_far()
        self.stop()
        client.close()
        self.servers['c0'].let()
        line = self.servers['c0'].take()  # established, and the client gone, before the node continues
        self.resume()
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

    def test_server_drains_while_connecting(self):
        self.ask(self.client(), 'late')
        self.seen_so_far()
        self.watch.say(chunk(told(6, self.row('c0', lifecycle='DRAINING'), reset=False)))
        self.until('list')
        self.servers['c0'].let()
        self.assertTrue(self.servers['c0'].take().ended())
        self.assertEqual(self.finish(), [])


class Bodies(Crossing):
    """Large requests whose body lies unread until a connection is established."""

    held, limits = ('o',), {'connectTimeoutS': 10.0}

    def test_client_leaves_with_body_unread(self):
        client = self.client()
        self.ask(client, 'gone', 'PUT', '/once/k', b'x' * 100_000)
        self.seen_so_far()
        client.close()
        self.seen_so_far()
        self.servers['o'].let()
        self.ask(self.client(), 'next', 'PUT', '/once/k', b'hi')
        name = None
        while name is None:  # connections without a request do not count
            name = self.servers['o'].take().request()
        self.assertEqual(name, 'next')
        self.assertEqual(self.finish(), ['next'])

    def in_time(self, client, begun, statuses):
        self.assertIn(client.answered()[0], statuses)
        self.assertLess(time.monotonic() - begun, 0.9)

    def test_connect_exceeds_limit_of_large_request(self):
        client, begun = self.client(), time.monotonic()
        self.ask(client, 'late', 'PUT', '/once/k', b'x' * 100_000, 'Req-Deadline: 0.5\r\n')
        self.in_time(client, begun, (503,))  # it was never sent

    def test_last_byte_unread_while_server_does_not_read(self):
        self.servers['o'].let()
        client = self.client()
        self.ask(client, 'late', 'PUT', '/once/k', b'', 'Content-Length: 8000000\r\nReq-Deadline: 0.5\r\n')
        client.socket.setblocking(False)
        try:
            while client.socket.send(b'x' * 65_536):
                pass  # until the socket buffers are full
        except BlockingIOError:
            client.socket.settimeout(PATIENCE)
        self.in_time(client, time.monotonic(), (503,))


class Watches(Crossing):
    """Watches that fall silent, break, or deliver lists in unusual pieces."""

    def test_indented_list_over_many_chunks(self):
        rows = [self.row('o'), entry('c9 "}')]
        for at in range(0, len(text := told(6, *rows, indent=2)), 7):
            self.watch.say(chunk(text[at : at + 7]))
        self.assertIn('caches=1', self.until('list'))
        self.watch.say(chunk(b'\n') + chunk(told(7, self.row('c0'), reset=False)))
        self.assertIn('caches=2', self.until('list'))

    def test_watch_silent_after_head_is_reopened(self):
        self.watch.close()
        silent, first = self.agent.watch()
        begun = time.monotonic()
        self.assertIn(b'index=5', first)
        _, first = self.agent.watch()
        self.assertIn(b'index=5', first)
        self.assertLess(time.monotonic() - begun, 5.0)
        self.assertTrue(silent.ended())

    def test_watch_reset_with_line_unread(self):
        self.stop()
        self.watch.say(chunk(told(6, self.row('c0', lifecycle='DRAINING'), reset=False)))
        self.watch.reset()
        self.resume()
        self.assertIn('caches=0', self.until('list'))  # data received before the reset is kept
        self.assertIn(b'index=6', self.agent.watch()[1])

    def test_watch_ends_within_line_and_next_reports_drain(self):
        line = told(6, self.row('c0', lifecycle='DRAINING'), reset=False)
        self.watch.say(chunk(line)[:60])
        self.watch.close()
        again, first = self.agent.watch()
        self.assertIn(b'index=5', first)
        again.say(chunk(line))
        self.assertIn('caches=0', self.until('list'))

    def test_sighup_moves_address_while_retry_is_due(self):
        other = Stand()
        self.addCleanup(other.socket.close)
        self.write(other)
        self.stop()
        self.watch.close()
        self.signal(signal.SIGHUP)
        self.resume()
        watch, first = other.watch()
        self.assertIn(b'index=5', first)
        # A complete list of an older generation.
        watch.say(chunk(told(3, self.row('o'), self.row('c0', lifecycle='DRAINING'))))
        self.assertIn('caches=0', self.until('list'))
        self.finish()
        self.assertEqual((len(other.lines), other.all_seen()), (1, []))
        watch.close()

    def test_new_agent_lists_fewer_servers(self):
        self.watch.close()
        again, _ = self.agent.watch()
        again.say(chunk(told(2, self.row('o'))))
        self.assertIn('caches=0', self.until('list'))


class Starting(Crossing):
    """Signals before the node serves."""

    watches = False

    def test_sigterm_before_first_list_does_not_use_remembered_list(self):
        watch, _ = self.agent.watch()
        client = self.client()
        self.ask(client, 'early')
        self.signal(signal.SIGTERM)
        self.signal(signal.SIGHUP)
        self.until_all('draining', 'page read')
        self.assertEqual(
            select.select([self.servers[name].socket for name in self.names], [], [], 0.3)[0], []
        )
        watch.say(chunk(told(5, self.row('c0', lifecycle='DRAINING'), self.row('o', lifecycle='DRAINING'))))
        self.until('list')
        self.assertEqual(client.answered()[0], 503)
        self.assertEqual(self.finish(), [])

    def test_sigterm_before_first_list_and_watch_lost(self):
        watch, _ = self.agent.watch()
        self.signal(signal.SIGTERM)
        client = self.client()
        self.ask(client, 'early')
        watch.close()
        hop = self.servers['c0'].take()
        self.assertEqual(hop.request(), 'early')
        hop.answer()
        self.assertEqual(client.answered()[0], 200)
        self.assertEqual(self.finish(), ['early'])


class Large(Crossing):
    """A fleet of 1,024 servers."""

    watches = False

    def rows(self):
        return super().rows() + [
            entry(
                '%s-%04d' % ('cache' * 24, number), zone='b' * 60, hostPort='127.0.0.1:%d' % (10_000 + number)
            )
            for number in range(1_022)
        ]

    def test_ready_without_discovery_and_indented_list(self):
        begun = time.monotonic()
        status = None
        while status != 200:
            self.assertLess(time.monotonic() - begun, 5.0)  # the agent does not accept connections
            try:
                line = self.client()
                line.say(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                status = line.answered()[0]
                line.close()
            except ConnectionRefusedError:
                pass
            time.sleep(0.02)
        with open('/proc/%d/stat' % self.running.pid, encoding='ascii') as file:
            spent = sum(map(int, file.read().rpartition(')')[2].split()[11:13])) / os.sysconf('SC_CLK_TCK')
        self.assertLess(spent, 1.5)  # CPU seconds: ready within 10 s on a sixth of a core
        watch = self.agent.take()
        while watch.ended_yet():  # attempts that were cancelled meanwhile
            watch = self.agent.take()
        self.assertIn(b'index=4', watch.head())
        watch.say(HEAD)
        begun = time.monotonic()
        watch.say(chunk(told(5, *self.rows(), indent=4)))
        self.assertIn('caches=1023', self.until('list'))
        self.assertLess(time.monotonic() - begun, 2.0)
        with open('/proc/%d/smaps_rollup' % self.running.pid, encoding='ascii') as file:
            own = sum(int(line.split()[1]) for line in file if line.startswith('Private_'))
        self.assertLess(own, 32 << 10)  # kB


class Crowd(Crossing):
    """Idle clients exhaust the descriptors while discovery is down."""

    sockets = 64

    def test_watch_returns_drain_holds_and_waiting_clients_are_answered(self):
        resource.prlimit(self.running.pid, resource.RLIMIT_NOFILE, (self.sockets, self.sockets))
        waits = self.client()
        self.ask(waits, 'waits')
        hop = self.servers['c0'].take()
        hop.request()
        port = self.agent.port
        self.watch.close()
        self.agent.socket.close()  # connections are refused from here on
        idle = [self.client() for _ in range(3 * self.sockets)]
        for line in idle[::2]:
            line.say(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        time.sleep(0.5)
        self.assertLessEqual(len(os.listdir('/proc/%d/fd' % self.running.pid)), self.sockets)
        self.agent = Stand(port=port)
        begun = time.monotonic()
        watch, _ = self.agent.watch()
        watch.say(chunk(told(6, self.row('c0', lifecycle='DRAINING'), reset=False)))
        self.assertIn('caches=0', self.until('list'))
        self.assertLess(time.monotonic() - begun, 1.0)
        hop.answer()
        self.assertEqual(waits.answered(), (200, b'abc'))
        for line in idle:
            line.close()
        late = self.client()
        self.ask(late, 'late')
        self.assertEqual(late.answered()[0], 503)
        self.assertEqual(self.finish(), ['waits'])


class Hangup(Crossing):
    """SIGHUP while the page is being read at startup."""

    watches = False

    def prepare(self):
        os.mkfifo(self.path)

    def give(self, agent):
        """Wait until the program opens its page, then write it. Fails if the program has exited."""
        while True:
            try:
                pipe = os.open(self.path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError:  # not opened yet
                self.assertIsNone(self.running.poll())
                time.sleep(0.01)
        os.set_blocking(pipe, True)
        with open(pipe, 'w', encoding='utf-8') as file:
            yield
            file.write(self.page(agent))

    def test_sighup_during_startup_rereads_the_page(self):
        other = Stand()
        self.addCleanup(other.socket.close)
        reading = self.give(self.agent)
        next(reading)
        self.signal(signal.SIGHUP)
        os.unlink(self.path)  # the next open gets another pipe
        os.mkfifo(self.path)
        for _ in reading:
            pass
        for _ in self.give(other):
            pass
        watch, _ = other.watch()
        watch.say(chunk(told(5, *self.rows())))
        self.until('serving')
        self.assertEqual(self.finish(), [])
        watch.close()


class Ending(Crossing):
    """SIGTERM together with other events."""

    def test_request_crosses_idle_close_and_is_sent_again(self):
        client = self.client()
        hop = self.served(client, 'first')
        self.signal(signal.SIGTERM)
        client.ended()
        again = self.client()
        self.ask(again, 'again')
        self.assertEqual(hop.request(), 'again')
        hop.answer()
        self.assertEqual(again.answered()[0], 200)
        self.assertEqual(self.finish_only(), 0)

    def finish_only(self):
        for line in self.clients:
            line.close()
        return self.running.wait(20)

    def test_queued_clients_are_served_before_listener_closes(self):
        self.signal(signal.SIGTERM)
        self.until('draining')
        self.stop()
        waiting = [self.client() for _ in range(6)]
        for line in waiting:
            line.say(b'GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n')
        time.sleep(1.0)  # past the time at which the listener closes
        self.resume()
        self.assertEqual([line.answered()[0] for line in waiting], [404] * 6)
        self.assertEqual(self.finish_only(), 0)

    def test_repeated_signals_while_draining(self):
        client = self.client()
        self.ask(client, 'open')
        hop = self.servers['c0'].take()
        hop.request()
        self.signal(signal.SIGTERM)
        self.until('draining')
        for signum in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.signal(signum)
        self.until('page read')
        hop.answer()
        self.assertEqual(client.answered(), (200, b'abc'))
        self.assertEqual(self.finish_only(), 0)

    def test_hanging_servers_and_all_clients_answered_at_exit(self):
        clients = [self.client() for _ in range(3)]
        for number, line in enumerate(clients):
            self.ask(line, 'h%d' % number, more='Req-Deadline: 0.4\r\n')
        for _ in clients:
            self.servers['c0'].take().request()
        self.signal(signal.SIGTERM)
        self.assertEqual({line.answered()[0] for line in clients}, {503})
        self.assertEqual(self.finish_only(), 0)

    def test_servers_hang_until_sigkill(self):
        reads, writes = self.client(), self.client()
        self.ask(reads, 'r')  # limit 6 s; SIGKILL may follow SIGTERM after 3.7 s
        self.ask(writes, 'w', 'PUT', '/once/k', b'hi')
        for name in 'co':
            self.servers['c0' if name == 'c' else 'o'].take().request()
        begun = time.monotonic()
        self.signal(signal.SIGTERM)
        self.assertEqual((reads.answered()[0], writes.answered()[0]), (503, 504))
        self.assertEqual(self.finish_only(), 0)
        self.assertLess(time.monotonic() - begun, 3.7)


class Hops(Crossing):
    """Server connections that end, or deliver more data, at critical moments."""

    def test_idle_connection_ends_while_node_is_stopped(self):
        client = self.client()
        hop = self.served(client, 'first')
        self.stop()
        hop.close()
        self.ask(client, 'second')
        self.resume()
        again = self.servers['c0'].take()
        self.assertEqual(again.request(), 'second')
        again.answer()
        self.assertEqual(client.answered()[0], 200)

    def test_late_second_answer_is_discarded(self):
        client = self.client()
        hop = self.served(client, 'first')
        self.stop()
        hop.answer(body=b'not asked for')
        self.ask(client, 'second')
        self.resume()
        again = self.servers['c0'].take()
        self.assertEqual(again.request(), 'second')
        again.answer(body=b'asked for')
        self.assertEqual(client.answered(), (200, b'asked for'))

    def test_decline_arrives_with_connection_end(self):
        client = self.client()
        self.ask(client, 'a', 'PUT', '/once/k', b'hi')
        hop = self.servers['o'].take()
        hop.request()
        self.stop()
        hop.answer(503, b'', b'Srv-Declined: 1\r\nConnection: close\r\n')
        hop.close()
        self.resume()
        again = self.servers['o'].take()  # it did not run and is retried on a new connection
        self.assertEqual(again.request(), 'a')
        again.answer()
        self.assertEqual(client.answered()[0], 200)

    def test_answer_arrives_before_request_is_sent(self):
        client = self.client()
        client.say(
            b'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nContent-Length: 100000\r\n\r\n' + b'x' * 80_000
        )
        hop = self.servers['o'].take()
        hop.head()
        hop.answer(503, b'', b'Srv-Declined: 1\r\n')
        self.assertEqual(client.answered()[0], 503)
        self.assertTrue(hop.ended())

    def test_interim_answer_without_final_answer(self):
        client = self.client()
        self.ask(client, 'a', more='Req-Deadline: 0.3\r\n')
        hop = self.servers['c0'].take()
        hop.request()
        hop.say(b'HTTP/1.1 102 X\r\n\r\n')
        self.assertEqual(client.answered()[0], 503)
        self.assertTrue(hop.ended())

    def test_client_reads_late_after_answer_left_the_process(self):
        client = self.client()
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.ask(client, 'a', more='Connection: close\r\n')
        hop = self.servers['c0'].take()
        hop.request()
        hop.answer(body=b'x' * 1_000_000)
        time.sleep(2.0)  # twice the time a client has to close
        status, body = client.answered()
        self.assertEqual((status, len(body)), (200, 1_000_000))


class Crowded(Crossing):
    """Half of the client slots are taken, so that idle connections are closed after a second."""

    sockets = 64

    def comes_whole(self, more):
        client = self.client()
        self.ask(client, 'slow', more=more)
        hop = self.servers['c0'].take()
        hop.request()
        hop.answer(body=b'x' * 800_000)
        others = [self.client() for _ in range(14)]
        for number in range(25):  # 2.5 s
            others[number % 14].say(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            time.sleep(0.1)
        status, body = client.answered()
        self.assertEqual((status, len(body)), (200, 800_000))
        self.assertEqual((client.ended(), client.was_reset), (True, False))

    def test_answer_to_slow_idle_client_is_complete(self):
        self.comes_whole('')

    def test_answer_to_slow_closing_client_is_complete(self):
        self.comes_whole('Connection: close\r\n')


class Flows(Crossing):
    """Large answers, which are streamed."""

    def test_answer_without_length_is_aborted_at_exit(self):
        client = self.client()
        client.say(b'GET /read/k HTTP/1.0\r\nHost: x\r\nReq-Id: a\r\n\r\n')
        hop = self.servers['c0'].take()
        hop.request()
        hop.say(b'HTTP/1.1 200 X\r\nConnection: close\r\n\r\n' + b'x' * 100_000)
        client.head()
        begun = time.monotonic()
        self.signal(signal.SIGTERM)
        client.ended()
        self.assertTrue(client.was_reset)  # an orderly end would mark the answer as complete
        self.assertEqual(self.running.wait(PATIENCE), 0)
        self.assertLess(time.monotonic() - begun, 3.7)

    def test_large_answer_still_sent_at_limit_is_complete(self):
        client = self.client()
        self.ask(client, 'a', more='Req-Deadline: 0.5\r\n')
        hop = self.servers['c0'].take()
        hop.request()
        hop.say(b'HTTP/1.1 200 X\r\nContent-Length: 150000\r\n\r\n' + b'x' * 90_000)
        client.head()
        for _ in range(6):  # until about two seconds after the limit
            time.sleep(0.4)
            hop.say(b'x' * 10_000)
        while len(client.buffer) < 150_000 and client.more():
            pass
        self.assertEqual(len(client.buffer), 150_000)

    def test_endless_large_answer_is_aborted_after_limit(self):
        client = self.client()
        self.ask(client, 'a', more='Req-Deadline: 0.5\r\n')
        hop = self.servers['c0'].take()
        hop.request()
        begun = time.monotonic()
        hop.say(HEAD + chunk(b'x' * 100_000))
        self.assertTrue(client.ended())
        self.assertNotIn(b'0\r\n\r\n', client.buffer[-16:])
        self.assertLess(time.monotonic() - begun, 3.0)
        self.assertTrue(hop.ended())

    def unmeasured_answer(self, in_chunks, minor=1, pause=0.1):
        """Read with a limit of 0.5 s from a server that sends 200 kB of unknown length in pieces of 10
        kB: (the client with everything received behind the head, seconds until the first bytes).
        """
        client = self.client()
        begun = time.monotonic()
        client.say(b'GET /read/k HTTP/1.%d\r\nHost: x\r\nReq-Id: a\r\nReq-Deadline: 0.5\r\n\r\n' % minor)
        hop = self.servers['c0'].take()
        hop.request()
        hop.say(HEAD if in_chunks else b'HTTP/1.1 200 X\r\nConnection: close\r\n\r\n')
        piece = b'x' * 10_000

        def give():
            try:
                for _ in range(20):
                    time.sleep(pause)
                    hop.say(chunk(piece) if in_chunks else piece)
                if in_chunks:
                    hop.say(b'0\r\n\r\n')
                else:
                    hop.socket.shutdown(socket.SHUT_WR)
            except OSError:
                pass  # the node closed the connection

        server = threading.Thread(target=give)
        server.start()
        self.addCleanup(server.join)
        status = client.head()[9:12]
        first = time.monotonic() - begun
        while not client.buffer.endswith(b'0\r\n\r\n') and client.more():
            pass
        self.assertEqual(status, b'200')
        return client, first

    def test_slow_answer_of_unknown_length_is_streamed(self):
        client, first = self.unmeasured_answer(True)
        self.assertEqual((client.buffer.count(b'x'), client.buffer[-5:]), (200_000, b'0\r\n\r\n'))
        self.assertLess(first, 0.5)

    def test_slow_close_delimited_answer_is_streamed(self):
        client, first = self.unmeasured_answer(False)
        self.assertEqual((client.buffer.count(b'x'), client.buffer[-5:]), (200_000, b'0\r\n\r\n'))
        self.assertLess(first, 0.5)

    def test_slow_answer_to_http_1_0_client_is_complete(self):
        client, first = self.unmeasured_answer(True, minor=0)
        self.assertEqual((len(client.buffer), client.was_reset), (200_000, False))
        self.assertLess(first, 0.5)

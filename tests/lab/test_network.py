"""The simulated network: connection setup, data transfer, resets and cuts."""

import socket
import unittest
from errno import ECONNREFUSED, ECONNRESET, EINPROGRESS, EISCONN, EMFILE
from select import EPOLLIN

from lilacdyke.lab.network import WINDOW, Network, Process
from lilacdyke.lab.world import World
from lilacdyke.net.sockets import nothing_unread, tcp_info

CLIENT, SERVER = ('127.1.0.1', 0), ('127.2.0.1', 80)
DELAY = 1_000


class Transport:
    """Gives access to a socket through getHandle(), as Twisted's transports do."""

    def __init__(self, sock):
        self.getHandle = lambda: sock


class NetworkCase(unittest.TestCase):
    def setUp(self):
        self.world = World(1)
        self.net = Network(self.world, lambda here, there: DELAY)
        self.near, self.far = Process(self.net, 'near', CLIENT[0]), Process(self.net, 'far', SERVER[0])
        self.listening = self.far.socket()
        self.listening.bind(SERVER)
        self.listening.listen(2)

    def advance(self, wait):
        """Advance the simulated time by `wait` microseconds."""
        self.world.run(self.world.now + wait)

    def start_connecting(self):
        """Return a client socket with a connect in progress."""
        sock = self.near.socket()
        self.assertEqual(sock.connect_ex(SERVER), EINPROGRESS)
        return sock

    def connected_pair(self):
        """Return both ends of an established connection."""
        sock = self.start_connecting()
        self.advance(2 * DELAY)
        return sock, self.listening.accept()[0]

    def recv_errno(self, sock):
        """Return the errno with which recv fails."""
        with self.assertRaises(OSError) as caught:
            sock.recv(10)
        return caught.exception.errno


class Connecting(NetworkCase):
    def test_connect_completes_after_one_round_trip(self):
        sock = self.start_connecting()
        self.advance(2 * DELAY - 1)
        before = sock.state
        self.advance(1)
        self.assertEqual((before, sock.state, sock.connect_ex(SERVER)), ('connecting', 'open', EISCONN))

    def test_connect_is_refused_without_a_listener(self):
        self.listening.close()
        sock = self.start_connecting()
        self.advance(2 * DELAY)
        self.assertEqual(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), ECONNREFUSED)

    def test_full_accept_queue_drops_the_syn_which_is_retried_after_a_second(self):
        socks = [self.start_connecting() for _ in range(4)]
        self.advance(2 * DELAY)
        states = [one.state for one in socks]
        self.listening.accept()
        self.advance(1_000_000 + DELAY)
        self.assertEqual((states, socks[3].state), (['open'] * 3 + ['connecting'], 'open'))

    def test_connect_stays_pending_across_a_cut(self):
        self.net.cut(1, {SERVER[0]})
        sock = self.start_connecting()
        self.advance(900_000)
        self.assertEqual((sock.state, sock.events()), ('connecting', 0))

    def test_socket_fails_with_emfile_at_the_descriptor_limit(self):
        self.near.limit = 0
        with self.assertRaises(OSError) as caught:
            self.near.socket()
        self.assertEqual(caught.exception.errno, EMFILE)

    def test_deferred_accept_delays_a_silent_connection_for_a_second(self):
        self.listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
        self.start_connecting()
        self.advance(500_000)
        before = self.listening.events()
        self.advance(600_000)
        self.assertEqual((before, self.listening.events()), (0, EPOLLIN))


class DataTransfer(NetworkCase):
    def test_data_arrives_in_order_when_delays_vary(self):
        near, far = self.connected_pair()
        waits = iter([5_000, 100])
        self.net.delay = lambda here, there: next(waits, 100)
        near.send(b'ab')
        near.send(b'cd')
        self.advance(10_000)
        self.assertEqual(far.recv(10), b'abcd')

    def test_reading_reopens_a_full_window(self):
        near, far = self.connected_pair()
        sent = near.send(b'x' * (WINDOW + 5))
        self.assertEqual(sent, WINDOW)
        with self.assertRaises(BlockingIOError):
            near.send(b'y')
        self.advance(DELAY)
        far.recv(100)
        self.assertEqual(near.send(b'y' * 200), 100)

    def test_eof_follows_all_sent_data(self):
        near, far = self.connected_pair()
        near.send(b'ab')
        near.shutdown(1)
        self.advance(DELAY)
        self.assertEqual((far.recv(10), far.recv(10)), (b'ab', b''))

    def test_close_with_unread_data_resets_the_connection(self):
        near, far = self.connected_pair()
        near.send(b'ab')
        self.advance(DELAY)
        far.close()
        self.advance(DELAY)
        self.assertEqual(self.recv_errno(near), ECONNRESET)

    def test_error_of_a_reset_is_reported_once(self):
        """As on Linux: after any call that received it, a read returns no data."""
        for call in (lambda sock: sock.recv(1, socket.MSG_PEEK), lambda sock: sock.send(b'x')):
            near, far = self.connected_pair()
            near.send(b'ab')
            self.advance(DELAY)
            far.close()
            self.advance(DELAY)
            with self.assertRaises(ConnectionResetError):
                call(near)
            self.assertEqual(near.recv(10), b'')
            with self.assertRaises(BrokenPipeError):
                near.send(b'x')

    def test_data_to_a_closed_socket_resets_the_connection(self):
        near, far = self.connected_pair()
        far.close()
        near.send(b'ab')
        self.advance(2 * DELAY)
        self.assertEqual(self.recv_errno(near), ECONNRESET)

    def test_cut_holds_data_back_until_it_ends(self):
        near, far = self.connected_pair()
        self.net.cut(1, {SERVER[0]})
        near.send(b'ab')
        self.advance(5 * DELAY)
        before = far.events() & EPOLLIN
        self.net.end_cut(1)
        self.assertEqual((before, far.recv(10)), (0, b'ab'))

    def test_process_exit_resets_connections_with_unread_data(self):
        near, far = self.connected_pair()
        near.send(b'ab')
        self.advance(DELAY)
        self.far.close_all()
        self.advance(DELAY)
        self.assertEqual((self.recv_errno(near), len(self.far.open)), (ECONNRESET, 0))

    def test_injected_reset_reaches_both_ends(self):
        near, far = self.connected_pair()
        self.net.resets[SERVER[0]] = (1.0, self.world.random_source('x'))
        near.send(b'abcdef')
        self.advance(3 * DELAY)
        self.assertEqual((self.recv_errno(near), self.recv_errno(far)), (ECONNRESET, ECONNRESET))

    def test_peeking_and_tcp_info_work_on_simulated_sockets(self):
        near, far = self.connected_pair()
        silent = nothing_unread(Transport(far))
        near.send(b'ab')
        self.advance(DELAY)
        unread = nothing_unread(Transport(far)), far.unread
        self.advance(70_000)
        self.assertEqual((silent, unread, tcp_info(far)), (True, (False, 2), (1, 700)))

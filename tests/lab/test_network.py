"""The simulated network: what a kernel does with sockets, one call a test."""

import socket
import unittest
from errno import ECONNREFUSED, ECONNRESET, EINPROGRESS, EISCONN, EMFILE
from select import EPOLLIN

from lilacdyke.lab.network import WINDOW, Network, Process
from lilacdyke.lab.world import World
from lilacdyke.net.sockets import quiet, tcp_info

HERE, THERE = ('127.1.0.1', 0), ('127.2.0.1', 80)
TRAVEL = 1_000


class Transport:
    """What holds a socket, as Twisted's transports do."""

    def __init__(self, held):
        self.getHandle = lambda: held


class Case(unittest.TestCase):
    def setUp(self):
        self.world = World(1)
        self.net = Network(self.world, lambda here, there: TRAVEL)
        self.near, self.far = Process(self.net, 'near', HERE[0]), Process(self.net, 'far', THERE[0])
        self.listening = self.far.socket()
        self.listening.bind(THERE)
        self.listening.listen(2)

    def pass_(self, wait):
        """Let so many microseconds pass."""
        self.world.run(self.world.now + wait)

    def asking(self):
        """A connection that is coming up."""
        made = self.near.socket()
        self.assertEqual(made.connect_ex(THERE), EINPROGRESS)
        return made

    def pair(self):
        """Both ends of one that is up."""
        made = self.asking()
        self.pass_(2 * TRAVEL)
        return made, self.listening.accept()[0]

    def lost(self, held):
        """The error that reading gives."""
        with self.assertRaises(OSError) as caught:
            held.recv(10)
        return caught.exception.errno


class Connecting(Case):
    def test_it_comes_up_after_a_round_trip(self):
        made = self.asking()
        self.pass_(2 * TRAVEL - 1)
        before = made.state
        self.pass_(1)
        self.assertEqual((before, made.state, made.connect_ex(THERE)), ('connecting', 'open', EISCONN))

    def test_nobody_listens(self):
        self.listening.close()
        made = self.asking()
        self.pass_(2 * TRAVEL)
        self.assertEqual(made.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR), ECONNREFUSED)

    def test_a_full_queue_answers_nothing_and_is_asked_again_a_second_later(self):
        made = [self.asking() for _ in range(4)]
        self.pass_(2 * TRAVEL)
        states = [one.state for one in made]
        self.listening.accept()
        self.pass_(1_000_000 + TRAVEL)
        self.assertEqual((states, made[3].state), (['open'] * 3 + ['connecting'], 'open'))

    def test_a_cut_swallows_it_without_a_word(self):
        self.net.cut(1, {THERE[0]})
        made = self.asking()
        self.pass_(900_000)
        self.assertEqual((made.state, made.events()), ('connecting', 0))

    def test_no_descriptor_is_left(self):
        self.near.limit = 0
        with self.assertRaises(OSError) as caught:
            self.near.socket()
        self.assertEqual(caught.exception.errno, EMFILE)

    def test_one_that_says_nothing_is_kept_from_the_queue_for_a_second(self):
        self.listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
        self.asking()
        self.pass_(500_000)
        before = self.listening.events()
        self.pass_(600_000)
        self.assertEqual((before, self.listening.events()), (0, EPOLLIN))


class Bytes(Case):
    def test_they_come_in_order_whatever_the_way(self):
        near, far = self.pair()
        waits = iter([5_000, 100])
        self.net.delay = lambda here, there: next(waits, 100)
        near.send(b'ab')
        near.send(b'cd')
        self.pass_(10_000)
        self.assertEqual(far.recv(10), b'abcd')

    def test_the_window_fills_and_reading_opens_it(self):
        near, far = self.pair()
        sent = near.send(b'x' * (WINDOW + 5))
        self.assertEqual(sent, WINDOW)
        with self.assertRaises(BlockingIOError):
            near.send(b'y')
        self.pass_(TRAVEL)
        far.recv(100)
        self.assertEqual(near.send(b'y' * 200), 100)

    def test_an_end_is_read_after_all_bytes(self):
        near, far = self.pair()
        near.send(b'ab')
        near.shutdown(1)
        self.pass_(TRAVEL)
        self.assertEqual((far.recv(10), far.recv(10)), (b'ab', b''))

    def test_closing_on_bytes_unread_resets(self):
        near, far = self.pair()
        near.send(b'ab')
        self.pass_(TRAVEL)
        far.close()
        self.pass_(TRAVEL)
        self.assertEqual(self.lost(near), ECONNRESET)

    def test_bytes_for_a_closed_one_reset(self):
        near, far = self.pair()
        far.close()
        near.send(b'ab')
        self.pass_(2 * TRAVEL)
        self.assertEqual(self.lost(near), ECONNRESET)

    def test_a_cut_holds_bytes_back_until_it_is_mended(self):
        near, far = self.pair()
        self.net.cut(1, {THERE[0]})
        near.send(b'ab')
        self.pass_(5 * TRAVEL)
        before = far.events() & EPOLLIN
        self.net.mend(1)
        self.assertEqual((before, far.recv(10)), (0, b'ab'))

    def test_a_dead_process_resets_what_it_had_not_read(self):
        near, far = self.pair()
        near.send(b'ab')
        self.pass_(TRAVEL)
        self.far.die()
        self.pass_(TRAVEL)
        self.assertEqual((self.lost(near), len(self.far.open)), (ECONNRESET, 0))

    def test_a_fault_resets_at_any_byte(self):
        near, far = self.pair()
        self.net.resets[THERE[0]] = (1.0, self.world.chance('x'))
        near.send(b'abcdef')
        self.pass_(3 * TRAVEL)
        self.assertEqual((self.lost(near), self.lost(far)), (ECONNRESET, ECONNRESET))

    def test_what_the_node_asks_past_twisted(self):
        near, far = self.pair()
        silent = quiet(Transport(far))
        near.send(b'ab')
        self.pass_(TRAVEL)
        unread = quiet(Transport(far)), far.unread
        self.pass_(70_000)
        self.assertEqual((silent, unread, tcp_info(far)), (True, (False, 2), (1, 700)))

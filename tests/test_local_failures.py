"""Calls that fail on the node's own machine: told apart from failures of servers, tried again soon."""

import errno
import time
import unittest

from .crossings import chunk, told
from .faulty import OnFaultyMachine

CLIENTS = 8
CONNECT_ERRNOS = (
    errno.ENOBUFS,
    errno.ENETUNREACH,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.ENOMEM,
    errno.EPERM,
)
SOCKET_ERRNOS = (errno.ENOBUFS, errno.ENOMEM)


class Connecting(OnFaultyMachine):
    """Connections to a server that is well cannot be made for a while."""

    names = ('c0',)

    def setUp(self):
        super().setUp()
        self.servers['c0'].socket.settimeout(2)  # what does not come at once does not come

    def assert_served_after(self, call, number):
        """Clients come one after another while a call fails; right after that they are served."""
        self.board.put(calls=[{'call': call, 'errno': number}])
        for index in range(CLIENTS):
            line = self.client()
            self.ask(line, '%s%d-%d' % (call, number, index), more='Req-Deadline: 0.300\r\n')
            self.assertEqual(line.answered()[0], 503)
        self.board.put()
        begun = time.monotonic()
        self.served(self.client(), 'after-%s-%d' % (call, number)).close()
        self.assertLess(time.monotonic() - begun, 0.5)
        lines = []
        while not self.events.empty():
            lines.append(self.events.get())
        self.assertFalse([line for line in lines if 'set aside' in line])
        self.assertTrue(
            [line for line in lines if 'call failed' in line and errno.errorcode[number] in line], lines
        )

    def test_a_connect_that_fails_here_sets_no_server_aside(self):
        for number in CONNECT_ERRNOS:
            with self.subTest(errno=errno.errorcode[number]):
                self.assert_served_after('connect', number)

    def test_a_socket_that_cannot_be_made_sets_no_server_aside(self):
        for number in SOCKET_ERRNOS:
            with self.subTest(errno=errno.errorcode[number]):
                self.assert_served_after('socket', number)

    def test_a_failure_that_ends_in_time_costs_no_request(self):
        self.board.put(calls=[{'call': 'connect', 'errno': errno.ENOBUFS, 'for_s': 0.15}])
        self.served(self.client(), 'during')


class OnConnections(OnFaultyMachine):
    """Calls on connections, and for new ones, that fail for a moment and leave the connection as it was."""

    SPAN = 0.12  # seconds for which a call fails

    def setUp(self):
        super().setUp()
        self.servers['c0'].socket.settimeout(5)

    def assert_served_through(self, call, *numbers):
        for number in numbers:
            with self.subTest(call=call, errno=errno.errorcode[number]):
                self.board.put(calls=[{'call': call, 'errno': number, 'for_s': self.SPAN}])
                name = '%s-%d' % (call, number)
                line = self.client()
                self.served(line, name).close()
                self.board.put()
                line.close()

    def test_bytes_that_cannot_be_moved_now_are_moved_later(self):
        self.assert_served_through('send', errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
        self.assert_served_through('recv', errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)

    def test_interest_that_cannot_be_set_now_is_set_later(self):
        self.assert_served_through('epoll_ctl', errno.ENOMEM, errno.ENOSPC)

    def test_connections_that_cannot_be_accepted_now_are_accepted_later(self):
        self.assert_served_through('accept', errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE)

    def test_options_that_cannot_be_set_or_read_are_done_without(self):
        self.assert_served_through('setsockopt', errno.ENOBUFS, errno.ENOMEM)
        self.assert_served_through('getsockopt', errno.ENOBUFS, errno.ENOMEM)
        self.assert_served_through('getpeername', errno.ENOBUFS)
        self.assert_served_through('getsockname', errno.ENOBUFS)

    def test_a_few_bytes_at_a_time(self):
        for call in ('send', 'recv'):
            with self.subTest(call=call):
                self.board.put(calls=[{'call': call, 'size': 3}])
                self.served(self.client(), 'short-' + call).close()
                self.board.put()


class Starting(OnFaultyMachine):
    """A start whose first calls to discovery fail on this machine."""

    names, watches = ('c0', 'c1'), False

    def prepare(self):
        super().prepare()
        self.board.put(calls=[{'call': 'connect', 'errno': errno.ENOBUFS, 'count': 4}])

    def test_nobody_is_served_by_the_remembered_list_before_discovery_was_asked(self):
        watch, _ = self.agent.watch()
        lines = [self.client() for _ in range(CLIENTS)]
        for index, line in enumerate(lines):
            self.ask(line, 'early%d' % index, path='/read/k%d' % index)
        time.sleep(0.2)  # in which nothing has come of discovery yet
        watch.say(chunk(told(5, self.row('c0', lifecycle='DRAINING'), self.row('c1'))))
        for _ in lines:
            hop = self.servers['c1'].take()
            self.assertTrue(hop.request())
            hop.answer()
        self.assertEqual([line.answered()[0] for line in lines], [200] * CLIENTS)
        self.finish()
        self.assertEqual(self.servers['c0'].all_seen(), [])


if __name__ == '__main__':
    unittest.main()

"""Failures of local system calls are retried and not attributed to servers."""

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
    """Connecting to a healthy server fails locally for a while."""

    names = ('c0',)

    def setUp(self):
        super().setUp()
        self.servers['c0'].socket.settimeout(2)  # seconds; an expected event comes at once

    def assert_served_after_failures_of(self, call, number):
        """Clients are refused while a call fails, and served right after."""
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

    def test_local_connect_failure_does_not_mark_server(self):
        for number in CONNECT_ERRNOS:
            with self.subTest(errno=errno.errorcode[number]):
                self.assert_served_after_failures_of('connect', number)

    def test_socket_creation_failure_does_not_mark_server(self):
        for number in SOCKET_ERRNOS:
            with self.subTest(errno=errno.errorcode[number]):
                self.assert_served_after_failures_of('socket', number)

    def test_short_failure_costs_no_request(self):
        self.board.put(calls=[{'call': 'connect', 'errno': errno.ENOBUFS, 'for_s': 0.15}])
        self.served(self.client(), 'during')


class OnConnections(OnFaultyMachine):
    """Calls on existing and new connections fail briefly without affecting the connection."""

    SPAN = 0.12  # seconds

    def setUp(self):
        super().setUp()
        self.servers['c0'].socket.settimeout(5)

    def assert_served_despite(self, call, *numbers):
        for number in numbers:
            with self.subTest(call=call, errno=errno.errorcode[number]):
                self.board.put(calls=[{'call': call, 'errno': number, 'for_s': self.SPAN}])
                name = '%s-%d' % (call, number)
                line = self.client()
                self.served(line, name).close()
                self.board.put()
                line.close()

    def test_failed_send_and_recv_are_retried(self):
        self.assert_served_despite('send', errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)
        self.assert_served_despite('recv', errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN)

    def test_failed_epoll_ctl_is_retried(self):
        self.assert_served_despite('epoll_ctl', errno.ENOMEM, errno.ENOSPC)

    def test_failed_accept_is_retried(self):
        self.assert_served_despite('accept', errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE)

    def test_failed_socket_options_are_optional(self):
        self.assert_served_despite('setsockopt', errno.ENOBUFS, errno.ENOMEM)
        self.assert_served_despite('getsockopt', errno.ENOBUFS, errno.ENOMEM)
        self.assert_served_despite('getpeername', errno.ENOBUFS)
        self.assert_served_despite('getsockname', errno.ENOBUFS)

    def test_short_sends_and_receives(self):
        for call in ('send', 'recv'):
            with self.subTest(call=call):
                self.board.put(calls=[{'call': call, 'size': 3}])
                self.served(self.client(), 'short-' + call).close()
                self.board.put()


class Starting(OnFaultyMachine):
    """The first calls to discovery fail locally at startup."""

    names, watches = ('c0', 'c1'), False

    def prepare(self):
        super().prepare()
        self.board.put(calls=[{'call': 'connect', 'errno': errno.ENOBUFS, 'count': 4}])

    def test_remembered_list_is_not_used_before_discovery_is_asked(self):
        watch, _ = self.agent.watch()
        lines = [self.client() for _ in range(CLIENTS)]
        for index, line in enumerate(lines):
            self.ask(line, 'early%d' % index, path='/read/k%d' % index)
        time.sleep(0.2)  # discovery has not answered yet
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

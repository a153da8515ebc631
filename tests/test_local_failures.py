"""Calls that fail on the node's own machine: told apart from failures of servers, tried again soon."""

import errno
import time
import unittest

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


if __name__ == '__main__':
    unittest.main()

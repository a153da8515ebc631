"""The sweep of calls, thinned: no rule is broken, and a point alone plays its run again."""

import errno
import unittest
from unittest import mock

from lilacdyke.lab import callsweep
from lilacdyke.lab.callsweep import ON, ONCE, Point
from lilacdyke.net import caches, transports

EVERY = 41  # only each so-manieth call of a kind


class Sweeps(unittest.TestCase):
    def test_no_point_breaks_a_rule(self):
        count, found = callsweep.sweep(EVERY)
        self.assertGreater(count, 200)
        self.assertEqual(found, [])

    def test_each_kind_of_call_is_made(self):
        self.assertEqual(
            set(callsweep.counted()), {*callsweep.PLAYED, callsweep.WALL} - {'getsockname', 'getpeername'}
        )

    def test_a_node_that_ends_connections_for_want_of_memory_is_found(self):
        with mock.patch.object(transports, 'RETRIED_IO_ERRNOS', frozenset()):
            found = [callsweep.play(Point('recv', number, errno.ENOMEM, ONCE)) for number in range(20, 30)]
        self.assertTrue(any(found))

    def test_a_point_gives_the_same_verdict_each_time(self):
        point = Point('connect', 3, errno.ENOBUFS, ON)
        with mock.patch.object(caches, 'local_errno', lambda failure: None):
            self.assertEqual(callsweep.play(point), callsweep.play(point))


if __name__ == '__main__':
    unittest.main()

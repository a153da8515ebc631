"""A sample of the sweep of system call failures: no rule is violated, and runs are reproducible."""

import errno
import unittest
from unittest import mock

from lilacdyke.lab import callsweep
from lilacdyke.lab.callsweep import ON, ONCE, Point
from lilacdyke.net import caches, transports

EVERY = 41  # every 41st call of a kind


class CallSweepTest(unittest.TestCase):
    def test_no_point_violates_a_rule(self):
        count, found = callsweep.sweep(EVERY)
        self.assertGreater(count, 200)
        self.assertEqual(found, [])

    def test_scenario_makes_each_kind_of_call(self):
        self.assertEqual(
            set(callsweep.count_calls()),
            {*callsweep.SWEPT_CALLS, callsweep.WALL} - {'getsockname', 'getpeername'},
        )

    def test_detects_a_node_that_closes_connections_on_enomem(self):
        with mock.patch.object(transports, 'RETRIED_IO_ERRNOS', frozenset()):
            found = [callsweep.play(Point('recv', number, errno.ENOMEM, ONCE)) for number in range(20, 30)]
        self.assertTrue(any(found))

    def test_point_gives_the_same_result_each_time(self):
        point = Point('connect', 3, errno.ENOBUFS, ON)
        with mock.patch.object(caches, 'local_errno', lambda failure: None):
            self.assertEqual(callsweep.play(point), callsweep.play(point))


if __name__ == '__main__':
    unittest.main()

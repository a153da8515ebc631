"""Steps of the wall clock do not affect the program or its libraries."""

import logging
import os
import time
import unittest
from unittest import mock

from lilacdyke.net.discovery import Entry
from lilacdyke.net.handover import process_start
from lilacdyke.net.logs import RateLimitFilter
from lilacdyke.net.sockets import Reactor
from lilacdyke.net.start_times import StartTimes
from lilacdyke.values import SECOND

from .faulty import OnFaultyMachine
from .helpers import entry, node

HOUR = 3_600.0
LIMIT = 0.4  # seconds
TOLERANCE = 0.5  # seconds by which an answer may miss the limit


class SteppedClock(OnFaultyMachine):
    """A request to a silent server is answered at its limit, whatever the wall clock does."""

    def time_unanswered(self):
        """Send a request to a silent server; return (seconds until the node's answer, status)."""
        line = self.client()
        begun = time.monotonic()
        self.ask(line, 'r%d' % len(self.clients), more='Req-Deadline: %.3f\r\n' % LIMIT)
        line.socket.settimeout(LIMIT + TOLERANCE + 1.0)
        try:
            status, _ = line.answered()
        except TimeoutError:
            status = None
        return time.monotonic() - begun, status

    def assert_answered_in_time(self):
        took, status = self.time_unanswered()
        self.assertIn(status, (502, 503, 504), 'no answer after %.2f s' % took)
        self.assertLess(took, LIMIT + TOLERANCE)

    def test_step_back_before_request(self):
        self.assert_answered_in_time()
        self.board.put(wall_s=-HOUR)
        self.assert_answered_in_time()

    def test_step_back_during_request(self):
        line = self.client()
        begun = time.monotonic()
        self.ask(line, 'r0', more='Req-Deadline: %.3f\r\n' % LIMIT)
        self.servers['c0'].take().request()
        self.board.put(wall_s=-3.0)
        self.assertIn(line.answered()[0], (502, 503, 504))
        self.assertLess(time.monotonic() - begun, LIMIT + TOLERANCE)

    def test_steps_forward_and_back(self):
        for wall_s in (HOUR, 0.0, 20.0, -10.0):
            self.board.put(wall_s=wall_s)
            self.assert_answered_in_time()


class Libraries(unittest.TestCase):
    """Libraries use the monotonic clock too."""

    def test_reactor_timers_use_monotonic_clock(self):
        reactor = Reactor()
        self.addCleanup(reactor._poller.close)
        self.assertIs(reactor.seconds, time.monotonic)
        call = reactor.callLater(5, int)
        self.assertIs(call.seconds, time.monotonic)
        self.assertAlmostEqual(call.getTime(), time.monotonic() + 5, delta=1)
        call.cancel()

    def test_repeated_warnings_resume_after_monotonic_minute(self):
        now, record = [100.0], logging.LogRecord('x', logging.WARNING, '', 0, 'same', (), None)
        with mock.patch('lilacdyke.net.logs.System.elapsed', lambda: now[0]):
            sparse = RateLimitFilter()
            self.assertEqual([sparse.filter(record) for _ in range(7)], [True] * 5 + [False] * 2)
            record.created -= HOUR
            self.assertFalse(sparse.filter(record))
            now[0] += 60
            self.assertTrue(sparse.filter(record))


class ServerStarts(unittest.TestCase):
    """Start times in lists are in Unix time, and the node's wall clock may have been wrong at its start."""

    NOW, UNIX_S = 500 * SECOND, 1_700_000_000

    def age_of(self, ahead_s, age_s, last_line_at):
        """Return the age, in seconds, of a server of age age_s at a node whose clock is ahead by ahead_s."""
        times = StartTimes(self.NOW - int((self.UNIX_S + ahead_s) * SECOND))
        listed = Entry(entry('c0', startedAtMs=(self.UNIX_S - age_s) * 1_000))
        first = times.start_of(listed, self.NOW, last_line_at)
        self.assertEqual(times.start_of(listed, self.NOW + SECOND, self.NOW), first)  # listed again
        return (self.NOW - first) / SECOND

    def test_age_is_as_listed_if_clock_is_right(self):
        for age in (0.0, 3.0, 400.0):
            self.assertAlmostEqual(self.age_of(0, age, None), age, delta=0.01)
        self.assertAlmostEqual(self.age_of(0, 3.0, self.NOW - SECOND), 3.0, delta=0.01)

    def test_new_start_is_recent_if_clock_is_ahead(self):
        for ahead in (20, 3_600):
            self.assertLessEqual(self.age_of(ahead, 0.5, self.NOW - SECOND), 6.0)

    def test_start_in_future_is_now(self):
        self.assertEqual(self.age_of(-3_600, 0.5, None), 0.0)


class HandOver(unittest.TestCase):
    """Times keep their age in a hand-over, even if the wall clock is stepped between the starts."""

    def test_time_of_suspension_keeps_its_age(self):
        predecessor, successor = node(), node()
        predecessor.reactor.advance(20)
        successor.reactor.advance(20)
        predecessor.router.suspend(predecessor.clock(), 'c0')
        predecessor.reactor.advance(5)
        successor.reactor.advance(5)
        successor.starts.offset += int(HOUR * SECOND)  # it started after a step of the wall clock
        successor.import_state(predecessor.export_state())
        since, back = successor.router.suspensions['c0']
        self.assertIsNone(back)
        self.assertAlmostEqual(successor.clock() - since, 5 * SECOND, delta=10)

    def test_process_start_orders_processes(self):
        self.assertGreater(process_start(str(os.getpid())), process_start('1'))
        self.assertEqual((process_start('0'), process_start('x')), (-1, -1))


class Reports(unittest.TestCase):
    def test_step_is_counted_and_logged(self):
        made = node()
        made.reactor.advance(1.1)
        with (
            mock.patch.object(made.system, 'wall', lambda: made.elapsed() + made.wall_offset - 20),
            self.assertLogs('lilacdyke', 'WARNING') as caught,
        ):
            made.reactor.advance(1.1)
        self.assertEqual((made.counts['clock_steps'], caught.records[0].fields['by_ms']), (1, -20_000))


if __name__ == '__main__':
    unittest.main()

"""A wall clock that steps beneath the program and its libraries changes nothing that it does."""

import logging
import os
import time
import unittest
from unittest import mock

from lilacdyke.net.discovery import Entry
from lilacdyke.net.handover import process_start
from lilacdyke.net.logs import Sparse
from lilacdyke.net.sockets import Reactor
from lilacdyke.net.starts import StartTimes
from lilacdyke.values import SECOND

from .faulty import OnFaultyMachine
from .helpers import entry, node

HOUR = 3_600.0
LIMIT = 0.4  # seconds that a client waits for its answer
GRACE = 0.5  # within so many seconds beyond it there has to be one


class SteppedClock(OnFaultyMachine):
    """Requests whose server says nothing are answered at their limit, whatever the wall clock does."""

    def unanswered(self):
        """How long the node took to answer a request to which its server says nothing: (seconds, status)."""
        line = self.client()
        begun = time.monotonic()
        self.ask(line, 'r%d' % len(self.clients), more='Req-Deadline: %.3f\r\n' % LIMIT)
        line.socket.settimeout(LIMIT + GRACE + 1.0)
        try:
            status, _ = line.answered()
        except TimeoutError:
            status = None
        return time.monotonic() - begun, status

    def assert_in_time(self):
        took, status = self.unanswered()
        self.assertIn(status, (502, 503, 504), 'no answer after %.2f s' % took)
        self.assertLess(took, LIMIT + GRACE)

    def test_a_step_back_does_not_hold_up_the_answer_at_the_limit(self):
        self.assert_in_time()
        self.board.put(wall_s=-HOUR)
        self.assert_in_time()

    def test_a_step_back_while_a_request_is_open_does_not_hold_up_its_answer(self):
        line = self.client()
        begun = time.monotonic()
        self.ask(line, 'r0', more='Req-Deadline: %.3f\r\n' % LIMIT)
        self.servers['c0'].take().request()
        self.board.put(wall_s=-3.0)
        self.assertIn(line.answered()[0], (502, 503, 504))
        self.assertLess(time.monotonic() - begun, LIMIT + GRACE)

    def test_steps_forward_and_back_again_change_nothing(self):
        for wall_s in (HOUR, 0.0, 20.0, -10.0):
            self.board.put(wall_s=wall_s)
            self.assert_in_time()


class Libraries(unittest.TestCase):
    """What libraries do beneath the program by a clock is done by the monotonic one."""

    def test_the_reactors_timers_go_by_the_monotonic_clock(self):
        reactor = Reactor()
        self.addCleanup(reactor._poller.close)
        self.assertIs(reactor.seconds, time.monotonic)
        call = reactor.callLater(5, int)
        self.assertIs(call.seconds, time.monotonic)
        self.assertAlmostEqual(call.getTime(), time.monotonic() + 5, delta=1)
        call.cancel()

    def test_warnings_are_written_again_after_a_minute_of_real_time(self):
        now, record = [100.0], logging.LogRecord('x', logging.WARNING, '', 0, 'same', (), None)
        with mock.patch('lilacdyke.net.logs.System.elapsed', lambda: now[0]):
            sparse = Sparse()
            self.assertEqual([sparse.filter(record) for _ in range(7)], [True] * 5 + [False] * 2)
            record.created -= HOUR
            self.assertFalse(sparse.filter(record))
            now[0] += 60
            self.assertTrue(sparse.filter(record))


class Lists(unittest.TestCase):
    """Starts of servers that lists tell in Unix time, at a node whose wall clock was off as it started."""

    NOW, UNIX_S = 500 * SECOND, 1_700_000_000

    def start_of(self, ahead_s, age_s, last_word):
        """By a wall clock so far ahead, the age in seconds that a start so long ago has."""
        times = StartTimes(self.NOW - int((self.UNIX_S + ahead_s) * SECOND))
        told = Entry(entry('c0', startedAtMs=(self.UNIX_S - age_s) * 1_000))
        first = times.of(told, self.NOW, last_word)
        self.assertEqual(times.of(told, self.NOW + SECOND, self.NOW), first)  # it is told again
        return (self.NOW - first) / SECOND

    def test_a_start_is_as_old_as_the_list_says_where_the_clock_is_right(self):
        for age in (0.0, 3.0, 400.0):
            self.assertAlmostEqual(self.start_of(0, age, None), age, delta=0.01)
        self.assertAlmostEqual(self.start_of(0, 3.0, self.NOW - SECOND), 3.0, delta=0.01)

    def test_news_of_a_start_is_not_taken_for_old_by_a_clock_that_is_ahead(self):
        for ahead in (20, 3_600):
            self.assertLessEqual(self.start_of(ahead, 0.5, self.NOW - SECOND), 6.0)

    def test_a_start_in_the_future_is_now(self):
        self.assertEqual(self.start_of(-3_600, 0.5, None), 0.0)


class HandedOver(unittest.TestCase):
    """What an elder tells in time keeps its age at an heir, whatever the wall clock did between their
    starts."""

    def test_servers_out_by_hand(self):
        elder, heir = node(), node()
        elder.reactor.advance(20)
        heir.reactor.advance(20)
        elder.router.suspend(elder.clock(), 'c0')
        elder.reactor.advance(5)
        heir.reactor.advance(5)
        heir.starts.offset += int(HOUR * SECOND)  # it read a clock that was stepped since
        heir.inherit(elder.legacy())
        since, back = heir.router.hand['c0']
        self.assertIsNone(back)
        self.assertAlmostEqual(heir.clock() - since, 5 * SECOND, delta=10)

    def test_the_process_that_started_last_is_asked_first(self):
        self.assertGreater(process_start(str(os.getpid())), process_start('1'))
        self.assertEqual((process_start('0'), process_start('x')), (-1, -1))


class Told(unittest.TestCase):
    def test_staff_are_told_of_a_step(self):
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

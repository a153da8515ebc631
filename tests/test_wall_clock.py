"""A wall clock that steps beneath the program and its libraries changes nothing that it does."""

import logging
import time
import unittest
from unittest import mock

from lilacdyke.net.logs import Sparse
from lilacdyke.net.sockets import Reactor

from .faulty import OnFaultyMachine

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


if __name__ == '__main__':
    unittest.main()

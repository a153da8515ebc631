"""Several processes of the program with faults between them: no rule and no limit broken; broken programs are found; nothing stays behind."""

import os
import signal
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from lilacdyke.trial import runs
from lilacdyke.trial.relay import DOWN, STORE, UP, End, Way

# Played in CI: drawn ones, two that are set, and broken programs that a trial finds at its first seed.
FIXED = [(seed, None, None) for seed in (1, 2, 3, 5, 8, 13, 21, 34)] + [
    (1, None, 'kills'),
    (1, None, 'absurd'),
]
BROKEN = [
    (1, name, name)
    for name in ('lease-past-its-end', 'seat-held-twice', 'limit-read-once', 'waits-for-a-plan')
]


class Trials(unittest.TestCase):
    """All of them side by side, judged one by one."""

    @classmethod
    def setUpClass(cls):
        with ThreadPoolExecutor(4) as pool:
            cls.found = dict(zip(FIXED + BROKEN, pool.map(lambda task: runs.one(*task), FIXED + BROKEN)))

    def test_no_rule_and_no_limit_is_broken_and_requests_are_served(self):
        for task in FIXED:
            with self.subTest(task=task):
                self.assertEqual(self.found[task].broken, [])
                self.assertGreater(self.found[task].figures['outcomes'].get('served', 0), 50)

    def test_planners_killed_a_hundred_times_leave_one_answer_for_each_request(self):
        found = self.found[1, None, 'kills']
        self.assertEqual((found.kinds.count('kill_planner'), found.broken), (100, []))

    def test_broken_programs_are_found(self):
        # A machine that is short of time for a moment hides some: each has three trials, and one is enough.
        for task in BROKEN:
            with self.subTest(task=task):
                found = (
                    self.found[task].broken or runs.one(2, *task[1:]).broken or runs.one(3, *task[1:]).broken
                )
                self.assertIn(found[0][0], ('limits', 'short'))


class Behind(unittest.TestCase):
    def test_nothing_outlives_a_trial_that_is_killed(self):
        mark = 'lilacdyke.trial'
        running = subprocess.Popen(
            [sys.executable, '-m', 'lilacdyke.trial.runs', '[1, null, null]'], stdout=subprocess.DEVNULL
        )
        for _ in range(100):
            if len(self.children(running.pid)) >= 6:
                break
            time.sleep(0.05)
        made = self.children(running.pid)
        running.send_signal(signal.SIGKILL)
        running.wait()
        for _ in range(100):
            if not any(os.path.exists('/proc/%d' % pid) and self.state(pid) != 'Z' for pid in made):
                break
            time.sleep(0.05)
        left = [pid for pid in made if os.path.exists('/proc/%d' % pid) and self.state(pid) != 'Z']
        self.assertEqual((len(made) >= 6, left, mark), (True, [], mark))

    @staticmethod
    def state(pid):
        try:
            with open('/proc/%d/stat' % pid, encoding='ascii', errors='replace') as file:
                return file.read().rpartition(')')[2].split()[0]
        except OSError:
            return 'Z'

    @staticmethod
    def children(pid):
        try:
            with open('/proc/%d/task/%d/children' % (pid, pid), encoding='ascii') as file:
                return [int(word) for word in file.read().split()]
        except OSError:
            return []


class Passing(unittest.TestCase):
    """A relay's directions, by state."""

    def setUp(self):
        clock = self.clock = Clock()

        class Link:
            ways = (Way(), Way())
            clock = staticmethod(lambda: int(clock.seconds() * 1e6))
            later = staticmethod(lambda wait, call, *given: clock.callLater(wait / 1e6, call, *given))
            rng, tells_old, old = __import__('random').Random(1), False, None
            opened = closed = staticmethod(lambda end: None)

        self.link, self.asked, self.there = Link, End(Link, UP), End(Link, DOWN)
        self.asked.other, self.there.other = self.there, self.asked
        self.wires = []
        for end in (self.asked, self.there):
            wire = StringTransport()
            wire.setTcpNoDelay = lambda on: None
            end.makeConnection(wire)
            self.wires.append(wire)

    def test_a_cut_holds_one_direction_and_lets_go_in_order(self):
        self.link.ways[UP].cut = True
        self.asked.dataReceived(b'one'), self.asked.dataReceived(b'two'), self.there.dataReceived(b'back')
        held = self.wires[1].value(), self.wires[0].value()
        self.link.ways[UP].heal()
        self.asked.pass_on()
        self.assertEqual((held, self.wires[1].value()), ((b'', b'back'), b'onetwo'))

    def test_a_torn_frame_stops_within(self):
        self.link.ways[UP].torn = 4
        self.asked.dataReceived(b'abc'), self.asked.dataReceived(b'defg')
        self.assertEqual((self.wires[1].value(), self.link.ways[UP].cut), (b'abcd', True))

    def test_late_bytes_come_late_and_in_order(self):
        self.link.ways[UP].late = 500_000
        self.asked.dataReceived(b'a')
        self.link.ways[UP].late = 0
        self.asked.dataReceived(b'b')
        before = self.wires[1].value()
        self.clock.advance(0.6)
        self.assertEqual((before, self.wires[1].value()), (b'', b'ab'))

    def test_no_more_is_held_than_a_pipe_would(self):
        self.link.ways[UP].cut = True
        self.asked.dataReceived(b'x' * (STORE + 1))
        self.assertEqual(self.wires[0].producerState, 'paused')

    def test_an_end_is_told_behind_the_bytes_and_not_through_a_cut(self):
        self.link.ways[UP].cut = True
        self.asked.dataReceived(b'last')
        self.asked.connectionLost()
        before = self.wires[1].disconnecting
        self.link.ways[UP].heal()
        self.asked.pass_on()
        self.assertEqual((before, self.wires[1].value(), self.wires[1].disconnecting), (False, b'last', True))


if __name__ == '__main__':
    unittest.main()

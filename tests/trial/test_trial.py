"""Trials of real processes with faults violate no rule and no limit, catch mutants, and leave no process
behind."""

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
from lilacdyke.trial.relay import DOWN, MAX_HELD_BYTES, UP, Direction, RelayEnd

# Drawn trials, two predefined ones, and mutants that are usually caught at their first seed.
FIXED = [(seed, None, None) for seed in (1, 2, 3, 5, 8, 13, 21, 34)] + [
    (1, None, 'kills'),
    (1, None, 'absurd'),
]
MUTANTS = [
    (1, name, name)
    for name in ('lease-past-its-end', 'seat-held-twice', 'limit-read-once', 'waits-for-a-plan')
]


class Trials(unittest.TestCase):
    """Runs all trials concurrently and checks each one."""

    @classmethod
    def setUpClass(cls):
        with ThreadPoolExecutor(4) as pool:
            cls.found = dict(
                zip(FIXED + MUTANTS, pool.map(lambda task: runs.run_in_subprocess(*task), FIXED + MUTANTS))
            )

    def test_trials_hold_all_rules_and_serve_requests(self):
        for task in FIXED:
            with self.subTest(task=task):
                self.assertEqual(self.found[task].broken, [])
                self.assertGreater(self.found[task].figures['outcomes'].get('served', 0), 50)

    def test_a_hundred_planner_kills_leave_one_answer_per_request(self):
        found = self.found[1, None, 'kills']
        self.assertEqual((found.kinds.count('kill_planner'), found.broken), (100, []))

    def test_mutants_are_caught(self):
        # A stall of the machine can hide a mutant: it must be caught in one of three trials.
        for task in MUTANTS:
            with self.subTest(task=task):
                found = (
                    self.found[task].broken
                    or runs.run_in_subprocess(2, *task[1:]).broken
                    or runs.run_in_subprocess(3, *task[1:]).broken
                )
                self.assertIn(found[0][0], ('limits', 'short'))


class KilledTrial(unittest.TestCase):
    def test_no_process_outlives_a_killed_trial(self):
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


class RelayDirections(unittest.TestCase):
    """A relay's directions under each fault."""

    def setUp(self):
        clock = self.clock = Clock()

        class Link:
            directions = (Direction(), Direction())
            clock = staticmethod(lambda: int(clock.seconds() * 1e6))
            later = staticmethod(lambda wait, call, *given: clock.callLater(wait / 1e6, call, *given))
            rng, replays, replay_bytes = __import__('random').Random(1), False, None
            opened = closed = staticmethod(lambda end: None)

        self.link, self.asked, self.there = Link, RelayEnd(Link, UP), RelayEnd(Link, DOWN)
        self.asked.other, self.there.other = self.there, self.asked
        self.wires = []
        for end in (self.asked, self.there):
            wire = StringTransport()
            wire.setTcpNoDelay = lambda on: None
            end.makeConnection(wire)
            self.wires.append(wire)

    def test_cut_holds_one_direction_and_forwards_in_order_when_healed(self):
        self.link.directions[UP].cut = True
        self.asked.dataReceived(b'one'), self.asked.dataReceived(b'two'), self.there.dataReceived(b'back')
        held = self.wires[1].value(), self.wires[0].value()
        self.link.directions[UP].heal()
        self.asked.forward()
        self.assertEqual((held, self.wires[1].value()), ((b'', b'back'), b'onetwo'))

    def test_cut_after_bytes_truncates_a_frame(self):
        self.link.directions[UP].cut_after = 4
        self.asked.dataReceived(b'abc'), self.asked.dataReceived(b'defg')
        self.assertEqual((self.wires[1].value(), self.link.directions[UP].cut), (b'abcd', True))

    def test_delayed_bytes_stay_in_order(self):
        self.link.directions[UP].delay = 500_000
        self.asked.dataReceived(b'a')
        self.link.directions[UP].delay = 0
        self.asked.dataReceived(b'b')
        before = self.wires[1].value()
        self.clock.advance(0.6)
        self.assertEqual((before, self.wires[1].value()), (b'', b'ab'))

    def test_reading_pauses_above_the_held_bytes_limit(self):
        self.link.directions[UP].cut = True
        self.asked.dataReceived(b'x' * (MAX_HELD_BYTES + 1))
        self.assertEqual(self.wires[0].producerState, 'paused')

    def test_end_of_stream_follows_held_bytes_and_waits_for_a_cut(self):
        self.link.directions[UP].cut = True
        self.asked.dataReceived(b'last')
        self.asked.connectionLost()
        before = self.wires[1].disconnecting
        self.link.directions[UP].heal()
        self.asked.forward()
        self.assertEqual((before, self.wires[1].value(), self.wires[1].disconnecting), (False, b'last', True))


if __name__ == '__main__':
    unittest.main()

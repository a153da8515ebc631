"""Connections that wait in the system's queue while the node can accept none (docs/design/crossings.md).

Guards against requests that lie unread there until their time is long over.
"""

import os
import resource
import signal
import time
from copy import deepcopy

from .crossings import PATIENCE, Crossing
from .helpers import SETTINGS

WAIT = 0.3  # seconds that the waiting clients wait
LATEST = 0.55  # seconds after its time when an answer counts as none (STANDING, with the protocol's 50 ms)
LONG_WAIT = 2.0  # seconds that the clients wait that take all slots


def settings(**limits):
    """Return settings of a site whose requests wait for up to two seconds."""
    made = deepcopy(SETTINGS)
    for profile in made['profiles']:
        profile.update(hardLimitS=LONG_WAIT, serviceGoalS=0.25)
    made['limits'].update(limits)
    return made


class FailedAccept(Crossing):
    """The process has no descriptor left for a while, although its budget has."""

    settings = staticmethod(settings)

    def limit_descriptors(self, number):
        resource.prlimit(self.running.pid, resource.RLIMIT_NOFILE, (number, self.sockets))

    def test_requests_are_served_once_there_are_descriptors(self):
        self.seen_so_far()
        self.limit_descriptors(4)
        waiting = [self.client() for _ in range(5)]
        for number, line in enumerate(waiting):
            self.ask(line, 'w%d' % number)
        self.until('call failed: accept EMFILE')
        self.limit_descriptors(self.sockets)
        for _ in waiting:
            hop = self.servers['c0'].take()
            hop.request()
            hop.answer()
        self.assertEqual([line.answered()[0] for line in waiting], [200] * 5)

    def test_idle_connections_make_room(self):
        idle = [self.client() for _ in range(6)]
        for number, line in enumerate(idle):
            self.served(line, 'idle%d' % number) if not number else self.ready(line)
        time.sleep(0.2)
        taken = max(int(name) for name in os.listdir('/proc/%d/fd' % self.running.pid))
        self.limit_descriptors(taken + 1)
        line, begun = self.client(), time.monotonic()
        self.ready(line)
        self.assertLess(time.monotonic() - begun, WAIT)

    def ready(self, line):
        line.say(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        self.assertEqual(line.answered()[0], 200)


class FullSlots(Crossing):
    """All slots for clients are taken by requests whose servers hang."""

    sockets = 48  # eight clients
    settings = staticmethod(settings)

    def fill(self):
        """Take all slots by requests that get no answer; return their connections."""
        lines = []
        for number in range(8):
            lines.append(self.client())
            self.ask(lines[-1], 'long-%d' % number, 'PUT', '/once/k', b'hi')
        for _ in range(8):
            self.assertIsNotNone(self.servers['o'].take().request())
        return lines

    def ask_all(self, count, method='GET', path='/read/k', body=b''):
        """Send requests on connections of their own; return [(connection, when sent)]."""
        waiting = []
        for number in range(count):
            line = self.client()
            self.ask(line, 'w%d' % number, method, path, body, 'Req-Deadline: %s\r\n' % WAIT)
            waiting.append((line, time.monotonic()))
        return waiting

    def assert_answered_in_time(self, waiting):
        """Assert that all requests are refused, none later than an answer may be."""
        answers = [(line.answered()[0], time.monotonic() - asked) for line, asked in waiting]
        self.assertEqual({status for status, _ in answers}, {503})
        self.assertLess(max(waited for _, waited in answers), WAIT + LATEST)

    def test_reads_are_refused_in_time(self):
        self.fill()
        self.assert_answered_in_time(self.ask_all(30))

    def test_writes_are_refused_in_time(self):
        self.fill()
        self.assert_answered_in_time(self.ask_all(30, 'PUT', '/once/k', b'hi'))

    def test_reads_and_writes_are_refused_while_the_node_drains(self):
        self.fill()
        waiting = self.ask_all(10) + self.ask_all(10, 'PUT', '/once/k', b'hi')
        self.signal(signal.SIGTERM)
        self.assert_answered_in_time(waiting)
        self.assertEqual(self.running.wait(PATIENCE), 0)

    def test_client_that_leaves_the_queue_makes_room_for_the_next(self):
        lines = self.fill()
        waiting = [self.client() for _ in range(3)]
        for number, line in enumerate(waiting):
            self.ask(line, 'w%d' % number)
            time.sleep(0.02)
        waiting[0].close()
        waiting[1].reset()
        lines[0].close()
        lines[1].close()
        hop = self.servers['c0'].take()
        self.assertEqual(hop.request(), 'w2')
        hop.answer()
        self.assertEqual(waiting[2].answered()[0], 200)

    def test_readiness_is_answered_while_all_slots_are_taken(self):
        self.fill()
        line, begun = self.client(), time.monotonic()
        line.say(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
        self.assertIn(line.answered()[0], (200, 503))  # 503: it has waited for too long
        self.assertLess(time.monotonic() - begun, WAIT + LATEST)

    def test_incomplete_requests_do_not_block_the_queue(self):
        self.fill()
        for _ in range(3):
            self.client().say(
                b'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: half\r\nContent-Length: 9\r\n\r\nhalf'
            )
        self.assert_answered_in_time(self.ask_all(20, 'PUT', '/once/k', b'hi'))

    def test_waiting_request_is_served_when_a_slot_is_free(self):
        lines = self.fill()
        line = self.client()
        self.ask(line, 'next')
        time.sleep(0.03)
        lines[0].close()
        hop = self.servers['c0'].take()
        self.assertEqual(hop.request(), 'next')
        hop.answer()
        self.assertEqual(line.answered()[0], 200)

    def test_descriptors_stay_within_the_limit(self):
        resource.prlimit(self.running.pid, resource.RLIMIT_NOFILE, (self.sockets, self.sockets))
        self.fill()
        self.assert_answered_in_time(self.ask_all(60, 'PUT', '/once/k', b'hi'))
        self.assertLessEqual(len(os.listdir('/proc/%d/fd' % self.running.pid)), self.sockets)

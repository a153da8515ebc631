"""Requests that reach a node before discovery's first list (docs/incidents/review10.md).

Guards against requests that are answered after their time, or sent to a server that has begun to drain,
because they came while the node waited for that list.
"""

import select
import signal
import time
from copy import deepcopy

from lilacdyke.net.discovery import Entry
from lilacdyke.net.node import DRAINING, SERVING, STARTING

from .crossings import PATIENCE, Crossing, chunk, told
from .helpers import (
    SETTINGS,
    asked,
    changed_settings,
    client,
    connection_up,
    entry,
    lost,
    refused,
    said,
    starting,
)
from .test_net import PUT, READY, Quiet, status

GET = 'GET /read/k HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Deadline: %s\r\n\r\n'
PORT = int(entry('c0')['hostPort'].rpartition(':')[2])
LATEST = 0.55  # seconds after its time when an answer counts as none (STANDING, with the protocol's 50 ms)
KILL_AFTER = 0.7  # seconds beyond the longest limit after which SIGKILL may follow SIGTERM


def short_settings(limit, goal, **limits):
    """Return settings in which all classes have this hard limit and this service goal, in seconds."""
    made = deepcopy(SETTINGS)
    for profile in made['profiles']:
        profile.update(hardLimitS=limit, serviceGoalS=goal)
    made['limits'].update(limits)
    return made


def connections(made):
    """Return the ports that the node has connected to, discovery's aside."""
    return [row[1] for row in made.reactor.tcpClients if row[1] != 8500]


class HeldRequests(Quiet):
    """Requests read before the first list."""

    def test_refused_within_half_of_its_time(self):
        """Guards against answers after their time: the list may not come for seconds."""
        for limit, goal, told_limit in (
            (0.25, 0.1, 0.25),
            (0.25, 0.2, 0.05),
            (2.0, 0.5, 1.6),
            (0.6, 0.25, 0.3),
        ):
            for text in (GET % (1, told_limit), PUT % 'once', PUT % 'read'):
                with self.subTest(limit=limit, told=told_limit, text=text[:9]):
                    made = starting(settings=short_settings(limit, goal))
                    wire = asked(made, text)
                    allowed = told_limit if text.startswith('GET') else limit
                    made.reactor.pump([0.005] * int(min(allowed / 2, 0.9) / 0.005 + 1))
                    self.assertEqual((status(wire), made.phase, connections(made)), (503, STARTING, []))

    def test_sent_once_the_list_is_there(self):
        made = starting()
        wire = asked(made)
        made.reactor.advance(0.1)
        before = status(wire), connections(made)
        made.listed(True, [Entry(entry('c0', hostPort='127.0.0.1:8001'))])
        cache = connection_up(made)
        cache.protocol.dataReceived(said())
        self.assertEqual((before, connections(made), status(wire)), ((None, []), [8001], 200))

    def test_sent_by_the_remembered_list_once_the_watch_is_lost(self):
        made = starting()
        wire = asked(made)
        before = connections(made)
        refused(made)
        connection_up(made).protocol.dataReceived(said())
        self.assertEqual((before, connections(made), status(wire)), ([], [PORT], 200))

    def test_sent_by_the_remembered_list_once_the_wait_is_over(self):
        for mode in ('pushed', 'on_request'):
            with self.subTest(mode=mode):
                made = starting(settings=changed_settings(membershipMode=mode))
                made.reactor.pump([0.1] * 9)
                wire = asked(made)
                before = made.phase, connections(made)
                made.reactor.advance(0.15)
                connection_up(
                    made, [row[1] for row in made.reactor.tcpClients].index(PORT)
                ).protocol.dataReceived(said())
                self.assertEqual((before, made.phase, status(wire)), ((STARTING, []), SERVING, 200))

    def test_not_sent_to_server_that_began_to_drain(self):
        """Guards against sends by the remembered list while discovery's list may still come."""
        for text in (GET % (1, 1.0), PUT % 'once', PUT % 'read'):
            with self.subTest(text=text[:9]):
                made = starting()
                wire = asked(made, text)
                made.reactor.advance(0.2)
                made.listed(False, [Entry(entry(name, state='DRAINING')) for name in ('c0', 'o')])
                self.assertEqual((connections(made), status(wire)), ([], 503))

    def test_kept_connection_is_served_after_refusal(self):
        made = starting()
        wire = asked(made, GET % (1, 0.1))
        made.reactor.advance(0.06)
        self.assertEqual((status(wire), b'Connection: close' in wire.value()), (503, False))
        made.listed(True, [Entry(entry('c0'))])
        wire.clear()
        wire.protocol.dataReceived((GET % (2, 1.0)).encode())
        connection_up(made).protocol.dataReceived(said())
        self.assertEqual((status(wire), wire.disconnecting), (200, False))

    def test_pipelined_requests_are_answered_in_order(self):
        made = starting()
        wire = asked(made, GET % (1, 0.1) + GET % (2, 0.1) + READY)
        made.reactor.pump([0.01] * 15)
        self.assertEqual(wire.value().count(b'HTTP/1.1 503'), 3)

    def test_client_that_left_is_not_sent_for(self):
        made = starting()
        wire = asked(made)
        lost(wire)
        made.listed(True, [Entry(entry('c0'))])
        self.assertEqual((connections(made), len(made.active_requests)), ([], 0))

    def test_large_body_is_held_and_sent(self):
        for arrives in (True, False):
            with self.subTest(list_arrives=arrives):
                made = starting()
                head = PUT.replace('Length: 2', 'Length: 100000\r\nReq-Deadline: 0.3') % 'once'
                wire = asked(made, head + 'x' * 70_000)
                made.reactor.advance(0.1)
                self.assertEqual((status(wire), connections(made)), (None, []))
                if arrives:
                    made.listed(True, [Entry(entry('c0')), Entry(entry('o', 'origin'))])
                    self.assertEqual(len(connections(made)), 1)
                else:
                    made.reactor.pump([0.01] * 20)
                    self.assertEqual((status(wire), connections(made)), (503, []))

    def test_readiness_is_answered_at_once(self):
        made = starting()
        before = status(asked(made, READY))
        made.listed(True, [Entry(entry('c0'))])
        self.assertEqual((before, status(asked(made, READY))), (503, 200))

    def test_duplicate_id_is_refused_while_the_first_waits(self):
        made = starting()
        first, second = asked(made, GET % (1, 1.0)), asked(made, GET % (1, 1.0))
        self.assertEqual((status(first), status(second)), (None, 409))

    def test_sigterm_in_the_wait_begins_the_drain(self):
        """Guards against SIGKILL within the wait, which may be longer than the time until SIGKILL."""
        made = starting(settings=short_settings(0.25, 0.2))
        wire, idle = asked(made), client(made)[1]
        made.drain()
        phase = made.phase
        made.reactor.pump([0.01] * 94)
        self.assertEqual((phase, status(wire), connections(made)), (DRAINING, 503, []))
        self.assertTrue(idle.disconnecting)
        self.assertTrue(b'Connection: close' in wire.value())

    def test_list_within_the_drain_serves_what_was_held(self):
        made = starting()
        wire = asked(made)
        made.drain()
        made.listed(True, [Entry(entry('c0'))])
        connection_up(made).protocol.dataReceived(said())
        self.assertEqual((made.phase, status(wire)), (DRAINING, 200))

    def test_predecessors_list_is_not_waited_for(self):
        made = starting()
        made.serve()
        wire = asked(made)
        self.assertEqual((made.phase, len(connections(made)), status(wire)), (SERVING, 1, None))


class SilentDiscovery(Crossing):
    """A process that starts while discovery is silent, with the shortest limits."""

    watches = False
    WAIT = 0.25

    def settings(self, **limits):
        return short_settings(0.25, 0.2, **limits)

    def connected(self):
        """Return a client's connection to the node, as soon as that listens."""
        last = time.monotonic() + PATIENCE
        while True:
            try:
                return self.client()
            except ConnectionRefusedError:
                self.assertLess(time.monotonic(), last)
                time.sleep(0.005)

    def ask_all(self, line):
        """Ask for reads and writes on connections of their own; return [(connection, when asked)]."""
        asked_at = []
        for number, (method, path) in enumerate((('GET', '/read/k'), ('PUT', '/once/k'), ('PUT', '/read/k'))):
            line = line or self.client()
            self.ask(line, 'w%d' % number, method, path, b'hi' if method == 'PUT' else b'')
            asked_at.append((line, time.monotonic()))
            line = None
        return asked_at

    def assert_in_time(self, asked_at):
        """Assert that each was refused, none later than an answer may be."""
        for line, when in asked_at:
            self.assertEqual(line.answered()[0], 503)
            self.assertLess(time.monotonic() - when, self.WAIT + LATEST)

    def test_requests_are_answered_in_time(self):
        """Guards against requests that the machine accepts and that lie unread until the wait is over."""
        self.assert_in_time(self.ask_all(self.connected()))

    def test_sigterm_in_the_wait_answers_all_before_sigkill(self):
        asked_at = self.ask_all(self.connected())
        self.signal(signal.SIGTERM)
        begun = time.monotonic()
        self.assert_in_time(asked_at)
        self.assertEqual(self.running.wait(PATIENCE), 0)
        self.assertLess(time.monotonic() - begun, self.WAIT + KILL_AFTER)

    def test_late_list_is_obeyed(self):
        line = self.connected()
        watch, _ = self.agent.watch()
        self.ask(line, 'held', path='/read/k')
        self.assertEqual(select.select([self.servers['c0'].socket], [], [], 0.05)[0], [])
        watch.say(chunk(told(5, *self.rows())))
        hop = self.servers['c0'].take()
        self.assertEqual(hop.request(), 'held')
        hop.answer()
        self.assertEqual(line.answered()[0], 200)

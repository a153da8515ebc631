"""The guard: each invariant that a broken node breaks is counted and logged with the request's id, and
nothing that the node does changes."""

import unittest
from unittest import mock

from lilacdyke.logic import Router
from lilacdyke.net.guard import Guard
from lilacdyke.net.node import Node
from lilacdyke.values import SECOND

from .helpers import asked, client, dialled, node, said, sent

ONCE = 'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nContent-Length: 2\r\n\r\nhi'


def violations(made):
    """What the guard of a node has counted."""
    return {name: count for name, count in made.counts.items() if name.startswith(('violated', 'guard'))}


class Sound(unittest.TestCase):
    def test_a_node_in_order_breaks_nothing(self):
        made = node()
        for _ in range(3):
            wire, server = sent(made)
            server.protocol.dataReceived(said())
            self.assertEqual(wire.value()[9:12], b'200')
            server.protocol.connectionLost()
        self.assertEqual(violations(made), {})

    def test_a_fault_of_its_own_changes_nothing(self):
        made = node()
        made.guard.not_ready_since = None
        with self.assertLogs('lilacdyke', 'ERROR'):
            wire, server = sent(made)
        server.protocol.dataReceived(said())
        self.assertEqual(wire.value()[9:12], b'200')
        self.assertEqual(violations(made), {'guard_faults': 1})


class Broken(unittest.TestCase):
    def assert_violated(self, made, rule, act):
        """That this is what the guard says, once, with the id of the first request."""
        with self.assertLogs('lilacdyke', 'ERROR') as caught:
            act()
        told = [record for record in caught.records if rule in record.getMessage()]
        self.assertEqual([record.fields['request'] for record in told], ['7'])
        self.assertEqual(violations(made), {'violated_' + rule: 1})

    def test_an_attempt_after_the_end(self):
        made = node()
        with mock.patch.object(Node, 'wanted', lambda *given: True), mock.patch.object(Node, 'do_cancel'):
            wire = asked(made)
            wire.protocol.connectionLost()
            self.assert_violated(made, 'sent_after_end', lambda: dialled(made))

    def test_a_second_effect(self):
        made = node()
        wire, _ = sent(made, ONCE)
        active = wire.protocol.active
        again = active.attempts[0].hop
        self.assert_violated(made, 'second_effect', lambda: made.guard.check_send(active, again))

    def test_an_attempt_at_a_server_that_drains(self):
        made = node()
        made.guard.not_ready_since['c0'] = made.clock() - 10 * SECOND
        self.assert_violated(made, 'sent_to_drained', lambda: sent(made))

    def test_an_answer_out_of_its_time(self):
        made = node()
        with mock.patch.object(Node, 'limit_due'):
            _, server = sent(made)
            made.reactor.advance(3)
            self.assert_violated(made, 'answered_late', lambda: server.protocol.dataReceived(said()))

    def test_a_second_answer(self):
        made = node()
        wire, _ = sent(made)
        active = wire.protocol.active
        made.reply(active, 503, 'no')
        with mock.patch.object(Node, 'release_limits'):
            active.client = client(made)[0]
            self.assert_violated(made, 'answered_twice', lambda: made.forget(active))

    def test_a_connection_that_is_closed_on_a_request(self):
        made = node()
        wire, _ = sent(made)
        wire.protocol.closed_for = 'idle'
        self.assert_violated(made, 'closed_unanswered', wire.protocol.connectionLost)

    def test_a_cold_server_that_gets_too_much(self):
        made = node()
        server = made.servers['c0']
        server.started = made.clock()
        made.router.usual = 1.0
        with (
            mock.patch.object(Router, 'cold_room', lambda *given: True),
            self.assertLogs('lilacdyke', 'ERROR'),
        ):
            for _ in range(12):
                asked(made)
                dialled(made)
        self.assertGreaterEqual(violations(made).get('violated_slow_start', 0), 1)


class Bounded(unittest.TestCase):
    def test_books_do_not_grow_without_end(self):
        made = node()
        guard = Guard(made.clock, made.count, made.is_open, made.router, made.place.stop_within)
        for number in range(9_000):
            server = mock.Mock(told='draining', state='draining')
            server.name = 's%d' % number
            guard.update_servers([server])
        self.assertLessEqual(len(guard.not_ready_since), 8_192)


if __name__ == '__main__':
    unittest.main()

"""The guard counts and logs each broken invariant with the request's id, and changes nothing else."""

import unittest
from unittest import mock

from lilacdyke.logic import Router
from lilacdyke.net.guard import Guard
from lilacdyke.net.node import Node
from lilacdyke.values import SECOND

from .helpers import asked, client, connection_up, node, said, sent

ONCE = 'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nContent-Length: 2\r\n\r\nhi'


def violations(made):
    """Return the counters of a node's guard."""
    return {name: count for name, count in made.counts.items() if name.startswith(('violated', 'guard'))}


class IntactNode(unittest.TestCase):
    def test_correct_node_has_no_violations(self):
        made = node()
        for _ in range(3):
            wire, server = sent(made)
            server.protocol.dataReceived(said())
            self.assertEqual(wire.value()[9:12], b'200')
            server.protocol.connectionLost()
        self.assertEqual(violations(made), {})

    def test_exception_in_guard_is_counted_and_request_is_answered(self):
        made = node()
        made.guard.not_ready_since = None
        with self.assertLogs('lilacdyke', 'ERROR'):
            wire, server = sent(made)
        server.protocol.dataReceived(said())
        self.assertEqual(wire.value()[9:12], b'200')
        self.assertEqual(violations(made), {'guard_faults': 1})


class BrokenInvariants(unittest.TestCase):
    def assert_violated(self, made, rule, action):
        """Assert that the guard reports this violation once, with the id of the first request."""
        with self.assertLogs('lilacdyke', 'ERROR') as caught:
            action()
        reported = [record for record in caught.records if rule in record.getMessage()]
        self.assertEqual([record.fields['request'] for record in reported], ['7'])
        self.assertEqual(violations(made), {'violated_' + rule: 1})

    def test_attempt_after_end_of_request(self):
        made = node()
        with mock.patch.object(Node, 'wanted', lambda *given: True), mock.patch.object(Node, 'do_cancel'):
            wire = asked(made)
            wire.protocol.connectionLost()
            self.assert_violated(made, 'sent_after_end', lambda: connection_up(made))

    def test_second_effect_of_request(self):
        made = node()
        wire, _ = sent(made, ONCE)
        active = wire.protocol.active
        second_hop = active.attempts[0].hop
        self.assert_violated(made, 'second_effect', lambda: made.guard.check_send(active, second_hop))

    def test_attempt_at_draining_server(self):
        made = node()
        made.guard.not_ready_since['c0'] = made.clock() - 10 * SECOND
        self.assert_violated(made, 'sent_to_drained', lambda: sent(made))

    def test_answer_after_limit(self):
        made = node()
        with mock.patch.object(Node, 'limit_due'):
            _, server = sent(made)
            made.reactor.advance(3)
            self.assert_violated(made, 'answered_late', lambda: server.protocol.dataReceived(said()))

    def test_second_answer_to_request(self):
        made = node()
        wire, _ = sent(made)
        active = wire.protocol.active
        made.reply(active, 503, 'no')
        with mock.patch.object(Node, 'release_limits'):
            active.client = client(made)[0]
            self.assert_violated(made, 'answered_twice', lambda: made.forget(active))

    def test_close_of_connection_with_open_request(self):
        made = node()
        wire, _ = sent(made)
        wire.protocol.closed_for = 'idle'
        self.assert_violated(made, 'closed_unanswered', wire.protocol.connectionLost)

    def test_too_many_attempts_at_cold_server(self):
        made = node()
        server = made.servers['c0']
        server.started = made.clock()
        made.router.peak_warm_rate = 1.0
        with (
            mock.patch.object(Router, 'cold_budget_allows', lambda *given: True),
            self.assertLogs('lilacdyke', 'ERROR'),
        ):
            for _ in range(12):
                asked(made)
                connection_up(made)
        self.assertGreaterEqual(violations(made).get('violated_slow_start', 0), 1)


class Limits(unittest.TestCase):
    def test_records_of_servers_are_bounded(self):
        made = node()
        guard = Guard(made.clock, made.count, made.is_open, made.router, made.config.stop_sending_timeout)
        for number in range(9_000):
            server = mock.Mock(listed_state='draining', state='draining')
            server.name = 's%d' % number
            guard.update_servers([server])
        self.assertLessEqual(len(guard.not_ready_since), 8_192)


if __name__ == '__main__':
    unittest.main()

"""Log lines about single requests: their contents and their rate limit."""

import unittest

from lilacdyke.net.events import EventLog
from lilacdyke.net.node import Node
from lilacdyke.values import SECOND

from .helpers import asked, entry, lost, node, refused, said, sent


class RequestLines(unittest.TestCase):
    """The log lines of a request show what became of it."""

    def lines(self, act):
        """Return (event, fields) of each line that a serving node logs during act(node)."""
        names = ('c0', 'c1', 'c2')
        made = node(known={'generation': 4, 'reset': True, 'instances': [entry(name) for name in names]})
        made.events.rate = made.events.tokens = made.router.good_hops = 1_000
        with self.assertLogs('lilacdyke', 'INFO') as caught:
            act(made)
        return [(record.getMessage(), record.fields) for record in caught.records]

    def test_lines_of_answered_request_have_its_id(self):
        def act(made):
            client, server = sent(made)
            server.protocol.dataReceived(said())
            lost(client)

        rows = self.lines(act)
        events = [event for event, fields in rows if fields.get('request') == '7']
        self.assertEqual(events, ['request taken', 'attempt started', 'attempt ended', 'request answered'])
        closed = dict(rows)['client connection closed']
        self.assertEqual((closed['phase'], closed['why']), ('resting', 'other side'))

    def test_retry_and_refusal_have_reasons(self):
        def act(made):
            asked(made)
            while any(True for _ in made.active_requests):
                refused(made)

        rows = self.lines(act)
        started = [fields['why'] for event, fields in rows if event == 'attempt started']
        self.assertEqual(started[:2], ['first', 'after unreachable'])
        self.assertIn('ConnectionRefusedError', dict(rows)['connect failed']['why'])
        self.assertTrue(dict(rows)['request refused']['why'])

    def test_close_by_this_side_has_reason(self):
        def act(made):
            client, server = sent(made)
            server.protocol.dataReceived(b'nonsense\r\n\r\n')
            lost(server)
            client.protocol.refuse(400, 'out of form')
            lost(client)

        rows = dict(self.lines(act))
        self.assertEqual(rows['server connection closed']['why'], 'answer out of form')
        self.assertEqual(rows['client connection closed']['why'], '400: out of form')

    def test_no_lines_by_default(self):
        made = node()
        self.assertIsInstance(made, Node)
        with self.assertNoLogs('lilacdyke', 'INFO'):
            _, server = sent(made)
            server.protocol.dataReceived(said())


class RateLimit(unittest.TestCase):
    def test_omitted_lines_are_counted_in_next_line(self):
        now = [SECOND]
        log = EventLog(lambda: now[0], 3)
        with self.assertLogs('lilacdyke', 'INFO') as caught:
            for _ in range(10):
                log.say('x')
            now[0] += SECOND // 3 + 1
            log.say('x')
        self.assertEqual([record.fields.get('omitted') for record in caught.records], [None, None, None, 7])


if __name__ == '__main__':
    unittest.main()

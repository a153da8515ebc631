"""Answers whose connection to the server ends before they are complete, on a running node.

The node is stopped while the server acts, so that it finds an answer and the connection's end together.
"""

import time

from .crossings import Crossing, Line

LENGTH = 100_000  # bytes of a long answer
PIECE = b'x' * 20_000  # of a long answer
HEADS = {
    'length': b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % LENGTH,
    'chunked': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n' % LENGTH,
    'until the end': b'HTTP/1.1 200 OK\r\n\r\n',
}
WAIT = 3.0  # seconds that clients wait
ARRIVING = 0.3  # seconds between two pieces after which an answer counts as arriving
STREAMED_FROM = 2.4  # seconds after which an answer of unknown length is streamed as it arrives


class BrokenLongAnswers(Crossing):
    """A long answer is reset, or ends early, before the node's next round of events."""

    asked = 0

    def send(self, client, method='GET', version=1):
        """Send a request and return the connection on which it reached its server."""
        self.asked += 1
        path, body = ('/once', 'value') if method == 'PUT' else ('/read', '')
        first = '%s %s/%d HTTP/1.%d\r\nHost: x\r\n' % (method, path, self.asked, version)
        fields = 'Req-Id: r%d\r\nReq-Deadline: %.1f\r\nContent-Length: %d\r\n\r\n' % (
            self.asked,
            WAIT,
            len(body),
        )
        client.say((first + fields + body).encode())
        hop = self.servers['o' if method == 'PUT' else 'c0'].take()
        self.assertEqual(hop.request(), 'r%d' % self.asked)
        return hop

    def check_begun(self, client):
        """Check that the client received the beginning of the answer, and can tell that it is not whole."""
        client.ended()
        self.assertEqual(client.buffer[:15], b'HTTP/1.1 200 OK')
        self.assertTrue(client.was_reset)
        self.assertLess(client.buffer.count(b'x'), LENGTH)

    def test_client_sees_that_broken_long_answer_was_begun(self):
        """Guards against a write that runs twice: a connection that ends with no byte of an answer looks
        like one closed while idle, and the client sends its request once more."""
        for method in ('GET', 'PUT'):
            for end in (Line.reset, Line.close):
                with self.subTest(method=method, end=end.__name__):
                    client = self.client()
                    hop = self.send(client, method)
                    self.stop()
                    hop.say(HEADS['length'] + PIECE)
                    end(hop)
                    self.resume()
                    self.check_begun(client)

    def test_broken_answer_of_unknown_length_was_begun(self):
        """Guards against the same as the node begins to stream an answer that it has buffered."""
        for method, version, framing in (
            ('PUT', 1, 'chunked'),
            ('PUT', 1, 'until the end'),
            ('GET', 0, 'until the end'),
        ):
            with self.subTest(method=method, version=version, framing=framing):
                client = self.client()
                begun = time.monotonic()
                hop = self.send(client, method, version)
                hop.say(HEADS[framing] + b'x')
                time.sleep(ARRIVING)
                hop.say(b'x')
                self.seen_so_far()
                self.stop()
                time.sleep(max(0, begun + STREAMED_FROM - time.monotonic()))
                hop.say(b'x')
                hop.reset()
                self.resume()
                self.check_begun(client)

    def test_earlier_answer_on_the_connection_is_complete(self):
        """Guards against discarding an earlier answer that waits in the node's buffer behind which a long
        one breaks off."""
        client, body = self.client(), b'y' * 60_000
        first = self.send(client)
        first.answer(body=body)
        hop = self.send(client)
        self.stop()
        hop.say(HEADS['length'] + PIECE)
        hop.reset()
        self.resume()
        self.assertEqual(client.answered(), (200, body))
        self.check_begun(client)

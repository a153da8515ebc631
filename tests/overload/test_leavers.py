"""Clients that close their connection while much of what they sent lies unread."""

import contextlib
import socket
import time

from .floods import Request
from .stand import Stand

REQUESTS = 20_000
LATEST = 0.1  # seconds after a close from which no attempt may begin (STANDING)


class Leavers(Stand):
    def pipeline(self, path):
        """Send as many reads as the connection takes, and close it; return when."""
        request = Request(path)
        with socket.create_connection(('127.0.0.1', self.port)) as line:
            line.settimeout(0.05)
            data = b''.join(request.text(number) for number in range(REQUESTS))
            with contextlib.suppress(TimeoutError):
                while data:
                    data = data[line.send(data) :]
        return time.monotonic()

    # Guards against attempts for a client that has left, whose end cannot arrive behind a full receive window
    # (incident dda08d, picture d).
    def test_nothing_is_sent_on_for_a_client_that_left_with_much_unread(self):
        for path in ('/read/wait-1.5', '/read/wait-0.3', '/read/wait-0.05'):
            with self.subTest(path), self.running():
                closed = self.pipeline(path)
                time.sleep(2.5)
                late = [row for row in self.requests_seen if row[0] > closed + LATEST]
                self.assertEqual(late, [])

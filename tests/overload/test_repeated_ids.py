"""Requests that come again with their id after their client has left."""

import socket
import time

from .stand import Stand, receive_answer

WAIT = 3.0  # seconds that clients wait
SLOW = 1.0  # seconds that a server takes


class RepeatedIds(Stand):
    lines_per_second = 1_000

    def leave(self, name, profile):
        """Send a write and close its connection once a server has it."""
        with socket.create_connection(('127.0.0.1', self.port)) as line:
            self.ask(line, name, profile)
            self.wait_until(lambda: self.runs(name))

    @staticmethod
    def ask(line, name, profile):
        line.sendall(
            b'PUT /%s/wait-%g HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Deadline: %g\r\n'
            b'Content-Length: 1\r\n\r\nv' % (profile.encode(), SLOW, name.encode(), WAIT)
        )

    def come_again(self, name, profile):
        """Send the write again on a new connection and return the status of its answer."""
        with socket.create_connection(('127.0.0.1', self.port)) as line:
            self.ask(line, name, profile)
            return receive_answer(line, time.monotonic() + WAIT)

    def runs(self, name):
        """Return how often a server got the whole request."""
        return [seen for _, _, seen in self.requests_seen].count(name)

    # Guards against an effect that happens twice: a client that closed its connection sends the request
    # again, while the first attempt may have run (incident dda08d, picture d).
    def test_write_runs_once_though_its_client_leaves_and_comes_again(self):
        with self.running():
            for profile in ('kept', 'once'):
                for pause in (0.0, 0.2, 1.8):
                    name = '%s-%g' % (profile, pause)
                    with self.subTest(name):
                        self.leave(name, profile)
                        time.sleep(pause)
                        self.assertEqual(
                            (self.come_again(name, profile), self.runs(name)), (409, 1), self.log()
                        )

    # Guards against the same at the other process of an upgrade: the successor, and the predecessor, which
    # still serves the connections that it has.
    def test_write_runs_once_though_its_client_comes_again_at_the_other_process(self):
        with self.running(operator=True), socket.create_connection(('127.0.0.1', self.port)) as kept_line:
            self.wait_until_ready(kept_line)
            for profile in ('kept', 'once'):
                self.leave(profile, profile)
            self.begin_successor()
            self.leave('new', 'once')
            for name in ('kept', 'once'):
                with self.subTest(name):
                    self.assertEqual((self.come_again(name, name), self.runs(name)), (409, 1), self.log())
            self.ask(kept_line, 'new', 'once')
            again = receive_answer(kept_line, time.monotonic() + WAIT)
            self.assertEqual((again, self.runs('new')), (409, 1), self.log())

"""Ends of a successor while its predecessor still runs (docs/design/crossings.md).

Both processes hold the listening socket, so the machine accepts connections as long as either lives. Guards
against connections that neither of them takes.
"""

import http.client
import signal
import threading
import time
from http.server import ThreadingHTTPServer

from .test_upgrade import Answer, Caches, Processes

WAIT = 0.3  # seconds that clients wait
LATEST = 0.55  # seconds after its time when an answer counts as none (STANDING, with the protocol's 50 ms)
LONG_ANSWER = 1.8  # seconds, within the limit of 2 s
LISTENS_AFTER_SIGTERM = 0.8  # seconds for which a process that drains may listen itself
INTERVAL = 0.05


class SlowAnswer(Answer):
    """Answers requests for `slow` late."""

    def send_response(self, code, message=None):
        if self.path.endswith('/slow'):
            time.sleep(LONG_ANSWER)
        super().send_response(code, message)


class SlowCaches(Caches):
    """A server that can be asked for a long answer."""

    def __init__(self):
        ThreadingHTTPServer.__init__(self, ('127.0.0.1', 0), SlowAnswer)
        self.seen = []
        threading.Thread(target=self.serve_forever, daemon=True).start()


class Ends(Processes):
    """A successor that ends, beside a predecessor that serves or drains."""

    def make_servers(self):
        return {name: SlowCaches() for name in ('c0', 'c1', 'o')}

    def ask(self, name, key, timeout):
        """Send a read on a new connection.

        Returns (status, seconds until the answer); the status is 'refused' if nobody listens, and None
        without an answer.
        """
        link, begun = http.client.HTTPConnection('127.0.0.1', self.listen, timeout=timeout), time.monotonic()
        try:
            link.connect()
        except ConnectionRefusedError:
            return 'refused', 0.0
        headers = {'Req-Id': name, **({} if key == 'slow' else {'Req-Deadline': str(WAIT)})}
        try:
            link.request('GET', '/read/' + key, headers=headers)
            return link.getresponse().status, time.monotonic() - begun
        except OSError:
            return None, time.monotonic() - begun
        finally:
            link.close()

    def ask_in_background(self, answers, name, key='k', timeout=4):
        thread = threading.Thread(target=lambda: answers.append(self.ask(name, key, timeout)), daemon=True)
        thread.start()
        return thread

    def begin_long_answer(self):
        """Send a read whose answer takes long; return the list that its answer will be appended to."""
        answers = []
        self.ask_in_background(answers, 'long-%d' % time.monotonic_ns(), 'slow')
        time.sleep(0.1)
        return answers

    def ask_until(self, last):
        """Send reads at a steady rate until a time; return their answers."""
        answers, threads = [], []
        while time.monotonic() < last:
            threads.append(self.ask_in_background(answers, 'n%d' % time.monotonic_ns()))
            time.sleep(INTERVAL)
        for thread in threads:
            thread.join(5)
        self.assertEqual(len(answers), len(threads))
        return answers

    def assert_taken(self, answers, statuses):
        """Assert that all answers are among these, and none so late that it counts as none."""
        self.assertGreater(len(answers), 5)
        self.assertLessEqual({status for status, _ in answers}, set(statuses))
        self.assertLess(max(waited for _, waited in answers), WAIT + LATEST)

    def test_successor_drains_with_a_long_answer_and_predecessor_serves(self):
        """Guards against clients that wait for the exit of a successor that no longer listens."""
        new, _ = self.begin()
        long_answer = self.begin_long_answer()
        new.send_signal(signal.SIGTERM)
        begun = time.monotonic()
        time.sleep(LISTENS_AFTER_SIGTERM)
        answers = self.ask_until(begun + LONG_ANSWER - 0.5)
        still_there = new.poll() is None
        self.assertEqual((new.wait(5), still_there, self.first.poll()), (0, True, None))
        self.assert_taken(answers, [200])
        self.assertEqual([status for status, _ in long_answer], [200])
        self.assert_taken(self.ask_until(time.monotonic() + 0.5), [200])

    def test_successor_is_killed_while_predecessor_drains(self):
        """Guards against a predecessor that listens for a successor that is gone."""
        long_answer = self.begin_long_answer()
        new, _ = self.begin()
        self.first.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        new.kill()
        new.wait()
        answers = self.ask_until(time.monotonic() + LONG_ANSWER - 0.6)
        self.assertEqual(self.first.wait(5), 0)
        self.assert_taken(answers, [200, 503, 'refused'])
        self.assertEqual([status for status, _ in long_answer], [200])

    def test_sigterm_for_both(self):
        """Guards against a successor that closes its socket while the predecessor's stays open unattended."""
        long_answer = self.begin_long_answer()
        new, _ = self.begin()
        self.first.send_signal(signal.SIGTERM)
        new.send_signal(signal.SIGTERM)
        answers = self.ask_until(time.monotonic() + LONG_ANSWER - 0.4)
        self.assertEqual((self.first.wait(5), new.wait(5)), (0, 0))
        self.assert_taken(answers, [200, 503, 'refused'])
        self.assertEqual([status for status, _ in long_answer], [200])

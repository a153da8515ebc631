"""Ordinary clients that keep their connections, as the protocol page describes them."""

import socket
import threading
import time
from random import Random
from typing import NamedTuple

from .stand import ANSWER_SLACK, receive

PROFILES = ('read', 'read', 'read', 'kept', 'once')
SOCKET_TIMEOUT = 5  # seconds for a connection to be established


class Answer(NamedTuple):
    """What became of one request."""

    name: str
    status: int | None  # None: no whole answer
    seconds: float  # from its last byte
    wait: float  # seconds that its client waited
    connects: int  # connections that it was sent on
    unsent: bool  # whether no connection could be made for it
    fresh: bool  # whether its last connection was a new one

    @property
    def lost(self):
        """Whether it was sent and got no whole answer by half a second after its time."""
        return not self.unsent and (self.status is None or self.seconds > self.wait + ANSWER_SLACK)


class KeptClient:
    """One client in a thread, which sends one request after the other.

    A request that meets the end of a resting connection is sent once more on a new one.
    """

    def __init__(self, stand, seed, ids):
        self.port, self.limit, self.random, self.ids = stand.port, stand.limit, Random(seed), ids
        self.may_connect, self.stopped, self.line = True, False, None
        self.answers = []
        self.thread = threading.Thread(target=self.work, daemon=True)
        self.thread.start()

    def stop(self):
        self.stopped = True
        self.thread.join(2 * SOCKET_TIMEOUT)
        if self.line:
            self.line.close()

    def work(self):
        while not self.stopped and (self.line or self.may_connect):
            self.answers.append(self.ask())
            time.sleep(self.random.uniform(0.02, 0.1))

    def ask(self):
        """Send one request and return what becomes of it."""
        profile, wait = self.random.choice(PROFILES), self.limit * self.random.uniform(0.6, 1)
        name = '%s-%d' % (profile, next(self.ids))
        kept = self.line is not None
        asked, status = self.send(name, profile, wait)
        connects = 1
        if asked is not None and status is None and kept and self.ended_untouched and self.may_connect:
            connects, (asked, status) = 2, self.send(name, profile, wait)
        seconds = 0 if asked is None else time.monotonic() - asked
        crossed = kept and status is None and self.ended_untouched and not self.may_connect
        return Answer(
            name, status, seconds, wait, connects, asked is None or crossed, connects == 2 or not kept
        )

    def send(self, name, profile, wait):
        """Send a request on the kept connection or a new one; return (time of its last byte, status)."""
        self.ended_untouched = False
        try:
            if self.line is None:
                self.line = socket.create_connection(('127.0.0.1', self.port), SOCKET_TIMEOUT)
        except OSError:
            self.line = None
            return None, None
        asked = time.monotonic()
        try:
            self.line.sendall(self.text(name, profile, wait))
            answer = receive(self.line, asked + wait + ANSWER_SLACK)
        except OSError:
            answer = None
        if answer is None:
            self.ended_untouched = time.monotonic() < asked + wait + ANSWER_SLACK
        if answer is None or answer.closes:
            self.line.close()
            self.line = None
        return asked, answer and answer.status

    def text(self, name, profile, wait):
        body = b'value' if profile != 'read' else b''
        return b'%s /%s/k%d HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\n%s\r\n%s' % (
            *(b'PUT' if body else b'GET', profile.encode(), self.random.randrange(50), name.encode(), wait),
            *(b'Content-Length: %d\r\n' % len(body) if body else b'', body),
        )

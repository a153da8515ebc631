"""Fixtures for tests that run the program as a process.

Servers, agents and clients are blocking sockets that act only when the test says so. Tests wait for
events, not for fixed times.
"""

import json
import os
import queue
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import unittest
from copy import deepcopy

from .helpers import SETTINGS, entry, page
from .test_upgrade import free

PATIENCE = 20  # seconds to wait for an expected event
HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'


class Line:
    """A connection from the test's side."""

    def __init__(self, socket_):
        self.socket, self.buffer, self.seen = socket_, b'', []
        self.was_reset = False  # whether it ended with a reset
        socket_.settimeout(PATIENCE)

    def say(self, data):
        self.socket.sendall(data)

    def head(self):
        """Return the next head without its empty line, or b'' at the end of the connection."""
        while b'\r\n\r\n' not in self.buffer:
            more = self.more()
            if not more:
                return b''
        head, _, self.buffer = self.buffer.partition(b'\r\n\r\n')
        return head

    def more(self):
        """Receive and buffer more bytes; return them, or b'' at the end, orderly or not."""
        try:
            data = self.socket.recv(65_536)
        except ConnectionError:
            data, self.was_reset = b'', True
        self.buffer += data
        return data

    def request(self):
        """Read the next request with its body and return its id, or None at the end."""
        head = self.head()
        if not head:
            return None
        name = field(head, b'req-id')
        self.seen.append(name)
        length = int(field(head, b'content-length') or 0)
        while len(self.buffer) < length and self.more():
            pass
        self.buffer = self.buffer[length:]
        return name

    def answer(self, status=200, body=b'abc', more=b''):
        self.say(b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s' % (status, len(body), more, body))

    def answered(self):
        """Return the next answer: (status, body), or (None, b'') at the end."""
        head = self.head()
        if not head:
            return None, b''
        length = int(field(head, b'content-length') or 0)
        while len(self.buffer) < length and self.more():
            pass
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return int(head[9:12]), body

    def ended_yet(self):
        """Return whether the connection has ended; data received before that is buffered."""
        while select.select([self.socket], [], [], 0)[0]:
            if not self.more():
                return True
        return False

    def ended(self):
        """Wait for the end of the connection."""
        while self.more():
            pass
        return True

    def close(self):
        self.socket.close()

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        self.socket.close()


def field(head, name):
    """Return a header field's value as text, or None."""
    for line in head.split(b'\r\n')[1:]:
        if line.lower().startswith(name + b':'):
            return line.partition(b':')[2].strip().decode()
    return None


class Stand:
    """Listening socket that accepts only when told to.

    held: connections are not established until let() is called.
    """

    def __init__(self, held=False, port=0):
        self.socket, self.lines, self.filler = socket.socket(), [], None
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(('127.0.0.1', port))
        self.socket.listen(0 if held else 64)
        self.socket.settimeout(PATIENCE)
        self.port = self.socket.getsockname()[1]
        self.address = '127.0.0.1:%d' % self.port
        if held:  # fills the backlog of one, so that no other connection is established
            self.filler = socket.create_connection(('127.0.0.1', self.port))

    def let(self):
        """Let connections be established; clients that were not answered retransmit within a second."""
        self.socket.accept()[0].close()
        self.filler.close()
        self.socket.listen(64)

    def take(self):
        """Accept the next connection."""
        self.lines.append(Line(self.socket.accept()[0]))
        return self.lines[-1]

    def watch(self):
        """Accept a watch, read its request and send the answer head: (connection, first line of the
        request).
        """
        line = self.take()
        first = line.head().split(b'\r\n')[0]
        line.say(HEAD)
        return line, first

    def all_seen(self):
        """Return the ids of all requests received; to be called after the node has exited."""
        self.socket.settimeout(0)
        try:
            while True:
                self.lines.append(Line(self.socket.accept()[0]))
        except BlockingIOError:
            pass
        for line in self.lines:
            try:
                while line.request() is not None:
                    pass
            except OSError:
                pass  # closed by the test
        return [name for line in self.lines for name in line.seen]


def chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


def told(generation, *rows, reset=True, indent=None):
    """Return a list in discovery's format."""
    return (
        json.dumps({'generation': generation, 'reset': reset, 'instances': rows}, indent=indent).encode()
        + b'\n'
    )


def settings(**limits):
    """Return settings with generous limits, so that a one-second pause makes nothing late."""
    made = deepcopy(SETTINGS)
    for profile in made['profiles']:
        profile.update(serviceGoalS=4.0, hardLimitS=6.0)
    made['limits'].update(limits)
    return made


class Crossing(unittest.TestCase):
    """A node process with servers named in `names` (caches and the origin `o`) and an agent."""

    names, held, limits, watches = ('c0', 'o'), (), {}, True
    sockets = 1024  # descriptor limit
    settings = staticmethod(settings)

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.agent, self.port = Stand(), free()
        self.servers = {name: Stand(name in self.held) for name in self.names}
        self.path = os.path.join(self.folder.name, 'page.json')
        self.running, self.events, self.clients = None, queue.Queue(), []
        self.addCleanup(self.end)
        self.prepare()
        self.begin()
        if self.watches:
            self.watch, _ = self.agent.watch()
            self.watch.say(chunk(told(5, *self.rows())))
            self.until('serving')

    def prepare(self):
        self.write(self.agent)

    def end(self):
        if self.running.poll() is None:
            os.kill(self.running.pid, signal.SIGCONT)
            self.running.kill()
        self.running.wait()
        self.running.stderr.close()
        for stand in (self.agent, *self.servers.values()):
            stand.socket.close()
            if stand.filler:
                stand.filler.close()
            for line in stand.lines:
                line.close()
        for line in self.clients:
            line.close()

    def row(self, name, **other):
        """Return a server's entry as listed by the agent."""
        return entry(
            name, 'origin' if name == 'o' else 'std', **{'hostPort': self.servers[name].address, **other}
        )

    def rows(self):
        return [self.row(name) for name in self.names]

    def page(self, agent):
        return page(
            listen='127.0.0.1:%d' % self.port,
            discovery=agent.address,
            settings=self.settings(**self.limits),
            limits={'cores': 1.0, 'memory_mb': 192, 'sockets': self.sockets},
            known={'generation': 4, 'reset': True, 'instances': self.rows()},
        )

    def write(self, agent):
        with open(self.path, 'w', encoding='utf-8') as file:
            file.write(self.page(agent))

    def begin(self):
        self.running = subprocess.Popen(
            [sys.executable, '-m', *self.program(), 'serve', '--config', self.path],
            stderr=subprocess.PIPE,
            text=True,
        )
        threading.Thread(target=self.listen, args=(self.running.stderr,), daemon=True).start()

    def program(self):
        """Return the module to run, preceded by its wrapper if any."""
        return ['lilacdyke']

    def listen(self, pipe):
        try:
            for line in pipe:
                self.events.put(line)
        except ValueError:
            pass  # closed at the end of the test

    def until(self, event):
        """Wait until the node logs this event."""
        while (
            'event="%s"' % event not in (line := self.events.get(timeout=PATIENCE))
            and 'event=%s' % event not in line
        ):
            pass
        return line

    def until_all(self, *events):
        """Wait until the node has logged each of these events, in any order."""
        pending = set(events)
        while pending:
            line = self.events.get(timeout=PATIENCE)
            pending -= {name for name in pending if 'event="%s"' % name in line or 'event=%s' % name in line}

    # Process control

    def stop(self):
        """Stop the process with SIGSTOP."""
        os.kill(self.running.pid, signal.SIGSTOP)
        os.waitpid(self.running.pid, os.WUNTRACED)

    def resume(self):
        os.kill(self.running.pid, signal.SIGCONT)

    def signal(self, signum):
        os.kill(self.running.pid, signum)

    # Clients

    def client(self):
        self.clients.append(Line(socket.create_connection(('127.0.0.1', self.port), PATIENCE)))
        return self.clients[-1]

    @staticmethod
    def ask(line, name, method='GET', path='/read/k', body=b'', more=''):
        line.say(
            (
                '%s %s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\n%s%s\r\n'
                % (method, path, name, 'Content-Length: %d\r\n' % len(body) if body else '', more)
            ).encode()
            + body
        )

    def served(self, line, name, server='c0'):
        """Send a request and have it served; return the server's connection."""
        self.ask(line, name)
        hop = self.servers[server].take()
        self.assertEqual(hop.request(), name)
        hop.answer(body=name.encode())
        self.assertEqual(line.answered(), (200, name.encode()))
        return hop

    def seen_so_far(self):
        """Wait until the node has processed all earlier client events."""
        line = self.client()
        for _ in range(3):
            line.say(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            self.assertIn(line.answered()[0], (200, 503))
        line.close()

    def finish(self):
        """End the node and return the ids of all requests that servers received."""
        for line in self.clients:
            line.close()
        self.signal(signal.SIGTERM)
        self.assertEqual(self.running.wait(PATIENCE), 0)
        return sorted(name for server in self.servers.values() for name in server.all_seen())

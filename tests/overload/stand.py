"""Fixture of the overload tests: a node, its platform and ordinary clients, as real processes on loopback.

Memory is judged by the peak of the node's process, lateness and losses by the ordinary clients, and what was
sent on by what the servers recorded.
"""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from copy import deepcopy
from typing import NamedTuple

from ..helpers import SETTINGS, page
from ..test_upgrade import free

START_TIMEOUT = 20  # seconds
ANSWER_SLACK = 0.5  # seconds after its time from which a request without an answer is lost
ORDINARY_WAIT = 1.0  # seconds that ordinary clients wait
ORDINARY_INTERVAL = 0.1  # seconds between two ordinary requests


def settings():
    """Return settings with a free, a guarded and a single-shot class, as the users' sites have them."""
    made = deepcopy(SETTINGS)
    for profile in made['profiles']:
        profile.update(serviceGoalS=0.75, hardLimitS=3.0)
    made['profiles'].append(
        {**made['profiles'][0], 'name': 'kept', 'effect': 'guarded', 'repeatWindowS': 1.5}
    )
    return made


class WholeAnswer(NamedTuple):
    """An answer that was received whole."""

    status: int
    closes: bool  # whether its connection ends with it


def receive(connection, until):
    """Return an answer that is complete by this time, or None."""
    data = b''
    while True:
        head, separator, body = data.partition(b'\r\n\r\n')
        fields = head.lower()
        if separator and len(body) >= int(fields.partition(b'content-length: ')[2].split(b'\r\n')[0] or 0):
            return WholeAnswer(int(head[9:12]), b'connection: close' in fields)
        connection.settimeout(max(0.001, until - time.monotonic()))
        try:
            more = connection.recv(65_536)
        except OSError:
            return None
        if not more:
            return None
        data += more


def receive_answer(connection, until):
    """Return the status of an answer that is complete by this time, or None."""
    answer = receive(connection, until)
    return answer and answer.status


class OrdinaryClients:
    """Clients that send ten requests a second, each on a new connection, and record what becomes of them."""

    def __init__(self, port):
        self.port, self.answers, self.stopped = port, [], threading.Event()
        self.threads, self.number = [], 0
        self.sender = threading.Thread(target=self.send_all, daemon=True)

    def start(self):
        self.sender.start()
        return self

    def send_all(self):
        while not self.stopped.wait(ORDINARY_INTERVAL):
            self.number += 1
            self.threads.append(threading.Thread(target=self.ask, args=(self.number,), daemon=True))
            self.threads[-1].start()

    def ask(self, number):
        """Send one request; record its status, or None if it is lost, and how long that took."""
        begun = time.monotonic()
        try:
            with socket.create_connection(('127.0.0.1', self.port), ORDINARY_WAIT + ANSWER_SLACK) as line:
                line.sendall(
                    b'GET /read/k%d HTTP/1.1\r\nHost: x\r\nReq-Id: ordinary-%d-%d\r\nReq-Deadline: %g\r\n'
                    b'Connection: close\r\n\r\n' % (number % 50, os.getpid(), number, ORDINARY_WAIT)
                )
                status = receive_answer(line, begun + ORDINARY_WAIT + ANSWER_SLACK)
        except OSError:
            status = None
        self.answers.append((status, time.monotonic() - begun))

    def finish(self):
        """Stop, and return [(status, seconds)] of all requests."""
        self.stopped.set()
        self.sender.join()
        for thread in self.threads:
            thread.join(ORDINARY_WAIT + 2 * ANSWER_SLACK)
        return self.answers


class Stand(unittest.TestCase):
    """A node with four caches and the origin, and a memory limit in its page."""

    memory_mb, descriptors = 64, 1024
    settings = staticmethod(settings)
    last_log = ''  # of the node, once it has ended
    lines_per_second = 0  # limit of the node's log on single requests

    @contextlib.contextmanager
    def running(self, operator=False):
        """Run the platform and a node that is ready, and end them. operator: whether it can hand over."""
        self.started, self.requests_seen, self.operator = [], [], operator
        with tempfile.TemporaryDirectory() as self.folder, open(self.log_path, 'wb') as log:
            try:
                self.begin_platform()
                self.port = free()
                self.node = self.begin_node(log)
                self.wait_until_ready()
                yield
            finally:
                self.end_processes()
                self.last_log = self.log()

    @property
    def log_path(self):
        return os.path.join(self.folder, 'node.log')

    def begin_platform(self):
        self.platform = self.start(
            '-m', 'tests.overload.platform', stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.told = json.loads(self.platform.stdout.readline())
        threading.Thread(target=self.record_requests, daemon=True).start()

    def record_requests(self):
        for line in self.platform.stdout:
            at, server, name = line.split()
            self.requests_seen.append((float(at), server.decode(), name.decode()))

    def begin_node(self, log):
        """Start a process of the node."""
        path = os.path.join(self.folder, 'page-%d.json' % len(self.started))
        self.operator_port = free()
        operator = {'operator': '127.0.0.1:%d' % self.operator_port} if self.operator else {}
        with open(path, 'w', encoding='utf-8') as file:
            file.write(
                page(
                    listen='127.0.0.1:%d' % self.port,
                    discovery='127.0.0.1:%d' % self.told['agent'],
                    settings=self.settings(),
                    limits={'cores': 1.0, 'memory_mb': self.memory_mb, 'sockets': self.descriptors},
                    known={'generation': 4, 'reset': True, 'instances': self.told['instances']},
                    **operator,
                )
            )
        return self.start(
            *('-m', 'lilacdyke', 'serve', '--config', path, '--log-requests', str(self.lines_per_second)),
            stderr=log,
            env={**os.environ, 'TMPDIR': self.folder},
        )

    def begin_successor(self):
        """Start a second process of the node and wait until it serves."""
        with open(self.log_path, 'ab') as log:
            self.successor = self.begin_node(log)
        self.wait_until(lambda: 'event="successor serving"' in self.log())

    def start(self, *command, **streams):
        """Start a Python process that ends with the test."""
        process = subprocess.Popen([sys.executable, *command], **streams)
        self.started.append(process)
        return process

    def end_processes(self):
        for process in reversed(self.started):
            if process.poll() is None:
                process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe:
                    pipe.close()

    def wait_until(self, condition):
        """Wait until a condition holds."""
        until = time.monotonic() + START_TIMEOUT
        while not condition():
            self.assertLess(time.monotonic(), until, self.log())
            time.sleep(0.01)

    def wait_until_ready(self, line=None):
        """Wait until the node says that it is ready, on this connection or on new ones."""
        self.wait_until(lambda: self.is_ready(line))

    def is_ready(self, line=None):
        try:
            with (
                contextlib.nullcontext(line)
                if line
                else socket.create_connection(('127.0.0.1', self.port)) as to
            ):
                to.sendall(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                return receive_answer(to, time.monotonic() + 1) == 200
        except OSError:
            return False

    # What is judged

    def peak_memory(self):
        """Return the peak resident set size of the node's process, in MB."""
        with open('/proc/%d/status' % self.node.pid, encoding='ascii') as file:
            for line in file:
                if line.startswith('VmHWM:'):
                    return int(line.split()[1]) / 1024
        self.fail('the node has ended')

    def log(self):
        with open(self.log_path, encoding='utf-8') as file:
            return file.read()

    def flood(self, kind, seconds, port=None, **options):
        """Run a flood (floods.py) to its end beside ordinary clients; return their answers."""
        clients = OrdinaryClients(self.port).start()
        port = port or self.port
        flood = self.start('-m', 'tests.overload.floods', kind, str(port), str(seconds), json.dumps(options))
        flood.wait(seconds + START_TIMEOUT)
        time.sleep(ORDINARY_WAIT)
        return clients.finish()

    def assert_memory_kept(self):
        self.assertIsNone(self.node.poll())
        self.assertLess(self.peak_memory(), self.memory_mb)

    def assert_answered_in_time(self, answers):
        """Assert that no ordinary request was lost or answered later than an answer may be."""
        late = [took for status, took in answers if status is None or took > ORDINARY_WAIT]
        self.assertFalse(late, '%d of %d late or lost' % (len(late), len(answers)))

    def drain(self):
        """End the node and assert that it exits in order."""
        self.node.send_signal(signal.SIGTERM)
        self.assertEqual(self.node.wait(START_TIMEOUT), 0)

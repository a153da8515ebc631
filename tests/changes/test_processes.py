"""Writer, relay and node processes on loopback, which are killed, stopped and restarted."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.changes import cli, settings
from lilacdyke.changes.messages import (
    LENGTH,
    Item,
    PutAnswer,
    PutRequest,
    Status,
    StatusRequest,
    pack,
    unpack,
)
from lilacdyke.scale.fleet_run import free_ports

from ..crossings import Crossing

TIMEOUT_S = 20.0
FILE = """
enabled = true
installation = "here"
stale_after_s = 3.0
[[process]]
name = "w0"
role = "writer"
address = "127.0.0.1:%d"
folder = "%s"
[[process]]
name = "r0"
role = "relay"
address = "127.0.0.1:%d"
above = ["w0"]
[[process]]
name = "r1"
role = "relay"
address = "127.0.0.1:%d"
above = ["w0"]
[keys]
limit = "number"
banner = "text"
"""


class Processes(unittest.TestCase):
    """A writer and two relays."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.path = folder.name, os.path.join(folder.name, 'changes.toml')
        ports = free_ports(3)
        with open(self.path, 'w', encoding='utf-8') as file:
            file.write(FILE % (ports[0], folder.name, ports[1], ports[2]))
        self.settings, self.running = settings.read(self.path), {}
        self.addCleanup(self.end)
        for name in ('w0', 'r0', 'r1'):
            self.start(name)

    def end(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def start(self, name):
        """Start a process of the changes file and wait until it answers."""
        command = (sys.executable, '-m', 'lilacdyke', 'change', 'run', '--file', self.path, '--name', name)
        self.running[name] = subprocess.Popen(command, stderr=subprocess.DEVNULL)
        self.wait_until(lambda: self.status(name) is not None)

    def kill(self, name):
        self.running[name].kill()
        self.running[name].wait()

    def ask(self, name, request, kind):
        """Return the answer of a process, or None if it cannot be reached."""
        host, _, port = self.settings.named(name).address.rpartition(':')
        try:
            with socket.create_connection((host, int(port)), 1.0) as connection:
                connection.settimeout(1.0)
                connection.sendall(pack(request))
                return unpack(cli.read_frame(connection), kind)
        except OSError:
            return None

    def status(self, name):
        return self.ask(name, StatusRequest(), Status)

    def put(self, kind, *items):
        answer = self.ask('w0', PutRequest(kind, [Item(*item) for item in items]), PutAnswer)
        self.assertIsNotNone(answer.position, answer.refused)
        return answer.position

    def wait_until(self, condition):
        """Wait until the condition holds."""
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end)
            time.sleep(0.05)

    def complete(self, position):
        """Return whether the writer reports this position as complete."""
        status = self.status('w0')
        return status is not None and status.complete['w0'] >= position and not status.behind

    def start_nodes(self, count, seconds):
        """Start hollow nodes in one process. Return a function that waits for their results."""
        out = os.path.join(self.folder, 'seen-%d.json' % len(self.running))
        command = (sys.executable, '-m', 'lilacdyke.scale.hollow', '--file', self.path, '--out', out)
        sizes = ('--count', str(count), '--seconds', str(seconds))
        process = self.running[out] = subprocess.Popen(command + sizes, stderr=subprocess.DEVNULL)

        def results():
            process.wait(seconds + TIMEOUT_S)
            with open(out, encoding='utf-8') as file:
                return json.load(file)

        return results

    def joined(self, count):
        """Return whether the writer reports this many nodes and both relays as descendants."""
        status = self.status('w0')
        return status is not None and status.below == count + 2

    def test_changes_reach_all_nodes_and_become_complete(self):
        results = self.start_nodes(20, 9)
        self.wait_until(lambda: self.joined(20))
        # A node that joins gets earlier changes with its first snapshot, and does not count them.
        before = self.put('config', ('limit', '1'))
        self.wait_until(lambda: self.complete(before))
        self.put('config', ('limit', '5'), ('banner', 'hi'))
        position = self.put('purge', ('k1',))
        self.wait_until(lambda: self.complete(position))
        report = results()
        report['counted'].pop('config/w0/1', None)
        self.assertEqual(
            (report['positions'], report['counted']), ([['w0', 1, 3]], {'config/w0/2': 20, 'purge/w0/3': 20})
        )
        self.assertLess(max(report['latest'].values()), 3_900)
        self.assertLess(max(report['ages_ms']), 5_000)

    def test_changes_reach_all_nodes_across_a_relay_restart(self):
        results = self.start_nodes(20, 14)
        self.wait_until(lambda: self.joined(20))
        first = self.put('config', ('limit', '1'))
        self.wait_until(lambda: self.complete(first))
        self.kill('r0')
        position = self.put('purge', ('while-away',))
        self.start('r0')
        self.wait_until(lambda: self.status('r0').positions.get('w0') == position)
        position = self.put('config', ('limit', '2'))
        report = results()
        self.assertEqual(report['positions'], [['w0', position.epoch, position.sequence]])
        # The nodes of the killed relay received this purge through the other relay.
        self.assertEqual(report['counted']['purge/w0/2'], 20)
        self.assertLess(max(report['latest'].values()), 6_000)

    def test_stopped_relay_is_reported_as_behind(self):
        results = self.start_nodes(10, 16)
        self.wait_until(lambda: self.joined(10))
        self.running['r0'].send_signal(signal.SIGSTOP)
        position = self.put('config', ('limit', '1'))
        self.wait_until(lambda: 'r0' in self.status('w0').behind)
        self.assertLess(self.status('w0').complete['w0'], position)
        self.running['r0'].send_signal(signal.SIGCONT)
        self.wait_until(lambda: self.status('r0').positions['w0'] == position)
        self.assertEqual(results()['positions'], [['w0', position.epoch, position.sequence]])

    def test_accepted_changes_survive_a_writer_restart(self):
        results = self.start_nodes(10, 14)
        self.wait_until(lambda: self.joined(10))
        for number in range(5):
            self.put('config', ('limit', str(number)))
        self.kill('w0')
        self.start('w0')
        status = self.status('w0')
        self.assertEqual((status.configuration, status.positions['w0'].epoch), ({'limit': '4'}, 2))
        position = self.put('purge', ('after',))
        self.wait_until(lambda: self.status('r1').positions['w0'] == position)
        self.assertEqual(results()['positions'], [['w0', 2, 1]])

    def test_one_hundred_nodes_join_at_once(self):
        for number in range(200):
            self.put('config', ('limit', str(number)))
        report = self.start_nodes(100, 7)()
        self.assertEqual((report['positions'], report['snapshots']), ([['w0', 1, 200]], 100))
        self.assertLess(report['bytes_in'] / report['seconds'] / 100, 21_000)

    def test_change_commands(self):
        def run_change(*words):
            done = CliRunner().invoke(main, ['change', words[0], '--file', self.path, *words[1:]])
            return done.exit_code, done.output

        self.assertEqual(run_change('put', 'config', 'limit=5', 'banner=hi'), (0, 'epoch 1, sequence 1\n'))
        self.assertEqual(
            run_change('put', 'config', 'limit=x'), (1, 'lilacdyke: refused: limit: no number: x\n')
        )
        self.assertEqual(run_change('put', 'config', 'limit')[0], 2)
        self.assertEqual(run_change('put', 'purge', 'k=v')[0], 2)
        self.assertEqual(run_change('list'), (0, 'banner=hi\nlimit=5\n'))
        self.assertEqual(run_change('take-back', '1'), (0, 'epoch 1, sequence 2\n'))
        self.assertEqual(run_change('list'), (0, ''))
        self.assertEqual(run_change('put', '--name', 'r0', 'purge', 'k')[0], 1)
        self.assertEqual(run_change('put', '--name', 'r9', 'purge', 'k')[0], 2)
        self.wait_until(lambda: self.complete(self.status('w0').positions['w0']))
        code, text = run_change('status', '--name', 'w0')
        self.assertEqual(code, 0)
        self.assertRegex(text, r'w0: w0 at 1\.2, 0 ms old, complete below to 1\.2, 2 below, behind: nobody')
        self.kill('r1')
        self.assertEqual(run_change('status', '--name', 'r1')[0], 1)

    def test_malformed_bytes_close_only_their_link(self):
        host, _, port = self.settings.named('r0').address.rpartition(':')
        connections = [socket.create_connection((host, int(port)), 1.0) for _ in range(3)]
        connections[0].sendall(b'\xff' * 64)
        connections[1].sendall(LENGTH.pack(5) + b'noise')
        connections[2].sendall(pack(StatusRequest())[:6])  # an incomplete frame
        for connection in connections[:2]:
            connection.settimeout(5)
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(connection.recv(1), b'')
        self.assertIsNotNone(self.status('r0'))
        for connection in connections:
            connection.close()


class Node(Crossing):
    """A node with a changes file. The test acts as its relay."""

    def test_node_sends_hello_and_logs_stale_changes(self):
        # The class's own process has no --changes, so this starts a second one.
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'changes.toml')
            relay = socket.create_server(('127.0.0.1', 0))
            ports = free_ports(2)
            with open(path, 'w', encoding='utf-8') as file:
                file.write(FILE % (ports[0], folder, relay.getsockname()[1], ports[1]))
            page = os.path.join(folder, 'page.json')
            with open(page, 'w', encoding='utf-8') as file:
                settings_page = json.loads(self.page(self.agent))
                settings_page.update(installation='here', listen='127.0.0.1:%d' % free_ports(1)[0])
                json.dump(settings_page, file)
            command = (sys.executable, '-m', 'lilacdyke', 'serve', '--config', page, '--changes', path)
            running = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
            try:
                relay.settimeout(TIMEOUT_S)
                link = relay.accept()[0]
                link.settimeout(TIMEOUT_S)
                hello = unpack(cli.read_frame(link))
                self.assertEqual((hello.name, hello.installation), ('n0', 'here'))
                lines = iter(running.stderr.readline, '')
                self.assertTrue(any('changes stale' in line for line in lines))
            finally:
                running.kill()
                running.wait()
                running.stderr.close()
                link.close()
                relay.close()

    def test_changes_file_of_another_installation_is_refused(self):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(FILE % (1, '/tmp', 2, 3))
            file.flush()
            done = subprocess.run(
                (sys.executable, '-m', 'lilacdyke', 'serve', '--config', self.path, '--changes', file.name),
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual((done.returncode, done.stderr.count('\n')), (2, 1))
        self.assertIn('installation', done.stderr)

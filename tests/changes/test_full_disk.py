"""A writer process with injected disk errors: after a kill and restart, its file has every change that it
accepted and none that it refused."""

import errno
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from lilacdyke.changes import cli, settings, store
from lilacdyke.changes.messages import Item, PutAnswer, PutRequest, Status, StatusRequest, pack, unpack
from lilacdyke.changes.writer import ChangePut
from lilacdyke.scale.fleet_run import free_ports
from lilacdyke.trial.shim import Board

START_TIMEOUT_S = 20.0
FILE = """
enabled = true
installation = "here"
stale_after_s = 3.0
[[process]]
name = "w0"
role = "writer"
address = "127.0.0.1:%d"
folder = "%s"
[keys]
limit = "number"
"""


class FullDisk(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.path = folder.name, os.path.join(folder.name, 'changes.toml')
        with open(self.path, 'w', encoding='utf-8') as file:
            file.write(FILE % (*free_ports(1), folder.name))
        self.address = settings.read(self.path).named('w0').address
        self.board = Board(os.path.join(folder.name, 'board'))
        self.addCleanup(self.board.close)
        self.running = None
        self.start()
        self.addCleanup(self.kill)

    def start(self):
        command = ('change', 'run', '--file', self.path, '--name', 'w0')
        self.running = subprocess.Popen(
            (sys.executable, '-m', 'lilacdyke.trial.shim', self.board.path, *command),
            stderr=subprocess.DEVNULL,
        )
        end = time.monotonic() + START_TIMEOUT_S
        while self.ask(StatusRequest(), Status) is None:
            self.assertIsNone(self.running.poll(), 'the writer did not start')
            self.assertLess(time.monotonic(), end)
            time.sleep(0.05)

    def kill(self):
        self.running.send_signal(signal.SIGKILL)
        self.running.wait()

    def ask(self, request, kind):
        host, _, port = self.address.rpartition(':')
        try:
            with socket.create_connection((host, int(port)), 5.0) as connection:
                connection.settimeout(5.0)
                connection.sendall(pack(request))
                return unpack(cli.read_frame(connection), kind)
        except (OSError, cli.BadFrameError):
            return None

    def put(self, value):
        """Put a change, and return whether it was accepted."""
        answer = self.ask(PutRequest('config', [Item('limit', str(value))]), PutAnswer)
        self.assertIsNotNone(answer, 'no answer')
        return answer.position is not None

    def stored_values(self):
        """Return the values in the file, in order."""
        lines = store.read(self.folder)
        return [int(line.change.items[0].value) for line in lines if isinstance(line, ChangePut)]

    def assert_accepted_changes_survive(self, *calls):
        """Put changes before, while and after calls fail, then kill and restart the writer."""
        accepted = [value for value in (1, 2) if self.put(value)]
        self.board.put(calls=calls)
        accepted += [value for value in (3, 4) if self.put(value)]
        self.board.put()
        accepted += [value for value in (5, 6) if self.put(value)]
        self.assertEqual(accepted[:2] + accepted[-2:], [1, 2, 5, 6])
        self.kill()
        self.start()
        self.assertEqual(self.stored_values(), accepted)
        self.assertTrue(self.put(7))

    def test_accepted_changes_survive_partial_and_failed_writes(self):
        self.assert_accepted_changes_survive(
            {'call': 'write', 'size': 5, 'count': 1}, {'call': 'write', 'errno': errno.ENOSPC, 'first': 2}
        )

    def test_accepted_changes_survive_failed_sync_after_complete_write(self):
        self.assert_accepted_changes_survive({'call': 'fsync', 'errno': errno.EIO, 'count': 1})

    def test_accepted_changes_survive_full_disk(self):
        self.assert_accepted_changes_survive({'call': 'write', 'errno': errno.ENOSPC})

    def test_writer_starts_despite_transient_disk_errors(self):
        self.assertTrue(self.put(1))
        for call, number in (('fsync', errno.EIO), ('write', errno.ENOSPC), ('open', errno.ENFILE)):
            with self.subTest(call=call):
                self.kill()
                self.board.put(calls=[{'call': call, 'errno': number, 'first': 2, 'count': 3}])
                self.start()
                self.board.put()
        self.assertTrue(self.put(2))
        self.assertEqual(self.stored_values(), [1, 2])


if __name__ == '__main__':
    unittest.main()

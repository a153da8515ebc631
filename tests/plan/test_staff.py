"""`lilacdyke fleet servers` against a planner process, which forwarders send evidence to."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.plan.frames import DIGEST, Frames, pack

from ..test_upgrade import free

FILE = """enabled = true
installation = "here"
seats = 4
lease_s = 1.0
longest_s = 2.0
[verdicts]
span_s = 3.0
[[planner]]
name = "p0"
address = "127.0.0.1:%d"
"""


def packed_digest(seat, seq, plan, **outcomes):
    """Return a forwarder's digest in answer to a plan, with evidence on five servers."""
    rows = []
    for server in ('c0', 'c1', 'c2', 'c3', 'c4'):
        silent = 4 if outcomes.get(server) == 'silent' else 0
        rows.append(
            [
                server,
                7,
                4,
                4 - silent,
                0,
                silent,
                0,
                [0, 0, 0, 4 - silent],
                None if silent else 10,
                10 if silent else None,
                None if silent else 10,
                silent,
            ]
        )
    return pack(
        DIGEST,
        {
            'forwarder': 'f%d' % seat,
            'seq': seq,
            'holds': 0,
            'life': plan and plan['life'],
            'stamp': plan and plan['stamp'],
            'held': 5,
            'gifts': {},
            'wants': {},
            'edition': 1,
            'mosts': {},
            'heard': {},
            'seat': seat,
            'site': 'ab'[seat % 2],
            'seen': rows,
            'doubts': [['c1', 7]],
        },
    )


class StatusCommand(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.port, self.path = free(), os.path.join(self.folder.name, 'fleet.toml')
        with open(self.path, 'w', encoding='utf-8') as file:
            file.write(FILE % self.port)

    def start(self):
        planner = subprocess.Popen(
            [sys.executable, '-m', 'lilacdyke', 'plan', '--file', self.path, '--name', 'p0'],
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(planner.wait)
        self.addCleanup(planner.kill)
        for _ in range(100):
            try:
                return socket.create_connection(('127.0.0.1', self.port), 1).close()
            except OSError:
                time.sleep(0.05)
        self.fail('the planner does not listen')

    def exchange_digests(self, seat, **outcomes):
        """Send two digests of a forwarder. Return the second plan."""
        plan = None
        with socket.create_connection(('127.0.0.1', self.port), 2) as link:
            for seq in (1, 2):
                link.sendall(packed_digest(seat, seq, plan, **outcomes))
                frames, found = Frames(), []
                while not found:
                    found = frames.feed(link.recv(65_536))
                plan = found[0][1]
        return plan

    def run_servers_command(self, *arguments):
        return CliRunner().invoke(main, ['fleet', 'servers', '--file', self.path, *arguments])

    def test_status_shows_verdict_evidence_and_effect(self):
        self.start()
        for seat in range(3):
            self.exchange_digests(seat, c3='silent')
        time.sleep(0.3)
        plan = self.exchange_digests(3, c3='silent')
        self.assertEqual(
            [(row[0], row[2], row[9]) for row in plan['verdicts']],
            [('c3', 'silent', False), ('c1', 'well', False)],
        )
        done = self.run_servers_command()
        line = next(row for row in done.output.splitlines() if row.startswith('c3'))
        self.assertEqual(done.exit_code, 0)
        for word in ('silent', 'all', 'forwarders, 2 sites', 'keeps 3% of its turns'):
            self.assertIn(word, line)
        status = json.loads(self.run_servers_command('--json', '--planner', 'p0').output)
        self.assertEqual((status['planner'], len(status['witnesses'])), ('p0', 4))

    def test_single_forwarder_is_listed_but_makes_no_verdict(self):
        self.start()
        self.assertEqual(self.exchange_digests(0, c3='silent')['verdicts'], [])
        self.assertIn('1 forwarders', self.run_servers_command().output)

    def test_exit_codes_without_planner_and_for_unknown_planner(self):
        done = self.run_servers_command()
        self.assertEqual((done.exit_code, len(done.output.splitlines())), (1, 1))
        done = self.run_servers_command('--planner', 'p9')
        self.assertEqual(
            (done.exit_code, done.output.splitlines()[0].split(': ', 2)[2]), (2, 'planner: no p9')
        )


if __name__ == '__main__':
    unittest.main()

"""Verdicts in whole processes: forwarders that see, a planner that is asked by staff, and one that stays silent."""

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


def said(seat, seq, plan, **hows):
    """A forwarder's digest, in answer to a plan: what it saw of five servers."""
    rows = []
    for server in ('c0', 'c1', 'c2', 'c3', 'c4'):
        silent = 4 if hows.get(server) == 'silent' else 0
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


class Asked(unittest.TestCase):
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

    def talk(self, seat, **hows):
        """Two digests of a forwarder; the second plan."""
        plan = None
        with socket.create_connection(('127.0.0.1', self.port), 2) as link:
            for seq in (1, 2):
                link.sendall(said(seat, seq, plan, **hows))
                frames, found = Frames(), []
                while not found:
                    found = frames.feed(link.recv(65_536))
                plan = found[0][1]
        return plan

    def ask(self, *words):
        return CliRunner().invoke(main, ['fleet', 'servers', '--file', self.path, *words])

    def test_staff_see_what_is_held_by_whose_evidence_and_what_it_changes(self):
        self.start()
        for seat in range(3):
            self.talk(seat, c3='silent')
        time.sleep(0.3)
        plan = self.talk(3, c3='silent')
        self.assertEqual(
            [(row[0], row[2], row[9]) for row in plan['verdicts']],
            [('c3', 'silent', False), ('c1', 'well', False)],
        )
        done = self.ask()
        line = next(row for row in done.output.splitlines() if row.startswith('c3'))
        self.assertEqual(done.exit_code, 0)
        for word in ('silent', 'all', 'forwarders, 2 sites', 'keeps 3% of its turns'):
            self.assertIn(word, line)
        told = json.loads(self.ask('--json', '--planner', 'p0').output)
        self.assertEqual((told['planner'], len(told['witnesses'])), ('p0', 4))

    def test_one_forwarder_alone_is_seen_by_staff_and_binds_nobody(self):
        self.start()
        self.assertEqual(self.talk(0, c3='silent')['verdicts'], [])
        self.assertIn('1 forwarders', self.ask().output)

    def test_no_planner_and_no_such_planner(self):
        done = self.ask()
        self.assertEqual((done.exit_code, len(done.output.splitlines())), (1, 1))
        done = self.ask('--planner', 'p9')
        self.assertEqual(
            (done.exit_code, done.output.splitlines()[0].split(': ', 2)[2]), (2, 'planner: no p9')
        )


if __name__ == '__main__':
    unittest.main()

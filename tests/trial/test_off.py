"""The deploy file's `run` command leaves fleet features off despite stray variables, files and keys;
`--fleet` rejects invalid files."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest

from ..helpers import SETTINGS, entry, page
from ..plan.test_fleet import TEXT
from ..test_upgrade import free

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STRAY_ENVIRONMENT = {
    'LILACDYKE_FLEET': 'fleet.toml',
    'EDGE_FLEET': 'fleet.toml',
    'FLEET': 'fleet.toml',
    'LILACDYKE_SERVE_FLEET': 'fleet.toml',
    'LILACDYKE_PLAN': '1',
    'LILACDYKE_CHANGES': 'changes.toml',
    'LILACDYKE_SERVE_CHANGES': 'changes.toml',
    'EDGE_CHANGES': 'changes.toml',
    'LILACDYKE_TRIAL': '1',
    'LILACDYKE_MUTANT': 'tokens-not-taken',
    'EDGE_PLANNERS': '127.0.0.1:7100',
    'LILACDYKE_TASK_NUMBER': '7',
    'LILACDYKE_VERDICTS': '1',
    'LILACDYKE_TASKS': '1',
    'EDGE_TASKS': 'job',
}
FORBIDDEN_MODULES = (
    'lilacdyke.plan',
    'lilacdyke.changes',
    'lilacdyke.scale',
    'lilacdyke.trial',
    'lilacdyke.lab',
    'msgpack',
    'msgspec',
    'numpy',
    'matplotlib',
    'rich',
    'tomllib',
    'jinja2',
)
MEMORY_KB = 40_000  # peak after the start


def unix_sockets(pid):
    """Return the names of this process's Unix sockets, and nothing of other processes on the machine."""
    folder = '/proc/%d/fd' % pid
    held = {os.readlink(os.path.join(folder, fd)) for fd in os.listdir(folder)}
    with open('/proc/%d/net/unix' % pid, encoding='ascii') as file:
        rows = [row.split() for row in file]
    return [row[7] for row in rows[1:] if len(row) > 7 and 'socket:[%s]' % row[6] in held]


class FleetDisabled(unittest.TestCase):
    def start(self, folder, stray):
        """Start the `run` command until it serves; return (imported modules, open descriptors, peak memory
        in KB)."""
        with open(os.path.join(ROOT, 'deploy', 'balancer.toml'), 'rb') as file:
            line = tomllib.load(file)['run']
        more = (
            {
                'installation': 'here',
                'fleet': {'enabled': True},
                'planners': ['127.0.0.1:7100'],
                'changes': {'enabled': True, 'relays': ['127.0.0.1:7300']},
                'verdicts': {'span_s': 3.0},
                'tasks': {'folder': folder},
            }
            if stray
            else {}
        )
        path = os.path.join(folder, 'page.json')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(
                page(
                    listen='127.0.0.1:%d' % free(),
                    discovery='127.0.0.1:%d' % free(),
                    settings=SETTINGS,
                    known={'generation': 4, 'reset': True, 'instances': [entry('c0'), entry('o', 'origin')]},
                    **more,
                )
            )
        if stray:
            with open(os.path.join(folder, 'p0.numbers'), 'w', encoding='utf-8') as file:
                file.write('{"version": 1, "bound": 5, "voters": ["p0"], "lease": 1}')
            for name in ('fleet.toml', 'lilacdyke.toml', 'planner.toml'):
                with open(os.path.join(folder, name), 'w', encoding='utf-8') as file:
                    file.write(TEXT + '[verdicts]\n[tasks]\nfolder = "%s"\n' % folder)
        environ = dict(
            os.environ,
            EDGE_CONFIG=path,
            TMPDIR=folder,
            PYTHONPROFILEIMPORTTIME='1',
            **(STRAY_ENVIRONMENT if stray else {}),
        )
        line = line.replace('.venv/bin/python', sys.executable)  # the environment of CI may have another path
        log = os.path.join(folder, 'log')
        with open(log, 'wb') as file:
            process = subprocess.Popen(
                ['/bin/sh', '-c', line], cwd=ROOT, env=environ, stdout=file, stderr=file
            )
        try:
            for _ in range(200):
                with open(log, encoding='utf-8') as file:
                    text = file.read()
                if 'event=serving' in text:
                    break
                time.sleep(0.05)
            self.assertIn('event=serving', text)
            time.sleep(0.3)
            modules = {
                row.rsplit('|', 1)[1].strip() for row in text.splitlines() if row.startswith('import time:')
            }
            found = [
                os.readlink('/proc/%d/fd/%s' % (process.pid, fd)).split(':')[0].replace(folder, '')
                for fd in os.listdir('/proc/%d/fd' % process.pid)
            ]
            with open('/proc/%d/status' % process.pid, encoding='ascii') as file:
                memory = next(int(row.split()[1]) for row in file if row.startswith('VmHWM'))
            self.assertEqual(unix_sockets(process.pid), [])
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(8)
        return modules, sorted(found), memory

    def test_run_command_ignores_stray_fleet_settings(self):
        with tempfile.TemporaryDirectory() as plain, tempfile.TemporaryDirectory() as cluttered:
            before, after = self.start(plain, False), self.start(cluttered, True)
        self.assertIn('lilacdyke.net.node', after[0])
        self.assertEqual(
            [
                name
                for name in after[0]
                if name.split('.')[0] in FORBIDDEN_MODULES or name.startswith(FORBIDDEN_MODULES[:3])
            ],
            [],
        )
        self.assertEqual((before[0], before[1]), (after[0], after[1]))
        self.assertLess(after[2], MEMORY_KB)
        self.assertLess(abs(after[2] - before[2]), 2_000)

    def serve_with_fleet(self, text, **more):
        """Return the exit code and the error output of `serve --fleet` with this file."""
        with tempfile.TemporaryDirectory() as folder:
            for name, given in (('page.json', page(settings=SETTINGS, **more)), ('fleet.toml', text)):
                with open(os.path.join(folder, name), 'w', encoding='utf-8') as file:
                    file.write(given)
            done = subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'lilacdyke',
                    'serve',
                    '--config',
                    os.path.join(folder, 'page.json'),
                    '--fleet',
                    os.path.join(folder, 'fleet.toml'),
                ],
                capture_output=True,
                text=True,
                timeout=20,
            )
        return done.returncode, done.stderr

    def test_fleet_file_disabled_or_of_another_installation_exits_2_with_one_line(self):
        for text, more, key in (
            (TEXT.replace('true', 'false'), {'installation': 'here'}, 'enabled'),
            (TEXT, {}, 'installation'),
            (TEXT, {'installation': 'there'}, 'installation'),
            (TEXT, {'installation': 'here'}, 'longest_s'),
            ('seats = [', {'installation': 'here'}, ''),
        ):
            with self.subTest(key=key):
                code, output = self.serve_with_fleet(text, **more)
                self.assertEqual((code, output.count('\n')), (2, 1))
                self.assertIn(key, output)

    def test_example_page_names_no_installation(self):
        with open(os.path.join(ROOT, 'deploy', 'example-page.json'), encoding='utf-8') as file:
            self.assertNotIn('installation', json.load(file))


if __name__ == '__main__':
    unittest.main()

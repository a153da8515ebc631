"""Test that the linter's per-file exceptions in pyproject.toml are exactly those needed."""

import json
import os
import subprocess
import sys
import tomllib
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def broken_rules(settings):
    """Return the rules that each file breaks under these settings, by its path from the root."""
    done = subprocess.run(
        (
            sys.executable,
            '-m',
            'ruff',
            'check',
            '--no-cache',
            '--output-format',
            'json',
            '--config',
            settings,
            '.',
        ),
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    found = {}
    for row in json.loads(done.stdout):
        found.setdefault(os.path.relpath(row['filename'], ROOT), set()).add(row['code'])
    return found


class Lint(unittest.TestCase):
    def test_listed_exceptions_match_the_broken_rules(self):
        with open(os.path.join(ROOT, 'pyproject.toml'), encoding='utf-8') as file:
            text = file.read()
        listed = tomllib.loads(text)['tool']['ruff']['lint']['per-file-ignores']
        lint = tomllib.loads(text)['tool']['ruff']['lint']
        # Undefined names are never excepted.
        self.assertFalse({path for path, codes in listed.items() if 'F821' in codes})
        plain = 'lint.per-file-ignores={}'
        self.assertEqual({path: set(codes) for path, codes in listed.items()}, broken_rules(plain))
        self.assertEqual(set(lint['select']), {'E', 'F', 'W', 'I', 'N', 'B', 'SIM', 'C90', 'TID251'})

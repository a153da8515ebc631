"""Whole fleets in simulated time: the same verdict every run, a fixed set of scenarios, and mutants that are caught."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.lab import draw, hunt, report, runs, scenario as scenarios, witness

FIXED = os.path.join(os.path.dirname(__file__), 'found')


class Same(unittest.TestCase):
    def test_a_seed_gives_one_record_in_any_process_under_any_hash_seed(self):
        text, hashes = scenarios.write(scenarios.load('overlap')), set()
        for seed in ('0', '1', '77'):
            done = subprocess.run((sys.executable, '-c', 'import sys; from lilacdyke.lab import runs, scenario; print(runs.one('
                                   'scenario.read(sys.stdin.read()), 5).hash)'), input=text.encode(), capture_output=True,
                                  env=dict(os.environ, PYTHONHASHSEED=seed), check=True)
            hashes.add(done.stdout.strip())
        self.assertEqual(len(hashes), 1)

    def test_another_seed_gives_another(self):
        given = draw.scenario(4)
        self.assertNotEqual(runs.one(given, 1).hash, runs.one(given, 2).hash)


class Fixed(unittest.TestCase):
    def sound(self, given, seed=None):
        outcome = runs.one(given, seed, hashed=False)
        self.assertEqual((outcome.broken, outcome.figures['transactions'] > 0), ([], True))
        return outcome

    def test_the_scenarios_that_ship(self):
        for name in scenarios.named():
            if name != 'fleet':             # minutes; not in here
                with self.subTest(name=name):
                    self.sound(scenarios.load(name))

    def test_drawn_ones(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.sound(draw.scenario(seed), seed)

    def test_those_that_once_failed(self):
        for name in sorted(os.listdir(FIXED)):
            with self.subTest(name=name):
                self.sound(scenarios.load(os.path.join(FIXED, name)))

    def test_a_calm_day_is_served(self):
        self.assertGreater(self.sound(scenarios.load('calm')).figures['G'], 0.95)


class Mutants(unittest.TestCase):
    def test_some_are_caught(self):
        for name in ('drain-ignored', 'answer-doubled', 'window-ignored', 'cold-flooded', 'descriptor-leaked',
                     'versions-skipped', 'hops-unbounded', 'loser-kept'):
            with self.subTest(name=name):
                self.assertIsNotNone(hunt.one(name, 6))


class Commands(unittest.TestCase):
    def test_a_wrong_scenario_is_one_line(self):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write('name = "x"\nspeed = 1\n')
            file.flush()
            for words in (['run', file.name], ['run', 'nothing-such'], ['sweep', 'calm', 'load.speed', '1']):
                done = CliRunner().invoke(main, ['lab', *words])
                self.assertEqual((done.exit_code, len(done.output.splitlines())), (2, 1), done.output)

    def test_a_run_its_record_and_its_report(self):
        with tempfile.TemporaryDirectory() as folder:
            path, page = os.path.join(folder, 'r.jsonl'), os.path.join(folder, 'r.html')
            small = os.path.join(folder, 's.toml')
            with open(small, 'w', encoding='utf-8') as file:
                file.write('name = "small"\nlength_s = 2\n[load]\nrate = 30\n[[events]]\nat_s = 0.5\nkind = "slow"\n')
            done = CliRunner().invoke(main, ['lab', 'run', small, '--record', path, '--json'])
            told = json.loads(done.output.splitlines()[-1])
            with open(path, 'rb+') as file:
                file.truncate(os.path.getsize(path) - 7)        # a record that was cut short
            _, rows = witness.load(path)
            report.write(page, [path])
            with open(page, encoding='utf-8') as file:
                text = file.read()
        self.assertEqual((done.exit_code, told['broken'], rows[-1][0] in witness.ROWS), (0, [], True))
        self.assertIn('No rule broken', text)
        self.assertEqual(text.count('<img'), 4)

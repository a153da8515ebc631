"""Whole fleets: determinism, a fixed set of scenarios, detected mutants, real processes and commands."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.lab import draw, hunt, loopback, mutants, recorder, report, runs
from lilacdyke.lab import scenario as scenarios

KEPT = os.path.join(os.path.dirname(__file__), 'kept')


class Determinism(unittest.TestCase):
    def test_record_does_not_depend_on_process_or_hash_seed(self):
        text, hashes = scenarios.write(scenarios.load('overlap')), set()
        for seed in ('0', '1', '77'):
            result = subprocess.run(
                (
                    sys.executable,
                    '-c',
                    'import sys; from lilacdyke.lab import runs, scenario; print(runs.one('
                    'scenario.read(sys.stdin.read()), 5).hash)',
                ),
                input=text.encode(),
                capture_output=True,
                env=dict(os.environ, PYTHONHASHSEED=seed),
                check=True,
            )
            hashes.add(result.stdout.strip())
        self.assertEqual(len(hashes), 1)

    def test_different_seeds_give_different_records(self):
        scenario = draw.scenario(4)
        self.assertNotEqual(runs.one(scenario, 1).hash, runs.one(scenario, 2).hash)


class FixedScenarios(unittest.TestCase):
    """Shipped, drawn and recorded scenarios, played in parallel and checked one by one."""

    @classmethod
    def setUpClass(cls):
        cases = [
            (name, scenarios.load(name)) for name in scenarios.shipped_names() if name != 'fleet'
        ]  # takes minutes
        cases += [('seed %d' % seed, draw.scenario(seed)) for seed in range(16)]
        cases += [(name, scenarios.load(os.path.join(KEPT, name))) for name in sorted(os.listdir(KEPT))]
        cls.names, cls.outcomes = [name for name, _ in cases], {}
        runs.many(
            [(scenarios.write(scenario), scenario.seed, None) for _, scenario in cases],
            runs.cores(0),
            cls.outcomes.__setitem__,
        )

    def test_no_rule_is_broken(self):
        for index, name in enumerate(self.names):
            with self.subTest(name=name):
                outcome = self.outcomes[index]
                self.assertEqual(
                    (getattr(outcome, 'broken', outcome), outcome.figures['transactions'] > 0), ([], True)
                )

    def test_calm_scenario_earns_most_of_its_revenue(self):
        self.assertGreater(self.outcomes[self.names.index('calm')].figures['G'], 0.95)

    def test_faults_reduce_the_revenue_in_goal(self):
        worse = [
            name
            for name in ('cut', 'kills', 'overlap', 'standstill')
            if self.outcomes[self.names.index(name)].figures['whole'] < 0.995
        ]
        self.assertGreaterEqual(len(worse), 3)


class Mutants(unittest.TestCase):
    def test_every_mutant_is_detected(self):
        caught = hunt.hunt(sorted(mutants.MUTANTS), 40, runs.cores(0), lambda completed: None)
        self.assertEqual([name for name in mutants.MUTANTS if caught.get(name) is None], [])


class Loopback(unittest.TestCase):
    def test_real_processes_survive_a_kill_a_reload_and_a_freeze(self):
        scenario = scenarios.read("""
name = "short"
length_s = 5
nodes = 2
[load]
rate = 40
[[events]]
at_s = 0.5
kind = "hup"
what = [0]
[[events]]
at_s = 1.5
kind = "kill"
what = [1]
for_s = 0.5
[[events]]
at_s = 3
kind = "standstill"
what = [0]
for_s = 0.5
""")
        outcome = loopback.one(scenario)
        self.assertEqual(outcome.broken, [])
        self.assertGreater(outcome.figures['outcomes']['served'], 100)


class Commands(unittest.TestCase):
    def test_scenario_error_is_one_line_with_exit_code_2(self):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write('name = "x"\nspeed = 1\n')
            file.flush()
            for words in (['run', file.name], ['run', 'nothing-such'], ['sweep', 'calm', 'load.speed', '1']):
                result = CliRunner().invoke(main, ['lab', *words])
                self.assertEqual((result.exit_code, len(result.output.splitlines())), (2, 1), result.output)

    def test_run_writes_a_record_and_report_reads_a_truncated_one(self):
        with tempfile.TemporaryDirectory() as folder:
            path, page = os.path.join(folder, 'r.jsonl'), os.path.join(folder, 'r.html')
            small = os.path.join(folder, 's.toml')
            with open(small, 'w', encoding='utf-8') as file:
                file.write(
                    'name = "small"\nlength_s = 2\n[load]\nrate = 30\n[[events]]\nat_s = 0.5\nkind = "slow"\n'
                )
            result = CliRunner().invoke(main, ['lab', 'run', small, '--record', path, '--json'])
            summary = json.loads(result.output.splitlines()[-1])
            with open(path, 'rb+') as file:
                file.truncate(os.path.getsize(path) - 7)  # cuts the last row short
            _, rows = recorder.load(path)
            report.write(page, [path])
            with open(page, encoding='utf-8') as file:
                text = file.read()
        self.assertEqual((result.exit_code, summary['broken'], rows[-1][0] in recorder.ROWS), (0, [], True))
        self.assertIn('No rule broken', text)
        self.assertEqual(text.count('<img'), 4)


class Regressions(unittest.TestCase):
    """Seeds that once produced a refused valid answer, or an answer cut off by a simulated server."""

    def test_no_rule_is_broken(self):
        for seed in (64, 89, 114, 132, 136, 141, 152, 206, 220, 288):
            with self.subTest(seed=seed):
                self.assertEqual(runs.one(draw.scenario(seed)).broken, [])

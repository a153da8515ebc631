"""Short soak runs hold all rules; a seed determines the faults; the check of the writer's file finds lost
changes."""

import json
import os
import tempfile
import unittest
from types import SimpleNamespace

from lilacdyke.changes.messages import Change, Item
from lilacdyke.changes.store import Store
from lilacdyke.changes.writer import ChangePut, EpochBegun
from lilacdyke.trial import soak

SECONDS, NODES = 8.0, 3


class ShortRuns(unittest.TestCase):
    def test_short_runs_hold_all_rules(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                found = soak.run_in_subprocess(seed, SECONDS, NODES)
                self.assertEqual(found.broken, [])
                self.assertGreater(found.served, 20)
                self.assertGreater(found.kept, 5)

    def test_same_seed_draws_the_same_faults(self):
        self.assertEqual(soak.draw_run(5, 60.0, 16), soak.draw_run(5, 60.0, 16))
        kinds = {event.kind for seed in range(20) for event in soak.draw_run(seed, 60.0, 16)[0].events}
        self.assertLessEqual({'step', 'calls', 'kill', 'standstill'}, kinds)


class WriterFile(unittest.TestCase):
    """Checks the writer's file against the recorded results."""

    def evaluate(self, kept, results):
        with tempfile.TemporaryDirectory() as folder:
            store = Store(folder)
            store.append_record(EpochBegun(1))
            for value in kept:
                store.append_record(ChangePut(Change(value, 'config', [Item('limit', str(value))], value)))
            store.close()
            writing = SimpleNamespace(
                results_path=os.path.join(folder, 'told.jsonl'), path=os.path.join(folder, 'changes.toml')
            )
            with open(writing.path, 'w', encoding='utf-8') as file:
                file.write(soak.CHANGES_FILE % (7_000, folder, ''))
            with open(writing.results_path, 'w', encoding='utf-8') as file:
                file.writelines(json.dumps({'value': value, 'told': word}) + '\n' for value, word in results)
            return soak.WriterProcesses.evaluate(writing)

    def test_matching_results_are_accepted(self):
        self.assertEqual(self.evaluate([1, 3], [(1, 'kept'), (2, 'refused'), (3, 'nothing')]), (1, None))

    def test_lost_change_is_reported(self):
        self.assertIn('[2]', self.evaluate([1], [(1, 'kept'), (2, 'kept')])[1])

    def test_stored_change_reported_as_refused_is_reported(self):
        self.assertIn('[1]', self.evaluate([1], [(1, 'refused')])[1])


if __name__ == '__main__':
    unittest.main()

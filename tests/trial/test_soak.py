"""The soak in small: a few processes for some seconds, their machines failing; a seed tells a run; what was
told and is not so is found."""

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


class Runs(unittest.TestCase):
    def test_no_rule_is_broken(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                found = soak.one(seed, SECONDS, NODES)
                self.assertEqual(found.broken, [])
                self.assertGreater(found.served, 20)
                self.assertGreater(found.kept, 5)

    def test_a_seed_draws_the_same_faults(self):
        self.assertEqual(soak.drawn(5, 60.0, 16), soak.drawn(5, 60.0, 16))
        kinds = {event.kind for seed in range(20) for event in soak.drawn(seed, 60.0, 16)[0].events}
        self.assertLessEqual({'step', 'calls', 'kill', 'standstill'}, kinds)


class Judged(unittest.TestCase):
    """The writer's file against what staff were told."""

    def judged(self, kept, told):
        with tempfile.TemporaryDirectory() as folder:
            store = Store(folder)
            store.append_record(EpochBegun(1))
            for value in kept:
                store.append_record(ChangePut(Change(value, 'config', [Item('limit', str(value))], value)))
            store.close()
            writing = SimpleNamespace(
                told=os.path.join(folder, 'told.jsonl'), path=os.path.join(folder, 'changes.toml')
            )
            with open(writing.path, 'w', encoding='utf-8') as file:
                file.write(soak.CHANGES % (7_000, folder, ''))
            with open(writing.told, 'w', encoding='utf-8') as file:
                file.writelines(json.dumps({'value': value, 'told': word}) + '\n' for value, word in told)
            return soak.Writing.judged(writing)

    def test_what_was_told_is_so(self):
        self.assertEqual(self.judged([1, 3], [(1, 'kept'), (2, 'refused'), (3, 'nothing')]), (1, None))

    def test_a_change_that_is_lost_is_found(self):
        self.assertIn('[2]', self.judged([1], [(1, 'kept'), (2, 'kept')])[1])

    def test_a_change_that_was_refused_and_stays_is_found(self):
        self.assertIn('[1]', self.judged([1], [(1, 'refused')])[1])


if __name__ == '__main__':
    unittest.main()

"""A sample of the sweep of file faults: no file is damaged, and broken implementations are detected."""

import json
import logging
import os
import unittest
from unittest import mock

from lilacdyke.changes import store
from lilacdyke.lab import filesweep
from lilacdyke.plan.voter_file import VERSION, VoterFile

EVERY = 13  # every 13th prefix of a write


def ignore_short_writes(descriptor, data):
    """Write without checking how many bytes were written."""
    os.write(descriptor, data)


def write_in_place(self, bound, voters, lease):
    """Overwrite the voter's file instead of replacing it."""
    with open(self.path, 'w', encoding='utf-8') as file:
        json.dump({'version': VERSION, 'bound': bound, 'voters': voters, 'lease': lease}, file)
        file.flush()
        os.fsync(file.fileno())


class FileSweepTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_point_damages_the_files_of_writers_or_voters(self):
        for scenario in filesweep.SCENARIOS:
            with self.subTest(scenario=scenario):
                count, found = filesweep.sweep(scenario, EVERY)
                self.assertGreater(count, 100)
                self.assertEqual(found, [])

    def test_detects_a_store_that_ignores_short_writes(self):
        with mock.patch.object(store, 'write_all', ignore_short_writes):
            self.assertTrue(filesweep.sweep('writer', EVERY)[1])

    def test_detects_a_store_that_leaves_refused_lines(self):
        with mock.patch.object(store.Store, 'truncate_to_stored', lambda self: None):
            self.assertTrue(filesweep.sweep('writer', EVERY)[1])

    def test_detects_a_voter_that_overwrites_its_file(self):
        with mock.patch.object(VoterFile, 'write', write_in_place):
            self.assertTrue(filesweep.sweep('voter', EVERY)[1])

    def test_point_reproduces_its_run(self):
        with mock.patch.object(store, 'write_all', ignore_short_writes):
            point, wrong = filesweep.sweep('writer', EVERY)[1][0]
            self.assertEqual(filesweep.play(point), wrong)


if __name__ == '__main__':
    unittest.main()

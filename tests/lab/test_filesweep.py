"""The sweep of files, thinned: nothing is broken, and broken stores and books are found."""

import json
import logging
import os
import unittest
from unittest import mock

from lilacdyke.changes import store
from lilacdyke.lab import filesweep
from lilacdyke.plan.voter_file import VERSION, VoterFile

EVERY = 13  # only each so-manieth prefix of a write


def forgets_short_writes(descriptor, data):
    """A store that does not look at how much was taken."""
    os.write(descriptor, data)


def in_place(self, bound, voters, lease):
    """A book that is written over the old one."""
    with open(self.path, 'w', encoding='utf-8') as file:
        json.dump({'version': VERSION, 'bound': bound, 'voters': voters, 'lease': lease}, file)
        file.flush()
        os.fsync(file.fileno())


class Sweeps(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_point_breaks_a_writers_file_or_a_voters(self):
        for scenario in filesweep.SCENARIOS:
            with self.subTest(scenario=scenario):
                count, found = filesweep.sweep(scenario, EVERY)
                self.assertGreater(count, 100)
                self.assertEqual(found, [])

    def test_a_store_that_forgets_a_short_write_is_found(self):
        with mock.patch.object(store, 'write_all', forgets_short_writes):
            self.assertTrue(filesweep.sweep('writer', EVERY)[1])

    def test_a_store_that_leaves_refused_lines_is_found(self):
        with mock.patch.object(store.Store, 'truncate_to_stored', lambda self: None):
            self.assertTrue(filesweep.sweep('writer', EVERY)[1])

    def test_a_book_that_is_written_over_the_old_one_is_found(self):
        with mock.patch.object(VoterFile, 'write', in_place):
            self.assertTrue(filesweep.sweep('voter', EVERY)[1])

    def test_a_point_alone_plays_the_run_again(self):
        with mock.patch.object(store, 'write_all', forgets_short_writes):
            point, wrong = filesweep.sweep('writer', EVERY)[1][0]
            self.assertEqual(filesweep.play(point), wrong)


if __name__ == '__main__':
    unittest.main()

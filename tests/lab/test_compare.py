"""The tree of another commit that the lab plays beside this one."""

import tempfile
import unittest
from pathlib import Path

from lilacdyke.lab import compare

BEFORE_RENAMES = '1137b0d5'  # the last commit with the former names


class OtherTree(unittest.TestCase):
    def test_commit_from_before_the_renames_is_refused_in_one_line(self):
        with tempfile.TemporaryDirectory() as folder, self.assertRaises(compare.CannotCompare) as caught:
            compare.other_tree(BEFORE_RENAMES, folder)
        self.assertEqual(
            str(caught.exception),
            '%s: its node is from before the renames of 2026-12 and cannot be played by this lab'
            % BEFORE_RENAMES,
        )

    def test_head_is_accepted(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertRegex(compare.other_tree('HEAD', folder), r'\A[0-9a-f]{8} \(node and module\)\Z')
            self.assertTrue((Path(folder) / 'lilacdyke' / 'lab' / 'compare.py').exists())

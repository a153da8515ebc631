"""The tree of another commit that the lab plays beside this one."""

import io
import tarfile
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from lilacdyke.lab import compare

COMMIT = '0123456789abcdef'


def archive_with(*paths):
    """Return a tar archive of empty files at these paths, as `git archive` would print it."""
    archive = io.BytesIO()
    with tarfile.open(fileobj=archive, mode='w') as tar:
        for path in paths:
            tar.addfile(tarfile.TarInfo(path))
    return archive.getvalue()


class OtherTree(unittest.TestCase):
    def test_commit_from_before_the_renames_is_refused_in_one_line(self):
        outputs = {
            'rev-parse': COMMIT.encode(),
            'archive': archive_with('lilacdyke/net/system.py', 'lilacdyke/net/starts.py'),
        }
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(compare, 'git', lambda command, *args: outputs[command]),
            self.assertRaises(compare.CannotCompare) as caught,
        ):
            compare.other_tree(COMMIT, folder)
        self.assertEqual(
            str(caught.exception),
            '01234567: its node is from before the renames of 2026-12 and cannot be played by this lab',
        )

    def test_head_is_accepted(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertRegex(compare.other_tree('HEAD', folder), r'\A[0-9a-f]{8} \(node and module\)\Z')
            self.assertTrue((Path(folder) / 'lilacdyke' / 'lab' / 'compare.py').exists())

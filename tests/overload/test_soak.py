"""A few seeds of the random runs (soak.py); the long run is started by hand."""

import unittest

from .soak import play

SEEDS = (4, 6, 9, 15, 22)


class Soak(unittest.TestCase):
    # Guards against the pictures of incident dda08d in forms that nobody has listed.
    def test_seeds_hold(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                _, broken, text, log = play(seed)
                self.assertEqual(broken, [], '%s\n%s' % (text, log))

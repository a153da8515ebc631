"""Rendezvous hashing."""

import unittest

from lilacdyke.logic import mix


class Rank(unittest.TestCase):
    def test_neighbouring_inputs_spread(self):
        """Neighbouring marks land evenly in halves."""
        high = sum(mix(n) >> 63 for n in range(1000))
        self.assertTrue(400 < high < 600)

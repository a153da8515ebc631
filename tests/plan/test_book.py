"""A voter's number file on a disk with a transient error."""

import errno
import tempfile
import unittest
from unittest import mock

from twisted.internet.testing import MemoryReactorClock

from lilacdyke.plan import limits, process
from lilacdyke.plan.voter_file import VoterFile

from ..helpers import Machine

FLEET = {
    'enabled': True,
    'installation': 'here',
    'edition': 1,
    'seats': 1,
    'lease_s': 1.0,
    'longest_s': 1.0,
    'limit': [{'name': 'reads', 'what': 'requests', 'most': 10.0}],
    'planner': [{'name': 'p0', 'address': '127.0.0.1:7000'}],
}


class TransientDiskErrorTests(unittest.TestCase):
    def test_voter_votes_once_a_file_unreadable_at_start_can_be_read(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = {**FLEET, 'tasks': {'folder': folder, 'lease_s': 1.0, 'voters': ['p0']}}
            fleet = limits.check(limits.msgspec.convert(settings, limits.Fleet))
            VoterFile(folder, 'p0').write(5, ['p0'], fleet.task_lease)
            reactor = MemoryReactorClock()
            with mock.patch('builtins.open', side_effect=OSError(errno.EIO, 'injected')):
                planner = process.PlannerProcess(fleet, 0, reactor, Machine(reactor))
                reactor.advance(0.2)
            self.assertIsNone(planner.voter)
            reactor.advance(0.5)
            self.assertEqual(planner.voter.bound, 5)


if __name__ == '__main__':
    unittest.main()

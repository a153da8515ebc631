"""Frames between forwarders and planners: splitting, validation and versions."""

import unittest
from random import Random

import msgpack

from lilacdyke.framing import LENGTH
from lilacdyke.plan.active_verdicts import BINS, SERVERS
from lilacdyke.plan.frames import (
    MAX_AMOUNT,
    MAX_FRAME_BYTES,
    BadFrameError,
    Frames,
    UnsupportedVersionError,
    pack,
)
from lilacdyke.plan.ledger import MAX_KEYS, Budgets, ForwarderLedger, PlannerLedger

PLAN = {
    'forwarder': 'f',
    'seq': 1,
    'life': 'b',
    'version': 1,
    'stamp': 5,
    'leases': {'k': 3},
    'forwarders': 2,
    'edition': 1,
    'mosts': {'k': 9},
    'verdicts': [],
}


def framed(tree):
    body = msgpack.packb(tree)
    return LENGTH.pack(len(body)) + body


class FrameValidation(unittest.TestCase):
    def test_frames_split_at_any_byte(self):
        data, reader, found = pack('plan', PLAN) * 3, Frames(), []
        for at in range(len(data)):
            found += reader.feed(data[at : at + 1])
        self.assertEqual((found, len(reader.buffer)), ([('plan', PLAN)] * 3, 0))

    def test_ledger_messages_survive_round_trip(self):
        forwarder_ledger, planner_ledger = (
            ForwarderLedger(0, 'f', ['p'], Budgets(k=100), 20, 60),
            PlannerLedger('b', 20, 60),
        )
        digest = dict(
            forwarder_ledger.digest(100, 'p', {'k': 3}, {'l': 4}),
            edition=1,
            mosts={'k': 9},
            heard={'q': 3},
            seat=2,
            site='z0',
            doubts=[['c1', 7]],
            seen=[['c0', 7, 3, 1, 1, 1, 0, [0, 1], 40, None, 9, 2]],
        )
        ((_, came),) = Frames().feed(pack('digest', digest))
        plan = dict(
            planner_ledger.process_digest(5, came),
            edition=1,
            mosts={},
            verdicts=[['c0', 7, 'slow', 2.0, 320, 3, 2, 40, 0.5, True]],
        )
        ((_, back),) = Frames().feed(pack('plan', plan))
        self.assertEqual((came, back, forwarder_ledger.apply_plan(101, 'p', back)), (digest, plan, True))

    def test_unknown_fields_and_kinds_are_skipped(self):
        reader = Frames()
        self.assertEqual(reader.feed(framed([1, 9, 'plan', dict(PLAN, colour='red')])), [('plan', PLAN)])
        self.assertEqual(reader.feed(framed([1, 9, 'song', 7])), [('song', None)])

    def test_missing_fields_of_newer_minor_version_get_defaults(self):
        old = {field: value for field, value in PLAN.items() if field not in ('edition', 'mosts', 'verdicts')}
        self.assertEqual(
            Frames().feed(framed([1, 0, 'plan', old])),
            [('plan', dict(PLAN, edition=0, mosts={}, verdicts=[]))],
        )

    def test_other_major_version_is_rejected(self):
        with self.assertRaisesRegex(UnsupportedVersionError, 'version 2.0, and this is 1.2'):
            Frames().feed(framed([2, 0, 'plan', PLAN]))

    def test_malformed_frames_are_rejected(self):
        cases = [
            LENGTH.pack(MAX_FRAME_BYTES + 1),
            LENGTH.pack(3) + b'\xc1\xc1\xc1',
            framed(7),
            framed([1, 0, 'plan']),
            framed([1, 0, 'plan', []]),
            framed([1, 0, 'plan', {}]),
            framed(['1', 0, 'plan', PLAN]),
            framed([1, 0, 7, PLAN]),
        ]
        for field, wrong in (
            ('seq', -1),
            ('seq', 1.5),
            ('seq', True),
            ('seq', 1 << 50),
            ('life', ''),
            ('life', 'x' * 999),
            ('leases', [1]),
            ('leases', {'k': -1}),
            ('leases', {'': 1}),
            ('leases', {'k': None}),
        ):
            cases.append(framed([1, 0, 'plan', dict(PLAN, **{field: wrong})]))
        good = ['c0', 7, 'slow', 2.0, 320, 3, 2, 40, 0.5, True]
        for place, wrong in ((0, ''), (1, -1), (2, 'dead'), (3, float('nan')), (3, True), (7, None), (9, 1)):
            cases.append(
                framed([1, 2, 'plan', dict(PLAN, verdicts=[[*good[:place], wrong, *good[place + 1 :]]])])
            )
        cases += [
            framed([1, 2, 'plan', dict(PLAN, verdicts=rows)])
            for rows in ({}, [7], [good[:-1]], [good] * 1_025)
        ]
        for data in cases:
            with self.subTest(data=data[:60]), self.assertRaises(BadFrameError):
                Frames().feed(data)

    def test_frame_beyond_maximum_size_is_not_packed(self):
        with self.assertRaises(BadFrameError):
            pack('plan', dict(PLAN, leases={'k%d' % number: 1 for number in range(MAX_FRAME_BYTES // 5)}))

    def test_largest_messages_for_1024_servers_fit_into_a_frame(self):
        keys = {
            '%s:%0190d' % (limit, server): 9
            for limit in ('cold', 'links', 'tries')
            for server in range(1_024)
        }
        ((_, came),) = Frames().feed(pack('plan', dict(PLAN, leases=keys)))
        self.assertEqual((came['leases'], len(keys) <= MAX_KEYS), (keys, True))
        seen = [
            ['%0200d' % server, 7, 3, 1, 1, 1, 0, [MAX_AMOUNT - 1] * BINS, 40, None, 9, 2]
            for server in range(SERVERS)
        ]
        forwarder_ledger = ForwarderLedger(0, 'f', ['p'], Budgets(k=100), 20, 60)
        digest = dict(
            forwarder_ledger.digest(100, 'p', keys, {}),
            edition=1,
            mosts={},
            heard={},
            seat=2,
            site='z0',
            doubts=[],
            seen=seen,
        )
        ((_, came),) = Frames().feed(pack('digest', digest))
        self.assertEqual(
            (len(came['seen']), len(came['gifts']) + len(came['wants'])),
            (1_024, len(digest['gifts']) + len(digest['wants'])),
        )

    def test_corrupted_bytes_raise_only_bad_frame_error(self):
        rng, data = Random(1), pack('plan', PLAN)
        for _ in range(3_000):
            noise = bytearray(data)
            for _ in range(rng.randint(1, 4)):
                noise[rng.randrange(len(noise))] = rng.randrange(256)
            try:
                Frames().feed(bytes(noise))
            except BadFrameError as err:
                self.assertNotIn('\n', str(err))

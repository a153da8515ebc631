"""The budget of memory: what it grants, refuses and takes back."""

import unittest

from lilacdyke.net.memory import (
    CONNECTION_BYTES,
    LARGE_PIECE,
    MIN_CONNECTIONS,
    MIN_SHARED_BYTES,
    SMALL_HOLDING,
    SMALL_PIECE,
    MemoryBudget,
)

from .helpers import asked, client, connection_up, node
from .test_net import Quiet, status

MEGABYTE = 1 << 20
HEAD = b'PUT /once/k HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\nContent-Length: 60000\r\n\r\n'


class Holder:
    def __init__(self, held):
        self.held, self.charged = held, 0

    def held_bytes(self):
        return self.held


class Budget(unittest.TestCase):
    def test_shared_part_and_connections_fit_what_is_usable(self):
        for megabytes in (8, 31, 64, 160):
            for connections in (112, 496):
                with self.subTest(megabytes=megabytes, connections=connections):
                    budget = MemoryBudget(megabytes * MEGABYTE, connections)
                    self.assertLessEqual(
                        budget.shared + budget.connections * CONNECTION_BYTES, megabytes * MEGABYTE
                    )
                    self.assertLessEqual(budget.connections, connections)

    def test_process_without_memory_still_serves_a_few(self):
        budget = MemoryBudget(-5 * MEGABYTE, 496)
        self.assertEqual((budget.connections, budget.shared), (MIN_CONNECTIONS, MIN_SHARED_BYTES))

    def test_no_more_connections_than_descriptors_allow(self):
        self.assertEqual(MemoryBudget(-5 * MEGABYTE, 8).connections, 8)

    def test_small_requests_are_refused_last(self):
        budget = MemoryBudget(0, 8)
        small, large = Holder(SMALL_HOLDING), Holder(SMALL_HOLDING + 1)
        seen = []
        for held in (0, MIN_SHARED_BYTES, MIN_SHARED_BYTES * 5 // 4):
            budget.total = held
            seen.append((budget.admits(small), budget.admits(large), budget.piece_size))
        self.assertEqual(
            seen, [(True, True, LARGE_PIECE), (True, False, SMALL_PIECE), (False, False, SMALL_PIECE)]
        )

    def test_paused_holders_resume_once_others_hold_less(self):
        budget, resumed = MemoryBudget(0, 8), []
        budget.resume = lambda: resumed.extend(budget.take_paused())
        large, waiting = Holder(MIN_SHARED_BYTES), Holder(SMALL_HOLDING + 1)
        budget.update(large), budget.update(waiting)
        before = budget.must_wait(waiting)
        budget.pause(waiting)
        budget.release(large)
        self.assertEqual((before, resumed, budget.must_wait(waiting)), (True, [waiting], False))

    def test_holder_that_ends_is_charged_nothing(self):
        budget, holder = MemoryBudget(0, 8), Holder(700)
        budget.update(holder), budget.release(holder), budget.release(holder)
        self.assertEqual((budget.total, budget.peak), (0, 700))


class OverBudget(Quiet):
    """A node whose connections hold all that they may share."""

    def half_bodies(self, made, count):
        """Connect clients that send the head and most of a body; return their wires."""
        wires = []
        for number in range(count):
            protocol, wire = client(made)
            protocol.dataReceived(HEAD % number + b'x' * 50_000)
            wires.append(wire)
        return wires

    def fill(self):
        made = node()
        made.memory.resize(0, 496)
        return made, self.half_bodies(made, MIN_SHARED_BYTES // 50_000 + 12)

    def test_requests_are_refused_at_once_and_harmlessly(self):
        made, _ = self.fill()
        wire = asked(made)
        self.assertEqual((status(wire), made.counts['refused_memory'], made.counts['taken']), (503, 1, 0))

    def test_holders_without_progress_are_ended_and_others_served(self):
        made, wires = self.fill()
        made.reactor.pump([0.1] * 8)
        ended = [wire for wire in wires if status(wire) == 503]
        self.assertEqual((len(ended), made.counts['ended_for_memory']), (len(ended), len(ended)))
        self.assertTrue(0 < len(ended) < len(wires))
        wire = asked(made)
        connection_up(made)
        self.assertIsNone(status(wire))

    def test_nothing_is_charged_once_all_have_gone(self):
        made, wires = self.fill()
        for connection in list(made.listener.table):
            connection.connectionLost()
        self.assertEqual((made.memory.total, len(made.memory.paused)), (0, 0))

    def test_connections_that_are_being_opened_hold_nothing(self):
        """Guards against a review, or a line of figures, that fails on them and is not repeated."""
        made, _ = self.fill()
        made.memory.resize(64 * MEGABYTE, 496)
        asked(made)  # its connection to a server is being opened
        made.memory.resize(0, 496)
        made.listener.review_memory()
        self.assertEqual((made.caches.open, made.figures.held()['held_answers']), (1, 0))

"""Limits shared by a fleet: the file, the budgets, decisions of forwarders and planners, malformed frames."""

import tempfile
import unittest
from random import Random

import msgspec
from twisted.internet.testing import StringTransport

from lilacdyke.logic import Server
from lilacdyke.plan import limits
from lilacdyke.plan.forwarder import Forwarder
from lilacdyke.plan.frames import PLAN, pack
from lilacdyke.plan.ledger import Budgets, ForwarderLedger, max_elapsed
from lilacdyke.plan.limits import GRAINS_PER_UNIT
from lilacdyke.plan.link import PlannerFactory, ToPlanner
from lilacdyke.plan.planner import Planner
from lilacdyke.plan.shares import TOKENS_PER_GRAIN, FleetLimits
from lilacdyke.values import InvalidValueError

from ..helpers import terms

LEASE = 10_000
TEXT = """
enabled = true
installation = "here"
seats = 3
lease_s = 1.0
longest_s = 1.0
[[planner]]
name = "p0"
address = "127.0.0.1:7100"
[[planner]]
name = "p1"
address = "127.0.0.1:7101"
[[planner]]
name = "p2"
address = "127.0.0.1:7102"
[[limit]]
name = "reads"
what = "requests"
most = 100.0
class = "read"
[[limit]]
name = "open"
what = "open"
most = 10.0
floor = 5.0
"""


def read(text=TEXT):
    with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
        file.write(text)
        file.flush()
        return limits.read(file.name)


def with_limits(fleet, **most):
    rows = [
        msgspec.structs.replace(
            limit, most=most.get(limit.name, limit.most), floor=limit.in_grains()[1] / GRAINS_PER_UNIT
        )
        for limit in fleet.limit
    ]
    return msgspec.structs.replace(fleet, limit=rows, edition=fleet.edition + 1)


class FleetFile(unittest.TestCase):
    def test_invalid_file_raises_one_line_that_names_the_key(self):
        for old, new, key in (
            ('seats = 3', 'seats = 0', 'seats'),
            ('what = "open"', 'what = "opened"', 'what'),
            ('most = 10.0', 'most = 0.5', 'most'),
            ('floor = 5.0', 'floor = 50.0', 'floor'),
            ('name = "p1"', 'name = "p0"', 'planner'),
            ('127.0.0.1:7101', 'planner.internal:7101', 'planner'),
            ('lease_s', 'lease', 'lease'),
            ('seats = 3', '', 'seats'),
            ('name = "open"', 'name = "reads"', 'limit'),
            ('enabled = true', 'enabled = ', ''),
        ):
            with self.subTest(new=new), self.assertRaisesRegex(InvalidValueError, key) as found:
                read(TEXT.replace(old, new))
            self.assertNotIn('\n', str(found.exception))

    def test_fleet_must_be_enabled_for_this_installation(self):
        limits.require_enabled(read(), 'here')
        for text, place in ((TEXT, None), (TEXT, 'there'), (TEXT.replace('true', 'false'), 'here')):
            with self.subTest(place=place), self.assertRaises(InvalidValueError):
                limits.require_enabled(read(text), place)

    def test_parts_add_up_to_at_most_the_limit(self):
        for seats in (1, 3, 7, 40):
            fleet = msgspec.structs.replace(read(), seats=seats)
            for limit in fleet.limit:
                parts = [fleet.seat_parts(seat)[limit.name] for seat in range(seats)]
                parts += [fleet.planner_budget(index, fleet.mosts())[limit.name] for index in range(3)]
                most, _ = limit.in_grains()
                self.assertTrue(most - seats - 3 <= sum(parts) <= most)
                self.assertTrue(not limit.concurrent or all(part % GRAINS_PER_UNIT == 0 for part in parts))

    def test_invalid_seat_owns_nothing(self):
        self.assertEqual([dict(read().seat_parts(seat)) for seat in (None, 3, -1)], [{}, {}, {}])


class Enforcement(unittest.TestCase):
    """A forwarder whose seat has been its own for longer than any deposit lasts."""

    def setUp(self):
        self.fleet, self.terms = read(), terms()
        self.forwarder_ledger = ForwarderLedger(
            -1_000_000,
            'f',
            ['p0'],
            self.fleet.seat_parts(0),
            LEASE,
            self.fleet.deposit_term,
            self.fleet.lease_tails(),
            self.fleet.units(),
        )
        self.fleet_limits = FleetLimits(0, self.fleet, self.forwarder_ledger, self.terms.profiles)
        self.read, _, self.once = self.terms.profiles

    def test_rate_limit_admits_its_part_and_a_burst(self):
        own = self.forwarder_ledger.own['reads'] / GRAINS_PER_UNIT  # 16.7 per second
        admitted = 0
        for now in range(0, 100_000, 10):
            if self.fleet_limits.admit(now, self.read) is None:
                admitted += 1
                self.fleet_limits.spent['open'].open = 0
        self.assertTrue(0.93 * 10 * own <= admitted <= 10 * own + 2, admitted)

    def test_only_canary_probes_server_that_is_down(self):
        server, other, held = Server('c1', False), Server('c2', False), []
        self.fleet_limits.is_down = lambda now, server: server.name == 'c1'
        before = self.fleet_limits.allows(0, server, False)
        self.fleet_limits.is_canary = lambda: bool(held)
        without = self.fleet_limits.allows(0, server, False), self.fleet_limits.allows(0, other, False)
        held.append(True)
        self.assertEqual(
            (before, without, self.fleet_limits.allows(0, server, False)), (True, (False, True), True)
        )

    def test_probes_are_limited_for_each_server_that_is_down(self):
        fleet = limits.check(
            msgspec.structs.replace(
                self.fleet,
                verdicts=limits.Verdicts(),
                limit=[limits.Limit(name='tries', what='tries', most=3.0, floor=3.0)],
            )
        )
        forwarder_ledger = ForwarderLedger(
            -1_000_000,
            'f',
            ['p0'],
            fleet.seat_parts(0),
            LEASE,
            fleet.deposit_term,
            fleet.lease_tails(),
            fleet.units(),
        )
        fleet_limits, server, other = (
            FleetLimits(0, fleet, forwarder_ledger, self.terms.profiles),
            Server('c1', False),
            Server('c2', False),
        )
        fleet_limits.is_down = lambda now, server: server.name == 'c1'
        sent = 0
        for now in range(0, 50_000, 100):
            if fleet_limits.allows(now, server, False):
                fleet_limits.sent(now, server, False)
                sent += 1
            self.assertTrue(fleet_limits.allows(now, other, False))
        self.assertIn(sent, (4, 5))  # one per second, from an empty bucket

    def test_idle_time_does_not_accumulate_tokens(self):
        self.fleet_limits.admit(0, self.read)
        admitted = sum(self.fleet_limits.admit(50_000, self.read) is None for _ in range(20))
        self.assertLessEqual(admitted, 2)

    def test_concurrency_limit_refuses_until_a_request_ends(self):
        statuses = [
            self.fleet_limits.admit(0, self.once) for _ in range(3)
        ]  # 5 of 10 are divided among 3 seats: two here
        self.fleet_limits.done(self.once)
        self.assertEqual((statuses, self.fleet_limits.admit(0, self.once)), ([None, None, 429], None))

    def test_refused_request_uses_none_of_its_limits(self):
        for _ in range(2):
            self.fleet_limits.admit(0, self.once)
        self.fleet_limits.admit(50_000, self.read)
        self.assertEqual(
            (
                self.fleet_limits.spent['open'].open,
                self.fleet_limits.spent['reads'].tokens > GRAINS_PER_UNIT * TOKENS_PER_GRAIN,
            ),
            (2, True),
        )

    def test_limit_of_another_class_does_not_apply(self):
        fleet = msgspec.structs.replace(self.fleet, limit=[self.fleet.limit[0]])
        fleet_limits = FleetLimits(0, fleet, self.forwarder_ledger, self.terms.profiles)
        self.assertEqual([fleet_limits.admit(0, self.once) for _ in range(50)], [None] * 50)

    def test_usage_is_tracked_for_1024_servers(self):
        fleet = msgspec.structs.replace(
            self.fleet,
            limit=[
                limits.Limit(name='cold', what='cold', most=30.0),
                limits.Limit(name='links', what='links', most=2.0, floor=2.0),
            ],
        )
        forwarder_ledger = ForwarderLedger(
            -1_000_000,
            'f',
            ['p0'],
            fleet.seat_parts(0),
            LEASE,
            fleet.deposit_term,
            fleet.lease_tails(),
            fleet.units(),
        )
        fleet_limits, servers = (
            FleetLimits(0, fleet, forwarder_ledger, self.terms.profiles),
            [Server('s%d' % number, False) for number in range(1_024)],
        )
        for now in (0, 5_000):
            for server in servers:
                fleet_limits.allows(now, server, True)
                fleet_limits.links(now, server)
        for server in servers:
            while fleet_limits.allows(5_000, server, True):
                fleet_limits.sent(5_000, server, True)
        self.assertEqual([fleet_limits.allows(5_000, server, True) for server in servers].count(True), 0)

    def test_cold_limit_applies_to_each_server_separately(self):
        fleet = msgspec.structs.replace(self.fleet, limit=[limits.Limit(name='cold', what='cold', most=30.0)])
        forwarder_ledger = ForwarderLedger(
            -1_000_000, 'f', ['p0'], fleet.seat_parts(0), LEASE, fleet.deposit_term
        )
        fleet_limits, one, other = (
            FleetLimits(0, fleet, forwarder_ledger, self.terms.profiles),
            Server('a', False),
            Server('b', False),
        )
        for server in (one, other):
            fleet_limits.allows(0, server, True)
        found = [fleet_limits.allows(5_000, one, True)]
        for _ in range(2):
            fleet_limits.sent(5_000, one, True)
        found += [
            fleet_limits.allows(5_000, one, True),
            fleet_limits.allows(5_000, one, False),
            fleet_limits.allows(5_000, other, True),
        ]
        self.assertEqual(found, [True, False, True, True])

    def test_unused_budget_is_spared_and_refused_demand_is_wanted(self):
        spare, wants = self.fleet_limits.needs(10_000, [])
        for _ in range(400):
            self.fleet_limits.admit(15_000, self.read)
        _, after = self.fleet_limits.needs(20_000, [])
        self.assertEqual((spare['reads'], wants), (self.forwarder_ledger.own['reads'], {}))
        self.assertGreater(after['reads'], 2 * self.forwarder_ledger.own['reads'])


class ForwarderLinks(unittest.TestCase):
    """Decisions of a forwarder about its links."""

    def setUp(self):
        self.fleet = read()
        self.forwarder_ledger = ForwarderLedger(
            -1_000_000, 'f', ['p0', 'p1', 'p2'], self.fleet.seat_parts(0), LEASE, self.fleet.deposit_term
        )
        self.forwarder = Forwarder(
            0, self.fleet, self.forwarder_ledger, lambda now: ({}, {}), dict, Random(1).random
        )

    def until(self, end, begin=0):
        """Return all decisions up to then, polled every millisecond."""
        found = []
        for now in range(begin, end, 10):
            while decision := self.forwarder.decide(now):
                found.append((now, *decision))
        return found

    def test_dials_all_planners_with_growing_backoff(self):
        dials = [(now, name) for now, what, name, *_ in self.until(400_000) if what == 'dial']
        times = [now for now, name in dials if name == 'p0']
        gaps = [later - now for now, later in zip(times, times[1:])]
        self.assertTrue(
            len({name for _, name in dials}) == 3 and 5 <= len(times) < 25 and max(gaps) > 3 * LEASE, gaps
        )

    def test_redials_of_a_fleet_are_spread(self):
        seconds = []
        for seed in range(300):
            forwarder = Forwarder(
                0, self.fleet, self.forwarder_ledger, lambda now: ({}, {}), dict, Random(seed).random
            )
            forwarder.planners['p0'].failures = 8
            forwarder.link_down(0, 'p0')
            seconds.append(forwarder.planners['p0'].next_action // 10_000)
        self.assertLess(max(seconds.count(second) for second in set(seconds)), 110)

    def test_silent_link_is_closed(self):
        self.until(LEASE)
        self.forwarder.link_up(LEASE, 'p0')
        ends = [
            (now, name, why)
            for now, what, name, *more in self.until(5 * LEASE, LEASE)
            if what == 'end'
            for why in more
            if name == 'p0'
        ]
        self.assertEqual([row[1:] for row in ends][:1], [('p0', 'silent')])
        self.assertLessEqual(ends[0][0], LEASE + 2 * max_elapsed(LEASE) + 10)

    def test_no_digest_for_a_peer_that_does_not_read(self):
        self.forwarder.link_up(0, 'p0')
        self.forwarder.written('p0', False)
        sent = [what for _, what, *_ in self.until(LEASE) if what == 'say']
        self.assertEqual(sent, [])

    def test_newer_edition_is_adopted_only_if_it_fits(self):
        lower = {'reads': 60 * GRAINS_PER_UNIT, 'open': 10 * GRAINS_PER_UNIT}
        heard = [
            self.forwarder.adopt_limits(2, lower),
            self.forwarder.adopt_limits(3, {'reads': 1}),
            self.forwarder.adopt_limits(1, self.fleet.mosts()),
        ]
        self.assertEqual(
            (heard, self.forwarder.edition, self.forwarder.mosts), ([True, False, True], 2, lower)
        )

    def test_lease_from_one_planner_is_not_wanted_from_others(self):
        self.forwarder.needs = lambda now: ({}, {'reads': 9_000})
        for planner, lent in (('p0', 5_000), ('p1', 1_000)):
            digest = self.forwarder.digest(0, planner)
            self.forwarder_ledger.apply_plan(
                0,
                planner,
                {
                    'forwarder': 'f',
                    'seq': digest['seq'],
                    'life': planner,
                    'version': 1,
                    'stamp': 0,
                    'leases': {'reads': lent},
                    'forwarders': 1,
                },
            )
        self.assertEqual(
            [self.forwarder.digest(1, name)['wants']['reads'] for name in ('p0', 'p1', 'p2')],
            [8_000, 4_000, 3_000],
        )


class PlannerDecisions(unittest.TestCase):
    def setUp(self):
        self.fleet = read()
        self.planner = Planner(0, 'b', self.fleet, 0)
        self.now = 100_000
        self.forwarder_ledger = ForwarderLedger(
            -1_000_000,
            'f',
            ['p0', 'p1', 'p2'],
            Budgets(),
            LEASE,
            self.fleet.deposit_term,
            self.fleet.lease_tails(),
            self.fleet.units(),
        )

    def exchange(self, wants=(), heard=(), now=None, **more):
        """Exchange a digest and its plan without delay. Return the plan."""
        now = self.now if now is None else now
        digest = dict(
            self.forwarder_ledger.digest(now, 'p0', {}, dict(wants)),
            edition=1,
            mosts=self.fleet.mosts(),
            heard=dict(heard),
        )
        plan = self.planner.process_digest(now, dict(digest, **more))
        self.forwarder_ledger.apply_plan(now, 'p0', plan)
        return plan

    def test_planner_without_quorum_lends_nothing_of_its_own(self):
        self.exchange()
        alone = self.exchange({'reads': 9 * GRAINS_PER_UNIT})['leases']
        backed = self.exchange({'reads': 9 * GRAINS_PER_UNIT}, {'p1': 50})['leases']
        self.assertEqual((alone, backed), ({}, {'reads': 9 * GRAINS_PER_UNIT}))

    def test_stale_or_unknown_answers_do_not_count_for_quorum(self):
        first = self.exchange(
            {'reads': 9 * GRAINS_PER_UNIT}, {'p1': 50}
        )  # the first digest echoes no plan of this life
        self.exchange()
        old = self.exchange({'reads': 9 * GRAINS_PER_UNIT}, {'p1': 3 * LEASE})
        stranger = self.exchange({'reads': 9 * GRAINS_PER_UNIT}, {'p9': 1})
        self.assertEqual((first['leases'], old['leases'], stranger['leases']), ({}, {}, {}))

    def test_quorum_expires_without_answers(self):
        self.exchange()
        self.exchange({}, {'p1': 0})
        end = self.now + self.planner.window
        self.assertEqual((self.planner.has_quorum(end - 1), self.planner.has_quorum(end + 1)), (True, False))

    def test_lowered_limit_spreads_through_forwarders_and_applies_at_once(self):
        self.exchange(), self.exchange({}, {'p1': 0})
        before = self.exchange({'reads': 90 * GRAINS_PER_UNIT}, {'p1': 0})['leases']['reads']
        lower = dict(self.fleet.mosts(), reads=62 * GRAINS_PER_UNIT)
        plan = self.exchange({'reads': 90 * GRAINS_PER_UNIT}, {'p1': 0}, edition=2, mosts=lower)
        self.assertEqual(
            (before, plan['leases']['reads'], plan['edition'], plan['mosts']),
            (50_000 // 3, 4 * GRAINS_PER_UNIT, 2, lower),
        )

    def test_lower_values_apply_for_two_contents_of_one_edition(self):
        self.planner.adopt_limits(1, dict(self.fleet.mosts(), reads=70 * GRAINS_PER_UNIT))
        self.planner.adopt_limits(1, dict(self.fleet.mosts(), open=8 * GRAINS_PER_UNIT))
        self.assertEqual(self.planner.mosts, {'reads': 70 * GRAINS_PER_UNIT, 'open': 8 * GRAINS_PER_UNIT})

    def test_reload_requires_higher_edition_and_same_floors(self):
        good = with_limits(self.fleet, reads=80.0)
        floors = msgspec.structs.replace(
            good, limit=[msgspec.structs.replace(limit, floor=1.0) for limit in good.limit]
        )
        reasons = [self.planner.reload(fleet) for fleet in (floors, good, good)]
        self.assertEqual((reasons[1], self.planner.mosts['reads']), (None, 80 * GRAINS_PER_UNIT))
        self.assertTrue('floor' in reasons[0] and 'edition' in reasons[2])


class LinkProtocols(unittest.TestCase):
    def factory(self, most=2):
        from collections import Counter

        self.counts = Counter()
        return PlannerFactory(self.counts, most, lambda digest: None)

    def test_malformed_bytes_close_only_that_link(self):
        factory = self.factory()
        links = []
        for _ in range(2):
            link, wire = factory.buildProtocol(None), RecordingTransport()
            link.makeConnection(wire)
            links.append((link, wire))
        with self.assertLogs('lilacdyke', 'WARNING'):
            links[0][0].dataReceived(b'\x00\x00\x00\x03abc')
        self.assertEqual(
            ([wire.disconnecting or wire.aborted for _, wire in links], self.counts['bad_frames']),
            ([True, False], 1),
        )

    def test_oldest_link_is_dropped_beyond_the_maximum(self):
        factory, wires = self.factory(), []
        for _ in range(3):
            link, wire = factory.buildProtocol(None), RecordingTransport()
            link.makeConnection(wire)
            wires.append(wire)
        self.assertEqual([wire.aborted for wire in wires], [True, False, False])

    def test_no_frame_is_queued_behind_an_unsent_one(self):
        link, wire = ToPlanner(None, 'p0'), RecordingTransport()
        link.transport = wire
        wire.dataBuffer = b'left'
        self.assertEqual((link.say(PLAN, {}), wire.value()), (False, b''))

    def test_absurd_plan_is_capped_at_the_total(self):
        forwarder_ledger = ForwarderLedger(
            -1_000_000, 'f', ['p0'], Budgets(k=5), LEASE, 3 * LEASE, whole=Budgets(k=20)
        )
        digest = forwarder_ledger.digest(0, 'p0', {}, {'k': 3})
        plan = {
            'forwarder': 'f',
            'seq': digest['seq'],
            'life': 'b',
            'version': 1,
            'stamp': 0,
            'leases': {'k': 1 << 39},
            'forwarders': 1,
        }
        self.assertEqual(
            (
                forwarder_ledger.apply_plan(0, 'p0', plan),
                forwarder_ledger.spendable(0, 'k'),
                forwarder_ledger.spendable(LEASE, 'k'),
            ),
            (True, 20, 5),
        )

    def test_plan_with_unknown_forwarder_or_seq_is_ignored(self):
        forwarder_ledger = ForwarderLedger(-1_000_000, 'f', ['p0'], Budgets(k=5), LEASE, 3 * LEASE)
        plan = {
            'forwarder': 'g',
            'seq': 1,
            'life': 'b',
            'version': 1,
            'stamp': 0,
            'leases': {'k': 1 << 39},
            'forwarders': 1,
        }
        pack(PLAN, plan)  # the largest amount that a frame may carry
        self.assertEqual(
            (forwarder_ledger.apply_plan(0, 'p0', plan), forwarder_ledger.spendable(0, 'k')), (False, 5)
        )


class RecordingTransport(StringTransport):
    """A transport that records how it was closed."""

    dataBuffer, offset, _tempDataBuffer, aborted = b'', 0, [], False

    def setTcpNoDelay(self, on):
        """Nothing to set."""

    def abortConnection(self):
        self.aborted = True


if __name__ == '__main__':
    unittest.main()

"""Cache server models, the HTTP parser, scenario files and shrinking, without a network."""

import unittest
from random import Random
from unittest import mock

from msgspec.structs import replace

from lilacdyke.lab import draw
from lilacdyke.lab import scenario as scenarios
from lilacdyke.lab.parts.model import Fleet, Job, Model
from lilacdyke.lab.parts.wire import MalformedMessage, Parser, answer, chunked_answer
from lilacdyke.lab.scenario import BadScenario, Event, Kind, Profile, Scenario
from lilacdyke.lab.shrink import shrink
from lilacdyke.lab.sweep import put
from lilacdyke.lab.world import World

READ = Profile(name='read')
NOTE = Profile(name='note', effect='guarded', write=True, window_s=1.0)


class ServerModel(unittest.TestCase):
    def setUp(self):
        self.world, self.fleet, self.rows, self.finished = World(1), Fleet(), [], []

    def model(self, name='c0', origin=False, started=0, cores=1, queue=1, zone='a', **other):
        scenario = Scenario(
            name='x', caches=scenarios.Caches(**other), rules=scenarios.Rules(warm_s=10.0, cold_from=0.2)
        )
        server = Model(
            name,
            scenario,
            Kind(cores=cores, queue=queue),
            zone,
            0,
            self.fleet,
            lambda: self.world.now,
            self.world.later,
            self.world.cancel,
            Random(1),
            lambda *row: self.rows.append(row),
            started,
            origin,
        )
        self.fleet.servers[name] = server
        return server

    def job(self, number, profile=READ, key='k', idempotency_key='', work=10_000, until=10**9):
        return Job(
            number,
            'id%d' % number,
            idempotency_key,
            key,
            profile,
            work,
            until,
            lambda job: self.finished.append((job.hop, job.outcome, self.world.now)),
        )

    def test_jobs_run_in_order_and_a_full_queue_declines(self):
        server = self.model(origin=True)
        accepted = [server.offer(self.job(number)) for number in range(3)]
        self.world.run(10**6)
        self.assertEqual(
            (accepted, self.finished), ([True, True, False], [(0, 'served', 10_001), (1, 'served', 20_002)])
        )

    def test_capacity_grows_during_warm_up(self):
        server = self.model(started=1)
        self.world.now = 1
        first = server.capacity_share()
        self.assertEqual(
            (first, round(server.capacity_share(5_000_001), 6), server.capacity_share(10**8)), (0.2, 0.6, 1.0)
        )

    def test_value_is_stored_when_the_origin_serves_a_missed_key(self):
        cache, origin = self.model(miss_cost=0.5), self.model('origin', origin=True)
        del self.fleet.servers['origin']
        cache.offer(self.job(1))
        self.world.run(10**5)
        again = self.job(2)
        again.id = 'id1'
        origin.offer(again)
        self.world.run(10**6)
        self.assertEqual(
            ([row[1] for row in self.finished], cache.has_fresh('k')), (['miss', 'served'], True)
        )

    def test_write_invalidates_cached_copies(self):
        cache, origin = self.model(), self.model('origin', origin=True)
        cache.store('k')
        origin.offer(self.job(1, NOTE, idempotency_key='m'))
        self.world.run(10**6)
        self.assertFalse(cache.has_fresh('k'))

    def test_repeat_of_an_idempotency_key_is_dropped_only_within_its_window(self):
        server = self.model(origin=True)
        for number, wait in ((1, 500_000), (2, 2_000_000), (3, 500_000)):
            server.offer(self.job(number, NOTE, idempotency_key='m'))
            self.world.run(self.world.now + wait)
        self.assertEqual(
            [row[:2] for row in self.rows if row[0] != 'worked'],
            [('effect', 1), ('repeat', 2), ('effect', 3)],
        )

    def test_zone_group_does_not_share_idempotency_keys_between_zones(self):
        profile = Profile(name='note', effect='guarded', write=True, group='zone', window_s=1.0)
        one, other = self.model(origin=True), self.model('c1', origin=True, zone='b')
        one.offer(self.job(1, profile, idempotency_key='m'))
        other.offer(self.job(2, profile, idempotency_key='m'))
        self.world.run(10**5)
        self.assertEqual([row[0] for row in self.rows if row[0] != 'worked'], ['effect', 'effect'])

    def test_cancelled_job_does_not_finish(self):
        server, job = self.model(queue=5), self.job(1)
        server.offer(job)
        server.offer(self.job(2))
        server.cancel(job)
        self.world.run(10**6)
        self.assertEqual([row[0] for row in self.finished], [2])

    def test_cold_server_fails_under_overload(self):
        server = self.model(started=1, queue=10_000)
        fallen = []
        server.on_fall = lambda: fallen.append(self.world.now)
        self.world.now = 1
        for number in range(200):
            server.offer(self.job(number))
        self.assertEqual(len(fallen), 1)

    def test_hung_server_answers_after_it_recovers(self):
        server = self.model(origin=True)
        server.hung = True
        server.offer(self.job(1))
        self.world.run(10**6)
        before = list(self.finished)
        server.end_hang()
        self.assertEqual((before, self.finished[0][:2]), ([], (1, 'served')))

    def test_least_recently_used_value_is_evicted(self):
        server = self.model()
        server.keeps = 2
        for key in ('a', 'b'):
            server.store(key)
        server.has_fresh('a')
        server.store('c')
        self.assertEqual([server.has_fresh(key) for key in 'abc'], [True, False, True])


class WireParser(unittest.TestCase):
    def test_messages_are_parsed_byte_by_byte(self):
        parser, data, found = (
            Parser(),
            b'PUT /a/k HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n',
            [],
        )
        for at in range(len(data)):
            parser.feed(data[at : at + 1])
            message = parser.next_message()
            if message:
                found.append((message[0][0], message[2]))
        self.assertEqual(found, [('PUT', b'abc'), ('GET', b'')])

    def test_chunked_bodies_are_parsed_byte_by_byte(self):
        parser, data, found = Parser(), chunked_answer(b'abcdefg', '', 3) + answer(200, b'x'), []
        for at in range(len(data)):
            parser.feed(data[at : at + 1])
            message = parser.next_message()
            if message:
                found.append(message[2])
        self.assertEqual(found, [b'abcdefg', b'x'])

    def test_malformed_messages_are_rejected(self):
        for data in (
            b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n',
            b'HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\n',
            b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc',
            b'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n',
            b'nonsense\r\n\r\n',
            b'GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
            b'GET / HTTP/1.1\r\nno colon\r\n\r\n',
        ):
            parser = Parser()
            parser.feed(data)
            with self.subTest(data=data), self.assertRaises(MalformedMessage):
                parser.next_message()


class Scenarios(unittest.TestCase):
    def test_shipped_scenarios_load(self):
        self.assertGreater(len([scenarios.load(name) for name in scenarios.shipped_names()]), 12)

    def test_scenario_errors_are_one_line(self):
        cases = {
            'name = "x"\nfoo = 1': 'foo',
            'name = 1': 'name',
            'name = "x"\nlength_s = -1': 'length_s',
            'name = "x"\n[[events]]\nat_s = 1\nkind = "slow"\nwhat = [9]': 'no such cache',
            'name = "x"\n[[events]]\nat_s = 1\nkind = "magic"': 'magic',
            'name = "x"\n[[events]]\nat_s = 1\nkind = "burst"\nwhat = [1]': 'no target',
            '[[': 'nvalid',
            'name = "x"\n[[profiles]]\nname = "r"\ngoal_s = 9': 'past its limit',
            'name = "x"\n[[events]]\nat_s = 99\nkind = "burst"': 'past the end',
        }
        for text, expected in cases.items():
            with self.subTest(expected=expected), self.assertRaisesRegex(BadScenario, expected) as caught:
                scenarios.read(text)
            self.assertNotIn('\n', str(caught.exception))

    def test_scenarios_round_trip_through_toml(self):
        for seed in range(30):
            scenario = draw.scenario(seed)
            self.assertEqual(scenarios.read(scenarios.write(scenario)), scenario)

    def test_large_bodies_change_nothing_else_of_a_drawn_scenario(self):
        drawn = [draw.scenario(seed) for seed in range(100)]
        self.assertGreater(
            sum(
                bool(scenario.load.large_share and scenario.caches.untold and scenario.caches.give_ms)
                for scenario in drawn
            ),
            4,
        )
        self.assertGreater(sum(scenario.load.write_bytes > 65_536 for scenario in drawn), 4)
        with mock.patch.object(draw, 'with_large_bodies', lambda scenario, seed: scenario):
            plain = [draw.scenario(seed) for seed in range(100)]
        self.assertEqual(
            [replace(scenario, caches=was.caches, load=was.load) for scenario, was in zip(drawn, plain)],
            plain,
        )
        self.assertEqual([scenario.caches.untold for scenario in map(draw.planned, range(20))], [0.0] * 20)

    def test_put_sets_a_field_by_its_path(self):
        scenario = put(draw.scenario(1), 'load.rate', '7')
        self.assertEqual(scenario.load.rate, 7)
        for path in ('load.speed', 'kinds.9.count', 'nodes.x'):
            with self.subTest(path=path), self.assertRaises(BadScenario):
                put(scenario, path, '1')

    def test_put_rejects_a_value_out_of_range(self):
        with self.assertRaises(BadScenario):
            put(draw.scenario(1), 'nodes', '0')


class Shrinking(unittest.TestCase):
    def test_shrinking_removes_what_the_failure_does_not_need(self):
        scenario = draw.scenario(3)
        needed = Event(at_s=1.0, kind='hung', what=[0], for_s=1.0)
        scenario.events = [Event(at_s=0.5, kind='burst'), needed, Event(at_s=2.0, kind='miss')]
        small, played = shrink(scenario, lambda candidate: needed in candidate.events)
        self.assertEqual((small.events, small.nodes, small.servers, played <= 150), ([needed], 1, 1, True))

    def test_shrinking_keeps_a_scenario_that_cannot_be_reduced(self):
        scenario = draw.scenario(3)
        self.assertEqual(shrink(scenario, lambda candidate: False)[0], scenario)

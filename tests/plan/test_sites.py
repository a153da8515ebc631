"""Capacity planning for the loss of a site: the model, expectations, and a simulated fleet."""

import json
import tempfile
import unittest

from click.testing import CliRunner

from lilacdyke.lab import runs
from lilacdyke.lab import scenario as scenarios
from lilacdyke.lab.scenario import Caches, Clients, Event, Kind, Load, Origin, Profile, Scenario
from lilacdyke.plan import sites
from lilacdyke.plan.site_cli import site
from lilacdyke.plan.sites import Class, Expect, Loss, outcome
from lilacdyke.values import InvalidValueError


def loss(origin=400.0, where=None, rate=300.0, **more):
    """Return three sites with a capacity of 200 each, and two classes, of high and low worth per work."""
    return sites.check(
        Loss(
            site=[sites.Site(name=name, servers=4, bears=50.0) for name in 'abc'],
            origin=sites.Origin(bears=origin, site=where),
            classes=[
                Class(name='dear', rate=100.0, worth=5.0, hit=0.8, keys=1_000.0, floor=0.5),
                Class(name='cheap', rate=rate, worth=1.0, hit=0.5, keys=3_000.0),
            ],
            **more,
        )
    )


def refused(told):
    return {row.name: round(row.refused, 6) for row in told.classes}


class ModelTests(unittest.TestCase):
    def test_normal_operation_refuses_nothing(self):
        told = outcome(loss())
        self.assertEqual(
            (told.borne, told.moved, told.return_s, set(told.full.values())), (True, 0.0, 0.0, {400 / 600})
        )
        self.assertAlmostEqual(told.origin_first, (20 + 150) / 400)

    def test_keys_of_a_lost_site_move_to_the_others_by_capacity(self):
        made = loss()
        made.site[2].servers = 8
        told = outcome(made, ('a',))
        self.assertEqual(told.keys, {'b': 1 / 3, 'c': 2 / 3})
        self.assertEqual((told.moved, told.full), (0.25, {'b': 400 / 600, 'c': 400 / 600}))

    def test_moved_keys_are_misses_at_first(self):
        told = outcome(loss(), ('a',))
        self.assertAlmostEqual(told.origin_first, (100 * (1 - 0.8 * 2 / 3) + 300 * (1 - 0.5 * 2 / 3)) / 400)
        self.assertAlmostEqual(told.origin_later, 170 / 400)

    def test_lowest_worth_per_work_is_refused_first_and_floors_last(self):
        told = outcome(loss(rate=500.0, origin=10_000.0), ('a',))
        self.assertEqual(
            (refused(told), told.borne, told.worth_lost), ({'cheap': 200.0, 'dear': 0.0}, False, 200.0)
        )
        told = outcome(loss(rate=150.0, origin=10_000.0), ('a', 'b'))
        self.assertEqual(refused(told), {'cheap': 50.0, 'dear': 0.0})
        made = loss(rate=10.0, origin=40.0)
        told = outcome(made, ('a', 'b'))
        self.assertEqual(refused(told)['cheap'], 10.0)
        self.assertTrue(0 < refused(told)['dear'] <= 50.0)
        told = outcome(loss(origin=1.0), ('a', 'b'))
        self.assertGreater(refused(told)['dear'], 50.0)  # nothing else is left to refuse

    def test_served_load_never_exceeds_capacity(self):
        for rate in (10.0, 300.0, 900.0):
            for origin in (1.0, 100.0, 1_000.0):
                for where in (None, 'a'):
                    made = loss(origin, where, rate)
                    for lost in sites.loss_cases(made):
                        told = outcome(made, lost)
                        served = {row.name: row.asked - row.refused for row in told.classes}
                        bears = 600 - 200 * len(lost)
                        self.assertLessEqual(sum(served.values()), bears + 1e-6)
                        room = 0.0 if where in lost else origin
                        self.assertLessEqual(sites.origin_load(made, served, told.moved), room + 1e-6)
                        self.assertTrue(all(0 <= row.refused <= row.asked for row in told.classes))

    def test_recovery_takes_warm_up_or_fetching_whichever_is_longer(self):
        self.assertEqual(outcome(loss(), ('a',)).return_s, 20.0)
        self.assertAlmostEqual(outcome(loss(origin=180.0), ('a',)).return_s, 4_000 / 3 / 10)
        self.assertEqual(outcome(loss(origin=170.0), ('a',)).return_s, float('inf'))

    def test_unmet_expectations_are_reported(self):
        made = loss(
            rate=500.0,
            expect=[
                Expect(lost=['a'], refused={'cheap': 0.1, 'dear': 0.0}, origin=0.5, fullest=1.0),
                Expect(lost=[], borne=True),
            ],
        )
        self.assertEqual(
            [expected.split(': ')[1].split()[0] for expected, _ in sites.failed_expectations(made)],
            ['cheap', 'origin'],
        )

    def test_unknown_names_are_rejected(self):
        for more in (
            {'expect': [Expect(lost=['d'])]},
            {'expect': [Expect(lost=['a'], refused={'free': 0.0})]},
            {'where': 'd'},
        ):
            with self.subTest(more=more), self.assertRaises(InvalidValueError):
                loss(**more)


FILE = """enabled = true
installation = "here"
seats = 3
[[planner]]
name = "p0"
address = "127.0.0.1:7100"
[loss.origin]
bears = 400.0
[[loss.site]]
name = "a"
servers = 4
bears = 50.0
[[loss.site]]
name = "b"
servers = 4
bears = 50.0
[[loss.class]]
name = "read"
rate = 300.0
worth = 1.0
hit = 0.9
[[loss.expect]]
lost = ["a"]
borne = true
"""


class CommandTests(unittest.TestCase):
    def run_plan(self, text, *words):
        with tempfile.NamedTemporaryFile('w', suffix='.toml') as file:
            file.write(text)
            file.flush()
            return CliRunner().invoke(site, ['plan', '--file', file.name, *words])

    def test_table_json_and_check(self):
        done = self.run_plan(FILE)
        self.assertEqual(done.exit_code, 0)
        for word in (
            'lost: a',
            'b has 100% of all, 100% full',
            'refused    100.0 a second (33%)',
            'nothing refused: no',
        ):
            self.assertIn(word, done.output)
        (told,) = json.loads(self.run_plan(FILE, '--json', '--lost', 'a').output)
        self.assertEqual((told['lost'], told['borne'], told['classes'][0]['refused']), (['a'], False, 100.0))
        self.assertEqual(self.run_plan(FILE, '--check').exit_code, 1)

    def test_invalid_input_prints_one_line_and_exits_with_2(self):
        for text, words in (
            (FILE, ['--lost', 'x']),
            (FILE[: FILE.index('[loss')], []),
            (FILE.replace('bears = 400.0', 'bears = 0'), []),
            (FILE.replace('servers', 'serve'), []),
        ):
            done = self.run_plan(text, *words)
            self.assertEqual((done.exit_code, len(done.output.splitlines())), (2, 1), done.output)


class SimulationTests(unittest.TestCase):
    def test_key_shares_match_the_model(self):
        """A simulated fleet loses one of three sites; hops by site are within a tenth of the model's."""
        given = scenarios.check(
            Scenario(
                name='lost',
                length_s=14.0,
                nodes=3,
                zones=3,
                kinds=[Kind(count=12, cores=4)],
                caches=Caches(warm_share=1.0, handshake_ms=0.2),
                origin=Origin(cores=24),
                load=Load(rate=250.0, keys=3_000, zipf=0.3),
                clients=Clients(retries=0),
                profiles=[Profile(name='read', work_ms=8.0)],
                events=[Event(at_s=4.0, kind='crash', what=[1, 4, 7, 10], for_s=30.0)],
            )
        )
        rows = runs.one(given, rows=True, hashed=False).rows
        zone = {row[2]: row[5] for row in rows if row[0] == 'server'}
        hops = {name: 0 for name in 'abc'}
        for row in rows:
            if row[0] == 'hop' and row[3] != 'origin' and 9e6 < row[1] < 14e6:
                hops[zone[row[3]]] += 1
        made = Loss(
            site=[sites.Site(name=name, servers=4, bears=400.0) for name in 'abc'],
            origin=sites.Origin(bears=1_000.0),
            classes=[Class(name='read', rate=250.0, worth=1.0)],
        )
        told, lost = None, next(name for name in 'abc' if hops[name] == min(hops.values()))
        told = outcome(made, (lost,))
        total = sum(count for name, count in hops.items() if name != lost)
        for name, share in told.keys.items():
            self.assertLess(abs(hops[name] / total - share), 0.1 * share, hops)


if __name__ == '__main__':
    unittest.main()

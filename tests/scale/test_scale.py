"""Slopes and the capacity page: rows, lines, tables, and that the page is the one that its rows give."""

import os
import tempfile
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.scale import budgets, control, datapath, page, rows, slopes
from lilacdyke.values import BadLine

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TEXT = '# x\n%s\n# y\n' % '\n'.join(
    '%s\nPLACEHOLDER\n%s' % (page.MARKER % name, page.END_MARKER) for name in page.TABLES
)


def row(measure, size, *values, unit='us'):
    return rows.Row(measure, size, unit, list(values), 'lilacdyke scale slopes', 1, 'here')


def all_rows(slope=1.0):
    """Two points of each measurement, on a line through nothing."""
    return [
        row(name, size, slope * size)
        for name, measure in slopes.MEASURES.items()
        for size in measure.sizes[:2]
    ]


class Rows(unittest.TestCase):
    def test_written_and_read_they_are_the_same(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'rows.jsonl')
            rows.write(path, all_rows())
            self.assertEqual(rows.read(path), all_rows())

    def test_a_line_that_is_no_row_is_named(self):
        good = '{"measure":"a","size":1,"unit":"us","values":[1],"command":"c","seed":1,"machine":"m"}\n'
        cases = {
            'nonsense': 'line 2',
            good.replace('1]', '"x"]'): 'values',
            good.replace('"size":1', '"size":1,"more":2'): 'more',
            good.replace('[1]', '[]'): 'there are none',
            '{}': 'measure',
        }
        for text, expected in cases.items():
            with self.subTest(text=text), tempfile.NamedTemporaryFile('w', suffix='.jsonl') as file:
                file.write(good + text)
                file.flush()
                with self.assertRaisesRegex(BadLine, expected):
                    rows.read(file.name)
        with self.assertRaises(BadLine):
            rows.read('/nowhere/rows.jsonl')

    def test_median_and_spread(self):
        self.assertEqual((row('a', 1, 2, 4, 3).median, row('a', 1, 2, 4, 3).spread), (3, 2 / 3))


class Lines(unittest.TestCase):
    def test_a_line_through_points_that_lie_on_one(self):
        found = slopes.fit_line([row('a', size, 5 + 2 * size) for size in (10, 50, 200)], 'a')
        self.assertAlmostEqual(found.base, 5)
        self.assertAlmostEqual(found.slope, 2)
        self.assertEqual((found.covers(200), found.covers(201), found.covers(9)), (True, False, False))

    def test_small_sizes_are_not_drowned_by_the_largest(self):
        found = slopes.fit_line([row('a', 1, 10.0), row('a', 10, 20.0), row('a', 1_000, 3_000.0)], 'a')
        self.assertLess(abs(found.at(1) - 10), 3)

    def test_one_size_gives_no_line(self):
        with self.assertRaises(ValueError):
            slopes.fit_line([row('a', 1, 1)], 'a')


class Measurements(unittest.TestCase):
    """Each is taken once, at the smallest sizes: what it measures is there and grows."""

    def test_each_gives_a_value(self):
        for name, measure in slopes.MEASURES.items():
            with self.subTest(name=name):
                self.assertGreater(measure.prepare(measure.sizes[0], 1)(), 0)

    def test_what_is_counted_and_not_timed_is_the_same_every_time_and_grows(self):
        for name in ('list-bytes', 'link-bytes'):
            prepare = slopes.MEASURES[name].prepare
            with self.subTest(name=name):
                self.assertEqual(prepare(4, 1)(), prepare(4, 1)())
                self.assertGreater(prepare(32, 1)(), 3 * prepare(4, 1)())

    def test_a_read_is_sent_and_answered(self):
        router = datapath.bare_router(5, 1)
        self.assertGreater(datapath.run_read(router, 20_000, 'k'), 20_000)
        self.assertEqual(router.total_out, 0)

    def test_a_round_has_digests_that_give_and_plans_that_lend(self):
        made = control.PlannerRound(4, 2, 1)
        for _ in range(3):
            made.run()
        lent = [forwarder.purse.borrowed(made.now, 'limit-0') for forwarder in made.forwarders]
        self.assertGreater(max(lent), 0)
        self.assertGreater(min(made.digest_bytes, made.plan_bytes, made.planner_s, made.forwarders_s), 0)

    def test_a_voter_says_yes_to_each_renewal(self):
        heard = []
        usual = control.Voter.told

        def recording_told(self, now, message):
            answer = usual(self, now, message)
            heard.append(answer[0]['yes'])
            return answer

        control.Voter.told = recording_told
        try:
            control.voter_message(3, 1)()
        finally:
            control.Voter.told = usual
        self.assertEqual(set(heard), {True})
        self.assertGreater(len(heard), control.RENEWALS_PER_VALUE)


class Page(unittest.TestCase):
    def test_tables_are_made_between_their_marks_and_nothing_else_changes(self):
        made = page.fill(TEXT, all_rows())
        self.assertNotIn('PLACEHOLDER', made)
        self.assertTrue(made.startswith('# x\n') and made.endswith('# y\n'))
        self.assertEqual(page.fill(made, all_rows()), made)

    def test_what_does_not_fit_is_red_with_its_factor_and_what_does_is_not(self):
        cheap, dear = (page.roles_table(all_rows(slope)) for slope in (1e-9, 1e9))
        self.assertNotIn('**red', cheap)
        self.assertEqual(dear.count('**red'), sum(bool(claim.measures) for claim in budgets.CLAIMS))

    def test_a_size_beyond_those_measured_is_called_worked_out(self):
        [line] = [line for line in page.roles_table(all_rows()).split('\n') if 'digests of all nodes' in line]
        self.assertIn('(worked out)', line)

    def test_a_mark_that_is_missing_or_stands_twice_is_named(self):
        for text in (TEXT.replace(page.MARKER % 'roles', ''), TEXT + page.MARKER % 'roles'):
            with self.assertRaisesRegex(BadLine, 'roles'):
                page.fill(text, all_rows())

    def test_runs_stand_side_by_side(self):
        made = [rows.Row('purge-everywhere-most', 9, 'ms', [5.0], 'one', 0, 'here')]
        made.append(rows.Row('purge-everywhere-most' + page.KILLED_SUFFIX, 9, 'ms', [7.0], 'two', 0, 'here'))
        self.assertIn('| purge everywhere most | ms | 5 | 7 |', page.runs_table(made))
        self.assertEqual(page.runs_table(all_rows()), 'None is recorded.')

    def test_bounds_are_those_of_the_code(self):
        found = {bound.subject: bound.limit for bound in budgets.bounds()}
        self.assertEqual((found['seats of a fleet file'], found['planners of a fleet file']), (4_096, 9))

    def test_each_claim_rests_on_measurements_that_there_are(self):
        for claim in budgets.CLAIMS:
            with self.subTest(what=claim.subject):
                self.assertLessEqual(set(claim.measures), set(slopes.MEASURES))
                self.assertEqual(len(claim.measures), len(claim.sizes))

    def test_the_page_in_the_repository_is_the_one_that_its_rows_give(self):
        paths = [os.path.join(ROOT, 'docs', 'capacity', name) for name in ('slopes.jsonl', 'runs.jsonl')]
        text = os.path.join(ROOT, 'docs', 'CAPACITY.md')
        command = ['scale', 'page', '--check', '--rows', paths[0], '--rows', paths[1], '--page', text]
        done = CliRunner().invoke(main, command)
        self.assertEqual((done.exit_code, done.output), (0, ''))

    def test_rows_that_are_not_the_pages_are_found(self):
        with tempfile.TemporaryDirectory() as folder:
            path, text = os.path.join(folder, 'rows.jsonl'), os.path.join(folder, 'page.md')
            rows.write(path, all_rows())
            with open(text, 'w', encoding='utf-8') as file:
                file.write(TEXT)
            command = ['scale', 'page', '--rows', path, '--page', text]
            codes = [
                CliRunner().invoke(main, command + more).exit_code for more in (['--check'], [], ['--check'])
            ]
            self.assertEqual(codes, [1, 0, 0])

    def test_bad_files_are_one_line_and_exit_2(self):
        done = CliRunner().invoke(main, ['scale', 'page', '--rows', '/nowhere'])
        self.assertEqual((done.exit_code, done.output.count('\n')), (2, 1))

    def test_measurements_are_recorded(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'rows.jsonl')
            command = ['scale', 'slopes', 'list-bytes', '--repeats', '2', '--largest', '50', '--out', path]
            done = CliRunner().invoke(main, command)
            found = [(row.measure, row.size, len(row.values)) for row in rows.read(path)]
        self.assertEqual((done.exit_code, found), (0, [('list-bytes', 10, 2), ('list-bytes', 50, 2)]))

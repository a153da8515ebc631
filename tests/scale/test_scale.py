"""Measurements, fitted lines and the capacity page, whose tables must match the recorded rows."""

import os
import tempfile
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.scale import budgets, control, datapath, page, rows, slopes
from lilacdyke.values import InvalidValueError

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TEXT = '# x\n%s\n# y\n' % '\n'.join(
    '%s\nPLACEHOLDER\n%s' % (page.MARKER % name, page.END_MARKER) for name in page.TABLES
)


def row(measure, size, *values, unit='us'):
    return rows.Row(measure, size, unit, list(values), 'lilacdyke scale slopes', 1, 'here')


def all_rows(slope=1.0):
    """Two points of each measurement, on a line through the origin."""
    return [
        row(name, size, slope * size)
        for name, measure in slopes.MEASURES.items()
        for size in measure.sizes[:2]
    ]


class Rows(unittest.TestCase):
    def test_written_rows_are_read_back(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'rows.jsonl')
            rows.write(path, all_rows())
            self.assertEqual(rows.read(path), all_rows())

    def test_invalid_line_is_reported_with_its_number_or_key(self):
        good = '{"measure":"a","size":1,"unit":"us","values":[1],"command":"c","seed":1,"machine":"m"}\n'
        cases = {
            'nonsense': 'line 2',
            good.replace('1]', '"x"]'): 'values',
            good.replace('"size":1', '"size":1,"more":2'): 'more',
            good.replace('[1]', '[]'): 'is empty',
            '{}': 'measure',
        }
        for text, expected in cases.items():
            with self.subTest(text=text), tempfile.NamedTemporaryFile('w', suffix='.jsonl') as file:
                file.write(good + text)
                file.flush()
                with self.assertRaisesRegex(InvalidValueError, expected):
                    rows.read(file.name)
        with self.assertRaises(InvalidValueError):
            rows.read('/nowhere/rows.jsonl')

    def test_median_and_spread(self):
        self.assertEqual((row('a', 1, 2, 4, 3).median, row('a', 1, 2, 4, 3).spread), (3, 2 / 3))


class Lines(unittest.TestCase):
    def test_line_through_collinear_points_is_exact(self):
        found = slopes.fit_line([row('a', size, 5 + 2 * size) for size in (10, 50, 200)], 'a')
        self.assertAlmostEqual(found.base, 5)
        self.assertAlmostEqual(found.slope, 2)
        self.assertEqual((found.covers(200), found.covers(201), found.covers(9)), (True, False, False))

    def test_largest_size_does_not_dominate_the_fit(self):
        found = slopes.fit_line([row('a', 1, 10.0), row('a', 10, 20.0), row('a', 1_000, 3_000.0)], 'a')
        self.assertLess(abs(found.at(1) - 10), 3)

    def test_single_size_cannot_be_fitted(self):
        with self.assertRaises(ValueError):
            slopes.fit_line([row('a', 1, 1)], 'a')


class Measurements(unittest.TestCase):
    """Each measurement is taken once, at its smallest sizes."""

    def test_each_measurement_returns_a_positive_value(self):
        for name, measure in slopes.MEASURES.items():
            with self.subTest(name=name):
                self.assertGreater(measure.prepare(measure.sizes[0], 1)(), 0)

    def test_byte_counts_are_deterministic_and_grow_with_size(self):
        for name in ('list-bytes', 'link-bytes'):
            prepare = slopes.MEASURES[name].prepare
            with self.subTest(name=name):
                self.assertEqual(prepare(4, 1)(), prepare(4, 1)())
                self.assertGreater(prepare(32, 1)(), 3 * prepare(4, 1)())

    def test_read_is_sent_and_answered(self):
        router = datapath.bare_router(5, 1)
        self.assertGreater(datapath.run_read(router, 20_000, 'k'), 20_000)
        self.assertEqual(router.total_out, 0)

    def test_forwarders_borrow_in_planner_rounds(self):
        planner_round = control.PlannerRound(4, 2, 1)
        for _ in range(3):
            planner_round.run()
        lent = [
            forwarder.forwarder_ledger.leased(planner_round.now, 'limit-0')
            for forwarder in planner_round.forwarders
        ]
        self.assertGreater(max(lent), 0)
        self.assertGreater(
            min(
                planner_round.digest_bytes,
                planner_round.plan_bytes,
                planner_round.planner_s,
                planner_round.forwarders_s,
            ),
            0,
        )

    def test_voter_accepts_each_renewal(self):
        answers = []
        usual = control.Voter.on_message

        def record_answer(self, now, message):
            answer = usual(self, now, message)
            answers.append(answer[0]['yes'])
            return answer

        control.Voter.on_message = record_answer
        try:
            control.voter_message(3, 1)()
        finally:
            control.Voter.on_message = usual
        self.assertEqual(set(answers), {True})
        self.assertGreater(len(answers), control.RENEWALS_PER_VALUE)


class Page(unittest.TestCase):
    def test_only_text_between_markers_is_replaced(self):
        filled = page.fill(TEXT, all_rows())
        self.assertNotIn('PLACEHOLDER', filled)
        self.assertTrue(filled.startswith('# x\n') and filled.endswith('# y\n'))
        self.assertEqual(page.fill(filled, all_rows()), filled)

    def test_only_claims_over_budget_are_red(self):
        cheap, dear = (page.roles_table(all_rows(slope)) for slope in (1e-9, 1e9))
        self.assertNotIn('**red', cheap)
        self.assertEqual(dear.count('**red'), sum(bool(claim.measures) for claim in budgets.CLAIMS))

    def test_extrapolated_figure_is_labelled(self):
        [line] = [line for line in page.roles_table(all_rows()).split('\n') if 'digests of all nodes' in line]
        self.assertIn('(worked out)', line)

    def test_missing_or_duplicate_marker_is_reported(self):
        for text in (TEXT.replace(page.MARKER % 'roles', ''), TEXT + page.MARKER % 'roles'):
            with self.assertRaisesRegex(InvalidValueError, 'roles'):
                page.fill(text, all_rows())

    def test_runs_are_shown_in_columns(self):
        run_rows = [rows.Row('purge-everywhere-most', 9, 'ms', [5.0], 'one', 0, 'here')]
        run_rows.append(
            rows.Row('purge-everywhere-most' + page.KILLED_SUFFIX, 9, 'ms', [7.0], 'two', 0, 'here')
        )
        self.assertIn('| purge everywhere most | ms | 5 | 7 |', page.runs_table(run_rows))
        self.assertEqual(page.runs_table(all_rows()), 'None is recorded.')

    def test_bounds_match_the_code(self):
        found = {bound.subject: bound.limit for bound in budgets.bounds()}
        self.assertEqual((found['seats of a fleet file'], found['planners of a fleet file']), (4_096, 9))

    def test_each_claim_uses_existing_measurements(self):
        for claim in budgets.CLAIMS:
            with self.subTest(what=claim.subject):
                self.assertLessEqual(set(claim.measures), set(slopes.MEASURES))
                self.assertEqual(len(claim.measures), len(claim.sizes))

    def test_page_in_repository_matches_its_rows(self):
        paths = [os.path.join(ROOT, 'docs', 'capacity', name) for name in ('slopes.jsonl', 'runs.jsonl')]
        text = os.path.join(ROOT, 'docs', 'CAPACITY.md')
        command = ['scale', 'page', '--check', '--rows', paths[0], '--rows', paths[1], '--page', text]
        done = CliRunner().invoke(main, command)
        self.assertEqual((done.exit_code, done.output), (0, ''))

    def test_check_fails_until_page_is_written(self):
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

    def test_missing_rows_file_exits_2_with_one_line(self):
        done = CliRunner().invoke(main, ['scale', 'page', '--rows', '/nowhere'])
        self.assertEqual((done.exit_code, done.output.count('\n')), (2, 1))

    def test_slopes_command_records_rows(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'rows.jsonl')
            command = ['scale', 'slopes', 'list-bytes', '--repeats', '2', '--largest', '50', '--out', path]
            done = CliRunner().invoke(main, command)
            found = [(row.measure, row.size, len(row.values)) for row in rows.read(path)]
        self.assertEqual((done.exit_code, found), (0, [('list-bytes', 10, 2), ('list-bytes', 50, 2)]))

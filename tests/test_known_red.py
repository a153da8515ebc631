"""Tests of the list of known failures."""

import io
import unittest

from . import known_red


def sample_suite(*failing):
    """Return a suite of a passing and a failing test, and their ids."""

    class Tests(unittest.TestCase):
        def test_good(self):
            """Passes."""

        def test_bad(self):
            self.fail('a real fault')

    tests = [Tests('test_good'), Tests('test_bad')]
    return unittest.TestSuite([unittest.TestSuite(tests)]), [test.id() for test in tests]


def run(listed):
    """Run the sample suite with a list, in which {good} and {bad} stand for its tests.

    Return whether the run passes and what it prints."""
    suite, (good, bad) = sample_suite()
    out, result = io.StringIO(), unittest.TestResult()
    known_red.mark(suite, listed.replace('{good}', good).replace('{bad}', bad), out).run(result)
    return result.wasSuccessful(), out.getvalue()


class KnownFailures(unittest.TestCase):
    def test_listed_failure_passes_and_is_printed(self):
        passed, printed = run('{bad}, it rains, and it pours, 35\n')
        self.assertTrue(passed)
        self.assertIn('(issue 35): it rains, and it pours', printed)

    def test_unlisted_failure_fails_the_run(self):
        self.assertEqual(run(''), (False, ''))

    def test_problem_with_the_list_fails_the_run(self):
        for listed in (
            '{bad}, rain, 35\n{good}, rain, 35\n',  # the second one passes
            '{bad}, rain, 35\ntests.nowhere, rain, 35\n',
            '{bad}, rain, 35\n{bad}, rain, 35\n',
            '{bad}, rain, 35\n\n',
            '{bad}, rain, 35\n{good} rain\n',
            '{bad}, , 35\n',
            '{bad}, rain, \n',
            '{bad}, rain, 35\n' + 'tests.nowhere, rain, 35\n' * 3,
        ):
            with self.subTest(listed=listed):
                self.assertFalse(run(listed)[0])

    def test_fourth_line_is_a_problem(self):
        rows, problems = known_red.read('a, b, 1\nc, d, 2\ne, f, 3\ng, h, 4\n')
        self.assertEqual((len(rows), problems), (4, ['more than 3 lines']))

    def test_discovery_applies_the_list(self):
        """The documented command uses load_tests() of this package."""
        import tests

        loader, calls = unittest.TestLoader(), []
        loader.discover = lambda *given: calls.append(given) or unittest.TestSuite()
        original = known_red.listed
        known_red.listed = lambda: 'tests.nowhere, rain, 35'
        try:
            suite = tests.load_tests(loader, unittest.TestSuite(), None)
        finally:
            known_red.listed = original
        self.assertEqual((len(calls), suite.countTestCases()), (1, 1))

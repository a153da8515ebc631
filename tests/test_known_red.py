"""The list of tests that are known to fail: what it lets pass, and what it does not."""

import io
import unittest

from . import known_red


def made(*failing):
    """A run's tests, one good and one bad: (suite, their ids)."""

    class Tests(unittest.TestCase):
        def test_good(self):
            """Passes."""

        def test_bad(self):
            self.fail('a real fault')

    tests = [Tests('test_good'), Tests('test_bad')]
    return unittest.TestSuite([unittest.TestSuite(tests)]), [test.id() for test in tests]


def run(listed):
    """A run with this list, in which {good} and {bad} stand for tests: (whether it passes, what it printed)."""
    suite, (good, bad) = made()
    out, result = io.StringIO(), unittest.TestResult()
    known_red.mark(suite, listed.replace('{good}', good).replace('{bad}', bad), out).run(result)
    return result.wasSuccessful(), out.getvalue()


class Listed(unittest.TestCase):
    def test_a_listed_test_may_fail_and_is_printed(self):
        passed, printed = run('{bad}, it rains, and it pours, 35\n')
        self.assertTrue(passed)
        self.assertIn('(issue 35): it rains, and it pours', printed)

    def test_without_a_list_none_may(self):
        self.assertEqual(run(''), (False, ''))

    def test_what_fails_a_run(self):
        for listed in (
            '{bad}, rain, 35\n{good}, rain, 35\n',  # one of them passes
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

    def test_a_fourth_line_is_one_too_many(self):
        rows, wrong = known_red.read('a, b, 1\nc, d, 2\ne, f, 3\ng, h, 4\n')
        self.assertEqual((len(rows), wrong), (4, ['more than 3 lines']))

    def test_discovery_goes_by_it(self):
        """The command of the README loads this package's own loader."""
        import tests

        loader, asked = unittest.TestLoader(), []
        loader.discover = lambda *given: asked.append(given) or unittest.TestSuite()
        before = known_red.listed
        known_red.listed = lambda: 'tests.nowhere, rain, 35'
        try:
            suite = tests.load_tests(loader, unittest.TestSuite(), None)
        finally:
            known_red.listed = before
        self.assertEqual((len(asked), suite.countTestCases()), (1, 1))

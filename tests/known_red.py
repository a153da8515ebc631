"""Support for KNOWN-RED.txt, the list of tests that fail because of a known, unfixed fault.

Each line has the form `test, cause, issue`; there are at most three. A run prints the listed tests and
expects them to fail. It fails if a listed test passes or does not exist, and for a malformed or fourth line.
"""

import os
import sys
import unittest

MAX_LINES = 3
PATH = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), 'KNOWN-RED.txt')


class ListProblem(unittest.TestCase):
    """A test that fails because of a problem with the list."""

    def __init__(self, text):
        super().__init__('report')
        self.text = text

    def report(self):
        self.fail('KNOWN-RED.txt: ' + self.text)


def read(text):
    """Parse the list; return ([(test, cause, issue)], problems)."""
    rows, problems = [], []
    for line in text.splitlines():
        test, _, rest = line.partition(',')
        cause, _, issue = rest.rpartition(',')
        row = tuple(part.strip() for part in (test, cause, issue))
        (rows if all(row) else problems).append(row if all(row) else 'malformed line: %r' % line)
    if len(rows) + len(problems) > MAX_LINES:
        problems.append('more than %d lines' % MAX_LINES)
    if len({row[0] for row in rows}) < len(rows):
        problems.append('duplicate test')
    return rows, problems


def iter_tests(suite):
    """Yield all tests of a suite and of the suites nested in it."""
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from iter_tests(test)
        else:
            yield test


def mark(suite, text, out=sys.stderr):
    """Mark the listed tests of a suite as expected failures, and add a failing test for each problem with
    the list."""
    rows, problems = read(text)
    found = {test.id(): test for test in iter_tests(suite)}
    for name, cause, issue in rows:
        if name in found:
            found[name].__unittest_expecting_failure__ = True
            print('known red: %s (issue %s): %s' % (name, issue, cause), file=out)
        else:
            problems.append('no such test: %s' % name)
    suite.addTests(ListProblem(text) for text in problems)
    return suite


def listed():
    """Return the text of the list, empty if there is none."""
    if not os.path.exists(PATH):
        return ''
    with open(PATH, encoding='utf-8') as file:
        return file.read()

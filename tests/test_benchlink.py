"""Tests of the simulator's adapter: malformed lines, values, batches."""

import io
import json
import unittest

from lilacdyke.benchlink.serve import Adapter
from lilacdyke.decode import decode
from lilacdyke.values import InvalidValueError, format_seconds, number, to_ticks_ceil, to_ticks_floor

from .helpers import SETTINGS

SITE = dict(SETTINGS, familyInfo={'mode': 'through', 'originKind': -1})
START = [
    'TURN\t1.0',
    'ENLIST\t3\t7\t' + json.dumps(SITE),
    'POOL\t0\t1',
    'ROW\t0\t0\t1\tserver_a\t-\tSERVING\t0',
    'ROSTER_CHANGE\t3\trestored\t1\t0',
    'EOF_BATCH',
]
ASK = 'ASK\t3\t9\t0\t0\tpage:k\t3.0\t-\t-\t0'


def replies(*lines):
    """Return the adapter's replies to a started instance for these lines, and its error output."""
    sink, error_stream = io.BytesIO(), io.StringIO()
    Adapter(io.BytesIO(('\n'.join([*START, *lines]) + '\n').encode()), sink, error_stream).run()
    return sink.getvalue().decode().split('\n'), error_stream.getvalue()


class Lines(unittest.TestCase):
    def test_transaction_is_sent(self):
        reply, errors = replies('TURN\t1.1', ASK, 'EOF_BATCH')
        self.assertIn('ASSIGN\t3\t9\tserver_a\t-', reply)
        self.assertEqual(errors, '')

    def test_malformed_line_is_reported(self):
        bad = {
            'NONSENSE\t3': 'unknown verb',
            ASK + '\t1': 'values',
            ASK.replace('3.0', 'soon'): 'not a number',
            ASK.replace('\t9\t', '\t-9\t'): 'not a whole number',
            'LEFT\t8\t9': 'no such instance',
            'ANSWER\t3\t9\t0\tserver_z\tshed\t0.1\t0\t-\t-': 'never named',
            'ANSWER\t3\t9\t0\tserver_a\tperhaps\t0.1\t0\t-\t-': 'unknown outcome',
            'ASK\t3\t9\t5\t0\tk\t3.0\t-\t-\t0': 'no such profile',
            'ROSTER_CHANGE\t3\treplace\t1\t7': 'never sent',
        }
        for line, expected in bad.items():
            with self.subTest(line=line):
                reply, errors = replies('TURN\t1.1', line, 'EOF_BATCH')
                self.assertIn('line 8', errors)
                self.assertIn(expected, errors)
                known = line.split('\t')[1] == '3'
                self.assertEqual(any(part.startswith('BAIL_OUT\t3\tline 8') for part in reply), known)

    def test_malformed_report_or_message_does_not_fail_the_transaction(self):
        for feedback in ('queue=1', 'queue:-3', 'eps:many', '-'):
            reply, errors = replies(
                'TURN\t1.1',
                ASK,
                'EOF_BATCH',
                'TURN\t1.2',
                'HEARD\t3\t1\tzz',
                'ECHO\t3\tserver_a\tdelivered\t0.1\tqueue=1',
                'ANSWER\t3\t9\t0\tserver_a\tempty\t0.1\t0\t2\t' + feedback,
                'EOF_BATCH',
            )
            logged = [part for part in reply if part.startswith('DEBUG\t3\tnot read')]
            self.assertEqual(
                (errors, len(logged), 'not hex' in logged[0], 'ASSIGN\t3\t9\tserver_a' in '\n'.join(reply)),
                ('', 1, True, True),
            )
            self.assertEqual(sum(part.startswith(('ASSIGN', 'PUSH_BACK')) for part in reply), 2)

    def test_unknown_transaction_id_is_ignored(self):
        _, errors = replies('TURN\t1.1', 'LEFT\t3\t77', 'EOF_BATCH')
        self.assertEqual(errors, '')

    def test_retired_instance_is_removed(self):
        _, errors = replies('TURN\t1.1', 'RETIRE\t3', ASK, 'EOF_BATCH')
        self.assertIn('no such instance', errors)

    def test_input_ending_inside_a_batch_is_reported(self):
        _, errors = replies('TURN\t1.1', ASK)
        self.assertIn('inside a batch', errors)


class Values(unittest.TestCase):
    def test_missing_setting_is_named(self):
        site = {key: value for key, value in SITE.items() if key != 'tickS'}
        with self.assertRaisesRegex(InvalidValueError, 'tickS'):
            decode(json.dumps(site))

    def test_seconds_are_rounded_down_or_up(self):
        self.assertEqual(
            (to_ticks_floor(0.00019), to_ticks_ceil(0.00011), to_ticks_floor(0.3), to_ticks_ceil(0.3)),
            (1, 2, 3000, 3000),
        )

    def test_seconds_are_formatted_exactly(self):
        self.assertEqual((format_seconds(12_345), format_seconds(-1)), ('1.2345', '-0.0001'))

    def test_numbers_must_be_finite(self):
        with self.assertRaises(InvalidValueError):
            number('1e999')

"""The command line and the validation of a node's page."""

import json
import os
import tempfile
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.decode import parse_config
from lilacdyke.values import InvalidValueError

from .helpers import SETTINGS, page


def page_with(**other):
    """Return the page with some settings changed."""
    return page(settings=dict(SETTINGS, **other))


class Pages(unittest.TestCase):
    def test_valid_page(self):
        config = parse_config(page())
        self.assertEqual(
            (config.listen, config.seed, config.origin_kind, config.idle, config.connect_within),
            (('127.0.0.1', 9000), 0x8C1F, 'origin', 150_000, 2_500),
        )

    def test_tick_leaves_time_to_connect_within_repeat_window(self):
        self.assertEqual(parse_config(page()).terms.tick, 2_550)

    def test_error_names_invalid_key(self):
        limits = dict(SETTINGS['limits'], connIdleS='soon')
        cases = {
            '[]': 'settings',
            '{': 'JSON',
            page(listen='cache.local:80'): 'address',
            page(listen='127.0.0.1'): 'address',
            page(discovery='127.0.0.1:99999'): 'port',
            page(seed='xyz'): 'seed',
            page(limits={}): 'limits.sockets',
            page_with(limits=limits): 'connIdleS',
            page_with(profiles=[]): 'no profile',
            page_with(kinds=['std']): 'kind',
            page_with(balancers=0): 'no node',
        }
        for text, expected in cases.items():
            with self.subTest(expected=expected), self.assertRaisesRegex(InvalidValueError, expected):
                parse_config(text)


class Shapes(unittest.TestCase):
    """A deployment is a pool of nodes over several zones or one node per client process, never a mix."""

    def page_with_keys(self, **other):
        """Return the page with some settings, and some keys of its tables, changed."""
        return page_with(
            **{
                name: dict(SETTINGS[name], **value) if isinstance(value, dict) else value
                for name, value in other.items()
            }
        )

    def test_both_shapes_are_valid(self):
        pool = self.page_with_keys(balancers=3, dcs=['a', 'b', 'c'], fees={'crossZone': 0.014, 'probe': 0.01})
        planner_slot = self.page_with_keys(
            balancers=400,
            rank=399,
            dcs=['room'],
            fees={'crossZone': 0, 'peer': 0.0096},
            limits={'peers': True},
            membershipMode='on_request',
            stats={'how': 'inline', 'fields': ['inflight', 'eps']},
        )
        files = self.page_with_keys(
            balancers=380,
            dcs=['a', 'b', 'c', 'd'],
            zone=3,
            fees={'crossZone': 0.06},
            limits={'probing': False},
        )
        for text, zones in ((pool, 3), (planner_slot, 1), (files, 4)):
            self.assertEqual(len(parse_config(text).zones), zones)

    def test_mixed_shape_is_refused_with_key(self):
        unprobed = {'probing': False}
        cases = {
            'fees.crossZone': dict(dcs=['room'], fees={'crossZone': 0.06}),
            'zone': dict(zone=2),
            'rank': dict(rank=2),
            'fees.probe': dict(limits=unprobed, fees={'probe': 0.01}),
            'fees.peer': dict(fees={'peer': 0.01}),
            'stats.how': dict(limits=unprobed, stats={'how': 'on_probe'}),
            'dcs': dict(dcs=['a', 'a']),
            'stats.fields': dict(stats={'fields': ['eps']}),
            'fees.waste': dict(fees={'waste': 'x'}),
        }
        for key, mix in cases.items():
            with (
                self.subTest(key=key),
                self.assertRaisesRegex(InvalidValueError, '(shapes|form): %s: ' % key),
            ):
                parse_config(self.page_with_keys(**mix))


class Commands(unittest.TestCase):
    def test_mixed_shape_exits_with_one_line(self):
        for word in ('check', 'serve'):
            code, lines = self.run_with(page_with(zone=7), word)
            self.assertEqual((code, len(lines), 'shapes: zone: ' in lines[0]), (2, 1, True))

    def run_with(self, text, *words):
        """Run a command on a page with this text; return (exit code, lines printed)."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'page.json')
            with open(path, 'w', encoding='utf-8') as file:
                file.write(text)
            done = CliRunner().invoke(main, words, env={'EDGE_CONFIG': path})
        return done.exit_code, done.output.splitlines()

    def test_check_of_valid_page(self):
        self.assertEqual(self.run_with(page(), 'check'), (0, ['n0: in order, 2 profiles']))

    def test_invalid_page_exits_with_one_line(self):
        for word in ('check', 'serve'):
            code, lines = self.run_with(json.dumps({'name': 'n0'}), word)
            self.assertEqual((code, len(lines)), (2, 1))

    def test_missing_page_exits_with_one_line(self):
        done = CliRunner().invoke(main, ['serve'], env={'EDGE_CONFIG': None})
        self.assertEqual((done.exit_code, len(done.output.splitlines())), (2, 1))

    def test_version_output(self):
        self.assertEqual(CliRunner().invoke(main, ['version']).output, 'lilacdyke 0.3.0\n')

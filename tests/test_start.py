"""The command line and the node's page."""

import json
import os
import tempfile
import unittest

from click.testing import CliRunner

from lilacdyke.__main__ import main
from lilacdyke.decode import place
from lilacdyke.values import BadLine

from .helpers import SETTINGS, page


def changed(**other):
    """The page with some settings changed."""
    return page(settings=dict(SETTINGS, **other))


class Page(unittest.TestCase):
    def test_what_is_read(self):
        told = place(page())
        self.assertEqual(
            (told.listen, told.seed, told.origin_kind, told.idle, told.connect_within),
            (('127.0.0.1', 9000), 0x8C1F, 'origin', 150_000, 2_500),
        )

    def test_a_repeat_waits_for_its_connection_within_its_window(self):
        self.assertEqual(place(page()).terms.tick, 2_550)

    def test_what_is_out_of_form_is_named(self):
        limits = dict(SETTINGS['limits'], connIdleS='soon')
        cases = {
            '[]': 'settings',
            '{': 'JSON',
            page(listen='cache.local:80'): 'address',
            page(listen='127.0.0.1'): 'address',
            page(discovery='127.0.0.1:99999'): 'port',
            page(seed='xyz'): 'seed',
            page(limits={}): 'limits.sockets',
            changed(limits=limits): 'connIdleS',
            changed(profiles=[]): 'no profile',
            changed(kinds=['std']): 'kind',
            changed(balancers=0): 'no node',
        }
        for text, told in cases.items():
            with self.subTest(told=told), self.assertRaisesRegex(BadLine, told):
                place(text)


class Shape(unittest.TestCase):
    """One build, two shapes: a pool of nodes over several zones, or a node for each client process."""

    def told(self, **other):
        """The page with some settings changed, and some keys of tables."""
        return changed(
            **{
                name: dict(SETTINGS[name], **value) if isinstance(value, dict) else value
                for name, value in other.items()
            }
        )

    def test_either_shape_is_in_order(self):
        pool = self.told(balancers=3, dcs=['a', 'b', 'c'], fees={'crossZone': 0.014, 'probe': 0.01})
        office = self.told(
            balancers=400,
            rank=399,
            dcs=['room'],
            fees={'crossZone': 0, 'peer': 0.0096},
            limits={'peers': True},
            membershipMode='on_request',
            stats={'how': 'inline', 'fields': ['inflight', 'eps']},
        )
        files = self.told(
            balancers=380,
            dcs=['a', 'b', 'c', 'd'],
            zone=3,
            fees={'crossZone': 0.06},
            limits={'probing': False},
        )
        for text, zones in ((pool, 3), (office, 1), (files, 4)):
            self.assertEqual(len(place(text).zones), zones)

    def test_a_mix_is_refused_with_the_key_named(self):
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
            with self.subTest(key=key), self.assertRaisesRegex(BadLine, '(shapes|form): %s: ' % key):
                place(self.told(**mix))


class Commands(unittest.TestCase):
    def test_a_mix_ends_the_start_with_one_line(self):
        for word in ('check', 'serve'):
            code, lines = self.run_with(changed(zone=7), word)
            self.assertEqual((code, len(lines), 'shapes: zone: ' in lines[0]), (2, 1, True))

    def run_with(self, text, *words):
        """Run a sub-command on a page with this text: (exit code, lines printed)."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'page.json')
            with open(path, 'w', encoding='utf-8') as file:
                file.write(text)
            done = CliRunner().invoke(main, words, env={'EDGE_CONFIG': path})
        return done.exit_code, done.output.splitlines()

    def test_check(self):
        self.assertEqual(self.run_with(page(), 'check'), (0, ['n0: in order, 2 profiles']))

    def test_a_bad_page_ends_the_start_with_one_line(self):
        for word in ('check', 'serve'):
            code, lines = self.run_with(json.dumps({'name': 'n0'}), word)
            self.assertEqual((code, len(lines)), (2, 1))

    def test_no_page_too(self):
        done = CliRunner().invoke(main, ['serve'], env={'EDGE_CONFIG': None})
        self.assertEqual((done.exit_code, len(done.output.splitlines())), (2, 1))

    def test_version(self):
        self.assertEqual(CliRunner().invoke(main, ['version']).output, 'lilacdyke 0.3.0\n')

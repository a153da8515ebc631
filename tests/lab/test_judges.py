"""The checks of rules on synthetic rows: valid runs pass, and each violation is detected."""

import unittest

from lilacdyke.lab.judges import judge
from lilacdyke.lab.scenario import Kind, Profile, Rules, Scenario
from lilacdyke.lab.service import figures

SECOND = 1_000_000
SCENARIO = Scenario(
    name='x',
    rules=Rules(drain_grace_ms=400.0, cold_from=0.2, warm_s=10.0, fall_multiple=3.0, fall_s=1.0),
    kinds=[Kind()],
    profiles=[
        Profile(name='read', limit_s=2.0),
        Profile(name='note', effect='guarded', write=True),
        Profile(name='commit', effect='single_shot', write=True),
    ],
)


def ask(id_='a', at=SECOND, tx=1, profile='read', mark='', wait=2 * SECOND):
    return ('ask', at, id_, tx, 'n0', profile, '', 'k', mark, at, wait, 1, 1)


def hop(number=1, id_='a', at=SECOND + 10, server='c0', mark='', work=1_000, begun=None):
    return ('hop', at, number, server, id_, mark, 'n0', at if begun is None else begun, work, 'k')


def answer(id_='a', at=SECOND + 90, status=200, digest='d1'):
    return ('answer', at, id_, status, digest, '')


def made(number=1, id_='a', digest='d1'):
    return ('made', SECOND + 50, number, id_, digest)


def effect(number, id_='a', mark='', at=SECOND + 60):
    return ('effect', at, number, id_, mark)


def counters(**other):
    counts = dict(
        taken=1,
        committed=1,
        open=0,
        out=0,
        hops=0,
        descriptors=2,
        clients=0,
        links=0,
        most=9,
        hops_committed=1,
    )
    return ('counters', 9 * SECOND, 'n0', dict(counts, **other))


UP = ('node', 0, 'n0', 'up')


class RuleTest(unittest.TestCase):
    def violated_rules(self, *rows):
        """Return the rules that these rows violate."""
        return sorted({found.rule for found in judge(SCENARIO, sorted(rows, key=lambda row: row[1]))})

    def test_valid_transaction(self):
        self.assertEqual(self.violated_rules(UP, ask(), hop(), effect(1), made(), answer(), counters()), [])

    def test_no_hops_to_suspended_server_until_it_is_resumed(self):
        out, back = ('hand', SECOND, 'n0', 'out', 'c0'), ('hand', 2 * SECOND, 'n0', 'back', 'c0')
        for begun, expected in ((SECOND - 10, []), (SECOND + 500_000, ['hands']), (2 * SECOND + 10, [])):
            with self.subTest(begun=begun):
                rows = ask(at=begun - 20), hop(at=begun), made(), answer(at=begun + 90), counters()
                self.assertEqual(self.violated_rules(UP, out, back, *rows), expected)

    def test_drained_node_is_not_ready_and_keeps_no_idle_clients_until_activated(self):
        away, active = ('hand', SECOND, 'n0', 'away', ''), ('hand', 6 * SECOND, 'n0', 'active', '')
        for row, expected in (
            (('hand', 2 * SECOND, 'n0', 'ready', '200'), ['hands']),
            (('hand', 2 * SECOND, 'n0', 'ready', '503'), []),
            (('hand', 5 * SECOND, 'n0', 'kept', '1'), ['hands']),
            (('hand', 5 * SECOND, 'n0', 'kept', '0'), []),
            (('hand', 7 * SECOND, 'n0', 'open', '503'), ['hands']),
            (('hand', 7 * SECOND, 'n0', 'open', '200'), []),
        ):
            with self.subTest(row=row):
                self.assertEqual(self.violated_rules(UP, away, active, row), expected)

    def test_large_answer_that_has_started_is_not_refused_at_the_limit(self):
        giving, refused = ('giving', SECOND + 500_000, 1, 'a'), answer(at=3 * SECOND, status=503)
        for other, expected in (
            ((), ['answered']),
            ((('broke', 2 * SECOND, 1, 'a'),), []),
            ((('fault', 2 * SECOND, 'cut', '', 2 * SECOND + 10),), []),
            ((('fault', 2 * SECOND, 'standstill', '0', 2 * SECOND + 10),), []),
        ):
            with self.subTest(other=other):
                self.assertEqual(
                    self.violated_rules(UP, ask(), hop(), giving, made(), *other, refused), expected
                )
        late = ('giving', 3 * SECOND - 1_000, 1, 'a')  # its first bytes may not have arrived at the node
        self.assertEqual(self.violated_rules(UP, ask(), hop(), late, made(), refused), [])

    def test_large_answer_breaks_off_only_through_server_or_network(self):
        giving, ended = ('giving', SECOND + 500_000, 1, 'a'), ('cut', 2 * SECOND, 'a')
        for other, expected in (
            ((), ['answered']),
            ((('broke', 2 * SECOND - 10, 1, 'a'),), []),
            ((('fault', SECOND, 'resets', '', 2 * SECOND),), []),
        ):
            with self.subTest(other=other):
                self.assertEqual(
                    self.violated_rules(UP, ask(), hop(), giving, made(), *other, ended), expected
                )
        self.assertEqual(
            self.violated_rules(UP, ask(), hop(), ('broke', SECOND, 2, 'b'), ended), ['answered']
        )

    def test_missing_answer(self):
        self.assertEqual(self.violated_rules(UP, ask(), hop()), ['answered'])

    def test_missing_answer_of_killed_node_is_allowed(self):
        self.assertEqual(self.violated_rules(UP, ask(), hop(), ('node', SECOND + 50, 'n0', 'killed')), [])

    def test_disconnected_client_needs_no_answer(self):
        self.assertEqual(self.violated_rules(UP, ask(), ('left', SECOND + 5, 'a')), [])

    def test_no_hops_long_after_client_disconnected_even_if_node_was_paused(self):
        for after, expected in ((-10, []), (90_000, []), (110_000, ['forsaken']), (310_000, ['forsaken'])):
            with self.subTest(after=after):
                rows = (
                    ask(),
                    ('left', 2 * SECOND, 'a'),
                    hop(at=2 * SECOND + after),
                    ('fault', SECOND, 'standstill', '', 3 * SECOND),
                )
                self.assertEqual(self.violated_rules(UP, *rows), expected)

    def test_second_answer(self):
        self.assertEqual(
            self.violated_rules(UP, ask(), made(), answer(), answer(at=SECOND + 99)), ['answered']
        )

    def test_answer_after_the_limit(self):
        self.assertEqual(
            self.violated_rules(UP, ask(), answer(status=504, at=3 * SECOND + 60_000)), ['answered']
        )
        self.assertEqual(self.violated_rules(UP, ask(), answer(status=504, at=3 * SECOND + 40_000)), [])

    def test_large_answer_is_timed_by_its_first_bytes(self):
        for begun, expected in ((3 * SECOND + 40_000, []), (3 * SECOND + 60_000, ['answered'])):
            rows = ask(), made(), answer(at=5 * SECOND), ('begun', 5 * SECOND - 1, 'a', begun)
            self.assertEqual(self.violated_rules(UP, *rows), expected)

    def test_answer_made_for_another_request(self):
        self.assertEqual(self.violated_rules(UP, ask(), made(id_='b'), answer()), ['answered'])

    def test_unsolicited_bytes(self):
        self.assertEqual(self.violated_rules(UP, ('stray', 5, 'n0', 'an answer to nothing')), ['answered'])

    def test_non_idempotent_request_run_twice(self):
        rows = (
            ask(profile='commit'),
            ask('b', 2 * SECOND, profile='commit'),
            answer(status=503),
            answer('b', 2 * SECOND + 9, 503),
        )
        self.assertEqual(self.violated_rules(UP, *rows, effect(1)), [])
        self.assertEqual(self.violated_rules(UP, *rows, effect(1), effect(2, 'b', at=2 * SECOND)), ['once'])

    def test_journalled_request_run_twice_with_the_same_key(self):
        rows = ask(profile='note', mark='m'), answer(status=503)
        self.assertEqual(
            self.violated_rules(UP, *rows, effect(1, mark='m'), ('repeat', SECOND + 70, 2, 'a', 'm')), []
        )
        self.assertEqual(self.violated_rules(UP, *rows, effect(1, mark='m'), effect(2, mark='m')), ['once'])

    def test_too_many_hops(self):
        rows = [hop(number) for number in range(6)]
        self.assertEqual(self.violated_rules(UP, ask(), answer(status=503), *rows), ['once'])

    def test_hop_after_the_answer(self):
        self.assertEqual(
            self.violated_rules(UP, ask(), answer(status=503), hop(at=SECOND + 60_000)), ['once']
        )

    def test_losing_hop_that_is_not_cancelled(self):
        rows = UP, ask(), hop(), hop(2, server='c1'), made(), answer()
        self.assertEqual(self.violated_rules(*rows, ('worked', SECOND + 40_000, 2, 39_000)), [])
        self.assertEqual(self.violated_rules(*rows, ('worked', SECOND + 400_000, 2, 399_000)), ['cancelled'])

    def test_hop_to_draining_server(self):
        rows = UP, ('told', SECOND, 'n0', 'c0', 'draining'), ask(at=SECOND), answer(status=503)
        self.assertEqual(
            self.violated_rules(*rows, hop(at=SECOND + 440_000)), ['once']
        )  # after its answer, not the drain
        late = (
            UP,
            ('told', SECOND, 'n0', 'c0', 'draining'),
            ask(at=2 * SECOND),
            answer(status=503, at=2 * SECOND + 99),
        )
        self.assertEqual(self.violated_rules(*late, hop(at=2 * SECOND + 9)), ['drains'])

    def test_hop_to_server_that_is_ready_again(self):
        rows = ('told', SECOND, 'n0', 'c0', 'gone'), ('told', SECOND + 100, 'n0', 'c0', 'ready')
        self.assertEqual(
            self.violated_rules(
                UP, *rows, ask(at=2 * SECOND), hop(at=2 * SECOND + 9), answer(status=503, at=2 * SECOND + 99)
            ),
            [],
        )

    def test_hop_to_server_missing_from_a_full_list(self):
        rows = (
            ('told', 5, 'n0', '*', 'c0,c1'),
            ('told', 5, 'n0', 'c0', 'ready'),
            ('told', SECOND, 'n0', '*', 'c1'),
        )
        self.assertEqual(
            self.violated_rules(
                UP, *rows, ask(at=2 * SECOND), hop(at=2 * SECOND + 9), answer(status=503, at=2 * SECOND + 99)
            ),
            ['drains'],
        )

    def test_node_that_ignores_discovery(self):
        rows = (
            UP,
            ('due', SECOND, 'n0', 'c0', 'gone'),
            ask(at=9 * SECOND),
            hop(at=9 * SECOND + 9),
            answer(status=503, at=9 * SECOND + 99),
        )
        self.assertEqual(self.violated_rules(*rows), ['drains'])
        self.assertEqual(self.violated_rules(*rows, ('fault', SECOND, 'silence', '', 8 * SECOND)), [])

    def test_cold_server_overloaded_by_all_nodes(self):
        server = ('server', SECOND, 'c0', 'up', 'std', 'a', 1, 1.0, SECOND, 0)
        rows = [ask('i%d' % n, SECOND + n, tx=n) for n in range(100)] + [
            answer('i%d' % n, SECOND + 9_000 + n, 503) for n in range(100)
        ]
        few = [hop(n, 'i%d' % n, SECOND + 5_000 + n, work=5_000) for n in range(100)]
        many = [hop(n, 'i%d' % n, SECOND + 5_000 + n, work=9_000) for n in range(100)]
        self.assertEqual(self.violated_rules(UP, server, *rows, *few), [])
        self.assertEqual(self.violated_rules(UP, server, *rows, *many), ['pushed'])

    def test_origin_overloaded_by_misses_at_cold_servers(self):
        fell = ('server', SECOND + 5_000, 'origin', 'fell', 'origin', 'a', 8, 1.0, 0, 1)
        rows = UP, ask(), hop(1), hop(2, server='origin', at=SECOND + 900), answer(status=503), fell
        self.assertEqual(self.violated_rules(*rows, ('missed', SECOND + 20, 1, 1)), ['pushed'])
        self.assertEqual(self.violated_rules(*rows, ('missed', SECOND + 20, 1, 0)), [])

    def test_bad_clients(self):
        for outcome, found in (('error', []), ('closed', []), ('nothing', ['rude']), ('served', ['rude'])):
            with self.subTest(outcome=outcome):
                self.assertEqual(self.violated_rules(UP, ('rude', 5, 'silent', 'n0', outcome, 9)), found)

    def test_inconsistent_counters(self):
        rows = UP, ask(), hop(), effect(1), made(), answer()
        for wrong in (
            {'taken': 2},
            {'open': 1, 'taken': 2},
            {'hops': 1},
            {'descriptors': 9},
            {'committed': 0, 'taken': 0},
            {'hops_committed': 0},
            {'most': 5_000},
        ):
            with self.subTest(wrong=wrong):
                self.assertEqual(self.violated_rules(*rows, counters(**wrong)), ['accounts'])

    def test_exception_in_the_node(self):
        self.assertEqual(self.violated_rules(UP, ('error', 5, 'n0', 'raised: KeyError')), ['faults'])


class ServiceFiguresTest(unittest.TestCase):
    def test_revenue_counts_from_the_first_attempt_and_by_the_goal(self):
        rows = [
            ask(tx=1),
            ('over', 2 * SECOND, 1, 'served', SECOND // 2),
            ask('b', tx=2),
            ('over', 2 * SECOND, 2, 'served', SECOND),
            ask('c', tx=3),
            ('over', 2 * SECOND, 3, 'refused', SECOND),
            ask('d', tx=4),
            ('over', 2 * SECOND, 4, 'left', 9),
        ]
        result = figures(SCENARIO, rows)
        self.assertEqual(
            (result['whole'], result['outcomes']), (0.3333, {'left': 1, 'refused': 1, 'served': 2})
        )

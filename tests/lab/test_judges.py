"""The judges, each on rows built by hand: what is sound passes, and one step beyond is found."""

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


class RulesTest(unittest.TestCase):
    def broken(self, *rows):
        """The rules that these rows break."""
        return sorted({found.rule for found in judge(SCENARIO, sorted(rows, key=lambda row: row[1]))})

    def test_a_sound_transaction(self):
        self.assertEqual(self.broken(UP, ask(), hop(), effect(1), made(), answer(), counters()), [])

    def test_a_server_that_staff_has_out_gets_nothing_until_it_is_called_back(self):
        out, back = ('hand', SECOND, 'n0', 'out', 'c0'), ('hand', 2 * SECOND, 'n0', 'back', 'c0')
        for begun, told in ((SECOND - 10, []), (SECOND + 500_000, ['hands']), (2 * SECOND + 10, [])):
            with self.subTest(begun=begun):
                rows = ask(at=begun - 20), hop(at=begun), made(), answer(at=begun + 90), counters()
                self.assertEqual(self.broken(UP, out, back, *rows), told)

    def test_an_emptied_node_says_so_keeps_nobody_and_comes_back(self):
        away, active = ('hand', SECOND, 'n0', 'away', ''), ('hand', 6 * SECOND, 'n0', 'active', '')
        for row, told in (
            (('hand', 2 * SECOND, 'n0', 'ready', '200'), ['hands']),
            (('hand', 2 * SECOND, 'n0', 'ready', '503'), []),
            (('hand', 5 * SECOND, 'n0', 'kept', '1'), ['hands']),
            (('hand', 5 * SECOND, 'n0', 'kept', '0'), []),
            (('hand', 7 * SECOND, 'n0', 'open', '503'), ['hands']),
            (('hand', 7 * SECOND, 'n0', 'open', '200'), []),
        ):
            with self.subTest(row=row):
                self.assertEqual(self.broken(UP, away, active, row), told)

    def test_a_large_answer_that_its_server_gives_is_not_refused_at_the_limit(self):
        giving, refused = ('giving', SECOND + 500_000, 1, 'a'), answer(at=3 * SECOND, status=503)
        for other, told in (
            ((), ['answered']),
            ((('broke', 2 * SECOND, 1, 'a'),), []),
            ((('fault', 2 * SECOND, 'cut', '', 2 * SECOND + 10),), []),
            ((('fault', 2 * SECOND, 'standstill', '0', 2 * SECOND + 10),), []),
        ):
            with self.subTest(other=other):
                self.assertEqual(self.broken(UP, ask(), hop(), giving, made(), *other, refused), told)
        late = ('giving', 3 * SECOND - 1_000, 1, 'a')  # its first bytes may not have reached the node
        self.assertEqual(self.broken(UP, ask(), hop(), late, made(), refused), [])

    def test_a_large_answer_may_break_off_only_where_its_server_or_the_network_did_that(self):
        giving, ended = ('giving', SECOND + 500_000, 1, 'a'), ('cut', 2 * SECOND, 'a')
        for other, told in (
            ((), ['answered']),
            ((('broke', 2 * SECOND - 10, 1, 'a'),), []),
            ((('fault', SECOND, 'resets', '', 2 * SECOND),), []),
        ):
            with self.subTest(other=other):
                self.assertEqual(self.broken(UP, ask(), hop(), giving, made(), *other, ended), told)
        self.assertEqual(self.broken(UP, ask(), hop(), ('broke', SECOND, 2, 'b'), ended), ['answered'])

    def test_never_answered(self):
        self.assertEqual(self.broken(UP, ask(), hop()), ['answered'])

    def test_never_answered_by_a_node_that_was_killed(self):
        self.assertEqual(self.broken(UP, ask(), hop(), ('node', SECOND + 50, 'n0', 'killed')), [])

    def test_a_client_that_left_is_owed_nothing(self):
        self.assertEqual(self.broken(UP, ask(), ('left', SECOND + 5, 'a')), [])

    def test_nothing_is_sent_on_for_long_after_its_client_left_though_the_node_stood_still(self):
        for after, told in ((-10, []), (90_000, []), (110_000, ['forsaken']), (310_000, ['forsaken'])):
            with self.subTest(after=after):
                rows = (
                    ask(),
                    ('left', 2 * SECOND, 'a'),
                    hop(at=2 * SECOND + after),
                    ('fault', SECOND, 'standstill', '', 3 * SECOND),
                )
                self.assertEqual(self.broken(UP, *rows), told)

    def test_answered_twice(self):
        self.assertEqual(self.broken(UP, ask(), made(), answer(), answer(at=SECOND + 99)), ['answered'])

    def test_answered_past_the_limit(self):
        self.assertEqual(self.broken(UP, ask(), answer(status=504, at=3 * SECOND + 60_000)), ['answered'])
        self.assertEqual(self.broken(UP, ask(), answer(status=504, at=3 * SECOND + 40_000)), [])

    def test_a_large_answer_is_timed_by_its_first_bytes(self):
        for begun, told in ((3 * SECOND + 40_000, []), (3 * SECOND + 60_000, ['answered'])):
            rows = ask(), made(), answer(at=5 * SECOND), ('begun', 5 * SECOND - 1, 'a', begun)
            self.assertEqual(self.broken(UP, *rows), told)

    def test_served_with_what_was_made_for_another(self):
        self.assertEqual(self.broken(UP, ask(), made(id_='b'), answer()), ['answered'])

    def test_bytes_that_nobody_asked_for(self):
        self.assertEqual(self.broken(UP, ('stray', 5, 'n0', 'an answer to nothing')), ['answered'])

    def test_what_may_not_run_twice_did(self):
        rows = (
            ask(profile='commit'),
            ask('b', 2 * SECOND, profile='commit'),
            answer(status=503),
            answer('b', 2 * SECOND + 9, 503),
        )
        self.assertEqual(self.broken(UP, *rows, effect(1)), [])
        self.assertEqual(self.broken(UP, *rows, effect(1), effect(2, 'b', at=2 * SECOND)), ['once'])

    def test_a_journalled_one_past_its_mark(self):
        rows = ask(profile='note', mark='m'), answer(status=503)
        self.assertEqual(
            self.broken(UP, *rows, effect(1, mark='m'), ('repeat', SECOND + 70, 2, 'a', 'm')), []
        )
        self.assertEqual(self.broken(UP, *rows, effect(1, mark='m'), effect(2, mark='m')), ['once'])

    def test_too_many_hops(self):
        rows = [hop(number) for number in range(6)]
        self.assertEqual(self.broken(UP, ask(), answer(status=503), *rows), ['once'])

    def test_a_hop_after_the_answer(self):
        self.assertEqual(self.broken(UP, ask(), answer(status=503), hop(at=SECOND + 60_000)), ['once'])

    def test_a_loser_that_is_not_cancelled(self):
        rows = UP, ask(), hop(), hop(2, server='c1'), made(), answer()
        self.assertEqual(self.broken(*rows, ('worked', SECOND + 40_000, 2, 39_000)), [])
        self.assertEqual(self.broken(*rows, ('worked', SECOND + 400_000, 2, 399_000)), ['cancelled'])

    def test_a_drain(self):
        rows = UP, ('told', SECOND, 'n0', 'c0', 'draining'), ask(at=SECOND), answer(status=503)
        self.assertEqual(
            self.broken(*rows, hop(at=SECOND + 440_000)), ['once']
        )  # after its answer, not the drain
        late = (
            UP,
            ('told', SECOND, 'n0', 'c0', 'draining'),
            ask(at=2 * SECOND),
            answer(status=503, at=2 * SECOND + 99),
        )
        self.assertEqual(self.broken(*late, hop(at=2 * SECOND + 9)), ['drains'])

    def test_one_that_came_back_may_be_sent_to(self):
        rows = ('told', SECOND, 'n0', 'c0', 'gone'), ('told', SECOND + 100, 'n0', 'c0', 'ready')
        self.assertEqual(
            self.broken(
                UP, *rows, ask(at=2 * SECOND), hop(at=2 * SECOND + 9), answer(status=503, at=2 * SECOND + 99)
            ),
            [],
        )

    def test_a_whole_list_tells_that_one_is_gone(self):
        rows = (
            ('told', 5, 'n0', '*', 'c0,c1'),
            ('told', 5, 'n0', 'c0', 'ready'),
            ('told', SECOND, 'n0', '*', 'c1'),
        )
        self.assertEqual(
            self.broken(
                UP, *rows, ask(at=2 * SECOND), hop(at=2 * SECOND + 9), answer(status=503, at=2 * SECOND + 99)
            ),
            ['drains'],
        )

    def test_one_that_does_not_listen(self):
        rows = (
            UP,
            ('due', SECOND, 'n0', 'c0', 'gone'),
            ask(at=9 * SECOND),
            hop(at=9 * SECOND + 9),
            answer(status=503, at=9 * SECOND + 99),
        )
        self.assertEqual(self.broken(*rows), ['drains'])
        self.assertEqual(self.broken(*rows, ('fault', SECOND, 'silence', '', 8 * SECOND)), [])

    def test_a_cold_server_sent_too_much_by_all_together(self):
        server = ('server', SECOND, 'c0', 'up', 'std', 'a', 1, 1.0, SECOND, 0)
        rows = [ask('i%d' % n, SECOND + n, tx=n) for n in range(100)] + [
            answer('i%d' % n, SECOND + 9_000 + n, 503) for n in range(100)
        ]
        few = [hop(n, 'i%d' % n, SECOND + 5_000 + n, work=5_000) for n in range(100)]
        many = [hop(n, 'i%d' % n, SECOND + 5_000 + n, work=9_000) for n in range(100)]
        self.assertEqual(self.broken(UP, server, *rows, *few), [])
        self.assertEqual(self.broken(UP, server, *rows, *many), ['pushed'])

    def test_the_origin_falls_over_by_cold_misses(self):
        fell = ('server', SECOND + 5_000, 'origin', 'fell', 'origin', 'a', 8, 1.0, 0, 1)
        rows = UP, ask(), hop(1), hop(2, server='origin', at=SECOND + 900), answer(status=503), fell
        self.assertEqual(self.broken(*rows, ('missed', SECOND + 20, 1, 1)), ['pushed'])
        self.assertEqual(self.broken(*rows, ('missed', SECOND + 20, 1, 0)), [])

    def test_bad_clients(self):
        for outcome, found in (('error', []), ('closed', []), ('nothing', ['rude']), ('served', ['rude'])):
            with self.subTest(outcome=outcome):
                self.assertEqual(self.broken(UP, ('rude', 5, 'silent', 'n0', outcome, 9)), found)

    def test_accounts_add_up(self):
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
                self.assertEqual(self.broken(*rows, counters(**wrong)), ['accounts'])

    def test_a_fault_in_the_node(self):
        self.assertEqual(self.broken(UP, ('error', 5, 'n0', 'raised: KeyError')), ['faults'])


class Service(unittest.TestCase):
    def test_revenue_counts_from_the_first_try_and_by_the_goal(self):
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
        told = figures(SCENARIO, rows)
        self.assertEqual((told['whole'], told['outcomes']), (0.3333, {'left': 1, 'refused': 1, 'served': 2}))

"""Verdicts on servers: what counts as evidence, what follows from it, how long it acts; and broken forms that the same properties find."""

import unittest
from random import Random

from lilacdyke.plan import belief as beliefs
from lilacdyke.plan import verdicts
from lilacdyke.plan.belief import FAILING, FULL, HARM, HARM_SITE, SILENT, SLOW, WELL, Belief, Row, Seen
from lilacdyke.plan.ledger import longer, shorter
from lilacdyke.plan.verdicts import Sight

SPAN = 1_000
SERVERS = ['c%d' % number for number in range(8)]
SITES = {name: 'a' if number % 2 else 'b' for number, name in enumerate(SERVERS)}
START = 7


def report(now=0, age=0, **hows):
    """A report on all servers: well and quick, but for those named: how, or a time."""
    made = Seen(now - age, SPAN, 100)
    for name in SERVERS:
        how = hows.get(name, 30)
        for _ in range(6):
            made.ended(
                now - age,
                (name, START),
                how if isinstance(how, str) else 'well',
                how if isinstance(how, int) else 0,
            )
    return made.report(now)


def sight(reports, now=0):
    """A planner that was told these: [(seat, site, report)]."""
    made = Sight(SPAN)
    for seat, site, told in reports:
        made.told(now, seat, site, 'life', 1, told)
    return made


def harsh(made, now=0):
    """What it holds that is not well: {(server, site or None): kind}."""
    return {
        (server[0], site): verdict.kind
        for (server, site), verdict in made.verdicts(now).items()
        if verdict.kind != WELL
    }


def fleet(count=6, **hows):
    """So many forwarders, by turns at either site, that all see the same."""
    return [(seat, 'ab'[seat % 2], report(**hows)) for seat in range(count)]


class Following(unittest.TestCase):
    def test_each_kind_is_told_as_what_it_is(self):
        for how, kind in (('silent', SILENT), ('failed', FAILING), ('refused', FULL), (300, SLOW)):
            with self.subTest(how=how):
                self.assertEqual(harsh(sight(fleet(c3=how))), {('c3', None): kind})

    def test_one_forwarder_binds_nobody(self):
        self.assertEqual(harsh(sight([(0, 'a', report(c3='silent'))])), {})
        self.assertEqual(harsh(sight(fleet() + [(9, 'a', report(c3='silent'))])), {})

    def test_what_one_site_sees_is_a_verdict_on_its_way_alone(self):
        mixed = [(seat, 'ab'[seat % 2], report(c3='silent') if seat % 2 else report()) for seat in range(6)]
        self.assertEqual(harsh(sight(mixed)), {('c3', 'b'): SILENT})

    def test_a_liar_and_a_starved_one_count_for_nothing(self):
        for lie in ('failed', 'silent', 900):
            told = dict.fromkeys(SERVERS, lie)
            with self.subTest(lie=lie):
                self.assertEqual(
                    harsh(sight(fleet() + [(9, 'a', report(**told)), (10, 'b', report(c1='failed'))])), {}
                )
                self.assertEqual(
                    harsh(sight(fleet(c3='silent') + [(9, 'a', report(**told))])), {('c3', None): SILENT}
                )

    def test_all_slow_at_once_is_load_and_condemns_nobody(self):
        self.assertEqual(harsh(sight(fleet(**dict.fromkeys(SERVERS, 900)))), {})

    def test_what_most_servers_show_is_load_whatever_it_is(self):
        for how in ('silent', 'failed', 'refused'):
            with self.subTest(how=how):
                self.assertEqual(harsh(sight(fleet(**dict.fromkeys(SERVERS[:5], how)))), {})
                self.assertEqual(len(harsh(sight(fleet(**dict.fromkeys(SERVERS[:3], how))))), 3)

    def test_one_that_tells_of_thousands_of_hops_weighs_as_one(self):
        made = report(c3='silent')
        made['c3', START][0] = made['c3', START][3] = made['c3', START][-1] = 1_000_000
        self.assertEqual(harsh(sight(fleet(3) + [(9, 'a', made), (10, 'b', made)])), {})

    def test_a_server_under_its_name_again_is_another(self):
        old = {(name, 8): row for (name, _), row in report(c3='silent').items() if name == 'c3'}
        made = sight(fleet(c3='silent'))
        self.assertNotIn(('c3', 8), {server for server, _ in made.verdicts(0)})
        self.assertEqual(len(old), 1)

    def test_that_it_answers_again_is_news_as_soon(self):
        made = sight(fleet(c3='silent'))
        before = harsh(made)
        for seat in range(6):
            made.told(10, seat, 'ab'[seat % 2], 'life', 2, report(now=10))
        self.assertEqual(
            (before, harsh(made, 10), made.verdicts(10)[('c3', START), None].kind),
            ({('c3', None): SILENT}, {}, WELL),
        )

    def test_one_that_turns_and_turns_weighs_half(self):
        made, weights = Sight(SPAN), []
        for turn in range(8):
            now = turn * SPAN // 2
            for seat in range(6):
                made.told(
                    now,
                    seat,
                    'ab'[seat % 2],
                    'life',
                    turn + 1,
                    report(now=now, **({'c3': 'silent'} if turn % 2 else {})),
                )
            weights.append(made.verdicts(now)[('c3', START), None].weight)
        self.assertEqual((weights[1], weights[-1]), (1.0, 0.5))

    def test_a_word_of_an_ended_life_does_not_replace_a_newer_one(self):
        made = sight(fleet())
        made.told(500, 0, 'a', 'next', 1, report(now=500, c3='silent'))
        kept = dict(made.witnesses[0].rows)
        made.told(100, 0, 'a', 'life', 9, report(now=100))
        self.assertEqual(made.witnesses[0].rows, kept)


class Merging(unittest.TestCase):
    """Order, doubling and grouping of evidence make no difference."""

    def drawn(self, chance):
        hows = ['well', 'failed', 'silent', 'refused']
        return [
            (
                seat,
                chance.choice('ab'),
                seq,
                report(c1=chance.choice([30, 300, *hows[1:]]), c2=chance.choice([30, 300, *hows[1:]])),
            )
            for seat in range(chance.randint(2, 7))
            for seq in range(1, chance.randint(2, 4))
        ]

    def found(self, rows, sight_=Sight):
        made = sight_(SPAN)
        for seat, site, seq, told in rows:
            made.told(0, seat, site, 'life', seq, told)
        return harsh(made)

    def differs(self, sight_=Sight):
        """Whether order or doubling showed in some of the drawn cases."""
        for seed in range(300):
            chance = Random(seed)
            rows = self.drawn(chance)
            other = rows + chance.choices(rows, k=len(rows))
            chance.shuffle(other)
            # Of one seat the newest counts in either, whatever site it was drawn to say.
            if self.found(sorted(rows, key=lambda row: row[2]), sight_) != self.found(other, sight_):
                return True
        return False

    def test_order_and_doubling_make_no_difference(self):
        self.assertFalse(self.differs())

    def test_a_planner_that_counts_what_is_told_twice_is_found(self):
        class Counting(Sight):
            def told(self, left, seat, site, life, seq, told):
                super().told(left, (seat, len(self.witnesses)), site, life, seq, told)

        self.assertTrue(self.differs(Counting))

    def test_grouping_makes_no_difference(self):
        for seed in range(200):
            chance, rows = Random(seed), []
            for _ in range(4):
                row = Row()
                row.sent, row.well, row.foul, row.fine = (
                    chance.randint(0, 9),
                    chance.randint(0, 9),
                    chance.choice([None, 3, 9]),
                    chance.choice([None, 2]),
                )
                row.heard = chance.choice([None, 1, 5])
                row.times[chance.randrange(12)] += 1
                rows.append(row)

            def plain(row):
                return row.sent, row.well, row.times, row.foul, row.fine, row.heard

            one = Row().add(rows[0]).add(rows[1]).add(rows[2]).add(rows[3])
            other = Row().add(Row().add(rows[3]).add(rows[1])).add(Row().add(rows[2]).add(rows[0]))
            self.assertEqual(plain(one), plain(other))


def told(kind=SILENT, age=0, server='c3', witnesses=4, sites=2, weight=1.0, factor=1.0, took=0, way=False):
    """A verdict as a plan tells it."""
    return [server, START, kind, factor, took, witnesses, sites, age, weight, way]


ALL = {(name, START): site for name, site in SITES.items()}


class Acting(unittest.TestCase):
    def word(self, made, now):
        """Of c3, or None."""
        found = made.words(now, ALL).get(('c3', START))
        return found and found[1]

    def test_own_eyes_first_and_only_newer_ones(self):
        newest = 100 - longer(20)
        for kind, well in ((SILENT, True), (WELL, False)):
            for own, acts in ((newest - 1, True), (newest, False)):
                made = Belief(SPAN, lambda: 1.0)
                made.planned(100, [told(kind, 20)])
                made.saw(own, ('c3', START), not well)
                made.saw(own, ('c3', START), well)
                with self.subTest(kind=kind, own=own):
                    self.assertEqual(self.word(made, 120) is not None, acts)

    def test_it_fades_and_ends(self):
        made = Belief(SPAN, lambda: 1.0)
        made.planned(0, [told()])
        most = [self.word(made, now)[2] for now in (0, 600, 850)]
        self.assertTrue(1 / 32 == most[0] < most[1] < most[2] < 1)
        self.assertIsNone(self.word(made, shorter(SPAN)))

    def test_what_a_word_says_of_each_kind(self):
        until = shorter(SPAN)
        for row, word in (
            (told(FULL), (until, 0, 0.5, 0)),
            (told(SLOW, factor=4.0, took=320), (until, 0, 0.25, 320)),
            (told(WELL), (until, 0.5, 1, 0)),
        ):
            made = Belief(SPAN, lambda: 1.0)
            made.planned(0, [row])
            self.assertEqual(self.word(made, 0), word)

    def test_an_older_word_does_not_replace_a_newer_one(self):
        made = Belief(SPAN, lambda: 1.0)
        made.planned(100, [told(WELL)])
        made.planned(100, [told(SILENT, 50)])
        self.assertEqual(made.acts(101, ('c3', START)).kind, WELL)

    def test_a_verdict_on_a_server_that_is_not_listed_yet_waits_for_it(self):
        made = Belief(SPAN, lambda: 1.0)
        made.planned(0, [told(server='c99')])
        self.assertEqual(
            (made.words(0, ALL), list(made.words(10, {**ALL, ('c99', START): 'a'}))), ({}, [('c99', START)])
        )
        self.assertEqual(made.words(10, {**ALL, ('c99', START + 1): 'a'}), {})

    def test_no_more_is_held_down_than_stated_whoever_says_so_and_the_surest_first(self):
        for count in (3, 8, 20, 60):
            sites = {('c%d' % number, START): 'abc'[number % 3] for number in range(count)}
            made = Belief(SPAN, lambda: 1.0)
            for first, way in ((0, False), (1, True)):  # as of two planners that say the opposite
                made.planned(
                    0,
                    [
                        told(server='c%d' % number, witnesses=2 + number, way=way)
                        for number in range(first, count, 2)
                    ],
                )
            down = [server for server, (held, _) in made.words(0, sites).items() if held.harsh]
            self.assertLessEqual(len(down), HARM * count)
            for site in 'abc':
                self.assertLessEqual(
                    sum(sites[server] == site for server in down),
                    max(1, HARM_SITE * sum(s == site for s in sites.values())),
                )
            if count >= 8:
                self.assertEqual(down[0], ('c%d' % ((count - 1) // 2 * 2), START))

    def test_forwarders_go_back_to_their_own_view_one_after_the_other(self):
        ends = {Belief(SPAN, Random(seed).random).span for seed in range(40)}
        self.assertTrue(len(ends) > 20 and max(ends) <= shorter(SPAN))


def history(seed, sight_=Sight, belief=Belief):
    """One random history of a forwarder that sees, a planner and a forwarder that acts, with clocks a twentieth apart and messages late and
    lost: the most true time, in ticks of the world, that a verdict acted after the newest thing that anybody had seen."""
    chance = Random(seed)
    rates = [chance.choice((0.976, 1.0, 1.024)) for _ in range(4)]
    offsets = [chance.randrange(5_000) for _ in range(4)]
    clock = [lambda now, n=n: int(now * rates[n]) + offsets[n] for n in range(4)]
    planner, held = sight_(SPAN), belief(SPAN, chance.random)
    seen = {0: Seen(clock[0](0), SPAN), 1: Seen(clock[1](0), SPAN)}
    stamps, bag, newest, worst = {}, [], None, 0
    stop = chance.randrange(500, 2_500)  # from then on nobody sees anything of it
    for now in range(0, 6_000, 5):
        if now < stop and now % 50 == 0:
            for seat in seen:
                for _ in range(3):
                    seen[seat].ended(clock[seat](now), ('c3', START), 'silent', 0)
                    # Others do well, else it would be load.
                    for other in ('c1', 'c2'):
                        seen[seat].ended(clock[seat](now), (other, START), 'well', 30)
            newest = now
        if now % 60 == 0:
            for seat in seen:
                stamp = stamps.get(seat)  # (the planner's stamp, when it came here)
                bag.append(
                    (
                        now + chance.choice((5, 50, 900)),
                        'up',
                        seat,
                        now,
                        stamp and (stamp[0], clock[seat](now) - stamp[1]),
                        seen[seat].report(clock[seat](now)),
                    )
                )
            bag.append((now + chance.choice((5, 50, 900)), 'ask', None, clock[3](now), None, None))
        due, bag = [row for row in bag if row[0] <= now], [row for row in bag if row[0] > now]
        for _, kind, seat, sent, stamp, told in due:
            if chance.random() < 0.2:
                continue
            if kind == 'up':
                stamps[seat] = (clock[2](now), clock[seat](now))
                if stamp:
                    left = min(clock[2](now), stamp[0] + shorter(stamp[1]))
                    planner.told(left, seat, 'ab'[seat], 'life', sent + 1, told)
            elif kind == 'ask':
                made = [verdict.plain(clock[2](now)) for verdict in planner.verdicts(clock[2](now)).values()]
                bag.append((now + chance.choice((5, 50, 900)), 'plan', None, sent, None, made))
            else:
                held.planned(sent, told)
        if held.acts(clock[3](now), ('c3', START)) is not None and held.held['c3', START].harsh:
            worst = max(worst, now - newest)
    return worst


class Bound(unittest.TestCase):
    """S: no verdict acts for longer after the newest evidence behind it was seen."""

    def test_no_verdict_acts_after_its_span_in_any_history(self):
        found = [history(seed) for seed in range(150)]
        self.assertLessEqual(max(found), SPAN)
        self.assertGreater(max(found), SPAN // 2)  # else nothing was shown

    def broken(self, **kinds):
        return any(history(seed, **kinds) > SPAN for seed in range(150))

    def test_broken_forms_are_found(self):
        class Ageless(Sight):
            """Takes a report for as new as it came."""

            def told(self, left, seat, site, life, seq, told):
                super().told(
                    left + 900,
                    seat,
                    site,
                    life,
                    seq,
                    {
                        server: [*row[:-4], *(age and 0 for age in row[-4:-1]), row[-1]]
                        for server, row in told.items()
                    },
                )

        class Arrival(Belief):
            """Counts a verdict from when somebody told it, without the age that it has."""

            def planned(self, asked, rows):
                super().planned(asked, [[*row[:7], 0, *row[8:]] for row in rows])

        class Endless(Belief):
            """Does not look at the span."""

            def acts(self, now, server):
                return self.held.get(server)

        for kinds in ({'sight_': Ageless}, {'belief': Arrival}, {'belief': Endless}):
            with self.subTest(kinds=kinds):
                self.assertTrue(self.broken(**kinds))

    def test_harm_unbounded_and_one_witness_enough_would_show(self):
        usual, both = beliefs.HARM, verdicts.BOTH
        try:
            beliefs.HARM = 2.0
            made = Belief(SPAN, lambda: 1.0)
            made.planned(0, [told(server=name) for name in SERVERS])
            self.assertGreater(len(made.words(0, ALL)), HARM * len(ALL))
            verdicts.BOTH = 1
            self.assertNotEqual(harsh(sight([(0, 'a', report(c3='silent'))])), {})
        finally:
            beliefs.HARM, verdicts.BOTH = usual, both


if __name__ == '__main__':
    unittest.main()

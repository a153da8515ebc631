"""Verdicts on servers: evidence, conclusions, limits on their effect; and faulty variants to be detected."""

import unittest
from random import Random

from lilacdyke.plan import active_verdicts, verdicts
from lilacdyke.plan.active_verdicts import (
    FAILING,
    FULL,
    MAX_RESTRAINED_SHARE,
    MAX_RESTRAINED_SITE_SHARE,
    SILENT,
    SLOW,
    WELL,
    ActiveVerdicts,
    Row,
    Seen,
)
from lilacdyke.plan.ledger import max_elapsed, min_elapsed
from lilacdyke.plan.verdicts import VerdictTracker

SPAN = 1_000
SERVERS = ['c%d' % number for number in range(8)]
SITES = {name: 'a' if number % 2 else 'b' for number, name in enumerate(SERVERS)}
START = 7


def report(now=0, age=0, **results):
    """Return a report on all servers, well and quick except for those named: a result, or an answer time."""
    made = Seen(now - age, SPAN, 100)
    for name in SERVERS:
        result = results.get(name, 30)
        for _ in range(6):
            made.ended(
                now - age,
                (name, START),
                result if isinstance(result, str) else 'well',
                result if isinstance(result, int) else 0,
            )
    return made.report(now)


def verdict_tracker(reports, now=0):
    """Return a planner's view after these reports: [(seat, site, report)]."""
    made = VerdictTracker(SPAN)
    for seat, site, told in reports:
        made.add_report(now, seat, site, 'life', 1, told)
    return made


def negatives(made, now=0):
    """Return the negative verdicts: {(server, site or None): kind}."""
    return {
        (server[0], site): verdict.kind
        for (server, site), verdict in made.verdicts(now).items()
        if verdict.kind != WELL
    }


def fleet(count=6, **results):
    """Return reports of forwarders at alternating sites that all see the same."""
    return [(seat, 'ab'[seat % 2], report(**results)) for seat in range(count)]


class VerdictTests(unittest.TestCase):
    def test_each_kind_of_failure_yields_its_verdict(self):
        for result, kind in (('silent', SILENT), ('failed', FAILING), ('refused', FULL), (300, SLOW)):
            with self.subTest(result=result):
                self.assertEqual(negatives(verdict_tracker(fleet(c3=result))), {('c3', None): kind})

    def test_one_forwarder_alone_yields_no_verdict(self):
        self.assertEqual(negatives(verdict_tracker([(0, 'a', report(c3='silent'))])), {})
        self.assertEqual(negatives(verdict_tracker(fleet() + [(9, 'a', report(c3='silent'))])), {})

    def test_failures_seen_by_one_site_yield_a_verdict_for_that_site_only(self):
        mixed = [(seat, 'ab'[seat % 2], report(c3='silent') if seat % 2 else report()) for seat in range(6)]
        self.assertEqual(negatives(verdict_tracker(mixed)), {('c3', 'b'): SILENT})

    def test_contradicting_forwarders_are_ignored(self):
        for lie in ('failed', 'silent', 900):
            told = dict.fromkeys(SERVERS, lie)
            with self.subTest(lie=lie):
                self.assertEqual(
                    negatives(
                        verdict_tracker(fleet() + [(9, 'a', report(**told)), (10, 'b', report(c1='failed'))])
                    ),
                    {},
                )
                self.assertEqual(
                    negatives(verdict_tracker(fleet(c3='silent') + [(9, 'a', report(**told))])),
                    {('c3', None): SILENT},
                )

    def test_all_servers_slow_at_once_yields_no_verdict(self):
        self.assertEqual(negatives(verdict_tracker(fleet(**dict.fromkeys(SERVERS, 900)))), {})

    def test_failures_of_most_servers_yield_no_verdict(self):
        for result in ('silent', 'failed', 'refused'):
            with self.subTest(result=result):
                self.assertEqual(negatives(verdict_tracker(fleet(**dict.fromkeys(SERVERS[:5], result)))), {})
                self.assertEqual(
                    len(negatives(verdict_tracker(fleet(**dict.fromkeys(SERVERS[:3], result))))), 3
                )

    def test_report_of_a_million_hops_does_not_outweigh_others(self):
        made = report(c3='silent')
        made['c3', START][0] = made['c3', START][3] = made['c3', START][-1] = 1_000_000
        self.assertEqual(negatives(verdict_tracker(fleet(3) + [(9, 'a', made), (10, 'b', made)])), {})

    def test_restarted_server_inherits_no_verdict(self):
        old = {(name, 8): row for (name, _), row in report(c3='silent').items() if name == 'c3'}
        made = verdict_tracker(fleet(c3='silent'))
        self.assertNotIn(('c3', 8), {server for server, _ in made.verdicts(0)})
        self.assertEqual(len(old), 1)

    def test_recovery_is_noticed_at_once(self):
        made = verdict_tracker(fleet(c3='silent'))
        before = negatives(made)
        for seat in range(6):
            made.add_report(10, seat, 'ab'[seat % 2], 'life', 2, report(now=10))
        self.assertEqual(
            (before, negatives(made, 10), made.verdicts(10)[('c3', START), None].kind),
            ({('c3', None): SILENT}, {}, WELL),
        )

    def test_verdict_on_flapping_server_has_half_the_weight(self):
        made, weights = VerdictTracker(SPAN), []
        for turn in range(8):
            now = turn * SPAN // 2
            for seat in range(6):
                made.add_report(
                    now,
                    seat,
                    'ab'[seat % 2],
                    'life',
                    turn + 1,
                    report(now=now, **({'c3': 'silent'} if turn % 2 else {})),
                )
            weights.append(made.verdicts(now)[('c3', START), None].weight)
        self.assertEqual((weights[1], weights[-1]), (1.0, 0.5))

    def test_late_report_of_ended_life_does_not_replace_newer_one(self):
        made = verdict_tracker(fleet())
        made.add_report(500, 0, 'a', 'next', 1, report(now=500, c3='silent'))
        kept = dict(made.witnesses[0].rows)
        made.add_report(100, 0, 'a', 'life', 9, report(now=100))
        self.assertEqual(made.witnesses[0].rows, kept)


class MergeTests(unittest.TestCase):
    """Order, duplication and grouping of evidence make no difference."""

    def drawn(self, rng):
        results = ['well', 'failed', 'silent', 'refused']
        return [
            (
                seat,
                rng.choice('ab'),
                seq,
                report(c1=rng.choice([30, 300, *results[1:]]), c2=rng.choice([30, 300, *results[1:]])),
            )
            for seat in range(rng.randint(2, 7))
            for seq in range(1, rng.randint(2, 4))
        ]

    def found(self, rows, tracker_class=VerdictTracker):
        made = tracker_class(SPAN)
        for seat, site, seq, told in rows:
            made.add_report(0, seat, site, 'life', seq, told)
        return negatives(made)

    def differs(self, tracker_class=VerdictTracker):
        """Return whether order or duplication makes a difference in any of the random cases."""
        for seed in range(300):
            rng = Random(seed)
            rows = self.drawn(rng)
            other = rows + rng.choices(rows, k=len(rows))
            rng.shuffle(other)
            # Sorted, so that both end with the same newest report of each seat.
            if self.found(sorted(rows, key=lambda row: row[2]), tracker_class) != self.found(
                other, tracker_class
            ):
                return True
        return False

    def test_order_and_duplication_make_no_difference(self):
        self.assertFalse(self.differs())

    def test_planner_that_counts_duplicates_is_detected(self):
        class CountsDuplicates(VerdictTracker):
            def add_report(self, left, seat, site, life, seq, told):
                super().add_report(left, (seat, len(self.witnesses)), site, life, seq, told)

        self.assertTrue(self.differs(CountsDuplicates))

    def test_grouping_makes_no_difference(self):
        for seed in range(200):
            rng, rows = Random(seed), []
            for _ in range(4):
                row = Row()
                row.sent, row.well, row.last_bad, row.last_good = (
                    rng.randint(0, 9),
                    rng.randint(0, 9),
                    rng.choice([None, 3, 9]),
                    rng.choice([None, 2]),
                )
                row.last_answer = rng.choice([None, 1, 5])
                row.times[rng.randrange(12)] += 1
                rows.append(row)

            def plain(row):
                return row.sent, row.well, row.times, row.last_bad, row.last_good, row.last_answer

            one = Row().add(rows[0]).add(rows[1]).add(rows[2]).add(rows[3])
            other = Row().add(Row().add(rows[3]).add(rows[1])).add(Row().add(rows[2]).add(rows[0]))
            self.assertEqual(plain(one), plain(other))


def told(
    kind=SILENT, age=0, server='c3', witnesses=4, sites=2, weight=1.0, factor=1.0, answer_time=0, way=False
):
    """Return a verdict as a row of a plan."""
    return [server, START, kind, factor, answer_time, witnesses, sites, age, weight, way]


ALL = {(name, START): site for name, site in SITES.items()}


class ActiveVerdictsTests(unittest.TestCase):
    def word(self, made, now):
        """Return the word on c3, or None."""
        found = made.bounds_by_server(now, ALL).get(('c3', START))
        return found and found[1]

    def test_own_newer_evidence_takes_precedence(self):
        newest = 100 - max_elapsed(20)
        for kind, well in ((SILENT, True), (WELL, False)):
            for own, acts in ((newest - 1, True), (newest, False)):
                made = ActiveVerdicts(SPAN, lambda: 1.0)
                made.apply_plan(100, [told(kind, 20)])
                made.observe(own, ('c3', START), not well)
                made.observe(own, ('c3', START), well)
                with self.subTest(kind=kind, own=own):
                    self.assertEqual(self.word(made, 120) is not None, acts)

    def test_verdict_fades_and_ends(self):
        made = ActiveVerdicts(SPAN, lambda: 1.0)
        made.apply_plan(0, [told()])
        most = [self.word(made, now)[2] for now in (0, 600, 850)]
        self.assertTrue(1 / 32 == most[0] < most[1] < most[2] < 1)
        self.assertIsNone(self.word(made, min_elapsed(SPAN)))

    def test_word_for_each_kind_of_verdict(self):
        until = min_elapsed(SPAN)
        for row, word in (
            (told(FULL), (until, 0, 0.5, 0)),
            (told(SLOW, factor=4.0, answer_time=320), (until, 0, 0.25, 320)),
            (told(WELL), (until, 0.5, 1, 0)),
        ):
            made = ActiveVerdicts(SPAN, lambda: 1.0)
            made.apply_plan(0, [row])
            self.assertEqual(self.word(made, 0), word)

    def test_older_verdict_does_not_replace_newer_one(self):
        made = ActiveVerdicts(SPAN, lambda: 1.0)
        made.apply_plan(100, [told(WELL)])
        made.apply_plan(100, [told(SILENT, 50)])
        self.assertEqual(made.in_effect(101, ('c3', START)).kind, WELL)

    def test_verdict_on_unlisted_server_takes_effect_once_it_is_listed(self):
        made = ActiveVerdicts(SPAN, lambda: 1.0)
        made.apply_plan(0, [told(server='c99')])
        self.assertEqual(
            (made.bounds_by_server(0, ALL), list(made.bounds_by_server(10, {**ALL, ('c99', START): 'a'}))),
            ({}, [('c99', START)]),
        )
        self.assertEqual(made.bounds_by_server(10, {**ALL, ('c99', START + 1): 'a'}), {})

    def test_restrained_servers_stay_within_the_limits_most_certain_first(self):
        for count in (3, 8, 20, 60):
            sites = {('c%d' % number, START): 'abc'[number % 3] for number in range(count)}
            made = ActiveVerdicts(SPAN, lambda: 1.0)
            for first, way in ((0, False), (1, True)):  # as if from two planners that contradict each other
                made.apply_plan(
                    0,
                    [
                        told(server='c%d' % number, witnesses=2 + number, way=way)
                        for number in range(first, count, 2)
                    ],
                )
            down = [server for server, (held, _) in made.bounds_by_server(0, sites).items() if held.negative]
            self.assertLessEqual(len(down), MAX_RESTRAINED_SHARE * count)
            for site in 'abc':
                self.assertLessEqual(
                    sum(sites[server] == site for server in down),
                    max(1, MAX_RESTRAINED_SITE_SHARE * sum(s == site for s in sites.values())),
                )
            if count >= 8:
                self.assertEqual(down[0], ('c%d' % ((count - 1) // 2 * 2), START))

    def test_forwarders_return_to_their_own_view_at_different_times(self):
        ends = {ActiveVerdicts(SPAN, Random(seed).random).span for seed in range(40)}
        self.assertTrue(len(ends) > 20 and max(ends) <= min_elapsed(SPAN))


def history(seed, tracker_class=VerdictTracker, verdicts_class=ActiveVerdicts):
    """Run one random history of two reporting forwarders, a planner and an acting forwarder, whose clocks
    drift and whose messages are delayed and lost. Return the longest time, in ticks of the simulation, for
    which a verdict was in effect after its newest evidence."""
    rng = Random(seed)
    rates = [rng.choice((0.976, 1.0, 1.024)) for _ in range(4)]
    offsets = [rng.randrange(5_000) for _ in range(4)]
    clock = [lambda now, n=n: int(now * rates[n]) + offsets[n] for n in range(4)]
    planner, held = tracker_class(SPAN), verdicts_class(SPAN, rng.random)
    seen = {0: Seen(clock[0](0), SPAN), 1: Seen(clock[1](0), SPAN)}
    stamps, in_flight, newest, longest = {}, [], None, 0
    stop = rng.randrange(500, 2_500)  # from then on there is no evidence on c3
    for now in range(0, 6_000, 5):
        if now < stop and now % 50 == 0:
            for seat in seen:
                for _ in range(3):
                    seen[seat].ended(clock[seat](now), ('c3', START), 'silent', 0)
                    # The others do well, or it would count as load.
                    for other in ('c1', 'c2'):
                        seen[seat].ended(clock[seat](now), (other, START), 'well', 30)
            newest = now
        if now % 60 == 0:
            for seat in seen:
                stamp = stamps.get(seat)  # (the planner's time, when it arrived here)
                in_flight.append(
                    (
                        now + rng.choice((5, 50, 900)),
                        'up',
                        seat,
                        now,
                        stamp and (stamp[0], clock[seat](now) - stamp[1]),
                        seen[seat].report(clock[seat](now)),
                    )
                )
            in_flight.append((now + rng.choice((5, 50, 900)), 'ask', None, clock[3](now), None, None))
        due, in_flight = (
            [row for row in in_flight if row[0] <= now],
            [row for row in in_flight if row[0] > now],
        )
        for _, kind, seat, sent, stamp, told in due:
            if rng.random() < 0.2:
                continue
            if kind == 'up':
                stamps[seat] = (clock[2](now), clock[seat](now))
                if stamp:
                    left = min(clock[2](now), stamp[0] + min_elapsed(stamp[1]))
                    planner.add_report(left, seat, 'ab'[seat], 'life', sent + 1, told)
            elif kind == 'ask':
                made = [verdict.plain(clock[2](now)) for verdict in planner.verdicts(clock[2](now)).values()]
                in_flight.append((now + rng.choice((5, 50, 900)), 'plan', None, sent, None, made))
            else:
                held.apply_plan(sent, told)
        if held.in_effect(clock[3](now), ('c3', START)) is not None and held.received['c3', START].negative:
            longest = max(longest, now - newest)
    return longest


class SpanTests(unittest.TestCase):
    """No verdict is in effect for longer than its span after its newest evidence was seen."""

    def test_no_verdict_is_in_effect_after_its_span(self):
        found = [history(seed) for seed in range(150)]
        self.assertLessEqual(max(found), SPAN)
        self.assertGreater(max(found), SPAN // 2)  # otherwise the check is void

    def broken(self, **kinds):
        return any(history(seed, **kinds) > SPAN for seed in range(150))

    def test_faulty_variants_are_detected(self):
        class IgnoresEvidenceAge(VerdictTracker):
            """Treats a report as if its evidence were as new as its arrival."""

            def add_report(self, left, seat, site, life, seq, told):
                super().add_report(
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

        class IgnoresVerdictAge(ActiveVerdicts):
            """Ignores the age that a verdict has in the plan."""

            def apply_plan(self, asked, rows):
                super().apply_plan(asked, [[*row[:7], 0, *row[8:]] for row in rows])

        class IgnoresSpan(ActiveVerdicts):
            """Ignores the span."""

            def in_effect(self, now, server):
                return self.received.get(server)

        for kinds in (
            {'tracker_class': IgnoresEvidenceAge},
            {'verdicts_class': IgnoresVerdictAge},
            {'verdicts_class': IgnoresSpan},
        ):
            with self.subTest(kinds=kinds):
                self.assertTrue(self.broken(**kinds))

    def test_missing_limits_on_harm_and_witnesses_would_be_detected(self):
        original, both = active_verdicts.MAX_RESTRAINED_SHARE, verdicts.MIN_WITNESSES
        try:
            active_verdicts.MAX_RESTRAINED_SHARE = 2.0
            made = ActiveVerdicts(SPAN, lambda: 1.0)
            made.apply_plan(0, [told(server=name) for name in SERVERS])
            self.assertGreater(len(made.bounds_by_server(0, ALL)), MAX_RESTRAINED_SHARE * len(ALL))
            verdicts.MIN_WITNESSES = 1
            self.assertNotEqual(negatives(verdict_tracker([(0, 'a', report(c3='silent'))])), {})
        finally:
            active_verdicts.MAX_RESTRAINED_SHARE, verdicts.MIN_WITNESSES = original, both


if __name__ == '__main__':
    unittest.main()

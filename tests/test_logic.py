"""Unit tests of the routing decisions."""

import unittest

from lilacdyke.known import LOOKUP_WINDOW, MIN_SHARE, RACE_WINDOW, SET_ASIDE_AFTER, HedgeTimer, Histogram
from lilacdyke.logic import KeyFrequency, mix64

from .helpers import KEPT, ONCE, READ, add_server, ended, out, router, taken


class Ranking(unittest.TestCase):
    def test_hash_is_uniform_and_stable(self):
        """Neighbouring inputs spread evenly, with the same results in every process."""
        self.assertTrue(400 < sum(mix64(n) >> 63 for n in range(1000)) < 600)
        self.assertEqual(mix64(1), 0x910A2DEC89025CC1)

    def test_added_cache_moves_only_its_own_keys(self):
        node = router(5)
        before = {key: node.ranked(0, taken(node, key=key))[0] for key in map(str, range(200))}
        new = add_server(node, 'new')
        after = {key: node.ranked(0, taken(node, key=key))[0] for key in before}
        moved = [key for key in before if after[key] is not before[key]]
        self.assertTrue(moved and all(after[key] is new for key in moved))

    def test_cold_cache_is_weighted_by_age(self):
        node = router(2)
        fresh = add_server(node, 'f', started=0)
        self.assertEqual(
            [node.capacity_factor(at, fresh) for at in (0, 50_000, 100_000)], [0.2, 0.2 + 0.8 * 0.5, 1]
        )

    def home_zones(self, **other):
        """Return the zones of the home caches of 100 new keys, with three caches in each of two zones."""
        node = router(0, True, cross_zone_fee=0.06, waste_fee=0.04)
        for name, value in other.items():
            setattr(node, name, value)
        for number in range(6):
            add_server(node, 'c%d' % number, zone=number % 2)
        return [node.ranked(0, taken(node, key=str(key)))[0].zone for key in range(100)]

    def test_homes_stay_in_own_zone_when_crossing_is_expensive(self):
        self.assertEqual(sum(self.home_zones()), 0)

    def test_homes_leave_own_zone_when_it_is_slow(self):
        # A quarter of the goal moves half of the keys.
        far = sum(self.home_zones(lag=1250, latency_updated=1))
        self.assertTrue(10 < far < 45 and sum(self.home_zones(lag=2500, latency_updated=1)) > 35, far)

    def test_homes_are_shared_across_zones_when_the_origin_is_slow(self):
        node = router(3, True, cross_zone_fee=0.06, waste_fee=0.04)
        node.origin.lag, new = node.goal // 3, taken(node, key='new')
        known = [taken(node, key='known') for _ in range(2)][1]
        self.assertEqual([node.prefers_local(0, tx) for tx in (new, known)], [False, True])

    def test_hot_key_is_spread_over_several_caches(self):
        node = router(8)
        txs = [taken(node, key='hot') for _ in range(LOOKUP_WINDOW)]
        others = [taken(node, key='k%d' % n) for n in range(3 * LOOKUP_WINDOW)]
        homes = {node.ranked(0, tx)[0].name for tx in (taken(node, key='hot') for _ in range(40))}
        self.assertEqual(
            (len(homes) > 3, txs[0].key_seen, txs[1].key_seen, others[0].key_seen), (True, False, True, False)
        )

    def test_hot_key_among_many_caches_is_detected_in_the_key_history(self):
        """With 191 caches, a key with 2% of the reads has four times the fair share of a cache."""
        node = router(191)
        for number in range(200):
            taken(node, key='hot' if number % 50 == 0 else 'k%d' % number)
        homes = {node.ranked(0, taken(node, key='hot'))[0].name for _ in range(20)}
        self.assertGreater(len(homes), 3)

    def test_key_frequency_memory_is_bounded(self):
        lookups = KeyFrequency(4)
        for key_hash in (1, 1, 1, 2, 3, 4, 5):
            lookups.add(key_hash)
        self.assertEqual((lookups.counts, len(lookups.latest)), ({2: 1, 3: 1, 4: 1, 5: 1}, 4))


class SkipOverloaded(unittest.TestCase):
    def state(self, extra):
        node = router(4)
        tx = taken(node)
        first, second = node.ranked(0, tx)[:2]
        first.out = node.total_out = extra
        return node, tx, first, second

    def test_cache_far_above_mean_load_is_skipped(self):
        node, tx, _, second = self.state(5)
        self.assertIs(node.choose_cache(0, tx), second)

    def test_cache_near_mean_load_is_kept(self):
        node, tx, first, _ = self.state(4)
        self.assertIs(node.choose_cache(0, tx), first)

    def test_read_stays_with_its_home_without_budget(self):
        node, tx, first, _ = self.state(5)
        node.retry_budget = 0
        self.assertIs(node.choose_cache(0, tx), first)

    def test_read_is_rejected_when_all_caches_are_full(self):
        node, tx, *_ = self.state(0)
        for cache in node.caches:
            cache.out, cache.in_flight_limit = 1, 1.0
        self.assertIsNone(node.choose_cache(0, tx))

    def test_set_aside_cache_gets_reduced_traffic(self):
        node, tx, first, second = self.state(0)
        first.share, node.uniform = MIN_SHARE, lambda: 0.5
        self.assertIs(node.choose_cache(0, tx), second)

    def test_reduced_share_holds_when_all_caches_are_set_aside(self):
        node, tx, *_ = self.state(0)
        node.uniform = lambda: 0.5
        for cache in node.caches:
            cache.share = MIN_SHARE
        self.assertIsNone(node.choose_cache(0, tx))

    def test_write_avoids_a_set_aside_cache(self):
        node, _, *_ = self.state(0)
        node.uniform, write = lambda: 0.5, taken(node, KEPT, write=True)
        first, second = node.ranked(0, write)[:2]
        first.share = MIN_SHARE
        self.assertIs(node.choose_cache(0, write), second)

    def test_writes_respect_in_flight_limits_under_overload(self):
        node, *_ = self.state(0)
        node.good_hops, node.bad_hops, write = 1, 9, taken(node, KEPT, write=True)
        for cache in node.caches:
            cache.out, cache.in_flight_limit = 1, 1.0
        self.assertIsNone(node.choose_cache(0, write))


class HedgeDelay(unittest.TestCase):
    def test_delay_without_history_is_the_default(self):
        self.assertEqual(HedgeTimer(100).next_delay(1250, 2500), 1250)

    def test_delay_follows_the_latency_quantile(self):
        hedge_timer = HedgeTimer(100)
        for _ in range(40):
            hedge_timer.latencies.add(150)
        self.assertEqual(hedge_timer.next_delay(1250, 2500), 3 * hedge_timer.latencies.quantile(0.95) // 2)

    def test_delay_after_lost_races_is_zero_then_mean_plus_deviation(self):
        hedge_timer = HedgeTimer(100)
        for turn in range(RACE_WINDOW // 2 + 1):
            hedge_timer.record_race(True, 300)
        self.assertEqual(
            (hedge_timer.next_delay(1250, 2500), hedge_timer.next_delay(1250, 2500)),
            (0, sum(hedge_timer.hedge_latencies.mean_and_deviation())),
        )

    def test_delay_is_unchanged_after_half_of_the_races_are_lost(self):
        hedge_timer = HedgeTimer(100)
        for turn in range(RACE_WINDOW):
            hedge_timer.record_race(turn % 2 == 0, 300)
        self.assertIsNone(hedge_timer.fast_stage)

    def test_delay_returns_to_the_default_after_unhedged_lookups(self):
        hedge_timer = HedgeTimer(100)
        hedge_timer.fast_stage, hedge_timer.since_hedge = 1, LOOKUP_WINDOW
        self.assertEqual(hedge_timer.next_delay(1250, 2500), 1250)

    def test_delay_doubles_with_each_copy(self):
        node = router(4)
        tx = taken(node)
        out(node, tx, node.caches[0])
        tx.hedge_delay, node.retry_budget = 100, 5
        node.step_read(100, tx, True)
        self.assertEqual((tx.hedge_delay, tx.next_send_at), (200, 300))

    def test_no_copy_without_budget(self):
        node = router(4)
        tx = taken(node)
        out(node, tx, node.caches[0])
        tx.next_send_at, node.retry_budget = 0, 0
        self.assertIsNone(node.step_in_flight(100, tx))

    def test_overload_adds_nothing_to_the_retry_budget(self):
        node = router(4)
        node.retry_budget, node.good_hops, node.bad_hops = 0, 10, 10
        taken(node)
        self.assertEqual(node.retry_budget, 0)

    def test_no_retry_after_an_error_without_budget(self):
        node = router(3)
        tx = taken(node, KEPT, write=True)
        ended(node, tx, node.caches[0], 'error')
        node.retry_budget = 0.5
        self.assertEqual((node.pay_for_retry(0, tx), node.retry_budget), (False, 0.5))


class HistogramTests(unittest.TestCase):
    def test_quantile_is_interpolated_within_its_bin(self):
        times = Histogram(100)
        for value in (120, 120, 120, 900):
            times.add(value)
        self.assertTrue(100 <= times.quantile(0.5) <= 142 and 800 <= times.quantile(1) <= 1132)

    def test_old_samples_decay(self):
        times = Histogram(100)
        for _ in range(Histogram.DECAY_AFTER):
            times.add(50)
        self.assertEqual(times.total, Histogram.DECAY_AFTER // 2)


class Gate(unittest.TestCase):
    def permitted(self, row, write=True, how='expired', ran=True, now=100, **other):
        node = router(3, **other)
        tx = taken(node, row, write=write)
        ended(node, tx, node.caches[0], how, ran=ran)
        return node.permitted(now, tx, node.caches[1])

    def test_non_idempotent_is_not_retried_if_it_may_have_run(self):
        self.assertFalse(self.permitted(ONCE))

    def test_non_idempotent_is_retried_if_it_did_not_run(self):
        self.assertTrue(self.permitted(ONCE, how='refused', ran=False))

    def test_journalled_is_retried_within_its_window_only(self):
        self.assertTrue(self.permitted(KEPT, now=3900))
        self.assertFalse(self.permitted(KEPT, now=3990))

    def test_journalled_is_retried_within_its_group_only(self):
        node = router(2)
        tx = taken(node, KEPT, write=True)
        tx.profile.group = 'zone'
        ended(node, tx, node.caches[0], 'expired')
        self.assertFalse(node.permitted(0, tx, add_server(node, 'far', zone=1)))

    def test_no_hop_after_the_limit_or_the_end(self):
        node = router(2)
        tx = taken(node)
        self.assertFalse(node.permitted(20_000, tx, node.caches[0]))
        tx.done = True
        self.assertFalse(node.permitted(0, tx, node.caches[0]))

    def test_number_of_hops_is_bounded(self):
        self.assertFalse(self.permitted(READ, False, max_hops=1))

    def test_no_hedge_if_the_site_forbids_copies(self):
        node = router(2, may_hedge=False)
        tx = taken(node)
        out(node, tx, node.caches[0])
        self.assertFalse(node.permitted(0, tx, node.caches[1]))

    def test_draining_server_gets_no_hop(self):
        node = router(2)
        server = node.caches[0]
        node.list_changed(0, [(server, 'draining', 1, None, 0, 0)])
        self.assertFalse(node.permitted(0, taken(node), server))

    def test_server_missing_from_a_replaced_list_is_gone(self):
        node = router(2)
        kept, lost = node.caches
        node.list_replaced(0, [(kept, 'ready', 1, None, 0, 0)])
        self.assertFalse(node.permitted(0, taken(node), lost))

    def test_cold_cache_rate_is_bounded_by_the_warm_rate(self):
        node = router(2)
        fresh = add_server(node, 'f', started=0)
        node.peak_warm_rate = 40
        sent = 0
        while node.cold_budget_allows(0, fresh):
            fresh.cold_credit -= 1
            sent += 1
        self.assertLess(sent, 40 * 0.2 * 3)

    def test_cold_cache_rate_is_bounded_across_many_nodes(self):
        """Each node's allowance is a fraction of a hop per window; the sum over all nodes is bounded."""
        first = 0
        for seed in range(300):
            node = router(2, nodes=300, seed=seed)
            fresh = add_server(node, 'f', started=0)
            node.peak_warm_rate = 0.25
            first += node.cold_budget_allows(10_000, fresh)
        self.assertTrue(0 < first < 300 * 0.25 * 0.28 * 3)

    def test_cold_budget_remains_without_warm_caches(self):
        node = router(2)
        fresh = add_server(node, 'f', started=0)
        node.peak_warm_rate, fresh.cold_credit = 40, 0
        for cache in node.caches:
            cache.started = 0
        self.assertTrue(node.cold_budget_allows(5000, fresh))

    def test_server_restarted_under_the_same_id_is_cold(self):
        node = router(2)
        server = node.caches[0]
        node.list_changed(50, [(server, 'ready', 1, 40, 0, 0)])
        self.assertEqual(node.capacity_factor(40, server), 0.2)


class GivingUp(unittest.TestCase):
    def answer(self, row, ran):
        node = router(1)
        tx = taken(node, row, write=True)
        ended(node, tx, node.caches[0], 'expired', ran=ran)
        return node.give_up(0, tx)[0]

    def test_non_idempotent_that_may_have_run_is_abandoned(self):
        self.assertEqual(self.answer(ONCE, True), 'abandon')

    def test_non_idempotent_that_did_not_run_is_rolled_back(self):
        self.assertEqual(self.answer(ONCE, False), 'roll_back')

    def test_journalled_by_all_is_rolled_back(self):
        self.assertEqual(self.answer(KEPT, True), 'roll_back')

    def test_empty_list_is_answered_at_once(self):
        node = router(0)
        tx = taken(node)
        self.assertEqual(node.decide(0), ('roll_back', tx, 0))

    def test_miss_without_an_origin_is_answered_at_once(self):
        node = router(1, origin=True)
        node.origin, tx = None, taken(node)
        tx.missed = node.caches[0]
        self.assertEqual(node.step_fetch(0, tx)[0], 'roll_back')

    def test_client_that_left_cancels_its_hop(self):
        node = router(1)
        tx = taken(node)
        hop = out(node, tx, node.caches[0])
        tx.done = True
        self.assertEqual(node.cancel(tx), ('cancel', hop))

    def test_expired_transaction_without_hops_is_rolled_back(self):
        node = router(1)
        tx = taken(node)
        self.assertEqual(node.next_decision(20_000, tx)[0], 'roll_back')

    def test_request_that_waited_too_long_is_rolled_back_unsent(self):
        decisions = []
        for now in (2_500, 2_501):  # a goal is 5,000
            node = router(1)
            tx = node.take(now, 0, 'k', 20_000, False, 0)
            decisions.append(node.next_decision(now, tx)[0])
        self.assertEqual(decisions, ['send', 'roll_back'])

    def test_reads_that_waited_add_nothing_to_the_retry_budget(self):
        left = []
        for now in (625, 626):  # an eighth of the goal is 625
            node = router(1)
            node.retry_budget = 0
            node.take(now, 0, 'k', 20_000, False, 0)
            left.append(node.retry_budget)
        self.assertEqual((left[0] > 0, left[1]), (True, 0))

    def test_no_wake_up_is_requested_for_finished_transactions(self):
        node = router(1)
        first = taken(node, limit=20_000)
        taken(node, limit=30_000)
        node.ready.clear()
        first.done = True
        self.assertEqual(node.decide(1), ('wake', 30_000))

    def test_no_retry_storm_on_errors(self):
        node = router(3)
        tx = taken(node)
        ended(node, tx, node.caches[0], 'error')
        node.retry_budget = 0
        self.assertEqual(node.step_read(0, tx, False)[0], 'roll_back')


class ServerHealth(unittest.TestCase):
    def test_two_errors_in_a_row_set_a_cache_aside(self):
        """Fast errors must not count as answers, or each would raise the share of the failing cache."""
        node, shares = router(3), []
        server = node.caches[0]
        for at in (10, 20):
            node.hop_ended(at, out(node, taken(node), server), 'error', 10, False, 0)
            shares.append(server.share)
        self.assertEqual((shares, server.hedge_timer.latencies.total), ([0.5, MIN_SHARE], 0))

    def test_retry_after_an_error_is_free_unless_overloaded(self):
        node = router(3)
        for node.bad_hops, want in ((0, 'send'), (1, 'roll_back')):
            tx, node.retry_budget = taken(node), 0
            ended(node, tx, node.caches[0], 'error').failed = True
            self.assertEqual(node.step_read(0, tx, False)[0], want)

    def test_refused_read_is_retried_only_if_the_origin_accepts_it(self):
        node = router(3, True)
        for node.origin.lag, want in ((0, 'send'), (node.goal, 'roll_back')):
            node.uniform, tx = lambda: 0.5, taken(node)
            ended(node, tx, node.caches[0], 'refused', ran=False)
            self.assertEqual(node.step_read(0, tx, False)[0], want)

    def test_fewer_refused_reads_are_retried_under_overload(self):
        node, answers = router(3), []
        for node.good_hops, node.bad_hops in ((8, 2), (4, 6)):
            node.uniform, tx = lambda: 0.5, taken(node)
            ended(node, tx, node.caches[0], 'refused', ran=False)
            answers.append(node.pay_for_retry(0, tx))
        self.assertEqual(answers, [True, False])

    def test_origin_accepts_slower_fetches_if_late_answers_earn(self):
        node = router(3, True)
        node.origin.lag, tx, answers = node.goal * 4 // 10, taken(node), []
        for tx.profile.late_revenue in (0, 0.5):
            answers.append(node.accepts_read(0, tx, node.origin, 0.9))
        self.assertEqual(answers, [False, True])

    def test_unanswered_hops_set_a_cache_aside(self):
        node = router(2)
        for _ in range(SET_ASIDE_AFTER):
            node.record_silence(0, node.caches[0])
        self.assertEqual(node.caches[0].share, MIN_SHARE)

    def test_share_doubles_after_an_answer(self):
        node = router(2)
        server = node.caches[0]
        server.share = MIN_SHARE
        hop = out(node, taken(node), server)
        node.hop_ended(10, hop, 'committed', 10, True, 0)
        self.assertAlmostEqual(server.share, 2 * MIN_SHARE, 3)

    def test_share_recovers_with_time(self):
        """One of hundreds of nodes may have no transaction for a cache for a minute."""
        node = router(2)
        node.caches[0].share = MIN_SHARE
        self.assertEqual(node.current_share(8 * node.goal * 5, node.caches[0]), 1)

    def test_share_recovers_after_an_hour(self):
        """The decay factor of an old observation stays above zero, since the share is divided by it."""
        node = router(2)
        node.caches[0].share = MIN_SHARE
        self.assertEqual(node.current_share(36_000_000, node.caches[0]), 1)

    def test_share_is_halved_at_the_lowest_in_flight_limit(self):
        node = router(2)
        server, tx = node.caches[0], taken(node)
        server.in_flight_limit, server.lag = 1.0, 4000
        node.update_in_flight_limit(4000, out(node, tx, server), 'committed', 4000)
        self.assertEqual(server.share, 0.5)

    def test_errors_lower_the_in_flight_limit(self):
        node = router(2)
        server = node.caches[0]
        node.update_in_flight_limit(10, out(node, taken(node), server), 'error', 10)
        self.assertLess(server.in_flight_limit, 2)

    def test_early_cancelled_hop_does_not_count_as_unanswered(self):
        doubts = []
        for lasted in (200, 201):
            node = router(2)
            server, hop = node.caches[0], out(node, taken(node), node.caches[0])
            server.lag, hop.dropped = 100, True
            node.hop_ended(1000, hop, 'cancelled', lasted, True, 0)
            doubts.append(server.unanswered_hops)
        self.assertEqual(doubts, [0, 1])

    def test_lost_connection_does_not_count_as_load(self):
        node = router(2)
        server, limit, poor = node.caches[0], node.caches[0].in_flight_limit, node.bad_hops
        node.hop_ended(10, out(node, taken(node), server), 'lost', 10, False, 0)
        self.assertEqual((server.unanswered_hops, server.in_flight_limit, node.bad_hops), (1, limit, poor))

    def test_spoilt_answer_only_shows_that_the_server_is_alive(self):
        node = router(2)
        server, limit, poor = node.caches[0], node.caches[0].in_flight_limit, node.bad_hops
        server.unanswered_hops = SET_ASIDE_AFTER - 1
        hop = out(node, taken(node), server)
        node.hop_ended(10, hop, 'spoilt', 10, False, 0)
        self.assertEqual(
            (server.unanswered_hops, server.in_flight_limit, node.bad_hops, hop.ran), (0, limit, poor, True)
        )

    def test_in_flight_limit_falls_after_several_slow_answers(self):
        node = router(2)
        server, seen = node.caches[0], []
        for now in (4000, 8001, 12_002):
            hop = out(node, taken(node), server, now - 4000)
            node.hop_ended(now, hop, 'committed', 4000, True, 0)
            seen.append(server.in_flight_limit)
        self.assertEqual((seen[0] >= 32, seen[-1] < 2), (True, True))

    def test_in_flight_limit_falls_after_one_slow_answer_if_answers_are_rare(self):
        node = router(2)
        hop, node.gets_hops_often = out(node, taken(node), node.caches[0]), False
        node.hop_ended(4000, hop, 'committed', 4000, True, 0)
        self.assertLess(node.caches[0].in_flight_limit, 2)


class Fetches(unittest.TestCase):
    def test_non_repeatable_request_is_fetched_after_a_miss(self):
        for row in (KEPT, ONCE):
            with self.subTest(row=row):
                node = router(3, origin=True)
                tx = taken(node, row)
                _, hop, _ = node.decide(0)
                node.hop_ended(10, hop, 'missing', 10, False, 0)
                verb, fetch, _ = node.decide(10)
                self.assertEqual((hop.server.origin, verb, fetch.server.origin), (False, 'send', True))
                node.hop_ended(20, fetch, 'lost', 10, False, 0)
                verbs = [decision[0] for decision in iter(lambda: node.decide(20), None)]
                self.assertEqual(
                    ('send' in verbs, 'abandon' in verbs, len(tx.hops)),
                    (True, False, 3) if row == KEPT else (False, True, 2),
                )

    def test_non_repeatable_request_waits_for_a_fetch_of_its_key(self):
        node = router(3, origin=True)
        both = taken(node, ONCE), taken(node, ONCE)
        hops = [node.decide(0)[1], node.decide(0)[1]]
        for hop in hops:
            node.hop_ended(10, hop, 'missing', 10, False, 0)
        fetch = node.decide(10)[1]
        other = both[fetch.tx is both[0]]
        self.assertEqual((fetch.server.origin, node.decide(10)[0], other.held), (True, 'wake', True))
        node.hop_ended(20, fetch, 'committed', 10, True, 0)
        again = node.decide(20)[1]
        self.assertEqual((again.tx, again.server), (other, other.hops[0].server))

    def test_reads_of_one_key_share_a_fetch(self):
        node = router(2, origin=True)
        leader, follower = taken(node), taken(node)
        node.fetching['k'] = leader
        follower.missed = node.caches[0]
        node.step_fetch(0, follower)
        self.assertTrue(follower.held and node.followers['k'] == [follower])

    def test_followers_retry_when_the_leader_ends(self):
        node = router(2, origin=True)
        leader, follower = taken(node), taken(node)
        node.fetching['k'], node.followers['k'] = leader, [follower]
        follower.held, follower.missed = True, node.caches[0]
        node.client_gone(0, leader)
        self.assertIs(follower.retry_cache, node.caches[0])

    def test_number_of_fetches_is_bounded(self):
        node = router(2, origin=True)
        node.origin.in_flight_limit, node.origin.out, tx = 1.0, 1, taken(node)
        tx.missed = node.caches[0]
        node.step_fetch(0, tx)
        self.assertTrue(tx.queued and not tx.hops)

    def test_fetch_is_rejected_when_the_origin_is_slow(self):
        node = router(2, origin=True)
        node.origin.lag, node.uniform, tx = node.goal, lambda: 0.5, taken(node)
        tx.missed = node.caches[0]
        self.assertEqual(node.step_fetch(0, tx)[0], 'roll_back')


class ExpectedWait(unittest.TestCase):
    def test_fewer_reads_are_accepted_as_the_expected_wait_grows(self):
        """Many nodes with few hops each can overload the caches together."""
        node = router(3)
        tx, sent, node.gets_hops_often = taken(node), [], False
        for node.lag in (node.goal // 4, node.goal // 2, node.goal):
            node.caches[0].lag = node.lag
            sent.append(sum(node.accepts_read(0, tx, node.caches[0], turn / 100) for turn in range(100)))
        self.assertEqual((sent[0], 40 < sent[1] < 60, sent[2]), (100, True, 4))

    def test_busy_node_relies_on_its_in_flight_limit(self):
        node = router(3)
        node.interval, tx = node.goal // 6, taken(node)
        node.lag = node.caches[0].lag = node.goal
        self.assertTrue(node.accepts_read(0, tx, node.caches[0], 0.9))

    def test_busy_node_sends_less_under_overload(self):
        """One hop from each node to each cache can keep an origin behind them down."""
        node = router(3)
        node.interval, node.bad_hops, tx = node.goal // 6, 1, taken(node)
        node.lag = node.caches[0].lag = node.goal
        self.assertFalse(node.accepts_read(0, tx, node.caches[0], 0.9))

    def test_expected_wait_decays(self):
        """A node that sends little gets too few answers to learn that an overload is over."""
        node = router(3)
        node.lag = node.caches[0].lag = node.goal
        self.assertLess(node.expected_wait(5 * 8 * node.goal, node.caches[0]), node.goal / 7)

    def test_failed_connection_affects_that_server_only(self):
        """An unreachable zone must not raise the wait expected of the other caches."""
        node = router(3)
        node.record_latency(0, out(node, taken(node), node.caches[0]), 'unreachable', 2500)
        self.assertTrue(node.caches[0].lag > 0 and node.lag == 0)

    def test_read_is_timed_out_at_its_goal_under_overload(self):
        node = router(3)
        node.bad_hops, tx = 10, taken(node)
        self.assertEqual(node.send(100, tx, node.caches[0], False)[2], node.goal - 100)

    def test_fetch_is_not_timed_out_under_overload(self):
        node = router(3, origin=True)
        node.bad_hops, tx = 10, taken(node)
        self.assertIsNone(node.send(100, tx, node.origin, False)[2])


class ServerList(unittest.TestCase):
    def test_list_is_requested_at_start(self):
        self.assertEqual(router(0, list_on_request=True).decide(0), ('watch',))

    def test_list_retry_backoff_is_capped(self):
        node = router(0, list_on_request=True)
        node.uniform, waits = lambda: 0.5, []
        for _ in range(12):
            node.list_failed(0)
            waits.append(node.list_request_at)
        self.assertTrue(waits[0] < waits[1] <= waits[-1] < node.terms.list_request_within)

"""The mutants: deliberately broken programs, which show that the checks can fail.

Lists how each is broken (broken_nodes.py, broken_fleets.py) and the scenarios that it is played with
(mutant_scenarios.py). The checks do not know of mutants.
"""

from . import broken_fleets, broken_nodes, draw, mutant_scenarios
from .scenario import Bound, Event, check


class Mutant:
    """A broken variant of the program. kinds: faults that should reveal it; most: the most faults per run."""

    def __init__(self, about, build, kinds, fit=None, most=3, drawn=draw.scenario):
        self.about, self.build, self.kinds, self.fit, self.most = (
            about,
            build,
            {kind: 1 for kind in kinds},
            fit,
            most,
        )
        self.drawn = drawn

    def scenario(self, seed):
        """Return the scenario of a seed: random, with the kinds of faults that should reveal the mutant, and
        adapted by `fit` if that is too rare."""
        base = self.drawn(seed, self.kinds, self.most)
        return check(self.fit(base)) if self.fit else base

    def apply(self, environment):
        """Patch the program for a run."""
        uniform = environment.random_source('mutant').random
        self.build(environment.put, uniform)


MUTANTS = {
    row[0].replace('_', '-'): Mutant(*row[1:])
    for row in (
        ('drain_ignored', 'sends after a drain', broken_nodes.drain_ignored, mutant_scenarios.DRAIN_FAULTS),
        (
            'gone_ignored',
            'sends to servers that have left the list',
            broken_nodes.gone_ignored,
            mutant_scenarios.DRAIN_FAULTS + ('replace',),
        ),
        (
            'window_ignored',
            'repeats a journalled transaction outside of its window',
            broken_nodes.window_ignored,
            (),
            mutant_scenarios.retry_after_window,
        ),
        (
            'group_ignored',
            'repeats a journalled transaction outside of its group',
            broken_nodes.group_ignored,
            (),
            mutant_scenarios.group_by_site,
        ),
        (
            'lost_is_never_ran',
            'treats a lost hop as one that never ran',
            broken_nodes.lost_is_never_ran,
            ('resets', 'halved'),
        ),
        (
            'left_forgotten',
            'claims "never ran" after the last byte',
            broken_nodes.left_forgotten,
            ('resets', 'halved'),
        ),
        (
            'leavers_served',
            'sends requests on for clients that have disconnected',
            broken_nodes.leavers_served,
            (),
            mutant_scenarios.disconnect_during_pauses,
        ),
        (
            'leavers_served_soon',
            'the same, after pauses of 0.2 s',
            broken_nodes.leavers_served,
            (),
            mutant_scenarios.disconnect_during_short_pauses,
        ),
        ('answer_dropped', 'drops an answer', broken_nodes.answer_dropped, ('slow',)),
        ('answer_doubled', 'answers twice', broken_nodes.answer_doubled, ('slow',)),
        ('answers_mixed', 'mixes answers of two requests', broken_nodes.answers_mixed, ('slow',)),
        (
            'answer_cut_short',
            'forwards an answer without its last byte',
            broken_nodes.answer_cut_short,
            ('slow',),
        ),
        (
            'cold_flooded',
            'treats a cold server as a warm one',
            broken_nodes.cold_flooded,
            (),
            mutant_scenarios.overload_cold_servers,
        ),
        (
            'credit_endless',
            'has no budget limit at a cold server',
            broken_nodes.credit_endless,
            (),
            mutant_scenarios.overload_cold_servers,
        ),
        (
            'clock_mistaken',
            "reads a server's start an hour too early",
            broken_nodes.clock_mistaken,
            (),
            mutant_scenarios.overload_cold_servers,
        ),
        ('hop_leaked', 'forgets that a hop has ended', broken_nodes.hop_leaked, ('slow',)),
        ('slot_leaked', 'does not free a slot', broken_nodes.slot_leaked, ('slow',)),
        (
            'descriptor_leaked',
            'forgets a connection without closing it',
            broken_nodes.descriptor_leaked,
            ('slow', 'hung', 'halved'),
        ),
        (
            'change_missed',
            'misses a change of the list',
            broken_nodes.change_missed,
            mutant_scenarios.DRAIN_FAULTS,
        ),
        (
            'versions_skipped',
            'resumes a lost watch from too late a version',
            broken_nodes.versions_skipped,
            (),
            mutant_scenarios.silence_discovery,
        ),
        (
            'asks_when_told_to',
            'does not reopen a lost watch by itself',
            broken_nodes.asks_when_told_to,
            (),
            mutant_scenarios.silence_discovery_on_request,
        ),
        (
            'cut_at_the_limit',
            'cuts off a large answer at its limit',
            broken_nodes.cut_at_the_limit,
            (),
            mutant_scenarios.long_answers,
        ),
        (
            'held_past_the_limit',
            'buffers an answer without a content length until 64 KiB have arrived',
            broken_nodes.held_past_the_limit,
            (),
            mutant_scenarios.long_answers_without_length,
        ),
        (
            'held_without_limit',
            'buffers a large request without a time limit',
            broken_nodes.held_without_limit,
            (),
            mutant_scenarios.long_requests,
        ),
        (
            'unread_before_first_list',
            'reads no client before the first list',
            broken_nodes.unread_before_first_list,
            (),
            mutant_scenarios.start_in_outage,
        ),
        (
            'queue_left_unread',
            'leaves the accept queue alone while all slots are taken',
            broken_nodes.queue_left_unread,
            (),
            mutant_scenarios.all_slots_taken,
        ),
        ('wakeup_lost', 'loses a wake-up', broken_nodes.wakeup_lost, ('hung', 'slow')),
        (
            'limit_ignored',
            'ignores the time limit of requests',
            broken_nodes.limit_ignored,
            ('hung', 'vanish', 'cut'),
        ),
        ('loser_kept', 'never cancels hops that lost', broken_nodes.loser_kept, ('slow',)),
        ('body_changed', 'changes a request body', broken_nodes.body_changed, ('slow',)),
        (
            'always_harmless',
            'reports that a retry is harmless when it is not',
            broken_nodes.always_harmless,
            ('resets', 'halved', 'hung'),
        ),
        ('hop_doubled', 'sends a hop twice below the router', broken_nodes.hop_doubled, ('slow',)),
        (
            'hops_unbounded',
            'sends more hops than a transaction may have',
            broken_nodes.hops_unbounded,
            (),
            mutant_scenarios.decline_requests,
        ),
        ('leaves_at_once', 'exits on SIGTERM with requests open', broken_nodes.leaves_at_once, ('term',)),
        ('counts_wrongly', 'counts a committed transaction twice', broken_nodes.counts_wrongly, ('slow',)),
        ('framings_chosen', 'accepts a request with two framings', broken_nodes.framings_chosen, ('slow',)),
        ('silent_kept', 'does not disconnect silent clients', broken_nodes.silent_kept, ('slow',)),
        (
            'noise_raises',
            'raises an exception for invalid protocol data',
            broken_nodes.noise_raises,
            ('garbled',),
        ),
        ('missing_is_served', 'serves a client with a miss', broken_nodes.missing_is_served, ('miss',)),
        ('half_is_whole', 'treats a truncated answer as complete', broken_nodes.half_is_whole, ('halved',)),
        (
            'ban_lost',
            'forgets that a server is suspended when a list names it',
            broken_nodes.ban_lost,
            (),
            mutant_scenarios.suspend_servers,
        ),
        (
            'copy_to_suspended',
            'sends a hedge to a suspended server',
            broken_nodes.copy_to_suspended,
            (),
            mutant_scenarios.suspend_servers,
        ),
        (
            'back_as_warm',
            'treats a resumed server as warm',
            broken_nodes.back_as_warm,
            (),
            mutant_scenarios.resume_cold,
        ),
        (
            'idle_kept',
            'keeps idle clients on a drained node',
            broken_nodes.idle_kept,
            (),
            mutant_scenarios.drain_node,
        ),
        (
            'never_away',
            'reports that a drained node is ready',
            broken_nodes.never_away,
            (),
            mutant_scenarios.drain_node,
        ),
        (
            'never_back',
            'does not become ready after activation',
            broken_nodes.never_back,
            (),
            mutant_scenarios.drain_node,
        ),
        (
            'part_spent_twice',
            'spends budget that it lent out',
            broken_fleets.part_spent_twice,
            (),
            mutant_scenarios.with_limit(
                'open',
                18,
                floor=1,
                length=15.0,
                events=[
                    Event(at_s=0.5, kind='shift', what=[0], for_s=12.0),
                    Event(at_s=11.5, kind='slow', count=4, for_s=3.0, size=60.0),
                    Event(at_s=12.5, kind='burst', for_s=2.0, size=3.0),
                ],
            ),
            3,
            draw.planned,
        ),
        (
            'lease_past_its_end',
            'uses a lease past its end',
            broken_fleets.lease_past_its_end,
            (),
            mutant_scenarios.with_limit(
                'requests', 0.4, floor=0.1, length=10.0, events=mutant_scenarios.AWAY
            ),
            3,
            draw.planned,
        ),
        (
            'tokens_not_taken',
            'does not subtract what it spends from its budget',
            broken_fleets.tokens_not_taken,
            mutant_scenarios.PLANNER_FAULTS,
            mutant_scenarios.with_limit('requests', 0.4),
            3,
            draw.planned,
        ),
        (
            'bucket_without_bound',
            'accumulates unused budget without bound',
            broken_fleets.bucket_without_bound,
            (),
            mutant_scenarios.with_limit(
                'requests', 200, events=[Event(at_s=3.0, kind='burst', for_s=2.0, size=4.0)]
            ),
            3,
            draw.planned,
        ),
        (
            'seat_held_twice',
            'takes a seat that another node holds',
            broken_fleets.seat_held_twice,
            (),
            mutant_scenarios.with_limit('requests', 0.4, floor=1, seats=2),
            3,
            draw.planned,
        ),
        (
            'bank_forgets_leases',
            'a planner lends twice',
            broken_fleets.bank_forgets_leases,
            (),
            mutant_scenarios.with_limit(
                'requests', 0.4, floor=0.1, lease=1.5, length=10.0, events=mutant_scenarios.AWAY
            ),
            3,
            draw.planned,
        ),
        (
            'waits_for_a_plan',
            'refuses until a planner has answered',
            broken_fleets.waits_for_a_plan,
            (),
            mutant_scenarios.with_limit(
                'requests', 0.5, events=[Event(at_s=2.0, kind='kill_planner', what=[0, 1, 2], for_s=6.0)]
            ),
            3,
            draw.planned,
        ),
        (
            'planner_lends_at_once',
            'a planner lends right after its start',
            broken_fleets.planner_lends_at_once,
            (),
            mutant_scenarios.with_limit(
                'requests', 0.4, floor=0.1, lease=1.5, length=10.0, events=mutant_scenarios.PLANNER_RESTARTS
            ),
            3,
            draw.planned,
        ),
        (
            'limit_read_once',
            'reads a limit once, at its start',
            broken_fleets.limit_read_once,
            (),
            mutant_scenarios.with_limit('requests', 0.5, length=10.0, events=mutant_scenarios.LOWER_LIMIT),
            3,
            draw.planned,
        ),
        (
            'links_not_counted',
            'does not count connections',
            broken_fleets.links_not_counted,
            ('burst',),
            mutant_scenarios.with_limit('links', 6),
            3,
            draw.planned,
        ),
        (
            'cold_not_asked',
            'does not check the budget of cold servers',
            broken_fleets.cold_not_asked,
            (),
            mutant_scenarios.with_limit(
                'cold', 3, length=10.0, events=[Event(at_s=1.0, kind='crash', count=2, for_s=0.5)]
            ),
            3,
            draw.planned,
        ),
        (
            'smaller_lease_held',
            'reports a smaller lease than it uses',
            broken_fleets.smaller_lease_held,
            (),
            mutant_scenarios.with_limit(
                'open', 12, floor=0.25, length=12.0, events=mutant_scenarios.HANGING_REQUESTS
            ),
            3,
            draw.planned,
        ),
        (
            'plan_without_age',
            'counts a lease from the arrival of its plan, and extends it',
            broken_fleets.plan_without_age,
            (),
            mutant_scenarios.with_limit(
                'requests', 0.4, floor=0.1, length=10.0, events=mutant_scenarios.AWAY
            ),
            3,
            draw.planned,
        ),
        (
            'age_not_carried',
            'a planner sends verdicts without their age',
            broken_fleets.age_not_carried,
            (),
            mutant_scenarios.with_verdicts(
                mutant_scenarios.HUNG_SERVER,
                Event(at_s=2.0, kind='shift', what=[0], for_s=5.0),
                Event(at_s=2.0, kind='drain', what=[3], for_s=5.0),
            ),
            3,
            draw.watched,
        ),
        (
            'evidence_as_it_came',
            'a planner ignores the age of evidence',
            broken_fleets.evidence_as_it_came,
            (),
            mutant_scenarios.with_verdicts(
                mutant_scenarios.HUNG_SERVER,
                Event(at_s=1.5, kind='late_planner', what=[0, 1, 2], for_s=6.0, size=0.5),
            ),
            3,
            draw.watched,
        ),
        (
            'evidence_twice',
            'a planner counts evidence twice',
            broken_fleets.evidence_twice,
            (),
            mutant_scenarios.with_verdicts(
                *[
                    Event(at_s=1.0 + number, kind='shift', what=[number % 6], for_s=0.9)
                    for number in range(7)
                ],
                *mutant_scenarios.REPEATED_HANGS,
            ),
            3,
            draw.watched,
        ),
        (
            'one_witness',
            'one witness is enough for a verdict',
            broken_fleets.one_witness,
            (),
            mutant_scenarios.with_verdicts(
                *[
                    Event(at_s=1.0 + number, kind='shift', what=[number % 6], for_s=0.9)
                    for number in range(7)
                ],
                *mutant_scenarios.REPEATED_HANGS,
            ),
            3,
            draw.watched,
        ),
        (
            'harm_unbounded',
            'holds down bad servers without a maximum',
            broken_fleets.harm_unbounded,
            (),
            mutant_scenarios.with_verdicts(mutant_scenarios.HUNG_SERVERS),
            3,
            draw.watched,
        ),
        (
            'own_eyes_ignored',
            'applies verdicts against its own observations',
            broken_fleets.own_eyes_ignored,
            (),
            mutant_scenarios.with_verdicts(*mutant_scenarios.REPEATED_HANGS),
            3,
            draw.watched,
        ),
        (
            'verdict_endless',
            'applies a verdict after its end',
            broken_fleets.verdict_endless,
            (),
            mutant_scenarios.with_verdicts(
                mutant_scenarios.HUNG_SERVER, Event(at_s=2.5, kind='kill_planner', what=[0, 1, 2], for_s=6.0)
            ),
            3,
            draw.watched,
        ),
        (
            'way_for_all',
            'applies a verdict of one site at all sites',
            broken_fleets.way_for_all,
            (),
            mutant_scenarios.with_verdicts(
                Event(at_s=0.5, kind='shift', what=[0, 1, 3, 5], for_s=9.0),
                Event(at_s=1.5, kind='site_cut', what=[3], for_s=7.0),
            ),
            3,
            draw.watched,
        ),
        (
            'brought_back',
            'a verdict resumes a suspended server',
            broken_fleets.brought_back,
            (),
            mutant_scenarios.with_verdicts(
                *mutant_scenarios.REPEATED_HANGS, Event(at_s=2.0, kind='suspend', what=[3, 5], for_s=5.0)
            ),
            3,
            draw.watched,
        ),
        (
            'tries_not_counted',
            'does not count attempts at servers held down',
            broken_fleets.tries_not_counted,
            (),
            mutant_scenarios.with_verdicts(
                Event(at_s=1.0, kind='garbled', what=[3], for_s=8.0, size=10.0),
                nodes=2,
                caches=5,
                rate=700.0,
                bounds=[Bound(name='tries', what='tries', most=0.2, floor=0.0)],
            ),
            3,
            draw.watched,
        ),
        (
            'timers_on_wall_time',
            'runs its timers by the wall clock',
            broken_nodes.timers_on_wall_time,
            (),
            mutant_scenarios.step_clocks_back,
        ),
        (
            'blames_servers',
            "blames servers for failures of the node's machine",
            broken_nodes.blames_servers,
            (),
            mutant_scenarios.fail_connects,
        ),
        (
            'slots_reused',
            'reuses the number of a slot',
            broken_nodes.slots_reused,
            ('slow', 'hung', 'halved'),
        ),
    )
}

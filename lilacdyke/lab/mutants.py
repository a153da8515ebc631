"""The mutants: programs broken on purpose, to show that the judges can fail.

Owns their list: how each is broken (broken_nodes.py, broken_fleets.py), and what it is played with
(mutant_scenarios.py). No judge knows of them, their names or what they leave.
"""

from . import broken_fleets, broken_nodes, draw, mutant_scenarios
from .scenario import Bound, Event, check


class Mutant:
    """One way to be broken. kinds: troubles under which it should show; most: how many of them a run has."""

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
        """What it is played with: drawn, with troubles under which it should show, and made to fit where
        chance alone comes there too seldom."""
        made = self.drawn(seed, self.kinds, self.most)
        return check(self.fit(made)) if self.fit else made

    def apply(self, environment):
        """Break the nodes of a run."""
        uniform = environment.random_source('mutant').random
        self.build(environment.put, uniform)


MUTANTS = {
    row[0].replace('_', '-'): Mutant(*row[1:])
    for row in (
        ('drain_ignored', 'sends after a drain', broken_nodes.drain_ignored, mutant_scenarios.DRAINS),
        (
            'gone_ignored',
            'sends to servers that are gone from the list',
            broken_nodes.gone_ignored,
            mutant_scenarios.DRAINS + ('replace',),
        ),
        (
            'window_ignored',
            'repeats a journalled transaction outside of its window',
            broken_nodes.window_ignored,
            (),
            mutant_scenarios.late_repeat,
        ),
        (
            'group_ignored',
            'repeats a journalled transaction outside of its group',
            broken_nodes.group_ignored,
            (),
            mutant_scenarios.apart,
        ),
        (
            'lost_is_never_ran',
            'takes a lost hop for one that never ran',
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
            'sends on for clients that have left unread',
            broken_nodes.leavers_served,
            (),
            mutant_scenarios.walking_out,
        ),
        (
            'leavers_served_soon',
            'the same, after a fifth of a second',
            broken_nodes.leavers_served,
            (),
            mutant_scenarios.stumbling,
        ),
        ('answer_dropped', 'drops an answer', broken_nodes.answer_dropped, ('slow',)),
        ('answer_doubled', 'answers twice', broken_nodes.answer_doubled, ('slow',)),
        ('answers_mixed', 'mixes answers of two requests', broken_nodes.answers_mixed, ('slow',)),
        (
            'answer_cut_short',
            'passes on an answer that lacks a byte',
            broken_nodes.answer_cut_short,
            ('slow',),
        ),
        (
            'cold_flooded',
            'takes a cold server for a warm one',
            broken_nodes.cold_flooded,
            (),
            mutant_scenarios.crowd_cold,
        ),
        (
            'credit_endless',
            'never runs out of credit at a cold server',
            broken_nodes.credit_endless,
            (),
            mutant_scenarios.crowd_cold,
        ),
        (
            'clock_mistaken',
            "reads a server's start an hour too early",
            broken_nodes.clock_mistaken,
            (),
            mutant_scenarios.crowd_cold,
        ),
        ('hop_leaked', 'forgets that a hop has ended', broken_nodes.hop_leaked, ('slow',)),
        ('slot_leaked', 'does not free a slot', broken_nodes.slot_leaked, ('slow',)),
        (
            'descriptor_leaked',
            'forgets a connection without closing it',
            broken_nodes.descriptor_leaked,
            ('slow', 'hung', 'halved'),
        ),
        ('change_missed', 'misses a change of the list', broken_nodes.change_missed, mutant_scenarios.DRAINS),
        (
            'versions_skipped',
            'asks from too late a version after its watch broke',
            broken_nodes.versions_skipped,
            (),
            mutant_scenarios.unheard,
        ),
        (
            'asks_when_told_to',
            'leaves it to the module when a lost watch is opened again',
            broken_nodes.asks_when_told_to,
            (),
            mutant_scenarios.unheard_where_asked,
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
            'holds an answer of no told length until 64 KiB of it are here',
            broken_nodes.held_past_the_limit,
            (),
            mutant_scenarios.long_answers_untold,
        ),
        (
            'held_without_limit',
            'holds a large request for as long as nothing takes it',
            broken_nodes.held_without_limit,
            (),
            mutant_scenarios.long_requests,
        ),
        ('wakeup_lost', 'loses a wake-up', broken_nodes.wakeup_lost, ('hung', 'slow')),
        (
            'limit_ignored',
            'does not look at the limit',
            broken_nodes.limit_ignored,
            ('hung', 'vanish', 'cut'),
        ),
        ('loser_kept', 'never cancels a loser', broken_nodes.loser_kept, ('slow',)),
        ('body_changed', 'changes a body on its way', broken_nodes.body_changed, ('slow',)),
        (
            'always_harmless',
            'says that trying again is harmless when it is not',
            broken_nodes.always_harmless,
            ('resets', 'halved', 'hung'),
        ),
        ('hop_doubled', 'sends a hop twice below the module', broken_nodes.hop_doubled, ('slow',)),
        (
            'hops_unbounded',
            'sends more hops than a transaction may have',
            broken_nodes.hops_unbounded,
            (),
            mutant_scenarios.declining,
        ),
        ('leaves_at_once', 'ends on SIGTERM with requests open', broken_nodes.leaves_at_once, ('term',)),
        ('counts_wrongly', 'counts a committed transaction twice', broken_nodes.counts_wrongly, ('slow',)),
        ('framings_chosen', 'chooses between two framings', broken_nodes.framings_chosen, ('slow',)),
        ('silent_kept', 'keeps clients that say nothing', broken_nodes.silent_kept, ('slow',)),
        ('noise_raises', 'raises on noise out of a protocol', broken_nodes.noise_raises, ('garbled',)),
        ('missing_is_served', 'serves a client with a miss', broken_nodes.missing_is_served, ('miss',)),
        ('half_is_whole', 'takes half an answer for a whole one', broken_nodes.half_is_whole, ('halved',)),
        (
            'ban_lost',
            'forgets that a server is out by hand when a list names it',
            broken_nodes.ban_lost,
            (),
            mutant_scenarios.out_by_hand,
        ),
        (
            'copy_to_suspended',
            'sends a copy to a server that is out by hand',
            broken_nodes.copy_to_suspended,
            (),
            mutant_scenarios.out_by_hand,
        ),
        (
            'back_as_warm',
            'takes a server that was out by hand for a warm one',
            broken_nodes.back_as_warm,
            (),
            mutant_scenarios.cold_back,
        ),
        (
            'idle_kept',
            'keeps clients that rest on an emptied node',
            broken_nodes.idle_kept,
            (),
            mutant_scenarios.emptied,
        ),
        (
            'never_away',
            'says that it is ready though it is emptied',
            broken_nodes.never_away,
            (),
            mutant_scenarios.emptied,
        ),
        ('never_back', 'does not take clients again', broken_nodes.never_back, (), mutant_scenarios.emptied),
        (
            'part_spent_twice',
            'spends what it gave away',
            broken_fleets.part_spent_twice,
            (),
            mutant_scenarios.bounded(
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
            mutant_scenarios.bounded('requests', 0.4, floor=0.1, length=10.0, events=mutant_scenarios.AWAY),
            3,
            draw.planned,
        ),
        (
            'tokens_not_taken',
            'does not take what it spends from its part',
            broken_fleets.tokens_not_taken,
            mutant_scenarios.PLANNED,
            mutant_scenarios.bounded('requests', 0.4),
            3,
            draw.planned,
        ),
        (
            'bucket_without_bound',
            'saves up what it did not spend',
            broken_fleets.bucket_without_bound,
            (),
            mutant_scenarios.bounded(
                'requests', 200, events=[Event(at_s=3.0, kind='burst', for_s=2.0, size=4.0)]
            ),
            3,
            draw.planned,
        ),
        (
            'seat_held_twice',
            'takes a seat that another has',
            broken_fleets.seat_held_twice,
            (),
            mutant_scenarios.bounded('requests', 0.4, floor=1, seats=2),
            3,
            draw.planned,
        ),
        (
            'bank_forgets_leases',
            'a planner lends twice',
            broken_fleets.bank_forgets_leases,
            (),
            mutant_scenarios.bounded(
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
            mutant_scenarios.bounded(
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
            mutant_scenarios.bounded(
                'requests', 0.4, floor=0.1, lease=1.5, length=10.0, events=mutant_scenarios.RESTARTS
            ),
            3,
            draw.planned,
        ),
        (
            'limit_read_once',
            'reads a limit once, at its start',
            broken_fleets.limit_read_once,
            (),
            mutant_scenarios.bounded('requests', 0.5, length=10.0, events=mutant_scenarios.LOWERED),
            3,
            draw.planned,
        ),
        (
            'links_not_counted',
            'does not count connections',
            broken_fleets.links_not_counted,
            ('burst',),
            mutant_scenarios.bounded('links', 6),
            3,
            draw.planned,
        ),
        (
            'cold_not_asked',
            'does not ask for the part at a cold server',
            broken_fleets.cold_not_asked,
            (),
            mutant_scenarios.bounded(
                'cold', 3, length=10.0, events=[Event(at_s=1.0, kind='crash', count=2, for_s=0.5)]
            ),
            3,
            draw.planned,
        ),
        (
            'smaller_lease_held',
            'says that it holds a smaller lease while more is open',
            broken_fleets.smaller_lease_held,
            (),
            mutant_scenarios.bounded('open', 12, floor=0.25, length=12.0, events=mutant_scenarios.HANGING),
            3,
            draw.planned,
        ),
        (
            'plan_without_age',
            'counts a lease from when its plan came, and long',
            broken_fleets.plan_without_age,
            (),
            mutant_scenarios.bounded('requests', 0.4, floor=0.1, length=10.0, events=mutant_scenarios.AWAY),
            3,
            draw.planned,
        ),
        (
            'age_not_carried',
            'a planner does not say how old a verdict is',
            broken_fleets.age_not_carried,
            (),
            mutant_scenarios.guarded(
                mutant_scenarios.HUNG,
                Event(at_s=2.0, kind='shift', what=[0], for_s=5.0),
                Event(at_s=2.0, kind='drain', what=[3], for_s=5.0),
            ),
            3,
            draw.watched,
        ),
        (
            'evidence_as_it_came',
            'a planner takes evidence for as new as it came',
            broken_fleets.evidence_as_it_came,
            (),
            mutant_scenarios.guarded(
                mutant_scenarios.HUNG,
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
            mutant_scenarios.guarded(
                *[
                    Event(at_s=1.0 + number, kind='shift', what=[number % 6], for_s=0.9)
                    for number in range(7)
                ],
                *mutant_scenarios.TURNS,
            ),
            3,
            draw.watched,
        ),
        (
            'one_witness',
            'one forwarder is enough',
            broken_fleets.one_witness,
            (),
            mutant_scenarios.guarded(
                *[
                    Event(at_s=1.0 + number, kind='shift', what=[number % 6], for_s=0.9)
                    for number in range(7)
                ],
                *mutant_scenarios.TURNS,
            ),
            3,
            draw.watched,
        ),
        (
            'harm_unbounded',
            'holds down as many as are bad',
            broken_fleets.harm_unbounded,
            (),
            mutant_scenarios.guarded(mutant_scenarios.MANY),
            3,
            draw.watched,
        ),
        (
            'own_eyes_ignored',
            'acts against its own eyes',
            broken_fleets.own_eyes_ignored,
            (),
            mutant_scenarios.guarded(*mutant_scenarios.TURNS),
            3,
            draw.watched,
        ),
        (
            'verdict_endless',
            'acts on a verdict for longer than it holds',
            broken_fleets.verdict_endless,
            (),
            mutant_scenarios.guarded(
                mutant_scenarios.HUNG, Event(at_s=2.5, kind='kill_planner', what=[0, 1, 2], for_s=6.0)
            ),
            3,
            draw.watched,
        ),
        (
            'way_for_all',
            'takes what one site sees for a verdict on the server',
            broken_fleets.way_for_all,
            (),
            mutant_scenarios.guarded(
                Event(at_s=0.5, kind='shift', what=[0, 1, 3, 5], for_s=9.0),
                Event(at_s=1.5, kind='site_cut', what=[3], for_s=7.0),
            ),
            3,
            draw.watched,
        ),
        (
            'brought_back',
            'a verdict brings back a server that is out by hand',
            broken_fleets.brought_back,
            (),
            mutant_scenarios.guarded(
                *mutant_scenarios.TURNS, Event(at_s=2.0, kind='suspend', what=[3, 5], for_s=5.0)
            ),
            3,
            draw.watched,
        ),
        (
            'tries_not_counted',
            'does not count tries at a server that is out',
            broken_fleets.tries_not_counted,
            (),
            mutant_scenarios.guarded(
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
            'sets its timers by a wall clock that is stepped',
            broken_nodes.timers_on_wall_time,
            (),
            mutant_scenarios.stepped_back,
        ),
        (
            'blames_servers',
            "holds its own machine's failures against servers",
            broken_nodes.blames_servers,
            (),
            mutant_scenarios.cannot_connect,
        ),
        (
            'slots_reused',
            "gives a slot's number out again",
            broken_nodes.slots_reused,
            ('slow', 'hung', 'halved'),
        ),
    )
}

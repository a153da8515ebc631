"""Decisions of a planner: what it lends, under which limits, and when it must not lend. No I/O.

Owns the planner's side of the ledger, the edition of the limits in force, and what forwarders report about
the other planners. A planner lends its own part only while a majority of planners is known to be reachable:
one that is partitioned from the rest would not learn that operators have lowered a limit.

How long an outdated limit can stay in effect: operators change the file at a majority of planners, the last
of them at time T. A planner that still lends under an older edition has, within its `window`, received a
forwarder's report of answers from a majority. One of those planners has the new edition, and answered that
forwarder with it if the digest was sent after T. So nobody lends under the older edition after T + window,
and nothing is spent under it a lease and its tail later.
"""

from .frames import MAX_ROWS
from .ledger import PlannerLedger, max_elapsed, min_elapsed
from .verdicts import VerdictTracker

QUORUM_WINDOW_LEASES = 2  # leases for which another planner counts as reachable after its last answer


class Planner:
    """State of one planner process."""

    def __init__(self, now, life, fleet, index):
        self.fleet, self.index = fleet, index
        self.edition, self.mosts = fleet.edition, fleet.mosts()
        self.window = QUORUM_WINDOW_LEASES * fleet.lease
        self.planner_ledger = PlannerLedger(
            life, fleet.lease, fleet.deposit_term, now, None, fleet.lease_tails(), fleet.units()
        )
        self.verdict_tracker = None if fleet.span is None else VerdictTracker(fleet.span)
        self.last_heard = {}  # by planner name: a lower bound on when it last answered a forwarder

    # --- inputs -----------------------------------------------------------------------------------------

    def reload(self, fleet):
        """Adopt the limits of a changed fleet file. Return why it is rejected, or None. Changes to seats,
        planners and times take effect only after a restart."""
        fixed = [(limit.name, limit.what, limit.profile, limit.in_grains()[1]) for limit in fleet.limit]
        if fixed != [
            (limit.name, limit.what, limit.profile, limit.in_grains()[1]) for limit in self.fleet.limit
        ]:
            return 'limit: a change of name, kind or floor needs a restart'
        if fleet.edition <= self.edition:
            return 'edition: %d is not higher than %d' % (fleet.edition, self.edition)
        self.edition, self.mosts = fleet.edition, fleet.mosts()
        return None

    def process_digest(self, now, digest):
        """Process a digest. Return the plan that answers it, or None."""
        self.adopt_limits(digest['edition'], digest['mosts'])
        self.record_heard_planners(now, digest)
        self.planner_ledger.set_own_budget(
            self.fleet.planner_budget(
                self.index, self.mosts if self.has_quorum(now) else self.seat_owned_limits()
            )
        )
        plan = self.planner_ledger.process_digest(now, digest)
        if plan is None:
            return None
        return dict(plan, edition=self.edition, mosts=self.mosts, verdicts=self.verdicts_for(now, digest))

    def verdicts_for(self, now, digest):
        """Record the evidence in a digest. Return the verdicts to send to its forwarder."""
        if self.verdict_tracker is None or digest['site'] is None:
            return []
        left = self.left(now, digest)
        if left is not None and digest['seat'] is not None:
            self.verdict_tracker.add_report(
                left,
                digest['seat'],
                digest['site'],
                digest['forwarder'],
                digest['seq'],
                {(name, started): row for name, started, *row in digest['seen']},
            )
        return self.verdict_tracker.verdict_rows_for(
            now, digest['site'], {tuple(server) for server in digest['doubts']}
        )

    def status(self, now):
        """Return the current verdicts and the seats that reported evidence lately, for operators."""
        if self.verdict_tracker is None:
            return {'verdicts': [], 'witnesses': []}
        return {
            'verdicts': [
                [*verdict.plain(now)[:-1], verdict.site]
                for verdict in self.verdict_tracker.current_verdicts(now).values()
            ][:MAX_ROWS],
            'witnesses': [
                [seat, witness.site, witness.life, len(witness.rows)]
                for seat, witness in self.verdict_tracker.witnesses.items()
                if witness.life
            ][:MAX_ROWS],
        }

    def left(self, now, digest):
        """Return the earliest time, by this clock, at which a digest was sent, or None if unknown. That is
        when the plan that it echoes was sent, plus how long the forwarder had held that plan. Keeps digests
        that were delayed on the way from counting as fresh."""
        if digest['life'] != self.planner_ledger.life or digest['stamp'] is None or digest['stamp'] > now:
            return None
        return min(now, digest['stamp'] + min_elapsed(digest['held']))

    def record_heard_planners(self, now, digest):
        """Record when other planners answered the sender: before it sent this digest."""
        left = self.left(now, digest)
        if left is None:
            return
        for row in self.fleet.planner:
            if row.name in digest['heard']:
                when = left - max_elapsed(digest['heard'][row.name])
                self.last_heard[row.name] = max(self.last_heard.get(row.name, when), when)

    def adopt_limits(self, edition, mosts):
        """Adopt limits of a newer edition. If two contents share an edition number, which operators should
        never do, the lower value of each limit applies."""
        if not self.fleet.accepts_limits(mosts):
            return
        if edition > self.edition:
            self.edition, self.mosts = edition, mosts
        elif edition == self.edition:
            self.mosts = {name: min(most, mosts[name]) for name, most in self.mosts.items()}

    # --- derived state ----------------------------------------------------------------------------------

    def has_quorum(self, now):
        """Return whether a majority of planners, this one included, has answered recently."""
        own_name = self.fleet.planner[self.index].name
        reachable = 1 + sum(
            now <= when + self.window for name, when in self.last_heard.items() if name != own_name
        )
        return 2 * reachable > len(self.fleet.planner)

    def seat_owned_limits(self):
        """Return the limits at which all budgets belong to the seats, and none to planners."""
        return {limit.name: limit.in_grains()[1] for limit in self.fleet.limit}

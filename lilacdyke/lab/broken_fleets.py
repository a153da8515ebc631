"""Deliberately broken planners, limits and verdicts: each function patches them for the length of one run.

The arguments are those of broken_nodes.py.
"""

from ..known import NO_FLEET_BOUNDS
from ..plan import active_verdicts, verdicts
from ..plan.active_verdicts import ActiveVerdicts, Seen
from ..plan.fleet import FleetMember
from ..plan.forwarder import Forwarder
from ..plan.ledger import ForwarderLedger, PlannerLedger
from ..plan.planner import Planner
from ..plan.shares import FleetLimits, Usage
from ..plan.verdicts import Verdict, VerdictTracker
from ..plan.view import View


def part_spent_twice(put, uniform):
    put(ForwarderLedger, 'deposited', lambda self, now, key: 0)


def lease_past_its_end(put, uniform):
    put(
        ForwarderLedger,
        'leased',
        lambda self, now, key: sum(
            account.leases.get(key, (0, 0))[1] for lives in self.accounts.values() for account in lives[-1:]
        ),
    )


def tokens_not_taken(put, uniform):
    put(FleetLimits, 'spend', staticmethod(lambda limit, spent: None))


def bucket_without_bound(put, uniform):
    def fill(self, now, may):
        self.tokens += may * max(0, now - self.dated) * 20
        self.dated = now

    put(Usage, 'fill', fill)


def seat_held_twice(put, uniform):
    usual = FleetMember.lock_seat

    def lock_seat(self, ignored):
        if self.rank is None:  # one more holder than there are seats
            self.rank = 0
            self.forwarder_ledger.set_seat_budget(
                self.clock(), self.fleet_file.seat_parts(0), self.fleet_file.seat_parts(0), True
            )
        else:
            usual(self, ignored)

    put(FleetMember, 'lock_seat', lock_seat)


def bank_forgets_leases(put, uniform):
    usual = PlannerLedger.plan

    def plan(self, now, holder):
        for other in self.holders.values():
            other.grants = []
        return usual(self, now, holder)

    put(PlannerLedger, 'plan', plan)


def waits_for_a_plan(put, uniform):
    usual, heard = FleetLimits.admit, {}

    def apply_plan(self, now, name, plan):
        heard[id(self.forwarder_ledger)] = now
        return was(self, now, name, plan)

    was = Forwarder.apply_plan
    put(Forwarder, 'apply_plan', apply_plan)
    put(
        FleetLimits,
        'admit',
        lambda self, now, profile: (
            usual(self, now, profile)
            if now < heard.get(id(self.forwarder_ledger), -1 << 40) + self.forwarder_ledger.lease
            else 429
        ),
    )


def planner_lends_at_once(put, uniform):
    usual = PlannerLedger.__init__

    def begin(self, *given):
        usual(self, *given)
        self.since -= 1 << 30

    put(PlannerLedger, '__init__', begin)


def limit_read_once(put, uniform):
    put(Planner, 'reload', lambda self, fleet: None)
    put(Planner, 'adopt_limits', lambda self, edition, mosts: None)


def links_not_counted(put, uniform):
    put(FleetLimits, 'linked', lambda self, now, server, more: None)


def cold_not_asked(put, uniform):
    usual = FleetLimits.allows
    put(FleetLimits, 'allows', lambda self, now, server, cold: usual(self, now, server, False))


def smaller_lease_held(put, uniform):
    usual = ForwarderLedger.digest
    put(
        ForwarderLedger,
        'digest',
        lambda self, now, planner, spare, wants, used=(): usual(self, now, planner, spare, wants),
    )


def plan_without_age(put, uniform):
    usual = ForwarderLedger.apply_plan

    def apply_plan(self, now, planner, plan):
        good = usual(self, now, planner, plan)
        if good:
            account = self.account(planner)
            account.leases = {
                key: (now + 6 * self.lease, amount) for key, (_, amount) in account.leases.items()
            }
        return good

    put(ForwarderLedger, 'apply_plan', apply_plan)


# --- verdicts ---------------------------------------------------------------------------------------------


def age_not_carried(put, uniform):
    usual = Verdict.plain
    put(Verdict, 'plain', lambda self, now: [*usual(self, now)[:7], 0, *usual(self, now)[8:]])


def evidence_as_it_came(put, uniform):
    put(Planner, 'left', lambda self, now, digest: now if digest['stamp'] is not None else None)
    usual = Seen.report
    put(
        Seen,
        'report',
        lambda self, now: {
            server: [*row[:-4], *(age and 0 for age in row[-4:-1]), row[-1]]
            for server, row in usual(self, now).items()
        },
    )


def evidence_twice(put, uniform):
    usual = VerdictTracker.add_report

    def told(self, left, seat, site, life, seq, report):
        for part in range(2):
            usual(self, left, 1_000 * part + seat, site if not part else 'z9', life, seq, report)

    put(VerdictTracker, 'add_report', told)


def one_witness(put, uniform):
    put(verdicts, 'MIN_WITNESSES', 1)


def harm_unbounded(put, uniform):
    put(active_verdicts, 'MAX_RESTRAINED_SHARE', 1.0)
    put(active_verdicts, 'MAX_RESTRAINED_SITE_SHARE', 1.0)


def own_eyes_ignored(put, uniform):
    put(ActiveVerdicts, 'observe', lambda self, now, server, well: None)


def verdict_endless(put, uniform):
    usual = ActiveVerdicts.apply_plan
    put(ActiveVerdicts, 'apply_plan', lambda self, asked, rows: usual(self, asked + 2 * self.span, rows))


def way_for_all(put, uniform):
    usual = VerdictTracker.verdicts

    def told(self, now):
        found = usual(self, now)
        for verdict in found.values():
            verdict.site = None
        return found

    put(VerdictTracker, 'verdicts', told)


def brought_back(put, uniform):
    usual = View.apply_verdicts

    def apply_verdicts(self, now):
        usual(self, now)
        for server in self.node.router.servers_by_name.values():
            if (
                server.fleet_bounds is not NO_FLEET_BOUNDS
                and server.fleet_bounds[1] > 0
                or server.state == 'banned'
            ):
                server.state = 'ready'
        self.node.router.rebuild_ready()

    put(View, 'apply_verdicts', apply_verdicts)


def tries_not_counted(put, uniform):
    put(View, 'is_down', lambda self, now, server: False)

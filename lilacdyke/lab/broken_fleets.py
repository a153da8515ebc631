"""Deliberately broken planners, limits and verdicts: each function patches them for the length of one run.

The arguments are those of broken_nodes.py.
"""

from ..known import NO_WORD
from ..plan import belief, verdicts
from ..plan.belief import Belief, Seen
from ..plan.fleet import Share
from ..plan.forwarder import Forwarder
from ..plan.ledger import Bank, Purse
from ..plan.planner import Planner
from ..plan.shares import Shares, Spent
from ..plan.verdicts import Sight, Verdict
from ..plan.view import View


def part_spent_twice(put, chance):
    put(Purse, 'given', lambda self, now, key: 0)


def lease_past_its_end(put, chance):
    put(
        Purse,
        'borrowed',
        lambda self, now, key: sum(
            account.leases.get(key, (0, 0))[1] for lives in self.accounts.values() for account in lives[-1:]
        ),
    )


def tokens_not_taken(put, chance):
    put(Shares, 'spend', staticmethod(lambda limit, spent: None))


def bucket_without_bound(put, chance):
    def fill(self, now, may):
        self.tokens += may * max(0, now - self.dated) * 20
        self.dated = now

    put(Spent, 'fill', fill)


def seat_held_twice(put, chance):
    usual = Share.take_seat

    def take_seat(self, ignored):
        if self.rank is None:  # one more holder than there are seats
            self.rank = 0
            self.purse.seated(self.clock(), self.told.seat_parts(0), self.told.seat_parts(0), True)
        else:
            usual(self, ignored)

    put(Share, 'take_seat', take_seat)


def bank_forgets_leases(put, chance):
    usual = Bank.plan

    def plan(self, now, holder):
        for other in self.holders.values():
            other.grants = []
        return usual(self, now, holder)

    put(Bank, 'plan', plan)


def waits_for_a_plan(put, chance):
    usual, heard = Shares.admits, {}

    def planned(self, now, name, plan):
        heard[id(self.purse)] = now
        return was(self, now, name, plan)

    was = Forwarder.planned
    put(Forwarder, 'planned', planned)
    put(
        Shares,
        'admits',
        lambda self, now, profile: (
            usual(self, now, profile) if now < heard.get(id(self.purse), -1 << 40) + self.purse.lease else 429
        ),
    )


def planner_lends_at_once(put, chance):
    usual = Bank.__init__

    def begin(self, *given):
        usual(self, *given)
        self.since -= 1 << 30

    put(Bank, '__init__', begin)


def limit_read_once(put, chance):
    put(Planner, 'reread', lambda self, fleet: None)
    put(Planner, 'hear', lambda self, edition, mosts: None)


def links_not_counted(put, chance):
    put(Shares, 'linked', lambda self, now, server, more: None)


def cold_not_asked(put, chance):
    usual = Shares.allows
    put(Shares, 'allows', lambda self, now, server, cold: usual(self, now, server, False))


def smaller_lease_held(put, chance):
    usual = Purse.digest
    put(
        Purse,
        'digest',
        lambda self, now, planner, spare, wants, used=(): usual(self, now, planner, spare, wants),
    )


def plan_without_age(put, chance):
    usual = Purse.planned

    def planned(self, now, planner, plan):
        good = usual(self, now, planner, plan)
        if good:
            account = self.account(planner)
            account.leases = {
                key: (now + 6 * self.lease, amount) for key, (_, amount) in account.leases.items()
            }
        return good

    put(Purse, 'planned', planned)


# --- verdicts ---------------------------------------------------------------------------------------------


def age_not_carried(put, chance):
    usual = Verdict.plain
    put(Verdict, 'plain', lambda self, now: [*usual(self, now)[:7], 0, *usual(self, now)[8:]])


def evidence_as_it_came(put, chance):
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


def evidence_twice(put, chance):
    usual = Sight.told

    def told(self, left, seat, site, life, seq, report):
        for part in range(2):
            usual(self, left, 1_000 * part + seat, site if not part else 'z9', life, seq, report)

    put(Sight, 'told', told)


def one_witness(put, chance):
    put(verdicts, 'BOTH', 1)


def harm_unbounded(put, chance):
    put(belief, 'HARM', 1.0)
    put(belief, 'HARM_SITE', 1.0)


def own_eyes_ignored(put, chance):
    put(Belief, 'saw', lambda self, now, server, well: None)


def verdict_endless(put, chance):
    usual = Belief.planned
    put(Belief, 'planned', lambda self, asked, rows: usual(self, asked + 2 * self.span, rows))


def way_for_all(put, chance):
    usual = Sight.verdicts

    def told(self, now):
        found = usual(self, now)
        for verdict in found.values():
            verdict.site = None
        return found

    put(Sight, 'verdicts', told)


def brought_back(put, chance):
    usual = View.look

    def look(self, now):
        usual(self, now)
        for server in self.node.router.known.values():
            if server.word is not NO_WORD and server.word[1] > 0 or server.state == 'banned':
                server.state = 'ready'
        self.node.router.relist()

    put(View, 'look', look)


def tries_not_counted(put, chance):
    put(View, 'out', lambda self, now, server: False)

"""Evidence from a node's hops, and verdicts as constraints on its servers: one node without links."""

import unittest
from types import SimpleNamespace

from lilacdyke.known import NO_FLEET_BOUNDS, Server
from lilacdyke.net.start_times import StartTimes
from lilacdyke.plan.view import View

SPAN, GOAL = 60_000, 4_000


class NodeView(unittest.TestCase):
    def setUp(self):
        self.now = 100_000
        caches = [Server('c%d' % number, False) for number in range(5)]
        for server in caches:
            server.started, server.zone, server.state = None, 0, 'ready'
        self.server = caches[3]
        router = SimpleNamespace(
            caches=caches,
            servers_by_name={server.name: server for server in caches},
            goal=GOAL,
            over=lambda now, tx: False,
            current_share=lambda now, server: server.share,
        )
        self.node = SimpleNamespace(
            clock=lambda: self.now,
            uniform=lambda: 1.0,
            router=router,
            starts=StartTimes(0),
            deadlines=SimpleNamespace(at=lambda when, call, given: None),
            entries={server.name: SimpleNamespace(name=server.name, started=0) for server in caches},
            config=SimpleNamespace(terms=SimpleNamespace(zone=0)),
        )
        self.view, self.seq = View(self.node, SPAN, ['p0', 'p1']), 0

    def ended(self, how='committed', lasted=50, server=None):
        self.view.ended(
            self.now, SimpleNamespace(server=server or self.server, tx=None, dropped=False), how, lasted
        )

    def next_report(self, planner='p0', life='one', answer=True, verdicts=()):
        """Return the servers named in the next report, which is answered unless `answer` is false."""
        self.seq += 1
        rows = self.view.report(self.now, planner, self.seq, life)
        if answer:
            self.view.apply_plan(
                self.now,
                planner,
                {'seq': self.seq, 'life': life, 'verdicts': [list(row) for row in verdicts]},
                self.now,
            )
        return [row[0] for row in rows]

    def silent_verdict(self, age=0):
        return ('c3', 0, 'silent', 1.0, 0, 3, 2, age, 1.0, False)

    def test_only_changed_evidence_is_reported(self):
        self.ended()
        first = self.next_report(), self.next_report()
        self.now += SPAN // 4
        self.ended()  # the same counts in a later interval
        self.now += SPAN // 4 - 1
        self.assertEqual((first, self.next_report(), self.next_report()), ((['c3'], []), ['c3'], []))

    def test_unanswered_report_is_repeated_for_each_planner(self):
        self.ended()
        self.assertEqual(
            [self.next_report(answer=False), self.next_report(), self.next_report('p1'), self.next_report()],
            [['c3'], ['c3'], ['c3'], []],
        )

    def test_restarted_planner_gets_full_report(self):
        self.ended()
        self.assertEqual(
            [
                self.next_report(),
                self.next_report(),
                self.next_report(life='two'),
                self.next_report(life='two'),
            ],
            [['c3'], [], ['c3'], []],
        )

    def test_verdict_applies_until_newer_own_evidence(self):
        self.next_report(verdicts=[self.silent_verdict()])
        word = self.server.fleet_bounds
        self.assertEqual((word[1:], word[0] > self.now), ((0, 1 / 32, 0), True))
        self.assertTrue(self.view.is_down(self.now, self.server))
        self.now += 10
        self.ended('lost')
        self.assertEqual(self.server.fleet_bounds, word)  # the own evidence agrees with the verdict
        self.ended('committed', GOAL)
        self.assertEqual(self.server.fleet_bounds, word)  # a slow answer is no success
        self.ended()
        self.assertIs(self.server.fleet_bounds, NO_FLEET_BOUNDS)
        self.next_report(verdicts=[self.silent_verdict(age=20)])
        self.assertIs(self.server.fleet_bounds, NO_FLEET_BOUNDS)

    def test_word_expires_without_plans(self):
        self.next_report(verdicts=[self.silent_verdict()])
        self.now += SPAN
        self.view.refresh_words(0)
        self.assertEqual((self.server.fleet_bounds, self.view.bounds_by_server), (NO_FLEET_BOUNDS, {}))

    def test_restarted_server_is_neither_reported_nor_constrained(self):
        self.server.started = self.now
        self.ended()
        self.assertEqual(self.next_report(verdicts=[self.silent_verdict()]), [])
        self.assertIs(self.server.fleet_bounds, NO_FLEET_BOUNDS)

    def test_server_removed_from_the_list_has_no_word(self):
        self.next_report(verdicts=[self.silent_verdict()])
        self.node.router.caches.remove(self.server)
        self.view.apply_verdicts(self.now)
        self.assertIs(self.server.fleet_bounds, NO_FLEET_BOUNDS)

    def test_outcomes_unrelated_to_the_server_are_no_evidence(self):
        for how in ('unsent', 'cancelled', 'rejected', 'expired'):
            self.ended(how)
        self.assertEqual(self.next_report(), [])


if __name__ == '__main__':
    unittest.main()

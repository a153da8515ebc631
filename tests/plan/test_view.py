"""A node's hops as evidence, and verdicts as words on its servers: one node, no links."""

import unittest
from types import SimpleNamespace

from lilacdyke.known import NO_WORD, Server
from lilacdyke.net.starts import StartTimes
from lilacdyke.plan.view import View

SPAN, GOAL = 60_000, 4_000


class Node(unittest.TestCase):
    def setUp(self):
        self.now = 100_000
        caches = [Server('c%d' % number, False) for number in range(5)]
        for server in caches:
            server.started, server.zone, server.state = None, 0, 'ready'
        self.server = caches[3]
        router = SimpleNamespace(
            caches=caches,
            known={server.name: server for server in caches},
            goal=GOAL,
            over=lambda now, tx: False,
            turns=lambda now, server: server.share,
        )
        self.node = SimpleNamespace(
            clock=lambda: self.now,
            chance=lambda: 1.0,
            router=router,
            starts=StartTimes(0),
            deadlines=SimpleNamespace(at=lambda when, call, given: None),
            entries={server.name: SimpleNamespace(name=server.name, started=0) for server in caches},
            place=SimpleNamespace(terms=SimpleNamespace(zone=0)),
        )
        self.view, self.seq = View(self.node, SPAN, ['p0', 'p1']), 0

    def ended(self, how='committed', lasted=50, server=None):
        self.view.ended(
            self.now, SimpleNamespace(server=server or self.server, tx=None, dropped=False), how, lasted
        )

    def told(self, planner='p0', life='one', answer=True, verdicts=()):
        """Names of servers in the next report, which is answered."""
        self.seq += 1
        rows = self.view.report(self.now, planner, self.seq, life)
        if answer:
            self.view.planned(
                self.now,
                planner,
                {'seq': self.seq, 'life': life, 'verdicts': [list(row) for row in verdicts]},
                self.now,
            )
        return [row[0] for row in rows]

    def silent(self, age=0):
        return ('c3', 0, 'silent', 1.0, 0, 3, 2, age, 1.0, False)

    def test_what_a_planner_has_is_not_told_again_and_what_is_new_is(self):
        self.ended()
        first = self.told(), self.told()
        self.now += SPAN // 4
        self.ended()  # the same counts in another spell
        self.now += SPAN // 4 - 1
        self.assertEqual((first, self.told(), self.told()), ((['c3'], []), ['c3'], []))

    def test_a_report_that_was_not_answered_or_is_another_planner_s_counts_for_nothing(self):
        self.ended()
        self.assertEqual(
            [self.told(answer=False), self.told(), self.told('p1'), self.told()], [['c3'], ['c3'], ['c3'], []]
        )

    def test_a_planner_that_was_restarted_is_told_all(self):
        self.ended()
        self.assertEqual(
            [self.told(), self.told(), self.told(life='two'), self.told(life='two')], [['c3'], [], ['c3'], []]
        )

    def test_a_verdict_is_a_word_until_its_end_or_own_newer_evidence(self):
        self.told(verdicts=[self.silent()])
        word = self.server.word
        self.assertEqual((word[1:], word[0] > self.now), ((0, 1 / 32, 0), True))
        self.assertTrue(self.view.out(self.now, self.server))
        self.now += 10
        self.ended('lost')
        self.assertEqual(self.server.word, word)  # it says the same
        self.ended('committed', GOAL)
        self.assertEqual(self.server.word, word)  # slow is not well
        self.ended()
        self.assertIs(self.server.word, NO_WORD)
        self.told(verdicts=[self.silent(age=20)])
        self.assertIs(self.server.word, NO_WORD)

    def test_a_word_ends_with_nothing_heard(self):
        self.told(verdicts=[self.silent()])
        self.now += SPAN
        self.view.fade(0)
        self.assertEqual((self.server.word, self.view.words), (NO_WORD, {}))

    def test_one_known_here_to_be_another_process_is_neither_told_of_nor_believed(self):
        self.server.started = self.now
        self.ended()
        self.assertEqual(self.told(verdicts=[self.silent()]), [])
        self.assertIs(self.server.word, NO_WORD)

    def test_one_that_is_out_of_the_list_has_no_word(self):
        self.told(verdicts=[self.silent()])
        self.node.router.caches.remove(self.server)
        self.view.look(self.now)
        self.assertIs(self.server.word, NO_WORD)

    def test_what_says_nothing_of_a_server_is_no_evidence(self):
        for how in ('unsent', 'cancelled', 'rejected', 'expired'):
            self.ended(how)
        self.assertEqual(self.told(), [])


if __name__ == '__main__':
    unittest.main()

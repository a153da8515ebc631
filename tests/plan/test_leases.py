"""Leases for tasks: what voters and seekers do, the search of small worlds, and broken forms that it finds."""

import unittest
from random import Random

from lilacdyke.plan import leases, vote_check
from lilacdyke.plan.leases import ASK, CONFIRM, RELEASE, RENEW, Seeker, Voter, promised, silent
from lilacdyke.plan.ledger import shorter
from lilacdyke.plan.vote_check import TwoHold

LONG = 1_000


def voter(bound=0, keep=lambda bound: True, now=0):
    """One that has been running for long."""
    return Voter(now - silent(LONG) - 1, 'v', LONG, keep, bound)


def message(verb, seq, life='a', number=0, task='t'):
    return {'task': task, 'life': life, 'seq': seq, 'verb': verb, 'number': number}


class Voting(unittest.TestCase):
    def yes(self, made, now, *given, **more):
        answer, _ = made.told(now, message(*given, **more))
        return answer and answer['yes']

    def test_a_task_is_promised_to_one_until_its_time_is_up(self):
        made = voter()
        said = [
            self.yes(made, now, ASK, seq, life)
            for seq, (now, life) in enumerate(
                (
                    (0, 'a'),
                    (0, 'b'),
                    (promised(LONG), 'b'),
                    (promised(LONG) + 1, 'b'),
                    (promised(LONG) + 1, 'a'),
                ),
                1,
            )
        ]
        self.assertEqual(said, [True, False, False, True, False])

    def test_who_starts_says_nothing_until_what_it_may_have_promised_has_run_out(self):
        made = Voter(0, 'v', LONG, lambda bound: True, 0)
        self.assertEqual(
            [
                self.yes(made, now, ASK, now + 1)
                for now in (0, promised(LONG), silent(LONG), silent(LONG) + 1)
            ],
            [None, None, None, True],
        )

    def test_who_knows_of_no_bound_never_votes(self):
        self.assertIsNone(self.yes(voter(None), 10 * LONG, ASK, 1))

    def test_a_number_is_noted_once_and_only_above_all_before(self):
        made = voter(7)
        self.yes(made, 0, ASK, 1)
        self.assertEqual(
            [
                self.yes(made, 0, CONFIRM, seq, 'a', number)
                for seq, number in ((2, 7), (3, 8), (4, 8), (5, 9))
            ],
            [False, True, False, True],
        )
        self.assertFalse(self.yes(made, 0, CONFIRM, 6, 'b', 10))

    def test_a_number_that_cannot_be_written_down_is_not_noted(self):
        written = []
        made = voter(0, lambda bound: written.append(bound) or len(written) < 2)
        self.yes(made, 0, ASK, 1)
        self.assertEqual(
            [self.yes(made, 0, CONFIRM, seq, 'a', number) for seq, number in ((2, 1), (3, 2), (4, 5_000))],
            [True, True, False],
        )
        self.assertEqual(written, [1 + leases.BLOCK, 5_000 + leases.BLOCK])

    def test_a_release_that_overtakes_a_renewal_ends_it_and_tells_who_waits(self):
        made = voter()
        self.yes(made, 0, ASK, 1), self.yes(made, 0, ASK, 1, 'b'), self.yes(made, 0, ASK, 1, 'c')
        self.assertEqual(made.told(1, message(RELEASE, 5)), (None, ['b']))
        self.assertIsNone(self.yes(made, 2, RENEW, 4))
        self.assertTrue(self.yes(made, 3, ASK, 2, 'b'))

    def test_nobody_releases_what_is_another_s(self):
        made = voter()
        self.yes(made, 0, ASK, 1)
        self.assertEqual(
            (made.told(0, message(RELEASE, 1, 'b')), self.yes(made, 0, ASK, 2, 'b')), ((None, []), False)
        )

    def test_one_that_was_restarted_goes_on_with_who_holds(self):
        self.assertTrue(self.yes(voter(5_000), 0, RENEW, 9, 'a', 3))

    def test_tasks_and_lives_are_bounded(self):
        made = voter()
        said = [self.yes(made, 0, ASK, 1, 'a', 0, 't%d' % number) for number in range(leases.TASKS + 5)]
        self.assertEqual((said.count(True), len(made.promises)), (leases.TASKS, leases.TASKS))
        self.assertTrue(self.yes(made, 3 * LONG, ASK, 1, 'a', 0, 'later'))
        for number in range(2 * leases.LIVES):
            made.told(4 * LONG, message(ASK, 1, 'life %d' % number, 0, 't1'))
        self.assertLessEqual(len(made.last), leases.LIVES)


class Seeking(unittest.TestCase):
    """One seeker and voters that answer at once, or not."""

    def setUp(self):
        self.voters = [voter() for _ in range(3)]
        self.seeker = self.new('a')

    def new(self, life):
        made = Seeker(0, 't', life, range(3), LONG, Random(life).random)
        made.want(0)
        return made

    def run_at(self, now, seeker=None, up=(0, 1, 2)):
        """Pull and deliver until nothing is left: what was decided beside sends."""
        seeker, found = seeker or self.seeker, []
        while decision := seeker.decide(now):
            if decision[0] != 'send':
                found.append(decision)
            elif decision[1] in up:
                answer, _ = self.voters[decision[1]].told(now, decision[2])
                if answer:
                    seeker.told(now, decision[1], answer)
        return [row for row in found if row[0] != 'wake']

    def test_a_free_lease_is_got_at_once_and_renewed_through_the_loss_of_one(self):
        self.assertEqual(self.run_at(0), [('got', 1)])
        for now in range(0, 10 * LONG, LONG // 8):
            self.assertEqual(self.run_at(now, up=(1, 2)), [])
            self.assertTrue(self.seeker.held(now))

    def test_without_a_majority_it_is_lost_before_anybody_else_can_have_it(self):
        self.run_at(0)
        other = self.new('b')
        lost = got = None
        for now in range(1, 3 * LONG, 5):
            if lost is None and ('lost', 1) in self.run_at(now, up=(0,)):
                lost = now
            self.assertFalse(self.seeker.held(now) and other.held(now))
            if any(row[0] == 'got' for row in self.run_at(now, other)):
                got = got or now
        self.assertTrue(shorter(LONG) <= lost < got <= 2 * LONG + 2 * LONG // 4, (lost, got))
        self.assertGreater(other.number, 1)

    def test_given_back_it_is_lost_here_first_and_free_for_the_next(self):
        self.run_at(0)
        other = self.new('b')
        self.run_at(1, other)
        self.seeker.release(2)
        self.assertEqual((self.run_at(2), self.seeker.held(2)), ([('lost', 1)], False))
        other.next = 2 * LONG
        other.free(3)
        self.assertEqual(self.run_at(3, other), [('got', 2)])

    def test_through_a_rolling_restart_of_all_voters_it_is_held_without_a_gap(self):
        self.run_at(0)
        for number in range(3):
            begin = 1 + number * 2 * LONG
            self.voters[number] = Voter(begin, 'again', LONG, lambda bound: True, self.voters[number].bound)
            for now in range(begin, begin + 2 * LONG, LONG // 10):
                self.assertEqual(self.run_at(now), [])
                self.assertTrue(self.seeker.held(now))

    def test_all_voters_lost_at_once_the_number_still_rises(self):
        self.run_at(0)
        self.voters = [Voter(1, 'again', LONG, lambda bound: True, made.bound) for made in self.voters]
        found = [row for now in range(2, 4 * LONG, 20) for row in self.run_at(now)]
        self.assertEqual((found[0], found[1][0], found[1][1] > 1), (('lost', 1), 'got', True))

    def test_a_hundred_that_seek_one_task_all_have_it_once(self):
        seekers, had, now = [self.new('s%d' % number) for number in range(100)], [], 0
        while len(had) < 100 and now < 300 * LONG:
            for seeker in seekers:
                for row in self.run_at(now, seeker):
                    if row[0] == 'got':
                        had.append(row[1])
                        seeker.release(now)
                        self.run_at(now, seeker)
            now += 10
        self.assertEqual((len(had), had), (100, sorted(set(had))))


class Arrival(Seeker):
    """Counts a lease from when the answers came, however late."""

    def begin(self, verb, now, number):
        super().begin(verb, now, number)
        self.next = now + self.lease

    def told(self, now, voter, answer):
        if self.sent is not None and answer['seq'] == self.seq:
            self.sent = now
        super().told(now, voter, answer)


class Unsilent(Voter):
    """Votes as soon as it is there."""

    def __init__(self, now, *given):
        super().__init__(now, *given)
        self.mute = now - 1


class OfThoseReached(Seeker):
    """Takes the most of those that have answered for a majority."""

    most = property(lambda self: max(1, (len(self.yes) + len(self.no)) // 2 + 1))


class SameNumber(Seeker):
    """Takes the highest number noted as its own, and thinks that it was confirmed."""

    def most_ask(self, now):
        self.number = max(self.yes.values())
        self.holds()


class ByClock(Seeker):
    """Takes its number from a clock."""

    def most_ask(self, now):
        self.number = now
        self.holds()


class Revived(Seeker):
    """Takes a renewal that comes after its time was up."""

    def decide(self, now):
        if self.until is not None and not self.held(now) and self.verb == RENEW:
            return None
        return super().decide(now)

    def most_renew(self, now):
        self.holds()
        self.until = now + shorter(self.lease)


class LooksOnce(Seeker):
    """Does not look at the time again once it holds."""

    def held(self, now):
        return self.until is not None


class Anybody(Voter):
    """Lets anybody release a task."""

    def released(self, task, life, mine):
        return super().released(task, mine.life if mine else life, mine)


class Forgetful(Voter):
    """Promises a task that is promised to another."""

    def ask(self, now, task, life, seq, number, mine):
        return super().ask(now, task, life, seq, number, None)


class AnyAnswer(Seeker):
    """Takes answers of rounds long over."""

    def told(self, now, voter, answer):
        super().told(now, voter, dict(answer, seq=self.seq))


class Blank(Voter):
    """Begins with no number after each start."""

    def __init__(self, now, life, lease, keep, bound):
        super().__init__(now, life, lease, keep, 0)


class Loose(Voter):
    """Notes any number."""

    def confirm(self, now, task, life, seq, number, mine):
        if mine is None or mine.life != life:
            return False
        self.promises[task].until = now + promised(self.lease)
        return True


BROKEN = {
    'arrival': {'seeker': Arrival},
    'unsilent': {'voter': Unsilent},
    'of those reached': {'seeker': OfThoseReached},
    'same number': {'seeker': SameNumber},
    'by clock': {'seeker': ByClock},
    'revived': {'seeker': Revived},
    'looks once': {'seeker': LooksOnce},
    'anybody': {'voter': Anybody},
    'forgetful': {'voter': Forgetful},
    'any answer': {'seeker': AnyAnswer},
    'blank': {'voter': Blank},
    'loose': {'voter': Loose},
}


class Searched(unittest.TestCase):
    def test_no_two_hold_and_numbers_rise_in_all_states_and_walks(self):
        seen, depth = vote_check.search(4_000)
        made = [vote_check.walk(seed, 5_000) for seed in range(60)]
        self.assertTrue(seen == 4_000 and depth >= 2)
        self.assertGreater(sum(changes for _, changes in made), 200)  # else nothing was shown

    def found(self, kinds):
        """After how many walks a broken form is found, or None."""
        for seed in range(200):
            try:
                vote_check.walk(seed, 5_000, **kinds)
            except TwoHold:
                return seed + 1
        return None

    def test_each_broken_form_is_found(self):
        found = {name: self.found(kinds) for name, kinds in BROKEN.items()}
        self.assertEqual([name for name, walks in found.items() if walks is None], [], found)


if __name__ == '__main__':
    unittest.main()

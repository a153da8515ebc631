"""Leases for tasks: voters, seekers, the model checker, and faulty variants that it must detect."""

import unittest
from random import Random

from lilacdyke.plan import leases, vote_check
from lilacdyke.plan.leases import (
    ASK,
    CONFIRM,
    RELEASE,
    RENEW,
    Seeker,
    Voter,
    promise_duration,
    startup_silence,
)
from lilacdyke.plan.ledger import min_elapsed
from lilacdyke.plan.vote_check import LeaseViolationError

LONG = 1_000


def voter(bound=0, persist=lambda bound: True, now=0):
    """Return a voter whose silence after its start is over."""
    return Voter(now - startup_silence(LONG) - 1, 'v', LONG, persist, bound)


def message(verb, seq, life='a', number=0, task='t'):
    return {'task': task, 'life': life, 'seq': seq, 'verb': verb, 'number': number}


class VoterTests(unittest.TestCase):
    def accepts(self, made, now, *given, **more):
        answer, _ = made.on_message(now, message(*given, **more))
        return answer and answer['yes']

    def test_task_is_promised_to_one_seeker_until_expiry(self):
        made = voter()
        said = [
            self.accepts(made, now, ASK, seq, life)
            for seq, (now, life) in enumerate(
                (
                    (0, 'a'),
                    (0, 'b'),
                    (promise_duration(LONG), 'b'),
                    (promise_duration(LONG) + 1, 'b'),
                    (promise_duration(LONG) + 1, 'a'),
                ),
                1,
            )
        ]
        self.assertEqual(said, [True, False, False, True, False])

    def test_restarted_voter_is_silent_until_earlier_promises_expire(self):
        made = Voter(0, 'v', LONG, lambda bound: True, 0)
        self.assertEqual(
            [
                self.accepts(made, now, ASK, now + 1)
                for now in (0, promise_duration(LONG), startup_silence(LONG), startup_silence(LONG) + 1)
            ],
            [None, None, None, True],
        )

    def test_voter_without_bound_never_votes(self):
        self.assertIsNone(self.accepts(voter(None), 10 * LONG, ASK, 1))

    def test_number_is_recorded_only_if_higher_than_all_before(self):
        made = voter(7)
        self.accepts(made, 0, ASK, 1)
        self.assertEqual(
            [
                self.accepts(made, 0, CONFIRM, seq, 'a', number)
                for seq, number in ((2, 7), (3, 8), (4, 8), (5, 9))
            ],
            [False, True, False, True],
        )
        self.assertFalse(self.accepts(made, 0, CONFIRM, 6, 'b', 10))

    def test_number_is_not_recorded_if_bound_cannot_be_persisted(self):
        written = []
        made = voter(0, lambda bound: written.append(bound) or len(written) < 2)
        self.accepts(made, 0, ASK, 1)
        self.assertEqual(
            [
                self.accepts(made, 0, CONFIRM, seq, 'a', number)
                for seq, number in ((2, 1), (3, 2), (4, 5_000))
            ],
            [True, True, False],
        )
        self.assertEqual(written, [1 + leases.NUMBER_BLOCK, 5_000 + leases.NUMBER_BLOCK])

    def test_release_overtaking_a_renewal_ends_the_promise_and_notifies_a_waiter(self):
        made = voter()
        self.accepts(made, 0, ASK, 1), self.accepts(made, 0, ASK, 1, 'b'), self.accepts(made, 0, ASK, 1, 'c')
        self.assertEqual(made.on_message(1, message(RELEASE, 5)), (None, ['b']))
        self.assertIsNone(self.accepts(made, 2, RENEW, 4))
        self.assertTrue(self.accepts(made, 3, ASK, 2, 'b'))

    def test_release_by_another_seeker_is_ignored(self):
        made = voter()
        self.accepts(made, 0, ASK, 1)
        self.assertEqual(
            (made.on_message(0, message(RELEASE, 1, 'b')), self.accepts(made, 0, ASK, 2, 'b')),
            ((None, []), False),
        )

    def test_restarted_voter_accepts_a_renewal_from_the_holder(self):
        self.assertTrue(self.accepts(voter(5_000), 0, RENEW, 9, 'a', 3))

    def test_tasks_and_lives_are_bounded(self):
        made = voter()
        said = [
            self.accepts(made, 0, ASK, 1, 'a', 0, 't%d' % number) for number in range(leases.MAX_TASKS + 5)
        ]
        self.assertEqual((said.count(True), len(made.promises)), (leases.MAX_TASKS, leases.MAX_TASKS))
        self.assertTrue(self.accepts(made, 3 * LONG, ASK, 1, 'a', 0, 'later'))
        for number in range(2 * leases.MAX_LIVES):
            made.on_message(4 * LONG, message(ASK, 1, 'life %d' % number, 0, 't1'))
        self.assertLessEqual(len(made.latest), leases.MAX_LIVES)


class SeekerTests(unittest.TestCase):
    """A seeker with voters that answer at once or are unreachable."""

    def setUp(self):
        self.voters = [voter() for _ in range(3)]
        self.seeker = self.new('a')

    def new(self, life):
        made = Seeker(0, 't', life, range(3), LONG, Random(life).random)
        made.want(0)
        return made

    def run_at(self, now, seeker=None, up=(0, 1, 2)):
        """Process decisions until none is left. Return those other than sends and wake-ups."""
        seeker, found = seeker or self.seeker, []
        while decision := seeker.decide(now):
            if decision[0] != 'send':
                found.append(decision)
            elif decision[1] in up:
                answer, _ = self.voters[decision[1]].on_message(now, decision[2])
                if answer:
                    seeker.on_answer(now, decision[1], answer)
        return [row for row in found if row[0] != 'wake']

    def test_free_lease_is_acquired_at_once_and_renewed_with_one_voter_down(self):
        self.assertEqual(self.run_at(0), [('got', 1)])
        for now in range(0, 10 * LONG, LONG // 8):
            self.assertEqual(self.run_at(now, up=(1, 2)), [])
            self.assertTrue(self.seeker.held(now))

    def test_lease_without_majority_is_lost_before_another_seeker_acquires_it(self):
        self.run_at(0)
        other = self.new('b')
        lost = got = None
        for now in range(1, 3 * LONG, 5):
            if lost is None and ('lost', 1) in self.run_at(now, up=(0,)):
                lost = now
            self.assertFalse(self.seeker.held(now) and other.held(now))
            if any(row[0] == 'got' for row in self.run_at(now, other)):
                got = got or now
        self.assertTrue(min_elapsed(LONG) <= lost < got <= 2 * LONG + 2 * LONG // 4, (lost, got))
        self.assertGreater(other.number, 1)

    def test_released_lease_is_lost_first_and_then_acquired_by_another(self):
        self.run_at(0)
        other = self.new('b')
        self.run_at(1, other)
        self.seeker.release(2)
        self.assertEqual((self.run_at(2), self.seeker.held(2)), ([('lost', 1)], False))
        other.next_round = 2 * LONG
        other.free(3)
        self.assertEqual(self.run_at(3, other), [('got', 2)])

    def test_lease_is_held_without_a_gap_during_a_rolling_restart_of_voters(self):
        self.run_at(0)
        for number in range(3):
            begin = 1 + number * 2 * LONG
            self.voters[number] = Voter(begin, 'again', LONG, lambda bound: True, self.voters[number].bound)
            for now in range(begin, begin + 2 * LONG, LONG // 10):
                self.assertEqual(self.run_at(now), [])
                self.assertTrue(self.seeker.held(now))

    def test_number_rises_after_all_voters_restart_at_once(self):
        self.run_at(0)
        self.voters = [Voter(1, 'again', LONG, lambda bound: True, made.bound) for made in self.voters]
        found = [row for now in range(2, 4 * LONG, 20) for row in self.run_at(now)]
        self.assertEqual((found[0], found[1][0], found[1][1] > 1), (('lost', 1), 'got', True))

    def test_hundred_competing_seekers_each_acquire_the_lease_once(self):
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


class LeaseFromAnswer(Seeker):
    """Counts the lease from the arrival of the answers instead of from the request."""

    def start_round(self, verb, now, number):
        super().start_round(verb, now, number)
        self.next_round = now + self.lease

    def on_answer(self, now, voter, answer):
        if self.sent is not None and answer['seq'] == self.seq:
            self.sent = now
        super().on_answer(now, voter, answer)


class NoSilenceAfterStart(Voter):
    """Votes right after its start."""

    def __init__(self, now, *given):
        super().__init__(now, *given)
        self.silent_until = now - 1


class MajorityOfAnswers(Seeker):
    """Takes a majority of the voters that answered for a majority of all."""

    most = property(lambda self: max(1, (len(self.granted) + len(self.denied)) // 2 + 1))


class UnconfirmedNumber(Seeker):
    """Uses the highest recorded number without a confirmation round."""

    def most_ask(self, now):
        self.number = max(self.granted.values())
        self.holds()


class ClockNumber(Seeker):
    """Uses its clock as the lease number."""

    def most_ask(self, now):
        self.number = now
        self.holds()


class LateRenewal(Seeker):
    """Accepts a renewal that arrives after the lease has expired."""

    def decide(self, now):
        if self.until is not None and not self.held(now) and self.verb == RENEW:
            return None
        return super().decide(now)

    def most_renew(self, now):
        self.holds()
        self.until = now + min_elapsed(self.lease)


class NoExpiryCheck(Seeker):
    """Does not check the expiry once it holds the lease."""

    def held(self, now):
        return self.until is not None


class AnyoneReleases(Voter):
    """Lets any seeker release a task."""

    def released(self, task, life, current):
        return super().released(task, current.life if current else life, current)


class IgnoresPromise(Voter):
    """Ignores an existing promise to another seeker."""

    def ask(self, now, task, life, seq, number, current):
        return super().ask(now, task, life, seq, number, None)


class StaleAnswers(Seeker):
    """Accepts answers of earlier rounds."""

    def on_answer(self, now, voter, answer):
        super().on_answer(now, voter, dict(answer, seq=self.seq))


class ForgetsBound(Voter):
    """Forgets the persisted bound at each start."""

    def __init__(self, now, life, lease, persist, bound):
        super().__init__(now, life, lease, persist, 0)


class AnyNumber(Voter):
    """Records any number, also a lower one."""

    def confirm(self, now, task, life, seq, number, current):
        if current is None or current.life != life:
            return False
        self.promises[task].until = now + promise_duration(self.lease)
        return True


FAULTY = {
    'lease from answer': {'seeker': LeaseFromAnswer},
    'no silence after start': {'voter': NoSilenceAfterStart},
    'majority of answers': {'seeker': MajorityOfAnswers},
    'unconfirmed number': {'seeker': UnconfirmedNumber},
    'clock number': {'seeker': ClockNumber},
    'late renewal': {'seeker': LateRenewal},
    'no expiry check': {'seeker': NoExpiryCheck},
    'anyone releases': {'voter': AnyoneReleases},
    'ignores promise': {'voter': IgnoresPromise},
    'stale answers': {'seeker': StaleAnswers},
    'forgets bound': {'voter': ForgetsBound},
    'any number': {'voter': AnyNumber},
}


class ModelCheckerTests(unittest.TestCase):
    def test_leases_are_exclusive_and_numbers_rise_in_all_states_and_walks(self):
        seen, depth = vote_check.search(4_000)
        made = [vote_check.walk(seed, 5_000) for seed in range(60)]
        self.assertTrue(seen == 4_000 and depth >= 2)
        self.assertGreater(
            sum(leases_granted for _, leases_granted in made), 200
        )  # otherwise the check is void

    def walks_until_detected(self, kinds):
        """Return after how many walks the faulty variant is detected, or None."""
        for seed in range(200):
            try:
                vote_check.walk(seed, 5_000, **kinds)
            except LeaseViolationError:
                return seed + 1
        return None

    def test_each_faulty_variant_is_detected(self):
        found = {name: self.walks_until_detected(kinds) for name, kinds in FAULTY.items()}
        self.assertEqual([name for name, walks in found.items() if walks is None], [], found)


if __name__ == '__main__':
    unittest.main()

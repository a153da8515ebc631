"""Quorum-based leases for tasks that a single process performs for the whole fleet. Free of I/O.

A Voter keeps the promises that one voter has made; a Seeker acquires and renews the lease of one task for one
process. Neither relies on another process's clock beyond its rate, and no lease number (fencing token) is
issued twice.

Times are integer ticks of the caller's own clock; clock rates may differ as stated in ledger.py.

Mutual exclusion: a voter promises a task to one seeker for the lease plus a margin of at least a twentieth,
counted from the request's arrival. A seeker with promises from a majority holds the task for the lease minus
such a margin, counted from sending the request. Any two majorities share a voter, and a restarted voter stays
silent until every promise of its previous life has expired.

Rising numbers: before a seeker holds the lease, a majority of voters must record a number higher than any
that they recorded before. A voter persists an upper bound on these numbers across restarts.
"""

from .ledger import max_elapsed, min_elapsed

MAX_TASKS, MAX_WAITING, MAX_LIVES = 1_024, 1_024, 1_024  # bounds on what a voter remembers
NUMBER_BLOCK = 1_000  # numbers reserved by one write to disk
RENEWALS_PER_LEASE = 4
ROUND_PARTS = 4  # a voting round times out after lease / ROUND_PARTS
ASK, CONFIRM, RENEW, RELEASE = 'ask', 'confirm', 'renew', 'release'
VERBS = (ASK, CONFIRM, RENEW, RELEASE)


def promise_duration(lease):
    """Return how long a voter's promise lasts."""
    return max_elapsed(lease)


def startup_silence(lease):
    """Return how long a restarted voter must not answer: the longest that a promise of its previous life can
    last, allowing for a different clock rate."""
    return max_elapsed(promise_duration(lease)) + 1


class Promise:
    """A voter's promise of one task to one seeker. number: the lease number confirmed, or None."""

    __slots__ = ('life', 'until', 'seq', 'number')

    def __init__(self, life, until, seq, number=None):
        self.life, self.until, self.seq, self.number = life, until, seq, number


class Voter:
    """One voter during the life of its process.

    lease: the longest lease granted. persist(bound): store an upper bound durably, return whether that
    succeeded. bound: the one stored by a previous life; with None the voter never votes. before: the longest
    lease that a previous life may have promised.
    """

    __slots__ = (
        'life',
        'lease',
        'persist',
        'highest',
        'bound',
        'silent_until',
        'promises',
        'latest',
        'waiting',
    )

    def __init__(self, now, life, lease, persist, bound, before=0):
        self.life, self.lease, self.persist = life, lease, persist
        self.highest = self.bound = bound
        self.silent_until = now + startup_silence(max(lease, before))
        # By task: the promise; the lives that were refused, in order of arrival.
        self.promises, self.waiting = {}, {}
        self.latest = {}  # by (task, life): (last sequence number processed, when this entry may be dropped)

    def votes(self, now):
        """Return whether this voter may answer yet."""
        return self.highest is not None and now > self.silent_until

    def promise(self, now, task):
        """Return the task's unexpired promise, or None."""
        found = self.promises.get(task)
        return found if found is not None and now <= found.until else None

    def on_message(self, now, message):
        """Process a seeker's message. Return (the answer or None, lives to notify that the task is free)."""
        task, life, seq, verb = message['task'], message['life'], message['seq'], message['verb']
        if not self.votes(now) or not self.is_new(now, task, life, seq):
            return None, []
        current = self.promise(now, task)
        if verb == RELEASE:
            return None, self.released(task, life, current)
        yes = getattr(self, verb)(now, task, life, seq, message['number'], current)
        if not yes:
            self.add_waiter(task, life)
        return {
            'task': task,
            'life': life,
            'seq': seq,
            'voter': self.life,
            'yes': yes,
            'number': self.highest,
        }, []

    def is_new(self, now, task, life, seq):
        """Return whether the message is newer than all processed before; discards duplicates and messages
        that were overtaken, such as a renewal that arrives after the release."""
        latest = self.latest.get((task, life))
        if latest is not None and seq <= latest[0]:
            return False
        if latest is None and len(self.latest) >= MAX_LIVES:
            self.latest = {key: kept for key, kept in self.latest.items() if now <= kept[1]}
            if len(self.latest) >= MAX_LIVES:
                return False
        self.latest[task, life] = (seq, now + 2 * promise_duration(self.lease))
        return True

    def ask(self, now, task, life, seq, number, current):
        """Promise the task to this seeker unless it is promised to another. Return whether that was done."""
        if (
            current is not None
            and current.life != life
            or task not in self.promises
            and not self.has_room(now)
        ):
            return False
        self.promises[task] = Promise(life, now + promise_duration(self.lease), seq)
        return True

    def confirm(self, now, task, life, seq, number, current):
        """Record a lease number for the promise's holder. Return whether it was recorded: it must exceed all
        numbers recorded before."""
        if current is None or current.life != life or number <= self.highest:
            return False
        if number > self.bound:
            if not self.persist(number + NUMBER_BLOCK):
                return False
            self.bound = number + NUMBER_BLOCK
        self.highest = number
        self.promises[task] = Promise(life, now + promise_duration(self.lease), seq, number)
        return True

    def renew(self, now, task, life, seq, number, current):
        """Extend the promise and return whether that was done. A restarted voter that knows of no promise
        makes a new one: the seeker holds the lease through promises of the other voters."""
        if (
            current is not None
            and current.life != life
            or task not in self.promises
            and not self.has_room(now)
        ):
            return False
        self.promises[task] = Promise(life, now + promise_duration(self.lease), seq, number)
        return True

    def has_room(self, now):
        """Return whether one more task fits, after dropping expired promises at the bound."""
        if len(self.promises) >= MAX_TASKS:
            self.promises = {task: kept for task, kept in self.promises.items() if now <= kept.until}
        return len(self.promises) < MAX_TASKS

    def released(self, task, life, current):
        """Drop the promise if it belongs to this seeker. Return the life to notify: the first waiting."""
        if current is None or current.life != life:
            return []
        del self.promises[task]
        waiting = list(self.waiting.pop(task, ()))
        return [other for other in waiting if other != life][:1]

    def add_waiter(self, task, life):
        """Queue a seeker that was refused."""
        waiting = self.waiting.setdefault(task, {})
        waiting[life] = None
        if len(waiting) > MAX_WAITING:
            del waiting[next(iter(waiting))]
        if len(self.waiting) > MAX_TASKS:
            del self.waiting[next(iter(self.waiting))]

    def holders(self, now):
        """Return [task, life, number, time left] of each unexpired promise, for status output."""
        return [
            [task, kept.life, kept.number, kept.until - now]
            for task, kept in sorted(self.promises.items())
            if now <= kept.until
        ]


class Seeker:
    """One process's side of the lease for one task, as a state machine.

    Inputs only update its state; the host then calls `decide(now)` until it returns None. Decisions are
    ('lost', number), ('got', number), ('send', voter, message) and ('wake', when). The lease is held between
    'got' and 'lost'; the host must check `held(now)` before each action that relies on it.
    """

    __slots__ = (
        'task',
        'life',
        'voters',
        'lease',
        'uniform',
        'seq',
        'wanted',
        'verb',
        'sent',
        'granted',
        'denied',
        'number',
        'until',
        'next_round',
        'failures',
        'outbox',
        'reported_number',
        'wakeup_at',
    )

    def __init__(self, now, task, life, voters, lease, uniform):
        self.task, self.life, self.voters, self.lease, self.uniform = task, life, list(voters), lease, uniform
        self.seq, self.wanted, self.outbox = 0, False, []
        self.verb, self.sent, self.granted, self.denied = None, None, {}, set()  # the current round
        self.number, self.until = None, None  # the current lease, or the last one held
        self.next_round, self.failures = now, 0  # when to start the next round
        # The lease number that 'got' reported to the host; the last wake-up requested from it.
        self.reported_number, self.wakeup_at = None, None

    @property
    def most(self):
        return len(self.voters) // 2 + 1

    def held(self, now):
        """Return whether the lease is held now, by this process's clock."""
        return self.until is not None and now < self.until

    # --- inputs -----------------------------------------------------------------------------------------

    def want(self, now):
        """Start to acquire the lease."""
        if not self.wanted:
            self.wanted, self.next_round = True, now

    def release(self, now):
        """Give the lease up. It counts as not held at once, whatever the voters know."""
        self.wanted, self.until = False, None
        self.end_round()
        self.send_all(RELEASE, now)

    def free(self, now):
        """Try again at once: a voter reports that the task is free."""
        if self.wanted and self.until is None and self.verb is None:
            self.next_round = now

    def on_answer(self, now, voter, answer):
        """Process a voter's answer; one that does not belong to the current round is ignored."""
        if (
            self.verb is None
            or answer['seq'] != self.seq
            or answer['life'] != self.life
            or voter not in self.voters
        ):
            return
        if answer['yes']:
            self.granted[voter] = answer['number']
        else:
            self.denied.add(voter)
            self.granted.pop(voter, None)
        if len(self.granted) >= self.most:
            getattr(self, 'most_' + self.verb)(now)
        elif len(self.voters) - len(self.denied) < self.most:
            self.round_failed(now)

    def most_ask(self, now):
        """A majority has promised: have the voters record a number above all of theirs."""
        self.start_round(CONFIRM, now, max(self.granted.values()) + 1)

    def most_confirm(self, now):
        """A majority has recorded the number: the lease is held, unless it has expired already."""
        self.failures = 0
        self.holds()

    def most_renew(self, now):
        """Extend the lease; one that has expired meanwhile is not revived."""
        if self.held(now):
            self.holds()
        else:
            self.end_round()

    def holds(self):
        self.until = self.sent + min_elapsed(self.lease)
        self.next_round = self.sent + self.lease // RENEWALS_PER_LEASE
        self.end_round()

    # --- rounds -----------------------------------------------------------------------------------------

    def start_round(self, verb, now, number):
        """Start a round: send the request to all voters."""
        self.number = number if verb == CONFIRM else self.number
        self.send_all(verb, now, number)
        self.verb, self.sent, self.granted, self.denied = verb, now, {}, set()
        self.next_round = now + max(1, self.lease // ROUND_PARTS)

    def send_all(self, verb, now, number=0):
        """Queue a message to all voters, replacing earlier ones not sent yet."""
        self.seq += 1
        self.outbox = [
            (voter, {'task': self.task, 'life': self.life, 'seq': self.seq, 'verb': verb, 'number': number})
            for voter in self.voters
        ]

    def end_round(self):
        self.verb, self.granted, self.denied = None, {}, set()

    def round_failed(self, now):
        """Handle a round without a majority: release what was promised and retry after a randomized, growing
        backoff, so that competing seekers don't split the votes again and again."""
        renewing = self.verb == RENEW
        self.end_round()
        if renewing:
            self.next_round = now + max(1, self.lease // (2 * RENEWALS_PER_LEASE))
            return
        self.send_all(RELEASE, now)
        self.failures = min(4, self.failures + 1)
        self.next_round = now + max(1, int(self.lease * self.failures / 8 * (0.2 + self.uniform())))

    def decide(self, now):
        """Return the next decision for the host, or None."""
        if self.until is not None and not self.held(now):
            self.until = None
            if self.verb == RENEW:
                self.end_round()
            self.next_round = max(self.next_round, now)
        if self.reported_number is not None and (self.until is None or self.reported_number != self.number):
            number, self.reported_number = self.reported_number, None
            return 'lost', number
        if self.until is not None and self.reported_number is None:
            self.reported_number = self.number
            return 'got', self.number
        if self.outbox:
            return 'send', *self.outbox.pop(0)
        if self.wanted and now >= self.next_round:
            if self.verb is not None:
                self.round_failed(now)
            elif self.until is not None:
                self.start_round(RENEW, now, self.number)
            else:
                self.start_round(ASK, now, 0)
            return self.decide(now)
        first = min([self.next_round] * self.wanted + [self.until] * (self.until is not None), default=None)
        if first is not None and first != self.wakeup_at and first > now:
            self.wakeup_at = first
            return 'wake', first
        return None

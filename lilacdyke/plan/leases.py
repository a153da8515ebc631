"""Leases for tasks that one process does for the whole fleet: voters promise, a majority of promises is a
lease. Pure.

Owns the promises of a voter (Voter) and one process's seeking and holding of one task (Seeker). Must never do
I/O, trust another's clock for more than its rate, or give a number twice.

Times are whole ticks of the caller's own clock; rates of clocks differ as in ledger.py. What keeps two from
holding at once: a voter promises a task to one seeker for a lease, a twentieth and more longer, from when it
was asked; a seeker that has the promises of most voters holds for a lease, a twentieth and more shorter, from
when it asked. Any two majorities have a voter in common, and a voter that starts says nothing until whatever
a life before it promised has run out. What keeps numbers rising: before it holds, a seeker has most voters
note a number above all that any of them has noted; a voter keeps a bound on those beyond its own life
(`keep`).
"""

from .ledger import longer, shorter

TASKS, WAITING, LIVES = 1_024, 1_024, 1_024  # that a voter keeps count of
BLOCK = 1_000  # numbers that are written down at a time
RENEWS = 4  # in a lease
TRY = 4  # a round waits for answers for this part of a lease
ASK, CONFIRM, RENEW, RELEASE = 'ask', 'confirm', 'renew', 'release'
VERBS = (ASK, CONFIRM, RENEW, RELEASE)


def promised(lease):
    """How long a voter's promise runs."""
    return longer(lease)


def silent(lease):
    """How long a voter that starts says nothing: the longest that a promise before it can run, by another
    rate of its clock."""
    return longer(promised(lease)) + 1


class Promise:
    """A task that is one seeker's, until then; number: what it has had noted, None before."""

    __slots__ = ('life', 'until', 'seq', 'number')

    def __init__(self, life, until, seq, number=None):
        self.life, self.until, self.seq, self.number = life, until, seq, number


class Voter:
    """One voter, from its start to its end. lease: the longest; keep(bound): have a bound written down for
    good, whether that was done; bound: the one that a life before wrote down, None: none is known, so it does
    not vote; before: the longest lease that such a life may have promised."""

    __slots__ = ('life', 'lease', 'keep', 'top', 'bound', 'mute', 'promises', 'last', 'waiting')

    def __init__(self, now, life, lease, keep, bound, before=0):
        self.life, self.lease, self.keep = life, lease, keep
        self.top = self.bound = bound
        self.mute = now + silent(max(lease, before))
        self.promises, self.waiting = (
            {},
            {},
        )  # by task: the promise; by task, the lives that were told no, the earliest first
        self.last = {}  # by (task, life): the newest message that was heeded, and when that may be forgotten

    def votes(self, now):
        """Whether it votes yet."""
        return self.top is not None and now > self.mute

    def promise(self, now, task):
        """The promise in force, or None."""
        found = self.promises.get(task)
        return found if found is not None and now <= found.until else None

    def told(self, now, message):
        """A seeker's message: (the answer or None, the lives to tell that the task is free)."""
        task, life, seq, verb = message['task'], message['life'], message['seq'], message['verb']
        if not self.votes(now) or not self.newest(now, task, life, seq):
            return None, []
        mine = self.promise(now, task)
        if verb == RELEASE:
            return None, self.released(task, life, mine)
        yes = getattr(self, verb)(now, task, life, seq, message['number'], mine)
        if not yes:
            self.wait(task, life)
        return {
            'task': task,
            'life': life,
            'seq': seq,
            'voter': self.life,
            'yes': yes,
            'number': self.top,
        }, []

    def newest(self, now, task, life, seq):
        """Guards against messages that come twice or late: a release that has overtaken a renewal ends it all
        the same."""
        last = self.last.get((task, life))
        if last is not None and seq <= last[0]:
            return False
        if last is None and len(self.last) >= LIVES:
            self.last = {key: kept for key, kept in self.last.items() if now <= kept[1]}
            if len(self.last) >= LIVES:
                return False
        self.last[task, life] = (seq, now + 2 * promised(self.lease))
        return True

    def ask(self, now, task, life, seq, number, mine):
        """Whether the task is promised to this seeker from now on."""
        if mine is not None and mine.life != life or task not in self.promises and not self.room(now):
            return False
        self.promises[task] = Promise(life, now + promised(self.lease), seq)
        return True

    def confirm(self, now, task, life, seq, number, mine):
        """Whether a number is noted for whom the task is promised: one above all noted before."""
        if mine is None or mine.life != life or number <= self.top:
            return False
        if number > self.bound:
            if not self.keep(number + BLOCK):
                return False
            self.bound = number + BLOCK
        self.top = number
        self.promises[task] = Promise(life, now + promised(self.lease), seq, number)
        return True

    def renew(self, now, task, life, seq, number, mine):
        """Whether the promise goes on. A voter that knows of none, as it was restarted, gives it anew: who
        asks holds by others' promises."""
        if mine is not None and mine.life != life or task not in self.promises and not self.room(now):
            return False
        self.promises[task] = Promise(life, now + promised(self.lease), seq, number)
        return True

    def room(self, now):
        """Whether there is a place for one more task."""
        if len(self.promises) >= TASKS:
            self.promises = {task: kept for task, kept in self.promises.items() if now <= kept.until}
        return len(self.promises) < TASKS

    def released(self, task, life, mine):
        """The task is free, if it was that seeker's; who waits is told, the first to ask first."""
        if mine is None or mine.life != life:
            return []
        del self.promises[task]
        waiting = list(self.waiting.pop(task, ()))
        return [other for other in waiting if other != life][:1]

    def wait(self, task, life):
        """One that was told no."""
        waiting = self.waiting.setdefault(task, {})
        waiting[life] = None
        if len(waiting) > WAITING:
            del waiting[next(iter(waiting))]
        if len(self.waiting) > TASKS:
            del self.waiting[next(iter(self.waiting))]

    def holders(self, now):
        """For staff: task, life, number, time left of each promise."""
        return [
            [task, kept.life, kept.number, kept.until - now]
            for task, kept in sorted(self.promises.items())
            if now <= kept.until
        ]


class Seeker:
    """One process's side of one task. Inputs only update it; the host then pulls `decide(now)` until it gives
    None: ('lost', number), ('got', number), ('send', voter, message), ('wake', when). Between got and lost it
    holds; before each act the host asks `held(now)`."""

    __slots__ = (
        'task',
        'life',
        'voters',
        'lease',
        'chance',
        'seq',
        'wanted',
        'verb',
        'sent',
        'yes',
        'no',
        'number',
        'until',
        'next',
        'failures',
        'out',
        'told_of',
        'woken',
    )

    def __init__(self, now, task, life, voters, lease, chance):
        self.task, self.life, self.voters, self.lease, self.chance = task, life, list(voters), lease, chance
        self.seq, self.wanted, self.out = 0, False, []  # out: messages to be sent
        self.verb, self.sent, self.yes, self.no = None, None, {}, set()  # of the round under way
        self.number, self.until = None, None  # of the lease that it has, or had last
        self.next, self.failures = now, 0  # when to ask, or to renew
        self.told_of, self.woken = (
            None,
            None,
        )  # the number that the host was told it has; the wake-up asked for

    @property
    def most(self):
        return len(self.voters) // 2 + 1

    def held(self, now):
        """Whether it holds now, by its own clock."""
        return self.until is not None and now < self.until

    # --- inputs -----------------------------------------------------------------------------------------

    def want(self, now):
        """The task is wanted from now on."""
        if not self.wanted:
            self.wanted, self.next = True, now

    def release(self, now):
        """It is not wanted any more: nothing is held from here on, whatever voters think."""
        self.wanted, self.until = False, None
        self.end_round()
        self.say(RELEASE, now)

    def free(self, now):
        """A voter tells that the task is free."""
        if self.wanted and self.until is None and self.verb is None:
            self.next = now

    def told(self, now, voter, answer):
        """A voter has answered. What is not of the round under way says nothing."""
        if (
            self.verb is None
            or answer['seq'] != self.seq
            or answer['life'] != self.life
            or voter not in self.voters
        ):
            return
        if answer['yes']:
            self.yes[voter] = answer['number']
        else:
            self.no.add(voter)
            self.yes.pop(voter, None)
        if len(self.yes) >= self.most:
            getattr(self, 'most_' + self.verb)(now)
        elif len(self.voters) - len(self.no) < self.most:
            self.failed(now)

    def most_ask(self, now):
        """Most promise: have them note a number above all of theirs."""
        self.begin(CONFIRM, now, max(self.yes.values()) + 1)

    def most_confirm(self, now):
        """Most have noted it: it is held, if its time is not up yet."""
        self.failures = 0
        self.holds()

    def most_renew(self, now):
        """It goes on; but what has ended is not begun again."""
        if self.held(now):
            self.holds()
        else:
            self.end_round()

    def holds(self):
        self.until = self.sent + shorter(self.lease)
        self.next = self.sent + self.lease // RENEWS
        self.end_round()

    # --- rounds -----------------------------------------------------------------------------------------

    def begin(self, verb, now, number):
        """Ask all voters."""
        self.number = number if verb == CONFIRM else self.number
        self.say(verb, now, number)
        self.verb, self.sent, self.yes, self.no = verb, now, {}, set()
        self.next = now + max(1, self.lease // TRY)

    def say(self, verb, now, number=0):
        """A message to all voters; those of before that have not gone are void."""
        self.seq += 1
        self.out = [
            (voter, {'task': self.task, 'life': self.life, 'seq': self.seq, 'verb': verb, 'number': number})
            for voter in self.voters
        ]

    def end_round(self):
        self.verb, self.yes, self.no = None, {}, set()

    def failed(self, now):
        """No majority. What was promised is given back, and the next try drawn from ever longer: guards
        against seekers that split the votes."""
        renewing = self.verb == RENEW
        self.end_round()
        if renewing:
            self.next = now + max(1, self.lease // (2 * RENEWS))
            return
        self.say(RELEASE, now)
        self.failures = min(4, self.failures + 1)
        self.next = now + max(1, int(self.lease * self.failures / 8 * (0.2 + self.chance())))

    def decide(self, now):
        """The next thing to do, or None."""
        if self.until is not None and not self.held(now):
            self.until = None
            if self.verb == RENEW:
                self.end_round()
            self.next = max(self.next, now)
        if self.told_of is not None and (self.until is None or self.told_of != self.number):
            number, self.told_of = self.told_of, None
            return 'lost', number
        if self.until is not None and self.told_of is None:
            self.told_of = self.number
            return 'got', self.number
        if self.out:
            return 'send', *self.out.pop(0)
        if self.wanted and now >= self.next:
            if self.verb is not None:
                self.failed(now)
            elif self.until is not None:
                self.begin(RENEW, now, self.number)
            else:
                self.begin(ASK, now, 0)
            return self.decide(now)
        first = min([self.next] * self.wanted + [self.until] * (self.until is not None), default=None)
        if first is not None and first != self.woken and first > now:
            self.woken = first
            return 'wake', first
        return None

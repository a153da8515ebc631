"""Who may spend how much of a budget that all forwarders share: gifts up, leases down, and a sum that always
holds.

Owns the promises. Each seat owns a fixed part of every budget, and the forwarder on it needs nobody to spend
that. What it can spare it gives to a planner for a while (a promise not to spend it); a planner lends out
what it was given and what is its own (`pool`), for a shorter while, and nothing else. So the sum of what all
may spend never passes the whole, whatever messages are lost, late, doubled or reordered, whoever restarts or
is cut off, and with any number of planners that know nothing of each other. Must never do I/O, read a clock,
or trust another's clock for more than its rate.

Times are whole ticks of the caller's own monotonic clock; amounts are whole grains. Rates of clocks differ by
less than one part in DRIFT.

How time is told apart without a common clock. A lease runs, for who borrows, from when it sent the digest
that the plan answers; the planner counts it from when that digest came, which is later: it never ends first
in the planner's books. A gift runs, for who gives, from when it sent the digest with it; the planner knows
that this was not before it sent the plan that the digest echoes, plus the time that the giver held that: in
the planner's books it never ends last.

What is spent by being open (requests, connections) may stay so for a `tail` beyond the lease that let it
begin: the planner charges leases for that much longer, gifts bind twice that longer, and who borrows does not
say that it holds a smaller lease while more than that is still open.
"""

DRIFT = 20
LIVES = 8  # lives of one planner that a purse still remembers gifts to
KEYS = 4_096  # budgets in one message; the rest is not asked for
FORWARDERS = 4_096  # that one planner serves
LOOKS = 40  # looks of a planner at all forwarders, in a lease


class Parts(dict):
    """Grains by key. A key with a colon is one of a family, each of which has what stands under the family's
    name."""

    def __missing__(self, key):
        family, colon, _ = key.partition(':')
        return self.get(family, 0) if colon else 0


def longer(span):
    """The most that a span of another's clock takes on this one."""
    return span + -(-2 * span // DRIFT)


def shorter(span):
    """The least that it takes."""
    return span - -(-2 * span // DRIFT)


class Gift:
    """An amount promised until then."""

    __slots__ = ('until', 'amount')

    def __init__(self, until, amount):
        self.until, self.amount = until, amount


def bound(gifts, when):
    """The most that gifts bind at that time and later ones up to it: what holds until then for sure."""
    return max((gift.amount for gift in gifts if gift.until >= when), default=0)


class Account:
    """What a purse has with one life of one planner."""

    __slots__ = ('life', 'gifts', 'stamp', 'came', 'version', 'held', 'leases')

    def __init__(self, life):
        self.life, self.gifts = life, {}  # by key: gifts, the newest last
        self.stamp = self.came = None  # of the newest plan: its own time stamp, and when it came here
        self.version, self.leases = 0, {}  # by key: (until, amount) of the newest plan
        self.held = 0  # the newest plan under which all that is open has room


class Purse:
    """A forwarder's: what it may spend. own: Parts, the grains of each budget that are its seat's; lease,
    gift: how long those run; tails: Parts, how long what began under a lease may stay open beyond it; units:
    Parts, what amounts must be a multiple of; whole: Parts, all that there is of each budget, where that is
    known."""

    __slots__ = (
        'life',
        'own',
        'full',
        'lease',
        'gift',
        'tails',
        'units',
        'seq',
        'sent',
        'accounts',
        'share',
        'since',
        'whole',
    )

    def __init__(self, now, life, planners, own, lease, gift, tails=None, units=None, whole=None, share=2):
        if gift < 2 * longer(lease):
            raise ValueError('gifts must run at least twice as long as leases')
        self.life, self.own, self.full, self.lease, self.gift = life, own, own, lease, gift
        self.tails, self.units, self.whole = tails or Parts(), units or Parts(), whole
        self.seq, self.sent = 0, {}  # digests sent lately: by number, (planner, when)
        self.accounts = {planner: [] for planner in planners}  # by planner: its lives, the latest last
        self.share = share * max(1, len(planners))  # of its own it gives one planner at most one such part
        # Guards against a forwarder that restarts and has forgotten what it gave: as much as it can have
        # given counts as given until that would have run out.
        self.since = (
            now if own else None
        )  # since when the seat, or the half that answers for gifts, is this one's

    def seated(self, now, own, full, anew):
        """Of the seat, whose part is `full`, this one has so much from now on. anew: it has taken over the
        half that answers for gifts: who had that may have given as much as one gives."""
        self.own, self.full = own, full
        if anew:
            self.since = now

    def binds(self, key):
        """How long a gift runs."""
        return self.gift + 2 * longer(self.tails[key])

    def shy(self, now, key):
        """Whether a life before this one may have given what binds still."""
        return self.since is not None and now <= self.since + self.binds(key)

    def most(self, key):
        """What it gives to one planner at the most."""
        part = self.full[key] // self.share
        return part - part % (self.units[key] or 1)

    def account(self, planner):
        """That with the planner's present life, or None."""
        lives = self.accounts[planner]
        return lives[-1] if lives else None

    def given(self, now, key):
        """How much of a budget is promised away now."""
        if self.shy(now, key):
            return self.most(key) * len(self.accounts)
        return sum(
            bound(account.gifts.get(key, ()), now) for lives in self.accounts.values() for account in lives
        )

    def borrowed(self, now, key):
        """How much of it others have lent."""
        total = 0
        for lives in self.accounts.values():
            if lives and key in lives[-1].leases:
                until, amount = lives[-1].leases[key]
                total += amount if now < until else 0
        return total

    def may(self, now, key):
        """The grains that it may spend of a budget now. Guards against absurd plans: never more than there
        is."""
        found = self.own[key] - self.given(now, key) + self.borrowed(now, key)
        return found if self.whole is None else min(found, self.whole[key])

    # --- messages ---------------------------------------------------------------------------------------

    def digest(self, now, planner, spare, wants, used=()):
        """The next digest to a planner. spare, wants: grains by key, what it can do without and what it
        lacks; used: a table of those that are open now."""
        used = dict(used)
        self.seq += 1
        self.forget(now)
        self.sent[self.seq] = (planner, now)
        account, gifts = self.account(planner), {}
        if account and all(amount <= self.may(now, key) for key, amount in used.items()):
            account.held = account.version
        # Nothing is given while gifts of a life before may bind: a planner counts the two apart, and would
        # lend both; nor by one that shares its seat with another process.
        if account is not None and account.stamp is not None and self.own == self.full:
            for key, amount in [pair for pair in spare.items() if not self.shy(now, pair[0])][:KEYS]:
                gifts[key] = self.give(
                    now, planner, account, key, min(amount, self.own[key] - used.get(key, 0))
                )
        return {
            'forwarder': self.life,
            'seq': self.seq,
            'holds': account.held if account else 0,
            'life': account.life if account else None,
            'stamp': account.stamp if account else None,
            'held': now - account.came if account and account.came is not None else 0,
            'gifts': {key: amount for key, amount in gifts.items() if amount},
            'wants': {key: amount for key, amount in list(wants.items())[:KEYS] if amount > 0},
        }

    def give(self, now, planner, account, key, amount):
        """Promise as much as is left to promise, beside what other planners have; what was promised before
        binds on until it runs out. One planner is never given more than its part, over all of its lives: that
        is what a restarted forwarder counts on."""
        gifts = [gift for gift in account.gifts.get(key, ()) if gift.until >= now]
        lives = sum(
            bound(other.gifts.get(key, ()), now) for other in self.accounts[planner] if other is not account
        )
        others = self.given(now, key) - bound(account.gifts.get(key, ()), now)
        amount = max(0, min(amount - others, self.most(key) - lives))
        amount -= amount % (self.units[key] or 1)
        gifts = [
            gift for gift in gifts if gift.amount > amount
        ]  # a smaller one that ends sooner adds nothing
        if amount:
            gifts.append(Gift(now + self.binds(key), amount))
        account.gifts[key] = gifts
        return amount

    def forget(self, now):
        """Digests whose answers would be void by now, and gifts that have run out."""
        self.sent = {seq: row for seq, row in self.sent.items() if now < row[1] + self.lease}
        for lives in self.accounts.values():
            for account in lives:
                account.gifts = {
                    key: kept
                    for key, gifts in account.gifts.items()
                    if (kept := [gift for gift in gifts if gift.until >= now])
                }
            lives[:] = [account for account in lives[:-1] if account.gifts] + lives[-1:]

    def planned(self, now, planner, plan):
        """A plan has come. Whether it is of use: one that answers no digest of ours that is still young, or
        that is older than what is held, changes nothing."""
        asked = self.sent.get(plan['seq'])
        if asked is None or asked[0] != planner or plan['forwarder'] != self.life:
            return False
        until = asked[1] + self.lease
        if now >= until:
            return False
        account = self.account(planner)
        if account is None or account.life != plan['life']:
            if (
                any(old.life == plan['life'] for old in self.accounts[planner])
                or len(self.accounts[planner]) >= LIVES
            ):
                return False  # a life that has ended, or one that comes back too often: alone is safe
            account = Account(plan['life'])
            self.accounts[planner].append(account)
        elif plan['version'] <= account.version:
            return False
        account.version, account.stamp, account.came = plan['version'], plan['stamp'], now
        account.leases = {
            key: (until, amount) for key, amount in list(plan['leases'].items())[:KEYS] if amount > 0
        }
        return True


class Holder:
    """What a planner knows of one life of a forwarder."""

    __slots__ = ('name', 'seq', 'seen', 'gifts', 'grants', 'wants')

    def __init__(self, name):
        self.name, self.seq, self.seen = name, 0, 0
        self.gifts = {}  # by key: gifts
        self.grants = []  # (version, until, leases by key), not yet run out nor superseded for sure
        self.wants = {}

    def charge(self, now, key, tail):
        """The most that it may be spending of what it was lent, or have open a tail later."""
        return max((leases.get(key, 0) for _, until, leases in self.grants if now <= until + tail), default=0)


class Look:
    """What a planner found of one budget when it last looked at all forwarders; kept for a moment, and never
    better than what is so."""

    __slots__ = ('when', 'pool', 'charges', 'lent', 'level', 'rest')

    def __init__(self, when, pool, charges, wants):
        self.when, self.pool, self.charges = (
            when,
            pool,
            charges,
        )  # charges: by forwarder, those that there are
        self.lent = sum(charges.values())
        self.level, self.rest = (
            None,
            0,
        )  # what each may have of it, if some lack: water-filling; and what is left by division
        left = len(wants)
        for wanted in sorted(wants):
            if wanted > pool // left:
                self.level, self.rest = pool // left, pool % left
                break
            pool, left = pool - wanted, left - 1

    def grant(self, holder, amount):
        """One was lent so much: it is charged with that from now on, or with more that it had."""
        had = self.charges.get(holder, 0)
        if amount > had:
            self.charges[holder] = amount
            self.lent += amount - had


class Bank:
    """A planner's: what it was given and what is its own, and to whom it is lent. It needs nothing of its
    past: what an earlier life lent of what it was given is backed by that, which givers count apart; and its
    own it lends only once all that an earlier life can have lent has run out. endowed: Parts, its own; tails:
    as a purse's; units: Parts, what an amount must be a multiple of to be of use."""

    __slots__ = (
        'life',
        'lease',
        'gift',
        'version',
        'holders',
        'endowed',
        'tails',
        'units',
        'since',
        'keep',
        'looks',
        'tidied',
    )

    def __init__(self, life, lease, gift, now=0, endowed=None, tails=None, units=None):
        self.life, self.lease, self.gift, self.since = life, lease, gift, now
        self.version, self.holders = 0, {}
        self.endowed, self.tails, self.units = endowed or Parts(), tails or Parts(), units or Parts()
        self.keep = (
            lease // LOOKS
        )  # how long a look at all forwarders is kept: guards against a look for each of hundreds
        self.looks, self.tidied = {}, now

    def endow(self, parts):
        """What is its own from now on."""
        if parts != self.endowed:
            self.endowed = parts
            self.looks.clear()

    def charged(self, key):
        """How long a lease is charged for."""
        return longer(self.lease) + longer(self.tails[key])

    def told(self, now, digest):
        """A digest has come: the plan that answers it, or None if it is old."""
        if now >= self.tidied + self.keep:
            self.tidy(now)
        holder = self.holders.get(digest['forwarder'])
        if holder is None:
            if len(self.holders) >= FORWARDERS:
                return None
            holder = self.holders[digest['forwarder']] = Holder(digest['forwarder'])
        if digest['seq'] <= holder.seq:
            return None
        holder.seq, holder.seen, holder.wants = digest['seq'], now, dict(digest['wants'])
        if digest['life'] == self.life:
            holder.grants = [grant for grant in holder.grants if grant[0] >= digest['holds']]
            self.receive(now, holder, digest)
        return self.plan(now, holder)

    def receive(self, now, holder, digest):
        """Take gifts in. They run from when the digest was sent at the earliest: not before our plan's stamp
        and what it was held."""
        if digest['stamp'] is None or digest['stamp'] > now:
            return
        left = min(now, digest['stamp'] + shorter(digest['held']))
        for key, amount in digest['gifts'].items():
            until = left + shorter(self.gift + 2 * longer(self.tails[key]))
            kept = [gift for gift in holder.gifts.get(key, ()) if gift.until > until or gift.amount > amount]
            holder.gifts[key] = kept + [Gift(until, amount)]

    def pool(self, now, key, until):
        """What is given for sure until then, and what is this planner's own."""
        return sum(bound(holder.gifts.get(key, ()), until) for holder in self.holders.values()) + (
            self.endowed[key] if now > self.since + self.charged(key) else 0
        )

    def look(self, now, key):
        """What there is of a budget, for leases that begin until the look is old."""
        found = self.looks.get(key)
        if found is None or not found.when <= now < found.when + self.keep:
            tail, until = longer(self.tails[key]), now + self.charged(key) + self.keep
            charges = {
                holder: charge
                for holder in self.holders.values()
                if (charge := holder.charge(now, key, tail))
            }
            wants = [
                holder.wants[key]
                for holder in self.holders.values()
                if holder.wants.get(key, 0) > 0 and now <= holder.seen + self.lease
            ]
            found = self.looks[key] = Look(now, self.pool(now, key, until), charges, wants)
            if len(self.looks) > KEYS:
                del self.looks[next(iter(self.looks))]
        return found

    def plan(self, now, holder):
        """What this forwarder may borrow: its fair part of what it lacks, out of what is given for as long as
        the lease runs."""
        leases = {}
        for key, wanted in holder.wants.items():
            look, unit = self.look(now, key), self.units[key] or 1
            free = look.pool - (look.lent - look.charges.get(holder, 0))
            # Rounded up: what one has too much of its unit for, another lacks.
            fair = wanted if look.level is None else -(-min(wanted, look.level + look.rest) // unit) * unit
            amount = min(wanted, free, fair)
            amount -= amount % unit
            if amount > 0:
                leases[key] = amount
                look.grant(holder, amount)
        self.version += 1
        holder.grants.append((self.version, now + longer(self.lease), leases))
        return {
            'forwarder': holder.name,
            'seq': holder.seq,
            'life': self.life,
            'version': self.version,
            'stamp': now,
            'leases': leases,
            'forwarders': len(self.holders),
        }

    def tidy(self, now):
        """What has run out binds nobody; a forwarder of whom nothing is left is forgotten."""
        self.tidied = now
        tail = longer(max(self.tails.values(), default=0))
        for name, holder in list(self.holders.items()):
            holder.grants = [grant for grant in holder.grants if now <= grant[1] + tail]
            holder.gifts = {
                key: kept
                for key, gifts in holder.gifts.items()
                if (kept := [gift for gift in gifts if gift.until >= now])
            }
            if not holder.grants and not holder.gifts and now > holder.seen + 4 * self.gift:
                del self.holders[name]

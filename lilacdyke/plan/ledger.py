"""Ledger of budgets that all forwarders share: deposits to planners and leases from them.

Each seat owns a fixed part of every budget, which its forwarder may spend without asking anybody. A forwarder
deposits budget that it does not need with a planner for a limited time, and does not spend it meanwhile (a
`gift` on the wire). A planner leases out those deposits and its own part (the `pool`), for a shorter time. So
the sum of what all may spend never exceeds the total, however messages are lost, delayed, duplicated or
reordered, whoever restarts or is partitioned, and with any number of planners that do not know each other.
Must never do I/O, read a clock, or rely on another clock for more than its rate.

Times are integer ticks of the caller's monotonic clock; amounts are integer grains. Clock rates differ by
less than one part in DRIFT.

Expiry without a common clock: a lease runs, for the borrower, from when it sent the digest that the plan
answers. The planner counts it from the arrival of that digest, which is later, so it never expires first on
the planner's side. A deposit runs, for the forwarder, from when it sent the digest that carries it. The
planner counts it from when it sent the plan that the digest echoes, plus how long the forwarder had held that
plan. That is not later, so a deposit never expires last on the planner's side.

What counts while it is open (requests, connections) may stay open for a `tail` beyond the lease under which
it began. The planner therefore charges leases for that much longer, deposits last for twice that longer, and
a borrower does not confirm a smaller lease while more than that is still open.
"""

DRIFT = 20
MAX_LIVES = 8  # lives (restarts) of one planner for which a forwarder remembers deposits
MAX_KEYS = 4_096  # budgets in one message; further ones are left out
MAX_FORWARDERS = 4_096  # served by one planner
SNAPSHOTS_PER_LEASE = 40  # how often per lease a planner recomputes a budget over all forwarders


class Budgets(dict):
    """Grains by key. A key `family:member` without an entry of its own has the amount of its family."""

    def __missing__(self, key):
        family, colon, _ = key.partition(':')
        return self.get(family, 0) if colon else 0


def max_elapsed(span):
    """Return the longest that a span of another process's clock can last on this one."""
    return span + -(-2 * span // DRIFT)


def min_elapsed(span):
    """Return the shortest that a span of another process's clock can last on this one."""
    return span - -(-2 * span // DRIFT)


class Deposit:
    """An amount that a forwarder leaves to a planner until a given time."""

    __slots__ = ('until', 'amount')

    def __init__(self, until, amount):
        self.until, self.amount = until, amount


def reserved(deposits, when):
    """Return the largest deposit that lasts until the given time."""
    return max((deposit.amount for deposit in deposits if deposit.until >= when), default=0)


class Account:
    """A forwarder's deposits with, and leases from, one life of one planner."""

    __slots__ = ('life', 'deposits', 'stamp', 'received_at', 'version', 'confirmed_version', 'leases')

    def __init__(self, life):
        self.life, self.deposits = life, {}  # by key: deposits, the newest last
        self.stamp = self.received_at = (
            None  # of the newest plan: the planner's time stamp, and its arrival here
        )
        self.version, self.leases = 0, {}  # by key: (until, amount) of the newest plan
        self.confirmed_version = 0  # the newest plan whose leases cover all that is open


class ForwarderLedger:
    """A forwarder's side of the ledger: what it may spend.

    own: grains of each budget that belong to its seat.
    lease, deposit_term: durations of leases and deposits.
    lease_tails: how long what began under a lease may stay open beyond it, by key.
    units: the granularity of amounts, by key.
    whole: the total of each budget, where that is known.
    """

    __slots__ = (
        'life',
        'own',
        'full',
        'lease',
        'deposit_term',
        'lease_tails',
        'units',
        'seq',
        'sent',
        'accounts',
        'deposit_divisor',
        'since',
        'whole',
    )

    def __init__(
        self,
        now,
        life,
        planners,
        own,
        lease,
        deposit_term,
        lease_tails=None,
        units=None,
        whole=None,
        deposit_divisor=2,
    ):
        if deposit_term < 2 * max_elapsed(lease):
            raise ValueError('deposits must last at least twice as long as leases')
        self.life, self.own, self.full, self.lease, self.deposit_term = life, own, own, lease, deposit_term
        self.lease_tails, self.units, self.whole = lease_tails or Budgets(), units or Budgets(), whole
        self.seq, self.sent = 0, {}  # recent digests: by sequence number, (planner, time)
        self.accounts = {
            planner: [] for planner in planners
        }  # by planner: an account for each of its lives, the latest last
        self.deposit_divisor = deposit_divisor * max(
            1, len(planners)
        )  # it deposits at most 1/deposit_divisor of its own with one planner
        # A restarted forwarder has lost its record of deposits. Until the deposits of an earlier life must
        # have expired, it assumes the largest that could have been made.
        self.since = (
            now if own else None
        )  # when this process took over the seat, or the half that covers deposits

    def set_seat_budget(self, now, own, full, anew):
        """Set how much of the seat's budget, `full`, this process holds from now on. anew: it has taken over
        the half that covers deposits, whose previous owner may have made the largest possible ones."""
        self.own, self.full = own, full
        if anew:
            self.since = now

    def deposit_duration(self, key):
        """Return how long a deposit lasts."""
        return self.deposit_term + 2 * max_elapsed(self.lease_tails[key])

    def in_recovery(self, now, key):
        """Return whether deposits of an earlier life may still be in force."""
        return self.since is not None and now <= self.since + self.deposit_duration(key)

    def max_deposit(self, key):
        """Return the most that may be deposited with one planner."""
        part = self.full[key] // self.deposit_divisor
        return part - part % (self.units[key] or 1)

    def account(self, planner):
        """Return the account for the planner's current life, or None."""
        lives = self.accounts[planner]
        return lives[-1] if lives else None

    def deposited(self, now, key):
        """Return how much of a budget is deposited with planners now."""
        if self.in_recovery(now, key):
            return self.max_deposit(key) * len(self.accounts)
        return sum(
            reserved(account.deposits.get(key, ()), now)
            for lives in self.accounts.values()
            for account in lives
        )

    def leased(self, now, key):
        """Return how much of a budget is leased from planners now."""
        total = 0
        for lives in self.accounts.values():
            if lives and key in lives[-1].leases:
                until, amount = lives[-1].leases[key]
                total += amount if now < until else 0
        return total

    def spendable(self, now, key):
        """Return the grains of a budget that may be spent now. The total of the budget, where known, is an
        upper bound, whatever a plan says."""
        found = self.own[key] - self.deposited(now, key) + self.leased(now, key)
        return found if self.whole is None else min(found, self.whole[key])

    # --- messages ---------------------------------------------------------------------------------------

    def digest(self, now, planner, spare, wants, used=()):
        """Return the next digest for a planner. spare, wants: grains by key that it can do without, and that
        it lacks; used: grains by key that are open now."""
        used = dict(used)
        self.seq += 1
        self.forget(now)
        self.sent[self.seq] = (planner, now)
        account, deposits = self.account(planner), {}
        if account and all(amount <= self.spendable(now, key) for key, amount in used.items()):
            account.confirmed_version = account.version
        # No deposits while those of an earlier life may be in force: a planner counts the two separately and
        # would lend both. None either from a process that shares its seat with another.
        if account is not None and account.stamp is not None and self.own == self.full:
            for key, amount in [pair for pair in spare.items() if not self.in_recovery(now, pair[0])][
                :MAX_KEYS
            ]:
                deposits[key] = self.make_deposit(
                    now, planner, account, key, min(amount, self.own[key] - used.get(key, 0))
                )
        return {
            'forwarder': self.life,
            'seq': self.seq,
            'holds': account.confirmed_version if account else 0,
            'life': account.life if account else None,
            'stamp': account.stamp if account else None,
            'held': now - account.received_at if account and account.received_at is not None else 0,
            'gifts': {key: amount for key, amount in deposits.items() if amount},
            'wants': {key: amount for key, amount in list(wants.items())[:MAX_KEYS] if amount > 0},
        }

    def make_deposit(self, now, planner, account, key, amount):
        """Deposit up to `amount`, less what is deposited with other planners, and return the amount. Earlier
        deposits stay in force until they expire. The bound for one planner holds over all of its lives; a
        restarted forwarder relies on that."""
        deposits = [deposit for deposit in account.deposits.get(key, ()) if deposit.until >= now]
        lives = sum(
            reserved(other.deposits.get(key, ()), now)
            for other in self.accounts[planner]
            if other is not account
        )
        others = self.deposited(now, key) - reserved(account.deposits.get(key, ()), now)
        amount = max(0, min(amount - others, self.max_deposit(key) - lives))
        amount -= amount % (self.units[key] or 1)
        deposits = [
            deposit for deposit in deposits if deposit.amount > amount
        ]  # a smaller one that expires sooner adds nothing
        if amount:
            deposits.append(Deposit(now + self.deposit_duration(key), amount))
        account.deposits[key] = deposits
        return amount

    def forget(self, now):
        """Drop digests whose answers would be too late by now, and expired deposits."""
        self.sent = {seq: row for seq, row in self.sent.items() if now < row[1] + self.lease}
        for lives in self.accounts.values():
            for account in lives:
                account.deposits = {
                    key: kept
                    for key, deposits in account.deposits.items()
                    if (kept := [deposit for deposit in deposits if deposit.until >= now])
                }
            lives[:] = [account for account in lives[:-1] if account.deposits] + lives[-1:]

    def apply_plan(self, now, planner, plan):
        """Apply a plan and return whether it was used. Ignore one that does not answer a recent digest of
        this forwarder, or that is older than the current one."""
        request = self.sent.get(plan['seq'])
        if request is None or request[0] != planner or plan['forwarder'] != self.life:
            return False
        until = request[1] + self.lease
        if now >= until:
            return False
        account = self.account(planner)
        if account is None or account.life != plan['life']:
            if (
                any(old.life == plan['life'] for old in self.accounts[planner])
                or len(self.accounts[planner]) >= MAX_LIVES
            ):
                return False  # a life that has ended, or too many restarts: ignoring its plans is safe
            account = Account(plan['life'])
            self.accounts[planner].append(account)
        elif plan['version'] <= account.version:
            return False
        account.version, account.stamp, account.received_at = plan['version'], plan['stamp'], now
        account.leases = {
            key: (until, amount) for key, amount in list(plan['leases'].items())[:MAX_KEYS] if amount > 0
        }
        return True


class ForwarderRecord:
    """State that a planner keeps for one life of a forwarder."""

    __slots__ = ('name', 'seq', 'seen', 'deposits', 'grants', 'wants')

    def __init__(self, name):
        self.name, self.seq, self.seen = name, 0, 0
        self.deposits = {}  # by key: deposits
        self.grants = []  # (version, until, leases by key), neither expired nor confirmed as superseded
        self.wants = {}

    def charge(self, now, key, tail):
        """Return the most of its leases that it may be using, or may have open within a tail after them."""
        return max((leases.get(key, 0) for _, until, leases in self.grants if now <= until + tail), default=0)


class BudgetSnapshot:
    """A planner's totals for one budget over all forwarders. Cached for a short time, during which it never
    overstates what may be lent."""

    __slots__ = ('when', 'pool', 'charges', 'lent', 'fair_share', 'remainder')

    def __init__(self, when, pool, charges, wants):
        self.when, self.pool, self.charges = (
            when,
            pool,
            charges,
        )  # charges: by forwarder
        self.lent = sum(charges.values())
        self.fair_share, self.remainder = (
            None,
            0,
        )  # max-min fair share if demand exceeds the pool, and the remainder of the division
        claims = len(wants)
        for wanted in sorted(wants):
            if wanted > pool // claims:
                self.fair_share, self.remainder = pool // claims, pool % claims
                break
            pool, claims = pool - wanted, claims - 1

    def record_grant(self, holder, amount):
        """Charge a forwarder with a new lease, unless it is charged with more already."""
        had = self.charges.get(holder, 0)
        if amount > had:
            self.charges[holder] = amount
            self.lent += amount - had


class PlannerLedger:
    """A planner's side of the ledger: deposits, its own budget, and the leases made from both.

    It keeps no state over a restart. Leases that an earlier life made from deposits are covered by those
    deposits, which forwarders account for separately. Its own budget is lent only after all leases of an
    earlier life must have expired.

    own_budget: grains of each budget that belong to this planner.
    lease_tails, units: as for a forwarder.
    """

    __slots__ = (
        'life',
        'lease',
        'deposit_term',
        'version',
        'holders',
        'own_budget',
        'lease_tails',
        'units',
        'since',
        'keep',
        'snapshots',
        'last_expiry',
    )

    def __init__(self, life, lease, deposit_term, now=0, own_budget=None, lease_tails=None, units=None):
        self.life, self.lease, self.deposit_term, self.since = life, lease, deposit_term, now
        self.version, self.holders = 0, {}
        self.own_budget, self.lease_tails, self.units = (
            own_budget or Budgets(),
            lease_tails or Budgets(),
            units or Budgets(),
        )
        self.keep = (
            lease // SNAPSHOTS_PER_LEASE
        )  # how long a snapshot is reused, so that not every digest scans all forwarders
        self.snapshots, self.last_expiry = {}, now

    def set_own_budget(self, parts):
        """Set this planner's own budget."""
        if parts != self.own_budget:
            self.own_budget = parts
            self.snapshots.clear()

    def charge_duration(self, key):
        """Return how long a lease is charged for."""
        return max_elapsed(self.lease) + max_elapsed(self.lease_tails[key])

    def process_digest(self, now, digest):
        """Process a digest. Return the plan that answers it, or None if it is outdated."""
        if now >= self.last_expiry + self.keep:
            self.expire(now)
        holder = self.holders.get(digest['forwarder'])
        if holder is None:
            if len(self.holders) >= MAX_FORWARDERS:
                return None
            holder = self.holders[digest['forwarder']] = ForwarderRecord(digest['forwarder'])
        if digest['seq'] <= holder.seq:
            return None
        holder.seq, holder.seen, holder.wants = digest['seq'], now, dict(digest['wants'])
        if digest['life'] == self.life:
            holder.grants = [
                record_grant for record_grant in holder.grants if record_grant[0] >= digest['holds']
            ]
            self.record_deposits(now, holder, digest)
        return self.plan(now, holder)

    def record_deposits(self, now, holder, digest):
        """Record deposits. They count from the earliest time at which the digest can have been sent: the
        stamp of the plan that it echoes, plus how long the forwarder had held that plan."""
        if digest['stamp'] is None or digest['stamp'] > now:
            return
        sent_at = min(now, digest['stamp'] + min_elapsed(digest['held']))
        for key, amount in digest['gifts'].items():
            until = sent_at + min_elapsed(self.deposit_term + 2 * max_elapsed(self.lease_tails[key]))
            kept = [
                deposit
                for deposit in holder.deposits.get(key, ())
                if deposit.until > until or deposit.amount > amount
            ]
            holder.deposits[key] = kept + [Deposit(until, amount)]

    def pool(self, now, key, until):
        """Return the sum of deposits that last until the given time and of this planner's own budget."""
        return sum(reserved(holder.deposits.get(key, ()), until) for holder in self.holders.values()) + (
            self.own_budget[key] if now > self.since + self.charge_duration(key) else 0
        )

    def snapshot(self, now, key):
        """Return a snapshot of a budget that is valid for leases made until it is replaced."""
        found = self.snapshots.get(key)
        if found is None or not found.when <= now < found.when + self.keep:
            tail, until = max_elapsed(self.lease_tails[key]), now + self.charge_duration(key) + self.keep
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
            found = self.snapshots[key] = BudgetSnapshot(now, self.pool(now, key, until), charges, wants)
            if len(self.snapshots) > MAX_KEYS:
                del self.snapshots[next(iter(self.snapshots))]
        return found

    def plan(self, now, holder):
        """Return the plan for a forwarder: its fair share of what it lacks, from what is available for as
        long as the lease runs."""
        leases = {}
        for key, wanted in holder.wants.items():
            snapshot, unit = self.snapshot(now, key), self.units[key] or 1
            available = snapshot.pool - (snapshot.lent - snapshot.charges.get(holder, 0))
            # Rounded up to whole units; the available amount still bounds the sum.
            fair_amount = (
                wanted
                if snapshot.fair_share is None
                else -(-min(wanted, snapshot.fair_share + snapshot.remainder) // unit) * unit
            )
            amount = min(wanted, available, fair_amount)
            amount -= amount % unit
            if amount > 0:
                leases[key] = amount
                snapshot.record_grant(holder, amount)
        self.version += 1
        holder.grants.append((self.version, now + max_elapsed(self.lease), leases))
        return {
            'forwarder': holder.name,
            'seq': holder.seq,
            'life': self.life,
            'version': self.version,
            'stamp': now,
            'leases': leases,
            'forwarders': len(self.holders),
        }

    def expire(self, now):
        """Drop expired leases and deposits, and forwarders that have neither and have long been silent."""
        self.last_expiry = now
        tail = max_elapsed(max(self.lease_tails.values(), default=0))
        for name, holder in list(self.holders.items()):
            holder.grants = [record_grant for record_grant in holder.grants if now <= record_grant[1] + tail]
            holder.deposits = {
                key: kept
                for key, deposits in holder.deposits.items()
                if (kept := [deposit for deposit in deposits if deposit.until >= now])
            }
            if not holder.grants and not holder.deposits and now > holder.seen + 4 * self.deposit_term:
                del self.holders[name]

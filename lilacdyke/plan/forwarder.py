"""Decisions of a forwarder about its links to planners: when to dial, send and close. No I/O.

Owns the state of each link and the newest limits that any planner sent. Inputs only update that state; the
host then calls `decide(now)` until it returns None, and carries out each decision: ('dial', planner),
('say', planner, digest), ('end', planner, why), ('wake', when). It is not on the path of a transaction, so
must never delay one; leases reach transactions through the ledger.
"""

from .ledger import max_elapsed

UP, DOWN, DIALLING = 'up', 'down', 'dialling'
DIGESTS_PER_LEASE = 4  # digests sent per lease
SILENT_LEASES = 2  # leases without a plan after which a link is closed
# Backoff between dials starts at lease / FIRST_BACKOFF_DIVISOR and ends at lease * MAX_BACKOFF_LEASES.
FIRST_BACKOFF_DIVISOR, MAX_BACKOFF_LEASES = 4, 4


class PlannerState:
    """State of the link to one planner."""

    __slots__ = (
        'name',
        'state',
        'next_action',
        'failures',
        'state_since',
        'last_plan_at',
        'digest_sent_at',
        'written',
    )

    def __init__(self, name, now):
        self.name, self.state, self.next_action = name, DOWN, now  # next_action: when to dial or send
        self.failures, self.state_since = 0, now
        self.last_plan_at = self.digest_sent_at = None  # newest plan, and the digest that it answers
        self.written = True  # whether the send buffer is empty


class Forwarder:
    """The links of one forwarder."""

    def __init__(self, now, fleet, forwarder_ledger, needs, used, uniform):
        self.forwarder_ledger, self.needs, self.used, self.uniform = forwarder_ledger, needs, used, uniform
        self.lease = fleet.lease
        self.accepts_limits, self.edition, self.mosts = fleet.accepts_limits, fleet.edition, fleet.mosts()
        self.planners = {
            row.name: PlannerState(row.name, now + int(self.lease * uniform() / FIRST_BACKOFF_DIVISOR))
            for row in fleet.planner
        }
        self.scheduled_wake = None  # time of the pending wake-up
        self.needs_at, self.cached_needs = None, ({}, {})  # the latest needs, and when they were computed
        self.view, self.seat = None, None  # set if the fleet uses verdicts (view.py)

    # --- inputs -----------------------------------------------------------------------------------------

    def link_up(self, now, name):
        """Handle an established link."""
        planner = self.planners[name]
        planner.state, planner.state_since, planner.written = UP, now, True
        planner.next_action = now + int(self.lease * self.uniform() / DIGESTS_PER_LEASE)  # spreads them

    def link_down(self, now, name):
        """Handle a closed link or a failed dial. Exponential backoff with jitter keeps a fleet from dialling
        a recovered planner all at once."""
        planner = self.planners[name]
        was_stable = (
            planner.state == UP
            and planner.last_plan_at is not None
            and planner.last_plan_at >= planner.state_since + self.lease
        )
        planner.failures = 0 if was_stable else min(8, planner.failures + 1)
        backoff = min(
            self.lease * MAX_BACKOFF_LEASES, (self.lease << planner.failures) // FIRST_BACKOFF_DIVISOR
        )
        planner.state, planner.state_since, planner.next_action = (
            DOWN,
            now,
            now + int(backoff * (0.5 + self.uniform())),
        )

    def written(self, name, whole):
        """Set whether the send buffer of a link is empty. Nothing is sent to a peer that does not read."""
        self.planners[name].written = whole

    def apply_plan(self, now, name, plan):
        """Process a plan. Return whether it was used."""
        planner, request = self.planners[name], self.forwarder_ledger.sent.get(plan['seq'])
        if not self.forwarder_ledger.apply_plan(now, name, plan):
            return False
        planner.last_plan_at = now
        # A planner whose limits are not adopted here is not reported as heard: others would count it as
        # reachable without having learned its edition.
        if self.adopt_limits(plan['edition'], plan['mosts']):
            planner.digest_sent_at = request[1]
        if self.view:
            self.view.apply_plan(now, name, plan, request[1])
        return True

    def adopt_limits(self, edition, mosts):
        """Adopt the limits of a newer edition, which later digests pass on to all planners. Return whether
        this edition, or a newer one, is in force."""
        if edition > self.edition and self.accepts_limits(mosts):
            self.edition, self.mosts = edition, mosts
        return edition <= self.edition

    # --- decisions --------------------------------------------------------------------------------------

    def alone(self, now):
        """Return whether no planner has answered within a lease."""
        return not any(
            planner.last_plan_at is not None and now < planner.last_plan_at + self.lease
            for planner in self.planners.values()
        )

    def answer_ages(self, now):
        """Return how long ago the latest answered digest was sent, by planner."""
        return {
            name: now - planner.digest_sent_at
            for name, planner in self.planners.items()
            if planner.digest_sent_at is not None
        }

    def decide(self, now):
        """Return the next decision, or None."""
        if self.scheduled_wake is not None and now >= self.scheduled_wake:
            self.scheduled_wake = None
        for planner in self.planners.values():
            if planner.state == UP and now >= max(
                planner.state_since, planner.last_plan_at or 0
            ) + SILENT_LEASES * max_elapsed(self.lease):
                self.link_down(now, planner.name)
                return 'end', planner.name, 'silent'
            if now < planner.next_action:
                continue
            if planner.state == DOWN:
                planner.state, planner.state_since, planner.next_action = DIALLING, now, now + self.lease
                return 'dial', planner.name
            if planner.state == DIALLING:
                self.link_down(now, planner.name)
                return 'end', planner.name, 'no answer'
            planner.next_action = now + int(self.lease * (0.75 + 0.5 * self.uniform()) / DIGESTS_PER_LEASE)
            if planner.written:
                return 'say', planner.name, self.digest(now, planner.name)
        first = min(planner.next_action for planner in self.planners.values())
        if self.scheduled_wake is None or first < self.scheduled_wake:
            self.scheduled_wake = first
            return 'wake', first
        return None

    def digest(self, now, name):
        """Return the next digest for a planner."""
        if self.needs_at is None or now >= self.needs_at + self.lease // (2 * DIGESTS_PER_LEASE):
            self.needs_at, self.cached_needs = now, self.needs(now)
        spare, wants = self.cached_needs
        used, account = self.used(), self.forwarder_ledger.account(name)
        lent = (
            {}
            if account is None
            else {key: amount for key, (until, amount) in account.leases.items() if now < until}
        )
        # Leases from other planners count against what is wanted from this one.
        shortfall = {
            key: amount - self.forwarder_ledger.leased(now, key) + lent.get(key, 0)
            for key, amount in wants.items()
        }
        digest = self.forwarder_ledger.digest(
            now, name, spare, {key: amount for key, amount in shortfall.items() if amount > 0}, used
        )
        if self.view:
            digest.update(
                seat=self.seat,
                site=self.view.site,
                doubts=self.view.doubts(now),
                seen=self.view.report(
                    now, name, digest['seq'], digest['life'] if digest['stamp'] is not None else None
                ),
            )
        return dict(digest, edition=self.edition, mosts=self.mosts, heard=self.answer_ages(now))

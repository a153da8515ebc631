"""A forwarder's side of its links to planners: when to dial, when to say what, what to believe. Without I/O.

Owns what is known of each planner and the newest limits that any of them told. Inputs only update it; the
host then pulls `decide(now)` until it gives None: ('dial', planner), ('say', planner, digest), ('end',
planner, why), ('wake', when). Must never have a transaction wait: nobody asks it anything on a transaction's
way, and what it learns the purse has.
"""

from .ledger import longer

UP, DOWN, DIALLING = 'up', 'down', 'dialling'
SAYS = 4  # digests in a lease
SILENT = 2  # leases without a plan after which a link is given up
FIRST, LAST = 4, 4  # waits between dials begin at a part of a lease, and end at so many leases


class Contact:
    """What is known of one planner."""

    __slots__ = ('name', 'state', 'next', 'failures', 'since', 'came', 'asked', 'written')

    def __init__(self, name, now):
        self.name, self.state, self.next = name, DOWN, now  # next: when to dial, or to say something
        self.failures, self.since = 0, now  # since: when its state began
        self.came = self.asked = None  # when the newest plan came; when the digest that it answers was sent
        self.written = True  # whether the system took all that was said


class Forwarder:
    """One forwarder's links."""

    def __init__(self, now, fleet, purse, needs, used, chance):
        self.purse, self.needs, self.used, self.chance = purse, needs, used, chance
        self.lease = fleet.lease
        self.accepts_limits, self.edition, self.mosts = fleet.accepts_limits, fleet.edition, fleet.mosts()
        self.contacts = {
            row.name: Contact(row.name, now + int(self.lease * chance() / FIRST)) for row in fleet.planner
        }
        self.asked = None  # the wake-up that was asked for
        self.told, self.needed = None, ({}, {})  # when needs were last looked at, and what was found
        self.view, self.seat = (
            None,
            None,
        )  # what it has seen of servers, where the fleet has verdicts (view.py)

    # --- inputs -----------------------------------------------------------------------------------------

    def up(self, now, name):
        """A link is there."""
        contact = self.contacts[name]
        contact.state, contact.since, contact.written = UP, now, True
        contact.next = now + int(
            self.lease * self.chance() / SAYS
        )  # 300 that come at once do not speak at once

    def down(self, now, name):
        """It has ended, or did not come up. The waits grow, and are drawn: guards against a herd at a planner
        that comes back."""
        contact = self.contacts[name]
        lasted = (
            contact.state == UP and contact.came is not None and contact.came >= contact.since + self.lease
        )
        contact.failures = 0 if lasted else min(8, contact.failures + 1)
        wait = min(self.lease * LAST, (self.lease << contact.failures) // FIRST)
        contact.state, contact.since, contact.next = DOWN, now, now + int(wait * (0.5 + self.chance()))

    def written(self, name, whole):
        """Whether the system has taken all that was said to it. Guards against a peer that does not read:
        nothing is queued."""
        self.contacts[name].written = whole

    def planned(self, now, name, plan):
        """A plan has come. Whether it was of use."""
        contact, asked = self.contacts[name], self.purse.sent.get(plan['seq'])
        if not self.purse.planned(now, name, plan):
            return False
        contact.came = now
        # One whose limits this one cannot pass on is not told of as heard: others would take it for news.
        if self.hear(plan['edition'], plan['mosts']):
            contact.asked = asked[1]
        if self.view:
            self.view.planned(now, name, plan, asked[1])
        return True

    def hear(self, edition, mosts):
        """Limits of an edition; a newer one is passed on to all planners. Whether it is known here now."""
        if edition > self.edition and self.accepts_limits(mosts):
            self.edition, self.mosts = edition, mosts
        return edition <= self.edition

    # --- what follows -----------------------------------------------------------------------------------

    def alone(self, now):
        """Whether no planner has answered within a lease."""
        return not any(
            contact.came is not None and now < contact.came + self.lease for contact in self.contacts.values()
        )

    def heard(self, now):
        """How long ago what each planner answered was sent."""
        return {
            name: now - contact.asked for name, contact in self.contacts.items() if contact.asked is not None
        }

    def decide(self, now):
        """The next thing to do, or None."""
        if self.asked is not None and now >= self.asked:
            self.asked = None
        for contact in self.contacts.values():
            if contact.state == UP and now >= max(contact.since, contact.came or 0) + SILENT * longer(
                self.lease
            ):
                self.down(now, contact.name)
                return 'end', contact.name, 'silent'
            if now < contact.next:
                continue
            if contact.state == DOWN:
                contact.state, contact.since, contact.next = DIALLING, now, now + self.lease
                return 'dial', contact.name
            if contact.state == DIALLING:
                self.down(now, contact.name)
                return 'end', contact.name, 'no answer'
            contact.next = now + int(self.lease * (0.75 + 0.5 * self.chance()) / SAYS)
            if contact.written:
                return 'say', contact.name, self.digest(now, contact.name)
        first = min(contact.next for contact in self.contacts.values())
        if self.asked is None or first < self.asked:
            self.asked = first
            return 'wake', first
        return None

    def digest(self, now, name):
        """What a planner is told."""
        if self.told is None or now >= self.told + self.lease // (2 * SAYS):
            self.told, self.needed = now, self.needs(now)
        spare, wants = self.needed
        used, mine = self.used(), self.purse.account(name)
        lent = (
            {}
            if mine is None
            else {key: amount for key, (until, amount) in mine.leases.items() if now < until}
        )
        # What others lend already is not wanted of this one too.
        lacks = {
            key: amount - self.purse.borrowed(now, key) + lent.get(key, 0) for key, amount in wants.items()
        }
        made = self.purse.digest(
            now, name, spare, {key: amount for key, amount in lacks.items() if amount > 0}, used
        )
        if self.view:
            made.update(
                seat=self.seat,
                site=self.view.site,
                doubts=self.view.doubts(now),
                seen=self.view.report(
                    now, name, made['seq'], made['life'] if made['stamp'] is not None else None
                ),
            )
        return dict(made, edition=self.edition, mosts=self.mosts, heard=self.heard(now))

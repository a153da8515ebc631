"""What ties a node to its fleet: the seat, the purse, the links to planners.

Owns the connections to planners and the seat's hold. Must never keep a transaction waiting, nor end the node:
whatever fails in here leaves the node with its own part, or with none if the seat is another's.
"""

from ..net.logs import LOG, say, warn
from ..net.sockets import connect
from .forwarder import Forwarder
from .lease import Lease
from .ledger import Parts, Purse
from .limits import address
from .link import ToPlanner
from .shares import Shares
from .view import View

TRIES = 10  # looks at a seat that is another's, in a lease
FIGURES = 5  # leases between two lines


class Share:
    """A node's part in its fleet."""

    def __init__(self, node, fleet):
        self.node, self.told, self.deadlines, self.clock = node, fleet, node.deadlines, node.clock
        now, seats = self.clock(), [row.name for row in fleet.planner]
        self.rank = node.place.rank if node.place.rank < fleet.seats else None
        self.full = fleet.seat_parts(self.rank)
        # What keeps the seat's two halves: the one that answers for gifts, and the one that is left to an
        # heir.
        self.held, self.left, self.seeking = None, None, False
        self.life = '%s-%x' % (node.place.name, int(node.chance() * (1 << 48)))
        self.purse = Purse(
            now,
            self.life,
            seats,
            Parts(),
            fleet.lease,
            fleet.gift,
            fleet.tails(),
            fleet.units(),
            Parts(fleet.mosts()),
        )
        self.shares = node.router.shares = Shares(now, fleet, self.purse, node.place.terms.profiles)
        self.forwarder = Forwarder(now, fleet, self.purse, self.needs, self.shares.used, node.chance)
        self.view = None
        if fleet.span is not None:
            self.view = self.forwarder.view = View(node, fleet.span, seats)
            self.forwarder.seat, self.shares.out = node.place.rank, self.view.out
        self.canary = None
        if self.view and fleet.tasks is not None:
            self.seek_canary()
        self.addresses = {row.name: address(row.address) for row in fleet.planner}
        self.links, self.alone, self.pulling = {}, None, False
        node.caches.shares = self.shares
        self.take_seat(0)
        self.figures(0)
        self.settle()

    # --- the seat ---------------------------------------------------------------------------------------

    def take_seat(self, _):
        """Have the seat's part, or what of it no other process on this machine has: an elder that still
        empties itself, or one that was stopped and goes on some day. Until then only what is lent may be
        spent."""
        self.seeking = False
        if self.rank is None:
            warn('no seat', rank=self.node.place.rank, seats=self.told.seats)
            return
        had = self.held, self.left
        self.held = self.held or self.hold('first')
        if not self.node.handed:
            self.left = self.left or self.hold('second')
        if (self.held, self.left) != had:
            self.has(anew=had[0] is None and self.held is not None)
        if self.held is None or self.left is None:
            self.seek()

    def hold(self, which):
        return self.node.system.hold('lilacdyke/%s/seat/%d/%s' % (self.told.installation, self.rank, which))

    def seek(self):
        """Look again soon."""
        if not self.seeking:
            self.seeking = True
            self.deadlines.at(self.clock() + max(1, self.told.lease // TRIES), self.take_seat, 0)

    def has(self, anew=False):
        """What the purse may count on by the halves that are held."""
        half = self.told.heir_part(self.full)
        own = (
            self.full
            if self.held and self.left
            else half
            if self.left
            else Parts({key: amount - half[key] for key, amount in self.full.items()})
            if self.held
            else Parts()
        )
        self.purse.seated(self.clock(), own, self.full, anew)
        say('seat', seat=self.rank, first=self.held is not None, second=self.left is not None)

    def hand_over(self, _=0):
        """An heir serves: the second half is left to it, once what is open here has room in the first."""
        if self.rank is None:
            return
        if not self.node.handed:
            self.take_seat(0)
            if self.held and self.left and self.purse.own != self.full:
                self.has()  # it was to be left, and the heir is gone
        elif self.left is not None:
            left, self.left = self.left, None
            self.has()
            now = self.clock()
            if any(amount > self.purse.may(now, key) for key, amount in self.shares.used().items()):
                self.left = left  # kept from others, and not spent
                self.deadlines.at(now + max(1, self.told.lease // TRIES), self.hand_over, 0)
            else:
                self.node.system.let_go(left)

    def seek_canary(self):
        """Two forwarders of each site try servers that are held to be out, as it takes two to say that one
        answers again. Tries go through the gate as any hop; with no canary nobody tries until the verdict
        ends."""
        self.canary = Lease(
            self.node.reactor,
            self.deadlines,
            self.clock,
            self.told,
            'canary-%s-%d' % (self.view.site, int(2 * self.node.chance())),
            self.node.chance,
            lambda number: say('canary', number=number),
            lambda number: say('no canary', number=number),
        )
        self.shares.is_canary = self.canary.held
        self.canary.acquire()

    # --- what it needs ----------------------------------------------------------------------------------

    def needs(self, now):
        """What can be spared and what is lacked; connections that are too many go first, if they rest."""
        router = self.node.router
        if self.shares.limits['links']:
            self.node.caches.trim(lambda server: self.shares.over(now, server))
        return self.shares.needs(
            now, [server.name for server in router.caches if router.presence(now, server) < 1]
        )

    def ended(self, now, hop, how, lasted):
        """A hop has ended: what it says of its server is evidence for all."""
        if self.view:
            self.view.ended(now, hop, how, lasted)

    # --- links ------------------------------------------------------------------------------------------

    def planned(self, name, plan):
        """A plan has come."""
        self.forwarder.planned(self.clock(), name, plan)
        self.settle()

    def lost(self, link):
        """A link has ended."""
        if self.links.get(link.name) is link:
            del self.links[link.name]
            self.forwarder.down(self.clock(), link.name)
            self.settle()

    def settle(self):
        """Pull what there is to do. Nothing of it may hold up or raise into what the node does."""
        if self.pulling:
            return
        self.pulling = True
        try:
            while decision := self.forwarder.decide(self.clock()):
                getattr(self, 'do_' + decision[0])(*decision[1:])
        except Exception:
            LOG.exception('fault')
            self.deadlines.at(self.clock() + self.told.lease, self.woken, 0)
        finally:
            self.pulling = False

    def woken(self, _):
        self.settle()

    def do_wake(self, when):
        self.deadlines.at(when, self.woken, 0)

    def do_dial(self, name):
        """Open a link; how long that may take is the forwarder's to say."""
        link = self.links[name] = ToPlanner(self, name)
        connect(self.node.reactor, self.addresses[name], link).addCallbacks(
            self.up, lambda failure: self.lost(link)
        ).addErrback(self.node.fault)

    def up(self, link):
        if self.links.get(link.name) is link:
            self.forwarder.up(self.clock(), link.name)
            self.settle()
        else:
            link.end()  # it came up after it was given up

    def do_say(self, name, digest):
        link = self.links.get(name)
        if link is not None and not link.send_digest(digest):
            self.node.count('digests_held')

    def do_end(self, name, why):
        """The forwarder has given it up already."""
        link = self.links.pop(name, None)
        if link is not None:
            say('link given up', planner=name, why=why)
            link.end()
            if link.transport is None:
                link.up.cancel()

    # --- figures ----------------------------------------------------------------------------------------

    def figures(self, _):
        """A line of what is in force; and one when it begins or ends that no planner answers."""
        now = self.clock()
        alone = self.forwarder.alone(now)
        if alone is not self.alone:
            self.alone = alone
            say(
                'alone' if alone else 'with planners',
                seat=self.rank if self.held or self.left else 'none',
                edition=self.forwarder.edition,
            )
        self.deadlines.at(now + FIGURES * self.told.lease // (5 if alone else 1), self.figures, 0)
